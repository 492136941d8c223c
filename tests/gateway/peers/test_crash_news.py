"""Messages about crashes filled the links of hosts in a large fleet."""

from shallotfold._gateway.deciding.crash_knowledge import CrashKnowledge
from shallotfold._gateway.deciding.crash_knowledge import CrashReport
from shallotfold._gateway.deciding.crash_knowledge import HoldReport
from shallotfold._gateway.peers.crash_messages import encode_knowledge
from shallotfold._gateway.peers.crash_news import CRASH_BYTES_PER_S
from shallotfold._gateway.peers.crash_news import MAX_SAVED_BYTES
from shallotfold._gateway.peers.crash_news import CrashNews


def make_knowledge(reports: int, now_s: float = 0.0) -> CrashKnowledge:
    return CrashKnowledge(
        reports=[
            CrashReport(f"i-{n}/1700000000000", now_s, (f"part{n}",), False)
            for n in range(reports)
        ],
        holds=[HoldReport(("request:worst",), now_s + 9.0, True, 0)],
        answer_ages_s_by_trait={"request:fine": now_s + 3.0},
    )


def test_news_are_sent_once_and_repeated_by_heartbeats() -> None:
    news = CrashNews()
    knowledge = make_knowledge(2)
    assert news.select_news(knowledge, 100.0, 8) == knowledge
    assert not news.select_news(knowledge, 100.1, 8)
    assert news.news_delay_s(knowledge, 100.1, 8) is None
    assert news.select_for_heartbeat(knowledge, 104.0, 8) == knowledge


def test_holds_and_answers_are_sent_before_reports() -> None:
    news = CrashNews()
    knowledge = make_knowledge(50)
    first = news.select_news(knowledge, 100.0, 194)
    assert first.holds
    assert first.answer_ages_s_by_trait
    assert len(first.reports) < 2


def test_further_news_wait_until_the_budget_allows_them() -> None:
    news = CrashNews()
    now_s, sent_bytes, sent_reports = 100.0, 0, 0
    while (
        delay_s := news.news_delay_s(make_knowledge(40, now_s), now_s, 66)
    ) is not None:
        now_s += max(delay_s, 0.01)
        part = news.select_news(make_knowledge(40, now_s), now_s, 66)
        sent_bytes += 66 * len(encode_knowledge("frontend-1", part))
        sent_reports += len(part.reports)
    assert sent_reports == 40
    assert sent_bytes <= MAX_SAVED_BYTES + (now_s - 100.0) * CRASH_BYTES_PER_S


def test_heartbeats_take_turns_with_what_they_repeat() -> None:
    news = CrashNews()
    upstreams: set[str] = set()
    for second in range(100, 160):
        knowledge = news.select_for_heartbeat(make_knowledge(20), second, 66)
        upstreams.update(report.upstream for report in knowledge.reports)
    assert len(upstreams) == 20


def test_report_too_large_for_the_budget_is_sent_when_it_is_full() -> None:
    """In a fleet of this size no report at all would fit."""
    news = CrashNews()
    assert news.select_news(make_knowledge(0), 100.0, 3_000).holds
    assert not news.select_news(make_knowledge(0), 100.1, 3_000)
