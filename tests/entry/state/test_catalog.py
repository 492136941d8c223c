from shallotfold._entry.state.catalog import build_catalog
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Offer
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState


def test_ordered_upstream_gets_the_credential_of_its_offer() -> None:
    offer = Offer(
        name="cheap-a", data_centre="a", model="m", credential="engines"
    )
    host = HostRecord(
        name="ordered-1",
        role=HostRole.UPSTREAM,
        state=HostState.LIVE,
        data_centre="a",
        address="http://127.0.0.1:1",
        offer="cheap-a",
    )
    catalog = build_catalog(
        Configuration(offers_by_name={"cheap-a": offer}), [host]
    )
    assert catalog.upstreams_by_name["ordered-1"].credential == "engines"
