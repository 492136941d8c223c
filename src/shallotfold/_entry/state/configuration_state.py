"""State of the configuration in force."""

import math

import attrs

from shallotfold._entry.state.configuration_parts import Assembly
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Workspace


@attrs.define(kw_only=True)
class ConfigurationState:
    """The configuration in force, and how recently it was confirmed.

    Attributes:
        version: Its version; 0 before any was adopted.
        current: Its content.
        document: Its packed chunks or canonical JSON, to be sent to peers.
        sha256: Digest of the document.
        workspaces_by_key: Workspaces by the digests of their keys.
        tracked: Whether freshness is required; see `freshness.start_tracking`.
        confirmed_s: Latest time at which it is known to have been the newest.
        awaited_version: Newer version that is known to exist.
        awaited_s: Latest time at which `awaited_version` is known to have been
            the newest.
        adopted_s: When the version in force was adopted.
        fetched_version: Version last requested from the store.
        fetched_s: When it was requested.
        assembly_by_host: Parts of the document by the peer that was asked.
        behind_since_s: Since when a peer is known to have a newer version.
        answers_by_host: Version last sent to each peer, and when.
        untrusted_since_s: Since when the configuration is not trusted.
        ready: Readiness as last reported.
    """

    version: int = 0
    current: Configuration = attrs.field(factory=Configuration)
    document: bytes = b""
    sha256: str = ""
    workspaces_by_key: dict[str, Workspace] = attrs.field(factory=dict)
    tracked: bool = False
    confirmed_s: float = -math.inf
    awaited_version: int = 0
    awaited_s: float = -math.inf
    adopted_s: float = -math.inf
    fetched_version: int = 0
    fetched_s: float = -math.inf
    assembly_by_host: dict[str, Assembly] = attrs.field(factory=dict)
    behind_since_s: float = math.inf
    answers_by_host: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    untrusted_since_s: float = math.inf
    ready: bool = False
