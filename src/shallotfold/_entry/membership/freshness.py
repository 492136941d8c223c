"""Decide whether this entry may still trust its configuration.

It may while it or a reachable entry has recently read the newest version. If
none has, a reachable majority of the known entries means that the store is
down, and this entry keeps serving; without one, this entry is cut off.
"""

from shallotfold._entry.membership import liveness
from shallotfold._entry.state.entry_state import EntryState

MAX_CONFIRMATION_AGE_S = 3.5


def start_tracking(state: EntryState) -> None:
    """Require fresh confirmations from now on.

    An entry that has seen no peer, host list or store has a static
    configuration, which is always trusted.
    """
    state.configuration.tracked = True


def confirm(state: EntryState, version: int, at_s: float) -> None:
    """Record that the newest version was `version` at `at_s`."""
    configuration = state.configuration
    if version <= configuration.version:
        configuration.confirmed_s = max(configuration.confirmed_s, at_s)
    elif version > configuration.awaited_version:
        configuration.awaited_version = version
        configuration.awaited_s = at_s
    elif version == configuration.awaited_version:
        configuration.awaited_s = max(configuration.awaited_s, at_s)


def on_adopted(state: EntryState) -> None:
    """Apply a confirmation that arrived before its version was adopted."""
    configuration = state.configuration
    if configuration.awaited_version <= configuration.version:
        configuration.confirmed_s = max(
            configuration.confirmed_s, configuration.awaited_s
        )


def is_trusted(state: EntryState, now_s: float) -> bool:
    """Return whether keys may be accepted now."""
    configuration = state.configuration
    if configuration.version == 0:
        return False
    if not configuration.tracked:
        return True
    if now_s - configuration.confirmed_s <= MAX_CONFIRMATION_AGE_S:
        return True
    return not _is_behind(state) and liveness.has_majority(state, now_s)


def _is_behind(state: EntryState) -> bool:
    """Return whether a connected peer has a newer version."""
    return any(
        peer.connected and peer.config_version > state.configuration.version
        for peer in state.membership.peers_by_name.values()
    )
