"""Make answers that depend only on the prompt, so that tests can check them."""

import hashlib
import re

import attrs

MIN_DERIVED_TOKENS = 8
DERIVED_TOKENS_END = 72
CHARACTERS_PER_TOKEN = 4

_LENGTH_MARKER = re.compile(r"\[tokens=(\d+)\]")


@attrs.frozen
class Answer:
    """The answer that every engine stand-in gives to one prompt.

    Attributes:
        digest: Part of every token, so that mixed up answers are detected.
        token_count: Number of tokens of the whole answer.
    """

    digest: str
    token_count: int

    def token(self, index: int) -> str:
        """Return the text of the token at `index`, from 0."""
        return f"{self.digest}.{index} "

    def text(self, start: int = 0, end: int | None = None) -> str:
        """Return the text from token `start` up to, excluding, token `end`."""
        stop = self.token_count if end is None else end
        return "".join(self.token(index) for index in range(start, stop))


def answer_to(prompt: str, max_tokens: int = 0) -> Answer:
    """Return the answer to a prompt.

    A marker `[tokens=N]` in the prompt sets the length; without one the
    length is derived from the digest of the prompt.

    Args:
        prompt: Text of the prompt.
        max_tokens: Limit requested by the caller; 0 for none.
    """
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    marker = _LENGTH_MARKER.search(prompt)
    if marker:
        count = int(marker.group(1))
    else:
        token_range = DERIVED_TOKENS_END - MIN_DERIVED_TOKENS
        count = MIN_DERIVED_TOKENS + int(digest[-6:], 16) % token_range
    return Answer(digest[:6], min(count, max_tokens) if max_tokens else count)


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of input tokens that the stand-in engines report."""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)
