"""Queue grant requests by class and workspace."""

from __future__ import annotations

import collections
from collections.abc import Iterator

import attrs

from shallotfold._entry.state.fair_share import FairShare
from shallotfold._wire.grant_messages import GrantRequest

AttemptKey = tuple[str, int]

# Cost in output tokens of about two answers of a chat: a workspace whose only
# waiting request expired keeps its turn for the next one.
IDLE_CREDIT = 300.0


@attrs.define(kw_only=True)
class QueuedGrant:
    """A grant request waiting at its pool's owner.

    Attributes:
        host: Entry that asked.
        request: What it asked for.
        tier: Tier of the class.
        cost: Estimated cost in output tokens.
        weight: Weight of the workspace.
        expires_s: Until when a grant can still meet the targets.
    """

    host: str
    request: GrantRequest
    tier: int
    cost: float
    weight: float
    expires_s: float

    @property
    def key(self) -> AttemptKey:
        """Id and number of the attempt."""
        return self.request.request_id, self.request.attempt


@attrs.define(kw_only=True)
class ClassQueue:
    """Waiting requests of one class.

    Attributes:
        tier: Tier of the class.
        waiting_by_workspace: Requests in the order of arrival.
        share: Fair shares of the workspaces.
    """

    tier: int
    waiting_by_workspace: dict[str, collections.deque[QueuedGrant]] = (
        attrs.field(factory=dict)
    )
    share: FairShare = attrs.field(
        factory=lambda: FairShare(idle_credit=IDLE_CREDIT)
    )


@attrs.define(kw_only=True)
class PoolQueue:
    """All waiting requests of a pool.

    Attributes:
        waiting_by_attempt: Requests in the order of arrival.
        queues_by_class: The same requests, by class and workspace.
        class_share: Fair shares of the classes of one tier.
    """

    waiting_by_attempt: dict[AttemptKey, QueuedGrant] = attrs.field(
        factory=dict
    )
    queues_by_class: dict[str, ClassQueue] = attrs.field(factory=dict)
    class_share: FairShare = attrs.field(factory=FairShare)

    def add(self, waiting: QueuedGrant) -> None:
        """Queue a request; a resumed one goes before its workspace's others."""
        request = waiting.request
        queue = self._queue(request.class_name, waiting.tier)
        line = queue.waiting_by_workspace.get(request.workspace)
        if line is None:
            line = collections.deque()
            queue.waiting_by_workspace[request.workspace] = line
            queue.share.join(request.workspace)
        if len(queue.waiting_by_workspace) == 1 and not line:
            self.class_share.join(request.class_name)
        self.waiting_by_attempt[waiting.key] = waiting
        if request.attempt > 1:
            line.appendleft(waiting)
        else:
            line.append(waiting)

    def remove(self, key: AttemptKey) -> QueuedGrant | None:
        """Take a request out of the queue, if it is there."""
        waiting = self.waiting_by_attempt.pop(key, None)
        if waiting is None:
            return None
        request = waiting.request
        queue = self.queues_by_class[request.class_name]
        line = queue.waiting_by_workspace[request.workspace]
        line.remove(waiting)
        if not line:
            del queue.waiting_by_workspace[request.workspace]
        return waiting

    def classes(self) -> list[str]:
        """Return classes with waiting requests, highest tier first."""
        names = [
            name
            for name, queue in self.queues_by_class.items()
            if queue.waiting_by_workspace
        ]
        ordered = self.class_share.order(names)
        return sorted(ordered, key=lambda n: self.queues_by_class[n].tier)

    def heads(self, class_name: str) -> Iterator[QueuedGrant]:
        """Yield the first request of each workspace, least served first."""
        queue = self.queues_by_class[class_name]
        for workspace in queue.share.order(queue.waiting_by_workspace):
            yield queue.waiting_by_workspace[workspace][0]

    def serve(self, waiting: QueuedGrant) -> None:
        """Take a request out of the queue and charge its estimated cost."""
        request = waiting.request
        self.remove(waiting.key)
        queue = self.queues_by_class[request.class_name]
        queue.share.serve(request.workspace, waiting.cost, waiting.weight)
        self.class_share.serve(request.class_name, waiting.cost, 1.0)

    def settle(
        self, class_name: str, workspace: str, surplus: float, weight: float
    ) -> None:
        """Charge the real cost of a served request."""
        queue = self.queues_by_class.get(class_name)
        if queue is not None:
            queue.share.settle(workspace, surplus, weight)
            self.class_share.settle(class_name, surplus, 1.0)

    def _queue(self, class_name: str, tier: int) -> ClassQueue:
        queue = self.queues_by_class.get(class_name)
        if queue is None:
            queue = ClassQueue(tier=tier)
            self.queues_by_class[class_name] = queue
        queue.tier = tier
        return queue
