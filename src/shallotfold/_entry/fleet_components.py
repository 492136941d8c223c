"""Make the components that connect an entry to its fleet."""

from shallotfold._entry import effects
from shallotfold._entry.peers.host_sync import HostSync
from shallotfold._entry.peers.peer_network import PeerNetwork
from shallotfold._entry.peers.peer_network import PeerNetworkSettings
from shallotfold._entry.serving.shell import Component
from shallotfold._entry.serving.shell import EntryShell
from shallotfold._entry.store.configuration_sync import ConfigurationSync
from shallotfold._services.http_hosts import HttpHostList
from shallotfold._services.http_store import HttpStore
from shallotfold._services.ports import Store
from shallotfold._settings.entry import EntrySettings


def make_fleet_components(
    shell: EntryShell, settings: EntrySettings
) -> list[Component]:
    """Make the peer port and the components that watch store and hosts.

    They register their runners with the shell. Without a platform there is
    nothing to watch, and without a peer address there is no peer port.
    """
    network = _make_network(shell, settings)
    components: list[Component] = [] if network is None else [network]
    if settings.platform is None:
        return components
    store = HttpStore(settings.platform.store_url)
    host_list = HttpHostList(settings.platform.hosts_url)
    sync = _make_configuration_sync(shell, store, network)
    components.extend([store, host_list, sync])
    hosts = HostSync(
        host_list,
        shell.deliver,
        _ignore if network is None else network.set_hosts,
    )
    return [*components, hosts]


def _make_network(
    shell: EntryShell, settings: EntrySettings
) -> PeerNetwork | None:
    if settings.peer_address is None:
        return None
    network = PeerNetwork(
        PeerNetworkSettings(
            host=settings.host,
            incarnation=shell.state.incarnation,
            listen=settings.peer_address,
            fleet_secret=settings.fleet_secret,
        ),
        shell.deliver,
    )
    shell.register(
        effects.SendToPeer,
        lambda effect: network.send(effect.host, effect.message),
    )
    return network


def _make_configuration_sync(
    shell: EntryShell, store: Store, network: PeerNetwork | None
) -> ConfigurationSync:
    sync = ConfigurationSync(
        store,
        shell.deliver,
        _ignore if network is None else network.send,
        lambda: len(shell.state.membership.entry_names),
    )
    shell.register(effects.FetchConfiguration, sync.fetch)
    shell.register(effects.LoadConfigurationDocument, sync.load)
    shell.register(effects.SendConfiguration, sync.send)
    return sync


def _ignore(*_: object) -> None:
    return None
