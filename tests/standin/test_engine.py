from shallotfold._settings.addresses import Address
from shallotfold._settings.standin import EngineSettings
from shallotfold._standin.answers import answer_to
from shallotfold._standin.engine import EngineStandin
from shallotfold._standin.engine import Job


def make_engine(
    slots: int = 4, max_queued: int = 16, load_lag_s: float = 1.0
) -> EngineStandin:
    return EngineStandin(
        EngineSettings(
            name="engine",
            address=Address("127.0.0.1", 0),
            slots=slots,
            max_queued=max_queued,
            load_lag_s=load_lag_s,
            tokens_per_s=100.0,
            prefill_tokens_per_s=float("inf"),
        )
    )


def accept(engine: EngineStandin, priority: int = 1, tokens: int = 50) -> Job:
    prompt = f"[tokens={tokens}]"
    job = engine.accept(prompt, answer_to(prompt), priority, 0, 0.0)
    assert job is not None
    return job


def test_answer_depends_only_on_prompt_and_limit() -> None:
    assert answer_to("a") == answer_to("a")
    assert answer_to("a").token(0) != answer_to("b").token(0)
    assert answer_to("[tokens=9]", max_tokens=4).token_count == 4
    whole = answer_to("a").text()
    assert answer_to("a").text(0, 5) + answer_to("a").text(5) == whole


def test_batch_shares_the_output_rate() -> None:
    engine = make_engine(slots=4)
    jobs = [accept(engine) for _ in range(4)]
    engine.advance(1.0)
    assert [job.next_index for job in jobs] == [25] * 4


def test_higher_priority_gets_the_slot() -> None:
    engine = make_engine(slots=1)
    low = accept(engine, priority=3)
    engine.advance(0.1)
    high = accept(engine, priority=1, tokens=10)
    generated_before = low.next_index
    engine.advance(0.2)
    assert (high.next_index, low.next_index) == (10, generated_before)
    engine.advance(0.3)
    assert low.next_index > generated_before


def test_full_or_leaving_engine_refuses() -> None:
    engine = make_engine(slots=1, max_queued=1)
    accept(engine)
    accept(engine)
    assert engine.accept("a", answer_to("a"), 1, 0, 0.0) is None
    idle = make_engine()
    idle.leaving = True
    assert idle.accept("a", answer_to("a"), 1, 0, 0.0) is None


def test_cancelled_job_counts_as_wasted() -> None:
    engine = make_engine()
    job = accept(engine)
    engine.advance(0.1)
    engine.cancel(job)
    assert engine.stats.wasted_tokens == job.next_index > 0
    assert not engine.is_busy


def test_load_report_lags() -> None:
    engine = make_engine(load_lag_s=1.0)
    assert engine.report_load(0.0).running == 0
    accept(engine)
    assert engine.report_load(0.5).running == 0
    assert engine.report_load(1.5).running == 1


def test_cache_events_are_delayed_and_have_gaps() -> None:
    engine = make_engine()
    for index in range(14):
        engine.cache.add([f"digest-{index}"], now_s=0.0)
    assert engine.cache.published_after(0, now_s=0.5) == ()
    published = engine.cache.published_after(0, now_s=1.0)
    missing = set(range(1, 15)) - {event.sequence for event in published}
    assert missing == {7, 14}
