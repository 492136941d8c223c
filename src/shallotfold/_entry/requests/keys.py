"""Authenticate keys and check what they permit."""

from shallotfold._entry.membership import freshness
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Workspace
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode

STALE_RETRY_AFTER_S = 2.0


def index_workspaces(configuration: Configuration) -> dict[str, Workspace]:
    """Return the workspaces of a configuration by the digests of their keys.

    The time of a lookup by digest reveals nothing about how much of a wrong
    key is correct, because callers choose keys and not digests.
    """
    return {
        key.sha256: workspace
        for workspace in configuration.workspaces_by_name.values()
        for key in workspace.keys
    }


def authenticate(
    state: EntryState, key_sha256: str, now_s: float
) -> Workspace | Refusal:
    """Return the workspace of a key, or a refusal."""
    if not freshness.is_trusted(state, now_s):
        return stale_refusal()
    workspace = state.configuration.workspaces_by_key.get(key_sha256)
    if workspace is not None:
        return workspace
    return Refusal(
        code=RefusalCode.UNAUTHENTICATED,
        message="The key is unknown or withdrawn; ask your operator for one.",
    )


def is_still_authorized(state: EntryState, open_request: OpenRequest) -> bool:
    """Return whether an open request is still permitted."""
    request = open_request.request
    if not open_request.workspace:
        routes = state.configuration.current.routes_by_prefix
        route = routes.get(request.route_prefix)
        return route is not None and route.open_to_all
    workspace = state.configuration.workspaces_by_key.get(request.key_sha256)
    if workspace is None or workspace.name != open_request.workspace:
        return False
    if request.route_prefix:
        return request.route_prefix in workspace.routes
    return open_request.class_name in workspace.classes


def stale_refusal() -> Refusal:
    """Return the refusal of an entry that can't verify keys now."""
    return Refusal(
        code=RefusalCode.NOT_READY,
        message=(
            "This host can't tell whether the key is still valid; "
            "repeat on another one."
        ),
        retry_after_s=STALE_RETRY_AFTER_S,
    )


def withdrawn_refusal() -> Refusal:
    """Return the refusal for a request whose key was withdrawn."""
    return Refusal(
        code=RefusalCode.KEY_WITHDRAWN,
        message=(
            "The key no longer entitles to this request; "
            "ask your operator for another one."
        ),
    )
