"""Write to the store and find out the outcome when a response is lost."""

from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._services.ports import Store

MAX_ATTEMPTS = 3


async def write_verified(
    store: Store,
    key: str,
    expected_revision: int,
    value: bytes,
    lease_id: str = "",
) -> int:
    """Compare-and-swap a value that is unique to this write.

    The value must contain a token that no other write uses. After a lost
    response or a conflict the key is read back. If it has this value, an
    earlier attempt took effect.

    Returns:
        The revision of the value.

    Raises:
        StoreConflictError: The key has another value.
        LeaseLostError: The lease does not exist any more.
        StoreUnavailableError: The outcome is still unknown after
            `MAX_ATTEMPTS` attempts.
    """
    for _ in range(MAX_ATTEMPTS):
        try:
            return await store.compare_and_swap(
                key, expected_revision, value, lease_id
            )
        except StoreConflictError as error:
            stored = await store.get(key)
            if stored is not None and stored.value == value:
                return stored.revision
            raise StoreConflictError(
                key, stored.revision if stored else 0
            ) from error
        except StoreUnavailableError:
            stored = await store.get(key)
            if stored is not None and stored.value == value:
                return stored.revision
    raise StoreUnavailableError(
        f"{MAX_ATTEMPTS} attempts to write {key} got no response; "
        "check the key-value service"
    )
