"""Keep callers' idempotency keys in the store, so that a request runs once.

A claim is made by compare-and-swap before a request is dispatched and is
settled with its outcome. A freed claim stays as a marker at a known revision:
a write that the store carries out late can then never make it look taken.
"""

import enum
import hashlib

import attrs
import msgpack

from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoredValueError
from shallotfold._model.requests import RecordedAnswer
from shallotfold._services.ports import Store
from shallotfold._services.ports import StoredValue

CLAIM_PREFIX = "claims/"
MAX_RECORDED_BYTES = 900_000
RETENTION_S = 24 * 3600.0
OUTCOME_TIMEOUT_S = 60.0
"""Age after which a claim without an outcome counts as unknown."""


class ClaimStatus(enum.Enum):
    """What the store knows about a claimed request."""

    TAKEN = "taken"
    """Claimed; it may be running."""
    FREE = "free"
    """It did not run; the key may be claimed again."""
    ANSWERED = "answered"
    """It ran; the answer is recorded."""
    UNKNOWN = "unknown"
    """It may have run; there is no answer to give."""


@attrs.frozen(kw_only=True)
class Claim:
    """A claim as it stands in the store.

    Attributes:
        status: What is known about the request.
        token: Unique token of the claiming request.
        body_sha256: Digest of the request's body.
        changed_s: Last change, in seconds since the epoch.
        answer: Recorded answer when `status` is `ANSWERED`.
    """

    status: ClaimStatus
    token: str
    body_sha256: str
    changed_s: float
    answer: RecordedAnswer | None = None


@attrs.frozen(kw_only=True)
class HeldClaim:
    """A claim that belongs to the caller of `try_claim`.

    Attributes:
        key: Key in the store.
        revision: Revision to settle at.
        claim: Its content.
    """

    key: str
    revision: int
    claim: Claim


def claim_key(workspace: str, idempotency_key: str) -> str:
    """Return the store's key of a workspace's idempotency key."""
    digest = hashlib.sha256()
    for part in (workspace, idempotency_key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return CLAIM_PREFIX + digest.hexdigest()


async def try_claim(
    store: Store, key: str, wanted: Claim
) -> HeldClaim | Claim | None:
    """Try once to claim a key.

    Returns:
        The held claim; or the claim of the request that came first; or `None`
        when the key changed meanwhile and the try should be repeated.

    Raises:
        StoreUnavailableError: No answer; the claim may have been taken.
        StoredValueError: The stored claim is malformed.
    """
    stored = await store.get(key)
    expected_revision = 0
    if stored is not None:
        found = _decode(stored)
        if found.token == wanted.token and found.status is ClaimStatus.TAKEN:
            return HeldClaim(key=key, revision=stored.revision, claim=found)
        if found.status is not ClaimStatus.FREE:
            return found
        expected_revision = stored.revision
    try:
        revision = await store.compare_and_swap(
            key, expected_revision, _encode(wanted)
        )
    except StoreConflictError:
        return None
    return HeldClaim(key=key, revision=revision, claim=wanted)


async def settle_claim(store: Store, held: HeldClaim, settled: Claim) -> None:
    """Record how a held claim ended; a repeat changes nothing.

    Raises:
        StoreUnavailableError: No answer; repeat it.
    """
    try:
        await store.compare_and_swap(
            held.key, held.revision, _encode(_bounded(settled))
        )
    except StoreConflictError:
        # An earlier try took effect, or the claim was swept away.
        return


async def delete_expired_claims(store: Store, prefix: str, now_s: float) -> int:
    """Delete claims under a prefix that are past their retention.

    Args:
        store: Key-value service.
        prefix: Starts with `CLAIM_PREFIX`; a part of the digests bounds the
            work of one call.
        now_s: Seconds since the epoch.

    Returns:
        Number of deleted claims.

    Raises:
        StoreUnavailableError: No answer; the next sweep goes on.
    """
    deleted = 0
    for stored in await store.list(prefix):
        try:
            changed_s = _decode(stored).changed_s
        except StoredValueError:
            continue
        if now_s - changed_s < RETENTION_S:
            continue
        try:
            await store.delete(stored.key, stored.revision)
        except StoreConflictError:
            continue
        deleted += 1
    return deleted


def _bounded(claim: Claim) -> Claim:
    answer = claim.answer
    if answer is None or len(answer.body) <= MAX_RECORDED_BYTES:
        return claim
    return attrs.evolve(claim, status=ClaimStatus.UNKNOWN, answer=None)


def _encode(claim: Claim) -> bytes:
    answer = claim.answer
    fields = [
        claim.status.value,
        claim.token,
        claim.body_sha256,
        claim.changed_s,
        None
        if answer is None
        else [answer.status, answer.content_type, answer.body],
    ]
    encoded: bytes = msgpack.packb(fields)
    return encoded


def _decode(stored: StoredValue) -> Claim:
    try:
        status, token, body_sha256, changed_s, answer = msgpack.unpackb(
            stored.value
        )
        return Claim(
            status=ClaimStatus(status),
            token=token,
            body_sha256=body_sha256,
            changed_s=changed_s,
            answer=None
            if answer is None
            else RecordedAnswer(
                status=answer[0], content_type=answer[1], body=answer[2]
            ),
        )
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as e:
        raise StoredValueError(stored.key, repr(stored.value[:40])) from e
