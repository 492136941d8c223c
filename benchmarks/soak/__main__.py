"""Run one seed: `python -m benchmarks.soak --seed N --seconds S`."""

import argparse
import asyncio
import json
import sys

from benchmarks.soak.fleet import Fleet


def main() -> int:
    """Run the soak test and return its exit code: 1 if it found violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--upstreams", type=int, default=4)
    parser.add_argument("--logs", default="", help="directory for logs")
    options = parser.parse_args()
    fleet = Fleet(
        seed=options.seed,
        host_count=options.hosts,
        upstream_count=options.upstreams,
        logs=options.logs,
    )
    report = asyncio.run(fleet.run(options.seconds))
    print(json.dumps(report))
    return 1 if report["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
