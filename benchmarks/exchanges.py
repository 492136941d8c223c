"""Describe the requests of a run and their outcomes."""

import enum

import attrs


class Result(enum.Enum):
    """How a request ended as its caller saw it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """A refusal that doesn't rule out that the request ran."""
    WRONG = "wrong"
    """An answer to another request, or an incomplete one."""
    FAILED = "failed"
    """No usable answer after all tries."""


@attrs.frozen(kw_only=True)
class Workload:
    """One kind of request that the callers send.

    Attributes:
        class_name: Request class.
        workspace: Workspace of the key.
        key: The caller's key.
        interval_s: Time between two requests.
        streaming: Whether answers are streamed; ignored for bookings.
        min_tokens: Minimum number of tokens of an answer.
        max_tokens: Maximum number of tokens of an answer.
        prompt_characters: Length of the prompt.
        booking: Whether requests go to the booking service.
        first_token_s: Target for the first token.
        whole_answer_s: Target for the whole answer.
    """

    class_name: str
    workspace: str
    key: str
    interval_s: float
    streaming: bool = False
    min_tokens: int = 8
    max_tokens: int = 16
    prompt_characters: int = 200
    booking: bool = False
    first_token_s: float | None = None
    whole_answer_s: float | None = None


@attrs.define(kw_only=True)
class Exchange:
    """One request and its outcome.

    Attributes:
        workload: Kind of the request.
        number: Number of the request in the run.
        started_s: Monotonic time at which it was first sent.
        result: How it ended.
        code: Error code of the last refusal.
        not_run: Whether the last refusal stated that it did not run.
        tries: How many times it was sent.
        first_token_s: Time from the last send to the first token.
        total_s: Time from the first send to the end.
        prompt_tokens: Input tokens of the answer.
        output_tokens: Output tokens of the answer.
        cut_at: Entries whose connection was lost during a try.
        body_sha256: Digest of the body.
        detail: Human-readable description of the failure.
    """

    workload: Workload
    number: int
    started_s: float = 0.0
    result: Result = Result.FAILED
    code: str = ""
    not_run: bool = False
    tries: int = 0
    first_token_s: float = 0.0
    total_s: float = 0.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cut_at: list[str] = attrs.field(factory=list)
    body_sha256: str = ""
    detail: str = ""

    @property
    def within_target(self) -> bool:
        """Whether it was answered within the targets of its class."""
        first_limit_s = self.workload.first_token_s
        whole_limit_s = self.workload.whole_answer_s
        return (
            self.result is Result.ANSWERED
            and (first_limit_s is None or self.first_token_s <= first_limit_s)
            and (whole_limit_s is None or self.total_s <= whole_limit_s)
        )
