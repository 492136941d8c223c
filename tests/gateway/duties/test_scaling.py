"""Check how many upstreams are ordered, and when."""

from shallotfold._gateway.core.model import ScalingLimits
from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.ports import DutyOutcome
from shallotfold._gateway.core.ports import UpstreamCount
from shallotfold._gateway.duties.scaling import ScalingPlanner
from tests.gateway.factories import SERVICE
from tests.gateway.factories import make_upstream

PLACES = ("a", "b", "c", "d")


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


class Cloud:
    """Upstreams that come as they are ordered."""

    def __init__(self, spot_price_ratio: float = 0.22) -> None:
        self.service = make_service(spot_price_ratio)
        self.planner = ScalingPlanner()
        self.counts = {(place, False): 1 for place in PLACES}
        self.dry = False
        self.orders = 0
        self.fewest = len(PLACES)

    def upstreams(self) -> list[Upstream]:
        return [
            make_upstream(f"{place}{spot}{n}", data_centre=place, spot=spot)
            for (place, spot), count in self.counts.items()
            for n in range(count)
        ]

    def run(self, start_s: float, seconds: int) -> None:
        for tick in range(seconds):
            now_s = start_s + tick
            for order in self.planner.plan(
                self.service, self.upstreams(), now_s
            ):
                self.orders += 1
                self.planner.note_outcome(order, self.take(order), now_s)
            self.fewest = min(self.fewest, sum(self.counts.values()))

    def take(self, order: UpstreamCount) -> DutyOutcome:
        place = (order.data_centre, order.spot)
        if order.spot and self.dry and order.count > self.counts.get(place, 0):
            return DutyOutcome.UNAVAILABLE
        self.counts[place] = order.count
        limits = self.service.scaling
        assert limits is not None
        both = sum(self.counts.get((place[0], s), 0) for s in (True, False))
        assert both <= limits.maximum
        return DutyOutcome.DONE


def test_cheap_upstreams_replace_the_others_without_a_gap() -> None:
    cloud = Cloud()
    cloud.run(0.0, 20)
    assert cloud.fewest >= len(PLACES)
    assert all(cloud.counts[place, True] == 3 for place in PLACES)
    assert all(cloud.counts[place, False] == 0 for place in PLACES)


def test_a_settled_fleet_is_not_ordered_again() -> None:
    cloud = Cloud()
    cloud.run(0.0, 20)
    orders = cloud.orders
    cloud.run(20.0, 60)
    assert cloud.orders == orders


def test_a_reclaimed_data_centre_gets_an_ordinary_one_while_none_is_had() -> (
    None
):
    cloud = Cloud()
    cloud.run(0.0, 20)
    cloud.counts["b", True] = 0
    cloud.dry = True
    cloud.run(20.0, 8)
    assert cloud.counts["b", False] >= 1
    cloud.dry = False
    cloud.run(28.0, 20)
    assert cloud.counts["b", True] == 3
    assert cloud.counts["b", False] == 0


def test_without_cheap_upstreams_ordinary_ones_fill_half() -> None:
    """Found by a day: four times as many were paid through each shortage."""
    cloud = Cloud()
    cloud.run(0.0, 20)
    for place in PLACES:
        cloud.counts[place, True] = 0
    cloud.dry = True
    cloud.run(20.0, 8)
    assert sum(cloud.counts.values()) == 6


def test_dear_spot_is_not_ordered() -> None:
    cloud = Cloud(spot_price_ratio=0.9)
    cloud.run(0.0, 20)
    assert all(not cloud.counts.get((place, True)) for place in PLACES)


def test_an_order_that_was_lost_is_repeated() -> None:
    cloud = Cloud()
    cloud.run(0.0, 20)
    cloud.counts["c", True] = 1
    cloud.run(20.0, 10)
    assert cloud.counts["c", True] == 3
