"""Name every statsd metric once; `docs/METRICS.md` is made from it."""

import attrs


@attrs.frozen
class MetricName:
    """One documented metric.

    Attributes:
        name: Its name after the prefix; parts in capitals vary.
        kind: `counter`, `timing` or `gauge`.
        meaning: What it tells, with its unit.
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
        "ms from a request's arrival to the end of its answer",
    ),
    MetricName(
        "configuration.adopted", "counter", "configurations put in force"
    ),
    MetricName(
        "configuration.store_went_back",
        "counter",
        "times the store gave an older version than was in force",
    ),
    MetricName(
        "grants.preempted",
        "counter",
        "attempts that an owner asked to cancel for a higher tier",
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
        "requests.refused.CODE", "counter", "refusals by code at this entry"
    ),
    MetricName(
        "requests.retried", "counter", "attempts repeated after a failure"
    ),
    MetricName(
        "usage.conflicts",
        "counter",
        "usage reports that the platform refused for other figures",
    ),
    MetricName(
        "usage.exposed",
        "counter",
        "answers that ended before any peer held their usage",
    ),
    MetricName(
        "usage.late_requests",
        "counter",
        "requests that a report carries for earlier windows",
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
            "`statsd.prefix`. This page is made from",
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
