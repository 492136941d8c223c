"""Measure what membership costs an entry, by the size of the fleet.

Reducers run in virtual time; bytes are those of encoded frames without TCP
and IP headers, processor time is that of the reducers and the codec.

    python -m benchmarks.fleet_scale --entries 9 40 100 350
"""

import argparse
import time

from shallotfold._entry import membership
from shallotfold._wire.codec import PEER_CODEC
from shallotfold._wire.framing import frame
from tests.entry.fleet import Fleet

WARM_UP_S = 10.0
MEASURED_S = 10.0


def main() -> None:
    """Print one line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="+", default=[9, 40, 100])
    for entries in parser.parse_args().entries:
        _measure(entries)


def _measure(entries: int) -> None:
    fleet = Fleet([f"entry-{number}" for number in range(entries)])
    fleet.start()
    fleet.run(WARM_UP_S)
    fleet.sent.clear()
    started_s = time.process_time()
    fleet.run(MEASURED_S)
    cpu_s = time.process_time() - started_s
    frames = [frame(PEER_CODEC.encode(message)) for *_, message in fleet.sent]
    for data in frames:
        PEER_CODEC.decode(data[4:])
    codec_s = time.process_time() - started_s - cpu_s
    node_seconds = entries * MEASURED_S
    links = sum(
        len(state.membership.connected) for state in fleet.states.values()
    )
    ages_s = sorted(
        fleet.now_s - alive_s
        for state in fleet.states.values()
        for alive_s in state.membership.alive_s_by_name.values()
    )
    live = min(
        len(membership.live_entries(state)) for state in fleet.states.values()
    )
    print(
        f"{entries} entries: {links / entries:.1f} links, "
        f"{len(frames) / node_seconds:.1f} frames/s and "
        f"{sum(map(len, frames)) / node_seconds:.0f} B/s sent per entry, "
        f"{1e3 * cpu_s / node_seconds:.2f} ms/s reducing with ticks, "
        f"{1e3 * codec_s / node_seconds:.2f} ms/s coding, "
        f"{live} live seen by the worst, known ages "
        f"{ages_s[len(ages_s) // 2]:.1f} s at the median, "
        f"{ages_s[len(ages_s) * 99 // 100]:.1f} s at the 99th percentile"
    )


if __name__ == "__main__":
    main()
