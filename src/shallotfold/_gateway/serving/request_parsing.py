"""Parse what a request declares, and identify equal requests."""

import hashlib

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.core.wire_names import HeaderNames
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import find_header

_MS_PER_S = 1000.0
FINGERPRINT_BYTES = 16


def parse_deadline_s(
    request: IncomingRequest, names: HeaderNames, default_s: float
) -> float:
    """Return how long the caller waits; the default if not declared."""
    value = find_header(request.headers, names.deadline)
    try:
        return default_s if value is None else float(value) / _MS_PER_S
    except ValueError:
        return default_s


def parse_prompt(request: IncomingRequest, names: HeaderNames) -> Prompt:
    """Return the declared prompt; malformed values count as missing."""
    counts = find_header(request.headers, names.token_counts)
    if counts is None:
        return Prompt()
    prompt_tokens, _, output_tokens = counts.partition(b",")
    model = find_header(request.headers, names.model) or b""
    prompt_parts = find_header(request.headers, names.prompt_parts) or b""
    return Prompt(
        model=model.decode("latin-1"),
        parts=_parse_parts(prompt_parts),
        prompt_tokens=_parse_count(prompt_tokens),
        max_output_tokens=_parse_count(output_tokens),
    )


def request_fingerprint(
    request: IncomingRequest, names: HeaderNames, workspace: str | None
) -> str:
    """Return a digest that equal requests of one workspace share.

    Other headers than those of the prompt differ between repeats of a request,
    so that they don't count.

    Args:
        request: The request.
        names: Header names of the platform.
        workspace: Name of the caller's workspace; `None` on public routes.
    """
    fields = [
        request.method,
        (find_header(request.headers, b"host") or b"").lower(),
        request.target,
        (workspace or "").encode(),
        find_header(request.headers, names.model) or b"",
        find_header(request.headers, names.prompt_parts) or b"",
        request.body,
    ]
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        # Without its length, the end of a field could pass for the next one.
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return digest.hexdigest()


def _parse_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.decode("latin-1").split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id and tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _parse_count(value: bytes) -> int:
    value = value.strip()
    return int(value) if value.isdigit() else 0
