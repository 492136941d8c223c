import pytest

from benchmarks import policy
from benchmarks.policy_model import scenarios


@pytest.mark.parametrize("name", ["burst_low", "entry_lost"])
def test_current_entries_break_no_rule(name: str) -> None:
    scenario = next(s for s in scenarios.make_scenarios(1) if s.name == name)
    first = policy.run_current(scenario)
    assert first["violations"] == 0
    assert policy.run_current(scenario) == first, "repeatable to the bit"


def test_checker_sees_what_naive_entries_break() -> None:
    scenario = next(
        s for s in scenarios.make_scenarios(1) if s.name == "reclaim"
    )
    rules = policy.run_naive(scenario)["violations_by_rule"]
    assert isinstance(rules, dict)
    assert rules["leaving"] > 0
