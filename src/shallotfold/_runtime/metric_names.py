"""Declare all statsd metrics; `docs/METRICS.md` is generated from them."""

import attrs


@attrs.frozen
class MetricName:
    """One documented metric.

    Attributes:
        name: Name after the prefix; parts in capitals are placeholders.
        kind: `counter`, `timing` or `gauge`.
        meaning: What it measures, with its unit.
    """

    name: str
    kind: str
    meaning: str


METRICS = (
    MetricName(
        "class.CLASS.first_token_s",
        "timing",
        "ms from a request's arrival to its first token at the caller",
    ),
    MetricName(
        "class.CLASS.whole_answer_s",
        "timing",
        "ms from a request's arrival to the end of its response",
    ),
    MetricName("configuration.adopted", "counter", "configurations applied"),
    MetricName(
        "configuration.store_went_back",
        "counter",
        "times the store returned an older version than the one in force",
    ),
    MetricName(
        "grants.preempted",
        "counter",
        "attempts that a pool owner asked to cancel for a higher tier",
    ),
    MetricName(
        "lease.unanswered",
        "counter",
        "lease calls of a controller that the store did not answer",
    ),
    MetricName(
        "orders.unanswered",
        "counter",
        "upstream orders without an answer; they are looked up by id",
    ),
    MetricName(
        "requests.preempted",
        "counter",
        "attempts cancelled here for a higher tier; they are resumed",
    ),
    MetricName(
        "requests.refused.CODE",
        "counter",
        "requests refused at this entry, by code",
    ),
    MetricName("requests.retried", "counter", "retries after a failed attempt"),
    MetricName(
        "usage.conflicts",
        "counter",
        "usage reports refused because other figures were accepted before",
    ),
    MetricName(
        "usage.exposed",
        "counter",
        "responses that ended before any peer had replicated their usage",
    ),
    MetricName(
        "usage.late_requests",
        "counter",
        "requests of earlier windows that were added to a report",
    ),
)


def render_page() -> str:
    """Return the documentation page of all metrics."""
    rows = [
        f"| `{metric.name}` | {metric.kind} | {metric.meaning} |"
        for metric in METRICS
    ]
    return "\n".join(
        [
            "# Metrics",
            "",
            "Sent to statsd at `statsd.address`, each name after",
            "`statsd.prefix`. This page is generated from",
            "`shallotfold._runtime.metric_names` by",
            "`python -m shallotfold._runtime.metric_names`.",
            "",
            "| name | kind | meaning |",
            "| --- | --- | --- |",
            *rows,
            "",
        ]
    )


if __name__ == "__main__":
    import sys

    sys.stdout.write(render_page())
