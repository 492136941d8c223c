import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib

import attrs
import pytest

from shallotfold._errors import ConfigurationRaceError
from shallotfold._errors import InvalidInputError
from shallotfold._errors import StoreUnavailableError
from shallotfold._errors import SubmissionUnknownError
from shallotfold._fleet import configuration_store
from shallotfold._fleet.configuration_reader import ConfigurationReader
from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._fleet.manifest import CHUNK_PREFIX
from shallotfold._fleet.manifest import MANIFEST_KEY
from shallotfold._fleet.manifest import RETAINED_VERSIONS
from shallotfold._fleet.manifest import load_manifest
from shallotfold._model.configuration import Budget
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import KeyDigest
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Workspace
from shallotfold._model.serialization import dump_configuration
from shallotfold._standin.store import StoreFault
from shallotfold._standin.store import StoreStandin

WHO = "ada"
WHY = "a test"


def make_document(price: float = 1.0) -> bytes:
    return dump_configuration(
        Configuration(budget=Budget(max_price_per_hour=price))
    )


def make_large_configuration(workspace_count: int) -> Configuration:
    def make_workspace(index: int) -> Workspace:
        name = f"workspace-{index:05}"
        return Workspace(
            name=name,
            keys=tuple(
                KeyDigest(
                    key_id=f"key-{number}",
                    sha256=hashlib.sha256(
                        f"{index}-{number}".encode()
                    ).hexdigest(),
                )
                for number in range(2)
            ),
            classes=("chat", "tag"),
            default_class="chat",
        )

    return Configuration(
        classes_by_name={
            "chat": RequestClass(name="chat", tier=1),
            "tag": RequestClass(name="tag", tier=2),
        },
        workspaces_by_name={
            item.name: item
            for item in map(make_workspace, range(workspace_count))
        },
    )


@attrs.define
class HookedStore(StoreStandin):
    """Run each hook once, before the next manifest swap or delete."""

    before_swap: Callable[[], Awaitable[None]] | None = None
    before_delete: Callable[[], Awaitable[None]] | None = None
    swaps_without_response: int = 0
    swaps_to_drop: int = 0

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: str = "",
    ) -> int:
        if key != MANIFEST_KEY:
            return await super().compare_and_swap(
                key, expected_revision, value, lease_id
            )
        hook, self.before_swap = self.before_swap, None
        if hook is not None:
            await hook()
        if self.swaps_to_drop > 0:
            self.swaps_to_drop -= 1
            raise StoreUnavailableError("dropped before the effect")
        revision = await super().compare_and_swap(
            key, expected_revision, value, lease_id
        )
        if self.swaps_without_response > 0:
            self.swaps_without_response -= 1
            raise StoreUnavailableError("lost after the effect")
        return revision

    async def delete(self, key: str, expected_revision: int) -> None:
        hook, self.before_delete = self.before_delete, None
        if hook is not None:
            await hook()
        await super().delete(key, expected_revision)


@pytest.fixture(autouse=True)
def _retry_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration_store, "_FIRST_BACKOFF_S", 0.0)


def run(scenario: Callable[[HookedStore], Awaitable[None]]) -> None:
    async def main() -> None:
        await asyncio.wait_for(scenario(HookedStore()), 60)

    asyncio.run(main())


def chunk_count(store: StoreStandin) -> int:
    return len(store.snapshot(CHUNK_PREFIX))


def newest_version(store: StoreStandin) -> int:
    (value,) = store.snapshot(MANIFEST_KEY)
    return load_manifest(value.value).version


def test_submitted_version_is_read_back() -> None:
    async def scenario(store: HookedStore) -> None:
        config_store = ConfigurationStore(store, wall_clock=lambda: 5.0)
        assert (await config_store.read()).version == 0
        assert await config_store.submit(make_document(), 0, WHO, WHY) == 1
        stored = await config_store.read()
        assert stored.version == 1
        assert stored.document == make_document()
        (submission,) = stored.history
        assert (submission.who, submission.why) == (WHO, WHY)
        assert submission.submitted_s == 5.0
        assert submission.changed == ("budget",)

    run(scenario)


def test_invalid_document_is_refused_before_it_is_stored() -> None:
    async def scenario(store: HookedStore) -> None:
        document = dump_configuration(Configuration(usage_window_s=0))
        with pytest.raises(InvalidInputError) as caught:
            await ConfigurationStore(store).submit(document, 0, "", "")
        assert [fault.key for fault in caught.value.faults] == [
            "usage_window_s",
            "who",
            "why",
        ]
        assert store.snapshot() == ()

    run(scenario)


def test_8700_workspaces_fit_and_a_change_rewrites_one_chunk() -> None:
    async def scenario(store: HookedStore) -> None:
        config_store = ConfigurationStore(store)
        configuration = make_large_configuration(8700)
        document = dump_configuration(configuration)
        await config_store.submit(document, 0, WHO, WHY)
        assert (await config_store.read()).document == document
        sizes = [len(value.value) for value in store.snapshot(CHUNK_PREFIX)]
        # 3.5 MB in 129 chunks of at most 30 kB.
        assert 2_500_000 < len(document) < 4_000_000
        assert max(sizes) < 50_000
        assert len(store.snapshot(MANIFEST_KEY)[0].value) < 20_000
        writes_before = store.calls_by_name["compare_and_swap"]
        name = "workspace-00042"
        changed = attrs.evolve(
            configuration,
            workspaces_by_name={
                **configuration.workspaces_by_name,
                name: attrs.evolve(
                    configuration.workspaces_by_name[name], keys=()
                ),
            },
        )
        await config_store.submit(dump_configuration(changed), 1, WHO, WHY)
        assert store.calls_by_name["compare_and_swap"] - writes_before == 2

    run(scenario)


def test_race_error_names_the_winner_and_the_changes() -> None:
    async def scenario(store: HookedStore) -> None:
        config_store = ConfigurationStore(store)
        await config_store.submit(make_document(1.0), 0, WHO, WHY)

        async def submit_first() -> None:
            await ConfigurationStore(store).submit(
                dump_configuration(Configuration(usage_window_s=30)),
                1,
                "grace",
                "shorter windows",
            )

        store.before_swap = submit_first
        with pytest.raises(ConfigurationRaceError) as caught:
            await config_store.submit(make_document(2.0), 1, WHO, WHY)
        assert caught.value.actual_version == 2
        assert caught.value.changed == ("budget", "usage_window_s")
        assert "grace" in str(caught.value)
        assert "base version 2" in str(caught.value)
        assert (await config_store.read()).configuration.usage_window_s == 30

    run(scenario)


def test_stale_base_is_refused_without_a_write() -> None:
    async def scenario(store: HookedStore) -> None:
        config_store = ConfigurationStore(store)
        await config_store.submit(make_document(1.0), 0, WHO, WHY)
        revision = store.revision
        with pytest.raises(ConfigurationRaceError):
            await config_store.submit(make_document(2.0), 0, WHO, WHY)
        assert store.revision == revision

    run(scenario)


def test_one_of_many_racing_operators_wins() -> None:
    async def scenario(store: HookedStore) -> None:
        results = await asyncio.gather(
            *(
                ConfigurationStore(store).submit(
                    make_document(price), 0, WHO, WHY
                )
                for price in range(1, 9)
            ),
            return_exceptions=True,
        )
        assert results.count(1) == 1
        races = [r for r in results if isinstance(r, ConfigurationRaceError)]
        assert len(races) == 7
        stored = await ConfigurationStore(store).read()
        winner = results.index(1) + 1
        assert stored.configuration.budget.max_price_per_hour == winner
        assert chunk_count(store) == 2

    run(scenario)


def test_submission_succeeds_although_responses_to_its_swap_are_lost() -> None:
    async def scenario(store: HookedStore) -> None:
        store.swaps_without_response = 2
        version = await ConfigurationStore(store).submit(
            make_document(), 0, WHO, WHY
        )
        assert version == newest_version(store) == 1

    run(scenario)


def test_accepted_swap_is_found_in_the_history_of_a_later_version() -> None:
    async def scenario(store: HookedStore) -> None:
        store.swaps_without_response = 1
        first = ConfigurationStore(store)
        real_sleep = asyncio.sleep

        async def submit_second() -> None:
            while not store.snapshot(MANIFEST_KEY):
                await real_sleep(0)
            await ConfigurationStore(store).submit(
                make_document(2.0), 1, "grace", WHY
            )

        version, _ = await asyncio.gather(
            first.submit(make_document(1.0), 0, WHO, WHY), submit_second()
        )
        assert version == 1
        assert newest_version(store) == 2

    run(scenario)


def test_swap_lost_before_its_effect_is_retried() -> None:
    async def scenario(store: HookedStore) -> None:
        store.swaps_to_drop = 2
        await ConfigurationStore(store).submit(make_document(), 0, WHO, WHY)
        assert newest_version(store) == 1

    run(scenario)


@pytest.mark.parametrize("taken", [True, False])
def test_unknown_outcome_is_neither_refusal_nor_acceptance(
    *, taken: bool
) -> None:
    async def scenario(store: HookedStore) -> None:
        async def break_the_store() -> None:
            fault = StoreFault.LOSE_ANSWERS if taken else StoreFault.DOWN
            store.set_fault(fault)

        store.before_swap = break_the_store
        config_store = ConfigurationStore(store)
        with pytest.raises(SubmissionUnknownError) as caught:
            await config_store.submit(make_document(), 0, WHO, WHY)
        store.set_fault(StoreFault.OK)
        submission = await config_store.find_submission(caught.value.token)
        assert (submission is not None) == taken

    run(scenario)


def test_nothing_is_submitted_to_a_store_that_is_down() -> None:
    async def scenario(store: HookedStore) -> None:
        store.set_fault(StoreFault.DOWN)
        with pytest.raises(StoreUnavailableError):
            await ConfigurationStore(store).submit(make_document(), 0, WHO, WHY)
        store.set_fault(StoreFault.OK)
        assert store.snapshot() == ()

    run(scenario)


def test_old_chunks_are_deleted_after_the_retained_versions() -> None:
    async def scenario(store: HookedStore) -> None:
        config_store = ConfigurationStore(store)
        for version in range(3 * RETAINED_VERSIONS):
            await config_store.submit(make_document(version), version, WHO, WHY)
        # The retained documents, the newest one and the empty bucket.
        assert chunk_count(store) <= RETAINED_VERSIONS + 2
        assert (await config_store.read()).version == 3 * RETAINED_VERSIONS

    run(scenario)


def test_reader_of_a_recent_manifest_finds_its_chunks() -> None:
    async def scenario(store: HookedStore) -> None:
        config_store = ConfigurationStore(store)
        await config_store.submit(make_document(0.0), 0, WHO, WHY)
        reader = ConfigurationReader(store)
        manifest, _ = await reader.read_manifest()
        for version in range(1, RETAINED_VERSIONS):
            await config_store.submit(make_document(version), version, WHO, WHY)
        assert (await reader.read_version(manifest)).version == 1

    run(scenario)


def test_collection_keeps_a_chunk_that_a_later_writer_references() -> None:
    async def scenario(store: HookedStore) -> None:
        config_store = ConfigurationStore(store)
        base = RETAINED_VERSIONS + 1
        for version in range(base):
            await config_store.submit(make_document(version), version, WHO, WHY)
        submitted: list[int] = []

        async def reuse_the_chunk() -> None:
            submitted.append(
                await ConfigurationStore(store).submit(
                    make_document(0.0), base + 1, WHO, WHY
                )
            )

        store.before_delete = reuse_the_chunk
        await config_store.submit(make_document(99), base, WHO, WHY)
        assert submitted == [base + 2]
        newest = await ConfigurationStore(store).read()
        assert newest.document == make_document(0.0)

    run(scenario)
