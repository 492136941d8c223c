"""Estimate the length and speed of answers from earlier ones."""

import attrs

from shallotfold._model.configuration import RequestClass

EWMA_WEIGHT = 0.1
DEFAULT_FIRST_TOKEN_S_PER_TOKEN = 0.0001
DEFAULT_TOKEN_GAP_S = 0.02
FIRST_TOKEN_OVERHEAD_TOKENS = 500
PROMPT_TOKEN_COST = 0.1
DEFAULT_DEVIATION_RATIO = 0.4
LONG_OUTPUT_DEVIATIONS = 2.0


def cost_of(prompt_tokens: int, output_tokens: float) -> float:
    """Return the cost of a request in units of one output token."""
    return prompt_tokens * PROMPT_TOKEN_COST + output_tokens


@attrs.define(kw_only=True)
class Estimates:
    """Exponentially weighted moving averages over ended attempts.

    Attributes:
        output_by_key: Output tokens by (class, workspace) and by (class, "").
        deviation_by_key: Mean deviation from `output_by_key`.
        first_token_s_per_token: Time to the first token per prompt token, the
            fixed overhead counted as `FIRST_TOKEN_OVERHEAD_TOKENS`.
        gap_s: Time between output tokens.
    """

    output_by_key: dict[tuple[str, str], float] = attrs.field(factory=dict)
    deviation_by_key: dict[tuple[str, str], float] = attrs.field(factory=dict)
    first_token_s_per_token: float = DEFAULT_FIRST_TOKEN_S_PER_TOKEN
    gap_s: float = DEFAULT_TOKEN_GAP_S

    def output_tokens(
        self, request_class: RequestClass, workspace: str, limit: int
    ) -> float:
        """Estimate the output of a request; `limit` 0 means no limit."""
        name = request_class.name
        learned = self.output_by_key.get(
            (name, workspace),
            self.output_by_key.get(
                (name, ""), float(request_class.expected_output_tokens)
            ),
        )
        return min(learned, float(limit)) if limit else learned

    def long_output_tokens(
        self, request_class: RequestClass, workspace: str, limit: int
    ) -> float:
        """Estimate an output length that only few answers exceed."""
        name = request_class.name
        mean = self.output_tokens(request_class, workspace, limit)
        deviation = self.deviation_by_key.get(
            (name, ""), DEFAULT_DEVIATION_RATIO * mean
        )
        long_output = mean + LONG_OUTPUT_DEVIATIONS * deviation
        return min(long_output, float(limit)) if limit else long_output

    def first_token_s(self, prompt_tokens: int) -> float:
        """Estimate the time from dispatch to the first token."""
        effective_tokens = prompt_tokens + FIRST_TOKEN_OVERHEAD_TOKENS
        return self.first_token_s_per_token * effective_tokens

    def learn_output(
        self, class_name: str, workspace: str, tokens: float
    ) -> None:
        """Learn from the length of a complete answer."""
        for key in ((class_name, workspace), (class_name, "")):
            old = self.output_by_key.get(key, tokens)
            self.output_by_key[key] = old + EWMA_WEIGHT * (tokens - old)
            deviation = self.deviation_by_key.get(
                key, DEFAULT_DEVIATION_RATIO * old
            )
            change = abs(tokens - old) - deviation
            self.deviation_by_key[key] = deviation + EWMA_WEIGHT * change

    def learn_first_token(self, prompt_tokens: int, seconds: float) -> None:
        """Learn from the time to the first token of an attempt."""
        effective_tokens = prompt_tokens + FIRST_TOKEN_OVERHEAD_TOKENS
        change = seconds / effective_tokens - self.first_token_s_per_token
        self.first_token_s_per_token += EWMA_WEIGHT * change

    def learn_gap(self, tokens: int, seconds: float) -> None:
        """Learn from the time that the later tokens of an attempt took."""
        if tokens > 0:
            change = seconds / tokens - self.gap_s
            self.gap_s += EWMA_WEIGHT * change
