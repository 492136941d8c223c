"""State of the pools that an entry owns."""

import attrs

from shallotfold._entry.state.catalog import Catalog
from shallotfold._entry.state.estimates import Estimates
from shallotfold._entry.state.pool_queue import AttemptKey
from shallotfold._entry.state.pool_queue import PoolQueue
from shallotfold._entry.state.prefix_index import PrefixIndex
from shallotfold._entry.state.upstream_health import UpstreamHealth
from shallotfold._model.upstreams import HostRecord

# Tier of a class that is not, or not yet, in the configuration.
LOWEST_TIER = 5


@attrs.define(kw_only=True)
class RunningGrant:
    """A granted attempt that has not ended.

    Attributes:
        host: Entry that runs it.
        class_name: Its class.
        tier: Tier of the class.
        workspace: Its workspace.
        weight: Weight of the workspace.
        upstream: Upstream that runs it.
        prompt_tokens: Input tokens.
        cost: Cost charged to the workspace.
        granted_s: When it was granted or first announced.
        last_confirmed_s: When its entry last announced it.
        preemptible: Whether it may be cancelled and resumed.
        uses_floor: Whether it counts against the floor share of its class.
        preemption_requested_s: When its preemption was last requested; -1 if
            never.
    """

    host: str
    class_name: str
    tier: int
    workspace: str
    weight: float
    upstream: str
    prompt_tokens: int
    cost: float
    granted_s: float
    last_confirmed_s: float
    preemptible: bool
    uses_floor: bool = False
    preemption_requested_s: float = -1.0


@attrs.define(kw_only=True)
class Pool:
    """A pool of upstreams with its queue.

    Attributes:
        name: Its name.
        queue: Waiting requests.
        running_by_attempt: Granted attempts.
        keys_by_upstream: Granted attempts by upstream.
        ended_s_by_attempt: When attempts ended; late messages must not restore
            them.
        floor_credit_by_class: Cost that each class may get ahead of higher
            tiers.
        estimates: Learned lengths and speeds of its answers.
        owned: Whether this entry was its owner at the last grant request.
        last_request_s: When the last grant request came; -1 before the first.
        granting_since_s: When this entry began to grant. Shortly after that,
            attempts of other entries may not be announced yet.
    """

    name: str
    queue: PoolQueue = attrs.field(factory=PoolQueue)
    running_by_attempt: dict[AttemptKey, RunningGrant] = attrs.field(
        factory=dict
    )
    keys_by_upstream: dict[str, set[AttemptKey]] = attrs.field(factory=dict)
    ended_s_by_attempt: dict[AttemptKey, float] = attrs.field(factory=dict)
    floor_credit_by_class: dict[str, float] = attrs.field(factory=dict)
    estimates: Estimates = attrs.field(factory=Estimates)
    owned: bool = False
    last_request_s: float = -1.0
    granting_since_s: float = -1.0

    def add_running(self, key: AttemptKey, running: RunningGrant) -> None:
        """Add a running attempt, which occupies a slot."""
        self.running_by_attempt[key] = running
        self.keys_by_upstream.setdefault(running.upstream, set()).add(key)

    def end_running(self, key: AttemptKey, now_s: float) -> RunningGrant | None:
        """End an attempt for good and free its slot, if it had one."""
        self.ended_s_by_attempt[key] = now_s
        running = self.running_by_attempt.pop(key, None)
        if running is not None:
            self.keys_by_upstream[running.upstream].discard(key)
        return running

    def running_on(self, upstream: str) -> int:
        """Return how many attempts run on an upstream."""
        return len(self.keys_by_upstream.get(upstream, ()))


@attrs.define(kw_only=True)
class PoolsState:
    """Pools and the health and caches of their upstreams.

    Attributes:
        catalog: Upstreams in use.
        hosts: The platform's host list, as last read.
        listed_live_count: Number of entries that this list calls live.
        pools_by_name: Pools that this entry got messages about.
        health_by_upstream: Health of each upstream.
        prefixes: Cached prompt prefixes by upstream.
        last_evaluation_s: When the speed of upstreams was last evaluated.
    """

    catalog: Catalog = attrs.field(factory=Catalog)
    hosts: tuple[HostRecord, ...] = ()
    listed_live_count: int = 0
    pools_by_name: dict[str, Pool] = attrs.field(factory=dict)
    health_by_upstream: dict[str, UpstreamHealth] = attrs.field(factory=dict)
    prefixes: PrefixIndex = attrs.field(factory=PrefixIndex)
    last_evaluation_s: float = 0.0

    def pool(self, name: str) -> Pool:
        """Return the state of a pool, which is created if it is missing."""
        pool = self.pools_by_name.get(name)
        if pool is None:
            pool = self.pools_by_name[name] = Pool(name=name)
        return pool
