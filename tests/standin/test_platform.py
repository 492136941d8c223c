import attrs
import pytest

from shallotfold._errors import OrderRefusedError
from shallotfold._errors import ReportConflictError
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState
from shallotfold._services.ports import UpstreamOrder
from shallotfold._services.ports import UsageFigures
from shallotfold._services.ports import UsageReport
from shallotfold._settings.standin import SpareEngine
from shallotfold._standin.hosts import HostListStandin
from shallotfold._standin.orders import OrdersStandin
from shallotfold._standin.usage import UsageStandin

SPARE = SpareEngine(data_centre="a", offer="cheap", url="http://127.0.0.1:1")
ORDER = UpstreamOrder(
    order_id="1",
    data_centre="a",
    action="start",
    offer="cheap",
    upstream="u",
    fencing=2,
)
REPORT = UsageReport(
    workspace="w", window=60, figures=UsageFigures(requests=1), fencing=1
)


def make_orders(
    unfenced: tuple[str, ...] = (), lag_s: float = 0.0
) -> OrdersStandin:
    return OrdersStandin(
        data_centres=("a", "b"),
        unfenced_data_centres=set(unfenced),
        spare_engines=(SPARE,),
        hosts=HostListStandin(lag_s),
        start_s=5.0,
    )


def list_states(orders: OrdersStandin, now_s: float) -> list[HostState]:
    orders.advance(now_s)
    return [record.state for record in orders.hosts.fetch(now_s)]


def test_host_list_lags() -> None:
    hosts = HostListStandin(lag_s=2.0)
    record = HostRecord(
        name="u",
        role=HostRole.UPSTREAM,
        state=HostState.LIVE,
        data_centre="a",
        address="http://127.0.0.1:1",
    )
    hosts.add(record, 0.0)
    hosts.mark_leaving("u", 10.0)
    assert hosts.fetch(11.0) == (record,)
    assert hosts.fetch(12.0)[0].state is HostState.LEAVING


def test_started_upstream_is_listed_later_and_reclaimed() -> None:
    orders = make_orders()
    orders.execute(ORDER, 0.0)
    assert list_states(orders, 4.0) == []
    assert list_states(orders, 5.0) == [HostState.LIVE]
    assert orders.reclaim("b", (), 6.0) == []
    assert orders.reclaim("a", ("cheap",), 6.0) == [SPARE.url]
    assert list_states(orders, 6.0) == [HostState.LEAVING]


def test_repeated_order_changes_nothing() -> None:
    orders = make_orders()
    orders.execute(ORDER, 0.0)
    orders.execute(ORDER, 1.0)
    assert (len(orders.executed), orders.repeat_count) == (1, 1)
    assert orders.look_up("b", "1") is None


def test_order_without_spare_engine_is_refused() -> None:
    orders = make_orders()
    orders.execute(ORDER, 0.0)
    with pytest.raises(OrderRefusedError) as caught:
        orders.execute(attrs.evolve(ORDER, order_id="2", upstream="v"), 1.0)
    assert caught.value.code == "no_capacity"


def test_released_engine_is_spare_again() -> None:
    orders = make_orders()
    orders.execute(ORDER, 0.0)
    orders.execute(attrs.evolve(ORDER, order_id="2", action="release"), 1.0)
    orders.execute(attrs.evolve(ORDER, order_id="3", upstream="v"), 1.0)
    assert list_states(orders, 9.0) == [HostState.LIVE]


@pytest.mark.parametrize(("unfenced", "executed"), [((), 1), (("a",), 2)])
def test_only_some_data_centres_check_fencing(
    unfenced: tuple[str, ...], executed: int
) -> None:
    orders = make_orders(unfenced=unfenced)
    orders.execute(ORDER, 0.0)
    stale = attrs.evolve(ORDER, order_id="2", action="release", fencing=1)
    if unfenced:
        orders.execute(stale, 1.0)
    else:
        with pytest.raises(OrderRefusedError):
            orders.execute(stale, 1.0)
    assert (len(orders.executed), orders.stale_count) == (executed, 1)


def test_window_accepts_one_set_of_figures() -> None:
    usage = UsageStandin()
    usage.accept(REPORT)
    usage.accept(REPORT)
    with pytest.raises(ReportConflictError):
        usage.accept(attrs.evolve(REPORT, figures=UsageFigures(requests=2)))
    assert usage.repeats_by_window == {("w", 60): 1}
    assert usage.conflict_count == 1
