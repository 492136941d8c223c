"""Estimate how fast the engines of each service prefill prompts."""

import attrs

# Shorter prefills say little: most of their delay isn't prefill.
MIN_SAMPLE_TOKENS = 2_000
# Samples are forgotten with this factor for each new one.
SAMPLE_DECAY = 0.98


@attrs.define
class _Sums:
    tokens: float = 0.0
    seconds: float = 0.0


@attrs.define
class PrefillRates:
    """Prompt tokens per second of one engine, by service."""

    _sums_by_service: dict[str, _Sums] = attrs.field(factory=dict)

    def record(self, service: str, tokens: int, delay_s: float) -> None:
        """Record the time until the first byte of a response.

        Args:
            service: Service of the engine.
            tokens: Tokens that were pending there, with those of the request.
            delay_s: Time from sending the request.
        """
        if tokens < MIN_SAMPLE_TOKENS or delay_s <= 0.0:
            return
        sums = self._sums_by_service.setdefault(service, _Sums())
        sums.tokens = sums.tokens * SAMPLE_DECAY + tokens
        sums.seconds = sums.seconds * SAMPLE_DECAY + delay_s

    def prefill_s(self, service: str, tokens: float) -> float:
        """Return how long a prefill takes; 0 while the rate is unknown."""
        sums = self._sums_by_service.get(service)
        if sums is None:
            return 0.0
        return tokens * sums.seconds / sums.tokens
