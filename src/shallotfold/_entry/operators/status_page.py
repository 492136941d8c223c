"""Render the status of an entry as one HTML page without scripts."""

import base64
import collections
from collections.abc import Iterable
from collections.abc import Sequence
import hashlib
import html
import time

from shallotfold._entry.membership import membership
from shallotfold._entry.operators.attainment import WINDOW_MINUTES
from shallotfold._entry.operators.attainment import Attainment
from shallotfold._entry.operators.attainment import Row
from shallotfold._entry.operators.attainment import Tally
from shallotfold._entry.state.entry_state import EntryState

MAX_TABLE_ROWS = 1000
BAR_WIDTH = 12
CHART_HEIGHT = 32
_STYLE = (
    "body{font:14px sans-serif;margin:2em}"
    "table{border-collapse:collapse}"
    "th,td{border:1px solid #bbb;padding:.2em .6em;text-align:left}"
)
_STYLE_SHA256 = base64.b64encode(
    hashlib.sha256(_STYLE.encode()).digest()
).decode()
PAGE_HEADERS = {
    "Content-Security-Policy": (
        f"default-src 'none'; style-src 'sha256-{_STYLE_SHA256}'; "
        "base-uri 'none'; form-action 'none'; frame-ancestors 'none'"
    ),
    "Cache-Control": "no-store",
    "Referrer-Policy": "no-referrer",
    "X-Content-Type-Options": "nosniff",
}


class SafeHtml(str):
    """Text that is already HTML; any other value is escaped."""

    __slots__ = ()


def render_page(
    state: EntryState, attainment: Attainment, now_s: float, *, ready: bool
) -> str:
    """Return the page.

    Args:
        state: State of the entry.
        attainment: Its counts.
        now_s: Monotonic time.
        ready: Whether the entry accepts new requests.
    """
    title = _escape(f"Entry {state.host}")
    sections = (
        _render_entry(state, ready=ready),
        _render_attainment(attainment, now_s),
        _render_queues(state),
        _render_upstreams(state, now_s),
    )
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        '<meta http-equiv="refresh" content="10">'
        f"<title>{title}</title><style>{_STYLE}</style></head>"
        f"<body><h1>{title}</h1>{''.join(sections)}</body></html>"
    )


def _render_entry(state: EntryState, *, ready: bool) -> str:
    peers = [h for h in membership.live_entries(state) if h != state.host]
    rendered_at = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime())
    return _table(
        "State",
        ("Property", "Value"),
        (
            ("Written", rendered_at),
            ("Data centre", state.data_centre),
            ("Configuration version", state.configuration.version),
            ("Configuration SHA-256", state.configuration.sha256),
            ("Ready", _yes_no(ready)),
            ("Draining", _yes_no(state.draining)),
            ("Open requests", len(state.requests.open_by_id)),
            ("Live peers", f"{len(peers)}: {', '.join(peers)}"),
        ),
    )


def _render_attainment(attainment: Attainment, now_s: float) -> str:
    rows = [_attainment_cells(row) for row in attainment.rows(now_s)]
    answers = _table(
        f"Answers within target, this minute and {WINDOW_MINUTES - 1} before",
        ("Class", "Target", "Answers", "Within", "Share", "By minute"),
        rows,
    )
    omitted = attainment.omitted(now_s)
    if omitted:
        answers += f"<p>{omitted} more have no row.</p>"
    refusals = attainment.refusals_by_code(now_s)
    return answers + _table(
        "Refusals in the same time (not among the answers)",
        ("Code", "Requests"),
        refusals.items(),
    )


def _attainment_cells(row: Row) -> Sequence[object]:
    return (
        row.key.class_name,
        row.key.measure.value,
        row.total.answers,
        row.total.within,
        _share(row.total),
        _chart(row.minutes),
    )


def _render_queues(state: EntryState) -> str:
    rows: list[Sequence[object]] = []
    for name, pool in sorted(state.pools.pools_by_name.items()):
        if not pool.owned:
            continue
        waiting = collections.Counter(
            queued.tier for queued in pool.queue.waiting_by_attempt.values()
        )
        running = collections.Counter(
            grant.tier for grant in pool.running_by_attempt.values()
        )
        tiers = sorted({*waiting, *running})
        rows.extend((name, t, waiting[t], running[t]) for t in tiers)
        if not tiers:
            rows.append((name, "", 0, 0))
    return _table(
        "Queues of the pools that this entry owns",
        ("Pool", "Tier", "Waiting", "Running"),
        rows,
    )


def _render_upstreams(state: EntryState, now_s: float) -> str:
    catalog = state.pools.catalog
    return _table(
        "Upstreams",
        ("Upstream", "Data centre", "Serves", "Slots", "State as seen here"),
        [
            (
                upstream.name,
                upstream.data_centre,
                upstream.model or upstream.service,
                upstream.slots,
                upstream_state(state, upstream.name, now_s),
            )
            for _, upstream in sorted(catalog.upstreams_by_name.items())
        ],
    )


def upstream_state(state: EntryState, name: str, now_s: float) -> str:
    """Return the health of an upstream as seen by this entry, as text."""
    health = state.pools.health_by_upstream.get(name)
    if name in state.pools.catalog.leaving:
        return "leaving"
    if health is None:
        return "not judged"
    if health.leaving:
        return "leaving"
    cause = "slow" if health.slow else f"{health.failures} failures in a row"
    if now_s < health.ejected_until_s:
        return f"closed for {health.ejected_until_s - now_s:.1f} s, {cause}"
    return f"probing, {cause}" if health.probing else "open"


def _chart(minutes: Sequence[Tally]) -> SafeHtml:
    """Render a bar chart of shares; a minute without answers has no bar."""
    bars = "".join(
        _bar(number, tally)
        for number, tally in enumerate(minutes)
        if tally.answers
    )
    width = BAR_WIDTH * len(minutes)
    return SafeHtml(
        f'<svg width="{width}" height="{CHART_HEIGHT}" role="img" '
        'aria-label="share within target by minute">'
        f'<rect width="{width}" height="{CHART_HEIGHT}" fill="#eee"/>'
        f"{bars}</svg>"
    )


def _bar(number: int, tally: Tally) -> str:
    # A share of zero is still visible, as a line at the bottom.
    height = max(1.0, CHART_HEIGHT * tally.within / tally.answers)
    return (
        f'<rect x="{number * BAR_WIDTH + 1}" y="{CHART_HEIGHT - height:.1f}" '
        f'width="{BAR_WIDTH - 2}" height="{height:.1f}" fill="#36c">'
        f"<title>{tally.within} of {tally.answers}</title></rect>"
    )


def _share(tally: Tally) -> str:
    # Rounded down, so that 100% is only shown if no target was missed.
    permille = 1000 * tally.within // tally.answers
    return f"{permille // 10}.{permille % 10}%"


def _table(
    title: str, names: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    all_rows = list(rows)
    body = "".join(_row(cells) for cells in all_rows[:MAX_TABLE_ROWS])
    head = "".join(f"<th>{_escape(name)}</th>" for name in names)
    omitted_rows = len(all_rows) - MAX_TABLE_ROWS
    note = (
        f"<p>{omitted_rows} more rows are not shown.</p>"
        if omitted_rows > 0
        else ""
    )
    if not all_rows:
        note = "<p>None.</p>"
    return (
        f"<h2>{_escape(title)}</h2><table><tr>{head}</tr>{body}</table>{note}"
    )


def _row(cells: Sequence[object]) -> str:
    return f"<tr>{''.join(f'<td>{_escape(cell)}</td>' for cell in cells)}</tr>"


def _escape(value: object) -> str:
    return value if isinstance(value, SafeHtml) else html.escape(str(value))


def _yes_no(value: object) -> str:
    return "yes" if value else "no"
