"""Define the interfaces that a platform adapter provides to a gateway."""

import enum
from typing import Protocol

import attrs

from shallotfold._gateway.core.model import GatewayConfiguration
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.wire_names import HeaderNames
from shallotfold._services.ports import Store
from shallotfold._services.ports import StoreChanges


class WatchedStore(Store, Protocol):
    """A store that can read a prefix as a snapshot at a revision.

    `watch` raises `HistoryLostError` if the store no longer keeps the changes
    since the revision, or if the store was restored since then, and
    `WatchInterruptedError` if its connection ended while it waited.
    """

    @property
    def era(self) -> int:
        """Newest known era of the store; see `_services.revisions`."""
        ...

    async def snapshot(self, prefix: str) -> StoreChanges:
        """Read all values under a prefix.

        Returns:
            The values and a revision; a watch from that revision misses no
            change. Values may be newer than the revision.

        Raises:
            StoreUnavailableError: No usable response in time.
        """
        ...


class DutyOutcome(enum.Enum):
    """Outcome of a call with a fencing token."""

    DONE = "done"
    FENCED = "fenced"
    """A higher token was seen: this host no longer holds the duty."""
    UNAVAILABLE = "unavailable"
    """No capacity there at the moment; nothing was changed."""
    UNKNOWN = "unknown"
    """No usable response; the call may still be carried out."""


@attrs.frozen(kw_only=True)
class CapacityOrder:
    """Order for a number of upstreams of a service in a data centre.

    Attributes:
        service: Name of the service.
        data_centre: Name of the data centre.
        spot: Whether spot upstreams are ordered, or on-demand ones.
        count: Desired number, including those that already run.
    """

    service: str
    data_centre: str
    spot: bool
    count: int


@attrs.frozen(kw_only=True)
class DutyTerm:
    """Permission of a host to perform the duties for a while.

    Attributes:
        holder: Name of the host.
        fencing_token: Token of the term; higher than those of all earlier ones.
        expires_s: No call may be sent from this time of the boot clock on.
    """

    holder: str
    fencing_token: int
    expires_s: float


class DutyCalls(Protocol):
    """Calls that only the duty holder makes, with its fencing token.

    Where the platform doesn't check the token, only the holder itself can keep
    a call of an earlier term from being carried out after those of a later one.
    """

    async def report_usage(
        self, window: int, counts: dict[str, int], term: DutyTerm
    ) -> DutyOutcome:
        """Report the number of runs of each workspace in a window."""
        ...

    async def order_upstreams(
        self, order: CapacityOrder, term: DutyTerm
    ) -> DutyOutcome:
        """Order the desired number of upstreams."""
        ...


class Dialect(Protocol):
    """Names and document formats of the platform."""

    @property
    def headers(self) -> HeaderNames:
        """Names of the platform's headers."""
        ...

    @property
    def configuration_key(self) -> str:
        """Store key of the newest configuration."""
        ...

    @property
    def operator_prefix(self) -> str:
        """Store prefix of all that operators write."""
        ...

    @property
    def evacuations_prefix(self) -> str:
        """Store prefix under which operators name evacuated data centres."""
        ...

    @property
    def upstreams_prefix(self) -> str:
        """Store prefix under which upstreams register."""
        ...

    def read_configuration(self, document: bytes) -> GatewayConfiguration:
        """Decode a configuration.

        Raises:
            ValueError: The document is invalid.
        """
        ...

    def read_upstream(self, upstream_id: str, document: bytes) -> Upstream:
        """Decode an upstream's registration.

        Raises:
            ValueError: The document describes no usable upstream.
        """
        ...
