"""The pipelined requests of one client's connection: each is answered before the next is served."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from loadbalancer.net.downstream_request import DownstreamRequest, RequestHandler, RequestRejection
from loadbalancer.net.http_framing import (
    LAST_CHUNK,
    encode_chunk,
    encode_response,
    encode_response_head,
)
from loadbalancer.net.message_body import BufferBudget, BufferReservation
from loadbalancer.net.sockets import reset_on_close

MAX_PIPELINED_REQUESTS = 16  # requests read ahead on one connection; past that, reading waits
QUEUED_REQUEST_BYTES = 1_536  # of the objects of a request, beside its head and body


class PipelineConnection(Protocol):
    """The connection whose requests a pipeline serves."""

    buffers: BufferBudget
    idle_since_s: float
    is_lost: bool

    def on_pipeline_advanced(self) -> None:
        """Resume reading, if it waited for a response."""

    def close_if_disconnected(self) -> bool:
        """Close and return True if the client has disconnected."""

    def continue_later(self) -> None:
        """Go on in a later turn of the loop with what has been received."""

    def has_unparsed(self) -> bool:
        """Return whether received bytes wait for a later turn."""

    def wait_for_end(self, on_known: Callable[[], None]) -> bool:
        """Call `on_known` once the client's end would have come, if it may follow; return whether it may."""

    def probe_after_response(self, on_probed: Callable[[], None]) -> bool:
        """Call `on_probed` once it is known whether a client has left whose end can't be seen."""

    def close_after_body(self) -> None:
        """Close now, or after the body being received."""


class PipelineListener(Protocol):
    """What a pipeline uses of the listener: the request handler, the classes, the state of the shutdown."""

    handler: RequestHandler
    report_error: Callable[[str], None]
    class_names: frozenset[str]
    is_shutting_down: bool
    is_closing_connections: bool


class RequestPipeline:
    """The queued requests of a connection, the one that is being served, and its response."""

    def __init__(self, connection: PipelineConnection, listener: PipelineListener) -> None:
        self._connection = connection
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._waiting: list[DownstreamRequest] = []  # few: an empty deque would take 600 bytes more
        self._current: DownstreamRequest | None = None
        self._rejection: RequestRejection | None = None  # of input after the queued requests
        self._is_advancing = False
        self._is_probing = False  # whether the client has left
        self.written_parts = 0  # of streamed responses
        self.is_streaming = False  # whether a response is being streamed
        self._ends_with_close = False  # whether only the close marks the end of the streamed response
        self.unsent = BufferReservation(connection.buffers)
        self._queued = BufferReservation(connection.buffers)

    def connect(self, transport: asyncio.Transport) -> None:
        """Write to `transport` from now on."""
        self._transport = transport

    # ---- requests ---------------------------------------------------------------------------

    def is_empty(self) -> bool:
        """Return whether no request is being served or queued."""
        return self._current is None and not self._waiting

    def is_full(self) -> bool:
        """Return whether reading should wait until some requests have been answered."""
        max_waiting = 0 if self._connection.buffers.is_scarce() else MAX_PIPELINED_REQUESTS
        return len(self._waiting) > max_waiting

    def is_current(self, request: DownstreamRequest) -> bool:
        """Return whether this request is being served."""
        return request is self._current

    def is_serving(self) -> bool:
        """Return whether a request is being served."""
        return self._current is not None

    def has_waiting(self) -> bool:
        """Return whether a request waits for its turn."""
        return bool(self._waiting)

    def has(self, request: DownstreamRequest) -> bool:
        """Return whether this request is being served or queued."""
        return request is self._current or request in self._waiting

    def append(self, request: DownstreamRequest) -> None:
        """Queue a request."""
        self._waiting.append(request)
        self._count_queued()

    def _count_queued(self) -> None:
        self._queued.resize(QUEUED_REQUEST_BYTES * len(self._waiting))

    def on_request_received(self, request: DownstreamRequest) -> None:
        """Handle the end of a request, which may already be served or queued if its body is long."""
        if request is self._current:
            self._listener.handler.on_request_completed(request)
        elif request not in self._waiting:
            self.append(request)

    def reject_unfinished(self, request: DownstreamRequest, status: int) -> None:
        """End the request that is being served, whose server has not got its end."""
        self._listener.handler.on_request_failed(request, status)

    def give_up_untaken(self) -> None:
        """End the request that is served if no server has got all of it, as its client may have left.

        While its body still arrives, a closed window says nothing: its client writes on.
        """
        if self._current is not None and self._current.body.is_complete:
            self._listener.handler.on_client_unseen(self._current)

    def reject(self, request: DownstreamRequest | None, status: int, reason: str) -> None:
        """End with this response, for invalid input or a request whose rest will not arrive."""
        if request is not None and request is self._current:
            self._listener.handler.on_request_failed(request, status)
            return
        if request is not None:
            request.release()
            if request in self._waiting:
                self._waiting.remove(request)
                self._count_queued()
        self._rejection = self._rejection or RequestRejection(status, reason)
        self.advance()

    def abandon(self, incoming: DownstreamRequest | None) -> None:
        """Drop all requests and the one being received, as the client has disconnected."""
        for request in (*self._waiting, incoming):
            if request is not None and request is not self._current:
                request.release()
        self._waiting.clear()
        self._count_queued()
        self._rejection = None
        self.is_streaming = False
        if (request := self._current) is not None:
            self._current = None
            request.is_open = False
            self._listener.handler.on_client_disconnected(request)

    def advance(self) -> None:
        """Serve the next request once the response before it has been sent, or then send any rejection."""
        if self._is_advancing or self._transport is None or self._transport.is_closing():
            return
        self._is_advancing = True
        try:
            if self._can_serve() and not self._must_wait_for_end():
                self._current = self._waiting.pop(0)
                self._count_queued()
                self._serve(self._current)
        finally:
            self._is_advancing = False
        if self._can_serve():  # it was answered at once
            self._connection.continue_later()
        if self._rejection is not None and self.is_empty():
            rejection = self._rejection
            self._rejection = None
            self._listener.handler.on_input_rejected(rejection.status)
            self._write(rejection.status, b"", rejection.reason.encode() + b"\n", close=True)
        self._connection.on_pipeline_advanced()

    def _can_serve(self) -> bool:
        """Return whether a request waits for nothing; at most one response is buffered for its client."""
        if not self._waiting or self._current is not None or self._transport is None or self._is_probing:
            return False
        return not self._transport.is_closing() and self._transport.get_write_buffer_size() == 0

    def _must_wait_for_end(self) -> bool:
        """Return whether the next request, which is complete, waits to see whether its client has left."""
        if self._waiting[0].body.is_complete and self._connection.wait_for_end(self._on_probed):
            self._is_probing = True
        return self._is_probing

    def _serve(self, request: DownstreamRequest) -> None:
        # Requests for no class of service close the connection: such clients are many, and would stay.
        if request.target == b"/healthz" and request.method == b"GET":
            request.keep_alive = False
            request.release()
            if self._listener.is_shutting_down:  # tell health checkers to send requests elsewhere
                request.send_response(503, body=b"ending\n")
            else:
                request.send_response(200, body=b"ok\n")
        elif rejection := request.validate(self._listener.class_names):
            self._listener.handler.on_input_rejected(rejection.status)
            request.keep_alive = False
            request.release()
            request.send_response(rejection.status, body=rejection.reason.encode() + b"\n")
        elif self._connection.close_if_disconnected():
            request.release()  # it waited until now, in the kernel or in the queue
        else:
            try:
                self._listener.handler.on_request_arrived(request)
            except Exception:  # whatever happens, the client must get a response
                self._listener.report_error("could not handle a request")
                request.release()
                request.send_response(500)

    # ---- the response of the current request ------------------------------------------------

    def send_response(
        self, request: DownstreamRequest, status: int, header_lines: bytes, body: bytes
    ) -> None:
        """Write a complete response."""
        if self._connection.is_lost or request is not self._current:
            return
        self._current = None
        self._write(status, header_lines, body, close=self._is_last(request))
        self.advance()

    def _is_last(self, request: DownstreamRequest) -> bool:
        """Return whether the connection closes after the response to this request."""
        if not request.body.is_complete:
            return True  # the rest of the body must not be parsed as a request
        is_last = not self._waiting and self._rejection is None and not self._connection.has_unparsed()
        return is_last and (self._listener.is_closing_connections or not request.keep_alive)

    def _write(self, status: int, header_lines: bytes, body: bytes, *, close: bool) -> None:
        assert self._transport is not None
        self._connection.idle_since_s = time.monotonic()
        self._transport.write(encode_response(status, header_lines, body, close=close))
        if close:
            self._connection.close_after_body()
        else:
            self._probe_client()

    def _probe_client(self) -> None:
        """Let the next request wait if the client may have left unseen: a reset will follow the response."""
        if not self._is_probing:
            self._is_probing = self._connection.probe_after_response(self._on_probed)

    def _on_probed(self) -> None:
        self._is_probing = False
        if not self._connection.is_lost and not self._connection.close_if_disconnected():
            self.advance()

    def start_response(self, request: DownstreamRequest, header_lines: bytes, length: int | None) -> None:
        """Write the head of a streamed response."""
        if self._connection.is_lost or self._transport is None or request is not self._current:
            return
        self.is_streaming = True
        self._ends_with_close = length is None and request.version == "1.0"
        close = self._is_last(request) or self._ends_with_close
        request.keep_alive = not close
        if length is None and request.version == "1.1":
            header_lines = header_lines + b"Transfer-Encoding: chunked\r\n"
            request.is_chunked = True
        self._transport.write(encode_response_head(200, header_lines, length, close=close))

    def send_body_part(self, request: DownstreamRequest, data: bytes) -> None:
        """Write a part of the body of a streamed response."""
        if self._connection.is_lost or self._transport is None or request is not self._current:
            return
        self.written_parts += 1
        self._transport.write(encode_chunk(data) if request.is_chunked else data)

    def end_response(self, request: DownstreamRequest) -> None:
        """Write the end of a streamed response."""
        if self._connection.is_lost or self._transport is None or request is not self._current:
            return
        self._current = None
        self.is_streaming = False
        self._connection.idle_since_s = time.monotonic()
        if request.is_chunked:
            self._transport.write(LAST_CHUNK)
        if not request.keep_alive or self._is_last(request):
            self._connection.close_after_body()
        else:
            self._probe_client()
        self.advance()

    def abort(self) -> None:
        """Abort the connection in the middle of a response, so that the client sees that it is incomplete."""
        if self._transport is not None:
            if self._ends_with_close and not self._transport.is_closing():
                reset_on_close(self._transport)  # an orderly close would mark the response as complete
            self._transport.abort()

    # ---- flow control -----------------------------------------------------------------------

    def pause_writing(self) -> None:
        """Pause the upstream: the client reads too slowly."""
        assert self._transport is not None
        self.unsent.resize(self._transport.get_write_buffer_size())
        if self.is_streaming and self._current is not None and self._current.response_source is not None:
            self._current.response_source.pause()

    def resume_writing(self) -> None:
        """Resume the upstream: the client has caught up."""
        self.unsent.resize(0)
        if self.is_streaming and self._current is not None and self._current.response_source is not None:
            self._current.response_source.resume()
        self.advance()
