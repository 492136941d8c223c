"""Claim callers' idempotency keys in the store, so that a request runs once.

A claim is made by compare-and-swap before a request is dispatched and is
settled with its outcome. A freed claim is kept as a tombstone instead of being
deleted. It raises the key's revision, so a write that the store applies late
fails its compare-and-swap and can't make the claim look taken.
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
"""Age after which the outcome of an unsettled claim counts as unknown."""


class ClaimStatus(enum.Enum):
    """Recorded state of a claimed request."""

    TAKEN = "taken"
    """Claimed; it may be running."""
    FREE = "free"
    """It did not run; the key may be claimed again."""
    ANSWERED = "answered"
    """It ran; the answer is recorded."""
    UNKNOWN = "unknown"
    """It may have run; no answer is recorded."""


@attrs.frozen(kw_only=True)
class Claim:
    """A claim as stored.

    Attributes:
        status: State of the request.
        token: Unique token of the claiming request.
        body_sha256: Digest of the request's body.
        changed_s: Time of the last change, in seconds since the epoch.
        answer: Recorded answer when `status` is `ANSWERED`.
    """

    status: ClaimStatus
    token: str
    body_sha256: str
    changed_s: float
    answer: RecordedAnswer | None = None


@attrs.frozen(kw_only=True)
class HeldClaim:
    """A claim that the caller of `try_claim` owns.

    Attributes:
        key: Key in the store.
        revision: Revision that settling it expects.
        claim: Content of the claim.
    """

    key: str
    revision: int
    claim: Claim


def claim_key(workspace: str, idempotency_key: str) -> str:
    """Return the store key for an idempotency key of a workspace."""
    digest = hashlib.sha256()
    for part in (workspace, idempotency_key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return CLAIM_PREFIX + digest.hexdigest()


async def try_claim(
    store: Store, key: str, new_claim: Claim
) -> HeldClaim | Claim | None:
    """Try once to claim a key.

    Returns:
        The held claim; or the claim of an earlier request with this key; or
        `None` if the key changed concurrently and the caller should retry.

    Raises:
        StoreUnavailableError: No response; the claim may have been written.
        StoredValueError: The stored claim is malformed.
    """
    stored = await store.get(key)
    expected_revision = 0
    if stored is not None:
        current = _decode(stored)
        if (
            current.token == new_claim.token
            and current.status is ClaimStatus.TAKEN
        ):
            return HeldClaim(key=key, revision=stored.revision, claim=current)
        if current.status is not ClaimStatus.FREE:
            return current
        expected_revision = stored.revision
    try:
        revision = await store.compare_and_swap(
            key, expected_revision, _encode(new_claim)
        )
    except StoreConflictError:
        return None
    return HeldClaim(key=key, revision=revision, claim=new_claim)


async def settle_claim(store: Store, held: HeldClaim, settled: Claim) -> None:
    """Record the outcome of a held claim; idempotent.

    Raises:
        StoreUnavailableError: No response; retry.
    """
    try:
        await store.compare_and_swap(
            held.key, held.revision, _encode(_limit_size(settled))
        )
    except StoreConflictError:
        # An earlier attempt took effect, or the expired claim was deleted.
        return


async def delete_expired_claims(store: Store, prefix: str, now_s: float) -> int:
    """Delete claims under a prefix that are older than `RETENTION_S`.

    Args:
        store: Key-value service.
        prefix: `CLAIM_PREFIX` and the first characters of a digest, which
            bound the number of claims that one call reads.
        now_s: Seconds since the epoch.

    Returns:
        Number of deleted claims.

    Raises:
        StoreUnavailableError: No response; a later call deletes the rest.
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


def _limit_size(claim: Claim) -> Claim:
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
