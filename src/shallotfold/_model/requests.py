"""Describe requests, their outcomes and the refusals that callers get."""

import enum

import attrs


class Outcome(enum.Enum):
    """What is known about one attempt to run a request on an upstream."""

    NOT_RUN = "not_run"
    """No byte left for the upstream, or the upstream refused before running."""
    RAN = "ran"
    """The whole answer arrived."""
    UNKNOWN = "unknown"
    """The request may have run; no whole answer arrived."""


class RefusalCode(enum.Enum):
    """Machine-readable reason of a refusal."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ROUTE = "unknown_route"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    TARGET_MISSED = "target_missed"
    PREEMPTED = "preempted"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    STORE_UNAVAILABLE = "store_unavailable"
    IN_PROGRESS = "in_progress"
    KEY_REUSED = "key_reused"
    KEY_WITHDRAWN = "key_withdrawn"
    NOT_READY = "not_ready"
    SHUTTING_DOWN = "shutting_down"


@attrs.frozen(kw_only=True)
class Refusal:
    """The final answer to a request that will not be served.

    Attributes:
        code: Machine-readable reason.
        message: Reason and remedy in one sentence; holds no key.
        outcome: `NOT_RUN` only when that is certain; never `RAN`.
        retry_after_s: When the caller should come back; `None` for faults
            that a repeat cannot mend.
    """

    code: RefusalCode
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None


@attrs.frozen(kw_only=True)
class CallerRequest:
    """What the reducers know about a caller's request; the body stays outside.

    Attributes:
        request_id: Unique id, made by the entry.
        key_sha256: Hexadecimal digest of the caller's key; empty without one.
        model: Requested model; empty for a plain route.
        route_prefix: Prefix of the plain route; empty for a model.
        method: HTTP method.
        class_name: Class asked for; empty for the workspace's default.
        prompt_tokens: Estimated number of input tokens.
        max_output_tokens: Output limit asked for; 0 when not given.
        prefix_digests: Digests of growing prompt prefixes, longest last.
        streaming: Whether the answer is streamed.
        idempotent: Whether the request may run more than once.
        idempotency_key: The caller's idempotency key; empty without one.
        body_sha256: Digest of the body, to tell reuse of an idempotency key.
    """

    request_id: str
    key_sha256: str = ""
    model: str = ""
    route_prefix: str = ""
    method: str = "POST"
    class_name: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prefix_digests: tuple[str, ...] = ()
    streaming: bool = False
    idempotent: bool = True
    idempotency_key: str = ""
    body_sha256: str = ""


@attrs.frozen(kw_only=True)
class RecordedAnswer:
    """The stored outcome of a non-idempotent request, for exact repeats.

    Attributes:
        status: HTTP status.
        content_type: Value of the Content-Type header.
        body: Whole answer body.
    """

    status: int
    content_type: str
    body: bytes
