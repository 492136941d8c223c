"""Generate the API keys of callers and hash them."""

import hashlib
import secrets

import attrs

from shallotfold._errors import UsageError
from shallotfold._model.configuration import KeyDigest

KEY_BYTES = 32
KEY_PREFIX = "sf-"
MIN_KEY_CHARACTERS = 16


@attrs.frozen
class NewKey:
    """A newly generated key; the secret is shown once and never stored.

    Attributes:
        secret: Text that the caller sends as its bearer token.
        digest: Digest of the secret, for the configuration.
    """

    secret: str = attrs.field(repr=False)
    digest: KeyDigest


def new_key(key_id: str) -> NewKey:
    """Generate a random key.

    Args:
        key_id: Public name of the key; it appears in logs.
    """
    secret = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    return NewKey(secret, digest_key(key_id, secret))


def digest_key(key_id: str, secret: str) -> KeyDigest:
    """Hash a key that the operator already has.

    Raises:
        UsageError: The key is too short to resist guessing.
    """
    if len(secret) < MIN_KEY_CHARACTERS:
        raise UsageError(
            f"key {key_id!r} has {len(secret)} characters; use at least "
            f"{MIN_KEY_CHARACTERS}, for example from new_key()"
        )
    digest = hashlib.sha256(secret.encode()).hexdigest()
    return KeyDigest(key_id=key_id, sha256=digest)
