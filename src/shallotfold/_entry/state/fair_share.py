"""Weighted fair queueing by virtual time."""

from collections.abc import Iterable

import attrs


@attrs.define(kw_only=True)
class FairShare:
    """Start-time fair queueing where the cost is known only after service.

    Attributes:
        virtual_time_by_name: Cost charged so far, divided by weight.
        virtual_time: Highest virtual time of a name when its service started.
        idle_credit: Cost, divided by weight, by which a name that had nothing
            waiting may lag behind the virtual time.
    """

    virtual_time_by_name: dict[str, float] = attrs.field(factory=dict)
    virtual_time: float = 0.0
    idle_credit: float = 0.0

    def activate(self, name: str) -> None:
        """Add a name that waits for service; idle time earns little credit."""
        virtual = self.virtual_time_by_name.get(name, 0.0)
        self.virtual_time_by_name[name] = max(
            virtual, self.virtual_time - self.idle_credit
        )

    def least_served_first(self, names: Iterable[str]) -> list[str]:
        """Return the names by virtual time, the least served first."""
        return sorted(
            names,
            key=lambda name: (self.virtual_time_by_name.get(name, 0.0), name),
        )

    def charge_estimate(self, name: str, cost: float, weight: float) -> None:
        """Charge the estimated cost when service starts."""
        virtual = self.virtual_time_by_name.get(name, 0.0)
        self.virtual_time = max(self.virtual_time, virtual)
        self.charge(name, cost, weight)

    def charge(self, name: str, amount: float, weight: float) -> None:
        """Charge a cost, or a correction: actual minus estimated cost."""
        virtual = self.virtual_time_by_name.get(name, 0.0)
        self.virtual_time_by_name[name] = virtual + amount / weight
