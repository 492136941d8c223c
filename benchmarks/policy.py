"""Compare the entries' decisions with those of naive entries in virtual time.

Each scenario runs twice, with the same traffic and faults: once with naive
entries, once with the real reducers. A checker evaluates both traces.
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
    """Run the scenarios of one seed and print the metrics."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="any integer")
    parser.add_argument(
        "--json", action="store_true", help="print one JSON object"
    )
    parser.add_argument(
        "--only", default="", help="run scenarios whose name contains this text"
    )
    parser.add_argument(
        "--variant",
        choices=variants.VARIANTS,
        default="owner",
        help="policy by which `current` shares upstreams",
    )
    arguments = parser.parse_args()
    selected = [
        scenario
        for scenario in scenarios.make_scenarios(arguments.seed)
        if arguments.only in _title(scenario)
    ]
    process_count = min(MAX_PROCESSES, os.cpu_count() or 1)
    with ProcessPoolExecutor(
        process_count, initializer=variants.apply, initargs=(arguments.variant,)
    ) as pool:
        results = dict(
            zip(map(_title, selected), pool.map(compare, selected), strict=True)
        )
    if arguments.json:
        print(json.dumps({"seed": arguments.seed, "scenarios": results}))
    else:
        _print_table(results)


def compare(scenario: Scenario) -> dict[str, object]:
    """Run a scenario with both kinds of entries and return the metrics."""
    return {
        "faults": list(scenario.faults),
        "naive": run_naive(scenario),
        "current": run_current(scenario),
    }


def run_naive(scenario: Scenario) -> dict[str, object]:
    """Return the metrics of naive entries."""
    simulation = Simulation(
        scenario, lambda *_: naive.NaiveState(), naive.reduce
    )
    simulation.run()
    return Checker(simulation).metrics()


def run_current(scenario: Scenario) -> dict[str, object]:
    """Return the metrics of the real entries."""
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
            metrics = result[version]
            assert isinstance(metrics, dict)
            attainment = " ".join(
                f"{name}={value:.3f}"
                for name, value in metrics["attainment_by_class"].items()
            )
            rules = {
                k: v for k, v in metrics["violations_by_rule"].items() if v
            }
            print(
                f"  {version:8} {attainment} "
                f"goodput={metrics['goodput_tokens_per_s']:.0f} "
                f"wasted={metrics['wasted_work_ratio']:.3f} "
                f"worst={metrics['worst_workspace_ratio']:.3f} "
                f"cheap={metrics['cheap_work_ratio']:.2f} "
                f"violations={metrics['violations']} {rules or ''}"
            )


if __name__ == "__main__":
    main()
