"""The ways between processes, as relays on loopback on which faults are set and lifted while they run.

    link = Link("b0>s1", "127.9.0.1", "127.9.3.1", ("127.9.1.1", 4000), random.Random(1))
    link.start()
    link.set("slow", Fault(delay_ms=50, jitter_ms=10), "back")
    link.lift("slow")

A link leads from one process to another; `there` is the direction of its requests, `back` that of its
answers, and each has faults of its own. What a fault means to TCP is what its peers would see: bytes stay in
order and none goes missing; what is lost comes 200 ms later, as after a retransmission, and a silent cut
holds bytes back until it is lifted. While a link is cut no new connection comes up, for its listener stops
taking any in: no packet filter and no right of root is used. A `DatagramLink` does the same to UDP.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable
from typing import cast

import msgspec

Address = tuple[str, int]
BACKLOG = 128
RESEND_MS = 200.0  # a lost segment comes so much later: Linux' least retransmission time-out
HELD_MOST = 256 * 1024  # bytes of one direction of a connection under way; past it, reading stops
_LINGER_NONE = struct.pack("ii", 1, 0)
_RESET = b""  # in a pipe: the connection was reset here


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What may be wrong with a direction; several add up."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # up to so much more, evenly drawn
    loss: float = 0.0  # the share of segments, or of datagrams, that is lost
    rate_kb_s: float = 0.0  # at most so many kB a second; 0 for no bound
    cut: bool = False  # nothing gets through, and nobody is told
    refuse: bool = False  # new connections are refused
    reset_after: int | None = None  # a connection is reset after so many bytes, counted from now
    short_after: int | None = None  # it is ended, as if all had been said, after so many bytes
    doubled: float = 0.0  # the share of datagrams that come twice
    disorder: float = 0.0  # the share of datagrams that come up to 100 ms later than the next ones


class Direction:
    """The faults of one direction of a link, and the chance they draw from."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._faults: dict[str, Fault] = {}
        self.pipes: set[Pipe] = set()

    def set(self, name: str, fault: Fault) -> None:
        """Add a fault under a name; the one that had the name gives way."""
        self._faults[name] = fault
        for pipe in list(self.pipes):
            pipe.changed()

    def lift(self, name: str) -> None:
        """Take a fault away; nothing happens if there is none of the name."""
        if self._faults.pop(name, None) is not None:
            for pipe in list(self.pipes):
                pipe.changed()

    @property
    def faults(self) -> Iterable[Fault]:
        """Those that are set."""
        return self._faults.values()

    @property
    def is_cut(self) -> bool:
        """Whether nothing gets through."""
        return any(f.cut for f in self._faults.values())

    @property
    def refuses(self) -> bool:
        """Whether new connections are refused."""
        return any(f.refuse for f in self._faults.values())

    def limit(self, name: str) -> int | None:
        """The least of the byte limits of that name; None where there is none."""
        limits = [v for f in self._faults.values() if (v := getattr(f, name)) is not None]
        return min(limits, default=None)

    def delay_s(self, size: int) -> float:
        """How long so many bytes take."""
        delay = 0.0
        for fault in self._faults.values():
            delay += fault.delay_ms + fault.jitter_ms * self._chance.random()
            if fault.rate_kb_s:
                delay += size / fault.rate_kb_s
            if fault.loss and self._chance.random() < fault.loss:
                delay += RESEND_MS
        return delay / 1_000

    def copies(self) -> list[float]:
        """When a datagram comes, in s from now: once, twice, or not at all."""
        if self.is_cut or any(self._chance.random() < f.loss for f in self._faults.values()):
            return []
        whole = sum(f.delay_ms + f.jitter_ms * self._chance.random() for f in self._faults.values()) / 1_000
        late = sum(0.1 * self._chance.random() for f in self.faults if self._chance.random() < f.disorder)
        doubled = any(self._chance.random() < f.doubled for f in self._faults.values())
        return [whole + late] * (2 if doubled else 1)


class Pipe:
    """One direction of one connection: bytes and its end, in order, each when it is due."""

    def __init__(self, direction: Direction) -> None:
        self._direction = direction
        self._loop = asyncio.get_running_loop()
        self.source: asyncio.Transport | None = None
        self.target: asyncio.Transport | None = None
        self._held: deque[tuple[float, bytes | None]] = deque()  # None for the end
        self._size, self._free_at = 0, 0.0
        self._passed = 0
        self.partner: Pipe | None = None  # the other direction
        self.ended = False  # whether its end was passed on
        self._timer: asyncio.TimerHandle | None = None
        self.full = False  # whether the target takes no more just now
        direction.pipes.add(self)

    def feed(self, data: bytes | None) -> None:
        """Take bytes, the end (None) or a reset on their way."""
        size = len(data or b"")
        due = max(self._loop.time() + self._direction.delay_s(size), self._free_at)
        self._free_at = due
        self._held.append((due, data))
        self._size += size
        self.flush()

    def changed(self) -> None:
        """The faults are others now; byte limits count from here."""
        self._passed = 0
        self.flush()

    def flush(self) -> None:
        """Pass on what is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._held and self.target is not None and not self.full and not self._direction.is_cut:
            due, data = self._held[0]
            wait = due - self._loop.time()
            if wait > 0:
                self._timer = self._loop.call_later(wait, self.flush)
                break
            self._held.popleft()
            self._size -= len(data or b"")
            if not self._pass(data):
                return
        self._regulate()

    def _pass(self, data: bytes | None) -> bool:
        """Write a piece; False if that was the end of the connection."""
        assert self.target is not None
        if self.target.is_closing():
            return False
        if data is None:
            self.ended = True
            if self.partner is not None and self.partner.ended:
                self.target.close()
                if self.source is not None:
                    self.source.close()
                return False
            self.target.write_eof()
            return True
        if data == _RESET:
            reset(self.target)
            return False
        for name, end in (("reset_after", reset), ("short_after", _finish)):
            limit = self._direction.limit(name)
            if limit is not None and self._passed + len(data) >= limit:
                self.target.write(data[: max(limit - self._passed, 0)])
                end(self.target)
                if self.source is not None:
                    reset(self.source)
                return False
        self._passed += len(data)
        self.target.write(data)
        return True

    def _regulate(self) -> None:
        if self.source is not None and not self.source.is_closing():
            if self._size > HELD_MOST:
                self.source.pause_reading()
            else:
                self.source.resume_reading()

    def close(self) -> None:
        """The connection is over."""
        self._direction.pipes.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        self._held.clear()


def reset(transport: asyncio.Transport) -> None:
    """End a connection so that its peer sees a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    transport.abort()


def _finish(transport: asyncio.Transport) -> None:
    transport.close()


class _End(asyncio.Protocol):
    """One end of a relayed connection: what it hears goes into a pipe, what it says comes from another."""

    def __init__(self, heard: Pipe, said: Pipe, over: Callable[[], None]) -> None:
        self._heard, self._said, self._over = heard, said, over

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        stream = cast(asyncio.Transport, transport)
        sock = stream.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._heard.source = self._said.target = stream
        self._said.flush()

    def data_received(self, data: bytes) -> None:
        self._heard.feed(data)

    def eof_received(self) -> bool:
        self._heard.feed(None)
        return True  # the other direction may go on

    def pause_writing(self) -> None:
        self._said.full = True

    def resume_writing(self) -> None:
        self._said.full = False
        self._said.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None or not self._heard.ended:
            self._heard.feed(_RESET)  # a cut keeps this from the other end, too
        self._over()


class Link:
    """The way from one process to another over TCP."""

    def __init__(
        self,
        name: str,
        source: str,
        listen: str,
        target: Address,
        chance: random.Random,
        on_knock: Callable[[str], None] = lambda name: None,
    ) -> None:
        """`source` is the address that the target sees; `on_knock` hears of callers while `barred`."""
        self.name, self._source, self._host, self.target = name, source, listen, target
        self._on_knock = on_knock
        self.directions = {"there": Direction(chance), "back": Direction(chance)}
        self.is_up = True  # whether there is a process at the other end
        self.barred = False  # whether nobody may call there any more
        self._port = 0
        self._listener: socket.socket | None = None
        self._plugs: list[socket.socket] = []  # connections of our own that fill a silent listener's queue
        self._open: set[asyncio.Transport] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> Address:
        """Where it is called."""
        return self._host, self._port

    def start(self) -> None:
        """Listen; OSError if the address can't be had."""
        self._listen()

    def set(self, name: str, fault: Fault, direction: str = "both") -> None:
        """Set a fault; `direction` is there, back or both."""
        for one in self._chosen(direction):
            one.set(name, fault)
        self._follow()

    def lift(self, name: str) -> None:
        """Lift a fault in both directions."""
        for one in self.directions.values():
            one.lift(name)
        self._follow()

    def put(
        self, *, up: bool | None = None, barred: bool | None = None, target: Address | None = None
    ) -> None:
        """Follow what became of the process at the other end."""
        self.is_up = self.is_up if up is None else up
        self.barred = self.barred if barred is None else barred
        self.target = target or self.target
        self._follow()

    def _chosen(self, direction: str) -> list[Direction]:
        return list(self.directions.values()) if direction == "both" else [self.directions[direction]]

    # ---- the listener ---------------------------------------------------------------------------

    def _follow(self) -> None:
        """Refuse, be silent or accept, as things stand."""
        directions = self.directions.values()
        refuses = any(d.refuses for d in directions) or (not self.is_up and not self.barred)
        if refuses:
            self._stop_listening()
            return
        if self._listener is None:
            self._listen()
        if any(d.is_cut for d in directions):
            self._fall_silent()
        else:
            self._speak()

    def _listen(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((self._host, self._port))
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        self._port = sock.getsockname()[1]
        self._listener = sock
        asyncio.get_running_loop().add_reader(sock, self._accept)

    def _stop_listening(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        self._pull_plugs()

    def _fall_silent(self) -> None:
        """Let new connections wait in vain: a queue of no length that is full takes no SYN."""
        if self._plugs or self._listener is None:
            return
        asyncio.get_running_loop().remove_reader(self._listener)
        self._accept()  # who is there already has come in time
        self._listener.listen(0)
        for _ in range(3):
            plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            self._plugs.append(plug)
            with contextlib.suppress(BlockingIOError):
                plug.connect(self.address)

    def _speak(self) -> None:
        if not self._plugs or self._listener is None:
            return
        self._stop_listening()  # whoever is still in the queue is reset, as after a cut
        self._listen()

    def _pull_plugs(self) -> None:
        for plug in self._plugs:
            plug.close()
        self._plugs.clear()

    def _accept(self) -> None:
        assert self._listener is not None
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if self.barred:
                self._on_knock(self.name)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
                sock.close()
                continue
            sock.setblocking(False)
            task = asyncio.get_running_loop().create_task(self._relay(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    # ---- connections ----------------------------------------------------------------------------

    async def _relay(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        there, back = Pipe(self.directions["there"]), Pipe(self.directions["back"])
        there.partner, back.partner = back, there
        ends: list[asyncio.Transport] = []

        def over() -> None:
            if all(end.is_closing() for end in ends):
                there.close()
                back.close()
            self._open.difference_update([end for end in ends if end.is_closing()])

        near, _ = await loop.connect_accepted_socket(lambda: _End(there, back, over), sock)
        ends.append(near)
        self._open.add(near)
        try:
            far, _ = await loop.create_connection(
                lambda: _End(back, there, over), *self.target, local_addr=(self._source, 0)
            )
        except OSError:
            reset(near)
            return
        if near.is_closing():
            far.close()
            return
        ends.append(far)
        self._open.add(far)

    def reset_all(self) -> None:
        """Reset every connection, as when the process at one end dies."""
        for transport in list(self._open):
            reset(transport)

    def close(self) -> None:
        """Stop, with all connections."""
        self._stop_listening()
        for task in self._tasks:
            task.cancel()
        self.reset_all()


class DatagramLink(asyncio.DatagramProtocol):
    """The way from one process to another over UDP, one direction only."""

    def __init__(self, name: str, target: Address, chance: random.Random) -> None:
        self.name, self._target = name, target
        self.direction = Direction(chance)
        self.exit: DatagramLink = self  # whose address the target sees as the sender's
        self._transport: asyncio.DatagramTransport | None = None
        self.passed = self.lost = 0

    @property
    def address(self) -> Address:
        """Where it is sent to."""
        assert self._transport is not None
        host, port = self._transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    async def start(self, listen: str) -> None:
        """Listen; OSError if the address can't be had."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(listen, 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a datagram on, as far as the faults let it."""
        copies = self.direction.copies()
        self.lost += not copies
        for delay in copies:
            asyncio.get_running_loop().call_later(delay, self._pass, data)

    def _pass(self, data: bytes) -> None:
        transport = self.exit._transport
        if transport is not None and not transport.is_closing():
            self.passed += 1
            transport.sendto(data, self._target)

    def set(self, name: str, fault: Fault, direction: str = "both") -> None:
        """Set a fault; there is one direction only, the other is a link of its own."""
        self.direction.set(name, fault)

    def lift(self, name: str) -> None:
        """Lift a fault."""
        self.direction.lift(name)

    def close(self) -> None:
        """Stop."""
        if self._transport is not None:
            self._transport.close()
