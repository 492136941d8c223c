"""Extract the prompt of a request body and hash its prefixes."""

from collections.abc import Mapping
import hashlib
from typing import Any

SHORTEST_PREFIX_CHARACTERS = 256
DIGEST_CHARACTERS = 16


def prompt_text(body: Mapping[str, Any]) -> str:
    """Return the prompt of a chat or plain completion as one text.

    Each message becomes a line with its role and content. Values of a wrong
    type are converted to text, since the engine refuses them anyway.
    """
    messages = body.get("messages")
    if not isinstance(messages, list):
        return str(body.get("prompt", ""))
    lines = []
    for message in messages:
        fields = message if isinstance(message, dict) else {}
        lines.append(f"{fields.get('role', '')}: {fields.get('content', '')}")
    return "\n".join(lines)


def prefix_digests(text: str) -> tuple[str, ...]:
    """Return digests of the prefixes of 256, 512, 1024, ... characters.

    The lengths double, so that a long prompt has few prefixes. The longest
    prefix comes last.
    """
    digests = []
    length = SHORTEST_PREFIX_CHARACTERS
    while length <= len(text):
        prefix = text[:length].encode()
        digests.append(hashlib.sha256(prefix).hexdigest()[:DIGEST_CHARACTERS])
        length *= 2
    return tuple(digests)
