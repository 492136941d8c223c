"""Responses overtook each other: an old one ended or revived a limit."""

import math

from hypothesis import given
from hypothesis import strategies
import pytest

from shallotfold._gateway.deciding.named_limits import MAX_ANNOUNCED_LIMITS
from shallotfold._gateway.deciding.named_limits import MEMORY_S
from shallotfold._gateway.deciding.named_limits import LimitStatement
from shallotfold._gateway.deciding.named_limits import NamedLimits
from tests.gateway.factories import make_upstream

NO_LIMIT = math.inf


def statement(
    rate: float,
    sent_s: float,
    received_s: float,
    *,
    upstream: str = "u0",
    started_ms: int = 0,
) -> LimitStatement:
    return LimitStatement(
        upstream=upstream,
        started_ms=started_ms,
        rate=rate,
        sent_s=sent_s,
        received_s=received_s,
    )


def rate_after(*statements: LimitStatement) -> float:
    limits = NamedLimits()
    for number, each in enumerate(statements):
        limits.record(each, peer=f"host{number}" if number % 2 else None)
    return limits.rate_of(make_upstream("u0"))


def test_limit_ends_with_a_response_to_a_later_request() -> None:
    named = statement(2.0, 1.0, 1.1)
    assert rate_after(named, statement(NO_LIMIT, 1.2, 1.3)) == NO_LIMIT


def test_response_that_was_overtaken_does_not_end_the_limit() -> None:
    named = statement(2.0, 1.0, 1.1)
    assert rate_after(named, statement(NO_LIMIT, 1.05, 1.4)) == 2.0


def test_old_limit_of_a_peer_does_not_come_back() -> None:
    ended = statement(NO_LIMIT, 2.0, 2.1)
    assert (
        rate_after(statement(2.0, 1.0, 1.1), ended, statement(2.0, 0.5, 1.5))
        == NO_LIMIT
    )


def test_limit_may_rise_and_fall() -> None:
    first = statement(2.0, 1.0, 1.1)
    assert rate_after(first, statement(5.0, 1.2, 1.3)) == 5.0
    assert rate_after(first, statement(0.5, 1.2, 1.3)) == 0.5


def test_lower_one_of_two_limits_in_doubtful_order_holds() -> None:
    low, high = statement(2.0, 1.0, 1.3), statement(5.0, 1.1, 1.2)
    assert rate_after(low, high) == rate_after(high, low) == 2.0


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([0.5, 2.0, NO_LIMIT]),
            strategies.integers(0, 20),
            strategies.integers(0, 4),
        ),
        min_size=1,
        max_size=6,
    )
)
def test_limit_that_is_surely_newest_holds(
    drawn: list[tuple[float, int, int]],
) -> None:
    statements = [
        statement(rate, sent, sent + took) for rate, sent, took in drawn
    ]
    newest = statement(1.0, 100.0, 101.0)
    assert rate_after(*statements, newest) == 1.0
    assert rate_after(newest, *statements) == 1.0


def test_upstream_that_started_again_has_no_limit() -> None:
    limits = NamedLimits()
    limits.record(statement(2.0, 1.0, 1.1, started_ms=5))
    restarted = make_upstream("u0")
    assert limits.rate_of(restarted) == NO_LIMIT


def test_limit_of_a_new_start_is_news_also_if_it_is_the_same() -> None:
    """Peers learned of it only with the next heartbeat."""
    limits = NamedLimits()
    limits.record(statement(2.0, 1.0, 1.1, started_ms=5))
    change = limits.record(statement(2.0, 2.0, 2.1, started_ms=6))
    assert change is not None
    assert change.previous_rate == NO_LIMIT


def test_statement_about_an_earlier_start_is_ignored() -> None:
    limits = NamedLimits()
    limits.record(statement(2.0, 1.0, 1.1, started_ms=5))
    limits.record(statement(0.1, 8.0, 8.1, started_ms=4))
    assert [s.rate for s in limits.own_statements()] == [2.0]


def test_peers_learn_only_what_this_host_was_told_itself() -> None:
    limits = NamedLimits()
    limits.record(statement(2.0, 1.0, 1.1))
    limits.record(statement(3.0, 2.0, 2.1, upstream="u1"), peer="host1")
    assert [s.upstream for s in limits.own_statements()] == ["u0"]
    limits.record(statement(2.0, 2.0, 2.1), peer="host1")
    assert not limits.own_statements()


def test_message_to_peers_is_bounded_and_has_the_newest() -> None:
    limits = NamedLimits()
    for number in range(3 * MAX_ANNOUNCED_LIMITS):
        limits.record(
            statement(1.0, number, number + 0.5, upstream=f"u{number}")
        )
    announced = limits.own_statements()
    assert len(announced) == MAX_ANNOUNCED_LIMITS
    assert announced[0].upstream == f"u{3 * MAX_ANNOUNCED_LIMITS - 1}"


@pytest.mark.parametrize(
    ("rate", "registered", "kept"),
    [(2.0, True, True), (2.0, False, False), (NO_LIMIT, True, False)],
)
def test_old_statements_are_dropped(
    rate: float, registered: bool, kept: bool
) -> None:
    limits = NamedLimits()
    limits.record(statement(2.0, 0.0, 0.1))
    limits.record(statement(rate, 1.0, 1.1))
    ids = {"u0"} if registered else set()
    assert limits.drop_expired(ids, MEMORY_S) == []
    dropped = limits.drop_expired(ids, 2.0 + MEMORY_S)
    assert dropped == ([] if kept else ["u0"])
