"""Check how many upstreams are ordered, and when."""

from shallotfold._gateway.core.model import ScalingLimits
from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.ports import CapacityOrder
from shallotfold._gateway.core.ports import DutyOutcome
from shallotfold._gateway.duties.scaling import ScalingPlanner
from tests.gateway.factories import SERVICE
from tests.gateway.factories import make_upstream

DATA_CENTRES = ("a", "b", "c", "d")


def make_service(spot_price_ratio: float = 0.22) -> Service:
    return Service(
        name=SERVICE,
        scaling=ScalingLimits(
            minimum=1,
            maximum=3,
            boot_s=4.0,
            spot_price_ratio=spot_price_ratio,
            price_by_data_centre={"a": 0.85, "b": 1.2, "c": 1.0, "d": 1.1},
        ),
    )


class FakeCloud:
    """A platform that starts upstreams as soon as they are ordered."""

    def __init__(self, spot_price_ratio: float = 0.22) -> None:
        self.service = make_service(spot_price_ratio)
        self.planner = ScalingPlanner()
        self.counts = {(data_centre, False): 1 for data_centre in DATA_CENTRES}
        self.lacks_spot_capacity = False
        self.orders = 0
        self.min_total = len(DATA_CENTRES)

    def upstreams(self) -> list[Upstream]:
        return [
            make_upstream(
                f"{data_centre}{spot}{n}", data_centre=data_centre, spot=spot
            )
            for (data_centre, spot), count in self.counts.items()
            for n in range(count)
        ]

    def run(self, start_s: float, seconds: int) -> None:
        for tick in range(seconds):
            now_s = start_s + tick
            for order in self.planner.plan(
                self.service, self.upstreams(), now_s
            ):
                self.orders += 1
                self.planner.record_outcome(order, self.execute(order), now_s)
            self.min_total = min(self.min_total, sum(self.counts.values()))

    def execute(self, order: CapacityOrder) -> DutyOutcome:
        kind = (order.data_centre, order.spot)
        if (
            order.spot
            and self.lacks_spot_capacity
            and order.count > self.counts.get(kind, 0)
        ):
            return DutyOutcome.UNAVAILABLE
        self.counts[kind] = order.count
        limits = self.service.scaling
        assert limits is not None
        total = sum(self.counts.get((kind[0], s), 0) for s in (True, False))
        assert total <= limits.maximum
        return DutyOutcome.DONE


def test_spot_upstreams_replace_on_demand_ones_without_a_gap() -> None:
    cloud = FakeCloud()
    cloud.run(0.0, 20)
    assert cloud.min_total >= len(DATA_CENTRES)
    assert all(
        cloud.counts[data_centre, True] == 3 for data_centre in DATA_CENTRES
    )
    assert all(
        cloud.counts[data_centre, False] == 0 for data_centre in DATA_CENTRES
    )


def test_a_complete_fleet_gets_no_more_orders() -> None:
    cloud = FakeCloud()
    cloud.run(0.0, 20)
    orders = cloud.orders
    cloud.run(20.0, 60)
    assert cloud.orders == orders


def test_on_demand_upstreams_replace_reclaimed_ones_during_a_shortage() -> None:
    cloud = FakeCloud()
    cloud.run(0.0, 20)
    cloud.counts["b", True] = 0
    cloud.lacks_spot_capacity = True
    cloud.run(20.0, 8)
    assert cloud.counts["b", False] >= 1
    cloud.lacks_spot_capacity = False
    cloud.run(28.0, 20)
    assert cloud.counts["b", True] == 3
    assert cloud.counts["b", False] == 0


def test_on_demand_upstreams_fill_half_during_a_shortage() -> None:
    """Without the limit, shortages cost four times as many of them."""
    cloud = FakeCloud()
    cloud.run(0.0, 20)
    for data_centre in DATA_CENTRES:
        cloud.counts[data_centre, True] = 0
    cloud.lacks_spot_capacity = True
    cloud.run(20.0, 8)
    assert sum(cloud.counts.values()) == 6


def test_on_demand_upstreams_boot_while_spot_ones_are_tried_again() -> None:
    """A boot takes 4 s; each retry after 3 s cancelled those that booted.

    For six seconds after a loss of two data centres nothing was replaced.
    """
    planner = ScalingPlanner()
    service = make_service()
    counts_by_data_centre: dict[str, list[int]] = {"b": [], "d": []}
    live = [
        make_upstream(f"{name}1", data_centre=name, spot=True)
        for name in ("a", "c")
    ]
    for tick in range(40):
        now_s = tick * 0.5
        for order in planner.plan(service, live, now_s):
            counts = counts_by_data_centre.get(order.data_centre)
            is_unavailable = order.spot and counts is not None
            if not order.spot and counts is not None:
                counts.append(order.count)
            planner.record_outcome(
                order,
                DutyOutcome.UNAVAILABLE if is_unavailable else DutyOutcome.DONE,
                now_s,
            )
    for counts in counts_by_data_centre.values():
        assert counts == sorted(counts)
    # Four of the six that a shortage may have, with the two that live.
    assert sum(counts[-1] for counts in counts_by_data_centre.values()) == 4


def test_spot_upstreams_replace_on_demand_ones_that_are_the_most() -> None:
    """Those above half of a data centre's maximum were never released."""
    cloud = FakeCloud()
    cloud.counts = dict.fromkeys(cloud.counts, 2)
    cloud.run(0.0, 20)
    assert all(cloud.counts[name, True] == 3 for name in DATA_CENTRES)
    assert all(cloud.counts[name, False] == 0 for name in DATA_CENTRES)


def test_a_release_never_lowers_the_capacity_by_more_than_was_replaced() -> (
    None
):
    """With one of four replaced, all three on-demand ones were released."""
    service = make_service()
    planner = ScalingPlanner()
    live = [make_upstream(f"o{n}", data_centre="a") for n in range(2)]
    live.append(make_upstream("s1", data_centre="a", spot=True))
    counts = {
        order.spot: order.count
        for order in planner.plan(service, live, 0.0)
        if order.data_centre == "a"
    }
    assert counts[False] == 1


def test_nothing_is_ordered_in_an_evacuated_data_centre() -> None:
    orders = ScalingPlanner().plan(make_service(), [], 0.0, {"b"})
    assert {order.data_centre for order in orders} == {"a", "c", "d"}


def test_expensive_spot_upstreams_are_not_ordered() -> None:
    cloud = FakeCloud(spot_price_ratio=0.9)
    cloud.run(0.0, 20)
    assert all(
        not cloud.counts.get((data_centre, True))
        for data_centre in DATA_CENTRES
    )


def test_a_lost_order_is_sent_again() -> None:
    cloud = FakeCloud()
    cloud.run(0.0, 20)
    cloud.counts["c", True] = 1
    cloud.run(20.0, 10)
    assert cloud.counts["c", True] == 3
