"""Queue of grant requests, by class and workspace."""

from __future__ import annotations

import collections
from collections.abc import Iterator

import attrs

from shallotfold._entry.state.fair_share import FairShare
from shallotfold._wire.grant_messages import GrantRequest

AttemptKey = tuple[str, int]

# The cost of about two chat answers, so that a workspace whose only waiting
# request expired keeps its turn for its next request.
IDLE_CREDIT_TOKENS = 300.0


@attrs.define(kw_only=True)
class QueuedRequest:
    """A grant request that waits at the owner of its pool.

    Attributes:
        host: Entry that sent it.
        request: The message.
        tier: Tier of the class.
        cost: Estimated cost in output tokens.
        weight: Weight of the workspace.
        expires_s: Latest time at which a grant can still meet the targets.
    """

    host: str
    request: GrantRequest
    tier: int
    cost: float
    weight: float
    expires_s: float

    @property
    def key(self) -> AttemptKey:
        """Request id and number of the attempt."""
        return self.request.request_id, self.request.attempt


@attrs.define(kw_only=True)
class ClassQueue:
    """Waiting requests of one class.

    Attributes:
        tier: Tier of the class.
        waiting_by_workspace: Requests in the order of service.
        workspace_share: Shares service between the workspaces.
    """

    tier: int
    waiting_by_workspace: dict[str, collections.deque[QueuedRequest]] = (
        attrs.field(factory=dict)
    )
    workspace_share: FairShare = attrs.field(
        factory=lambda: FairShare(idle_credit=IDLE_CREDIT_TOKENS)
    )


@attrs.define(kw_only=True)
class PoolQueue:
    """All waiting requests of a pool.

    Attributes:
        waiting_by_attempt: Requests in the order of arrival.
        queues_by_class: The same requests, by class and workspace.
        class_share: Shares service between the classes of a tier.
    """

    waiting_by_attempt: dict[AttemptKey, QueuedRequest] = attrs.field(
        factory=dict
    )
    queues_by_class: dict[str, ClassQueue] = attrs.field(factory=dict)
    class_share: FairShare = attrs.field(factory=FairShare)

    def add(self, waiting: QueuedRequest) -> None:
        """Queue a request; a further attempt goes first in its workspace."""
        request = waiting.request
        queue = self._class_queue(request.class_name, waiting.tier)
        workspace_queue = queue.waiting_by_workspace.get(request.workspace)
        if workspace_queue is None:
            workspace_queue = collections.deque()
            queue.waiting_by_workspace[request.workspace] = workspace_queue
            queue.workspace_share.activate(request.workspace)
        if len(queue.waiting_by_workspace) == 1 and not workspace_queue:
            self.class_share.activate(request.class_name)
        self.waiting_by_attempt[waiting.key] = waiting
        if request.attempt > 1:
            workspace_queue.appendleft(waiting)
        else:
            workspace_queue.append(waiting)

    def remove(self, key: AttemptKey) -> QueuedRequest | None:
        """Remove a request if it is queued, and return it."""
        waiting = self.waiting_by_attempt.pop(key, None)
        if waiting is None:
            return None
        request = waiting.request
        queue = self.queues_by_class[request.class_name]
        workspace_queue = queue.waiting_by_workspace[request.workspace]
        workspace_queue.remove(waiting)
        if not workspace_queue:
            del queue.waiting_by_workspace[request.workspace]
        return waiting

    def waiting_classes(self) -> list[str]:
        """Return the classes with waiting requests, highest tier first."""
        names = [
            name
            for name, queue in self.queues_by_class.items()
            if queue.waiting_by_workspace
        ]
        ordered = self.class_share.least_served_first(names)
        return sorted(ordered, key=lambda n: self.queues_by_class[n].tier)

    def heads(self, class_name: str) -> Iterator[QueuedRequest]:
        """Yield the first request of each workspace, least served first."""
        queue = self.queues_by_class[class_name]
        for workspace in queue.workspace_share.least_served_first(
            queue.waiting_by_workspace
        ):
            yield queue.waiting_by_workspace[workspace][0]

    def dequeue(self, waiting: QueuedRequest) -> None:
        """Remove a request from the queue and charge its estimated cost."""
        request = waiting.request
        self.remove(waiting.key)
        queue = self.queues_by_class[request.class_name]
        queue.workspace_share.charge_estimate(
            request.workspace, waiting.cost, waiting.weight
        )
        self.class_share.charge_estimate(request.class_name, waiting.cost, 1.0)

    def correct_charge(
        self, class_name: str, workspace: str, difference: float, weight: float
    ) -> None:
        """Charge the actual minus the estimated cost of a served request."""
        queue = self.queues_by_class.get(class_name)
        if queue is not None:
            queue.workspace_share.charge(workspace, difference, weight)
            self.class_share.charge(class_name, difference, 1.0)

    def _class_queue(self, class_name: str, tier: int) -> ClassQueue:
        queue = self.queues_by_class.get(class_name)
        if queue is None:
            queue = ClassQueue(tier=tier)
            self.queues_by_class[class_name] = queue
        queue.tier = tier
        return queue
