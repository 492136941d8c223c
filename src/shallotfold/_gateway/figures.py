"""Count and time what a host does, for its metrics page."""

import bisect
from collections.abc import Mapping
import itertools

import attrs

# Upper bounds of the latency histogram, in seconds.
LATENCY_BOUNDS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0)


@attrs.define
class _Histogram:
    counts: list[int] = attrs.field(
        factory=lambda: [0] * (len(LATENCY_BOUNDS_S) + 1)
    )
    total_s: float = 0.0

    def add(self, value_s: float) -> None:
        self.counts[bisect.bisect_left(LATENCY_BOUNDS_S, value_s)] += 1
        self.total_s += value_s


@attrs.define
class Figures:
    """Counters and histograms in the text format of Prometheus."""

    _count_by_name: dict[str, int] = attrs.field(factory=dict)
    _answers_by_status: dict[int, int] = attrs.field(factory=dict)
    _latency_by_route: dict[str, _Histogram] = attrs.field(factory=dict)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._count_by_name[name] = self._count_by_name.get(name, 0) + value

    def count_answer(self, status: int) -> None:
        """Count an answer to a caller."""
        answers = self._answers_by_status
        answers[status] = answers.get(status, 0) + 1

    def time_answer(self, route: str, value_s: float) -> None:
        """Record the time to the first part of an answer."""
        self._latency_by_route.setdefault(route, _Histogram()).add(value_s)

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Return the metrics page."""
        lines = []
        for name, value in sorted(self._count_by_name.items()):
            lines += [
                f"# TYPE shallotfold_{name}_total counter",
                f"shallotfold_{name}_total {value}",
            ]
        lines.append("# TYPE shallotfold_answers_total counter")
        for status, value in sorted(self._answers_by_status.items()):
            lines.append(
                f'shallotfold_answers_total{{status="{status}"}} {value}'
            )
        for name, gauge in sorted(gauges.items()):
            lines += [
                f"# TYPE shallotfold_{name} gauge",
                f"shallotfold_{name} {gauge:g}",
            ]
        lines.append("# TYPE shallotfold_first_part_seconds histogram")
        for route, histogram in sorted(self._latency_by_route.items()):
            lines += _histogram_lines(route, histogram)
        return ("\n".join(lines) + "\n").encode()


def _histogram_lines(route: str, histogram: _Histogram) -> list[str]:
    name = "shallotfold_first_part_seconds"
    bounds = [f"{bound:g}" for bound in LATENCY_BOUNDS_S] + ["+Inf"]
    sums = itertools.accumulate(histogram.counts)
    lines = [
        f'{name}_bucket{{route="{route}",le="{bound}"}} {count}'
        for bound, count in zip(bounds, sums, strict=True)
    ]
    lines.append(f'{name}_sum{{route="{route}"}} {histogram.total_s:.6f}')
    count = sum(histogram.counts)
    lines.append(f'{name}_count{{route="{route}"}} {count}')
    return lines
