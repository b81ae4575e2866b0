"""A relay from one process to another that counts bytes and calls, and can be cut."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import cast

from loadbalancer.net.address import parse_address

MAX_BUFFERED_BYTES = 1 << 20  # to a slow side before reading from the other side pauses
LISTEN_BACKLOG = 1_024
REQUEST_PREFIXES = (b"GET /", b"POST /", b"PUT /", b"DELETE /")


class _RelayEndpoint(asyncio.Protocol):
    """One side of a connection through a relay; a caller's side has no `other` yet."""

    def __init__(self, relay: Relay, other: _RelayEndpoint | None) -> None:
        self._relay = relay
        self._other = other
        self._is_caller = other is None
        self.transport: asyncio.Transport | None = None
        self._early_data: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect a caller to the target, or join the target's side to its caller."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(MAX_BUFFERED_BYTES)
        if self._other is None:
            self._relay.on_connected(self)
        else:
            self._other.on_peer_connected(self)

    def on_peer_connected(self, other: _RelayEndpoint) -> None:
        """Send the data that arrived before the other side was connected."""
        self._other = other
        for data in self._early_data:
            other.send(data)
        self._early_data.clear()
        if self.transport is None or self.transport.is_closing():
            other.abort()

    def data_received(self, data: bytes) -> None:
        """Count the data and forward it."""
        self._relay.bytes += len(data)
        if self._is_caller:
            self._relay.calls += data.startswith(REQUEST_PREFIXES)
        if self._other is None or self._other.transport is None:
            self._early_data.append(data)
        else:
            self._other.send(data)

    def send(self, data: bytes) -> None:
        """Write to this side."""
        if self.transport is not None:
            self.transport.write(data)

    def pause_writing(self) -> None:
        """Stop reading from the other side while this one is slow to write."""
        if self._other is not None and self._other.transport is not None:
            self._other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading from the other side."""
        if self._other is not None and self._other.transport is not None:
            self._other.transport.resume_reading()

    def eof_received(self) -> None:
        """Let the transport close after an EOF; the other side closes when all is written."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side."""
        self._relay.on_disconnected(self)
        if self._other is not None and self._other.transport is not None:
            self._other.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


class Relay:
    """Listens on a loopback port and forwards to `target`; while cut, it aborts its connections."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.bytes = 0
        self.calls = 0
        self._is_cut = False
        self._endpoints: set[_RelayEndpoint] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _RelayEndpoint(self, None), "127.0.0.1", 0, backlog=LISTEN_BACKLOG
        )
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def on_connected(self, caller: _RelayEndpoint) -> None:
        """Connect a caller to the target, or abort its connection while the relay is cut."""
        self._endpoints.add(caller)
        if self._is_cut:
            caller.abort()
            return
        task = asyncio.get_running_loop().create_task(self._connect(caller))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, caller: _RelayEndpoint) -> None:
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: _RelayEndpoint(self, caller), *parse_address(self.target))
        except OSError:
            caller.abort()

    def on_disconnected(self, endpoint: _RelayEndpoint) -> None:
        """Remove a closed side."""
        self._endpoints.discard(endpoint)

    def set_cut(self, *, is_cut: bool) -> None:
        """Abort all present and new connections, or forward again."""
        self._is_cut = is_cut
        for endpoint in list(self._endpoints) if is_cut else ():
            endpoint.abort()

    def take_counts(self) -> Counter[str]:
        """Return bytes and calls since the last call."""
        counts = Counter(bytes=self.bytes, calls=self.calls)
        self.bytes = 0
        self.calls = 0
        return counts

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        self._server.close()
        for endpoint in list(self._endpoints):
            endpoint.abort()
