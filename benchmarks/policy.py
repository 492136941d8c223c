"""Compare the entries' decisions with a naive version in virtual time.

Each scenario runs twice, with the same traffic and faults: once with naive
entries, once with the real reducers. A checker judges both traces.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
import json
import os

from benchmarks.policy_model import naive
from benchmarks.policy_model import scenarios
from benchmarks.policy_model import variants
from benchmarks.policy_model.checker import Checker
from benchmarks.policy_model.scenarios import Scenario
from benchmarks.policy_model.simulation import Simulation
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state.entry_state import EntryState

MAX_PROCESSES = 4


def main() -> None:
    """Run the scenarios of one seed and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="any integer")
    parser.add_argument(
        "--json", action="store_true", help="print one JSON object"
    )
    parser.add_argument(
        "--only", default="", help="run scenarios whose name holds this text"
    )
    parser.add_argument(
        "--variant",
        choices=variants.VARIANTS,
        default="owner",
        help="way to share upstreams that `current` uses",
    )
    arguments = parser.parse_args()
    made = [
        scenario
        for scenario in scenarios.make_scenarios(arguments.seed)
        if arguments.only in _title(scenario)
    ]
    workers = min(MAX_PROCESSES, os.cpu_count() or 1)
    with ProcessPoolExecutor(
        workers, initializer=variants.apply, initargs=(arguments.variant,)
    ) as pool:
        results = dict(
            zip(map(_title, made), pool.map(compare, made), strict=True)
        )
    if arguments.json:
        print(json.dumps({"seed": arguments.seed, "scenarios": results}))
    else:
        _print_table(results)


def compare(scenario: Scenario) -> dict[str, object]:
    """Run a scenario with both kinds of entries and return the figures."""
    return {
        "faults": list(scenario.faults),
        "naive": run_naive(scenario),
        "current": run_current(scenario),
    }


def run_naive(scenario: Scenario) -> dict[str, object]:
    """Return the figures of naive entries."""
    simulation = Simulation(
        scenario, lambda *_: naive.NaiveState(), naive.reduce
    )
    simulation.run()
    return Checker(simulation).metrics()


def run_current(scenario: Scenario) -> dict[str, object]:
    """Return the figures of the real entries."""
    simulation = Simulation(scenario, _make_entry, reducer.reduce)
    simulation.run()
    return Checker(simulation).metrics()


def _make_entry(host: str, data_centre: str) -> EntryState:
    return EntryState(host=host, data_centre=data_centre, incarnation=1)


def _title(scenario: Scenario) -> str:
    return f"{scenario.deployment.name}/{scenario.name}"


def _print_table(results: dict[str, dict[str, object]]) -> None:
    for title, result in results.items():
        print(title, *map(str, result["faults"]))  # type: ignore[call-overload]
        for version in ("naive", "current"):
            figures = result[version]
            assert isinstance(figures, dict)
            attainment = " ".join(
                f"{name}={value:.3f}"
                for name, value in figures["attainment_by_class"].items()
            )
            rules = {
                k: v for k, v in figures["violations_by_rule"].items() if v
            }
            print(
                f"  {version:8} {attainment} "
                f"goodput={figures['goodput_tokens_per_s']:.0f} "
                f"wasted={figures['wasted_work_ratio']:.3f} "
                f"worst={figures['worst_workspace_ratio']:.3f} "
                f"cheap={figures['cheap_work_ratio']:.2f} "
                f"violations={figures['violations']} {rules or ''}"
            )


if __name__ == "__main__":
    main()
