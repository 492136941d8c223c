"""Bound the memory that the bodies of callers' requests take on a host."""

from collections.abc import Callable

import attrs

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.serving.caller_memory import BYTES_PER_MIB
from shallotfold._gateway.serving.caller_memory import DEFAULT_MEMORY_LIMIT_MIB
from shallotfold._gateway.serving.caller_memory import RELIEF_SHARE

# A body is held until its request has its final response, since an attempt may
# have to be repeated; receiving and sending take as much each. The process on
# the smallest hosts may take 200 MB.
MAX_HOST_BODY_BYTES = 33_554_432
LARGE_BODY_SHARE = 1 / 6
# Of each body, this much counts toward the budget of first parts, the rest
# toward that of large bodies.
FIRST_PART_BYTES = 65_536
FIRST_PART_SHARE = 1 / 8
# Bodies up to this size are always taken once they are complete: they are
# bounded by the number of callers.
SMALL_BODY_BYTES = 4_096


@attrs.define(eq=False)
class BodyBudget:
    """Bytes of request bodies that a host holds.

    Attributes:
        max_large_bytes: Budget of what bodies have beyond their first part.
        max_first_bytes: Budget of the first parts of all bodies. Complete ones
            may take half of it.
        held_bytes: Bytes of large bodies that are held.
        first_bytes: Bytes of first parts that are held.
        complete_first_bytes: Those of complete bodies.
    """

    max_large_bytes: int = MAX_HOST_BODY_BYTES
    max_first_bytes: int = int(
        DEFAULT_MEMORY_LIMIT_MIB * BYTES_PER_MIB * FIRST_PART_SHARE
    )
    held_bytes: int = 0
    first_bytes: int = 0
    complete_first_bytes: int = 0
    # In the order in which their bodies began.
    _unfinished: "dict[BodyHold, None]" = attrs.field(factory=dict)

    def set_memory_limit(self, memory_limit_mib: int | None) -> None:
        """Derive the budgets from the memory that the process may use."""
        limit_mib = memory_limit_mib or DEFAULT_MEMORY_LIMIT_MIB
        limit_bytes = limit_mib * BYTES_PER_MIB
        self.max_first_bytes = int(limit_bytes * FIRST_PART_SHARE)
        self.max_large_bytes = min(
            MAX_HOST_BODY_BYTES, int(limit_bytes * LARGE_BODY_SHARE)
        )

    def try_hold(self, count: int) -> bool:
        """Hold more of a large body; return whether there is room for it."""
        if self.held_bytes + count > self.max_large_bytes:
            return False
        self.held_bytes += count
        return True

    def release(self, count: int) -> None:
        """Release bytes of a large body that were held."""
        self.held_bytes -= count

    def hold_first_part(self, hold: "BodyHold", count: int) -> None:
        """Hold more of a first part; refuse the largest unfinished bodies."""
        self._unfinished[hold] = None
        self.first_bytes += count
        if self.first_bytes <= self.max_first_bytes:
            return
        decision_log.record(
            "bodies_refused",
            first_bytes=self.first_bytes,
            max_first_bytes=self.max_first_bytes,
            unfinished=len(self._unfinished),
        )
        # Stable: the oldest of equal ones come first.
        largest = sorted(
            self._unfinished, key=lambda h: h.first_bytes, reverse=True
        )
        for unfinished in largest:
            if self.first_bytes <= self.max_first_bytes * RELIEF_SHARE:
                return
            unfinished.refuse()

    def try_complete(self, hold: "BodyHold") -> bool:
        """Count a body as complete; return whether it may be served."""
        complete_bytes = self.complete_first_bytes + hold.first_bytes
        if (
            hold.first_bytes > SMALL_BODY_BYTES
            and complete_bytes > self.max_first_bytes // 2
        ):
            return False
        self._unfinished.pop(hold, None)
        self.complete_first_bytes = complete_bytes
        return True

    def release_first_part(self, hold: "BodyHold", *, complete: bool) -> None:
        """Release a first part that was held."""
        self._unfinished.pop(hold, None)
        self.first_bytes -= hold.first_bytes
        if complete:
            self.complete_first_bytes -= hold.first_bytes


@attrs.define(eq=False)
class BodyHold:
    """The share of one request in the budget.

    Attributes:
        on_refused: Called when the body must be dropped while it is received.
        refused: Whether there was no room; the body isn't kept.
        first_bytes: Bytes of its first part that are held.
    """

    _budget: BodyBudget
    on_refused: Callable[[], None] = lambda: None
    refused: bool = False
    first_bytes: int = 0
    _body_bytes: int = 0
    _held_bytes: int = 0
    _complete: bool = False

    def add(self, count: int) -> bool:
        """Count a part of the body; return whether it may be kept."""
        if self.refused:
            return False
        self._body_bytes += count
        first_bytes = min(self._body_bytes, FIRST_PART_BYTES)
        growth = first_bytes - self.first_bytes
        if growth:
            self.first_bytes = first_bytes
            self._budget.hold_first_part(self, growth)
            if self.refused:
                return False
        missing = self._body_bytes - first_bytes - self._held_bytes
        if not missing:
            return True
        if self._budget.try_hold(missing):
            self._held_bytes += missing
            return True
        self.refuse()
        return False

    def complete(self) -> None:
        """Refuse a complete body if too many are in service or queued."""
        if self.refused or self._complete:
            return
        if self._budget.try_complete(self):
            self._complete = True
        else:
            self.refuse()

    def refuse(self) -> None:
        """Drop the body, since the host has no room for it."""
        self.refused = True
        self.release()
        self.on_refused()

    def release(self) -> None:
        """Release what is held, once the request has ended."""
        self._budget.release(self._held_bytes)
        self._budget.release_first_part(self, complete=self._complete)
        self._held_bytes = 0
        self.first_bytes = 0
        self._complete = False
