"""Parse what a request declares, and identify equal requests."""

from collections.abc import Sequence
import hashlib
import math

from shallotfold._gateway.core.encoded_parts import EncodedParts
from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.core.wire_names import HeaderNames
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import find_header

_MS_PER_S = 1000.0
FINGERPRINT_BYTES = 16
# Prompts of more parts are kept as text.
MAX_PART_OBJECTS = 32
# Ids of parts are keys of several tables, some with thousands of entries.
MAX_PART_ID_CHARACTERS = 64
PART_ID_DIGEST_BYTES = 24
# Longer numbers are malformed; Python refuses to convert very long ones.
MAX_DIGITS = 18


def parse_deadline_s(
    request: IncomingRequest, names: HeaderNames, default_s: float
) -> float:
    """Return how long the caller waits; the default if not declared."""
    value = find_header(request.headers, names.deadline)
    try:
        deadline_s = default_s if value is None else float(value) / _MS_PER_S
    except ValueError:
        return default_s
    # A request without an end would hold its memory forever.
    return deadline_s if math.isfinite(deadline_s) else default_s


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


def parse_whole_number(value: bytes) -> int | None:
    """Return a whole number; `None` if it is malformed."""
    value = value.strip()
    if len(value) > MAX_DIGITS or not value.isdigit():
        return None
    return int(value)


def _parse_parts(value: bytes) -> Sequence[PromptPart]:
    entries = []
    for entry in value.split(b","):
        part_id, _, tokens = entry.strip().partition(b":")
        count = parse_whole_number(tokens)
        if part_id and count is not None:
            entries.append((_short_id(part_id.decode("latin-1")), count))
    if len(entries) <= MAX_PART_OBJECTS:
        return tuple(PromptPart(part_id, count) for part_id, count in entries)
    text = ",".join(f"{part_id}:{count}" for part_id, count in entries)
    return EncodedParts(text, len(entries))


def _short_id(part_id: str) -> str:
    """Return the id of a part, or a digest of it if it is long."""
    if len(part_id) <= MAX_PART_ID_CHARACTERS:
        return part_id
    return hashlib.blake2b(
        part_id.encode(), digest_size=PART_ID_DIGEST_BYTES
    ).hexdigest()


def _parse_count(value: bytes) -> int:
    return parse_whole_number(value) or 0
