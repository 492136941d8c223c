"""Messages about membership and configuration between entries."""

import attrs


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Tell a peer that this entry is alive, and how fresh its knowledge is.

    Attributes:
        incarnation: Start time of the sender's process in nanoseconds.
        config_version: Version of the configuration in force at the sender.
        store_confirmed_age_s: Age of the newest confirmed read of the
            configuration version from the store that the sender knows of;
            -1 when it knows of none.
        leaving: Whether the sender drains.
        sent_s: Sender's monotonic time, opaque to the receiver.
        echo_s: Newest `sent_s` that the sender has received from the
            receiver; -1 when there is none. It proves both directions of the
            link, and bounds how old the contents are.
        known_entries: Number of entries in the host list of the sender; 0
            when it has read none.
        names_digest: Digest of the sorted names of these entries.
        reach_ages: How long ago each of these entries was alive, packed by
            `_entry.reach`; empty towards peers that are no neighbours.
    """

    incarnation: int
    config_version: int
    store_confirmed_age_s: float
    leaving: bool = False
    sent_s: float = 0.0
    echo_s: float = -1.0
    known_entries: int = 0
    names_digest: int = 0
    reach_ages: bytes = b""


@attrs.frozen(kw_only=True)
class ConfigurationRequest:
    """Ask a peer for its configuration if it is newer than `newer_than`."""

    newer_than: int


@attrs.frozen(kw_only=True)
class ConfigurationPart:
    """One chunk of a configuration, passed between peers.

    Attributes:
        version: Version of the configuration.
        index: Index of the chunk, from 0.
        count: Number of chunks.
        sha256: Hexadecimal digest of the whole document.
        data: Bytes of the chunk; all chunks together are the document,
            compressed by zlib.
    """

    version: int
    index: int
    count: int
    sha256: str
    data: bytes


ControlMessage = Heartbeat | ConfigurationRequest | ConfigurationPart

MESSAGES: tuple[type, ...] = (
    Heartbeat,
    ConfigurationRequest,
    ConfigurationPart,
)
