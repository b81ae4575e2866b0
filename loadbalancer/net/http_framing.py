"""What both sides of the balancer share of HTTP/1.1: bounds, bodies on their way, heads, looks at sockets."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

MAX_HEAD_BYTES = 65_536
# A body up to this is buffered until it is complete; a larger one is streamed.
MAX_BUFFERED_BODY_BYTES = 65_536
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_READ_BYTES, MIN_READ_BYTES = 65_536, 4_096  # of what is read at once
_HOP_BY_HOP = frozenset(
    b"connection content-length keep-alive proxy-connection te trailer transfer-encoding upgrade".split()
)

Headers = list[tuple[bytes, bytes]]


class MessageTooLargeError(Exception):
    """A message that is larger than the protocol allows."""


class AmbiguousLengthError(Exception):
    """A message whose end two readers could see at different places."""


class BufferBudget:
    """One bound over the bytes of bodies that are held, on all connections together."""

    def __init__(self, bound: int) -> None:
        self.max_bytes, self.used_bytes = bound, 0
        self._space = memoryview(bytearray(MAX_READ_BYTES))

    def is_full(self) -> bool:
        """Whether no more should be held than what can't be helped."""
        return self.used_bytes >= self.max_bytes

    def receive_buffer(self) -> memoryview:
        """Where the next piece is read to: a small one once much is held, for it may have to wait."""
        return self._space if self.used_bytes < self.max_bytes / 2 else self._space[:MIN_READ_BYTES]

    def received(self, count: int) -> memoryview:
        """The piece that has just been read; it must be used up before the next one is."""
        return self._space[:count]


class BufferReservation:
    """The bytes that one connection, or one body, holds of the bound."""

    __slots__ = ("_buffers", "size_bytes")

    def __init__(self, buffers: BufferBudget) -> None:
        self._buffers, self.size_bytes = buffers, 0

    def resize(self, count: int) -> None:
        """It holds so many now."""
        self._buffers.used_bytes += count - self.size_bytes
        self.size_bytes = count


class BodySink(Protocol):
    """Where a body is passed on to."""

    def write(self, data: bytes) -> None:
        """Take a piece."""

    def end(self) -> None:
        """The body is whole."""

    def is_ready(self) -> bool:
        """Whether more should come now."""


class Body:
    """A request's body: held as long as it is small, else passed on to the one attempt that takes it over."""

    __slots__ = (
        "_buffers",
        "_holding",
        "_on_flow",
        "_parts",
        "_sink",
        "is_complete",
        "is_discarded",
        "length",
        "received_bytes",
    )

    def __init__(self, buffers: BufferBudget, length: int | None, on_flow: Callable[[], None]) -> None:
        """`length` is None where only its end tells it; `on_flow` hears when more may be read again."""
        self._buffers, self.length, self._on_flow = buffers, length, on_flow
        self._holding = BufferReservation(buffers)
        self._parts: list[bytes] = []
        self._sink: BodySink | None = None
        self.received_bytes = 0  # that has come
        self.is_complete = False
        self.is_discarded = False  # whether bytes of it are gone: it can't be sent from its start any more

    def is_too_large_to_buffer(self) -> bool:
        """Whether it is too much to wait for its end."""
        held = max(self._holding.size_bytes, self.length or 0)
        return not self.is_complete and (
            held > MAX_BUFFERED_BODY_BYTES or (self.received_bytes > 0 and self._buffers.is_full())
        )

    def can_receive(self) -> bool:
        """Whether more of it should be read now."""
        if self._sink is not None:
            return self._sink.is_ready()
        return (
            self.is_discarded
            or self.received_bytes == 0
            or not (self.is_too_large_to_buffer() or self._buffers.is_full())
        )

    def feed(self, data: bytes) -> None:
        """Take a piece."""
        self.received_bytes += len(data)
        if self._sink is not None:
            self._sink.write(data)
        elif not self.is_discarded:
            self._parts.append(data)
            self._holding.resize(self._holding.size_bytes + len(data))

    def complete(self) -> None:
        """It is whole."""
        self.is_complete = True
        if self._sink is not None:
            self._sink.end()

    def data(self) -> bytes:
        """All of it, if it is whole and held."""
        if len(self._parts) > 1:
            self._parts = [b"".join(self._parts)]
        return self._parts[0] if self._parts else b""

    def stream_to(self, sink: BodySink) -> None:
        """Let an attempt have what is here and what still comes."""
        data = self.data()
        self.discard()
        self._sink = sink
        if data:
            sink.write(data)
        self.on_sink_ready()

    def on_sink_ready(self) -> None:
        """The sink may be ready again."""
        self._on_flow()

    def discard(self) -> None:
        """Hold nothing, and let what still comes go by."""
        self._sink, self.is_discarded = None, True
        self._parts = []
        self._holding.resize(0)


def encode_chunk(data: bytes) -> bytes:
    """A piece of a body whose length is not known."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def body_length(headers: Headers) -> int | None:
    """The length of a body as its head tells it, None for a chunked one, -1 if the head does not tell."""
    named = dict(headers)
    coding = named.get(b"transfer-encoding")
    if coding is not None:
        if coding.strip().lower() != b"chunked":
            raise AmbiguousLengthError("a transfer coding that is not known")
        return None
    length = named.get(b"content-length")
    return -1 if length is None else int(length)


def to_origin_form(target: bytes) -> bytes:
    """The path and query of a target, which may name a host before them."""
    scheme, mark, rest = target.partition(b"://")
    if not mark or scheme.lower() not in (b"http", b"https"):
        return target
    path = rest[min((rest.index(c) for c in (b"/", b"?") if c in rest), default=len(rest)) :]
    return path if path[:1] == b"/" else b"/" + path


def end_to_end_headers(headers: Headers) -> Headers:
    """The headers that are not about this one connection."""
    return [(n, v) for n, v in headers if n not in _HOP_BY_HOP]


def reason_phrase(status: int) -> str:
    """The phrase that goes with a status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""


def encode_response_head(status: int, headers: Headers, length: int | None, close: bool) -> bytes:
    """The head of a response; of one whose end tells its length, if that is None."""
    parts = [b"HTTP/1.1 %d %b\r\n" % (status, reason_phrase(status).encode())]
    parts.append(b"Content-Length: %d\r\n" % length if length is not None else b"")
    parts.extend([b"%b: %b\r\n" % pair for pair in headers])
    parts.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(parts)


def encode_response(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    """A whole response."""
    return encode_response_head(status, headers, len(body), close) + body


def set_no_delay(transport: asyncio.BaseTransport) -> None:
    """Send small messages at once."""
    transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Let the close of a connection be a reset, which nobody takes for the end of a message."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Whether the other side has ended its sending, though there may be bytes to read before that."""
    if transport.is_closing():
        return True  # by us: its descriptor may be another's by now
    look = select.poll()
    look.register(transport.get_extra_info("socket"), select.POLLRDHUP)
    try:
        return bool(look.poll(0))
    except OSError:
        return False


def peek_socket(transport: asyncio.BaseTransport) -> bytes | None:
    """What the kernel holds that the loop has not read: a first byte, b"" for the end, None for nothing."""
    wrapped = transport.get_extra_info("socket")
    probe = socket.socket(wrapped.family, wrapped.type, wrapped.proto, wrapped.fileno())
    try:
        return probe.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    finally:
        probe.detach()  # the file descriptor stays the transport's
