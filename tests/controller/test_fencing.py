"""No order or report of a former holder arrives after its successor's first.

The order interface of the stand-in does not check fencing tokens here.
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

FORMER_HOLDER, SUCCESSOR = HOSTS
LATE_ARRIVAL_WAIT_S = 1.5


async def has_orders(fleet: Fleet) -> bool:
    return bool(await fleet.fencing_tokens())


async def orders_are_in_sequence(fleet: Fleet) -> bool:
    """Tell whether so far the former holder's orders all arrived first.

    A late order repeats an order id whose outcome the successor has recorded.
    So it is not among the executed orders; the platform counts it as stale.
    """
    fencing_tokens = await fleet.fencing_tokens()
    stats = await fleet.get_json("/stats")
    return (
        fencing_tokens == sorted(fencing_tokens) and stats["orders_stale"] == 0
    )


async def orders_stay_in_sequence(
    fleet: Fleet, *disabled_safeguards: str
) -> bool:
    """Check the sequence of orders at the end.

    With a safeguard disabled, a late order must arrive. On a busy host this
    can take long, so the wait for it has a generous timeout.
    """
    if disabled_safeguards:
        await wait_for(lambda: orders_are_out_of_sequence(fleet))
        return False
    await asyncio.sleep(LATE_ARRIVAL_WAIT_S)
    return await orders_are_in_sequence(fleet)


async def orders_are_out_of_sequence(fleet: Fleet) -> bool:
    return not await orders_are_in_sequence(fleet)


async def has_late_report(fleet: Fleet) -> bool:
    usage = await fleet.get_json("/v1/usage")
    return bool(usage["conflicts"] or usage["stale"])


async def pause_before_send(
    directory: pathlib.Path, *disabled_safeguards: str
) -> bool:
    async with running_fleet(
        directory, "freeze-before-order", *disabled_safeguards
    ) as fleet:
        former_holder = fleet.controllers[FORMER_HOLDER]
        await wait_for(lambda: is_stopped(former_holder))
        await wait_for(fleet.two_holders_ordered)
        os.kill(former_holder.pid, signal.SIGCONT)
        if not disabled_safeguards:
            assert (
                await asyncio.to_thread(former_holder.wait, 5)
                == -signal.SIGALRM
            )
        return await orders_stay_in_sequence(fleet, *disabled_safeguards)


async def pause_before_report(
    directory: pathlib.Path, *disabled_safeguards: str
) -> bool:
    async with running_fleet(
        directory, "freeze-before-report", *disabled_safeguards
    ) as fleet:
        former_holder = fleet.controllers[FORMER_HOLDER]
        await wait_for(lambda: is_stopped(former_holder))
        await wait_for(fleet.two_holders_reported)
        os.kill(former_holder.pid, signal.SIGCONT)
        if disabled_safeguards:
            await wait_for(lambda: has_late_report(fleet))
            return False
        assert await asyncio.to_thread(former_holder.wait, 5) == -signal.SIGALRM
        await asyncio.sleep(LATE_ARRIVAL_WAIT_S)
        return not await has_late_report(fleet)


async def pause_with_bytes_in_socket(
    directory: pathlib.Path, *disabled_safeguards: str
) -> bool:
    async with running_fleet(directory, "pad", *disabled_safeguards) as fleet:
        former_holder = fleet.controllers[FORMER_HOLDER]
        await wait_for(lambda: has_orders(fleet))
        fleet.orders_proxy.cut_on_post = True
        await wait_for(lambda: fleet.orders_proxy.cut_count)
        os.kill(former_holder.pid, signal.SIGSTOP)
        await wait_for(fleet.two_holders_ordered)
        fleet.orders_proxy.restore()
        return await orders_stay_in_sequence(fleet, *disabled_safeguards)


async def kill_with_bytes_in_socket(
    directory: pathlib.Path, *disabled_safeguards: str
) -> bool:
    async with running_fleet(directory, "pad", *disabled_safeguards) as fleet:
        former_holder = fleet.controllers[FORMER_HOLDER]
        await wait_for(lambda: has_orders(fleet))
        fleet.orders_proxy.cut_on_post = True
        await wait_for(lambda: fleet.orders_proxy.cut_count)
        former_holder.kill()
        await wait_for(fleet.two_holders_ordered)
        fleet.orders_proxy.restore()
        return await orders_stay_in_sequence(fleet, *disabled_safeguards)


async def run_with_and_without(
    scenario: Callable[..., Awaitable[bool]],
    directory: pathlib.Path,
    *disabled_safeguards: str,
) -> tuple[bool, bool]:
    """Run a scenario with all safeguards, and with some disabled."""
    on_directory, off_directory = directory / "on", directory / "off"
    on_directory.mkdir()
    off_directory.mkdir()
    return await asyncio.gather(
        scenario(on_directory), scenario(off_directory, *disabled_safeguards)
    )


async def test_holder_frozen_between_check_and_send_sends_nothing(
    tmp_path: pathlib.Path,
) -> None:
    safe, safe_without_timer = await run_with_and_without(
        pause_before_send, tmp_path, "no-timer"
    )
    assert safe
    assert not safe_without_timer


async def test_frozen_reporter_sends_no_report_after_its_successor(
    tmp_path: pathlib.Path,
) -> None:
    safe, safe_without_timer = await run_with_and_without(
        pause_before_report, tmp_path, "no-timer"
    )
    assert safe
    assert not safe_without_timer


async def test_bytes_in_the_socket_of_a_frozen_holder_never_arrive(
    tmp_path: pathlib.Path,
) -> None:
    safe, safe_without_user_timeout = await run_with_and_without(
        pause_with_bytes_in_socket, tmp_path, "no-user-timeout"
    )
    assert safe
    assert not safe_without_user_timeout


async def test_bytes_in_the_socket_of_a_killed_holder_never_arrive(
    tmp_path: pathlib.Path,
) -> None:
    safe, safe_without_reset = await run_with_and_without(
        kill_with_bytes_in_socket, tmp_path, "no-linger", "no-user-timeout"
    )
    assert safe
    assert not safe_without_reset


async def test_holder_without_renewals_stops_before_the_successor_starts(
    tmp_path: pathlib.Path,
) -> None:
    async with running_fleet(tmp_path) as fleet:
        await wait_for(lambda: has_orders(fleet))
        fleet.store_proxy.cut()
        await wait_for(fleet.two_holders_ordered)
        fleet.store_proxy.restore()
        assert await orders_stay_in_sequence(fleet)
        assert await fleet.holder_of(DUTY) == SUCCESSOR


async def test_orders_stay_in_sequence_when_a_holder_freezes_at_a_random_time(
    tmp_path: pathlib.Path,
) -> None:
    seeds = (1, 2, 3)
    directories = [tmp_path / str(seed) for seed in seeds]
    for directory in directories:
        directory.mkdir()
    assert all(await asyncio.gather(*map(pause_at_random, directories, seeds)))


async def pause_at_random(directory: pathlib.Path, seed: int) -> bool:
    async with running_fleet(directory) as fleet:
        former_holder = fleet.controllers[FORMER_HOLDER]
        await wait_for(lambda: has_orders(fleet))
        await asyncio.sleep(random.Random(seed).uniform(0.0, 3.0))
        os.kill(former_holder.pid, signal.SIGSTOP)
        await wait_for(fleet.two_holders_ordered)
        os.kill(former_holder.pid, signal.SIGCONT)
        assert await asyncio.to_thread(former_holder.wait, 5) == -signal.SIGALRM
        return await orders_stay_in_sequence(fleet)


async def test_shutdown_hands_the_orders_over(tmp_path: pathlib.Path) -> None:
    async with running_fleet(tmp_path) as fleet:
        former_holder = fleet.controllers[FORMER_HOLDER]
        await wait_for(lambda: has_orders(fleet))
        former_holder.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(former_holder.wait, 10) == 0
        await wait_for(fleet.two_holders_ordered)
        assert await orders_stay_in_sequence(fleet)
