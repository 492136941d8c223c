"""Encode changes of the upstream list for hosts that don't watch the store."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import cast

import attrs
import msgpack

from shallotfold._services.ports import StoredValue

# First field of the datagram; heartbeats begin with a number.
MESSAGE_TYPE = "upstream_changes"
# Larger messages aren't sent: the hosts fetch a snapshot instead.
MAX_MESSAGE_BYTES = 32_768


@attrs.frozen(kw_only=True)
class UpstreamChanges:
    """Changes of the upstream list between two revisions of the store.

    Attributes:
        after_revision: A list that is complete up to this revision, or a later
            one, becomes complete up to `revision`.
        revision: Store revision up to which the changes are complete.
        in_outage: Whether registrations may have lapsed because of an outage
            of the store.
        values_by_id: Registrations that are new or changed.
        deleted: Upstreams whose registration is gone.
    """

    after_revision: int
    revision: int
    in_outage: bool
    values_by_id: Mapping[str, StoredValue]
    deleted: Sequence[str]

    def encode(self) -> bytes:
        """Encode the changes as a datagram."""
        documents = {
            upstream_id: (value.value, value.revision)
            for upstream_id, value in self.values_by_id.items()
        }
        return cast(
            bytes,
            msgpack.packb(
                (
                    MESSAGE_TYPE,
                    self.after_revision,
                    self.revision,
                    self.in_outage,
                    documents,
                    list(self.deleted),
                )
            ),
        )


def decode_changes(data: bytes) -> UpstreamChanges | None:
    """Decode a datagram; return `None` if it is of another type.

    Raises:
        ValueError: The datagram is damaged.
    """
    try:
        fields: Any = msgpack.unpackb(data, strict_map_key=False)
        if not isinstance(fields, list) or fields[0] != MESSAGE_TYPE:
            return None
        _, after_revision, revision, in_outage, documents, deleted = fields
        return UpstreamChanges(
            after_revision=int(after_revision),
            revision=int(revision),
            in_outage=bool(in_outage),
            values_by_id={
                str(upstream_id): StoredValue(
                    str(upstream_id), bytes(document), int(changed_at)
                )
                for upstream_id, (document, changed_at) in documents.items()
            },
            deleted=[str(upstream_id) for upstream_id in deleted],
        )
    except (
        ValueError,
        TypeError,
        LookupError,
        AttributeError,
        OverflowError,
    ) as error:
        raise ValueError(f"not a message of changes: {error}") from error
