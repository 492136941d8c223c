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
        hears: Names of the peers that the sender heard from lately.
    """

    incarnation: int
    config_version: int
    store_confirmed_age_s: float
    leaving: bool = False
    hears: tuple[str, ...] = ()


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
        data: Bytes of the chunk.
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
