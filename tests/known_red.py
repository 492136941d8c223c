"""Run the tests named in KNOWN-RED.txt without failing because of them.

A line there is `TEST | COMMAND | WHAT WAS SEEN | ISSUE`. Lines whose first part
isn't the node id of a test are for readers only.
"""

import pathlib

import pytest

PATH = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
REASON_PREFIX = "known fault: "


def read_entries(text: str) -> dict[str, str]:
    """Return the entries that name a test, by its node id."""
    entries = {}
    for line in text.splitlines():
        test = line.partition("|")[0].strip()
        if "::" in test:
            entries[test] = line
    return entries


def mark(items: list[pytest.Item], entries: dict[str, str]) -> set[str]:
    """Expect the named tests to fail; return names that match no item.

    An entry without parameters names all cases of its test.
    """
    unmatched = set(entries)
    for item in items:
        for name in (item.nodeid, item.nodeid.partition("[")[0]):
            if name in entries:
                unmatched.discard(name)
                item.add_marker(
                    pytest.mark.xfail(
                        reason=REASON_PREFIX + entries[name], strict=False
                    )
                )
                break
    return unmatched


def summarize(
    failed: list[pytest.TestReport], passed: list[pytest.TestReport]
) -> list[str]:
    """Return lines that say how the named tests ended."""
    return [
        *(f"known fault, failed: {report.nodeid}" for report in failed),
        *(f"known fault, passed: {report.nodeid}" for report in passed),
    ]
