"""Tell from the logs of gateways what happened to a request.

Hosts' clocks may differ, so that lines are ordered by the host that wrote
them; each line counts with what its host believed at that point of its log.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import json
from typing import Any

import attrs

from shallotfold._errors import UsageError

# A first part later than this is worth a word; well above every prompt's
# reading time on an idle upstream.
SLOW_FIRST_PART_MS = 1_000
# A configuration is in force on all hosts this long after the first has it;
# the bound that the gateway is built for.
CONFIGURATION_SPREAD_S = 2.0
# Second sends stop for want of budget after so many failures nearby.
MANY_FAILURES = 20
FAILED_ATTEMPTS = ("broken", "not_run", "upstream_failed", "unsent")

Line = Mapping[str, Any]


@attrs.define
class HostBelief:
    """What a host believed, as far as its log said so before a line.

    Attributes:
        configuration: Version in force; `None`: not logged yet.
        upstreams_revision: Store revision of its list of upstreams.
        lost_dependencies: Parts of the store that it couldn't reach.
        failures: Attempts that failed there so far, of all requests.
        dropped: Lines that it dropped so far.
    """

    configuration: int | None = None
    upstreams_revision: int | None = None
    lost_dependencies: set[str] = attrs.field(factory=set)
    failures: int = 0
    dropped: int = 0

    def learn(self, line: Line) -> None:
        """Take over what a line says of its host."""
        self.dropped += line.get("lines_dropped_before", 0)
        decision = line.get("decision")
        if decision == "configuration":
            self.configuration = line.get("version")
        elif decision == "upstreams":
            self.upstreams_revision = line.get("revision")
        elif decision == "dependency_lost":
            self.lost_dependencies.add(str(line.get("prefix")))
        elif decision == "dependency_regained":
            self.lost_dependencies.discard(str(line.get("prefix")))
        elif decision in FAILED_ATTEMPTS:
            self.failures += 1


@attrs.frozen(kw_only=True)
class Step:
    """One line about the request, with what its host believed then."""

    host: str
    line: Line
    belief: HostBelief

    @property
    def decision(self) -> str:
        """What was decided."""
        return str(self.line.get("decision"))

    @property
    def inputs(self) -> str:
        """The inputs of the decision, for people."""
        hidden = {
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
            if key not in hidden
        )


@attrs.frozen(kw_only=True)
class Story:
    """All that logs say of one request.

    Attributes:
        request_id: Its id.
        steps: Lines about it, in the order in which each host wrote them.
        belief_by_host: What each host believed at the end of its log.
        configurations: Times of day and versions at which hosts put one in
            force, each by its own clock.
    """

    request_id: str
    steps: tuple[Step, ...]
    belief_by_host: Mapping[str, HostBelief]
    configurations: tuple[tuple[float, int], ...] = ()

    def causes(self) -> list[str]:
        """Return what led to the final answer, most telling first."""
        if not self.steps:
            return [self._why_unknown()]
        found = []
        for step in self.steps:
            explain = _EXPLANATIONS.get(step.decision)
            if explain is not None:
                found += explain(self, step)
        return found or ["nothing unusual: no decision against the request"]

    def configuration_at(self, time_s: float) -> int:
        """Return the newest version that all hosts should have had by then."""
        spread_s = time_s - CONFIGURATION_SPREAD_S
        known = [v for at_s, v in self.configurations if at_s <= spread_s]
        return max(known, default=0)

    def attempts_of(self, host: str) -> list[Step]:
        """Return the attempts that a host made for the request."""
        return [
            s for s in self.steps if s.host == host and s.decision == "send"
        ]

    def _why_unknown(self) -> str:
        dropped = sorted(
            host
            for host, belief in self.belief_by_host.items()
            if belief.dropped
        )
        if dropped:
            return (
                "no host logged the request, but these dropped lines: "
                + ", ".join(dropped)
            )
        return (
            "no host logged the request: it reached none of them, or the logs "
            "given don't cover its time"
        )


def read_story(lines: Iterable[str], request_id: str) -> Story:
    """Collect the lines about a request.

    Args:
        lines: Lines of one or several hosts' logs, each host's in order.
        request_id: Id of the request.

    Raises:
        UsageError: No line is one of a gateway's log.
    """
    belief_by_host: dict[str, HostBelief] = {}
    configurations = []
    steps = []
    for text in lines:
        line = _parse(text)
        if line is None:
            continue
        host = str(line["host"])
        belief = belief_by_host.setdefault(host, HostBelief())
        belief.learn(line)
        if line.get("decision") == "configuration":
            configurations.append((line["time"], line["version"]))
        if line.get("request_id") == request_id:
            seen = attrs.evolve(
                belief, lost_dependencies=set(belief.lost_dependencies)
            )
            steps.append(Step(host=host, line=line, belief=seen))
    if not belief_by_host:
        raise UsageError("the files hold no log of a gateway; check --logs")
    steps.sort(key=lambda step: step.host)
    return Story(
        request_id=request_id,
        steps=tuple(steps),
        belief_by_host=belief_by_host,
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


def _explain_reject(story: Story, step: Step) -> list[str]:
    line, belief = step.line, step.belief
    version = line.get("configuration", belief.configuration)
    found = [
        f"{step.host} answered {line.get('status')} by itself: "
        f"{line.get('reason')}; configuration {version} was in force there"
    ]
    newest = story.configuration_at(float(line.get("time", 0.0)))
    if version is not None and newest > version:
        found.append(
            f"other hosts had configuration {newest} by then: {step.host} was "
            "behind"
        )
    if belief.lost_dependencies:
        lost = ", ".join(sorted(belief.lost_dependencies))
        found.append(f"{step.host} could not reach the store for {lost}")
    return found


def _explain_refuse(story: Story, step: Step) -> list[str]:
    retry_after_s = float(step.line.get("retry_after_s", 0.0))
    found = [
        f"{step.host} refused it, not run: {step.line.get('reason')}; "
        f"to be repeated after {retry_after_s:.2f} s"
    ]
    if not story.attempts_of(step.host):
        revision = step.belief.upstreams_revision
        found.append(
            "no attempt was made: see the upstreams at store revision "
            f"{revision} and what was ordered"
        )
    return found


def _explain_fail(story: Story, step: Step) -> list[str]:
    attempts = story.attempts_of(step.host)
    found = [
        f"{step.host} gave it up with {step.line.get('status')}: "
        f"{step.line.get('reason')}"
    ]
    if attempts and step.line.get("reason") == "time ran out":
        last = attempts[-1].line
        found.append(
            f"upstream {last.get('upstream')} gave no answer in the "
            f"{last.get('allowed_ms')} ms that were left"
        )
    if len(attempts) == 1 and step.belief.failures >= MANY_FAILURES:
        found.append(
            f"there was one attempt, and {step.belief.failures} attempts had "
            f"failed on {step.host} by then: the route may allow one only, or "
            "the budget for second sends was spent"
        )
    return found


def _explain_failed_attempt(story: Story, step: Step) -> list[str]:
    del story
    what = step.line.get("reason", step.line.get("status"))
    return [f"upstream {step.line.get('upstream')}: {step.decision}, {what}"]


def _explain_done(story: Story, step: Step) -> list[str]:
    attempts = story.attempts_of(step.host)
    first_ms = step.line.get("first_ms", step.line.get("took_ms", 0))
    if first_ms is None or first_ms < SLOW_FIRST_PART_MS:
        return []
    if len(attempts) > 1:
        return [
            f"the first part came after {first_ms} ms, at attempt "
            f"{len(attempts)}: the time went to the attempts before"
        ]
    if attempts:
        return [
            f"the first part came after {first_ms} ms; load believed at the "
            f"upstream: {attempts[0].line.get('reason')}"
        ]
    return []


def _explain_left(story: Story, step: Step) -> list[str]:
    del story
    begun = "after" if step.line.get("begun") else "before"
    return [f"the caller closed its connection {begun} the answer began"]


_EXPLANATIONS = {
    "reject": _explain_reject,
    "refuse": _explain_refuse,
    "fail": _explain_fail,
    "done": _explain_done,
    "caller_left": _explain_left,
    **dict.fromkeys(FAILED_ATTEMPTS, _explain_failed_attempt),
}
