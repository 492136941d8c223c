"""Decide which workspace a key entitles to what."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotfold._model.configuration import Workspace
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode

if TYPE_CHECKING:
    from shallotfold._entry.state import EntryState


def authenticate(
    state: EntryState, key_sha256: str, now_s: float
) -> Workspace | Refusal:
    """Return the workspace of a key, or the refusal to answer with."""
    del now_s
    for workspace in state.configuration.current.workspaces_by_name.values():
        for key in workspace.keys:
            if key.sha256 == key_sha256:
                return workspace
    return Refusal(
        code=RefusalCode.UNAUTHENTICATED,
        message="The key is unknown or withdrawn; ask your operator for one.",
    )
