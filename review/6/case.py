"""Turn machines away from the store, add one, and let a worker leave."""

import asyncio
import itertools
import os
import pathlib
import random
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_2 as standins

HERE = pathlib.Path(__file__).resolve().parent
# The machines of the site: 9, and one of its 4 spare ones in each zone.
FIRST = [
    *(f"frontend-westlands-{number}" for number in (1, 2, 3)),
    *(f"frontend-industrial-area-{number}" for number in (1, 2, 3)),
    *(f"frontend-upper-hill-{number}" for number in (1, 2, 3)),
    *(f"frontend-embakasi-{number}" for number in (1, 2, 3)),
]
ADDED = "frontend-westlands-4"
# The largest share of `platform_down` with `nodes` is 0.35: 4 of 12.
TURNED_AWAY = [
    "frontend-westlands-2",
    "frontend-westlands-3",
    "frontend-industrial-area-3",
    "frontend-embakasi-3",
]
TURNED_AWAY_S = 9.0
ADDED_AFTER_S = 2.0
CONTACT_WINDOW_S = 3.0
DRAIN_TIMEOUT_S = 2.0
# A worker that leaves serves on for `DrainTimeoutMs` and longer.
SERVES_ON_S = 8.0
WORKERS = 4
REQUEST_INTERVAL_S = 0.1
DEADLINE_MS = 1500


class Case:
    """One run: what was sent, answered and run."""

    def __init__(self, *, trouble: bool) -> None:
        self.lines: list[str] = []
        self.violations: list[str] = []
        self.failure = ""
        self.answered = 0
        self._trouble = trouble
        self._started_s = time.monotonic()
        self._random = random.Random(1)
        self._numbers = itertools.count(1)
        self._machine_by_request: dict[str, str] = {}

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self._started_s:8.3f} {text}")

    async def run(self, folder: pathlib.Path) -> None:
        """Run the case; `failure` says why it couldn't be run."""
        network = standins.free_network()
        names = [*FIRST, ADDED]
        ip_by_name = {n: f"{network}.{1 + i}" for i, n in enumerate(names)}
        store, duties = standins.Store(), standins.Duties()
        await store.start(f"{network}.200", list(ip_by_name.values()))
        await duties.start(f"{network}.201")
        store.put("op/config", standins.configuration())
        workers = []
        for number in range(WORKERS):
            zone = standins.ZONES[number]
            worker = standins.Worker(f"i-{number}", zone, store)
            await worker.start(f"{network}.{100 + number}")
            workers.append(worker)
        gateways = standins.Gateways(ip_by_name, store, duties, folder)
        clients = []
        try:
            await gateways.start(FIRST)
            if not await gateways.wait_ready(FIRST, 30.0):
                self.failure = "a gateway isn't ready"
                return
            await asyncio.sleep(CONTACT_WINDOW_S)
            clients = [
                asyncio.create_task(self._send_requests(name, ip))
                for name, ip in ip_by_name.items()
            ]
            if self._trouble:
                self.note(f"the store turns away {', '.join(TURNED_AWAY)}")
                store.turn_away(ip_by_name[name] for name in TURNED_AWAY)
            await asyncio.sleep(ADDED_AFTER_S)
            self.note(f"{ADDED} is added")
            await gateways.start([ADDED], first=False)
            await asyncio.sleep(TURNED_AWAY_S - ADDED_AFTER_S)
            if self._trouble:
                self.note("the store serves all machines again")
                store.turn_away([])
            await asyncio.sleep(2 * CONTACT_WINDOW_S)
            leaving = workers[0]
            leaving.leave()
            left_s = time.monotonic()
            self.note(f"the entry of {leaving.worker_id} is removed")
            await asyncio.sleep(SERVES_ON_S)
            self._judge(leaving, left_s)
            self._note_runs(workers)
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
            await gateways.close()
            for worker in workers:
                worker.close()
            store.close()
            duties.close()

    def _note_runs(self, workers: list[standins.Worker]) -> None:
        self.lines += [
            f"{arrived_s - self._started_s:8.3f} {worker.worker_id} runs "
            f"{request_id}"
            for worker in workers
            for arrived_s, request_id in worker.arrivals
        ]
        self.lines.sort(key=lambda line: float(line.split()[0]))

    def _judge(self, leaving: standins.Worker, left_s: float) -> None:
        for arrived_s, request_id in leaving.arrivals:
            late_s = arrived_s - left_s
            if late_s > DRAIN_TIMEOUT_S:
                machine = self._machine_by_request[request_id]
                self.violations.append(
                    f"{arrived_s - self._started_s:8.3f} {request_id} reaches "
                    f"{leaving.worker_id} {late_s:.3f} s after its entry was "
                    f"removed, from {machine}"
                )

    async def _send_requests(self, name: str, ip: str) -> None:
        """Send requests to one machine, one after the other."""
        while True:
            await asyncio.sleep(
                REQUEST_INTERVAL_S * self._random.uniform(0.5, 1.5)
            )
            request_id = f"{next(self._numbers):016x}"
            self._machine_by_request[request_id] = name
            try:
                reader, writer = await asyncio.open_connection(ip, 8227)
            except OSError:
                # It isn't there yet.
                continue
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000):
                    writer.write(
                        standins.make_message(
                            "GET /lookup/2f HTTP/1.1",
                            b"",
                            f"Host: {standins.HOST}",
                            f"Attempt-Id: {request_id}",
                            f"Deadline-Remaining: {DEADLINE_MS}",
                            f"X-Api-Key: {standins.API_KEY}",
                            "Connection: close",
                        )
                    )
                    head, _ = await standins.read_message(reader)
                self.answered += 1
                status = head.split(b" ", 2)[1].decode()
                self.note(f"{request_id} to {name} -> {status}")
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as e:
                self.note(f"{request_id} to {name} got no answer: {e!r}")
            finally:
                writer.close()


async def main() -> int:
    """Run the case and write its record; return the exit status."""
    case = Case(trouble=os.environ.get("TROUBLE") != "0")
    with tempfile.TemporaryDirectory() as folder:
        await case.run(pathlib.Path(folder))
    summary = [
        f"answers {case.answered}",
        f"violations of DRAIN {len(case.violations)}",
        *case.violations,
    ]
    (HERE / "record.txt").write_text("\n".join([*summary, "", *case.lines, ""]))
    sys.stdout.write("\n".join(summary[:8]) + "\n")
    if case.failure:
        return standins.fail_to_run(case.failure)
    if not case.answered:
        return standins.fail_to_run("no request was answered")
    return 1 if case.violations else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(main))
