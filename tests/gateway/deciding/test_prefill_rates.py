"""Check the estimate of how fast engines prefill prompts."""

import pytest

from shallotfold._gateway.deciding.prefill_rates import PrefillRates


def test_rate_is_unknown_at_first() -> None:
    assert PrefillRates().prefill_s("writers", 9000) == 0.0


def test_rate_follows_the_samples_of_its_service() -> None:
    rates = PrefillRates()
    for _ in range(5):
        rates.record("writers", 8000, delay_s=0.2)
        rates.record("others", 8000, delay_s=2.0)
    assert rates.prefill_s("writers", 40_000) == pytest.approx(1.0)
    # Engines that became slower are noticed.
    for _ in range(300):
        rates.record("writers", 8000, delay_s=0.8)
    assert rates.prefill_s("writers", 40_000) == pytest.approx(4.0, rel=0.05)


@pytest.mark.parametrize(("tokens", "delay_s"), [(500, 0.1), (8000, 0.0)])
def test_samples_that_say_nothing_of_the_rate_are_left_out(
    tokens: int, delay_s: float
) -> None:
    """The delay of a short prompt is mostly not its prefill."""
    rates = PrefillRates()
    rates.record("writers", tokens, delay_s)
    assert rates.prefill_s("writers", 9000) == 0.0
