"""A relayed TCP connection: a pipe for each direction, which delays and ends it according to the faults."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import cast

from loadbalancer.drill.links.faults import LinkDirection

MAX_BUFFERED_BYTES = 256 * 1024  # per direction of a connection; above it, reading pauses
ABORTIVE_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s: closing sends a reset
_RESET_MARKER = b""  # in a pipe's queue: the connection was reset here


class RelayPipe:
    """One direction of a connection: forwards its bytes and its end in order, each when it is due."""

    def __init__(self, direction: LinkDirection) -> None:
        self._direction = direction
        self._loop = asyncio.get_running_loop()
        self.source: asyncio.Transport | None = None
        self.target: asyncio.Transport | None = None
        self._queue: deque[tuple[float, bytes | None]] = deque()  # when each is due; None for the end
        self._queued_bytes = 0
        self._last_due_s = 0.0
        self._forwarded_bytes = 0  # since the last change of faults
        self.reverse_pipe: RelayPipe | None = None  # the other direction
        self.has_ended = False  # whether its end was forwarded
        self.is_target_full = False  # whether the target's write buffer is full
        self._timer: asyncio.TimerHandle | None = None
        direction.listeners.add(self)

    def feed(self, data: bytes | None) -> None:
        """Queue bytes, or the end of the stream (None)."""
        size = len(data or b"")
        due_s = max(self._loop.time() + self._direction.delay_s(size), self._last_due_s)
        self._last_due_s = due_s
        self._queue.append((due_s, data))
        self._queued_bytes += size
        self.flush()

    def feed_reset(self) -> None:
        """Queue a reset of the connection."""
        self.feed(_RESET_MARKER)

    def on_faults_changed(self) -> None:
        """Apply new faults: byte limits count from here."""
        self._forwarded_bytes = 0
        self.flush()

    def flush(self) -> None:
        """Forward what is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._queue and self._can_forward():
            due_s, data = self._queue[0]
            wait_s = due_s - self._loop.time()
            if wait_s > 0:
                self._timer = self._loop.call_later(wait_s, self.flush)
                break
            self._queue.popleft()
            self._queued_bytes -= len(data or b"")
            if not self._forward(data):
                return
        self._apply_backpressure()

    def _can_forward(self) -> bool:
        return self.target is not None and not self.is_target_full and not self._direction.is_cut

    def _forward(self, data: bytes | None) -> bool:
        """Write a chunk; return False if that was the end of the connection."""
        assert self.target is not None
        if self.target.is_closing():
            return False
        if data is None:
            return self._forward_end(self.target)
        if data == _RESET_MARKER:
            reset_connection(self.target)
            return False
        for limit, end in (
            (self._direction.reset_after, reset_connection),
            (self._direction.short_after, _close),
        ):
            if limit is not None and self._forwarded_bytes + len(data) >= limit:
                self.target.write(data[: max(limit - self._forwarded_bytes, 0)])
                end(self.target)
                if self.source is not None:
                    reset_connection(self.source)
                return False
        self._forwarded_bytes += len(data)
        self.target.write(data)
        return True

    def _forward_end(self, target: asyncio.Transport) -> bool:
        """End the stream, and the connection if the other direction has ended, too."""
        self.has_ended = True
        if self.reverse_pipe is None or not self.reverse_pipe.has_ended:
            target.write_eof()
            return True
        target.close()
        if self.source is not None:
            self.source.close()
        return False

    def _apply_backpressure(self) -> None:
        if self.source is not None and not self.source.is_closing():
            if self._queued_bytes > MAX_BUFFERED_BYTES:
                self.source.pause_reading()
            else:
                self.source.resume_reading()

    def close(self) -> None:
        """Discard the queue: the connection has ended."""
        self._direction.listeners.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        self._queue.clear()


class RelayEndpoint(asyncio.Protocol):
    """One end of a relayed connection: what it receives goes into one pipe, what it sends is from another."""

    def __init__(self, incoming: RelayPipe, outgoing: RelayPipe, on_closed: Callable[[], None]) -> None:
        self._incoming = incoming
        self._outgoing = outgoing
        self._on_closed = on_closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Attach the transport to both pipes."""
        stream = cast(asyncio.Transport, transport)
        sock = stream.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._incoming.source = stream
        self._outgoing.target = stream
        self._outgoing.flush()

    def data_received(self, data: bytes) -> None:
        """Queue bytes for the other end."""
        self._incoming.feed(data)

    def eof_received(self) -> bool:
        """Queue the end of the stream; the other direction may go on."""
        self._incoming.feed(None)
        return True

    def pause_writing(self) -> None:
        """Stop forwarding to this end."""
        self._outgoing.is_target_full = True

    def resume_writing(self) -> None:
        """Forward to this end again."""
        self._outgoing.is_target_full = False
        self._outgoing.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Queue a reset unless the connection ended in order; a cut holds it back, too."""
        if exc is not None or not self._incoming.has_ended:
            self._incoming.feed_reset()
        self._on_closed()


def _close(transport: asyncio.Transport) -> None:
    """Close a connection gracefully, once all that was written is sent."""
    transport.close()


def reset_connection(transport: asyncio.Transport) -> None:
    """End a connection so that its peer sees a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE_LINGER)
    transport.abort()
