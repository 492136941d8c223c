"""Read what a request declares about its deadline and its prompt."""

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.core.wire_names import HeaderNames
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import find_header

_MS_PER_S = 1000.0


def read_deadline_s(
    request: IncomingRequest, names: HeaderNames, default_s: float
) -> float:
    """Return how long the caller waits, in seconds; the default if unsaid."""
    value = find_header(request.headers, names.deadline)
    try:
        return default_s if value is None else float(value) / _MS_PER_S
    except ValueError:
        return default_s


def read_prompt(request: IncomingRequest, names: HeaderNames) -> Prompt:
    """Return the declared prompt; what can't be read counts as unsaid."""
    counts = find_header(request.headers, names.token_counts)
    if counts is None:
        return Prompt()
    tokens_in, _, tokens_out = counts.partition(b",")
    model = find_header(request.headers, names.model) or b""
    parts = find_header(request.headers, names.prompt_parts) or b""
    return Prompt(
        model=model.decode("latin-1"),
        parts=_parts(parts),
        prompt_tokens=_number(tokens_in),
        max_output_tokens=_number(tokens_out),
    )


def _parts(value: bytes) -> tuple[PromptPart, ...]:
    found = []
    for entry in value.decode("latin-1").split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id and tokens.isdigit():
            found.append(PromptPart(part_id, int(tokens)))
    return tuple(found)


def _number(value: bytes) -> int:
    value = value.strip()
    return int(value) if value.isdigit() else 0
