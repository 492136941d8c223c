import asyncio
import inspect

from hypothesis import settings
import pytest

settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=100, database=None
)
settings.register_profile("explore", deadline=None, max_examples=1000)
settings.load_profile("ci")


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a test written as a coroutine on a fresh event loop."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    arguments = {name: pyfuncitem.funcargs[name] for name in names}
    asyncio.run(pyfuncitem.obj(**arguments))
    return True
