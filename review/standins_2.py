"""Stand-ins of the platform, the workers and the clients, for scripts.

They follow the users' pages and need the standard library only. The gateways
are the project's own, as processes with the command of the deploy file.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import contextlib
import hashlib
import json
import os
import pathlib
import random
import re
import signal
import sys
import time
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
ZONES = ("westlands", "industrial-area", "upper-hill", "embakasi")
COMMAND = ["python3", "-S", "-m", "shallotfold._cli.gateway_main"]
API_KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")

Handler = Callable[
    [bytes, bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def header_of(head: bytes, name: str) -> str:
    """Return the value of a header; empty if it is missing."""
    found = re.search(
        rb"(?i)\r\n" + re.escape(name.encode()) + rb": *([^\r\n]*)", head
    )
    return found[1].decode("latin-1") if found else ""


def make_message(first_line: str, body: bytes, *headers: str) -> bytes:
    """Return a message with a length."""
    lines = [first_line, f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return the head and the body of the next message."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = _LENGTH.search(head)
    body = await reader.readexactly(int(length[1])) if length else b""
    return head, body


async def serve(ip: str, handle: Handler) -> tuple[asyncio.Server, int]:
    """Serve requests on a free port; return the server and its port."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            # The run is over.
            asyncio.CancelledError,
            ConnectionError,
        ):
            while not writer.is_closing():
                head, body = await read_message(reader)
                await handle(head, body, reader, writer)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(on_connection, ip, 0)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The platform's key-value store, with leases and watches.

    Attributes:
        address_by_ip: Address for the calls of each machine.
    """

    def __init__(self) -> None:
        self.address_by_ip: dict[str, str] = {}
        self._turned_away: set[str] = set()
        self._watch_cuts = 0
        self._revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._lease_ends_s: dict[int, tuple[float, float]] = {}
        self._leases = 1000
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def start(self, store_ip: str, machine_ips: list[str]) -> None:
        """Serve on a free port for each machine.

        On loopback the source of a call doesn't tell which machine made it.
        """
        for ip in machine_ips:
            server, port = await serve(store_ip, self._handle)
            self._servers.append(server)
            self.address_by_ip[ip] = f"{store_ip}:{port}"

    def close(self) -> None:
        """Stop serving."""
        for server in self._servers:
            server.close()

    def turn_away(self, machine_ips: Iterable[str]) -> None:
        """Answer all calls of these machines with 503, and of no others."""
        self._turned_away = {self.address_by_ip[ip] for ip in machine_ips}
        self._wake_watches()

    def cut_watches(self) -> None:
        """End the connections of all watches that are waiting."""
        self._watch_cuts += 1
        self._wake_watches()

    def put(self, key: str, document: object) -> None:
        """Write a document, as operators and workers do."""
        self._write(key, json.dumps(document).encode(), 0)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note(
                {"Key": key, "Revision": self._revision, "Deleted": True}
            )

    def _write(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        created = self._items.get(key, {}).get("Created", self._revision)
        item = {
            "Key": key,
            "ValueData": base64.b64encode(value).decode(),
            "Revision": self._revision,
            "Created": created,
            "LeaseId": lease,
        }
        self._items[key] = item
        self._note(item)

    def _note(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_leases(self) -> None:
        now_s = time.monotonic()
        for lease, (ends_s, _) in list(self._lease_ends_s.items()):
            if ends_s <= now_s:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._lease_ends_s.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["LeaseId"] == lease:
                self.remove(key)

    async def _handle(
        self,
        head: bytes,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        del reader
        await asyncio.sleep(0.004)
        self._end_leases()
        url = urlsplit(head.split(b" ", 2)[1].decode())
        query = {
            name: values[0] for name, values in parse_qs(url.query).items()
        }
        call, _, last = url.path.removeprefix("/shallotfold/").partition("/")
        content = json.loads(body) if body else {}
        ip, port = writer.get_extra_info("sockname")
        address = f"{ip}:{port}"
        if address in self._turned_away:
            status, result = 503, {}
        elif call == "kv-watch":
            status, result = await self._watch(query, address)
        else:
            answer = {
                "kv-key": lambda: self._get(query),
                "kv-range": lambda: self._range(query),
                "kv-txn": lambda: self._transact(content),
                "kv-lease": lambda: self._grant(content),
                "kv-keep": lambda: self._keep(int(last)),
                "kv-lease-end": lambda: self._revoke(int(last)),
            }[call]
            status, result = answer()
        writer.write(
            make_message(
                f"HTTP/1.1 {status} S",
                json.dumps(result).encode(),
                "Content-Type: application/json",
            )
        )

    def _get(self, query: dict[str, str]) -> tuple[int, Any]:
        item = self._items.get(query["Key"])
        return (
            (404, {}) if item is None else (200, item | {"At": self._revision})
        )

    def _range(self, query: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["PathPrefix"])
            and key > query.get("After", "")
        )
        entries = [self._items[key] for key in keys[:500]]
        return 200, {
            "Entries": entries,
            "HasMore": len(keys) > len(entries),
            "At": self._revision,
        }

    async def _watch(
        self, query: dict[str, str], address: str
    ) -> tuple[int, Any]:
        ends_s = time.monotonic() + int(query["WaitTimeoutMs"]) / 1000
        cuts = self._watch_cuts
        while True:
            if cuts != self._watch_cuts:
                raise ConnectionAbortedError
            if address in self._turned_away:
                return 503, {}
            events = [
                event
                for event in self._history
                if event["Revision"] > int(query["After"])
                and event["Key"].startswith(query["PathPrefix"])
            ]
            remaining_s = ends_s - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "At": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining_s)

    def _transact(self, content: Any) -> tuple[int, Any]:
        rows = content["Expected"]
        current = [self._items.get(row["Key"]) for row in rows]
        for row, item in zip(rows, current, strict=True):
            if (item["Revision"] if item else 0) != row["Revision"]:
                return 412, {"Entries": [item for item in current if item]}
        for write in content["Write"]:
            lease = write.get("LeaseId", 0)
            if lease and lease not in self._lease_ends_s:
                return 404, {}
        for write in content["Write"]:
            value = base64.b64decode(write["ValueData"])
            self._write(write["Key"], value, write.get("LeaseId", 0))
        for key in content["Removals"]:
            self.remove(key)
        return 200, {"Revision": self._revision}

    def _grant(self, content: Any) -> tuple[int, Any]:
        self._leases += 1
        lifetime_s = max(1000, content["LifetimeMs"]) / 1000
        ends_s = time.monotonic() + lifetime_s
        self._lease_ends_s[self._leases] = (ends_s, lifetime_s)
        return 200, {
            "LeaseId": self._leases,
            "LifetimeMs": int(lifetime_s * 1000),
        }

    def _keep(self, lease: int) -> tuple[int, Any]:
        if lease not in self._lease_ends_s:
            return 404, {}
        _, lifetime_s = self._lease_ends_s[lease]
        ends_s = time.monotonic() + lifetime_s
        self._lease_ends_s[lease] = (ends_s, lifetime_s)
        return 200, {"LifetimeMs": int(lifetime_s * 1000)}

    def _revoke(self, lease: int) -> tuple[int, Any]:
        self._end_lease(lease)
        return 200, {}


class Duties:
    """The platform's API for duties; it accepts all calls."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Serve on a free port."""
        self._server, port = await serve(ip, self._handle)
        self.address = f"{ip}:{port}"

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.close()

    async def _handle(
        self,
        head: bytes,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        del head, body, reader
        writer.write(make_message("HTTP/1.1 200 OK", b"{}"))


class Worker:
    """A worker of the service `desk`; it answers plain requests.

    Attributes:
        worker_id: Its id.
        signatures: Signature of the answer to each request that it ran.
        arrivals: Time and id of each request that reached it and that it ran.
        before_answer: Called with a connection when a request has arrived on
            it, before the request runs.
    """

    def __init__(self, worker_id: str, zone: str, store: Store) -> None:
        self.signatures: dict[str, str] = {}
        self.arrivals: list[tuple[float, str]] = []
        self.before_answer: Callable[[asyncio.StreamWriter], None] = (
            lambda writer: None
        )
        self.worker_id = worker_id
        self._zone = zone
        self._store = store
        self._address = ""
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._random = random.Random(worker_id)
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self, ip: str) -> None:
        """Serve on a free port and register."""
        self._server, port = await serve(ip, self._handle)
        self._address = f"{ip}:{port}"
        self._task = asyncio.create_task(self._register())

    def close(self) -> None:
        """Stop serving."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()

    def leave(self) -> None:
        """Remove the entry, without `draining` before, and go on serving."""
        if self._task is not None:
            self._task.cancel()
        self._store.remove(f"servers/{self.worker_id}")

    async def _register(self) -> None:
        while True:
            self._sequence += 1
            self._store.put(
                f"servers/{self.worker_id}",
                {
                    "Service": "desk",
                    "Address": self._address,
                    "Zone": self._zone,
                    "Version": "v1",
                    "Slots": 6,
                    "State": "ready",
                    "ColdRemainingMs": 0,
                    "SequenceNumber": self._sequence,
                    "born": self._born,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(
        self,
        head: bytes,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        del body, reader
        request_id = header_of(head, "Attempt-Id")
        echo = f"Attempt-Id: {request_id}"
        if header_of(head, "Expected-Instance") != self.worker_id:
            writer.write(
                make_message("HTTP/1.1 421 Misdirected Request", b"", echo)
            )
            return
        self.arrivals.append((time.monotonic(), request_id))
        self.before_answer(writer)
        await asyncio.sleep(self._random.uniform(0.02, 0.06))
        content = f"{self.worker_id} answers {request_id} ".encode() * 16
        signature = (
            f"{self.worker_id}.{hashlib.sha256(content).hexdigest()[:16]}"
        )
        self.signatures[request_id] = signature
        writer.write(
            make_message(
                "HTTP/1.1 200 OK",
                content,
                echo,
                f"Response-Signature: {signature}",
                "Keep-Alive: timeout=5",
            )
        )


def configuration() -> dict[str, Any]:
    """Return a configuration with two plain routes."""
    route = {
        "Host": HOST,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 200,
        "Priority": 2,
        "Service": "desk",
        "Public": False,
    }
    return {
        "Version": 7,
        "Routes": [
            route
            | {
                "Name": "confirm",
                "PathPrefix": "/confirm/",
                "Kind": "non_idempotent",
                "MaxAttempts": 1,
            },
            route
            | {
                "Name": "lookup",
                "PathPrefix": "/lookup/",
                "Kind": "idempotent",
                "MaxAttempts": 2,
            },
        ],
        "Services": [
            {
                "Name": "desk",
                "HealthCheckPath": "/health",
                "ConnectionLimit": 110,
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [API_KEY], "Priority": 1}],
    }


class Gateways:
    """The project's gateways, one process for each machine.

    Attributes:
        process_by_name: Newest process of each machine.
        prepare_process: Called in each process before its program runs.
    """

    def __init__(
        self,
        ip_by_name: dict[str, str],
        store: Store,
        duties: Duties,
        folder: pathlib.Path,
    ) -> None:
        """Make gateways that aren't started yet.

        Args:
            ip_by_name: Address of each machine; names end with the zone and a
                number.
            store: The platform's store.
            duties: The platform's API for duties.
            folder: For settings and logs.
        """
        self.prepare_process: Callable[[], None] | None = None
        self._ip_by_name = ip_by_name
        self._store = store
        self._duties = duties
        self._folder = folder
        self._processes: list[asyncio.subprocess.Process] = []
        self.process_by_name: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, names: Iterable[str], *, first: bool = True) -> None:
        """Start processes with the command of the deploy file."""
        for name in names:
            path = self._folder / f"{name}.json"
            path.write_text(json.dumps(self._settings(name, first=first)))
            environment = {
                "PATH": os.environ["PATH"],
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "SHALLOTFOLD_CONFIG": str(path),
            }
            with (self._folder / f"{name}.log").open("wb") as log:
                process = await asyncio.create_subprocess_exec(
                    *COMMAND,
                    cwd=ROOT,
                    env=environment,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    preexec_fn=self.prepare_process,
                )
            self._processes.append(process)
            self.process_by_name[name] = process

    def log_of(self, name: str) -> str:
        """Return the log of a machine."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    async def wait_ready(self, names: Iterable[str], limit_s: float) -> bool:
        """Wait until these say that they are ready."""
        ends_s = time.monotonic() + limit_s
        waiting = {self._ip_by_name[name] for name in names}
        while waiting and time.monotonic() < ends_s:
            for ip in list(waiting):
                if await _is_ready(ip):
                    waiting.discard(ip)
            await asyncio.sleep(0.1)
        return not waiting

    async def close(self) -> None:
        """End all processes."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        for process in self._processes:
            await process.wait()

    def _settings(self, name: str, *, first: bool) -> dict[str, Any]:
        ip = self._ip_by_name[name]
        zone = name.removeprefix("frontend-").rpartition("-")[0]
        seeds = list(self._ip_by_name.values())[:3]
        return {
            "NodeName": name,
            "Role": "gateway",
            "MachineClass": "frontend",
            "ServedRoles": ["frontend", "control_plane"],
            "IpAddress": ip,
            "Zone": zone,
            "Region": "nairobi",
            "Zones": dict.fromkeys(ZONES, "nairobi"),
            "ListenAddresses": {
                "Frontend": f"{ip}:8227",
                "Ready": f"{ip}:8220",
                "ControlPlane": f"{ip}:8229",
            },
            "InternalPortRange": [7340, 7355],
            "SeedNodes": [f"{seed}:8229" for seed in seeds],
            "Bootstrap": first,
            "Limits": {"MemoryLimitMb": 300, "FileDescriptors": 4100},
            "HeartbeatIntervalMs": 1200,
            "ActiveContracts": ["base", "drain", "config", "platform"],
            "ContractParameters": {
                "DrainTimeoutMs": 2000,
                "GracePeriodS": 8,
                "ConfigurationApplyMs": 2000,
                "RetryBudgetRatio": 0.2,
                "BudgetWindowS": 10,
                "RetryBudgetExtra": 58,
                "FencingEnforced": True,
                "LeaseDurationMs": 3000,
                "UsageWindowS": 5,
                "UsageLatenessS": 10,
            },
            "Platform": {
                "Address": self._store.address_by_ip[ip],
                "form": "kv",
            },
            "CloudApi": {"Address": self._duties.address},
        }


async def _is_ready(ip: str) -> bool:
    try:
        reader, writer = await asyncio.open_connection(ip, 8220)
    except OSError:
        return False
    writer.write(
        b"GET /shallotfold/readiness HTTP/1.1\r\nHost: x\r\n"
        b"Connection: close\r\n\r\n"
    )
    try:
        line = await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()
    return line.startswith(b"HTTP/1.1 200")


def free_network() -> str:
    """Return the first three bytes of loopback addresses that are unused."""
    draw = random.SystemRandom()
    return f"127.{draw.randrange(20, 220)}.{draw.randrange(1, 250)}"


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case and return its exit status; SIGTERM ends it in order."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        return await main()

    try:
        return asyncio.run(run())
    except (asyncio.CancelledError, KeyboardInterrupt):
        return fail_to_run("it was ended")
    except Exception as error:  # noqa: BLE001
        # Without this, the interpreter exits with the status of a failure.
        return fail_to_run(repr(error))


def fail_to_run(reason: str) -> int:
    """Print why a case couldn't run; return its exit status."""
    sys.stderr.write(f"the case couldn't run: {reason}\n")
    return 2
