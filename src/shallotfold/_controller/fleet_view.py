"""Keep the controller's view of hosts and configuration up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotfold._controller import effects
from shallotfold._controller import placement
from shallotfold._controller.duties import CANDIDATES_PER_DUTY
from shallotfold._model.upstreams import HostRole

if TYPE_CHECKING:
    from shallotfold._controller import events
    from shallotfold._controller.state import ControllerState

HOST_LIST_PERIOD_S = 5.0
HOLDER_CONFIGURATION_PERIOD_S = 2.0
CANDIDATE_CONFIGURATION_PERIOD_S = 20.0
IDLE_CONFIGURATION_PERIOD_S = 300.0
FIRST_CONFIGURATION_PERIOD_S = 0.5


def on_tick(state: ControllerState, event: events.Tick) -> list[effects.Effect]:
    """Start the reads that are due.

    Processes without a duty read the configuration less often.
    """
    due: list[effects.Effect] = []
    jitter = 0.75 + event.random / 2
    if event.now_s >= state.next_hosts_s:
        state.next_hosts_s = event.now_s + HOST_LIST_PERIOD_S * jitter
        due.append(effects.FetchHosts())
    if event.now_s >= state.next_configuration_s:
        period_s = _configuration_period_s(state)
        state.next_configuration_s = event.now_s + period_s * jitter
        due.append(
            effects.FetchConfiguration(newer_than=state.configuration_version)
        )
    return due


def on_hosts(
    state: ControllerState, event: events.HostsListed
) -> list[effects.Effect]:
    """Adopt the platform's list and track upstreams missing from it."""
    known_upstreams = state.delisted_upstreams | {
        host.name
        for host in state.hosts_by_name.values()
        if host.role is HostRole.UPSTREAM
    }
    state.hosts_by_name = {host.name: host for host in event.hosts}
    state.delisted_upstreams = known_upstreams - state.hosts_by_name.keys()
    return []


def on_configuration(
    state: ControllerState, event: events.ConfigurationRead
) -> list[effects.Effect]:
    """Adopt a configuration if its version is higher."""
    if event.version <= state.configuration_version:
        return []
    state.configuration_version = event.version
    state.configuration = event.configuration
    placement.rank_duties(state)
    return []


def _configuration_period_s(state: ControllerState) -> float:
    if not state.configuration_version:
        return FIRST_CONFIGURATION_PERIOD_S
    if state.duties.held_by_name:
        return HOLDER_CONFIGURATION_PERIOD_S
    if any(r < CANDIDATES_PER_DUTY for r in state.duties.rank_by_name.values()):
        return CANDIDATE_CONFIGURATION_PERIOD_S
    return IDLE_CONFIGURATION_PERIOD_S
