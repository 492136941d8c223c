"""Run the controller binary against the stand-in platform on loopback."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import aiohttp
import attrs

from shallotfold._errors import PlatformError
from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._fleet.duties import rank_hosts
from shallotfold._fleet.duties import usage_shard
from shallotfold._fleet.usage_flush import ModelDemand
from shallotfold._fleet.usage_flush import UsageFlush
from shallotfold._fleet.usage_flush import encode_flush
from shallotfold._fleet.usage_flush import flush_key
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Offer
from shallotfold._model.configuration import RequestClass
from shallotfold._model.serialization import dump_configuration
from shallotfold._services.http_store import HttpStore
from shallotfold._wire.usage_messages import UsageCount

LOOPBACK = "127.77.41.1"
LAUNCHER = pathlib.Path(__file__).with_name("launcher.py")
WAIT_TIMEOUT_S = 40.0
LEASE_TTL_S = 2.5
TAKEOVER_WAIT_S = 1.0
DUTY = "orders/west"
HOSTS = rank_hosts(DUTY, ("c1", "c2"))
OFFER = "small"
# A workspace whose usage shard also ranks the first controller first.
WORKSPACE = next(
    name
    for name in map("workspace{}".format, range(100))
    if rank_hosts(f"usage/{usage_shard(name)}", HOSTS) == HOSTS
)
WINDOW_S = 2
SPARE_COUNT = 150
DEMAND_STEP_TOKENS_PER_S = 60.0
SMALL_BUFFER_BYTES = 2048


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        port: int = probe.getsockname()[1]
        return port


async def wait_for(condition: Callable[[], Any]) -> Any:
    """Poll until a condition holds; it may be a coroutine function."""

    async def poll() -> Any:
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.05)

    return await asyncio.wait_for(poll(), WAIT_TIMEOUT_S)


def peek_first_byte(connection: socket.socket) -> bytes:
    """Return the first received byte without consuming it; empty if none."""
    try:
        return connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return b""


@attrs.define
class FaultyTcpProxy:
    """Forward bytes between the controller and the platform.

    While cut it reads nothing: sent bytes stay in the sender's socket, as in a
    network partition.

    Attributes:
        target_port: Port of the platform.
        port: Port that it listens on.
        cut_on_post: Whether to cut when the first byte of a POST arrives.
        cut_count: Number of requests cut because of `cut_on_post`.
    """

    target_port: int
    port: int = 0
    cut_on_post: bool = False
    cut_count: int = 0
    _resumed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _listener: socket.socket | None = None
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        self._resumed.set()
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        self._listener.bind((LOOPBACK, 0))
        self._listener.listen(64)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._spawn(self._accept(self._listener))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._listener is not None:
            self._listener.close()

    def cut(self) -> None:
        self._resumed.clear()

    def restore(self) -> None:
        self.cut_on_post = False
        self._resumed.set()

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(listener)
            self._spawn(self._serve(client))

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        client.setblocking(False)
        if (
            self.cut_on_post
            and await wait_for(lambda: peek_first_byte(client)) == b"P"
        ):
            self.cut()
            self.cut_count += 1
        await self._resumed.wait()
        server = socket.socket()
        server.setblocking(False)
        try:
            await loop.sock_connect(server, (LOOPBACK, self.target_port))
            # A reset is not forwarded: the platform may still read the bytes
            # that arrived before it.
            await asyncio.gather(
                self._pump(client, server),
                self._pump(server, client),
                return_exceptions=True,
            )
        except OSError:
            pass
        finally:
            client.close()
            server.close()

    async def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(source, 65536):
            await self._resumed.wait()
            await loop.sock_sendall(sink, data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


@attrs.define
class Fleet:
    """A platform and two controllers; the first ranks first for `DUTY`.

    Attributes:
        directory: Directory of settings and logs.
        switches: Switches of the first controller's launcher.
    """

    directory: pathlib.Path
    switches: Sequence[str] = ()
    processes: list[subprocess.Popen[bytes]] = attrs.field(factory=list)
    controllers: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)
    platform_port: int = attrs.field(factory=free_port)
    orders_proxy: FaultyTcpProxy = attrs.field(init=False)
    store_proxy: FaultyTcpProxy = attrs.field(init=False)
    usage_proxy: FaultyTcpProxy = attrs.field(init=False)
    requests_by_window: Counter[int] = attrs.field(factory=Counter)
    _demand_task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        return f"http://{LOOPBACK}:{self.platform_port}"

    async def start(self) -> None:
        self._start_platform()
        self.orders_proxy = FaultyTcpProxy(self.platform_port)
        self.store_proxy = FaultyTcpProxy(self.platform_port)
        self.usage_proxy = FaultyTcpProxy(self.platform_port)
        await self.usage_proxy.start()
        await self.orders_proxy.start()
        await self.store_proxy.start()
        await self.get_json("/stats")
        await self._submit_configuration()
        first, second = HOSTS
        self.start_controller(first, self.orders_proxy, self.store_proxy)
        await wait_for(lambda: self.holder_of(DUTY))
        self.start_controller(second)
        self._demand_task = asyncio.ensure_future(self._raise_demand())

    async def close(self) -> None:
        if self._demand_task is not None:
            self._demand_task.cancel()
            await asyncio.gather(self._demand_task, return_exceptions=True)
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(10)
        await self.usage_proxy.close()
        await self.orders_proxy.close()
        await self.store_proxy.close()

    def start_controller(
        self,
        host: str,
        orders: FaultyTcpProxy | None = None,
        store: FaultyTcpProxy | None = None,
    ) -> None:
        orders_port = orders.port if orders else self.platform_port
        store_port = store.port if store else self.platform_port
        orders_url = f"http://{LOOPBACK}:{orders_port}"
        usage_url = f"http://{LOOPBACK}:{self.usage_proxy.port}"
        settings = self.directory / f"{host}.toml"
        settings.write_text(
            f'host = "{host}"\ndata_centre = "west"\n'
            f"lease_ttl_s = {LEASE_TTL_S}\n"
            f"takeover_wait_s = {TAKEOVER_WAIT_S}\norder_timeout_s = 1.0\n"
            "[platform]\n"
            f'store_url = "http://{LOOPBACK}:{store_port}"\n'
            f'hosts_url = "{self.url}"\n'
            f'orders_url = "{orders_url}"\nusage_url = "{usage_url}"\n'
        )
        switches = self.switches if orders else ()
        self.controllers[host] = self._spawn(
            [sys.executable, str(LAUNCHER), str(settings), *switches],
            f"{host}.log",
        )

    def _start_platform(self) -> None:
        spares = ", ".join(
            f'{{data_centre = "west", offer = "{OFFER}", '
            f'url = "http://{LOOPBACK}:{number}"}}'
            for number in range(1, SPARE_COUNT + 1)
        )
        hosts = ", ".join(
            f'{{name = "{name}", role = "entry", data_centre = "west", '
            f'address = "{LOOPBACK}:1"}}'
            for name in HOSTS
        )
        settings = self.directory / "platform.toml"
        settings.write_text(
            f'address = "{LOOPBACK}:{self.platform_port}"\n'
            'data_centres = ["west"]\nunfenced_data_centres = ["west"]\n'
            f"host_list_lag_s = 0.0\nhosts = [{hosts}]\n"
            f"spare_engines = [{spares}]\n"
        )
        binary = pathlib.Path(sys.executable).with_name("shallotfold-standin")
        self._spawn(
            [str(binary), "platform", "--settings", str(settings)],
            "platform.log",
        )

    def _spawn(
        self,
        command: Sequence[str],
        log: str,
    ) -> subprocess.Popen[bytes]:
        with (self.directory / log).open("wb") as output:
            process = subprocess.Popen(command, stdout=output, stderr=output)
        self.processes.append(process)
        return process

    async def get_json(self, path: str) -> Any:
        """Get JSON from the platform; a failed connection is retried."""
        return await wait_for(lambda: self._try_get_json(path))

    async def _try_get_json(self, path: str) -> Any:
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(self.url + path) as response,
            ):
                return await response.json()
        except aiohttp.ClientConnectorError:
            return None

    async def _submit_configuration(self) -> None:
        configuration = Configuration(
            data_centres=("west",),
            usage_window_s=WINDOW_S,
            classes_by_name={"chat": RequestClass(name="chat", tier=1)},
            offers_by_name={
                OFFER: Offer(
                    name=OFFER,
                    data_centre="west",
                    model="small",
                    tokens_per_s=100.0,
                    start_s=0.0,
                    max_count=SPARE_COUNT,
                )
            },
        )
        async with self.open_store() as store:
            await ConfigurationStore(store).submit(
                dump_configuration(configuration), 0, "test", "start"
            )

    @contextlib.asynccontextmanager
    async def open_store(self) -> AsyncIterator[HttpStore]:
        store = HttpStore(self.url)
        await store.start()
        try:
            yield store
        finally:
            await store.close()

    async def holder_of(self, duty: str) -> str:
        async with self.open_store() as store:
            stored = await store.get(f"duties/{duty}")
        return json.loads(stored.value)["holder"] if stored else ""

    async def _raise_demand(self) -> None:
        """Flush ever rising demand, so that each plan has orders."""
        requested, rate = 0.0, 0.0
        async with self.open_store() as store:
            while True:
                rate += DEMAND_STEP_TOKENS_PER_S / 4
                requested += rate / 4
                demand = ModelDemand(
                    model="small",
                    class_name="chat",
                    asked_tokens=int(requested),
                )
                flush = UsageFlush(
                    source="e-1",
                    closed_before=int(time.time()) // WINDOW_S * WINDOW_S,
                    counts=self._count_answer(),
                    demand=(demand,),
                )
                with contextlib.suppress(PlatformError):
                    stored = await store.get(flush_key("e-1"))
                    await store.compare_and_swap(
                        flush_key("e-1"),
                        stored.revision if stored else 0,
                        encode_flush(flush),
                    )
                await asyncio.sleep(0.25)

    def _count_answer(self) -> tuple[UsageCount, ...]:
        window = int(time.time()) // WINDOW_S * WINDOW_S
        self.requests_by_window[window] += 1
        return tuple(
            UsageCount(
                workspace=WORKSPACE,
                window=window,
                requests=requests,
                prompt_tokens=requests,
                output_tokens=requests,
            )
            for window, requests in self.requests_by_window.items()
        )

    async def two_holders_reported(self) -> bool:
        response = await self.get_json("/v1/usage")
        return len({report["fencing"] for report in response["reports"]}) > 1

    async def fencing_tokens(self) -> list[int]:
        """Return the fencing tokens of the orders, in order of arrival."""
        response = await self.get_json("/v1/orders/west")
        return [order["fencing"] for order in response["orders"]]

    async def two_holders_ordered(self) -> bool:
        return len(set(await self.fencing_tokens())) > 1


def is_stopped(process: subprocess.Popen[bytes]) -> bool:
    stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    return stat.rpartition(")")[2].split()[0] == "T"


@contextlib.asynccontextmanager
async def running_fleet(
    directory: pathlib.Path, *switches: str
) -> AsyncIterator[Fleet]:
    fleet = Fleet(directory, switches)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.close()
