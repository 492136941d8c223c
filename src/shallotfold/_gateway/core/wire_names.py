"""Name the headers that a gateway reads, sets and removes.

The adapter of a platform fills in its own spelling, so that the gateway
works with any.
"""

import attrs


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Lower-case header names of a platform, as bytes.

    Attributes:
        request_id: Id of one attempt of a caller, echoed by upstreams.
        key: Key of a workspace.
        deadline: Milliseconds that the caller, or the sender, will wait.
        workspace: Name of the workspace, for upstreams.
        expected_upstream: Id of the upstream that may run the request.
        priority: Rank of the request inside an engine.
        not_run: Set by upstreams on answers to requests that did not run.
        upstream_load: Running, waiting and slots of the answering upstream.
        last_event: Id of the last event that the caller has.
        model: Model asked for.
        token_counts: Prompt tokens and largest number of output tokens.
        prompt_parts: Parts of the prompt with their lengths.
        reserved: Further headers that callers may not set.
    """

    request_id: bytes
    key: bytes
    deadline: bytes
    workspace: bytes
    expected_upstream: bytes
    priority: bytes
    not_run: bytes
    upstream_load: bytes
    last_event: bytes
    model: bytes
    token_counts: bytes
    prompt_parts: bytes
    reserved: frozenset[bytes]
