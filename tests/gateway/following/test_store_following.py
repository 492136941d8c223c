"""Check that a prefix is followed through failures of the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from shallotfold._errors import HistoryLostError
from shallotfold._errors import StoreUnavailableError
from shallotfold._gateway.following import prefix_watcher
from shallotfold._gateway.following.prefix_watcher import PrefixWatcher
from shallotfold._services.ports import StoreChanges
from shallotfold._services.ports import StoredValue


class Script:
    """A store whose watches end as a test says.

    Attributes:
        waits: How long each watch was asked to wait, in seconds.
        snapshots: How often everything was read.
    """

    def __init__(self) -> None:
        self.answers: asyncio.Queue[StoreChanges | Exception] = asyncio.Queue()
        self.waits: list[float] = []
        self.after: list[int] = []
        self.snapshots = 0
        self.revision = 5

    async def snapshot(self, prefix: str) -> StoreChanges:
        del prefix
        self.snapshots += 1
        return StoreChanges(self.revision, (), ())

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> StoreChanges:
        del prefix
        self.waits.append(timeout_s)
        self.after.append(after_revision)
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        return answer


class Notes:
    """What a follower told its owner."""

    def __init__(self) -> None:
        self.changes: list[StoreChanges] = []
        self.snapshots: list[StoreChanges] = []
        self.contacts: list[bool] = []

    def contact(self, error: Exception | None) -> None:
        self.contacts.append(error is None)


def follow(
    scene: Callable[[Script, Notes, PrefixWatcher], Awaitable[None]],
    hosts: int = 1,
) -> None:
    async def run() -> None:
        script, notes = Script(), Notes()
        follower = PrefixWatcher(
            script,  # type: ignore[arg-type]
            "p/",
            notes.snapshots.append,
            notes.changes.append,
            notes.contact,
            lambda: hosts,
        )
        await follower.start()
        await asyncio.sleep(0.01)
        try:
            await scene(script, notes, follower)
        finally:
            await follower.close()

    asyncio.run(run())


@pytest.fixture(autouse=True)
def _shorten_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(prefix_watcher, "INITIAL_BACKOFF_S", 0.02)
    monkeypatch.setattr(prefix_watcher, "MIN_BATCH_DELAY_S", 0.01)


def changes(revision: int) -> StoreChanges:
    return StoreChanges(
        revision, (StoredValue("p/a", b"x", revision),), (), revision
    )


def test_changes_are_followed_from_the_snapshot_on() -> None:
    async def scene(
        script: Script, notes: Notes, follower: PrefixWatcher
    ) -> None:
        del follower
        script.answers.put_nowait(changes(7))
        await asyncio.sleep(0.05)
        assert script.after == [5, 7]
        assert [c.revision for c in notes.changes] == [7]
        assert script.snapshots == 1

    follow(scene)


def test_a_lost_history_is_read_anew() -> None:
    async def scene(
        script: Script, notes: Notes, follower: PrefixWatcher
    ) -> None:
        del follower
        script.revision = 40
        script.answers.put_nowait(HistoryLostError("p/"))
        await asyncio.sleep(0.05)
        assert script.snapshots == 2
        assert script.after[-1] == 40
        assert len(notes.snapshots) == 2

    follow(scene)


def test_after_a_failure_a_short_watch_shows_that_the_store_is_back() -> None:
    """Found by a day: a removal was doubted for as long as a watch lasts."""

    async def scene(
        script: Script, notes: Notes, follower: PrefixWatcher
    ) -> None:
        del follower
        script.answers.put_nowait(StoreUnavailableError("away"))
        await asyncio.sleep(0.06)
        assert notes.contacts[-1] is False
        assert script.waits[-1] == prefix_watcher.PROBE_TIMEOUT_S
        script.answers.put_nowait(StoreChanges(5, (), ()))
        await asyncio.sleep(0.02)
        assert notes.contacts[-1] is True
        assert script.waits[-1] >= prefix_watcher.MIN_WATCH_TIMEOUT_S

    follow(scene)


def test_a_hurried_follower_asks_again_at_once() -> None:
    async def scene(
        script: Script, notes: Notes, follower: PrefixWatcher
    ) -> None:
        follower.restart_watch()
        await asyncio.sleep(0.02)
        assert script.after == [5, 5]
        script.answers.put_nowait(changes(9))
        await asyncio.sleep(0.02)
        assert [c.revision for c in notes.changes] == [9]

    follow(scene)


def test_an_unreadable_answer_does_not_end_the_following() -> None:
    async def scene(
        script: Script, notes: Notes, follower: PrefixWatcher
    ) -> None:
        del follower
        script.answers.put_nowait(KeyError("At"))
        await asyncio.sleep(prefix_watcher.MAX_BACKOFF_S + 0.1)
        assert False in notes.contacts
        assert script.snapshots == 2

    follow(scene)


class TestManyHosts:
    """Each host's calls count against the rate and the price of all."""

    def test_many_hosts_watch_longer(self) -> None:
        async def scene(
            script: Script, notes: Notes, follower: PrefixWatcher
        ) -> None:
            del notes, follower
            script.answers.put_nowait(changes(7))
            await asyncio.sleep(0.8)
            assert script.waits[-1] == prefix_watcher.MAX_WATCH_TIMEOUT_S

        follow(scene, hosts=64)
