"""Divide the engines of each service between long and short prompts.

The prefill of a long prompt stalls all streams of its engine, so long prompts
have engines of their own. Which kind needs more of them changes within seconds:
in a burst of one kind a fixed division leaves its callers waiting beside idle
slots. Hosts announce how many requests of each kind they have at engines, and
each host computes the division from the sums. While hosts differ in what they
know, a few engines in the middle get both kinds.
"""

from collections.abc import Mapping

import attrs

from shallotfold._gateway.deciding.engine_set import LONG_PROMPT_ENGINE_SHARE

# Bounds keep both kinds from being left without engines.
MIN_LONG_SHARE = 0.35
MAX_LONG_SHARE = 0.75
# A short prompt's engine needs free slots to begin its next one at once, while
# the target of a long prompt leaves time to wait.
SHORT_HEADROOM = 1.5
# Each change moves prompts away from engines that cache their prefixes.
MIN_CHANGE = 0.08
# While fewer of the slots are used, both kinds have free ones in the fixed
# division, and a change would only cost prefixes that are prefilled again.
MIN_BUSY_SLOTS = 0.45
# Weight of the newest sums in an update while demand falls. Growing demand
# counts at once: targets are about as short as the time between updates.
NEWEST_WEIGHT = 0.3
UPDATE_INTERVAL_S = 0.5
# Hosts of a large fleet send a heartbeat every two seconds; one may be lost.
PEER_MAX_AGE_S = 5.0


@attrs.frozen
class PromptLoad:
    """Requests of one service that are at engines.

    Attributes:
        short: Requests with short prompts.
        long: Requests with long prompts.
    """

    short: int
    long: int


@attrs.define
class _Demand:
    short: float = 0.0
    long: float = 0.0


@attrs.define
class PartitionShares:
    """Share of each service's engines that is for long prompts."""

    _local_by_service: Mapping[str, PromptLoad] = attrs.field(factory=dict)
    _by_peer: dict[str, tuple[float, Mapping[str, PromptLoad]]] = attrs.field(
        factory=dict
    )
    _demand_by_service: dict[str, _Demand] = attrs.field(factory=dict)
    _share_by_service: dict[str, float] = attrs.field(factory=dict)
    _updated_s: float = 0.0

    def is_due(self, now_s: float) -> bool:
        """Whether the shares should be updated now."""
        return now_s - self._updated_s >= UPDATE_INTERVAL_S

    def local_loads(self) -> Mapping[str, PromptLoad]:
        """Return the loads of this host, for its peers."""
        return self._local_by_service

    def record_peer(
        self,
        peer: str,
        loads_by_service: Mapping[str, PromptLoad],
        now_s: float,
    ) -> None:
        """Replace the loads that a peer announced."""
        self._by_peer[peer] = (now_s, loads_by_service)

    def update(
        self,
        local_by_service: Mapping[str, PromptLoad],
        slots_by_service: Mapping[str, int],
        now_s: float,
    ) -> dict[str, float]:
        """Compute the shares anew.

        Args:
            local_by_service: Loads of this host.
            slots_by_service: Slots of all engines of each service.
            now_s: Time on the boot clock.

        Returns:
            The new shares of services whose share has changed.
        """
        self._updated_s = now_s
        self._local_by_service = local_by_service
        for peer, (received_s, _) in list(self._by_peer.items()):
            if now_s - received_s > PEER_MAX_AGE_S:
                del self._by_peer[peer]
        sums: dict[str, PromptLoad] = {}
        for loads in (
            local_by_service,
            *(loads for _, loads in self._by_peer.values()),
        ):
            for service, load in loads.items():
                known = sums.get(service, PromptLoad(0, 0))
                sums[service] = PromptLoad(
                    known.short + load.short, known.long + load.long
                )
        changed = {}
        for service in sums.keys() | self._demand_by_service.keys():
            load = sums.get(service, PromptLoad(0, 0))
            share = self._new_share(
                service, load, slots_by_service.get(service, 0)
            )
            if share is not None:
                self._share_by_service[service] = share
                changed[service] = share
        return changed

    def share_of(self, service: str) -> float:
        """Return the share of the engines for long prompts, 0 to 1."""
        return self._share_by_service.get(service, LONG_PROMPT_ENGINE_SHARE)

    def _new_share(
        self, service: str, load: PromptLoad, slots: int
    ) -> float | None:
        demand = self._demand_by_service.setdefault(service, _Demand())
        demand.short = _follow(demand.short, load.short)
        demand.long = _follow(demand.long, load.long)
        previous = self.share_of(service)
        if demand.short + demand.long <= MIN_BUSY_SLOTS * slots:
            share = LONG_PROMPT_ENGINE_SHARE
        else:
            short = SHORT_HEADROOM * demand.short
            share = min(
                MAX_LONG_SHARE,
                max(MIN_LONG_SHARE, demand.long / (demand.long + short)),
            )
            if abs(share - previous) < MIN_CHANGE:
                return None
        return share if share != previous else None


def _follow(demand: float, newest: int) -> float:
    return max(newest, demand + NEWEST_WEIGHT * (newest - demand))
