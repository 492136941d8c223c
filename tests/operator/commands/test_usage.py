from shallotfold._fleet.usage_ledger import FrozenWindow
from shallotfold._fleet.usage_ledger import UsageLedger
from shallotfold._fleet.usage_ledger import encode_frozen
from shallotfold._fleet.usage_ledger import frozen_key
from shallotfold._operator.commands.usage import read_usage
from shallotfold._services.ports import UsageFigures
from shallotfold._standin.store import StoreStandin


async def test_usage_lists_frozen_figures_by_window_and_workspace() -> None:
    store = StoreStandin()
    for window, requests in ((120, 2), (60, 5)):
        frozen = FrozenWindow(
            shard=1,
            window=window,
            figures_by_workspace={
                "north": UsageFigures(requests=requests, output_tokens=10),
                "cedar": UsageFigures(requests=1),
            },
            late_by_workspace={"north": UsageFigures(requests=1)},
            ledger=UsageLedger(),
        )
        await store.compare_and_swap(
            frozen_key(1, window), 0, encode_frozen(frozen)
        )
    rows = await read_usage(store)
    assert [(r.window, r.workspace, r.figures.requests) for r in rows] == [
        (60, "cedar", 1),
        (60, "north", 5),
        (120, "cedar", 1),
        (120, "north", 2),
    ]
    assert [row.late.requests for row in rows] == [0, 1, 0, 1]
