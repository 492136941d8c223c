"""Write requests and answers as they are passed on."""

import attrs

from shallotfold._gateway.core.wire_names import HeaderNames
from shallotfold._gateway.http.messages import HOP_BY_HOP_HEADERS
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import connection_options
from shallotfold._gateway.http.messages import encode_request


@attrs.frozen(kw_only=True)
class SystemHeaders:
    """What a gateway tells an upstream besides the caller's request.

    Attributes:
        allowed_ms: How long the upstream may work.
        upstream_id: The upstream that is meant; another one refuses.
        workspace: Whose request it is; `None` on routes without keys.
        rank: How urgent it is inside an engine; `None`: no engine.
        resumes: Whether the caller's own last event no longer holds.
        resume_after: Id of the last event that the caller has; `None`: none.
    """

    allowed_ms: int
    upstream_id: str
    workspace: str | None
    rank: int | None
    resumes: bool
    resume_after: int | None


def forwarded_request(
    request: IncomingRequest, names: HeaderNames, system: SystemHeaders
) -> bytes:
    """Write a caller's request for an upstream.

    Method, target and body stay as they are. Headers stay in their spelling
    and order, without those of one connection and those of the system.
    """
    dropped = (
        HOP_BY_HOP_HEADERS
        | names.reserved
        | connection_options(request.headers)
        | {b"content-length", b"expect", names.key, names.deadline}
        | {names.expected_upstream, names.priority, names.workspace}
    )
    if system.resumes:
        dropped |= {names.last_event}
    headers = [
        (spelled, value)
        for spelled, (name, value) in zip(
            request.original_names, request.headers, strict=True
        )
        if name not in dropped or name == b"host"
    ]
    headers.append((names.deadline, b"%d" % system.allowed_ms))
    headers.append((names.expected_upstream, system.upstream_id.encode()))
    if system.workspace is not None:
        headers.append((names.workspace, system.workspace.encode()))
    if system.rank is not None:
        headers.append((names.priority, b"%d" % system.rank))
    if system.resume_after is not None:
        headers.append((names.last_event, b"%d" % system.resume_after))
    if request.has_body:
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return encode_request(request.method, request.target, headers, request.body)


def forwarded_headers(headers: Headers) -> Headers:
    """Return an upstream's headers without those of its connection."""
    lowered = [(name.lower(), value) for name, value in headers]
    dropped = HOP_BY_HOP_HEADERS | connection_options(lowered)
    dropped |= {b"content-length"}
    return [h for h in headers if h[0].lower() not in dropped]
