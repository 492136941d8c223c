"""Test how long an upstream counts as leaving."""

import attrs

from shallotfold._gateway.following import leaving_upstreams
from shallotfold._gateway.following.leaving_upstreams import LeavingUpstreams
from tests.gateway.factories import make_upstream

FIRST_START = attrs.evolve(make_upstream("a"), started_ms=1000)
LATER_START = attrs.evolve(FIRST_START, started_ms=2000)
UNKNOWN_START = make_upstream("a")


def make_leaving(started_ms: int = 1000) -> LeavingUpstreams:
    leaving = LeavingUpstreams()
    assert leaving.add("a", started_ms, 10.0, from_response=True)
    return leaving


def test_upstream_counts_as_leaving_until_it_starts_again() -> None:
    leaving = make_leaving()
    assert leaving.includes(FIRST_START, 1e6)
    assert not leaving.includes(LATER_START, 10.0)
    assert not leaving.includes(make_upstream("b"), 10.0)


def test_news_of_an_earlier_start_changes_nothing() -> None:
    """A peer that lags would bring the later, leaving start back."""
    leaving = make_leaving(started_ms=2000)
    assert not leaving.add("a", 1000, 11.0, from_response=False)
    assert leaving.includes(LATER_START, 11.0)


def test_upstream_of_unknown_start_counts_as_leaving_for_a_while() -> None:
    leaving = make_leaving(started_ms=0)
    end_s = 10.0 + leaving_upstreams.UNKNOWN_START_MEMORY_S
    assert leaving.includes(UNKNOWN_START, end_s - 0.1)
    assert not leaving.includes(UNKNOWN_START, end_s)


def test_only_own_and_recent_knowledge_is_announced() -> None:
    """Hosts that repeat each other's news would never stop."""
    leaving = make_leaving()
    leaving.add("b", 0, 10.0, from_response=False)
    assert leaving.announcements(10.0) == {"a": 1000}
    late_s = 10.0 + leaving_upstreams.ANNOUNCED_FOR_S
    assert leaving.announcements(late_s) == {}


def test_memory_is_bounded() -> None:
    leaving = make_leaving()
    for number in range(leaving_upstreams.MAX_REMEMBERED):
        leaving.add(f"u{number}", 1, 10.0, from_response=True)
    assert not leaving.includes(FIRST_START, 10.0)
    assert len(leaving.announcements(10.0)) == leaving_upstreams.MAX_ANNOUNCED
