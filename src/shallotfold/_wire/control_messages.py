"""Messages about membership and configuration between entries."""

import attrs


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Announce that the sender is alive and how old its configuration is.

    Attributes:
        incarnation: Start time of the sender's process in nanoseconds.
        config_version: Configuration version that the sender uses.
        store_confirmed_age_s: Age of the most recent read, by any entry, that
            confirmed the configuration version in the store, as far as the
            sender knows; -1 if it knows of none.
        leaving: Whether the sender is draining.
        sent_s: Sender's monotonic time, opaque to the receiver.
        echo_s: Newest `sent_s` that the sender has received from the
            receiver; -1 if there is none. It shows that the link works in both
            directions and limits how old the contents can be.
        known_entries: Number of entries in the sender's host list; 0 if it
            has not read one.
        names_digest: Digest of the sorted names of these entries.
        reach_ages: How long ago each of these entries was known to be alive,
            encoded by `_entry.state.liveness_ages`; empty in heartbeats to
            peers that aren't neighbours.
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
    """One part of a configuration that a peer sends in parts.

    Attributes:
        version: Version of the configuration.
        index: Index of the part, from 0.
        count: Number of parts.
        sha256: Hexadecimal digest of the whole document.
        data: Bytes of the part; all parts joined are the document compressed
            with zlib.
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
