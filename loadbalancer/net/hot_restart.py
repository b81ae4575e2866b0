"""What one process of the balancer leaves the next, in the folder that both may write.

Cordons stand in one file. It is changed under a lock and replaced in one step, so that two processes can
serve operators at once, and a reader never sees half of it. Content that can't be read is passed over.

All else goes over a Unix socket. The next process connects and is sent the listening socket and what was
learned. When it is ready it says so; the one before it then accepts no more and, until it ends, tells how
many descriptors it still holds. So there is one queue of callers, never closed, and one of the two accepts.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import math
import os
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, Protocol

from loadbalancer.interface import ZoneEvacuation

BACK_MS = 600_000.0  # so long a return is remembered: longer than any server stays cold
LOCK_TRIES, LOCK_PAUSE_S = 20, 0.005  # the lock is held for one small write; we do not wait for a stuck one
FILE_MAX = 1_000_000
STATE_MAX = 16_000_000
ANSWER_S = 1.0  # the other process answers at once or not at all
TELL_S = 0.05  # between the counts that the older process sends
READY = b"ready\n"


@dataclass(frozen=True)
class Cordons:
    """What operators hold out, and when they put back what they held (Unix milliseconds)."""

    out: frozenset[str] = frozenset()
    back: dict[str, float] = field(default_factory=dict)
    zones: dict[str, ZoneEvacuation] = field(default_factory=dict)
    """What operators last said of each zone."""

    def changed(self, server: str, out: bool, now_ms: float) -> Cordons:
        """With one server taken out, or put back; what changes nothing keeps the time of its return."""
        if out == (server in self.out):
            return self
        back = {name: at for name, at in self.back.items() if name != server and at > now_ms - BACK_MS}
        if out:
            return replace(self, out=self.out | {server}, back=back)
        return replace(self, out=self.out - {server}, back=back | {server: now_ms})

    def moved(self, held: ZoneEvacuation) -> Cordons:
        """With a zone left, or come back to; one that has long been back in full is forgotten."""
        kept = {
            name: one for name, one in self.zones.items()
            if one.is_evacuating or one.started_at_ms + one.duration_ms > held.started_at_ms - BACK_MS
        }  # fmt: skip
        return replace(self, zones=kept | {held.zone: held})


def _read_cordons(raw: Any) -> Cordons:
    """Cordons from their form in the file and between processes; ValueError if it is anything else."""
    if not isinstance(raw, dict) or not isinstance(raw.get("out"), list):
        raise ValueError("not a file of cordons")
    back = raw.get("back")
    if not isinstance(back, dict) or not all(isinstance(name, str) and name for name in raw["out"]):
        raise ValueError("not a file of cordons")
    if not all(type(at) in (int, float) and math.isfinite(at) for at in back.values()):
        raise ValueError("not the times of returns")
    zones = _read_zones(raw.get("zones", {}))  # a version before this one has none
    return Cordons(frozenset(raw["out"]), {name: float(at) for name, at in back.items()}, zones)


def _read_zones(raw: Any) -> dict[str, ZoneEvacuation]:
    try:
        zones = {
            name: ZoneEvacuation(name, bool(out), *map(float, rest)) for name, (out, *rest) in raw.items()
        }
    except (TypeError, ValueError, AttributeError):
        raise ValueError("not what was said of zones") from None
    for held in zones.values():
        if not all(math.isfinite(n) for n in (held.started_at_ms, held.duration_ms, held.initial_fraction)):
            raise ValueError("not the figures of a zone")
    return zones


class CordonFile:
    """The cordons as the file holds them; without a folder, or with one that fails, in memory alone."""

    def __init__(self, folder: Path | None) -> None:
        self._path = folder / "cordons.json" if folder else None
        self._seen: tuple[int, int, int] | None = None
        self.cordons = Cordons()

    def refresh(self) -> bool:
        """Look at the file; whether the cordons may have changed."""
        if self._path is None:
            return False
        try:
            stat = os.stat(self._path)
            seen = stat.st_ino, stat.st_mtime_ns, stat.st_size
            if seen == self._seen or stat.st_size > FILE_MAX:
                return False
            self._seen = seen
            self.cordons = _read_cordons(json.loads(self._path.read_bytes()))
        except (OSError, ValueError):
            return False
        return True

    def change(self, server: str, out: bool) -> str:
        """Take a server out or put it back; a line on what went wrong with the file, if anything did."""
        return self._change(lambda cordons: cordons.changed(server, out, time.time() * 1000))

    def move(self, held: ZoneEvacuation) -> str:
        """Leave a zone or come back to it; a line on what went wrong with the file, if anything did."""
        return self._change(lambda cordons: cordons.moved(held))

    def _change(self, change: Callable[[Cordons], Cordons]) -> str:
        try:
            with self._locked():
                self.refresh()
                self.cordons = change(self.cordons)
                self._write()
        except OSError as error:
            self.cordons = change(self.cordons)
            return f"cordons are kept in memory alone: {error}"
        return ""

    def inherit(self, raw: object) -> None:
        """Go on from what the process before us holds: its file may be behind, where a disk is full.

        ValueError if that can't be read; the file then stands. What changes in the file later is followed.
        """
        self.cordons = _read_cordons(raw)

    def state(self) -> dict[str, object]:
        """What stands in the file, and goes to the next process."""
        zones = {
            name: [held.is_evacuating, held.started_at_ms, held.duration_ms, held.initial_fraction]
            for name, held in self.cordons.zones.items()
        }
        return {"out": sorted(self.cordons.out), "back": self.cordons.back, "zones": zones}

    @contextmanager
    def _locked(self) -> Iterator[None]:
        if self._path is None:
            yield
            return
        with open(self._path.with_suffix(".lock"), "wb") as lock:
            for tries in range(LOCK_TRIES):
                try:
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if tries == LOCK_TRIES - 1:
                        raise
                    time.sleep(LOCK_PAUSE_S)
            yield

    def _write(self) -> None:
        if self._path is None:
            return
        draft = self._path.with_suffix(f".{os.getpid()}")
        try:
            draft.write_text(json.dumps(self.state()))
            os.replace(draft, self._path)
        except OSError:
            draft.unlink(missing_ok=True)
            raise


@contextmanager
def _path_in(folder: Path) -> Iterator[str]:
    """A short path to the socket: the kernel takes about a hundred bytes, and folders may be deep."""
    held = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{held}/handover"
    finally:
        os.close(held)


class Predecessor:
    """The older process, seen from the new one: the listening socket and what it has learned."""

    def __init__(self, link: socket.socket, listener: socket.socket, state: dict[str, Any]) -> None:
        self._link, self.listener, self.state = link, listener, state
        self._unread = b""

    async def relieve(self) -> dict[str, int]:
        """Say that we are ready; what the older process still holds, now that it accepts no more."""
        loop = asyncio.get_running_loop()
        self._link.setblocking(False)
        with suppress(OSError, ValueError, TimeoutError):
            async with asyncio.timeout(ANSWER_S):
                await loop.sock_sendall(self._link, READY)
                return await self._counts() or {}
        return {}

    async def follow(self, told: Callable[[dict[str, int]], None]) -> None:
        """Pass on what the older process holds, and at its end that it holds nothing."""
        with suppress(OSError, ValueError):
            while counts := await self._counts():
                told(counts)
        self._link.close()
        told({})

    async def _counts(self) -> dict[str, int] | None:
        loop = asyncio.get_running_loop()
        while b"\n" not in self._unread:
            data = await loop.sock_recv(self._link, 4_096)
            if not data:
                return None
            self._unread += data
        line, _, self._unread = self._unread.partition(b"\n")
        return {str(name): int(count) for name, count in json.loads(line).items()}


def connect_to_predecessor(folder: Path | None) -> Predecessor | None:
    """The process that serves here now, if there is one that answers. For use before there is a loop."""
    if folder is None:
        return None
    listener: socket.socket | None = None
    link: socket.socket | None = None
    try:
        link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        link.settimeout(ANSWER_S)
        with _path_in(folder) as path:
            link.connect(path)
        data, descriptors, _, _ = socket.recv_fds(link, 65_536, 1)
        if not descriptors:
            raise ValueError("no listening socket came")
        listener = socket.socket(fileno=descriptors[0])
        while not data.endswith(b"\n"):
            more = link.recv(65_536)
            if not more or len(data) > STATE_MAX:
                raise ValueError("what was learned came in part")
            data += more
        state = json.loads(data)
        if not isinstance(state, dict):
            raise ValueError("what was learned is no object")
        return Predecessor(link, listener, state)
    except (OSError, ValueError):
        # Nobody is there, or nobody that can hand over: we start on our own.
        for opened in (link, listener):
            if opened is not None:
                opened.close()
        return None


class Estate(Protocol):
    """What there is to hand over."""

    def listening_socket(self) -> socket.socket:
        """The one that callers wait at."""

    def exported_state(self) -> dict[str, Any]:
        """What the next process should know."""

    def stop_accepting(self) -> None:
        """Accept no more: the next process does."""

    def resume_accepting(self) -> None:
        """The next process has died."""

    def connection_limits(self) -> dict[str, int]:
        """Descriptors that are still held, by use."""


class HotRestartListener:
    """Waits for the process that is to take over."""

    def __init__(self, folder: Path, loop: asyncio.AbstractEventLoop, estate: Estate) -> None:
        self._folder, self._loop, self._estate = folder, loop, estate
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> str:
        """Listen in the folder, in place of who did before; a line on why not, if it can't be done."""
        try:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            with _path_in(self._folder) as path:
                draft = f"{path}.{os.getpid()}"
                with suppress(FileNotFoundError):
                    os.unlink(draft)
                self._socket.bind(draft)
                self._socket.listen(4)
                os.replace(draft, path)
            self._loop.add_reader(self._socket, self._accept)
        except OSError as error:
            if self._socket is not None:
                self._socket.close()
            return f"no process can take over: {error}"
        return ""

    def _accept(self) -> None:
        assert self._socket is not None
        with suppress(OSError):
            link, _ = self._socket.accept()
            link.setblocking(False)
            task = self._loop.create_task(self._attend(link))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _attend(self, link: socket.socket) -> None:
        try:
            socket.send_fds(link, [b" "], [self._estate.listening_socket().fileno()])
            await self._loop.sock_sendall(link, json.dumps(self._estate.exported_state()).encode() + b"\n")
            if await self._loop.sock_recv(link, len(READY)) == READY:
                self._estate.stop_accepting()
                with suppress(OSError):
                    await self._tell_until_it_ends(link)
                self._estate.resume_accepting()
        except OSError:
            return  # it died before it was ready
        finally:
            link.close()

    async def _tell_until_it_ends(self, link: socket.socket) -> None:
        told: dict[str, int] = {}
        while True:
            if (holds := self._estate.connection_limits()) != told:
                told = holds
                await self._loop.sock_sendall(link, json.dumps(holds).encode() + b"\n")
            if not await self._is_there(link):
                return

    async def _is_there(self, link: socket.socket) -> bool:
        """Wait a moment; whether the other process still lives then."""
        await asyncio.sleep(TELL_S)
        try:
            return link.recv(1) != b""
        except BlockingIOError:
            return True
