"""A workspace's limit holds across several entries."""

import itertools

import attrs
import pytest

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._model.configuration import Limits
from shallotfold._model.requests import Outcome
from tests.entry.reducer_driver import CONFIGURATION
from tests.entry.reducer_driver import make_entry
from tests.entry.reducer_driver import make_workspace
from tests.entry.reducer_driver import refusals

HOSTS = ("e1", "e2", "e3", "e4")
LIMIT = 60


class Fleet:
    """Entries whose messages are delivered at once."""

    def __init__(self, limits: Limits) -> None:
        workspaces = {"north": make_workspace("north", limits=limits)}
        configuration = attrs.evolve(
            CONFIGURATION, workspaces_by_name=workspaces
        )
        self.entries = {host: make_entry(configuration) for host in HOSTS}
        for host, entry in self.entries.items():
            entry.state.host = host
            for peer in HOSTS:
                if peer != host:
                    entry.feed(
                        events.PeerConnected(now_s=entry.now_s, host=peer)
                    )
        self.admitted = 0
        self.numbers = itertools.count()

    def arrive(self, host: str, number: int) -> bool:
        entry = self.entries[host]
        new_effects = entry.order(f"{host}-{number}")
        self.deliver(host, new_effects)
        if refusals(new_effects):
            return False
        self.admitted += 1
        return True

    def end(self, host: str, number: int) -> None:
        entry = self.entries[host]
        open_request = entry.state.requests.open_by_id.get(f"{host}-{number}")
        if open_request is not None and open_request.phase.value == "running":
            self.deliver(host, entry.end(f"{host}-{number}", Outcome.RAN))

    def deliver(self, source: str, new_effects: list[effects.Effect]) -> None:
        for effect in new_effects:
            if (
                isinstance(effect, effects.SendToPeer)
                and effect.host in self.entries
            ):
                receiver = self.entries[effect.host]
                event = events.PeerMessageReceived(
                    now_s=receiver.now_s, host=source, message=effect.message
                )
                self.deliver(effect.host, receiver.feed(event))

    def wait(self, seconds: float) -> None:
        for host, entry in list(self.entries.items()):
            confirmed = events.VersionConfirmed(
                now_s=entry.now_s, version=1, read_started_s=entry.now_s
            )
            entry.feed(confirmed)
            self.deliver(host, entry.wait(seconds))

    def disconnect(self, host: str) -> None:
        del self.entries[host]
        for entry in self.entries.values():
            entry.feed(events.PeerDisconnected(now_s=entry.now_s, host=host))


def flood(fleet: Fleet, seconds: int, per_second: int = 5) -> None:
    for _ in range(seconds):
        for host in list(fleet.entries):
            for _ in range(per_second):
                number = next(fleet.numbers)
                fleet.arrive(host, number)
                fleet.end(host, number)
        fleet.wait(1.0)


def is_within_stated_error(fleet: Fleet) -> bool:
    first_allowance = LIMIT / len(HOSTS)
    return fleet.admitted <= LIMIT + len(HOSTS) + first_allowance


def test_requests_a_minute_hold_over_all_entries() -> None:
    fleet = Fleet(Limits(requests_per_minute=LIMIT))
    flood(fleet, 30)
    assert fleet.admitted >= LIMIT
    assert is_within_stated_error(fleet)


def test_one_busy_entry_may_use_the_whole_limit() -> None:
    fleet = Fleet(Limits(requests_per_minute=LIMIT))
    for second in range(30):
        for index in range(20):
            fleet.arrive("e1", second * 20 + index)
            fleet.end("e1", second * 20 + index)
        fleet.wait(1.0)
    assert fleet.admitted >= LIMIT
    assert is_within_stated_error(fleet)


@pytest.mark.parametrize("lost", HOSTS)
def test_limit_holds_while_an_entry_is_lost(lost: str) -> None:
    fleet = Fleet(Limits(requests_per_minute=LIMIT))
    flood(fleet, 2)
    fleet.disconnect(lost)
    flood(fleet, 25, per_second=7)
    assert is_within_stated_error(fleet)
