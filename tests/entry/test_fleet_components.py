import asyncio

from shallotfold._entry import effects
from shallotfold._entry.fleet_components import make_fleet_components
from shallotfold._entry.peers.host_sync import HostSync
from shallotfold._entry.peers.peer_network import PeerNetwork
from shallotfold._entry.process import EntryProcess
from shallotfold._entry.serving.shell import EntryShell
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.store.configuration_sync import ConfigurationSync
from shallotfold._settings.addresses import Address
from shallotfold._settings.common import PlatformSettings
from shallotfold._settings.entry import EntrySettings

LOCAL = Address("127.0.0.1", 0)
PLATFORM = PlatformSettings(
    store_url="http://127.0.0.1:1",
    hosts_url="http://127.0.0.1:1",
    orders_url="http://127.0.0.1:1",
    usage_url="http://127.0.0.1:1",
)


def make_shell() -> EntryShell:
    return EntryShell(EntryState(host="e1", data_centre="a", incarnation=1))


def test_entry_without_platform_and_peers_has_no_fleet_components() -> None:
    settings = EntrySettings(host="e1", data_centre="a", caller_address=LOCAL)
    assert make_fleet_components(make_shell(), settings) == []


def make_settings() -> EntrySettings:
    return EntrySettings(
        host="e1",
        data_centre="a",
        caller_address=LOCAL,
        peer_address=LOCAL,
        fleet_secret="secret",
        platform=PLATFORM,
    )


def test_complete_entry_has_one_peer_port() -> None:
    """Guard against a second peer port, which keeps an entry from starting."""

    async def main() -> list[type]:
        process = EntryProcess(make_settings())
        await process.start()
        kinds = [type(component) for component in process.shell.components]
        await process.close()
        return kinds

    kinds = asyncio.run(asyncio.wait_for(main(), 30))
    assert kinds.count(PeerNetwork) == 1
    assert kinds.count(ConfigurationSync) == 1


def test_entry_of_a_fleet_gets_all_components_and_runners() -> None:
    shell = make_shell()
    components = make_fleet_components(shell, make_settings())
    kinds = {type(component) for component in components}
    assert {PeerNetwork, ConfigurationSync, HostSync} < kinds
    assert {
        effects.SendToPeer,
        effects.FetchConfiguration,
        effects.LoadConfigurationDocument,
        effects.SendConfiguration,
    } < set(shell._runners_by_effect)
