"""Which responses count for the speed of an upstream, and what follows."""

import attrs
import pytest

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding import events
from tests.gateway.factories import DispatcherHarness
from tests.gateway.factories import make_route
from tests.gateway.factories import make_upstream

# Nothing of it is cached.
PROMPT = Prompt(model="m", prompt_tokens=6000, max_output_tokens=100)
STREAM = make_route(RouteKind.STREAM, reads_prompt=True, timeout_s=20.0)
CALL = make_route(RouteKind.ONCE, timeout_s=20.0)


def make_upstreams(cold_s: float = 0.0) -> list[Upstream]:
    return [
        attrs.evolve(
            make_upstream(f"u{number}"), started_ms=7, cold_remaining_s=cold_s
        )
        for number in range(3)
    ]


class Fleet(DispatcherHarness):
    """Three upstreams that report percentages; the first may be slow."""

    def __init__(
        self, *, cold_s: float = 0.0, controls_load: bool = True
    ) -> None:
        super().__init__(*make_upstreams(cold_s))
        self.dispatcher.placement.controls_load = controls_load
        self.requests = 0
        for number in range(3):
            self.feed(
                events.LoadReported(
                    now_s=self.now_s,
                    upstream=f"u{number}",
                    running=0,
                    waiting=0,
                    started_ms=7,
                    percent=100,
                )
            )

    def serve(self, *, slow: float, has_prompt: bool) -> str:
        """Serve a request; the first upstream takes `slow` times as long."""
        self.requests += 1
        self.arrive(
            self.requests,
            STREAM if has_prompt else CALL,
            prompt=PROMPT if has_prompt else None,
            deadline_s=20.0,
            draw=(0.618 * self.requests) % 1.0,
        )
        upstream_id = self.sent_upstream_id()
        self.now_s += 0.05 * (slow if upstream_id == "u0" else 1.0)
        if has_prompt:
            self.feed(
                events.AttemptProgressed(
                    now_s=self.now_s, request=self.requests
                )
            )
        self.feed(
            events.AttemptSucceeded(now_s=self.now_s, request=self.requests)
        )
        return upstream_id

    def factor(self) -> float:
        upstream = self.dispatcher.upstreams_by_id["u0"]
        speeds = self.dispatcher.placement.speeds
        return speeds.time_factor(upstream, self.now_s)

    def measure(self, upstream_id: str, time_s: float, *, seconds: int) -> None:
        """Record one sample of an upstream in each tenth of a second."""
        speeds = self.dispatcher.placement.speeds
        upstream = self.dispatcher.upstreams_by_id[upstream_id]
        for tenth in range(seconds * 10):
            at_s = self.now_s - seconds + 0.1 * tenth
            speeds.record_time(upstream, time_s, 1, at_s)


@pytest.mark.parametrize("has_prompt", [True, False])
def test_slow_upstream_gets_fewer_requests_but_some(has_prompt: bool) -> None:
    fleet = Fleet()
    chosen = [fleet.serve(slow=3.0, has_prompt=has_prompt) for _ in range(600)]
    assert 0 < chosen[100:].count("u0") < 0.25 * 500
    assert fleet.dispatcher.placement.speeds.take_unannounced()


def test_without_load_control_nothing_is_measured() -> None:
    fleet = Fleet(controls_load=False)
    for _ in range(50):
        fleet.serve(slow=3.0, has_prompt=False)
    assert not fleet.dispatcher.placement.speeds.take_unannounced()
    assert fleet.factor() == 1.0


def test_cold_upstreams_give_no_samples() -> None:
    """An upstream that had just started was taken for a slow one."""
    fleet = Fleet(cold_s=3.0)
    for _ in range(50):
        fleet.serve(slow=3.0, has_prompt=False)
    # The response of a request that was sent to a cold one says nothing either.
    fleet.arrive(99, CALL)
    fleet.change_upstreams(*make_upstreams())
    fleet.feed(events.AttemptSucceeded(now_s=fleet.now_s, request=99))
    assert not fleet.dispatcher.placement.speeds.take_unannounced()


@pytest.mark.parametrize("restarted", [True, False])
def test_responses_of_upstreams_that_were_cut_off_give_no_samples(
    restarted: bool,
) -> None:
    """A response that waited for the network made its upstream look slow."""
    fleet = Fleet()
    fleet.arrive(1, CALL)
    upstream_id = fleet.sent_upstream_id()
    fleet.now_s += 2.0
    if restarted:
        upstreams = make_upstreams()
        fleet.change_upstreams(
            *(attrs.evolve(u, started_ms=8) for u in upstreams)
        )
    else:
        fleet.dispatcher.placement.health.record_unreachable(
            upstream_id, fleet.now_s
        )
    fleet.now_s += 1.0
    fleet.feed(events.AttemptSucceeded(now_s=fleet.now_s, request=1))
    assert not fleet.dispatcher.placement.speeds.take_unannounced()


def test_figures_at_the_head_of_a_stream_need_load_control() -> None:
    reports = []
    for controls_load in (True, False):
        fleet = Fleet(controls_load=controls_load)
        fleet.feed(
            events.LoadReported(
                now_s=fleet.now_s,
                upstream="u0",
                running=5,
                waiting=0,
                started_ms=7,
                percent=100,
                at_head=True,
            )
        )
        loads = fleet.dispatcher.placement.loads
        reports.append(loads.total_load("u0").requests)
    assert reports == [5, 0]


def test_slow_upstream_is_logged() -> None:
    fleet = Fleet()
    for upstream_id, time_s in (("u1", 0.1), ("u2", 0.1), ("u0", 0.4)):
        fleet.measure(upstream_id, time_s, seconds=3)
    logged = [str(effect) for effect in fleet.advance(0.0)]
    assert len(logged) == 1
    assert "upstream='u0'" in logged[0]
    assert "is_slow=True" in logged[0]
