"""Assemble an entry from its settings."""

import asyncio
import pathlib
import time

from loguru import logger

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.fleet_components import make_fleet_components
from shallotfold._entry.operators.attainment import Attainment
from shallotfold._entry.operators.explanations import Explanations
from shallotfold._entry.operators.operator_server import OperatorServer
from shallotfold._entry.serving.callers import CallerServer
from shallotfold._entry.serving.exchanges import Exchanges
from shallotfold._entry.serving.shell import Component
from shallotfold._entry.serving.shell import EntryShell
from shallotfold._entry.serving.upstream_client import UpstreamClient
from shallotfold._entry.serving.upstream_watch import UpstreamWatch
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.store_components import make_store_components
from shallotfold._errors import Fault
from shallotfold._errors import InvalidInputError
from shallotfold._model.configuration import Configuration
from shallotfold._model.serialization import document_sha256
from shallotfold._model.serialization import load_configuration
from shallotfold._runtime.metrics import Metrics
from shallotfold._services.http_cache_events import HttpCacheEvents
from shallotfold._services.http_loads import HttpLoadReports
from shallotfold._settings.entry import EntrySettings

EXIT_ORDERLY = 0
EXIT_NOT_DRAINED = 1
FILE_VERSION = 1


class EntryProcess:
    """A complete entry; see `Process` for its lifecycle.

    Attributes:
        shell: Runs the reducer.
        callers: Server on the callers' port.
        exchanges: Requests in progress.
        operators: Server on the operators' port.
        explanations: Steps of recent requests.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        _check_settings(settings)
        self._document = _read_document(settings.configuration_file)
        self.shell = EntryShell(
            EntryState(
                host=settings.host,
                data_centre=settings.data_centre,
                incarnation=time.time_ns(),
            )
        )
        self.client = UpstreamClient(
            settings.attempts, settings.credentials, self.shell.deliver
        )
        self.exchanges = Exchanges(self.shell, self.client.run)
        self.callers = CallerServer(settings, self.shell, self.exchanges)
        self.explanations = Explanations()
        self._attainment = Attainment()
        self.operators = OperatorServer(
            settings.operator,
            self.shell,
            self.callers,
            self.explanations,
            self._attainment,
        )
        self._metrics = Metrics(settings.statsd)
        self._linger_until_s = 0.0
        self._exit_code: asyncio.Future[int] | None = None
        self._register()

    async def start(self) -> None:
        """Start all components and serve callers."""
        self._exit_code = asyncio.get_running_loop().create_future()
        self.shell.components = [
            self._metrics,
            self.client,
            self.exchanges,
            *make_components(self.shell, self._settings, self.exchanges),
            self.operators,
            self.callers,
        ]
        await self.shell.start()
        if self._document is not None:
            self._deliver_document(*self._document)
        logger.info("serving callers at {}", self.callers.address)

    async def close(self) -> None:
        """Close all components."""
        await self.shell.close()

    def request_shutdown(self) -> None:
        """Drain; the process ends when drained or after a timeout."""
        self._linger_until_s = time.monotonic() + (
            self._settings.shutdown_linger_s
        )
        self.shell.deliver(events.ShutdownRequested(now_s=time.monotonic()))
        asyncio.get_running_loop().call_later(
            self._settings.shutdown_timeout_s, self._stop_undrained
        )

    async def wait_stopped(self) -> int:
        """Wait for the end of the drain."""
        assert self._exit_code is not None
        return await self._exit_code

    def _register(self) -> None:
        shell = self.shell
        shell.register(effects.ExitProcess, self._exit)
        shell.register(
            effects.RecordExplanation,
            lambda e: self.explanations.record(e.request_id, e.step, e.detail),
        )
        shell.register(effects.CountMetric, self._record_count)
        shell.register(effects.TimeMetric, self._record_time)

    def _record_count(self, effect: effects.CountMetric) -> None:
        self._metrics.count(effect.name, effect.value)
        self._attainment.record_count(effect, time.monotonic())

    def _record_time(self, effect: effects.TimeMetric) -> None:
        self._metrics.time(effect.name, effect.value_s)
        self._attainment.record_time(
            effect, self.shell.state.configuration.current, time.monotonic()
        )

    def _deliver_document(
        self, document: bytes, configuration: Configuration
    ) -> None:
        self.shell.deliver(
            events.ConfigurationRead(
                now_s=time.monotonic(),
                version=FILE_VERSION,
                configuration=configuration,
                document=document,
                sha256=document_sha256(document),
            )
        )

    def _exit(self, effect: effects.ExitProcess) -> None:
        del effect
        must_linger = time.monotonic() < self._linger_until_s
        if must_linger or self.exchanges.by_id:
            # The reducer repeats the effect with the next tick.
            return
        self._stop(EXIT_ORDERLY)

    def _stop_undrained(self) -> None:
        logger.warning(
            "not drained after {} s; aborting {} requests",
            self._settings.shutdown_timeout_s,
            len(self.exchanges.by_id),
        )
        self._stop(EXIT_NOT_DRAINED)

    def _stop(self, code: int) -> None:
        assert self._exit_code is not None
        if not self._exit_code.done():
            self._exit_code.set_result(code)


def make_components(
    shell: EntryShell, settings: EntrySettings, exchanges: Exchanges
) -> list[Component]:
    """Make the components that call peers, upstreams and the platform.

    They register their runners with the shell and are started before the
    callers' port is opened.
    """
    return [
        *make_fleet_components(shell, settings),
        *make_store_components(shell, settings, exchanges),
        *_make_watch_components(shell),
    ]


def _make_watch_components(shell: EntryShell) -> list[Component]:
    loads = HttpLoadReports()
    cache_events = HttpCacheEvents()
    watch = UpstreamWatch(shell.state, loads, cache_events, shell.deliver)
    return [loads, cache_events, watch]


def _check_settings(settings: EntrySettings) -> None:
    """Check for settings that can't be combined.

    Raises:
        InvalidInputError: There are some; the error lists all of them.
    """
    faults = []
    if settings.configuration_file and settings.platform is not None:
        # The file would be version 1, and so is the store's first
        # configuration.
        faults.append(
            Fault(
                source="settings",
                key="configuration_file",
                found="a file together with [platform]",
                allowed="only one of the two",
                remedy="Remove configuration_file; the store has the newest.",
            )
        )
    if settings.peer_address is not None and not settings.fleet_secret:
        faults.append(
            Fault(
                source="settings",
                key="fleet_secret",
                found="nothing",
                allowed="the secret shared by all entries",
                remedy="Add fleet_secret, or remove peer_address.",
            )
        )
    if faults:
        raise InvalidInputError(faults)


def _read_document(path: str) -> tuple[bytes, Configuration] | None:
    if not path:
        return None
    try:
        document = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise InvalidInputError(
            [
                Fault(
                    source="settings",
                    key="configuration_file",
                    found=str(error),
                    allowed="a readable configuration document",
                    remedy="Correct the path.",
                )
            ]
        ) from error
    return document, load_configuration(document, path)
