"""Check the load estimate of upstreams."""

from hypothesis import given
from hypothesis import strategies as st

from shallotfold._gateway.deciding.events import RequestLoad
from shallotfold._gateway.deciding.upstream_loads import PEER_LOAD_MAX_AGE_S
from shallotfold._gateway.deciding.upstream_loads import UpstreamLoads

loads_by_upstream = st.dictionaries(
    st.sampled_from("uvw"),
    st.builds(RequestLoad, st.integers(0, 9), st.integers(0, 9_000)),
)
report_lists = st.lists(
    st.tuples(st.sampled_from("abc"), loads_by_upstream, st.floats(0.0, 1.5))
)


@given(report_lists)
def test_total_is_the_sum_of_the_newest_reports(
    reports: list[tuple[str, dict[str, RequestLoad], float]],
) -> None:
    estimate = UpstreamLoads()
    newest: dict[str, tuple[float, dict[str, RequestLoad]]] = {}
    now_s = 0.0
    for peer, loads, pause_s in reports:
        now_s += pause_s
        estimate.record_peer_loads(peer, loads, now_s)
        estimate.drop_expired(now_s)
        newest[peer] = (now_s, loads)
    unexpired = [
        loads
        for at_s, loads in newest.values()
        if at_s >= now_s - PEER_LOAD_MAX_AGE_S
    ]
    for upstream in "uvw":
        total = estimate.total_load(upstream)
        peer_loads = [
            loads[upstream] for loads in unexpired if upstream in loads
        ]
        assert total.requests == sum(load.requests for load in peer_loads)
        assert total.pending_tokens == sum(
            load.pending_tokens for load in peer_loads
        )
