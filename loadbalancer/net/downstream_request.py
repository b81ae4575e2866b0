"""A client's request: the values that the balancer reads from it, and its single response."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass
from typing import Protocol

from loadbalancer.net.http_framing import body_length, to_origin_form
from loadbalancer.net.message_body import Body, BufferBudget, BufferReservation
from loadbalancer.net.message_head import RequestHead

MAX_DEADLINE_MS = 3_600_000.0  # a longer one is cut to this, as it would amount to none
MAX_LOGGED_ID_BYTES = 64
SHEDDING_REASON = "too much is being received"
_MS_PER_UNIT = {b"m": 1.0, b"u": 0.001}


@dataclass(frozen=True, slots=True)
class RequestRejection:
    """Why a request is rejected: the status and reason of the response to it."""

    status: int
    reason: str


class ResponseSource(Protocol):
    """The source of a streamed response."""

    def pause(self) -> None:
        """Stop sending for now."""

    def resume(self) -> None:
        """Resume sending."""


class ResponseWriter(Protocol):
    """Writes the responses of a connection."""

    def send_response(
        self, request: DownstreamRequest, status: int, header_lines: bytes, body: bytes
    ) -> None:
        """Write a complete response."""

    def start_response(self, request: DownstreamRequest, header_lines: bytes, length: int | None) -> None:
        """Write the head of a streamed response."""

    def send_body_part(self, request: DownstreamRequest, data: bytes) -> None:
        """Write a part of the body of a streamed response."""

    def end_response(self, request: DownstreamRequest) -> None:
        """Write the end of a streamed response."""

    def abort(self) -> None:
        """Abort the connection in the middle of a response."""


class RequestConnection(Protocol):
    """The connection that a request arrived on."""

    buffers: BufferBudget

    @property
    def pipeline(self) -> ResponseWriter:
        """The writer of its responses."""

    def unread_bytes(self) -> int:
        """Return how many bytes from the client the kernel has and the loop has not read."""

    def written_after_s(self) -> float:
        """Return when the next byte to be read can have been written at the earliest (monotonic clock)."""

    def on_body_sink_ready(self) -> None:
        """Resume reading, if it waited for the upstream."""

    def is_client_connected(self) -> bool:
        """Return whether the kernel sees the client connected."""

    def may_have_disconnected(self) -> bool:
        """Return whether the client may have left without the kernel's seeing it."""


class RequestHandler(Protocol):
    """Handles the requests of clients."""

    def on_request_arrived(self, request: DownstreamRequest) -> None:
        """Handle a request; the rest of a long body may still arrive."""

    def on_request_completed(self, request: DownstreamRequest) -> None:
        """Handle the end of a request's body."""

    def on_request_failed(self, request: DownstreamRequest, status: int) -> None:
        """End a request with this status: the rest of its body will not arrive."""

    def on_client_disconnected(self, request: DownstreamRequest) -> None:
        """Handle the disconnect of a request's client."""

    def on_client_unseen(self, request: DownstreamRequest) -> None:
        """Handle that a request's client may have left unseen: no server may begin it from now on."""

    def on_input_rejected(self, status: int) -> None:
        """Handle that input was rejected with this status before it was a request of any class."""

    def on_shutdown_deadline(self) -> None:
        """Answer all open requests, and reject later ones: the time for the shutdown is over."""


class DownstreamRequest:
    """A client's request, which gets one response once it is complete."""

    __slots__ = (
        "_connection",
        "_head",
        "_reservation",
        "_writer",
        "body",
        "class_name",
        "cost_hint_ms",
        "deadline_ms",
        "expects_continue",
        "is_chunked",
        "is_open",
        "is_retry",
        "keep_alive",
        "method",
        "rejection",
        "request_id",
        "response_source",
        "target",
        "version",
        "written_after_s",
    )

    def __init__(self, connection: RequestConnection, method: bytes, head: RequestHead) -> None:
        """Raises AmbiguousLengthError for a body whose length is ambiguous.

        Its head counts as buffered until `release`.
        """
        self._connection = connection
        self._writer = connection.pipeline
        self._head = head
        self.method = method
        self.target = to_origin_form(head.target)
        length = body_length(head.framing())
        self.body = Body(connection.buffers, length, connection.on_body_sink_ready)
        self._reservation = BufferReservation(connection.buffers)
        self._reservation.resize(head.memory_bytes())
        self.version = "1.1"
        self.expects_continue = (head.value(b"expect") or b"").lower() == b"100-continue"
        # When its last byte can have been written at the earliest, on the monotonic clock, once that is read.
        self.written_after_s = 0.0
        self.keep_alive = True
        self.rejection: RequestRejection | None = None  # decided when its head was complete
        self.is_open = True  # until its response is complete, or nobody waits for one
        self.class_name = ""
        self.is_retry = False
        self.cost_hint_ms = 0.0
        self.deadline_ms = 0.0
        self.request_id = -1  # given by the request table
        self.is_chunked = False  # whether the response is sent in chunks
        self.response_source: ResponseSource | None = None  # of a streamed response

    def send_response(self, status: int, header_lines: bytes = b"", body: bytes = b"") -> None:
        """Send the final response; any later one is dropped."""
        if self.is_open:
            self.is_open = False
            self._writer.send_response(self, status, header_lines, body)

    def start_response(self, source: ResponseSource, header_lines: bytes, length: int | None) -> None:
        """Begin to stream an upstream's response; end it with `end_response` or `abort_response`."""
        self.response_source = source
        self._writer.start_response(self, header_lines, length)

    def send_body_part(self, data: bytes) -> None:
        """Send a part of the response's body."""
        if self.is_open:
            self._writer.send_body_part(self, data)

    def end_response(self) -> None:
        """End a response that was streamed completely."""
        if self.is_open:
            self.is_open = False
            self._writer.end_response(self)

    def abort_response(self) -> None:
        """Abort the connection in the middle of a response, so that the client sees that it is incomplete."""
        if self.is_open:
            self.is_open = False
            self._writer.abort()

    def is_client_connected(self) -> bool:
        """Return whether its client is connected right now; if not, its connection is closed at once.

        A body that is still arriving tells by its end; before that, no attempt of it begins.
        """
        if not (self.is_open and self._connection.is_client_connected()):
            return False
        return not (self.body.is_complete and self._connection.may_have_disconnected())

    def unread_bytes(self) -> int:
        """Return how many bytes from its client the kernel has and the loop has not read."""
        return self._connection.unread_bytes()

    def remaining_ms(self) -> float:
        """Return the time until its deadline, which counts from the writing of its last byte.

        It is the least that may be left: the byte may have been written some time before it is read.
        """
        written_after_s = (
            self.written_after_s if self.body.is_complete else self._connection.written_after_s()
        )
        return self.deadline_ms - (time.monotonic() - written_after_s) * 1000

    def validate(self, class_names: frozenset[str]) -> RequestRejection | None:
        """Read what the balancer needs; return why the request is not acceptable, if it is not."""
        if self.rejection is not None:
            return self.rejection
        path = self.target.partition(b"?")[0]
        class_name = path[1:].partition(b"/")[0].decode("latin-1")
        if path[:1] != b"/" or class_name not in class_names:
            return RequestRejection(404, "no such path")
        if self.method not in (b"GET", b"POST"):
            return RequestRejection(405, "GET or POST")
        if self.version not in ("1.0", "1.1"):
            return RequestRejection(505, "HTTP/1.1 or 1.0")
        head = self._head
        if (head.value(b"x-class") or b"").decode("latin-1") != class_name:
            return RequestRejection(400, "X-Class must be the first part of the path")
        if not head.value(b"x-request-id"):
            return RequestRejection(400, "X-Request-Id is missing")
        deadline_ms = parse_duration_ms(head.value(b"x-deadline") or b"")
        if deadline_ms is None:
            return RequestRejection(400, "X-Deadline must be a number above 0 and a unit, m or u")
        self.class_name = class_name
        self.deadline_ms = min(deadline_ms, MAX_DEADLINE_MS)
        self.is_retry = head.value(b"x-retry") == b"1"
        self.cost_hint_ms = _parse_cost_hint_ms(head.value(b"x-cost-hint"))
        return None

    @property
    def tenant(self) -> str | None:
        """The tenant that its client names; decoded when it is asked for, as it may be long."""
        tenant = self._head.value(b"x-tenant")
        return tenant.decode("latin-1") if tenant else None

    def client_id(self) -> bytes:
        """Return the ID that its client gave it."""
        return self._head.value(b"x-request-id") or b""

    def printable_id(self) -> str:
        """Return the ID that its client gave it, for the log."""
        return ascii(self.client_id()[:MAX_LOGGED_ID_BYTES].decode("latin-1"))[1:-1]

    def forwarded_head(self) -> bytes:
        """Return its head without X-Deadline, framing headers and the blank line."""
        return b"%b %b HTTP/1.1\r\n%b" % (self.method, self.target, self._head.forwarded_lines())

    def head_bytes(self) -> int:
        """Return about how much memory its head takes."""
        return self._head.memory_bytes()

    def shed(self) -> None:
        """Reject it in its turn, and keep nothing of it until then."""
        self.rejection = RequestRejection(503, SHEDDING_REASON)
        self.release()

    def release(self) -> None:
        """Drop its head, its target and its body: nothing more is sent of it, and its ID is not asked for."""
        self.body.discard()
        self._head.release_all()
        self.target = b""
        self._reservation.resize(0)


def parse_duration_ms(text: bytes) -> float | None:
    """Convert a number with a unit (m or u) to milliseconds; None if it is not a duration above 0."""
    try:
        value_ms = float(text[:-1]) * _MS_PER_UNIT[text[-1:]]
    except (ValueError, KeyError):
        return None
    return value_ms if 0 < value_ms < math.inf else None


def _parse_cost_hint_ms(text: bytes | None) -> float:
    """Convert a number of microseconds to milliseconds; 0 if it is not a duration above 0."""
    try:
        value_ms = float(text or b"0") / 1000
    except ValueError:
        return 0.0
    return value_ms if 0 < value_ms < math.inf else 0.0
