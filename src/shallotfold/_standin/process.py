"""Run simulated services as a process until shutdown is requested."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from aiohttp import web
import attrs
from loguru import logger

from shallotfold._settings.addresses import Address
from shallotfold._settings.standin import EngineStandinSettings
from shallotfold._settings.standin import PlatformStandinSettings
from shallotfold._settings.standin import ServiceStandinSettings
from shallotfold._standin.engine import EngineStandin
from shallotfold._standin.engine_http import EngineServer
from shallotfold._standin.platform_http import make_platform_server
from shallotfold._standin.service_http import ServiceServer

SHUTDOWN_TIMEOUT_S = 0.5


@attrs.frozen
class Site:
    """One web application and its address.

    Attributes:
        name: Name for the logs.
        address: Address to serve on; port 0 for any free one.
        make_app: Creates the application; called on the event loop.
    """

    name: str
    address: Address
    make_app: Callable[[], web.Application]


@attrs.define
class StandinProcess:
    """Serve sites until shutdown is requested.

    Attributes:
        sites: What to serve.
        addresses_by_name: Bound addresses, set by `start`.
    """

    sites: Sequence[Site]
    addresses_by_name: dict[str, Address] = attrs.field(factory=dict)
    _runners: list[web.AppRunner] = attrs.field(factory=list)
    _stopped: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self) -> None:
        """Bind and serve all sites."""
        for site in self.sites:
            runner = web.AppRunner(
                site.make_app(),
                access_log=None,
                handler_cancellation=True,
                shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            )
            self._runners.append(runner)
            await runner.setup()
            await web.TCPSite(
                runner, site.address.ip, site.address.port
            ).start()
            ip, port = runner.addresses[0][:2]
            self.addresses_by_name[site.name] = Address(ip, port)
            logger.info("Serving {} on {}:{}", site.name, ip, port)

    async def close(self) -> None:
        """Stop serving."""
        for runner in self._runners:
            await runner.cleanup()
        self._runners.clear()

    def request_shutdown(self) -> None:
        """Make `wait_stopped` return."""
        self._stopped.set()

    async def wait_stopped(self) -> int:
        """Wait for the shutdown request and return exit code 0."""
        await self._stopped.wait()
        return 0


def make_platform_process(settings: PlatformStandinSettings) -> StandinProcess:
    """Return the process that simulates the platform."""
    server = make_platform_server(settings)
    return StandinProcess(
        [Site(settings.host, settings.address, server.make_app)]
    )


def make_engine_process(settings: EngineStandinSettings) -> StandinProcess:
    """Return the process that simulates model engines."""
    return StandinProcess(
        [
            Site(
                engine.name,
                engine.address,
                EngineServer(EngineStandin(engine)).make_app,
            )
            for engine in settings.engines
        ]
    )


def make_service_process(settings: ServiceStandinSettings) -> StandinProcess:
    """Return the process that simulates plain services."""
    return StandinProcess(
        [
            Site(service.name, service.address, ServiceServer(service).make_app)
            for service in settings.services
        ]
    )
