"""Hold the configuration in force."""

import math

import attrs

from shallotfold._entry.state.configuration_parts import Assembly
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Workspace


@attrs.define(kw_only=True)
class ConfigurationState:
    """The configuration in force.

    Attributes:
        version: Its version; 0 before any was adopted.
        current: Its content.
        document: Its packed chunks.
        sha256: Digest of the document.
        workspaces_by_key: Workspaces by the digests of their keys.
        tracked: Whether freshness counts; see `freshness.start_tracking`.
        confirmed_s: Latest time at which nothing newer existed.
        awaited_version: Newer version that is known to exist.
        awaited_s: Latest time at which nothing newer than that existed.
        adopted_s: When the version in force was adopted.
        fetched_version: Newest version that the store was asked for.
        fetched_s: When that was.
        assembly: Parts of a document coming from a peer.
        behind_since_s: Since when a peer is known to have a newer version.
        answers_by_host: Version that each peer was sent last, and when.
        untrusted_since_s: Since when keys can't be accepted.
        ready: Readiness reported last.
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
    assembly: Assembly | None = None
    behind_since_s: float = math.inf
    answers_by_host: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    untrusted_since_s: float = math.inf
    ready: bool = False
