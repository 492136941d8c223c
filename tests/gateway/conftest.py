"""Make the store stand-in available to the tests of duties."""

from tests.platform.conftest import run_with_store

__all__ = ["run_with_store"]
