"""Tell whether this entry may still trust its configuration.

It may while somebody in reach has read the newest version lately. When nobody
has, a majority of the known entries in reach means that the store is down,
and the entry serves on; fewer mean that this entry is cut off.
"""

from shallotfold._entry.membership import liveness
from shallotfold._entry.state.entry_state import EntryState

FRESH_LIMIT_S = 3.5


def start_tracking(state: EntryState) -> None:
    """Require fresh confirmations from now on.

    A state that has met neither peers, hosts nor the store has a static
    configuration, which is always trusted.
    """
    state.configuration.tracked = True


def confirm(state: EntryState, version: int, at_s: float) -> None:
    """Take over that the newest version was `version` at `at_s`."""
    held = state.configuration
    if version <= held.version:
        held.confirmed_s = max(held.confirmed_s, at_s)
    elif version > held.awaited_version:
        held.awaited_version = version
        held.awaited_s = at_s
    elif version == held.awaited_version:
        held.awaited_s = max(held.awaited_s, at_s)


def adopted(state: EntryState) -> None:
    """Use the confirmation that waited for the version now in force."""
    held = state.configuration
    if held.awaited_version <= held.version:
        held.confirmed_s = max(held.confirmed_s, held.awaited_s)


def is_trusted(state: EntryState, now_s: float) -> bool:
    """Tell whether keys may be accepted now."""
    held = state.configuration
    if held.version == 0:
        return False
    if not held.tracked:
        return True
    if now_s - held.confirmed_s <= FRESH_LIMIT_S:
        return True
    return not _is_behind(state) and liveness.has_majority(state, now_s)


def _is_behind(state: EntryState) -> bool:
    """Tell whether a peer in reach has a newer version."""
    return any(
        peer.connected and peer.config_version > state.configuration.version
        for peer in state.membership.peers_by_name.values()
    )
