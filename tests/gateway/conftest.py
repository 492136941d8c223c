"""Make the store stand-in available to the tests of duties."""

from tests.platform.conftest import play_store

__all__ = ["play_store"]
