"""Read the requests that a peer has at engines, by length of the prompt."""

from typing import Any

from shallotfold._gateway.deciding.partition_shares import PromptLoad

# No host has more requests in progress; a larger number is damaged.
MAX_REQUESTS = 100_000


def read_prompt_loads(fields: Any) -> dict[str, PromptLoad]:
    """Return the loads by service.

    Raises:
        ValueError: The fields aren't those of a peer's message.
    """
    try:
        return {
            str(service): PromptLoad(_count(short), _count(long))
            for service, (short, long) in fields.items()
        }
    except (ValueError, TypeError, AttributeError) as error:
        raise ValueError(f"not loads of prompts: {error}") from error


def _count(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_REQUESTS:
        raise ValueError("expected a number of requests")
    return value
