"""Judge what callers and upstreams saw against the promises."""

from collections.abc import Iterable
import re

from benchmarks.soak.callers import Outcome
from benchmarks.soak.outside import STREAM_EVENTS
from benchmarks.soak.outside import DutyService
from benchmarks.soak.outside import Runs

# These statuses promise that the request has not run and never will.
UNRUN_STATUSES = frozenset({408, 421, 429, 503})
ROUTE_TIMEOUT_S = 2.0
# The final answer may be this much later than the route's time-out.
TIMEOUT_SLACK_S = 0.75
# A window is reported after its end by true time. Late reports come from
# frozen hosts; much later ones would be of another clock.
EARLIEST_REPORT_S = 0.0
LATEST_REPORT_S = 60.0


def find_violations(
    outcomes: Iterable[Outcome],
    runs: Runs,
    duties: DutyService,
    calm_hosts: "Iterable[tuple[int, float, float]]",
) -> list[str]:
    """Return a line for each broken promise.

    Args:
        outcomes: All requests.
        runs: What upstreams ran.
        duties: What was reported.
        calm_hosts: Spans (host, from, to) in which a host was disturbed, on
            the monotonic clock; time bounds hold outside of them.
    """
    disturbed = list(calm_hosts)
    found = []
    for outcome in outcomes:
        found += [
            f"{fault}: {outcome.kind} {outcome.request_id} at host "
            f"{outcome.host}, status {outcome.status}"
            for fault in _faults(outcome, runs, disturbed)
        ]
    for window, figures in duties.figures_by_window.items():
        if len(figures) > 1:
            found.append(f"window {window} was reported with other figures")
    for window, ages_s in duties.ages_s_by_window.items():
        found += [
            f"window {window} was reported {age_s:.1f} s after its end"
            for age_s in ages_s
            if not EARLIEST_REPORT_S <= age_s <= LATEST_REPORT_S
        ]
    for fencing, hosts in duties.hosts_by_fencing.items():
        if len(hosts) > 1:
            found.append(f"fencing number {fencing} came from two hosts")
    return found


def _faults(
    outcome: Outcome, runs: Runs, disturbed: list[tuple[int, float, float]]
) -> Iterable[str]:
    starts = runs.starts_by_id[outcome.request_id]
    if outcome.kind == "once" and starts > 1:
        yield "ran twice"
    if outcome.status in UNRUN_STATUSES and starts:
        yield "was called unrun but ran"
    if outcome.key == "wrong" and starts:
        yield "ran with an unknown key"
    if outcome.key != "wrong" and outcome.status in (401, 404):
        yield "was denied though allowed"
    if outcome.status == 200 and outcome.complete:
        yield from _answer_faults(outcome, starts)
    if outcome.kind == "stream":
        yield from _stream_faults(outcome)
    ends_s = outcome.began_s + outcome.took_s
    is_calm = not any(
        host == outcome.host and begin_s < ends_s and outcome.began_s < end_s
        for host, begin_s, end_s in disturbed
    )
    if is_calm and outcome.took_s > ROUTE_TIMEOUT_S + TIMEOUT_SLACK_S:
        yield f"had no final answer in time ({outcome.took_s:.2f} s)"


def _answer_faults(outcome: Outcome, starts: int) -> Iterable[str]:
    if not starts:
        yield "was answered without having run"
    if outcome.kind != "stream" and outcome.body != outcome.request_id.encode():
        yield "got another answer"


def _stream_faults(outcome: Outcome) -> Iterable[str]:
    numbers = [int(n) for n in re.findall(rb"id: (\d+)\n", outcome.body)]
    if outcome.status != 200:
        return
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"events out of order: {numbers}"
    if outcome.complete and len(numbers) != STREAM_EVENTS:
        yield f"ended as complete after {len(numbers)} events"
    ids = set(re.findall(rb"data: (\w+)\n", outcome.body))
    if ids - {outcome.request_id.encode()}:
        yield "got another request's events"
