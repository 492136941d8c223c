"""Build forwarded requests and the headers of forwarded responses."""

import attrs

from shallotfold._gateway.core.wire_names import HeaderNames
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import encode_request
from shallotfold._gateway.http.messages import hop_by_hop_headers


@attrs.frozen(kw_only=True)
class GatewayHeaders:
    """Values of the headers that a gateway sets on forwarded requests.

    Attributes:
        allowed_ms: How long the upstream may work on the request.
        upstream_id: Intended upstream; any other one rejects the request.
        workspace: Workspace of the request; `None` on routes without keys.
        rank: Scheduling rank inside an engine, 0 first; `None`: no engine.
        replaces_last_event: Whether the caller's own last event id is outdated
            and `resume_after` replaces it.
        resume_after: Id of the last event that the caller has; `None`: none.
    """

    allowed_ms: int
    upstream_id: str
    workspace: str | None
    rank: int | None
    replaces_last_event: bool
    resume_after: int | None


def forwarded_request(
    request: IncomingRequest, names: HeaderNames, values: GatewayHeaders
) -> bytes:
    """Encode a caller's request for an upstream.

    Method, target and body are unchanged. Headers keep their spelling and
    order, except that hop-by-hop headers and headers that only the gateway may
    set are removed.
    """
    dropped = (
        hop_by_hop_headers(request.headers, names.end_to_end)
        | names.reserved
        | {b"content-length", b"expect", names.key, names.deadline}
        | {names.expected_upstream, names.priority, names.workspace}
    )
    if values.replaces_last_event:
        dropped |= {names.last_event}
    headers = [
        (original_name, value)
        for original_name, (name, value) in zip(
            request.original_names, request.headers, strict=True
        )
        if name not in dropped
    ]
    headers.append((names.deadline, b"%d" % values.allowed_ms))
    headers.append((names.expected_upstream, values.upstream_id.encode()))
    if values.workspace is not None:
        headers.append((names.workspace, values.workspace.encode()))
    if values.rank is not None:
        headers.append((names.priority, b"%d" % values.rank))
    if values.resume_after is not None:
        headers.append((names.last_event, b"%d" % values.resume_after))
    if request.has_body:
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return encode_request(request.method, request.target, headers, request.body)


def forwarded_response_headers(headers: Headers, names: HeaderNames) -> Headers:
    """Return an upstream's headers without the hop-by-hop ones."""
    lowercase_headers = [(name.lower(), value) for name, value in headers]
    dropped = hop_by_hop_headers(lowercase_headers, names.end_to_end)
    dropped |= {b"content-length"}
    return [h for h in headers if h[0].lower() not in dropped]
