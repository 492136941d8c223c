"""Bound the memory that the bodies of callers' requests take on a host."""

import attrs

# A body is held until its request has its final response, since an attempt may
# have to be repeated; receiving and sending take as much each. The process on
# the smallest hosts may take 200 MB.
MAX_HOST_BODY_BYTES = 33_554_432
# Smaller bodies are always taken: they are bounded by the number of callers.
UNCOUNTED_BODY_BYTES = 65_536


@attrs.define
class BodyBudget:
    """Bytes of large request bodies that a host holds.

    Attributes:
        held_bytes: Bytes held at present.
    """

    held_bytes: int = 0

    def try_hold(self, count: int) -> bool:
        """Hold more bytes; return whether there is room for them."""
        if self.held_bytes + count > MAX_HOST_BODY_BYTES:
            return False
        self.held_bytes += count
        return True

    def release(self, count: int) -> None:
        """Release bytes that were held."""
        self.held_bytes -= count


@attrs.define
class BodyHold:
    """The share of one request in the budget.

    Attributes:
        refused: Whether there was no room; the body isn't kept.
    """

    _budget: BodyBudget
    refused: bool = False
    _body_bytes: int = 0
    _held_bytes: int = 0

    def add(self, count: int) -> bool:
        """Count a part of the body; return whether it may be kept."""
        if self.refused:
            return False
        self._body_bytes += count
        missing = self._body_bytes - UNCOUNTED_BODY_BYTES - self._held_bytes
        if missing <= 0:
            return True
        if self._budget.try_hold(missing):
            self._held_bytes += missing
            return True
        self.refused = True
        self.release()
        return False

    def release(self) -> None:
        """Release what is held, once the request has ended."""
        self._budget.release(self._held_bytes)
        self._held_bytes = 0
