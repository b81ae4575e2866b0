"""Operators' orders in two processes that hold older and newer states: the latest order for each holds."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Iterable
from functools import partial
from pathlib import Path
from typing import Protocol

import pytest

from loadbalancer.interface import ZoneEvacuation
from loadbalancer.net.clock import Clock
from loadbalancer.net.cordon_file import CordonFile
from loadbalancer.net.cordon_storage import read_saved_cordons
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

HOUR_MS = 3_600_000.0
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


class SteppedClock(Clock):
    """A clock that a test moves."""

    def __init__(self, now_ms: float = 1_800_000_000_000.0) -> None:
        super().__init__()
        self.now_ms = now_ms

    def now(self) -> float:
        return self.now_ms


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


class Folder:
    """A folder that can't be read, or written, for a while."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.is_writable = True
        self.is_readable = True
        read_bytes, write_text = Path.read_bytes, Path.write_text

        def read_or_fail(path: Path) -> bytes:
            if not self.is_readable:
                raise OSError(5, "Input/output error")
            return read_bytes(path)

        def write_or_fail(path: Path, text: str) -> int:
            if not self.is_writable:
                write_text(path, text[: len(text) // 2])
                raise OSError(28, "No space left on device")
            return write_text(path, text)

        monkeypatch.setattr(Path, "read_bytes", read_or_fail)
        monkeypatch.setattr(Path, "write_text", write_or_fail)


def poll(*files: CordonFile) -> None:
    """Let each process look at the file as it does every 0.1 s."""
    for file in files:
        file.save_pending()
        file.refresh()


def set_server(file: CordonFile, *, out: bool) -> None:
    file.set_cordon("s0", is_cordoned=out)


def set_zone(file: CordonFile, *, out: bool) -> None:
    file.set_evacuation(
        ZoneEvacuation(
            "z0", is_evacuating=out, started_at_ms=file._clock.now(), duration_ms=0.0, initial_fraction=1.0
        )
    )


class GiveOrder(Protocol):
    """Takes something out, or back."""

    def __call__(self, file: CordonFile, *, out: bool) -> None: ...


def is_out(file: CordonFile) -> bool:
    zone = file.cordons.evacuations.get("z0")
    return "s0" in file.cordons.servers or (zone is not None and zone.is_evacuating)


@pytest.mark.parametrize("give_order", [set_server, set_zone])
@pytest.mark.parametrize("is_last_out", [True, False])
def test_an_order_that_could_not_be_saved_does_not_undo_a_later_one_of_the_other_process(
    *,
    is_last_out: bool,
    give_order: GiveOrder,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against writing, once the disk has room, what has been countermanded meanwhile."""
    folder = Folder(monkeypatch)
    old, new = CordonFile(tmp_path), CordonFile(tmp_path)
    give_order(old, out=is_last_out)
    poll(new)
    folder.is_writable = False
    give_order(old, out=not is_last_out)
    folder.is_writable = True
    give_order(new, out=is_last_out)
    poll(old, new, old)
    assert is_out(old) is is_out(new) is is_last_out


@pytest.mark.parametrize("give_order", [set_server, set_zone])
def test_a_repeated_order_is_later_than_one_that_its_process_has_not_heard_of(
    give_order: GiveOrder, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call that is answered with yes, changes nothing, and is undone by an earlier one."""
    folder = Folder(monkeypatch)
    old, new = CordonFile(tmp_path), CordonFile(tmp_path)
    give_order(old, out=True)
    poll(new)
    folder.is_writable = False
    give_order(new, out=False)
    give_order(old, out=True)
    folder.is_writable = True
    poll(new, old, new)
    assert is_out(old)
    assert is_out(new)


def test_a_file_that_can_not_be_read_is_not_overwritten(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an order that is written with a state that lacks those of the other process."""
    folder = Folder(monkeypatch)
    old, new = CordonFile(tmp_path), CordonFile(tmp_path)
    old.set_cordon("s0", is_cordoned=True)
    folder.is_readable = False
    assert "could not be saved" in new.set_cordon("s1", is_cordoned=True)
    assert new.cordons.servers == {"s1"}
    folder.is_readable = True
    poll(new, old)
    assert old.cordons.servers == new.cordons.servers == {"s0", "s1"}


@pytest.mark.parametrize("step_ms", [-HOUR_MS, HOUR_MS])
@pytest.mark.parametrize("give_order", [set_server, set_zone])
def test_a_later_order_holds_though_the_clock_was_stepped_before_the_process_started(
    give_order: GiveOrder, step_ms: float, tmp_path: Path
) -> None:
    """Guards against orders that are older than those in the file by the clock alone."""
    clock = SteppedClock()
    old = CordonFile(tmp_path, clock)
    give_order(old, out=True)
    new = CordonFile(tmp_path, SteppedClock(clock.now_ms + step_ms))
    poll(new)
    give_order(new, out=False)
    poll(old)
    assert not is_out(old)
    assert not is_out(new)
    give_order(old, out=True)
    poll(new)
    assert is_out(old)
    assert is_out(new)
    assert all(at_ms <= clock.now_ms + step_ms for at_ms in new.cordons.returned_at_ms.values())


@pytest.mark.parametrize("is_last_out", [True, False])
def test_changes_of_a_process_that_writes_no_versions_hold(*, is_last_out: bool, tmp_path: Path) -> None:
    """Guards against taking the orders of an older version of the program for old orders."""
    first, second = CordonFile(tmp_path), CordonFile(tmp_path)
    set_server(first, out=not is_last_out)
    poll(second)
    older = json.loads((tmp_path / "cordons.json").read_text())
    older |= {"out": ["s0"], "back": {}} if is_last_out else {"out": [], "back": {"s0": 1.0}}
    (tmp_path / "cordons.json").write_text(json.dumps(older))
    poll(first, second, first)
    assert is_out(first) is is_out(second) is is_last_out
    set_server(second, out=not is_last_out)
    poll(first)
    assert is_out(first) is is_out(second) is not is_last_out


def test_a_process_that_is_killed_between_the_two_files_has_ordered_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against versions that are ahead of the cordons, and outweigh later orders."""
    old, new = CordonFile(tmp_path), CordonFile(tmp_path)
    set_server(old, out=True)
    poll(new)
    replace = Path.replace

    def kill(path: Path, target: Path) -> None:
        if target.name == "cordons.json":
            raise KeyboardInterrupt
        replace(path, target)

    monkeypatch.setattr(Path, "replace", kill)
    with pytest.raises(KeyboardInterrupt):
        set_server(old, out=False)
    monkeypatch.setattr(Path, "replace", replace)
    poll(new)
    assert is_out(new)
    third = CordonFile(tmp_path)
    poll(third)
    assert is_out(third)
    set_server(third, out=False)
    poll(new)
    assert not is_out(new)


def test_what_the_predecessor_sent_holds_while_the_file_can_not_be_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that serves for a moment without any cordon."""
    folder = Folder(monkeypatch)
    old, new = CordonFile(tmp_path), CordonFile(tmp_path)
    set_server(old, out=True)
    saved = read_saved_cordons(tmp_path)
    folder.is_readable = False
    poll(new)
    new.adopt(old.encode(), saved)
    assert is_out(new)
    folder.is_readable = True
    poll(new, old)
    assert is_out(new)
    assert is_out(old)


def test_what_the_other_process_has_told_and_saved_is_not_saved_again(tmp_path: Path) -> None:
    """Guards against writes, and a log line on a folder that failed, for each order of the other process."""
    old, new = CordonFile(tmp_path), CordonFile(tmp_path)
    for out in (True, False):
        set_server(old, out=out)
        assert new.merge(old.state.of_server("s0"))
        assert not new.merge(old.state)
        assert not new.save_pending()
        assert new.state == old.state


@pytest.mark.parametrize("seed", range(60))
def test_the_latest_orders_hold_in_all_processes_whatever_fails_in_between(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against any mixture of orders, upgrades and a folder that fails for a while."""
    rng = random.Random(seed)
    folder = Folder(monkeypatch)
    clock = SteppedClock()
    processes = [CordonFile(tmp_path, clock)]
    wanted: dict[str, bool] = {}
    for _ in range(80):
        clock.now_ms += rng.choice([0.01, 1.0, 30.0, 400.0])
        process = rng.choice(processes)
        kind = rng.choice(["server", "server", "zone", "poll", "poll", "folder", "upgrade"])
        name = f"{kind[0]}{rng.randrange(3)}"
        is_wanted = rng.random() < 0.5
        if kind == "server":
            process.set_cordon(name, is_cordoned=is_wanted)
            wanted[name] = is_wanted
        elif kind == "zone":
            process.set_evacuation(ZoneEvacuation(name, is_wanted, clock.now_ms, 0.0, 1.0))
            wanted[name] = is_wanted
        elif kind == "poll":
            poll(process)
        elif kind == "folder":
            folder.is_writable = rng.random() < 0.6
            folder.is_readable = rng.random() < 0.8
        else:
            if len(processes) > 1:  # the first one ends, once it has saved what it owes
                folder.is_writable = folder.is_readable = True
                poll(*processes, *processes)
            saved = read_saved_cordons(tmp_path)
            sent = processes[-1].encode()
            if rng.random() < 0.5:
                processes[-1].set_cordon(name, is_cordoned=is_wanted)
                wanted[name] = is_wanted
            new = CordonFile(tmp_path, clock)
            poll(new)
            new.adopt(sent, saved)
            processes = [processes[-1], new]
            if not (folder.is_writable and folder.is_readable):
                # What comes between is only in memory; the file has it before the process ends.
                folder.is_writable = folder.is_readable = True
                poll(*processes, *processes)
    folder.is_writable = folder.is_readable = True
    poll(*processes, *processes)
    for process in processes:
        cordons = process.cordons
        zones = {zone for zone, order in cordons.evacuations.items() if order.is_evacuating}
        assert {name for name, is_wanted in wanted.items() if is_wanted} == cordons.servers | zones


def test_a_busy_lock_holds_up_the_first_look_at_the_file_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that is held up ten times a second by another one that hangs."""
    naps: list[float] = []
    monkeypatch.setattr("loadbalancer.net.cordon_storage.time.sleep", naps.append)
    file, other = CordonFile(tmp_path), CordonFile(tmp_path)
    set_server(other, out=True)
    poll(file)
    set_server(other, out=False)
    assert other._storage is not None
    with other._storage.locked():
        poll(file)
        assert not naps
        assert is_out(file)
        poll(CordonFile(tmp_path))
        assert naps
        set_zone(file, out=True)
    poll(file, other)
    for process in (file, other):
        assert "s0" not in process.cordons.servers
        assert is_out(process)
