"""Write to the store so that a lost answer does not hide what happened."""

from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._services.ports import Store

MAX_TRIES = 3


async def write_verified(
    store: Store,
    key: str,
    expected_revision: int,
    value: bytes,
    lease_id: str = "",
) -> int:
    """Compare-and-swap a value that no other writer can have written.

    The value must hold a token unique to this write. After a lost answer or
    a conflict the key is read back: finding the value means that an earlier
    try took effect.

    Returns:
        The revision of the value.

    Raises:
        StoreConflictError: Another value is there.
        LeaseLostError: The lease does not exist any more.
        StoreUnavailableError: The outcome is still unknown after several
            tries.
    """
    for _ in range(MAX_TRIES):
        try:
            return await store.compare_and_swap(
                key, expected_revision, value, lease_id
            )
        except StoreConflictError as error:
            found = await store.get(key)
            if found is not None and found.value == value:
                return found.revision
            raise StoreConflictError(
                key, found.revision if found else 0
            ) from error
        except StoreUnavailableError:
            found = await store.get(key)
            if found is not None and found.value == value:
                return found.revision
    raise StoreUnavailableError(
        f"Writing {key} was tried {MAX_TRIES} times without an answer; "
        "check the key-value service"
    )
