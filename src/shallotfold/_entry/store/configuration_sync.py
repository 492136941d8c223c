"""Watch the configuration in the store, and send documents to peers."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import random
import time
from typing import Any

from loguru import logger

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.state.configuration_parts import decompress_document
from shallotfold._entry.state.configuration_parts import split_into_parts
from shallotfold._errors import FrameError
from shallotfold._errors import InvalidInputError
from shallotfold._errors import PlatformError
from shallotfold._fleet.chunk_loader import ChunkLoader
from shallotfold._fleet.chunk_loader import pack_chunks
from shallotfold._fleet.chunk_loader import unpack_chunks
from shallotfold._fleet.configuration_reader import ConfigurationReader
from shallotfold._fleet.manifest import MANIFEST_KEY
from shallotfold._fleet.manifest import Manifest
from shallotfold._fleet.manifest import load_manifest
from shallotfold._model.serialization import document_sha256
from shallotfold._services.ports import Store
from shallotfold._services.ports import StoreChanges
from shallotfold._wire.messages import PeerMessage

# Each watch is one store call. Watches get longer as the fleet grows, so that
# the fleet makes at most this many calls per second. Larger fleets, whose
# watches would exceed LONGEST_WATCH_S, make more.
FLEET_WATCHES_PER_S = 100.0
SHORTEST_WATCH_S = 1.0
LONGEST_WATCH_S = 2.0
ANSWER_MARGIN_S = 1.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0


class ConfigurationSync:
    """The component that reads configurations.

    One watch is always open. It returns as soon as there is a change; if it
    ends without one, this confirms that there is no newer version.
    """

    def __init__(
        self,
        store: Store,
        deliver: Callable[[events.Event], None],
        send: Callable[[str, PeerMessage], None],
        count_entries: Callable[[], int],
    ) -> None:
        self._store = store
        self._deliver = deliver
        self._send = send
        self._count_entries = count_entries
        self._reader = ConfigurationReader(store)
        self._loader = ChunkLoader()
        self._manifest = Manifest()
        self._revision = 0
        self._read_lock = asyncio.Lock()
        self._watch_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to watch the store; returns before the first read."""
        self._watch_task = asyncio.create_task(self._watch_continuously())

    async def close(self) -> None:
        """Stop watching, and cancel the work in progress."""
        tasks = [*self._tasks]
        if self._watch_task is not None:
            tasks.append(self._watch_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def fetch(self, effect: effects.FetchConfiguration) -> None:
        """Read a newer version from the store in the background."""
        self._spawn(self._fetch(effect))

    def load(self, effect: effects.LoadConfigurationDocument) -> None:
        """Decode a document from a peer in the background."""
        self._spawn(self._load(effect))

    def send(self, effect: effects.SendConfiguration) -> None:
        """Send a document to a peer in the background."""
        self._spawn(self._send_parts(effect))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch_continuously(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                await self._read_manifest()
                while True:
                    await self._watch()
                    backoff_s = INITIAL_BACKOFF_S
            except (PlatformError, TimeoutError) as error:
                logger.debug(
                    "can't read the configuration version: {!r}", error
                )
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _read_manifest(self) -> None:
        started_s = time.monotonic()
        async with asyncio.timeout(SHORTEST_WATCH_S + ANSWER_MARGIN_S):
            manifest, revision = await self._reader.read_manifest()
        self._manifest = manifest
        self._revision = max(self._revision, revision)
        self._confirm(started_s)

    async def _watch(self) -> None:
        timeout_s = watch_time_s(self._count_entries())
        started_s = time.monotonic()
        async with asyncio.timeout(timeout_s + ANSWER_MARGIN_S):
            changes = await self._store.watch(
                MANIFEST_KEY, self._revision, timeout_s
            )
        self._revision = changes.revision
        if self._apply_changes(changes):
            self._confirm(started_s)
        elif time.monotonic() - started_s >= timeout_s:
            # The store reported no change until the end of the watch.
            self._confirm(started_s + timeout_s)
        else:
            self._confirm(started_s)

    def _apply_changes(self, changes: StoreChanges) -> bool:
        for value in changes.changed:
            if value.key == MANIFEST_KEY:
                self._manifest = load_manifest(value.value)
                return True
        return False

    def _confirm(self, read_started_s: float) -> None:
        self._deliver(
            events.VersionConfirmed(
                now_s=time.monotonic(),
                version=self._manifest.version,
                read_started_s=read_started_s,
            )
        )

    async def _fetch(self, effect: effects.FetchConfiguration) -> None:
        try:
            async with self._read_lock:
                manifest = await self._newest_manifest(effect.version)
                chunks = await self._reader.read_chunks(manifest)
                await self._deliver_configuration(manifest.version, chunks)
        except (PlatformError, InvalidInputError) as error:
            logger.warning(
                "can't read configuration {}: {}", effect.version, error
            )

    async def _newest_manifest(self, version: int) -> Manifest:
        if self._manifest.version >= version:
            return self._manifest
        manifest, _ = await self._reader.read_manifest()
        return manifest

    async def _load(self, effect: effects.LoadConfigurationDocument) -> None:
        try:
            document = await asyncio.to_thread(
                decompress_document, effect.document, effect.sha256
            )
            async with self._read_lock:
                await self._deliver_configuration(
                    effect.version, unpack_chunks(document)
                )
        except (FrameError, PlatformError, InvalidInputError) as error:
            logger.warning(
                "can't load configuration {} from a peer: {}",
                effect.version,
                error,
            )

    async def _deliver_configuration(
        self, version: int, chunks: Sequence[bytes]
    ) -> None:
        configuration = await asyncio.to_thread(self._loader.load, chunks)
        document = pack_chunks(chunks)
        self._deliver(
            events.ConfigurationRead(
                now_s=time.monotonic(),
                version=version,
                configuration=configuration,
                document=document,
                sha256=document_sha256(document),
            )
        )

    async def _send_parts(self, effect: effects.SendConfiguration) -> None:
        parts = await asyncio.to_thread(
            lambda: list(
                split_into_parts(effect.version, effect.document, effect.sha256)
            )
        )
        for part in parts:
            self._send(effect.host, part)


def watch_time_s(entry_count: int) -> float:
    """Return the duration of one watch in a fleet of that many entries."""
    fleet_interval_s = entry_count / FLEET_WATCHES_PER_S
    return min(LONGEST_WATCH_S, max(SHORTEST_WATCH_S, fleet_interval_s))
