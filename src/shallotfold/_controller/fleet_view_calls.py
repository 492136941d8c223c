"""Run the effects that read the host list and the configuration."""

import attrs
from loguru import logger

from shallotfold._controller import effects
from shallotfold._controller import events
from shallotfold._controller.shell import ControllerShell
from shallotfold._errors import PlatformError
from shallotfold._errors import ShallotfoldError
from shallotfold._fleet.configuration_reader import ConfigurationReader
from shallotfold._services.ports import HostList
from shallotfold._services.ports import Store


@attrs.define
class FleetViewCalls:
    """Calls that read the host list and the configuration.

    Attributes:
        shell: Receives the results as events.
        store: Key-value service.
        hosts: Host list.
    """

    shell: ControllerShell
    store: Store
    hosts: HostList
    _reader: ConfigurationReader = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the reader, which caches chunks between reads."""
        self._reader = ConfigurationReader(self.store)

    def register(self) -> None:
        """Register all runners."""
        self.shell.register(effects.FetchHosts, self._fetch_hosts)
        self.shell.register(
            effects.FetchConfiguration, self._fetch_configuration
        )

    async def _fetch_hosts(self, effect: effects.FetchHosts) -> None:
        del effect
        try:
            hosts = await self.hosts.fetch()
        except PlatformError:
            return
        self.shell.deliver(
            events.HostsListed(now_s=self.shell.clock(), hosts=hosts)
        )

    async def _fetch_configuration(
        self, effect: effects.FetchConfiguration
    ) -> None:
        try:
            manifest, _ = await self._reader.read_manifest()
            if manifest.version <= effect.newer_than:
                return
            stored = await self._reader.read_version(manifest)
        except ShallotfoldError as error:
            logger.warning("Configuration could not be read: {}", error)
            return
        self.shell.deliver(
            events.ConfigurationRead(
                now_s=self.shell.clock(),
                version=stored.version,
                configuration=stored.configuration,
            )
        )
