"""No order or report of a former holder arrives after its successor's first.

The order interface of the stand-in ignores fencing numbers here.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import random
import signal

from tests.controller.processes import DUTY
from tests.controller.processes import HOSTS
from tests.controller.processes import Fleet
from tests.controller.processes import is_stopped
from tests.controller.processes import running_fleet
from tests.controller.processes import wait_for

FORMER, SUCCESSOR = HOSTS
SETTLE_S = 1.5


async def has_orders(fleet: Fleet) -> bool:
    return bool(await fleet.fencings())


async def is_in_order(fleet: Fleet) -> bool:
    """Tell whether the former holder's orders all came first so far.

    A late one is a repeat of an order id that the successor has settled, so
    it is not among the orders carried out: the platform counts it as stale.
    """
    fencings = await fleet.fencings()
    stats = await fleet.ask("/stats")
    return fencings == sorted(fencings) and stats["orders_stale"] == 0


async def in_order(fleet: Fleet, *off: str) -> bool:
    """Judge the orders at the end.

    With a safeguard off, the late order must come, however busy the host is;
    waiting for it fails after a generous time.
    """
    if off:
        await wait_for(lambda: is_out_of_order(fleet))
        return False
    await asyncio.sleep(SETTLE_S)
    return await is_in_order(fleet)


async def is_out_of_order(fleet: Fleet) -> bool:
    return not await is_in_order(fleet)


async def has_late_report(fleet: Fleet) -> bool:
    usage = await fleet.ask("/v1/usage")
    return bool(usage["conflicts"] or usage["stale"])


async def freeze_before_send(directory: pathlib.Path, *off: str) -> bool:
    async with running_fleet(directory, "freeze-before-order", *off) as fleet:
        former = fleet.controllers[FORMER]
        await wait_for(lambda: is_stopped(former))
        await wait_for(fleet.ordered_by_two)
        os.kill(former.pid, signal.SIGCONT)
        if not off:
            assert await asyncio.to_thread(former.wait, 5) == -signal.SIGALRM
        return await in_order(fleet, *off)


async def freeze_before_report(directory: pathlib.Path, *off: str) -> bool:
    async with running_fleet(directory, "freeze-before-report", *off) as fleet:
        former = fleet.controllers[FORMER]
        await wait_for(lambda: is_stopped(former))
        await wait_for(fleet.reported_by_two)
        os.kill(former.pid, signal.SIGCONT)
        if off:
            await wait_for(lambda: has_late_report(fleet))
            return False
        assert await asyncio.to_thread(former.wait, 5) == -signal.SIGALRM
        await asyncio.sleep(SETTLE_S)
        return not await has_late_report(fleet)


async def freeze_with_bytes_in_socket(
    directory: pathlib.Path, *off: str
) -> bool:
    async with running_fleet(directory, "pad", *off) as fleet:
        former = fleet.controllers[FORMER]
        await wait_for(lambda: has_orders(fleet))
        fleet.orders_relay.trap = True
        await wait_for(lambda: fleet.orders_relay.held)
        os.kill(former.pid, signal.SIGSTOP)
        await wait_for(fleet.ordered_by_two)
        fleet.orders_relay.heal()
        return await in_order(fleet, *off)


async def kill_with_bytes_in_socket(directory: pathlib.Path, *off: str) -> bool:
    async with running_fleet(directory, "pad", *off) as fleet:
        former = fleet.controllers[FORMER]
        await wait_for(lambda: has_orders(fleet))
        fleet.orders_relay.trap = True
        await wait_for(lambda: fleet.orders_relay.held)
        former.kill()
        await wait_for(fleet.ordered_by_two)
        fleet.orders_relay.heal()
        return await in_order(fleet, *off)


async def with_and_without(
    scenario: Callable[..., Awaitable[bool]],
    directory: pathlib.Path,
    *off: str,
) -> tuple[bool, bool]:
    """Run a scenario with all safeguards, and with some switched off."""
    on_directory, off_directory = directory / "on", directory / "off"
    on_directory.mkdir()
    off_directory.mkdir()
    return await asyncio.gather(
        scenario(on_directory), scenario(off_directory, *off)
    )


async def test_holder_frozen_between_check_and_send_sends_nothing(
    tmp_path: pathlib.Path,
) -> None:
    safe, safe_without_timer = await with_and_without(
        freeze_before_send, tmp_path, "no-timer"
    )
    assert safe
    assert not safe_without_timer


async def test_frozen_reporter_sends_no_report_after_its_successor(
    tmp_path: pathlib.Path,
) -> None:
    safe, safe_without_timer = await with_and_without(
        freeze_before_report, tmp_path, "no-timer"
    )
    assert safe
    assert not safe_without_timer


async def test_bytes_in_the_socket_of_a_frozen_holder_never_arrive(
    tmp_path: pathlib.Path,
) -> None:
    safe, safe_without_user_timeout = await with_and_without(
        freeze_with_bytes_in_socket, tmp_path, "no-user-timeout"
    )
    assert safe
    assert not safe_without_user_timeout


async def test_bytes_in_the_socket_of_a_killed_holder_never_arrive(
    tmp_path: pathlib.Path,
) -> None:
    safe, safe_without_reset = await with_and_without(
        kill_with_bytes_in_socket, tmp_path, "no-linger", "no-user-timeout"
    )
    assert safe
    assert not safe_without_reset


async def test_holder_without_renewals_stops_before_the_successor_starts(
    tmp_path: pathlib.Path,
) -> None:
    async with running_fleet(tmp_path) as fleet:
        await wait_for(lambda: has_orders(fleet))
        fleet.store_relay.cut()
        await wait_for(fleet.ordered_by_two)
        fleet.store_relay.heal()
        assert await in_order(fleet)
        assert await fleet.holder_of(DUTY) == SUCCESSOR


async def test_holder_frozen_at_any_moment_leaves_the_orders_in_order(
    tmp_path: pathlib.Path,
) -> None:
    seeds = (1, 2, 3)
    directories = [tmp_path / str(seed) for seed in seeds]
    for directory in directories:
        directory.mkdir()
    assert all(await asyncio.gather(*map(freeze_at_random, directories, seeds)))


async def freeze_at_random(directory: pathlib.Path, seed: int) -> bool:
    async with running_fleet(directory) as fleet:
        former = fleet.controllers[FORMER]
        await wait_for(lambda: has_orders(fleet))
        await asyncio.sleep(random.Random(seed).uniform(0.0, 3.0))
        os.kill(former.pid, signal.SIGSTOP)
        await wait_for(fleet.ordered_by_two)
        os.kill(former.pid, signal.SIGCONT)
        assert await asyncio.to_thread(former.wait, 5) == -signal.SIGALRM
        return await in_order(fleet)


async def test_shutdown_hands_the_orders_over(tmp_path: pathlib.Path) -> None:
    async with running_fleet(tmp_path) as fleet:
        former = fleet.controllers[FORMER]
        await wait_for(lambda: has_orders(fleet))
        former.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(former.wait, 10) == 0
        await wait_for(fleet.ordered_by_two)
        assert await in_order(fleet)
