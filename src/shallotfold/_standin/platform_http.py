"""Serve the simulated platform over HTTP."""

import hashlib
from http import HTTPStatus
import json
from typing import Any

from aiohttp import web
import attrs
import cattrs

from shallotfold._errors import OrderRefusedError
from shallotfold._errors import ReportConflictError
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState
from shallotfold._services.ports import UpstreamOrder
from shallotfold._services.ports import UsageReport
from shallotfold._settings.standin import PlatformStandinSettings
from shallotfold._standin.hosts import HostListStandin
from shallotfold._standin.http_common import drop_connection
from shallotfold._standin.http_common import monotonic_s
from shallotfold._standin.orders import ExecutedOrder
from shallotfold._standin.orders import OrdersStandin
from shallotfold._standin.store import StoreFault
from shallotfold._standin.store import StoreStandin
from shallotfold._standin.store_http import add_store_routes
from shallotfold._standin.usage import UsageStandin

MAX_BODY_BYTES = 2 * 1024 * 1024

_STATUS_BY_CODE = {"stale_fencing": 409, "no_capacity": 422}


@attrs.define
class PlatformServer:
    """Serve the store, the host list, upstream orders and usage reports.

    Attributes:
        store: Key-value service.
        hosts: Host list.
        orders: Upstream orders.
        usage: Usage reports.
        lost_order_answers: Number of order responses still to be dropped
            after the order takes effect.
        lost_usage_answers: Number of usage report responses still to be
            dropped after the report takes effect.
    """

    store: StoreStandin
    hosts: HostListStandin
    orders: OrdersStandin
    usage: UsageStandin = attrs.field(factory=UsageStandin)
    lost_order_answers: int = 0
    lost_usage_answers: int = 0

    def make_app(self) -> web.Application:
        """Return the web application of the platform."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        add_store_routes(app, self.store)
        app.router.add_get("/v1/hosts", self._show_hosts)
        app.router.add_post("/v1/orders/{data_centre}", self._place_order)
        app.router.add_get("/v1/orders/{data_centre}", self._show_orders)
        app.router.add_get(
            "/v1/orders/{data_centre}/{order_id}", self._show_order
        )
        app.router.add_post("/v1/usage", self._accept_usage)
        app.router.add_get("/v1/usage", self._show_usage)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/stats", self._show_stats)
        return app

    async def _show_hosts(self, request: web.Request) -> web.Response:
        now_s = monotonic_s()
        self.orders.advance(now_s)
        records = self.hosts.fetch(now_s)
        text = json.dumps({"hosts": cattrs.unstructure(records)})
        tag = hashlib.sha256(text.encode()).hexdigest()
        known_etags = request.if_none_match or ()
        if tag in (etag.value for etag in known_etags):
            response = web.Response(status=HTTPStatus.NOT_MODIFIED)
        else:
            response = web.json_response(text=text)
            response.enable_compression()
        response.etag = tag
        return response

    async def _place_order(self, request: web.Request) -> web.Response:
        data_centre = request.match_info["data_centre"]
        try:
            fields = {**await request.json(), "data_centre": data_centre}
            order = cattrs.structure(fields, UpstreamOrder)
        except (ValueError, TypeError, cattrs.BaseValidationError):
            return _refuse(400, "bad_request")
        try:
            self.orders.execute(order, monotonic_s())
        except OrderRefusedError as error:
            status = _STATUS_BY_CODE.get(error.code, 400)
            return _refuse(status, error.code)
        if self.lost_order_answers > 0:
            self.lost_order_answers -= 1
            return drop_connection(request)
        return web.json_response({})

    async def _show_order(self, request: web.Request) -> web.Response:
        executed = self.orders.look_up(
            request.match_info["data_centre"], request.match_info["order_id"]
        )
        if executed is None:
            return _refuse(404, "not_found")
        return web.json_response(_order_fields(executed))

    async def _show_orders(self, request: web.Request) -> web.Response:
        executed = self.orders.executed_in(request.match_info["data_centre"])
        return web.json_response(
            {"orders": [_order_fields(e) for e in executed]}
        )

    async def _accept_usage(self, request: web.Request) -> web.Response:
        try:
            fields = await request.json()
            report = cattrs.structure(
                {**fields, "figures": fields}, UsageReport
            )
        except (ValueError, TypeError, cattrs.BaseValidationError):
            return _refuse(400, "bad_request")
        try:
            self.usage.accept(report)
        except ReportConflictError:
            return _refuse(409, "conflict")
        if self.lost_usage_answers > 0:
            self.lost_usage_answers -= 1
            return drop_connection(request)
        return web.json_response({})

    async def _show_usage(self, _: web.Request) -> web.Response:
        reports = [
            {
                "workspace": report.workspace,
                "window": report.window,
                **attrs.asdict(report.figures),
                "fencing": report.fencing,
                "repeats": self.usage.repeats_by_window.get(key, 0),
            }
            for key, report in self.usage.reports_by_window.items()
        ]
        return web.json_response(
            {
                "reports": reports,
                "conflicts": self.usage.conflict_count,
                "stale": self.usage.stale_count,
            }
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = await request.json()
        if "store" in faults:
            self.store.set_fault(
                StoreFault(faults["store"]),
                faults.get("delay_s", 0.0),
                faults.get("count"),
            )
        for data_centre, switches in faults.get("orders", {}).items():
            if switches.get("checks_fencing", True):
                self.orders.unfenced_data_centres.discard(data_centre)
            else:
                self.orders.unfenced_data_centres.add(data_centre)
        self.lost_order_answers += faults.get("lost_order_answers", 0)
        self.lost_usage_answers += faults.get("lost_usage_answers", 0)
        urls = self._change_hosts(faults, monotonic_s())
        return web.json_response({"reclaimed_urls": urls})

    def _change_hosts(self, faults: dict[str, Any], now_s: float) -> list[str]:
        for name in faults.get("leaving_hosts", ()):
            self.hosts.mark_leaving(name, now_s)
        for name in faults.get("removed_hosts", ()):
            self.hosts.remove(name, now_s)
        for fields in faults.get("added_hosts", ()):
            self.hosts.add(cattrs.structure(fields, HostRecord), now_s)
        reclaim = faults.get("reclaim")
        if not reclaim:
            return []
        return self.orders.reclaim(
            reclaim["data_centre"], reclaim.get("offers", ()), now_s
        )

    async def _show_stats(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "store_calls": dict(self.store.calls_by_name),
                "store_revision": self.store.revision,
                "orders_stale": self.orders.stale_count,
                "orders_repeated": self.orders.repeat_count,
            }
        )


def make_platform_server(settings: PlatformStandinSettings) -> PlatformServer:
    """Return the platform with the hosts of its settings on the host list."""
    hosts = HostListStandin(settings.host_list_lag_s)
    for host in settings.hosts:
        record = HostRecord(
            name=host.name,
            role=HostRole(host.role),
            state=HostState.LIVE,
            data_centre=host.data_centre,
            address=host.address,
        )
        hosts.add(record, float("-inf"))
    return PlatformServer(
        store=StoreStandin(),
        hosts=hosts,
        orders=OrdersStandin(
            data_centres=settings.data_centres,
            unfenced_data_centres=set(settings.unfenced_data_centres),
            spare_engines=settings.spare_engines,
            hosts=hosts,
            start_s=settings.start_s,
        ),
    )


def _order_fields(executed: ExecutedOrder) -> dict[str, Any]:
    return {
        **attrs.asdict(executed.order),
        "arrived_at_s": executed.arrived_at_s,
    }


def _refuse(status: int, code: str) -> web.Response:
    return web.json_response({"error": code}, status=status)
