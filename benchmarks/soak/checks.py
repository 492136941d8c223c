"""Check what callers and upstreams saw against the gateway's guarantees."""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from http import HTTPStatus
import itertools
import math
import re
from typing import Any

from benchmarks.soak.callers import Outcome
from benchmarks.soak.external_services import LEASE_S
from benchmarks.soak.external_services import STREAM_EVENTS
from benchmarks.soak.external_services import DutyArrival
from benchmarks.soak.external_services import DutyService
from benchmarks.soak.external_services import EqualCrash
from benchmarks.soak.external_services import Runs

# These statuses guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ROUTE_TIMEOUT_S = 2.0
# A host may send requests to an upstream for this long after it has passed on a
# response that said that the upstream is leaving.
DRAIN_TIMEOUT_S = 2.0
# From this long after an upstream's request for a pause, a host may send it
# only a few requests until the pause ends.
PAUSE_SLACK_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
# So long after the fifth upstream ended under a prompt, or the third under
# equal requests, undisturbed hosts know of it and send few further ones.
CRASH_CONTACT_S = 3.0
CRASHES_TO_KNOW = 5
EQUAL_CRASHES_TO_KNOW = 3
MAX_LATE_CRASHING = 3
# Sound requests that may be held back by mistake.
MAX_HELD_SOUND_SHARE = 0.02
HELD_REASON = (
    b"upstreams end under prompts",
    b"upstreams end under this request",
)
# From this time after an upstream first named a limit it gets in any window no
# more than so many times what the limit allows, and so many requests more.
LIMIT_CONTACT_S = 1.5
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5.0
# The final response may be this much later than the route's timeout.
TIMEOUT_SLACK_S = 0.75
# A window is reported after its end by the correct time. Late reports come
# from frozen hosts; much later ones would come from a wrong clock.
MIN_REPORT_DELAY_S = 0.0
MAX_REPORT_DELAY_S = 60.0


# A run of so many requests in which none is served shows nothing.
MIN_JUDGED_REQUESTS = 20


def find_violations(
    outcomes: Iterable[Outcome],
    runs: Runs,
    duties: DutyService,
    disturbances: "Iterable[tuple[int, float, float]]",
) -> list[str]:
    """Return a line for each violated guarantee.

    Args:
        outcomes: Outcomes of all requests.
        runs: Requests that upstreams ran.
        duties: Usage reports that were received.
        disturbances: Spans (host, from, to) in which a host was disturbed, on
            the monotonic clock; time limits are checked only outside of them.
    """
    disturbed_spans = list(disturbances)
    outcome_by_id = {outcome.request_id: outcome for outcome in outcomes}
    violations = _find_leaving_violations(outcome_by_id, runs, disturbed_spans)
    for outcome in outcome_by_id.values():
        violations += [
            f"{violation}: {outcome.kind} {outcome.request_id} at host "
            f"{outcome.host}, status {outcome.status}"
            for violation in _find_request_violations(
                outcome, runs, disturbed_spans
            )
        ]
    served = sum(o.status == HTTPStatus.OK for o in outcome_by_id.values())
    if len(outcome_by_id) >= MIN_JUDGED_REQUESTS and not served:
        violations.append(f"none of {len(outcome_by_id)} requests was served")
    for window, counts in duties.counts_by_window.items():
        if len(counts) > 1:
            violations.append(
                f"window {window} was reported with conflicting counts"
            )
    for window, delays_s in duties.report_delays_s_by_window.items():
        violations += [
            f"window {window} was reported {delay_s:.1f} s after its end"
            for delay_s in delays_s
            if not MIN_REPORT_DELAY_S <= delay_s <= MAX_REPORT_DELAY_S
        ]
    return violations + find_duty_violations(duties.arrivals)


def find_duty_violations(arrivals: Sequence[DutyArrival]) -> list[str]:
    """Return a line for each call that a host sent outside of its term.

    Args:
        arrivals: Duty calls in the order of their arrival.
    """
    violations = []
    holder_by_token: dict[int, str] = {}
    highest = 0
    for arrival in arrivals:
        token = arrival.fencing_token
        if token < highest:
            violations.append(
                f"{arrival.holder} used fencing token {token} after {highest}"
            )
        highest = max(highest, token)
        if holder_by_token.setdefault(token, arrival.holder) != arrival.holder:
            violations.append(
                f"fencing token {token} was sent by several hosts"
            )
    terms = [
        list(calls)
        for _, calls in itertools.groupby(arrivals, lambda a: a.holder)
    ]
    for before, _, after in zip(terms, terms[1:], terms[2:], strict=False):
        away_s = after[0].arrived_s - before[-1].arrived_s
        if before[0].holder == after[0].holder and away_s < LEASE_S:
            violations.append(
                f"{before[0].holder} held the duties again after {away_s:.1f} s"
            )
    return violations


def find_pause_violations(
    outcomes: Iterable[Outcome],
    runs: Runs,
    disturbances: Iterable[tuple[int, float, float]],
    cuts: Iterable[tuple[str, float, float]],
) -> list[str]:
    """Return a line for each pause of an upstream that a host ignored.

    Args:
        outcomes: Outcomes of all requests.
        runs: Requests that reached upstreams.
        disturbances: Spans (host, from, to) in which a host was disturbed.
        cuts: Spans (upstream, from, to) in which connections to an upstream
            were disturbed, so that a host may not have got its response.
    """
    host_by_request = {o.request_id: o.host for o in outcomes}
    disturbed_spans, cut_spans = list(disturbances), list(cuts)
    violations = []
    for pause in runs.arrivals:
        if not pause.pause_s:
            continue
        host = host_by_request.get(pause.request_id)
        upstream = pause.upstream_id
        from_s = pause.arrived_s + PAUSE_SLACK_S
        to_s = pause.arrived_s + pause.pause_s
        if _overlaps(disturbed_spans, host, pause.arrived_s, to_s) or _overlaps(
            cut_spans, upstream, pause.arrived_s, to_s
        ):
            continue
        count = sum(
            arrival.upstream_id == upstream
            and from_s < arrival.arrived_s < to_s
            and host_by_request.get(arrival.request_id) == host
            for arrival in runs.arrivals
        )
        if count > MAX_REQUESTS_IN_PAUSE:
            violations.append(
                f"{count} requests of host {host} reached {upstream} in a "
                f"pause of {pause.pause_s:.1f} s"
            )
    return violations


def find_crash_violations(
    outcomes: Iterable[Outcome],
    runs: Runs,
    disturbances: Iterable[tuple[int, float, float]],
) -> list[str]:
    """Return lines for crashing prompts sent on and sound ones held back.

    Args:
        outcomes: Outcomes of all requests.
        runs: Requests that upstreams ran, and upstreams that ended.
        disturbances: Spans (host, from, to) in which a host was disturbed.
    """
    streams = [outcome for outcome in outcomes if outcome.kind == "stream"]
    outcome_by_id = {outcome.request_id: outcome for outcome in streams}
    violations = []
    if len(runs.crashes_s) >= CRASHES_TO_KNOW:
        late = _find_late(
            runs.crashing_ids,
            outcome_by_id,
            sorted(runs.crashes_s)[CRASHES_TO_KNOW - 1],
            list(disturbances),
        )
        if len(late) > MAX_LATE_CRASHING:
            violations.append(
                f"{len(late)} requests that end upstreams were sent on later "
                f"than {CRASH_CONTACT_S} s after the fifth crash"
            )
    sound = [outcome for outcome in streams if not outcome.crashing]
    held = sum(outcome.body.startswith(HELD_REASON) for outcome in sound)
    if held > MAX_HELD_SOUND_SHARE * len(sound):
        violations.append(
            f"{held} of {len(sound)} sound streams were held back"
        )
    return violations


def find_equal_crash_violations(
    outcomes: Sequence[Outcome],
    runs: Runs,
    disturbances: Iterable[tuple[int, float, float]],
) -> list[str]:
    """Return lines for equal requests that ended too many upstreams.

    Args:
        outcomes: Outcomes of all requests.
        runs: Requests that upstreams ran, and upstreams that ended.
        disturbances: Spans (host, from, to) in which a host was disturbed.
    """
    outcome_by_id = {outcome.request_id: outcome for outcome in outcomes}
    crashes_by_workspace: dict[str, list[EqualCrash]] = {}
    for crash in runs.equal_crashes:
        crashes_by_workspace.setdefault(crash.workspace, []).append(crash)
    spans = list(disturbances)
    violations = []
    for workspace, crashes in crashes_by_workspace.items():
        if len(crashes) < EQUAL_CRASHES_TO_KNOW:
            continue
        late = _find_late(
            [crash.request_id for crash in crashes],
            outcome_by_id,
            crashes[EQUAL_CRASHES_TO_KNOW - 1].crashed_s,
            spans,
        )
        if len(late) > MAX_LATE_CRASHING:
            violations.append(
                f"{len(late)} equal requests of {workspace} ended upstreams "
                f"later than {CRASH_CONTACT_S} s after the third crash"
            )
    sound = [o for o in outcomes if o.kind != "stream" and not o.crashing]
    held = sum(outcome.body.startswith(HELD_REASON) for outcome in sound)
    if held > MAX_HELD_SOUND_SHARE * len(sound):
        violations.append(
            f"{held} of {len(sound)} sound plain requests were held back"
        )
    return violations


def _find_late(
    crashing_ids: Iterable[str],
    outcome_by_id: Mapping[str, Outcome],
    shown_s: float,
    disturbances: Sequence[tuple[int, float, float]],
) -> list[Outcome]:
    """Return crashing requests that undisturbed hosts sent on too late.

    Args:
        crashing_ids: Crashing requests that reached upstreams.
        outcome_by_id: Outcomes of all requests.
        shown_s: Time of the crash that showed them.
        disturbances: Spans (host, from, to) in which a host was disturbed.
    """
    return [
        outcome
        for request_id in crashing_ids
        if (outcome := outcome_by_id.get(request_id)) is not None
        and outcome.began_s > shown_s + CRASH_CONTACT_S
        and not _overlaps(
            disturbances,
            outcome.host,
            outcome.began_s - CRASH_CONTACT_S,
            outcome.began_s,
        )
    ]


def find_limit_violations(
    outcomes: Iterable[Outcome],
    runs: Runs,
    disturbances: Iterable[tuple[int, float, float]],
    cuts: Iterable[tuple[str, float, float]],
) -> list[str]:
    """Return lines for upstreams that got more than the limit that they named.

    Args:
        outcomes: Outcomes of all requests.
        runs: Requests that reached upstreams, and the limits named.
        disturbances: Spans (host, from, to) in which a host was disturbed.
        cuts: Spans (upstream, from, to) in which connections to an upstream
            were disturbed, so that requests may arrive late.
    """
    host_by_request = {o.request_id: o.host for o in outcomes}
    disturbed_spans, cut_spans = list(disturbances), list(cuts)
    violations = []
    for limit in runs.limits:
        arrived_s = sorted(
            arrival.arrived_s
            for arrival in runs.arrivals
            if arrival.upstream_id == limit.upstream_id
            and limit.from_s + LIMIT_CONTACT_S < arrival.arrived_s < limit.to_s
            and not _overlaps(
                disturbed_spans,
                host_by_request.get(arrival.request_id),
                arrival.arrived_s - LIMIT_CONTACT_S,
                arrival.arrived_s,
            )
        )
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit.rate + LIMIT_EXTRA
        for first, from_s in enumerate(arrived_s):
            count = bisect.bisect(arrived_s, from_s + LIMIT_WINDOW_S) - first
            if count > allowed and not _overlaps(
                cut_spans, limit.upstream_id, from_s, from_s + LIMIT_WINDOW_S
            ):
                violations.append(
                    f"{count} requests in {LIMIT_WINDOW_S:.0f} s reached "
                    f"{limit.upstream_id}, which takes {limit.rate} a second"
                )
                break
    return violations


def _overlaps(
    spans: Iterable[tuple[Any, float, float]],
    subject: int | str | None,
    from_s: float,
    to_s: float,
) -> bool:
    return any(
        name == subject and begin_s < to_s and from_s < end_s
        for name, begin_s, end_s in spans
    )


def _find_leaving_violations(
    outcome_by_id: Mapping[str, Outcome],
    runs: Runs,
    disturbed_spans: list[tuple[int, float, float]],
) -> list[str]:
    arrivals = [
        (arrival, outcome_by_id[arrival.request_id])
        for arrival in runs.leaving_arrivals
        if arrival.request_id in outcome_by_id
    ]
    known_s: dict[tuple[int, str, int], float] = {}
    for arrival, outcome in arrivals:
        # With one run, the response is certainly that of this upstream.
        if (
            outcome.status == 200
            and outcome.complete
            and runs.starts_by_id[arrival.request_id] == 1
        ):
            key = (outcome.host, arrival.upstream_id, arrival.started_ms)
            ended_s = outcome.began_s + outcome.took_s
            known_s[key] = min(ended_s, known_s.get(key, ended_s))
    violations = []
    for arrival, outcome in arrivals:
        key = (outcome.host, arrival.upstream_id, arrival.started_ms)
        since_s = known_s.get(key, math.inf)
        is_disturbed = any(
            host == outcome.host
            and begin_s < outcome.began_s
            and since_s < end_s
            for host, begin_s, end_s in disturbed_spans
        )
        if outcome.began_s > since_s + DRAIN_TIMEOUT_S and not is_disturbed:
            violations.append(
                f"{outcome.request_id} reached {arrival.upstream_id} "
                f"{outcome.began_s - since_s:.1f} s after host {outcome.host} "
                "knew that it was leaving"
            )
    return violations


def _find_request_violations(
    outcome: Outcome,
    runs: Runs,
    disturbed_spans: list[tuple[int, float, float]],
) -> Iterable[str]:
    start_count = runs.starts_by_id[outcome.request_id]
    if outcome.kind == "once" and start_count > 1:
        yield "ran more than once"
    if outcome.status in NOT_RUN_STATUSES and start_count:
        yield "was reported as not run but ran"
    if outcome.key == "wrong" and start_count:
        yield "ran with an unknown key"
    if outcome.key != "wrong" and outcome.status in (401, 404):
        yield "was denied although its key and route are valid"
    if outcome.status == 200 and outcome.complete:
        yield from _find_answer_violations(outcome, start_count)
    if outcome.kind == "stream":
        yield from _find_stream_violations(outcome)
    ended_s = outcome.began_s + outcome.took_s
    is_undisturbed = not any(
        host == outcome.host and begin_s < ended_s and outcome.began_s < end_s
        for host, begin_s, end_s in disturbed_spans
    )
    if is_undisturbed and outcome.took_s > ROUTE_TIMEOUT_S + TIMEOUT_SLACK_S:
        yield f"got no final response in time ({outcome.took_s:.2f} s)"


def _find_answer_violations(
    outcome: Outcome, start_count: int
) -> Iterable[str]:
    if not start_count:
        yield "got a complete response but did not run"
    if outcome.kind != "stream" and outcome.body != outcome.request_id.encode():
        yield "got a wrong response body"


def _find_stream_violations(outcome: Outcome) -> Iterable[str]:
    event_ids = [int(n) for n in re.findall(rb"id: (\d+)\n", outcome.body)]
    if outcome.status != 200:
        return
    if event_ids != list(range(1, len(event_ids) + 1)):
        yield f"events out of order: {event_ids}"
    if outcome.complete and len(event_ids) != STREAM_EVENTS:
        yield f"stream ended as complete after {len(event_ids)} events"
    request_ids = set(re.findall(rb"data: (\w+)\n", outcome.body))
    if request_ids - {outcome.request_id.encode()}:
        yield "got another request's events"
