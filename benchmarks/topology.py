"""Define the demo: addresses, settings and the configuration."""

import os
import secrets

import attrs

from benchmarks import declaration
from benchmarks.exchanges import Workload
from benchmarks.processes import Command
from shallotfold import operator

DATA_CENTRES = ("westlands", "industrial-area", "upper-hill", "embakasi")
ENTRY_COUNT = 3
ENGINE_COUNT = 5
SPARE_COUNT = 1
SERVICE_COUNT = 4
CALLER_PORT = 8080
PEER_PORT = 8081
UPSTREAM_PORT = 8000
PLATFORM_PORT = 8500
CREDENTIAL = "upstream-credential"
KEY_MARKER = "sk-demo-"


@attrs.frozen
class Key:
    """A caller's key of the demo.

    Attributes:
        key_id: Public name.
        secret: Bearer token that the caller sends.
    """

    key_id: str
    secret: str

    def digest(self) -> operator.KeyDigest:
        """Return the digest that the configuration contains."""
        return operator.digest_key(self.key_id, self.secret)


def make_key(key_id: str) -> Key:
    """Make a key that the stand-ins recognise as a secret."""
    return Key(key_id, KEY_MARKER + secrets.token_hex(16))


@attrs.define
class Topology:
    """Addresses, keys and sizes of one run.

    Addresses depend on the process id, so that concurrent runs don't collide.

    Attributes:
        entry_count: Number of entry hosts.
        engine_slots: Requests that one engine runs at once.
        engine_tokens_per_s: Output rate of one engine at full load.
        network: First two octets of the loopback addresses.
        fleet_secret: Secret shared by the entries.
        keys_by_workspace: The callers' keys.
        spare_key: A key of the workspace `visitors`, withdrawn later.
    """

    entry_count: int = ENTRY_COUNT
    engine_slots: int = 8
    engine_tokens_per_s: float = 240.0
    network: str = attrs.field(factory=lambda: f"127.{64 + os.getpid() % 128}")
    fleet_secret: str = attrs.field(factory=lambda: secrets.token_hex(16))
    keys_by_workspace: dict[str, Key] = attrs.field(
        factory=lambda: {
            name: make_key(f"{name}-1")
            for name in ("agency", "field-crew", "reports")
        }
    )
    spare_key: Key = attrs.field(factory=lambda: make_key("visitors-1"))

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://{self.network}.0.1:{PLATFORM_PORT}"

    @property
    def entry_names(self) -> list[str]:
        """Names of the entry hosts."""
        return [f"entry-{index + 1}" for index in range(self.entry_count)]

    def entry_ip(self, name: str) -> str:
        """Return the address of an entry host."""
        return f"{self.network}.1.{self.entry_names.index(name) + 1}"

    def entry_url(self, name: str) -> str:
        """Return the base URL of an entry for callers."""
        return f"http://{self.entry_ip(name)}:{CALLER_PORT}"

    def upstreams(self) -> tuple[operator.Upstream, ...]:
        """Return the model upstreams, then the plain ones."""
        engines = [
            operator.Upstream(
                name=f"engine-{index + 1}",
                url=f"http://{self.network}.2.{index + 1}:{UPSTREAM_PORT}",
                data_centre=_data_centre(index),
                model=declaration.MODEL,
                slots=self.engine_slots,
                tokens_per_s=self.engine_tokens_per_s,
                credential="upstream",
            )
            for index in range(ENGINE_COUNT)
        ]
        services = [
            operator.Upstream(
                name=f"booking-{index + 1}",
                url=f"http://{self.network}.3.{index + 1}:{UPSTREAM_PORT}",
                data_centre=_data_centre(index),
                service=declaration.BOOKING_SERVICE,
                credential="upstream",
            )
            for index in range(SERVICE_COUNT)
        ]
        return (*engines, *services)

    def spares(self) -> tuple[operator.Upstream, ...]:
        """Return the engines that can be started by orders.

        They are in the data centre that ignores fencing tokens.
        """
        return tuple(
            operator.Upstream(
                name=f"spare-{index + 1}",
                url=f"http://{self.network}.2.{101 + index}:{UPSTREAM_PORT}",
                data_centre=DATA_CENTRES[-1],
                model=declaration.MODEL,
                slots=self.engine_slots,
                tokens_per_s=self.engine_tokens_per_s,
                reclaimable=True,
            )
            for index in range(SPARE_COUNT)
        )

    def upstream_url(self, name: str) -> str:
        """Return the base URL of an upstream."""
        return next(u.url for u in self.upstreams() if u.name == name)

    def configuration(self, *, with_spare_key: bool) -> operator.Configuration:
        """Return the configuration that the demo's operators declare."""
        keys_by_workspace = {
            name: [key.digest()] for name, key in self.keys_by_workspace.items()
        }
        visitor_keys = [make_key("visitors-2").digest()]
        if with_spare_key:
            visitor_keys.append(self.spare_key.digest())
        keys_by_workspace["visitors"] = visitor_keys
        return declaration.declare(
            self.upstreams(), self.spares(), keys_by_workspace
        )

    def workloads(self) -> list[Workload]:
        """Return the mix of traffic."""
        secret_by_workspace = {
            name: k.secret for name, k in self.keys_by_workspace.items()
        }
        targets = declaration.TARGETS_BY_CLASS

        def make_workload(
            class_name: str, workspace: str, **fields: float
        ) -> Workload:
            return Workload(
                class_name=class_name,
                workspace=workspace,
                key=secret_by_workspace[workspace],
                streaming=class_name in ("chat", "drafting"),
                booking=class_name == "booking",
                first_token_s=targets[class_name].first_token_s,
                whole_answer_s=targets[class_name].whole_answer_s,
                **fields,  # type: ignore[arg-type]
            )

        return [
            make_workload(
                "chat", "agency", interval_s=0.2, min_tokens=20, max_tokens=60
            ),
            make_workload("chat", "field-crew", interval_s=0.3, max_tokens=60),
            make_workload(
                "drafting",
                "agency",
                interval_s=1.0,
                min_tokens=100,
                max_tokens=200,
                prompt_characters=6000,
            ),
            make_workload("tagging", "reports", interval_s=0.15),
            make_workload("booking", "agency", interval_s=0.25),
            make_workload("booking", "field-crew", interval_s=0.4),
        ]

    def platform_command(self) -> Command:
        """Return the command that starts the platform stand-in."""
        hosts = [
            f'{{name = "{name}", role = "entry", data_centre = '
            f'"{_data_centre(index)}", address = '
            f'"{self.entry_ip(name)}:{PEER_PORT}"}}'
            for index, name in enumerate(self.entry_names)
        ]
        hosts += [
            f'{{name = "{upstream.name}", role = "upstream", data_centre = '
            f'"{upstream.data_centre}", address = "{upstream.url}"}}'
            for upstream in self.upstreams()
        ]
        spares = [
            f'{{data_centre = "{spare.data_centre}", offer = '
            f'"{declaration.offer_name(spare)}", url = "{spare.url}"}}'
            for spare in self.spares()
        ]
        return Command(
            name="platform",
            binary=("shallotfold-standin", "platform"),
            settings=(
                f'address = "{self.network}.0.1:{PLATFORM_PORT}"\n'
                f"data_centres = {_toml_list(DATA_CENTRES)}\n"
                f'unfenced_data_centres = ["{DATA_CENTRES[-1]}"]\n'
                f"hosts = [{', '.join(hosts)}]\n"
                f"spare_engines = [{', '.join(spares)}]\n"
            ),
            ready_url=f"{self.platform_url}/stats",
        )

    def upstream_commands(self) -> list[Command]:
        """Return the commands that start each upstream in its own process."""
        return [
            Command(
                name=upstream.name,
                binary=("shallotfold-standin", _standin_kind(upstream)),
                settings=(
                    f'host = "{upstream.name}"\n'
                    f'data_centre = "{upstream.data_centre}"\n'
                    f"{_upstream_table(upstream)}"
                ),
                ready_url=f"{upstream.url}/stats",
            )
            for upstream in (*self.upstreams(), *self.spares())
        ]

    def combined_upstream_commands(self) -> list[Command]:
        """Return the commands that start one process per kind of upstream."""
        commands = []
        for kind in ("engine", "service"):
            group = [u for u in self.upstreams() if _standin_kind(u) == kind]
            commands.append(
                Command(
                    name=f"{kind}s",
                    binary=("shallotfold-standin", kind),
                    settings="".join(_upstream_table(u) for u in group),
                    ready_url=f"{group[-1].url}/stats",
                )
            )
        return commands

    def entry_command(self, name: str) -> Command:
        """Return the command that starts an entry."""
        ip = self.entry_ip(name)
        index = self.entry_names.index(name)
        return Command(
            name=name,
            binary=("shallotfold-entry",),
            settings=(
                f'host = "{name}"\n'
                f'data_centre = "{_data_centre(index)}"\n'
                f'caller_address = "{ip}:{CALLER_PORT}"\n'
                f'peer_address = "{ip}:{PEER_PORT}"\n'
                f'fleet_secret = "{self.fleet_secret}"\n'
                f"[credentials]\n"
                f'upstream = "{CREDENTIAL}"\n'
                f"{self._platform_table()}"
            ),
            ready_url=f"{self.entry_url(name)}/readyz",
        )

    def controller_command(self, entry_name: str) -> Command:
        """Return the command that starts the controller of an entry host."""
        index = self.entry_names.index(entry_name)
        return Command(
            name=f"controller-{index + 1}",
            binary=("shallotfold-controller",),
            settings=(
                f'host = "{entry_name}"\n'
                f'data_centre = "{_data_centre(index)}"\n'
                f"{self._platform_table()}"
            ),
        )

    def _platform_table(self) -> str:
        names = ("store_url", "hosts_url", "orders_url", "usage_url")
        lines = [f'{name} = "{self.platform_url}"' for name in names]
        return "\n".join(["[platform]", *lines, ""])


def _data_centre(index: int) -> str:
    return DATA_CENTRES[index % len(DATA_CENTRES)]


def _toml_list(names: tuple[str, ...]) -> str:
    return "[" + ", ".join(f'"{name}"' for name in names) + "]"


def _standin_kind(upstream: operator.Upstream) -> str:
    return "engine" if upstream.model else "service"


def _upstream_table(upstream: operator.Upstream) -> str:
    rate = f"tokens_per_s = {upstream.tokens_per_s}\n" if upstream.model else ""
    return (
        f"[[{_standin_kind(upstream)}s]]\n"
        f'name = "{upstream.name}"\n'
        f'address = "{upstream.url.removeprefix("http://")}"\n'
        f"slots = {upstream.slots}\n"
        f"{rate}"
        f'credential = "{CREDENTIAL if upstream.credential else ""}"\n'
        f'secret_marker = "{KEY_MARKER}"\n'
    )
