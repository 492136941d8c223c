"""Decide whether to admit a request."""

import zlib

import attrs

from shallotfold._entry.pools import pools
from shallotfold._entry.requests import keys
from shallotfold._entry.requests import limits
from shallotfold._entry.state.catalog import service_key
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._model.configuration import Route
from shallotfold._model.configuration import Workspace
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode

SHUTDOWN_RETRY_AFTER_S = 1.0
NO_UPSTREAM_RETRY_AFTER_S = 5.0


@attrs.frozen(kw_only=True)
class Admission:
    """How an admitted request is served.

    Attributes:
        workspace: Name of the workspace; empty on a route open to all.
        class_name: Effective request class.
        pool: Pool that serves it.
        charged_tokens: Tokens charged to the workspace's limits.
    """

    workspace: str
    class_name: str
    pool: str
    charged_tokens: float = 0.0


def crash_key(request: CallerRequest) -> str:
    """Return what equal requests share; empty if the body isn't known."""
    if not request.body_sha256:
        return ""
    return f"{request.key_sha256}/{request.body_sha256}"


def refuse_held(
    state: EntryState, request: CallerRequest, now_s: float
) -> Refusal | None:
    """Refuse a request under which upstreams have ended lately.

    The first one after a hold is admitted, as a trial.
    """
    evidence = state.requests.crash_evidence
    key = crash_key(request)
    hold_s = evidence.hold_s(key, now_s)
    if hold_s > 0.0:
        return Refusal(
            code=RefusalCode.NO_UPSTREAM,
            message="Upstreams end under this request; repeat it later.",
            retry_after_s=hold_s,
        )
    evidence.begin_trial(key, now_s)
    return None


def admit(
    state: EntryState, request: CallerRequest, now_s: float
) -> Admission | Refusal:
    """Check the key, the class, the upstreams and the limits."""
    if state.draining:
        return Refusal(
            code=RefusalCode.SHUTTING_DOWN,
            message="This host is shutting down; repeat on another one.",
            retry_after_s=SHUTDOWN_RETRY_AFTER_S,
        )
    if request.route_prefix:
        return _admit_route(state, request, now_s)
    workspace = keys.authenticate(state, request.key_sha256, now_s)
    if isinstance(workspace, Refusal):
        return workspace
    return _admit_model(state, workspace, request, now_s)


def _admit_route(
    state: EntryState, request: CallerRequest, now_s: float
) -> Admission | Refusal:
    routes = state.configuration.current.routes_by_prefix
    route = routes.get(request.route_prefix)
    if route is None:
        return Refusal(
            code=RefusalCode.UNKNOWN_ROUTE,
            message=f"No route {request.route_prefix!r}; ask your operator.",
        )
    pool = _choose_pool(state, request, service_key("", route.service))
    if route.open_to_all:
        return _admit_to_pool(pool, "", route.request_class)
    workspace = keys.authenticate(state, request.key_sha256, now_s)
    if isinstance(workspace, Refusal):
        return workspace
    return _admit_to_route(state, workspace, route, pool, now_s)


def _admit_to_route(
    state: EntryState,
    workspace: Workspace,
    route: Route,
    pool: str,
    now_s: float,
) -> Admission | Refusal:
    if route.prefix not in workspace.routes:
        return Refusal(
            code=RefusalCode.FORBIDDEN,
            message=f"The workspace may not use route {route.prefix!r}.",
        )
    admitted = _admit_to_pool(pool, workspace.name, route.request_class)
    if isinstance(admitted, Refusal):
        return admitted
    return limits.admit(state, workspace, 0.0, now_s) or admitted


def _admit_model(
    state: EntryState,
    workspace: Workspace,
    request: CallerRequest,
    now_s: float,
) -> Admission | Refusal:
    class_name = request.class_name or workspace.default_class
    classes = state.configuration.current.classes_by_name
    request_class = classes.get(class_name)
    if request_class is None or class_name not in workspace.classes:
        return Refusal(
            code=RefusalCode.FORBIDDEN,
            message=(
                f"The workspace may not use class {class_name!r}; "
                f"use one of {', '.join(workspace.classes)}."
            ),
        )
    pool = _choose_pool(state, request, service_key(request.model, ""))
    if not pool:
        return Refusal(
            code=RefusalCode.UNKNOWN_MODEL,
            message=f"No model {request.model!r}; see /v1/models.",
        )
    output_tokens = state.requests.estimates.output_tokens(
        request_class, workspace.name, request.max_output_tokens
    )
    tokens = request.prompt_tokens + output_tokens
    refusal = limits.admit(state, workspace, tokens, now_s)
    return refusal or Admission(
        workspace=workspace.name,
        class_name=class_name,
        pool=pool,
        charged_tokens=tokens,
    )


def _admit_to_pool(
    pool: str, workspace: str, class_name: str
) -> Admission | Refusal:
    if pool:
        return Admission(workspace=workspace, class_name=class_name, pool=pool)
    return Refusal(
        code=RefusalCode.NO_UPSTREAM,
        message="No upstream serves this route now; repeat later.",
        retry_after_s=NO_UPSTREAM_RETRY_AFTER_S,
    )


def _choose_pool(
    state: EntryState, request: CallerRequest, service: str
) -> str:
    """Return one of the pools of a service, or "" if it has none.

    Pools with upstreams in this entry's data centre are preferred.
    """
    catalog = pools.catalog_of(state)
    names = catalog.pools_by_service.get(service, ())
    if len(names) <= 1:
        return names[0] if names else ""
    local_names = [
        name
        for name in names
        if any(
            upstream.data_centre == state.data_centre
            for upstream in catalog.upstreams_by_pool[name]
        )
    ]
    candidates = local_names or names
    return candidates[zlib.crc32(request.request_id.encode()) % len(candidates)]
