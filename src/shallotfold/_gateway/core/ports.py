"""Declare what a gateway needs from the platform that it runs on."""

import enum
from typing import Protocol

import attrs

from shallotfold._gateway.core.model import GatewayConfiguration
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.wire_names import HeaderNames
from shallotfold._services.ports import Store
from shallotfold._services.ports import StoreChanges


class WatchedStore(Store, Protocol):
    """A store whose prefixes can be read together with a revision.

    `watch` raises `HistoryLostError` when changes since the revision are no
    longer kept.
    """

    async def snapshot(self, prefix: str) -> StoreChanges:
        """Read all values under a prefix.

        Returns:
            The values and a revision from which a watch misses nothing; a
            value may be newer than that revision.

        Raises:
            StoreUnavailableError: No answer in time.
        """
        ...


class DutyOutcome(enum.Enum):
    """What became of a call under a fencing number."""

    DONE = "done"
    FENCED = "fenced"
    """A higher number was seen: this host holds the duty no more."""
    UNAVAILABLE = "unavailable"
    """Not available there at the moment; nothing was done."""
    UNKNOWN = "unknown"
    """No answer; it may still be carried out."""


@attrs.frozen(kw_only=True)
class UpstreamCount:
    """How many upstreams of one kind are wanted.

    Attributes:
        service: The service.
        data_centre: Where.
        spot: Whether reclaimable ones are meant.
        count: How many.
    """

    service: str
    data_centre: str
    spot: bool
    count: int


class DutyCalls(Protocol):
    """Calls that one host makes for all, under a fencing number."""

    async def report_usage(
        self, window: int, counts: dict[str, int], *, holder: str, fencing: int
    ) -> DutyOutcome:
        """Report the runs of each workspace in a window."""
        ...

    async def order_upstreams(
        self, wanted: UpstreamCount, *, holder: str, fencing: int
    ) -> DutyOutcome:
        """Order a number of upstreams."""
        ...


class Dialect(Protocol):
    """How the platform spells what a gateway reads and writes."""

    @property
    def headers(self) -> HeaderNames:
        """Names of headers."""
        ...

    @property
    def configuration_key(self) -> str:
        """Store key of the newest configuration."""
        ...

    @property
    def upstreams_prefix(self) -> str:
        """Store prefix under which upstreams register."""
        ...

    def read_configuration(self, document: bytes) -> GatewayConfiguration:
        """Decode a configuration.

        Raises:
            ValueError: It can't be read.
        """
        ...

    def read_upstream(self, upstream_id: str, document: bytes) -> Upstream:
        """Decode an upstream's registration.

        Raises:
            ValueError: It can't be read; it names no usable upstream.
        """
        ...
