"""List the upstreams that exist and group them into pools."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Upstream
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState

MAX_POOL_UPSTREAMS = 12


@attrs.frozen(kw_only=True)
class Catalog:
    """Upstreams in use, both declared and ordered.

    Attributes:
        configuration: Configuration that it was built from.
        upstreams_by_name: All upstreams.
        upstreams_by_pool: Upstreams of each pool, sorted by data centre and
            name.
        pools_by_service: Pools that serve one model or plain service.
        leaving: Upstreams that are leaving according to the host list.
    """

    configuration: Configuration = attrs.field(factory=Configuration)
    upstreams_by_name: Mapping[str, Upstream] = attrs.field(factory=dict)
    upstreams_by_pool: Mapping[str, tuple[Upstream, ...]] = attrs.field(
        factory=dict
    )
    pools_by_service: Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
    leaving: frozenset[str] = frozenset()


def service_key(model: str, service: str) -> str:
    """Return the key of a model or of a plain service."""
    return f"model/{model}" if model else f"service/{service}"


def build_catalog(
    configuration: Configuration, hosts: Sequence[HostRecord]
) -> Catalog:
    """Combine declared upstreams with ordered ones in the host list."""
    upstreams = dict(configuration.upstreams_by_name)
    listed = [host for host in hosts if host.role is HostRole.UPSTREAM]
    for host in listed:
        offer = configuration.offers_by_name.get(host.offer)
        if offer is not None and host.name not in upstreams:
            upstreams[host.name] = Upstream(
                name=host.name,
                url=host.address,
                data_centre=host.data_centre,
                model=offer.model,
                slots=offer.slots,
                tokens_per_s=offer.tokens_per_s,
                price_per_hour=offer.price_per_hour,
                reclaimable=offer.reclaimable,
                credential=offer.credential,
            )
    by_pool, pools = _group_into_pools(upstreams)
    return Catalog(
        configuration=configuration,
        upstreams_by_name=upstreams,
        upstreams_by_pool=by_pool,
        pools_by_service=pools,
        leaving=frozenset(
            host.name for host in listed if host.state is HostState.LEAVING
        ),
    )


def _group_into_pools(
    upstreams: Mapping[str, Upstream],
) -> tuple[dict[str, tuple[Upstream, ...]], dict[str, tuple[str, ...]]]:
    by_service: dict[str, list[Upstream]] = {}
    for _, upstream in sorted(upstreams.items()):
        key = service_key(upstream.model, upstream.service)
        by_service.setdefault(key, []).append(upstream)
    by_pool: dict[str, tuple[Upstream, ...]] = {}
    pools: dict[str, tuple[str, ...]] = {}
    for key, members in by_service.items():
        members.sort(key=lambda u: (u.data_centre, u.name))
        count = -(-len(members) // MAX_POOL_UPSTREAMS)
        names = tuple(f"{key}#{index}" for index in range(count))
        for index, name in enumerate(names):
            first = index * len(members) // count
            end = (index + 1) * len(members) // count
            by_pool[name] = tuple(members[first:end])
        pools[key] = names
    return by_pool, pools
