"""Orders that operators give one of the processes of a hot restart: in force in all of them, and stored."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from functools import partial
from pathlib import Path

import pytest

from loadbalancer.net.cordon_file import CordonFile
from loadbalancer.net.hot_restart import Predecessor, connect_to_predecessor
from loadbalancer.net.hot_restart.state_exchange import (
    ORDERS_PREFIX,
    decode_orders,
    encode_executed,
    encode_orders,
)
from loadbalancer.net.versioned_cordons import VersionedCordons
from loadbalancer.policy.executed_requests import ExecutedRequest
from tests.console_client import call_console
from tests.loopback import ProxyHarness, Upstream, run_scenario, status_of, wait_until

ORDERS = {
    "cordon": ("/admin/cordon", b"s0"),
    "uncordon": ("/admin/uncordon", b"s0"),
    "leave a zone": ("/admin/zone/leave", b"east force"),
    "return to a zone": ("/admin/zone/return", b"east"),
}
OPPOSITES = {
    "cordon": "uncordon",
    "uncordon": "cordon",
    "leave a zone": "return to a zone",
    "return to a zone": "leave a zone",
}
each_order = pytest.mark.parametrize("order", ORDERS)


async def give(harness: ProxyHarness, order: str) -> None:
    path, body = ORDERS[order]
    assert status_of(await call_console(harness, "POST", path, body)) == 200


def is_in_force(harness: ProxyHarness, order: str) -> bool:
    """Return whether the latest order is this one."""
    cordons = harness.proxy.cordons._file.cordons
    if order in ("cordon", "uncordon"):
        return ("s0" in harness.proxy.upstreams.cordoned) == ("s0" in cordons.servers) == (order == "cordon")
    is_evacuating = "east" in cordons.evacuations and cordons.evacuations["east"].is_evacuating
    ready = harness.proxy.zones()["east"].traffic_fraction
    return is_evacuating == (order == "leave a zone") and (ready == 0.0) == is_evacuating


def are_all_in(harnesses: Iterable[ProxyHarness], order: str) -> bool:
    """Return whether an order is the latest in all processes."""
    return all(is_in_force(harness, order) for harness in harnesses)


def two_zones() -> tuple[Upstream, Upstream]:
    return Upstream(), Upstream()


async def connect(folder: Path) -> Predecessor:
    connecting = asyncio.get_running_loop().run_in_executor(None, connect_to_predecessor, folder)
    predecessor = await connecting
    assert predecessor is not None
    return predecessor


async def list_zones(harness: ProxyHarness) -> None:
    """Put s0 in the zone east, and s1 in west."""
    first, second = harness.entries
    entries = [first | {"zone": "east"}, second | {"zone": "west"}]
    harness.discovery.publish(8, *entries, snapshot=True)
    await wait_until(lambda: harness.proxy.endpoint_list.revision == 8)


@each_order
@pytest.mark.parametrize("has_been_ordered", [False, True])
def test_an_order_after_the_predecessor_has_sent_its_state_holds_in_both_processes(
    *, has_been_ordered: bool, order: str, tmp_path: Path
) -> None:
    """Guards against a state sent at the start of a hot restart, which lifts what was ordered since."""

    async def scenario() -> None:
        async with ProxyHarness(*two_zones(), folder=tmp_path) as old:
            await list_zones(old)
            if has_been_ordered:
                await give(old, OPPOSITES[order])
            predecessor = await connect(tmp_path)
            await give(old, order)
            async with ProxyHarness(*two_zones(), folder=tmp_path, predecessor=predecessor) as new:
                await list_zones(new)
                await asyncio.sleep(0.3)  # both have read the file
                for process in (old, new):
                    assert is_in_force(process, order)
                saved = CordonFile(tmp_path)
                saved.refresh()
                assert saved.cordons == old.proxy.cordons._file.cordons

    run_scenario(scenario())


@each_order
@pytest.mark.parametrize("called", ["old", "new"])
@pytest.mark.parametrize("moment", ["before the start", "after it"])
def test_an_order_reaches_the_other_process_though_nothing_can_be_saved(
    moment: str, called: str, order: str, tmp_path: Path
) -> None:
    """Guards against orders that both processes of a hot restart answer with yes, and one of them follows."""

    async def scenario() -> None:
        (tmp_path / "cordons.lock").mkdir()  # opening it fails, as on a full disk
        async with ProxyHarness(*two_zones(), folder=tmp_path) as old:
            await list_zones(old)
            await give(old, OPPOSITES[order])
            predecessor = await connect(tmp_path)
            if moment == "before the start" and called == "old":
                await give(old, order)
            async with ProxyHarness(*two_zones(), folder=tmp_path, predecessor=predecessor) as new:
                await list_zones(new)
                await wait_until(lambda: is_in_force(new, OPPOSITES[order]) or is_in_force(new, order))
                if moment == "after it" or called == "new":
                    await give({"old": old, "new": new}[called], order)
                await wait_until(lambda: is_in_force(old, order) and is_in_force(new, order))
                await asyncio.sleep(0.3)  # several looks at the file
                for process in (old, new):
                    assert is_in_force(process, order)
            (tmp_path / "cordons.lock").rmdir()
            await wait_until((tmp_path / "cordons.json").exists)
            saved = CordonFile(tmp_path)
            saved.refresh()
            assert saved.cordons == old.proxy.cordons._file.cordons

    run_scenario(scenario())


def test_orders_reach_every_process_of_a_chain_of_upgrades(tmp_path: Path) -> None:
    """Guards against orders that a process in the middle keeps from one of its neighbours."""

    async def scenario() -> None:
        (tmp_path / "cordons.lock").mkdir()
        async with ProxyHarness(*two_zones(), folder=tmp_path) as first:
            second = ProxyHarness(*two_zones(), folder=tmp_path, predecessor=await connect(tmp_path))
            async with second:
                await list_zones(second)
                await wait_until(second.proxy.is_serving)
                third = ProxyHarness(*two_zones(), folder=tmp_path, predecessor=await connect(tmp_path))
                async with third:
                    processes = (first, second, third)
                    await wait_until(lambda: len(second.proxy.cordons._others) == 2)
                    for called, order in zip(processes, ("cordon", "uncordon", "cordon"), strict=True):
                        await give(called, order)
                        await wait_until(partial(are_all_in, processes, order))

    run_scenario(scenario())


def test_an_id_that_looks_like_orders_is_an_id() -> None:
    """Guards against a client that chooses an ID with which it can change cordons."""
    orders = VersionedCordons().with_cordon("s0", is_cordoned=True, now_ms=1.0, version=1.0)
    assert encode_orders(orders).startswith(ORDERS_PREFIX)
    assert decode_orders(encode_orders(orders)) == orders
    for name in (b"orders", b'orders": {'):
        assert not encode_executed([ExecutedRequest(name, 1.0)]).startswith(ORDERS_PREFIX)
