"""Compute docs/CAPACITY.md from the measured slopes.

python -m benchmarks.capacity docs/capacity-slopes.json docs/CAPACITY.md
"""

import argparse
from collections.abc import Sequence
import json
import pathlib
import statistics
from typing import Any

import attrs

from shallotfold._gateway.following import prefix_watcher
from shallotfold._gateway.following import store_followers
from shallotfold._gateway.peers import peers

MEGABYTE = 1_000_000
# A heartbeat between gateways with the loads of 20 upstreams and 8 prefixes,
# and the time that one core takes to read it.
HEARTBEAT_BYTES = 602
HEARTBEAT_READ_S = 49e-6
GATEWAY_FLEET_SIZES = (64, 100, 300, 350, 1000)


@attrs.frozen(kw_only=True)
class Fleet:
    """The required size that decides the design, with limits per node."""

    nodes: int = 350
    upstreams: int = 3300
    requests_per_s: float = 2800.0
    tokens_per_s: float = 1_400_000.0
    workspaces: int = 8700
    changes_per_day: float = 2000.0
    max_core_percent: float = 4.5
    max_megabytes: float = 128.0
    max_bytes_per_s: float = 3000.0
    pool_upstreams: int = 12
    store_reads_per_s: float = 2000.0
    flush_bytes_per_s: float = 1000.0
    host_changes_per_day: float = 401.0
    unchanged_poll_bytes: float = 300.0
    host_poll_interval_s: float = 10.0


class Slopes:
    """The measured quantities, each with a linear fit."""

    def __init__(self, measures: Sequence[dict[str, Any]]) -> None:
        self._points_by_name = {m["name"]: m["points"] for m in measures}

    def value_at(self, name: str, size: float) -> float:
        """Return a quantity at a size, from its linear fit."""
        sizes, values = zip(*self._points_by_name[name], strict=True)
        if len(sizes) == 1:
            return float(values[0]) * size / float(sizes[0])
        fit = statistics.linear_regression(sizes, values)
        return fit.intercept + fit.slope * size

    def slope(self, name: str) -> float:
        """Return the growth of a quantity per unit of its size."""
        sizes, values = zip(*self._points_by_name[name], strict=True)
        return statistics.linear_regression(sizes, values).slope

    def value_at_largest_size(self, name: str) -> float:
        """Return a quantity at the largest measured size."""
        return float(self._points_by_name[name][-1][1])


@attrs.frozen(kw_only=True)
class Row:
    """One item of the cost of one node.

    Attributes:
        role: Process that has the cost.
        item: What causes the cost.
        mechanism: How the item works, in a few words.
        core_percent: Processor time.
        megabytes: Resident memory.
        bytes_per_s: Bytes sent and received.
    """

    role: str
    item: str
    mechanism: str
    core_percent: float = 0.0
    megabytes: float = 0.0
    bytes_per_s: float = 0.0


def node_rows(fleet: Fleet, slopes: Slopes) -> list[Row]:
    """Return all control costs on one node for the size of `fleet`."""
    requests = fleet.requests_per_s / fleet.nodes
    heartbeat_bytes_per_s = slopes.value_at_largest_size("membership_bytes")
    changes_per_s = fleet.changes_per_day / 86_400
    adoption_s = slopes.value_at("adoption", fleet.workspaces)
    base_megabytes = slopes.value_at("resident", 0) / MEGABYTE
    workspace_megabytes = slopes.slope("resident") * fleet.workspaces / MEGABYTE
    upstream_megabytes = (
        slopes.slope("resident_upstreams") * fleet.upstreams / MEGABYTE
    )
    chunk_bytes = 30_000.0
    return [
        Row(
            role="entry",
            item="code and libraries",
            mechanism="one process, no worker processes",
            megabytes=base_megabytes,
        ),
        Row(
            role="entry",
            item=f"{fleet.workspaces} workspaces with keys",
            mechanism="one document, keys indexed by digest",
            core_percent=100 * adoption_s * changes_per_s,
            megabytes=workspace_megabytes,
            bytes_per_s=chunk_bytes * changes_per_s,
        ),
        Row(
            role="entry",
            item=f"{fleet.upstreams} upstreams",
            mechanism=f"pools of {fleet.pool_upstreams}, one owner each",
            megabytes=upstream_megabytes,
        ),
        Row(
            role="entry",
            item="membership and ticks",
            mechanism="heartbeats on three rings, half a byte per entry",
            core_percent=100 * slopes.value_at_largest_size("membership_cpu"),
            bytes_per_s=2 * heartbeat_bytes_per_s,
        ),
        Row(
            role="entry",
            item=f"{requests:.0f} grants per second, requested and issued",
            mechanism="issued by the pool's owner; soft state",
            bytes_per_s=2 * requests * slopes.value_at("grant", 1),
        ),
        Row(
            role="entry",
            item=f"{requests:.0f} usage replicas per second",
            mechanism="a peer keeps the counts until the store has them",
            bytes_per_s=2 * requests * slopes.value_at("hold", 1),
        ),
        Row(
            role="entry",
            item="usage flushes",
            mechanism="one value per node, interval grows with its size",
            bytes_per_s=fleet.flush_bytes_per_s,
        ),
        Row(
            role="entry",
            item="host list",
            mechanism="polled with an ETag; compressed list after a change",
            bytes_per_s=fleet.unchanged_poll_bytes / fleet.host_poll_interval_s
            + slopes.value_at("host_list", fleet.nodes + fleet.upstreams)
            * fleet.host_changes_per_day
            / 86_400,
        ),
        Row(
            role="entry",
            item="store watch and load reports when idle",
            mechanism="one open watch; owners poll their pools",
            core_percent=slopes.value_at("calm_entry_core_percent", 3),
            bytes_per_s=max(
                0.0,
                slopes.value_at("calm_entry_control_bytes_per_s", 0),
            ),
        ),
        Row(
            role="controller",
            item="whole process when idle",
            mechanism="duties under one lease per controller",
            core_percent=slopes.value_at_largest_size(
                "calm_controller_core_percent"
            ),
            megabytes=slopes.value_at_largest_size(
                "calm_controller_resident_mb"
            ),
            bytes_per_s=slopes.value_at_largest_size(
                "calm_controller_control_bytes_per_s"
            ),
        ),
    ]


def render(fleet: Fleet, slopes: Slopes) -> str:
    """Return the whole page."""
    rows = node_rows(fleet, slopes)
    lines = [
        "# Capacity at the required fleet size",
        "",
        "Generated by `python -m benchmarks.capacity`; do not edit. The slopes "
        "are in `docs/capacity-slopes.json`, measured by "
        "`python -m benchmarks.slopes` on one machine; bytes count both "
        "directions. The text below says which figures are calculated and not "
        "measured.",
        "",
        f"Size: {fleet.nodes} nodes, {fleet.upstreams} upstreams, "
        f"{fleet.requests_per_s:.0f} requests and "
        f"{fleet.tokens_per_s:.0f} tokens per second, "
        f"{fleet.workspaces} workspaces, "
        f"{fleet.changes_per_day:.0f} configuration changes per day.",
        "",
        "## Control costs on one node",
        "",
        "| role | item | mechanism | % of a core | MB | B/s |",
        "| --- | --- | --- | --- | --- | --- |",
        *(_render_row(row) for row in rows),
        _render_total(fleet, rows),
        "",
        "Calculated, not measured at this size: the host list (measured size, "
        "one change for each of 401 lost or replaced hosts per day, 300 B for "
        "an unchanged poll; names of real hosts may compress less), the flush "
        "(its interval is set for 1,000 B/s, at most 25 s) and one changed "
        "chunk of 30 kB for each configuration change. For grants and usage "
        "replicas, the size is measured and the number is calculated. Not "
        "measured: a controller with a configuration of 8,700 workspaces, and "
        "350 entries on real sockets.",
        "",
        "## The request path",
        "",
        *_render_request_path(fleet, slopes),
        "",
        "## The store",
        "",
        *_render_store(fleet, slopes),
        "",
        "## Largest costs against the limits",
        "",
        *_render_bottlenecks(fleet, rows),
        "",
        "## Between gateways on the users' platform",
        "",
        *_render_gateways(),
        "",
    ]
    return "\n".join(lines)


def _render_row(row: Row) -> str:
    return (
        f"| {row.role} | {row.item} | {row.mechanism} "
        f"| {row.core_percent:.2f} | {row.megabytes:.1f} "
        f"| {row.bytes_per_s:.0f} |"
    )


def _render_total(fleet: Fleet, rows: Sequence[Row]) -> str:
    return (
        "| **node** | **sum** | limits: "
        f"{fleet.max_core_percent}%, {fleet.max_megabytes:.0f} MB, "
        f"{fleet.max_bytes_per_s:.0f} B/s "
        f"| **{sum(r.core_percent for r in rows):.2f}** "
        f"| **{sum(r.megabytes for r in rows):.1f}** "
        f"| **{sum(r.bytes_per_s for r in rows):.0f}** |"
    )


def _render_request_path(fleet: Fleet, slopes: Slopes) -> list[str]:
    requests = fleet.requests_per_s / fleet.nodes
    cpu_s = slopes.value_at("request_cpu", 1)
    return [
        f"One small model request costs an entry {1e6 * cpu_s:.0f} us of "
        f"processor time, including decisions, usage and both HTTP sides. "
        f"{requests:.0f} requests per second on a node take "
        f"{100 * requests * cpu_s:.1f}% of a core without their tokens; the "
        f"{fleet.tokens_per_s / fleet.nodes:.0f} tokens per second on a node "
        "come on top and are not a control cost."
    ]


def _render_store(fleet: Fleet, slopes: Slopes) -> list[str]:
    calls_per_s = slopes.value_at("calm_store_calls", fleet.nodes)
    writes_per_s = fleet.nodes / 25.0
    calls_per_s_per_node = slopes.slope("calm_store_calls")
    return [
        "Each idle entry with its controller adds "
        f"{calls_per_s_per_node:.2f} calls per "
        "second, measured at 3 and 9 nodes. Extrapolated to "
        f"{fleet.nodes} nodes, that is {calls_per_s:.0f} calls per second of "
        f"about {fleet.store_reads_per_s:.0f} reads that the store can serve. "
        "The actual rate is lower, since the timeouts of watches grow with the "
        "fleet. Flushes at their longest "
        f"interval are {writes_per_s:.0f} writes per second of the several "
        "hundred that the store can accept.",
    ]


def _render_bottlenecks(fleet: Fleet, rows: Sequence[Row]) -> list[str]:
    by_bytes = sorted(rows, key=lambda row: -row.bytes_per_s)
    by_memory = sorted(rows, key=lambda row: -row.megabytes)
    byte_ratio = sum(r.bytes_per_s for r in rows) / fleet.max_bytes_per_s
    memory_ratio = sum(r.megabytes for r in rows) / fleet.max_megabytes
    core_ratio = sum(r.core_percent for r in rows) / fleet.max_core_percent
    return [
        f"- Bytes: {byte_ratio:.1f} times the limit. Largest: "
        + ", ".join(
            f"{r.item} ({r.role}, {r.bytes_per_s:.0f} B/s)"
            for r in by_bytes[:3]
        )
        + ".",
        f"- Memory: {memory_ratio:.2f} times the limit. Largest: "
        + ", ".join(
            f"{r.item} ({r.role}, {r.megabytes:.0f} MB)" for r in by_memory[:3]
        )
        + ".",
        f"- Processor: {core_ratio:.2f} times the limit.",
    ]


def _render_gateways() -> list[str]:
    lines = [
        "Calculated from a heartbeat of "
        f"{HEARTBEAT_BYTES} bytes that takes "
        f"{1e6 * HEARTBEAT_READ_S:.0f} us to read, "
        "both measured, and from the intervals in the code. A store call is a "
        "watch that timed out; each change of the upstreams or of the "
        "configuration adds one call per watching host, where changes within "
        f"{prefix_watcher.BATCH_DELAY_S:.1f} s count once.",
        "",
        "| hosts | heartbeats received per second | % of a core "
        "| Mbit/s received | store calls per second, all hosts "
        "| watching hosts |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for host_count in GATEWAY_FLEET_SIZES:
        heartbeats_per_s = (host_count - 1) / peers.heartbeat_interval_s(
            host_count
        )
        if host_count > peers.LARGE_FLEET:
            heartbeats_per_s = (
                store_followers.FOLLOWERS / peers.MAX_HEARTBEAT_INTERVAL_S
                + (host_count - 1 - store_followers.FOLLOWERS)
                / peers.ORDINARY_HEARTBEAT_INTERVAL_S
            )
        follower_count = (
            host_count
            if host_count <= store_followers.SMALL_FLEET
            else store_followers.FOLLOWERS
        )
        store_calls_per_s = (
            2
            * follower_count
            / prefix_watcher.watch_timeout_s(
                store_followers.WatchTurn(count=follower_count),
                is_aligned=False,
            )
        )
        lines.append(
            f"| {host_count} | {heartbeats_per_s:.0f} "
            f"| {100 * heartbeats_per_s * HEARTBEAT_READ_S:.1f} "
            f"| {8 * heartbeats_per_s * HEARTBEAT_BYTES / MEGABYTE:.2f} "
            f"| {store_calls_per_s:.1f} "
            f"| {follower_count} |"
        )
    return lines


def main(argv: Sequence[str] | None = None) -> None:
    """Write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("slopes", type=pathlib.Path)
    parser.add_argument("page", type=pathlib.Path)
    options = parser.parse_args(argv)
    slopes = Slopes(json.loads(options.slopes.read_text()))
    options.page.write_text(render(Fleet(), slopes))


if __name__ == "__main__":
    main()
