"""Keep the steps in the handling of recent requests."""

import collections
import time

import attrs

MAX_REQUESTS = 4096
MAX_STEPS = 32
MAX_DETAIL_CHARACTERS = 200


@attrs.frozen
class Step:
    """One step in the handling of a request.

    Attributes:
        at_s: Time in seconds since the epoch.
        step: Name of the step.
        detail: Details of the step; never includes a key.
    """

    at_s: float
    step: str
    detail: str


class Explanations:
    """The steps of recent requests, in bounded memory."""

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._steps_by_id: collections.OrderedDict[str, list[Step]] = (
            collections.OrderedDict()
        )

    def record(self, request_id: str, step: str, detail: str) -> None:
        """Add a step; drops the oldest requests and surplus steps."""
        steps = self._steps_by_id.get(request_id)
        if steps is None:
            steps = self._steps_by_id[request_id] = []
            if len(self._steps_by_id) > self._max_requests:
                self._steps_by_id.popitem(last=False)
        if len(steps) < MAX_STEPS:
            detail = detail[:MAX_DETAIL_CHARACTERS]
            steps.append(Step(time.time(), step, detail))

    def get_steps(self, request_id: str) -> tuple[Step, ...]:
        """Return the steps of a request; none when it is unknown."""
        return tuple(self._steps_by_id.get(request_id, ()))
