import pytest

from benchmarks import policy
from benchmarks.policy_model import naive
from benchmarks.policy_model import scenarios
from benchmarks.policy_model.checker import Checker
from benchmarks.policy_model.simulation import Record
from benchmarks.policy_model.simulation import Simulation


@pytest.mark.parametrize("name", ["burst_low", "entry_lost"])
def test_current_entries_violate_no_rule(name: str) -> None:
    scenario = next(s for s in scenarios.make_scenarios(1) if s.name == name)
    first = policy.run_current(scenario)
    assert first["violations"] == 0
    assert policy.run_current(scenario) == first, (
        "runs of one seed must be identical"
    )


@pytest.mark.parametrize(
    ("seed", "deployment", "name"),
    [
        # An upstream had recovered, but no answer or load report had shown it
        # yet.
        (52, "mwangaza", "two_more_at_once"),
        (5150, "switchback", "two_at_once"),
        # A workspace with few requests lost its turn each time its only
        # waiting request had to be refused.
        (777001, "switchback", "burst_top"),
        # All floor slots of a class were on an upstream that became slow.
        (52, "mwangaza", "two_at_once"),
    ],
)
def test_seed_with_a_past_violation(
    seed: int, deployment: str, name: str
) -> None:
    scenario = next(
        s
        for s in scenarios.make_scenarios(seed)
        if (s.deployment.name, s.name) == (deployment, name)
    )
    assert policy.run_current(scenario)["violations"] == 0


def _find_violations_beside_lower_tier(
    *, progress_s: float, recovered_s: float
) -> dict[str, int]:
    """Check a refusal at 20 s while 3 lower-tier attempts hold an upstream."""
    scenario = next(
        s
        for s in scenarios.make_scenarios(1)
        if (s.deployment.name, s.name) == ("switchback", "burst_top")
    )
    simulation = Simulation(
        scenario, lambda *_: naive.NaiveState(), naive.reduce
    )
    classes = simulation.configuration.classes_by_name
    refused = next(a for a in simulation.arrivals if a.class_name == "chat")
    lowest = max(classes, key=lambda n: classes[n].tier)
    lower = [a for a in simulation.arrivals if a.class_name == lowest][:3]
    simulation.trace = [
        Record(0.0, "finished", simulation.arrivals[-1].request_id),
        Record(0.0, "faulty", detail="model-0"),
        *(Record(1.0, "started", a.request_id, 1, "model-0") for a in lower),
        Record(recovered_s, "mended", detail="model-0"),
        Record(progress_s, "tokens", lower[0].request_id, 1),
        Record(20.0, "refused", refused.request_id, 0, "target_missed"),
    ]
    violations_by_rule = Checker(simulation).metrics()["violations_by_rule"]
    assert isinstance(violations_by_rule, dict)
    return violations_by_rule


@pytest.mark.parametrize(
    ("recovered_s", "progress_s", "violations"),
    [
        (19.0, 18.0, 0),
        (19.0, 19.5, 1),
        (18.4, 18.0, 1),
    ],
)
def test_recovered_upstream_is_usable_once_an_entry_can_know(
    recovered_s: float, progress_s: float, violations: int
) -> None:
    violations_by_rule = _find_violations_beside_lower_tier(
        recovered_s=recovered_s, progress_s=progress_s
    )
    assert violations_by_rule["shed_for_lower"] == violations


def test_checker_finds_violations_of_naive_entries() -> None:
    scenario = next(
        s for s in scenarios.make_scenarios(1) if s.name == "reclaim"
    )
    rules = policy.run_naive(scenario)["violations_by_rule"]
    assert isinstance(rules, dict)
    assert rules["leaving"] > 0
