"""Share the stand-in of the store with the tests of duties."""

from tests.platform.conftest import play_store

__all__ = ["play_store"]
