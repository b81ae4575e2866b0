"""Bodies in transit through the balancer: buffered or streamed, within one limit for all connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

# A body up to this is buffered until it is complete; a larger one is streamed.
MAX_BUFFERED_BODY_BYTES = 65_536
MAX_READ_BYTES = 65_536  # in one read from a socket
MIN_READ_BYTES = 2_048  # in one read, once much is buffered: what is read may have to be buffered, too


class BufferBudget:
    """One limit on the bytes that are buffered, for all connections together."""

    def __init__(self, max_bytes: int) -> None:
        """Allow `max_bytes` in total; data in transit may exceed it by one read per connection."""
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._receive_buffer = memoryview(bytearray(MAX_READ_BYTES))

    def is_full(self) -> bool:
        """Return whether no more should be buffered than is unavoidable."""
        return self.used_bytes >= self.max_bytes

    def is_scarce(self) -> bool:
        """Return whether so much is buffered that no connection should hold more than it must."""
        return self.used_bytes >= self.max_bytes / 2

    def receive_buffer(self) -> memoryview:
        """Return where the next read goes to: a small part once much is buffered."""
        if not self.is_scarce():
            return self._receive_buffer
        return self._receive_buffer[:MIN_READ_BYTES]

    def received(self, count: int) -> memoryview:
        """Return the bytes that have just been read; they must be consumed before the next read."""
        return self._receive_buffer[:count]


class BufferReservation:
    """The part of the budget that one connection, or one body, uses."""

    __slots__ = ("_budget", "size_bytes")

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self.size_bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Use `size_bytes` of the budget from now on."""
        self._budget.used_bytes += size_bytes - self.size_bytes
        self.size_bytes = size_bytes


class BodySink(Protocol):
    """The destination of a streamed body."""

    def write(self, data: bytes) -> None:
        """Accept a part."""

    def end(self) -> None:
        """Handle the end of the body."""

    def is_ready(self) -> bool:
        """Return whether it can accept more now."""


class Body:
    """A request's body: buffered as long as it is small, else streamed to a single attempt."""

    __slots__ = (
        "_budget",
        "_data",
        "_on_sink_ready",
        "_reservation",
        "_sink",
        "is_complete",
        "is_discarded",
        "length",
        "received_bytes",
    )

    def __init__(self, budget: BufferBudget, length: int | None, on_sink_ready: Callable[[], None]) -> None:
        """`length` is None for a chunked body; `on_sink_ready` is called when more may be read."""
        self._budget = budget
        self._on_sink_ready = on_sink_ready
        self._reservation = BufferReservation(budget)
        self._data = bytearray()  # buffered, or fed and not passed on yet
        self._sink: BodySink | None = None
        self.length = length
        self.received_bytes = 0
        self.is_complete = False
        self.is_discarded = False  # whether bytes were dropped: it can't be sent from its start any more

    def is_too_large_to_buffer(self) -> bool:
        """Return whether it should be streamed before it is complete."""
        if self.is_complete:
            return False
        size_bytes = max(self._reservation.size_bytes, self.length or 0)
        return size_bytes > MAX_BUFFERED_BODY_BYTES or (self.received_bytes > 0 and self._budget.is_full())

    def is_streamed(self) -> bool:
        """Return whether it is streamed to an attempt."""
        return self._sink is not None

    def missing_bytes(self) -> int:
        """Return how many bytes are still to come; 0 if that is unknown."""
        return 0 if self.length is None else self.length - self.received_bytes

    def can_receive(self) -> bool:
        """Return whether more of it should be read now."""
        if self._sink is not None:
            return self._sink.is_ready()
        if self.is_discarded or self.received_bytes == 0:
            return True
        return not (self.is_too_large_to_buffer() or self._budget.is_full())

    def feed(self, data: bytes) -> None:
        """Add a part, however small; `flush` must follow after the last one of a read."""
        self.received_bytes += len(data)
        if self._sink is not None or not self.is_discarded:
            self._data += data

    def flush(self) -> None:
        """Stream what was fed in one piece, or count it as buffered."""
        if self._sink is None:
            self._reservation.resize(len(self._data))
        elif self._data:
            data = bytes(self._data)
            self._data.clear()
            self._sink.write(data)

    def complete(self) -> None:
        """Mark it complete, and tell the sink."""
        self.flush()
        self.is_complete = True
        if self._sink is not None:
            self._sink.end()

    def data(self) -> bytes:
        """Return what is buffered: all of it, if it is complete and not discarded."""
        return bytes(self._data)

    def stream_to(self, sink: BodySink) -> None:
        """Stream what is buffered, and what still arrives, to an attempt."""
        data = self.data()
        self.discard()
        self._sink = sink
        if data:
            sink.write(data)
        self.on_sink_ready()

    def on_sink_ready(self) -> None:
        """Resume reading, if the sink is ready again."""
        self._on_sink_ready()

    def discard(self) -> None:
        """Drop what is buffered, and what still arrives."""
        self._sink = None
        self.is_discarded = True
        self._data = bytearray()
        self._reservation.resize(0)
