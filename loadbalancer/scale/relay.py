"""A way from one process to another that counts bytes and calls, and can be cut."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import cast

from loadbalancer.net.address import parse_address

HELD_MOST = 1 << 20  # bytes that wait for a slow end before the other is read no more
METHODS = (b"GET /", b"POST /", b"PUT /", b"DELETE /")


class _End(asyncio.Protocol):
    """One side of a connection through a relay."""

    def __init__(self, relay: Relay, other: _End | None) -> None:
        self._relay, self.other, self.is_caller = relay, other, other is None
        self.transport: asyncio.Transport | None = None
        self._early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller is connected on; what it has sent meanwhile follows."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(HELD_MOST)
        if self.other is None:
            self._relay.add(self)
        else:
            self.other.joined(self)

    def joined(self, other: _End) -> None:
        """The other side is there."""
        self.other = other
        for data in self._early:
            other.send(data)
        self._early.clear()
        if self.transport is None or self.transport.is_closing():
            other.abort()

    def data_received(self, data: bytes) -> None:
        """Count, and pass on."""
        self._relay.bytes += len(data)
        if self.is_caller:
            self._relay.calls += data.startswith(METHODS)
        if self.other is None or self.other.transport is None:
            self._early.append(data)
        else:
            self.other.send(data)

    def send(self, data: bytes) -> None:
        """Write to our side."""
        if self.transport is not None:
            self.transport.write(data)

    def pause_writing(self) -> None:
        """Our side takes nothing: the other is not read."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """It does again."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def eof_received(self) -> None:
        """One side has ended: so has the other, when all is written."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Both go."""
        self._relay.drop(self)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()

    def abort(self) -> None:
        """Go at once."""
        if self.transport is not None:
            self.transport.abort()


class Relay:
    """Listens on a port of the loopback and passes on to `to`; a cut one refuses, and breaks what stands."""

    def __init__(self, to: str) -> None:
        self.to, self.at = to, ""
        self.bytes = self.calls = 0
        self.is_cut = False
        self._ends: set[_End] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _End(self, None), "127.0.0.1", 0, backlog=1_024)
        self.at = "{}:{}".format(*self._server.sockets[0].getsockname())

    def add(self, caller: _End) -> None:
        """A caller has come."""
        self._ends.add(caller)
        if self.is_cut:
            caller.abort()
            return
        task = asyncio.get_running_loop().create_task(self._connect(caller))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, caller: _End) -> None:
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: _End(self, caller), *parse_address(self.to))
        except OSError:
            caller.abort()

    def drop(self, end: _End) -> None:
        """A side has gone."""
        self._ends.discard(end)

    def cut(self, is_cut: bool) -> None:
        """Let nothing pass from now on, or let it pass again."""
        self.is_cut = is_cut
        for end in list(self._ends) if is_cut else ():
            end.abort()

    def take(self) -> Counter[str]:
        """Bytes and calls since this was asked last."""
        told = Counter(bytes=self.bytes, calls=self.calls)
        self.bytes = self.calls = 0
        return told

    def close(self) -> None:
        """Listen no more."""
        self._server.close()
        for end in list(self._ends):
            end.abort()
