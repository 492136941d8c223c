"""Poll the platform's host list."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
import time

from loguru import logger

from shallotfold._entry import events
from shallotfold._errors import PlatformError
from shallotfold._model.upstreams import HostRecord
from shallotfold._services.ports import HostList

POLL_INTERVAL_S = 2.0
LARGE_LIST_POLL_INTERVAL_S = 10.0
LARGE_LIST_HOSTS = 100
INITIAL_BACKOFF_S = 0.2


class HostSync:
    """The component that polls the host list.

    While the list can't be read, the last one stays in force.
    """

    def __init__(
        self,
        host_list: HostList,
        deliver: Callable[[events.Event], None],
        set_hosts: Callable[[Sequence[HostRecord]], None],
    ) -> None:
        self._host_list = host_list
        self._deliver = deliver
        self._set_hosts = set_hosts
        self._poll_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start polling; returns before the first read."""
        self._poll_task = asyncio.create_task(self._poll())

    async def close(self) -> None:
        """Stop polling."""
        if self._poll_task is None:
            return
        self._poll_task.cancel()
        await asyncio.gather(self._poll_task, return_exceptions=True)

    async def _poll(self) -> None:
        interval_s = INITIAL_BACKOFF_S
        while True:
            try:
                hosts = await self._host_list.fetch()
            except PlatformError as error:
                logger.debug("can't read the host list: {!r}", error)
                interval_s = min(POLL_INTERVAL_S, 2 * interval_s)
            else:
                self._apply_hosts(hosts)
                interval_s = _poll_interval_s(len(hosts))
            await asyncio.sleep(interval_s * random.uniform(0.75, 1.25))

    def _apply_hosts(self, hosts: Sequence[HostRecord]) -> None:
        self._set_hosts(hosts)
        self._deliver(
            events.HostsListed(now_s=time.monotonic(), hosts=tuple(hosts))
        )


def _poll_interval_s(host_count: int) -> float:
    if host_count >= LARGE_LIST_HOSTS:
        return LARGE_LIST_POLL_INTERVAL_S
    return POLL_INTERVAL_S
