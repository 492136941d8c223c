"""Check the recorded exchanges of the demo and render them as tables."""

from collections import Counter
from collections import defaultdict
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import attrs

from benchmarks.exchanges import Exchange
from benchmarks.exchanges import Result

_USAGE_FIGURES = ("requests", "prompt_tokens", "output_tokens")


@attrs.define
class Verdict:
    """Promises that were checked, with the result of each.

    Attributes:
        passed_by_promise: Whether each promise held.
        details: Faults that were found, for each promise that didn't hold.
        not_checked: Promises that this run could not check, and why.
    """

    passed_by_promise: dict[str, bool] = attrs.field(factory=dict)
    details: list[str] = attrs.field(factory=list)
    not_checked: list[str] = attrs.field(factory=list)

    @property
    def passed(self) -> bool:
        """Whether every promise that was checked held."""
        return all(self.passed_by_promise.values())

    def check(self, promise: str, faults: Sequence[str]) -> None:
        """Record a promise; it held when there are no faults."""
        self.passed_by_promise[promise] = not faults
        self.details += [f"{promise}: {fault}" for fault in faults[:5]]

    def skip(self, promise: str, reason: str) -> None:
        """Record a promise that this run can't check."""
        self.not_checked.append(f"{promise}: {reason}")

    def render(self) -> str:
        """Return the verdict as text."""
        lines = [
            f"  {'kept  ' if passed else 'BROKEN'}  {promise}"
            for promise, passed in self.passed_by_promise.items()
        ]
        lines += [f"  not checked  {line}" for line in self.not_checked]
        lines += [f"    {line}" for line in self.details]
        return "\n".join(lines)


@attrs.define
class UsageTotals:
    """Usage of one workspace: what callers got, and what was reported.

    Attributes:
        served: Totals of complete answers, by figure.
        cut: Totals of tries whose connection was lost, by figure; they
            may have been billed although the caller retried.
        reported: Totals of the reports, by figure.
    """

    served: Counter[str] = attrs.field(factory=Counter)
    cut: Counter[str] = attrs.field(factory=Counter)
    reported: Counter[str] = attrs.field(factory=Counter)

    def mismatches(self, workspace: str) -> list[str]:
        """Return the figures that don't match."""
        return [
            f"{workspace} {figure}: served {self.served[figure]}, reported "
            f"{self.reported[figure]}, cut {self.cut[figure]}"
            for figure in _USAGE_FIGURES
            if not 0
            <= self.reported[figure] - self.served[figure]
            <= self.cut[figure]
        ]


def total_usage(
    exchanges: Sequence[Exchange], reports: Sequence[Mapping[str, Any]]
) -> dict[str, UsageTotals]:
    """Return usage totals by workspace."""
    totals: dict[str, UsageTotals] = defaultdict(UsageTotals)
    for exchange in exchanges:
        usage = totals[exchange.workload.workspace]
        figures = Counter(
            requests=1,
            prompt_tokens=exchange.prompt_tokens,
            output_tokens=exchange.output_tokens,
        )
        if exchange.result is Result.ANSWERED:
            usage.served.update(figures)
        for _ in exchange.cut_at:
            usage.cut.update(figures)
    for report in reports:
        totals[report["workspace"]].reported.update(
            {figure: int(report[figure]) for figure in _USAGE_FIGURES}
        )
    return dict(totals)


def class_table(exchanges: Sequence[Exchange]) -> str:
    """Return the results of each class as a text table."""
    by_class: dict[str, list[Exchange]] = defaultdict(list)
    for exchange in exchanges:
        by_class[exchange.workload.class_name].append(exchange)
    rows = [["class", "sent", "answered", "refused", "unknown", "failed"]]
    rows[0] += ["wrong", "in target", "retried"]
    for name, group in sorted(by_class.items()):
        counts = Counter(exchange.result for exchange in group)
        in_target = sum(exchange.within_target for exchange in group)
        rows.append(
            [
                name,
                str(len(group)),
                str(counts[Result.ANSWERED]),
                str(counts[Result.REFUSED]),
                str(counts[Result.UNKNOWN]),
                str(counts[Result.FAILED]),
                str(counts[Result.WRONG]),
                f"{100 * in_target / len(group):.1f}%",
                str(sum(exchange.tries > 1 for exchange in group)),
            ]
        )
    return _render(rows)


def refusal_table(exchanges: Sequence[Exchange]) -> str:
    """Return the counts of refusals by reason as a text table."""
    counts = Counter(
        (e.workload.class_name, e.result.value, e.code)
        for e in exchanges
        if e.code and e.result is not Result.ANSWERED
    )
    rows = [["class", "result", "code", "count"]]
    rows += [[*key, str(count)] for key, count in sorted(counts.items())]
    return _render(rows)


def usage_table(totals: Mapping[str, UsageTotals]) -> str:
    """Return usage by workspace as a text table."""
    rows = [["workspace", "figure", "served", "reported", "cut"]]
    rows += [
        [
            name,
            figure,
            str(usage.served[figure]),
            str(usage.reported[figure]),
            str(usage.cut[figure]),
        ]
        for name, usage in sorted(totals.items())
        for figure in _USAGE_FIGURES
    ]
    return _render(rows)


def check_answers(verdict: Verdict, exchanges: Sequence[Exchange]) -> None:
    """Check the answers that callers got."""
    wrong = [e for e in exchanges if e.result is Result.WRONG]
    verdict.check(
        "every caller gets the whole answer to its own request",
        [f"{_label(e)}: {e.detail}" for e in wrong],
    )
    failed = [e for e in exchanges if e.result is Result.FAILED]
    verdict.check(
        "every request gets a response, after retries if necessary",
        [f"{_label(e)}: {e.detail}" for e in failed],
    )
    for name in sorted({e.workload.class_name for e in exchanges}):
        group = [e for e in exchanges if e.workload.class_name == name]
        answered = any(e.result is Result.ANSWERED for e in group)
        details = sorted({e.detail for e in group})
        verdict.check(f"class {name} is served", [] if answered else details)


def check_bookings(
    verdict: Verdict,
    exchanges: Sequence[Exchange],
    runs_by_digest: Mapping[str, int],
) -> None:
    """Check how often bookings ran."""
    bookings = [e for e in exchanges if e.workload.booking]
    runs = {e.number: runs_by_digest.get(e.body_sha256, 0) for e in bookings}
    verdict.check(
        "a booking runs at most once",
        [
            f"{_label(e)} ran more than once"
            for e in bookings
            if runs[e.number] > 1
        ],
    )
    verdict.check(
        "an answered booking ran",
        [
            f"{_label(e)} did not run"
            for e in bookings
            if e.result is Result.ANSWERED and not runs[e.number]
        ],
    )
    verdict.check(
        "a booking refused as not run did not run",
        [
            f"{_label(e)} ran: {e.detail}"
            for e in bookings
            if e.result is Result.REFUSED and e.not_run and runs[e.number]
        ],
    )


def _label(exchange: Exchange) -> str:
    return f"{exchange.workload.class_name} {exchange.number}"


def _render(rows: Sequence[Sequence[str]]) -> str:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
