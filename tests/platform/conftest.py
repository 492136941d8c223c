"""Run coroutines against the stand-in of the platform's store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from shallotfold._runtime.loop import new_event_loop
from shallotfold._settings.addresses import Address
from shallotfold.platform.store import PlatformStore
from tests.gateway.backends import Backend
from tests.platform.store_standin import StoreStandIn

StoreScenario = Callable[[PlatformStore, StoreStandIn], Awaitable[None]]


@pytest.fixture
def run_with_store() -> Callable[[StoreScenario], None]:
    def run(scenario: StoreScenario) -> None:
        async def run_scenario() -> None:
            standin = StoreStandIn()
            backend = Backend(standin.respond)
            await backend.start()
            store = PlatformStore(Address("127.0.0.1", backend.port))
            try:
                await scenario(store, standin)
            finally:
                await backend.stop()

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run_scenario())

    return run
