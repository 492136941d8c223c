"""Measure what membership costs an entry, by fleet size.

Reducers run in virtual time. Bytes are those of encoded frames without TCP
and IP headers; processor time is that of the reducers and the codec.

    python -m benchmarks.fleet_scale --entries 9 40 100 350
"""

import argparse
import time

import attrs

from shallotfold._entry.membership import membership
from shallotfold._wire.codec import PEER_CODEC
from shallotfold._wire.framing import encode_frame
from tests.entry.fleet import Fleet

WARM_UP_S = 10.0
MEASURED_S = 10.0


@attrs.frozen(kw_only=True)
class FleetScale:
    """What membership costs one entry of a fleet.

    Attributes:
        entry_count: Size of the fleet.
        links: Streams to peers.
        frames_per_s: Frames sent.
        sent_bytes_per_s: Bytes sent.
        cpu_s_per_s: Processor time of the reducer, with ticks, and the codec.
        live: Smallest number of live entries that any entry sees.
        age_p50_s: Median age of the information about another entry.
        age_p99_s: The same, 99th percentile.
    """

    entry_count: int
    links: float
    frames_per_s: float
    sent_bytes_per_s: float
    cpu_s_per_s: float
    live: int
    age_p50_s: float
    age_p99_s: float


def main() -> None:
    """Print one line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="+", default=[9, 40, 100])
    for entry_count in parser.parse_args().entries:
        scale = measure(entry_count)
        print(
            f"{entry_count} entries: {scale.links:.1f} links, "
            f"{scale.frames_per_s:.1f} frames/s and "
            f"{scale.sent_bytes_per_s:.0f} B/s sent per entry, "
            f"{1e3 * scale.cpu_s_per_s:.2f} ms/s of processor time in "
            "reducers and codec, "
            f"each sees at least {scale.live} live entries, whose state is "
            f"{scale.age_p50_s:.1f} s old at the median, "
            f"{scale.age_p99_s:.1f} s at the 99th percentile"
        )


def measure(entry_count: int) -> FleetScale:
    """Run a fleet in virtual time and return what one entry spends."""
    fleet = Fleet([f"entry-{number}" for number in range(entry_count)])
    fleet.start()
    fleet.run(WARM_UP_S)
    fleet.sent.clear()
    started_s = time.process_time()
    fleet.run(MEASURED_S)
    frames = [
        encode_frame(PEER_CODEC.encode(message)) for *_, message in fleet.sent
    ]
    for data in frames:
        PEER_CODEC.decode(data[4:])
    cpu_s = time.process_time() - started_s
    node_seconds = entry_count * MEASURED_S
    links = sum(
        len(state.membership.connected) for state in fleet.states.values()
    )
    ages_s = sorted(
        fleet.now_s - last_alive_s
        for state in fleet.states.values()
        for last_alive_s in state.membership.last_alive_s_by_name.values()
    )
    live = min(
        len(membership.live_entries(state)) for state in fleet.states.values()
    )
    return FleetScale(
        entry_count=entry_count,
        links=links / entry_count,
        frames_per_s=len(frames) / node_seconds,
        sent_bytes_per_s=sum(map(len, frames)) / node_seconds,
        cpu_s_per_s=cpu_s / node_seconds,
        live=live,
        age_p50_s=ages_s[len(ages_s) // 2],
        age_p99_s=ages_s[len(ages_s) * 99 // 100],
    )


if __name__ == "__main__":
    main()
