"""Adopt configurations, never an older one, and know how fresh ours is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from shallotfold._entry import effects
from shallotfold._model.configuration import Configuration

if TYPE_CHECKING:
    from shallotfold._entry import events
    from shallotfold._entry.state import EntryState


@attrs.define(kw_only=True)
class ConfigurationState:
    """The configuration in force.

    Attributes:
        version: Its version; 0 before any was adopted.
        current: Its content.
        document: Its canonical bytes.
        sha256: Digest of the document.
    """

    version: int = 0
    current: Configuration = attrs.field(factory=Configuration)
    document: bytes = b""
    sha256: str = ""


def on_read(
    state: EntryState, event: events.ConfigurationRead
) -> list[effects.Effect]:
    """Adopt a configuration if its version is higher than ours."""
    held = state.configuration
    if event.version <= held.version:
        return []
    held.version = event.version
    held.current = event.configuration
    held.document = event.document
    held.sha256 = event.sha256
    return [effects.SetReady(ready=True)]


def on_confirmed(
    state: EntryState, event: events.VersionConfirmed
) -> list[effects.Effect]:
    """Fetch the configuration that the store has confirmed as the newest."""
    if event.version <= state.configuration.version:
        return []
    return [effects.FetchConfiguration(version=event.version)]


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Exchange configuration documents with peers."""
    del state, event
    return []


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Check how old our knowledge is."""
    del state, event
    return []
