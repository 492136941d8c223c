"""Define the headers that a gateway reads, sets and removes.

Each platform adapter provides its own header names, so the gateway doesn't
depend on a platform.
"""

import attrs


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Lower-case header names of a platform, as bytes.

    Attributes:
        request_id: Id of one attempt of a caller, echoed by upstreams.
        key: API key of a workspace.
        deadline: Milliseconds that the sender of the request still waits: the
            caller, or this host.
        workspace: Name of the workspace, for upstreams.
        expected_upstream: Id of the only upstream that may run the request.
        priority: Rank of the request inside an engine.
        not_run: Set by upstreams on responses to requests that did not run.
        upstream_load: Running and waiting requests and slots of the
            responding upstream.
        upstream_leaving: `1` on all responses of an upstream that is leaving.
        upstream_limit: Requests a second that the responding upstream takes
            from all hosts together; absent while it names no limit.
        last_event: Id of the last event that the caller received.
        model: Name of the requested model.
        token_counts: Prompt tokens and maximum number of output tokens.
        prompt_parts: Parts of the prompt with their lengths.
        reserved: Further headers that callers may not set.
        forwarded: Further headers for the final recipient of a message.
        end_to_end: All headers for the final recipient. A Connection header
            can't remove them; the gateway may set or remove some itself.
    """

    request_id: bytes
    key: bytes
    deadline: bytes
    workspace: bytes
    expected_upstream: bytes
    priority: bytes
    not_run: bytes
    upstream_load: bytes
    upstream_leaving: bytes
    upstream_limit: bytes
    last_event: bytes
    model: bytes
    token_counts: bytes
    prompt_parts: bytes
    reserved: frozenset[bytes]
    forwarded: frozenset[bytes]
    end_to_end: frozenset[bytes] = attrs.field(init=False)

    @end_to_end.default
    def _end_to_end(self) -> frozenset[bytes]:
        return self.forwarded | {
            self.request_id,
            self.not_run,
            self.upstream_load,
            self.upstream_leaving,
            self.upstream_limit,
            self.last_event,
            self.model,
            self.token_counts,
            self.prompt_parts,
        }
