"""Name what a request has in common with others that may end upstreams.

Traits are the shared parts of its prompt and the request as a whole, by its
fingerprint. They are plain text, so that messages and the store hold both.
"""

from shallotfold._gateway.core.model import Prompt

# Callers choose ids and number of parts; further ones aren't watched.
MAX_WATCHED_PARTS = 16
MAX_PART_ID_CHARACTERS = 32
# With a fingerprint this is longer than any id of a watched part.
_FINGERPRINT_PREFIX = "request:"


def fingerprint_trait(fingerprint: str) -> str:
    """Return the trait that only equal requests have."""
    return _FINGERPRINT_PREFIX + fingerprint


def is_fingerprint(trait: str) -> bool:
    """Whether only equal requests have a trait."""
    return trait.startswith(_FINGERPRINT_PREFIX)


def watched_traits(prompt: Prompt, fingerprint: str) -> tuple[str, ...]:
    """Return the traits under which upstreams that end are counted.

    Args:
        prompt: Prompt of the request.
        fingerprint: Digest that equal requests share; empty: not known.
    """
    part_ids = tuple(
        part_id
        for part_id in prompt.shared_part_ids[:MAX_WATCHED_PARTS]
        if len(part_id) <= MAX_PART_ID_CHARACTERS
        and not is_fingerprint(part_id)
    )
    if not fingerprint:
        return part_ids
    return (*part_ids, fingerprint_trait(fingerprint))


def all_traits(prompt: Prompt, fingerprint: str) -> frozenset[str]:
    """Return the traits by which a request is compared with holds."""
    return frozenset((*prompt.shared_part_ids, fingerprint_trait(fingerprint)))
