"""Operators' orders in two processes that hold older and newer states: the latest order for each holds."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Protocol

import pytest

from loadbalancer.interface import ZoneEvacuation
from loadbalancer.net.clock import Clock
from loadbalancer.net.cordon_file import CordonFile
from loadbalancer.net.cordon_storage import read_saved_cordons

HOUR_MS = 3_600_000.0


class SteppedClock(Clock):
    """A clock that a test moves."""

    def __init__(self, now_ms: float = 1_800_000_000_000.0) -> None:
        super().__init__()
        self.now_ms = now_ms

    def now(self) -> float:
        return self.now_ms


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
