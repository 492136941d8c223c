"""Reconstruct from the logs of gateways what happened to a request.

The clocks of hosts may differ, so lines are grouped by host and not merged by
time. Each line is read with the state that its host had logged up to that line.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import json
from typing import Any

import attrs

from shallotfold._errors import UsageError

# A later first event is reported as slow; well above the prefill time of any
# prompt on an idle upstream.
SLOW_FIRST_EVENT_MS = 1_000
# All hosts have applied a configuration this long after the first host did;
# the gateway is designed to this bound.
CONFIGURATION_PROPAGATION_S = 2.0
# After this many failed attempts on a host its retry budget may be spent.
MANY_FAILURES = 20
FAILED_ATTEMPT_DECISIONS = ("broken", "not_run", "upstream_failed", "unsent")

Line = Mapping[str, Any]


@attrs.define
class HostView:
    """The state of a host as its log shows it at one line.

    Attributes:
        configuration: Version in force; `None` if not logged yet.
        upstreams_revision: Store revision of its list of upstreams.
        lost_dependencies: Store prefixes that it could not reach.
        failed_attempts: Failed attempts of all requests on this host so far.
        dropped_lines: Log lines that the host dropped so far.
        limit_by_upstream: Requests a second that upstreams named.
    """

    configuration: int | None = None
    upstreams_revision: int | None = None
    lost_dependencies: set[str] = attrs.field(factory=set)
    failed_attempts: int = 0
    dropped_lines: int = 0
    limit_by_upstream: dict[str, float] = attrs.field(factory=dict)

    def apply_line(self, line: Line) -> None:
        """Update the view from a line of the host's log."""
        self.dropped_lines += line.get("lines_dropped_before", 0)
        decision = line.get("decision")
        if decision == "configuration":
            self.configuration = line.get("version")
        elif decision == "upstreams":
            self.upstreams_revision = line.get("revision")
        elif decision == "dependency_lost":
            self.lost_dependencies.add(str(line.get("prefix")))
        elif decision == "dependency_regained":
            self.lost_dependencies.discard(str(line.get("prefix")))
        elif decision == "upstream_limit":
            upstream = str(line.get("upstream"))
            self.limit_by_upstream.pop(upstream, None)
            if line.get("per_second") is not None:
                self.limit_by_upstream[upstream] = float(line["per_second"])
        elif decision in FAILED_ATTEMPT_DECISIONS:
            self.failed_attempts += 1
        elif decision == "start":
            self.limit_by_upstream.clear()

    def describe_limits(self) -> str:
        """Return the limits that upstreams named, as readable text."""
        listed = ", ".join(
            f"{upstream} {rate:g}"
            for upstream, rate in sorted(self.limit_by_upstream.items())
        )
        return (
            "upstreams named limits, in requests a second of all hosts "
            f"together: {listed}"
        )


@attrs.frozen(kw_only=True)
class TraceStep:
    """One log line about the request and the state of its host then."""

    host: str
    line: Line
    view: HostView

    @property
    def decision(self) -> str:
        """Name of the decision."""
        return str(self.line.get("decision"))

    @property
    def inputs(self) -> str:
        """Inputs of the decision as readable text."""
        omitted_keys = {
            "time",
            "up",
            "host",
            "data_centre",
            "incarnation",
            "decision",
            "request_id",
        }
        return " ".join(
            f"{key}={value}"
            for key, value in self.line.items()
            if key not in omitted_keys
        )


@attrs.frozen(kw_only=True)
class RequestTrace:
    """Everything that the logs contain about one request.

    Attributes:
        request_id: Its id.
        steps: Lines about it, in the order in which each host wrote them.
        view_by_host: State of each host at the end of its log.
        configurations: Time and version of each configuration that a host
            applied; the time is by that host's own clock.
    """

    request_id: str
    steps: tuple[TraceStep, ...]
    view_by_host: Mapping[str, HostView]
    configurations: tuple[tuple[float, int], ...] = ()

    def causes(self) -> list[str]:
        """Return the likely causes of the outcome, in order of the steps."""
        if not self.steps:
            return [self._explain_missing()]
        causes = []
        for step in self.steps:
            explain = _EXPLANATIONS.get(step.decision)
            if explain is not None:
                causes += explain(self, step)
        return causes or ["nothing unusual: no decision against the request"]

    def configuration_at(self, time_s: float) -> int:
        """Return the newest version that all hosts should have had then."""
        cutoff_s = time_s - CONFIGURATION_PROPAGATION_S
        versions = [v for at_s, v in self.configurations if at_s <= cutoff_s]
        return max(versions, default=0)

    def attempts_of(self, host: str) -> list[TraceStep]:
        """Return the attempts that a host made for the request."""
        return [
            s for s in self.steps if s.host == host and s.decision == "send"
        ]

    def _explain_missing(self) -> str:
        incomplete_hosts = sorted(
            host
            for host, view in self.view_by_host.items()
            if view.dropped_lines
        )
        if incomplete_hosts:
            return (
                "no host logged the request, but these dropped lines: "
                + ", ".join(incomplete_hosts)
            )
        return (
            "no host logged the request: it reached none of them, or the logs "
            "given don't cover its time"
        )


def read_trace(lines: Iterable[str], request_id: str) -> RequestTrace:
    """Collect the log lines about a request.

    Args:
        lines: Log lines of one or more hosts, those of each host in order.
        request_id: Id of the request.

    Raises:
        UsageError: No line comes from the log of a gateway.
    """
    view_by_host: dict[str, HostView] = {}
    configurations = []
    steps = []
    for text in lines:
        line = _parse(text)
        if line is None:
            continue
        host = str(line["host"])
        view = view_by_host.setdefault(host, HostView())
        view.apply_line(line)
        if line.get("decision") == "configuration":
            configurations.append((line["time"], line["version"]))
        if line.get("request_id") == request_id:
            view_at_line = attrs.evolve(
                view,
                lost_dependencies=set(view.lost_dependencies),
                limit_by_upstream=dict(view.limit_by_upstream),
            )
            steps.append(TraceStep(host=host, line=line, view=view_at_line))
    if not view_by_host:
        raise UsageError("no file contains the log of a gateway; check --logs")
    steps.sort(key=lambda step: step.host)
    return RequestTrace(
        request_id=request_id,
        steps=tuple(steps),
        view_by_host=view_by_host,
        configurations=tuple(configurations),
    )


def _parse(text: str) -> Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        # Other programs may write to the same file.
        return None
    if isinstance(line, dict) and {"host", "up", "time"} <= line.keys():
        return line
    return None


def _explain_rejection(trace: RequestTrace, step: TraceStep) -> list[str]:
    line, view = step.line, step.view
    version = line.get("configuration", view.configuration)
    causes = [
        f"{step.host} answered {line.get('status')} itself: "
        f"{line.get('reason')}; configuration {version} was in force there"
    ]
    newest = trace.configuration_at(float(line.get("time", 0.0)))
    if version is not None and newest > version:
        causes.append(
            f"other hosts had configuration {newest} by then: {step.host} was "
            "behind"
        )
    if view.lost_dependencies:
        lost = ", ".join(sorted(view.lost_dependencies))
        causes.append(f"{step.host} could not reach the store for {lost}")
    return causes


def _explain_refusal(trace: RequestTrace, step: TraceStep) -> list[str]:
    retry_after_s = float(step.line.get("retry_after_s", 0.0))
    causes = [
        f"{step.host} refused it without running it: "
        f"{step.line.get('reason')}; retry after {retry_after_s:.2f} s"
    ]
    if step.view.limit_by_upstream:
        causes.append(step.view.describe_limits())
    elif not trace.attempts_of(step.host):
        revision = step.view.upstreams_revision
        causes.append(
            "no attempt was made: check the upstreams at store revision "
            f"{revision} and the upstream orders"
        )
    return causes


def _explain_send(trace: RequestTrace, step: TraceStep) -> list[str]:
    del trace
    if not step.view.limit_by_upstream:
        return []
    return [
        f"{step.host} sent it to {step.line.get('upstream')} while "
        f"{step.view.describe_limits()}"
    ]


def _explain_failure(trace: RequestTrace, step: TraceStep) -> list[str]:
    attempts = trace.attempts_of(step.host)
    causes = [
        f"{step.host} failed it with {step.line.get('status')}: "
        f"{step.line.get('reason')}"
    ]
    if attempts and step.line.get("reason") == "time ran out":
        last = attempts[-1].line
        causes.append(
            f"upstream {last.get('upstream')} did not respond in the "
            f"remaining {last.get('allowed_ms')} ms"
        )
    if len(attempts) == 1 and step.view.failed_attempts >= MANY_FAILURES:
        causes.append(
            f"there was one attempt, and {step.view.failed_attempts} attempts "
            f"had failed on {step.host} by then: the route may allow only "
            "one, or the retry budget was spent"
        )
    return causes


def _explain_failed_attempt(trace: RequestTrace, step: TraceStep) -> list[str]:
    del trace
    reason = step.line.get("reason", step.line.get("status"))
    return [f"upstream {step.line.get('upstream')}: {step.decision}, {reason}"]


def _explain_done(trace: RequestTrace, step: TraceStep) -> list[str]:
    attempts = trace.attempts_of(step.host)
    first_ms = step.line.get("first_ms", step.line.get("took_ms", 0))
    if first_ms is None or first_ms < SLOW_FIRST_EVENT_MS:
        return []
    if len(attempts) > 1:
        return [
            f"the first event came after {first_ms} ms, at attempt "
            f"{len(attempts)}: earlier attempts used the time"
        ]
    if attempts:
        return [
            f"the first event came after {first_ms} ms; estimated load of the "
            f"upstream: {attempts[0].line.get('reason')}"
        ]
    return []


def _explain_disconnect(trace: RequestTrace, step: TraceStep) -> list[str]:
    del trace
    when = "after" if step.line.get("begun") else "before"
    return [f"the caller closed its connection {when} the response began"]


_EXPLANATIONS = {
    "reject": _explain_rejection,
    "send": _explain_send,
    "refuse": _explain_refusal,
    "fail": _explain_failure,
    "done": _explain_done,
    "caller_left": _explain_disconnect,
    **dict.fromkeys(FAILED_ATTEMPT_DECISIONS, _explain_failed_attempt),
}
