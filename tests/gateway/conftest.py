"""Share the stand-in of the store with the tests of duties."""

from tests.platform.conftest import run_with_store

__all__ = ["run_with_store"]
