"""Describe the requests of a run and what became of them."""

import enum

import attrs


class Result(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """A refusal that says that the request may have run."""
    WRONG = "wrong"
    """An answer that is not this request's, or not whole."""
    FAILED = "failed"
    """No usable answer after all tries."""


@attrs.frozen(kw_only=True)
class Workload:
    """One kind of request that the callers send.

    Attributes:
        class_name: Request class.
        workspace: Workspace whose key is shown.
        key: The caller's key.
        interval_s: Time between two requests.
        streaming: Whether answers are streamed; ignored for bookings.
        min_tokens: Least tokens of an answer.
        max_tokens: Most tokens of an answer.
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
    """One request and what became of it.

    Attributes:
        workload: Kind of the request.
        number: Number of the request in the run.
        started_s: Monotonic time of the first sending.
        result: How it ended.
        code: Error code of the last refusal.
        not_run: Whether the last refusal said that it did not run.
        tries: How often it was sent.
        first_token_s: From the last sending to the first token.
        whole_s: From the first sending to the end.
        prompt_tokens: Input tokens of the answer.
        output_tokens: Output tokens of the answer.
        cut_at: Entries at which a try died with its connection.
        body_sha256: Digest of the body.
        detail: What was wrong, for people.
    """

    workload: Workload
    number: int
    started_s: float = 0.0
    result: Result = Result.FAILED
    code: str = ""
    not_run: bool = False
    tries: int = 0
    first_token_s: float = 0.0
    whole_s: float = 0.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cut_at: list[str] = attrs.field(factory=list)
    body_sha256: str = ""
    detail: str = ""

    @property
    def within_target(self) -> bool:
        """Whether it was answered within the targets of its class."""
        first = self.workload.first_token_s
        whole = self.workload.whole_answer_s
        return (
            self.result is Result.ANSWERED
            and (first is None or self.first_token_s <= first)
            and (whole is None or self.whole_s <= whole)
        )
