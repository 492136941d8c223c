import asyncio
import inspect

from hypothesis import settings
import pytest

from tests import known_red

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


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Expect the tests of KNOWN-RED.txt to fail."""
    entries = known_red.read_entries(
        known_red.PATH.read_text() if known_red.PATH.exists() else ""
    )
    unmatched = known_red.mark(items, entries)
    files = {item.nodeid.partition("::")[0] for item in items}
    stale = [name for name in unmatched if name.partition("::")[0] in files]
    is_selection = "::" in " ".join(config.args) or config.option.keyword
    if stale and not is_selection:
        raise pytest.UsageError(
            f"KNOWN-RED.txt names tests that don't exist: {sorted(stale)}; "
            "rename or remove their entries"
        )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print how the tests of KNOWN-RED.txt ended."""
    stats = terminalreporter.stats
    for line in known_red.summarize(
        stats.get("xfailed", []), stats.get("xpassed", [])
    ):
        terminalreporter.write_line(line)
