"""Share service between names by weight, in virtual time."""

from collections.abc import Iterable

import attrs


@attrs.define(kw_only=True)
class FairShare:
    """Start-time fair queueing over names whose cost is known only later.

    Attributes:
        virtual_by_name: Cost charged so far, divided by the weight.
        virtual_now: Virtual time of the last name that was served.
        idle_credit: Cost, divided by the weight, that a name may fall behind
            while it has nothing waiting.
    """

    virtual_by_name: dict[str, float] = attrs.field(factory=dict)
    virtual_now: float = 0.0
    idle_credit: float = 0.0

    def join(self, name: str) -> None:
        """Let a name wait for service; idle time earns little credit."""
        virtual = self.virtual_by_name.get(name, 0.0)
        self.virtual_by_name[name] = max(
            virtual, self.virtual_now - self.idle_credit
        )

    def order(self, names: Iterable[str]) -> list[str]:
        """Return the names, the one served least first."""
        return sorted(
            names, key=lambda name: (self.virtual_by_name.get(name, 0.0), name)
        )

    def serve(self, name: str, cost: float, weight: float) -> None:
        """Charge an estimated cost at the start of a service."""
        virtual = self.virtual_by_name.get(name, 0.0)
        self.virtual_now = max(self.virtual_now, virtual)
        self.settle(name, cost, weight)

    def settle(self, name: str, surplus: float, weight: float) -> None:
        """Charge the difference between the real and the estimated cost."""
        virtual = self.virtual_by_name.get(name, 0.0)
        self.virtual_by_name[name] = virtual + surplus / weight
