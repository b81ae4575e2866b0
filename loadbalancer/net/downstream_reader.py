"""Reads requests from a client's connection, with a timeout and flow control, until one is invalid."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from loadbalancer.net.downstream_flow import ReadingControl
from loadbalancer.net.downstream_parser import InvalidRequestError, RequestParser
from loadbalancer.net.downstream_pipeline import RequestPipeline
from loadbalancer.net.downstream_read_lag import NOTICEABLE_LAG_S, ReadLag, is_unwritten
from loadbalancer.net.downstream_request import SHEDDING_REASON, DownstreamRequest, RequestConnection
from loadbalancer.net.downstream_timeout import RequestTimer
from loadbalancer.net.memory_limits import MAX_UNSHED_HEAD_BYTES
from loadbalancer.net.message_body import BufferReservation
from loadbalancer.net.sockets import (
    peek_socket,
    receive_buffer_bytes,
    received_segment_bytes,
    since_last_received_s,
    unread_bytes,
)

MIN_WINDOW_BYTES = 16_384  # a closed receive window has at least so much before it
MAX_REQUESTS_PER_TURN = 2  # that are parsed of one connection; the rest waits for later turns of the loop
MAX_PARSE_S = 0.0003  # in one turn, after which only a piece that has begun is finished


class ReaderConnection(RequestConnection, Protocol):
    """The connection that a reader belongs to."""

    is_lost: bool
    closes_after_body: bool

    def continue_later(self) -> None:
        """Go on in a later turn of the loop with what has been received."""

    def unread_since_s(self) -> float:
        """Return since when what is read now may have been waiting, at the worst (monotonic clock)."""

    def may_have_disconnected(self) -> bool:
        """Return whether the client may have left without the kernel's seeing it."""

    def shed_heads(self) -> None:
        """Reject heads that are still coming in, as the buffers are full."""

    def check_presence(self) -> bool:
        """Close and return True if the client has disconnected; begin nothing more if it may have."""

    def half_close(self) -> None:
        """Shut down our sending side, and read on for a moment."""


class RequestReader:
    """Reads requests into a connection's pipeline, which answers them in turn."""

    def __init__(
        self, connection: ReaderConnection, pipeline: RequestPipeline, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._connection = connection
        self._pipeline = pipeline
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(connection, self)
        self._timer = RequestTimer(loop, self._on_timeout)
        self.lag = ReadLag()
        self.control = ReadingControl(loop, self.lag, connection.check_presence)
        self._unparsed = b""  # received, for a later turn
        self._behind_bytes = 0  # of what has been read, behind what is being parsed
        self.last_read_bytes = 0
        self._unparsed_reservation = BufferReservation(connection.buffers)
        self._written_after_s = 0.0  # when what is being parsed can have been written at the earliest
        self._requests_in_turn = 0
        self.is_stopped = False  # no more requests are accepted; further input is read and dropped
        self.has_received_request = False  # a complete one

    def connect(self, transport: asyncio.Transport) -> None:
        """Read from `transport` from now on, and wait for the first request."""
        self._transport = transport
        self._update_timer()

    def is_receiving(self) -> bool:
        """Return whether a request has been received in part."""
        return self._parser.is_receiving

    def has_open_request(self) -> bool:
        """Return whether the body of a request is still incomplete."""
        return self._parser.request is not None

    def _note_delay(self, read_bytes: int, *, is_drained: bool) -> None:
        """Count the time from the arrival of what was read, if nobody could read it before."""
        since_s = self._connection.unread_since_s()
        if self._transport is None or time.monotonic() < since_s + NOTICEABLE_LAG_S:
            return
        since_received_s = since_last_received_s(self._transport) if is_drained else None
        if since_received_s is not None:
            since_s = max(since_s, time.monotonic() - since_received_s)
        self.lag.on_held_up(
            since_s,
            read_bytes + unread_bytes(self._transport),
            receive_buffer_bytes(self._transport),
            received_segment_bytes(self._transport),
        )

    def has_unparsed(self) -> bool:
        """Return whether received bytes wait for a later turn."""
        return bool(self._unparsed)

    def has_more_behind(self) -> bool:
        """Return whether the client has sent more than what has been parsed: its end comes after that."""
        if self._behind_bytes or self._transport is None:
            return self._behind_bytes > 0
        if self.lag.is_drained and self.last_read_bytes < MIN_WINDOW_BYTES:
            return False  # the window was open, so that the kernel has seen the end, if there is one
        return unread_bytes(self._transport) > 0

    def feed(self, data: memoryview, *, is_drained: bool) -> None:
        """Parse received bytes, and serve what can be served; `is_drained` if the kernel has no more."""
        self.last_read_bytes = len(data)
        self._note_delay(len(data), is_drained=is_drained)
        self._written_after_s = self.lag.written_after_s()
        if self._unparsed or not self._parser.is_quickly_parsed(data):
            self._keep_unparsed(memoryview(self._unparsed + data))
        else:
            self._keep_unparsed(self._parse(data))
        if self.is_stopped:
            return
        self._update_lag(is_drained=is_drained)
        self._serve_received()

    def continue_parsing(self) -> None:
        """Parse what an earlier turn has left over, as far as there is room for it."""
        if not self._unparsed or not self._can_parse():
            return
        self._keep_unparsed(self._parse(memoryview(self._unparsed)))
        if not self.is_stopped:
            self._serve_received()

    def _can_parse(self) -> bool:
        request = self._parser.request
        return not self._pipeline.is_full() and (request is None or request.body.can_receive())

    def _parse(self, data: memoryview) -> memoryview:
        """Parse what one turn has time for, and return the rest."""
        ends_s = time.monotonic() + MAX_PARSE_S
        self._requests_in_turn = 0
        while data and not self.is_stopped:
            try:
                piece = data[: self._parser.piece_bytes(data)]
                self._behind_bytes = len(data) - len(piece)
                data = data[self._parser.feed(piece) :]
            except InvalidRequestError as error:
                if not self.is_stopped:
                    self._reject(error.status, error.reason)
            if self._requests_in_turn >= MAX_REQUESTS_PER_TURN or time.monotonic() >= ends_s:
                break
        return data

    def _keep_unparsed(self, rest: memoryview) -> None:
        self._unparsed = b"" if self.is_stopped else bytes(rest)
        self._behind_bytes = len(self._unparsed)
        self._unparsed_reservation.resize(len(self._unparsed))

    def incomplete_head_bytes(self) -> int:
        """Return how much of a head is held that is not complete."""
        return 0 if self.is_stopped else self._parser.head_bytes()

    def receiving_since_s(self) -> float:
        """Return since when the current request is being received, on the monotonic clock."""
        return self._timer.started_s

    def shed(self) -> None:
        """Reject the request whose head is coming in: its memory is needed."""
        self._reject(503, SHEDDING_REASON)

    def _serve_received(self) -> None:
        if self.incomplete_head_bytes() > MAX_UNSHED_HEAD_BYTES and self._connection.buffers.is_full():
            self._connection.shed_heads()
            if self.is_stopped:
                return
        self._queue_large_request()
        self._pipeline.advance()
        self._update_timer()

    def _update_lag(self, *, is_drained: bool) -> None:
        self.lag.on_read(is_drained=is_drained)
        request = self._parser.request
        if request is None or self._transport is None:
            return
        missing_bytes = request.body.missing_bytes()
        if not is_unwritten(missing_bytes) or not self.lag.is_noticeable():
            return
        if is_unwritten(missing_bytes - unread_bytes(self._transport)):
            self.lag.restart()

    def _queue_large_request(self) -> bool:
        """Queue the request being received if its body is to be streamed; return whether it was queued."""
        request = self._parser.request
        if request is None or self._is_queued(request) or not request.body.is_too_large_to_buffer():
            return False
        self._pipeline.append(request)
        return True

    def _is_queued(self, request: DownstreamRequest) -> bool:
        return self._pipeline.has(request) or self._connection.closes_after_body

    def _stop_parsing(self) -> None:
        self.is_stopped = True
        self._keep_unparsed(memoryview(b""))

    def stop(self) -> DownstreamRequest | None:
        """Accept no more requests; return the one being received."""
        self._stop_parsing()
        self._update_timer()
        self.control.stop_polling()
        self._parser.release()
        return self._parser.take_request()

    def _reject(self, status: int, reason: str) -> None:
        """Accept no more requests: the one being received ends with this response."""
        self._stop_parsing()
        self._update_timer()
        self._parser.release()
        self._pipeline.reject(self._parser.take_request(), status, reason)

    def discard_body(self) -> None:
        """Drop the body being received, and read the rest as fast as it arrives."""
        if self._parser.request is not None:
            self._parser.request.body.discard()
            self.update()

    # ---- the parser's events ----------------------------------------------------------------

    def on_request_started(self) -> None:
        """Time each request from its first byte, the first one from the connection's start."""
        if self.has_received_request:
            self._timer.restart()

    def on_request_received(self, request: DownstreamRequest) -> None:
        """Handle the end of a request."""
        self.has_received_request = True
        self._requests_in_turn += 1
        request.written_after_s = self._written_after_s
        if request.body.is_streamed() and self._connection.may_have_disconnected():
            request.body.discard()  # its end is not sent, so that it does not begin
            request.body.complete()
            self._pipeline.reject_unfinished(request, 503)
            return
        request.body.complete()
        if self._connection.closes_after_body:
            self._connection.half_close()
        else:
            self._pipeline.on_request_received(request)

    # ---- flow control -----------------------------------------------------------------------

    def on_pipeline_advanced(self) -> None:
        """Resume what may have waited for a response."""
        self._send_continue()
        self.update()

    def _send_continue(self) -> None:
        """Send 100 Continue to a client that waits for it, once it is its turn (RFC 9110, 10.1.1)."""
        request = self._parser.request
        if request is None or not request.expects_continue or self._transport is None:
            return
        if self._connection.closes_after_body:
            return
        if self._pipeline.is_empty() or self._pipeline.is_current(request):
            request.expects_continue = False
            self._timer.restart()  # the client was waiting until now
            self._update_timer()
            can_continue = request.version == "1.1" and not self._transport.is_closing()
            if request.body.received_bytes == 0 and can_continue:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def update(self) -> None:
        """Resume reading if the queue and the body have room, else pause."""
        if self._transport is None or self._connection.is_lost or self._transport.is_closing():
            return
        if self._queue_large_request():  # the buffers have filled up since its last bytes were read
            self._pipeline.advance()  # it calls this again
            return
        can_parse = self._can_parse()
        if self._unparsed and can_parse:
            self._connection.continue_later()
        is_full = (bool(self._unparsed) or not can_parse) and not self.is_stopped
        if is_full and not self.control.is_paused:
            self.control.pause(self._transport)
            self._update_timer()
        elif not is_full and self.control.is_paused:
            self._timer.extend(self.control.resume(self._transport))  # this side had paused, not the client
            self._update_timer()

    # ---- request timeout --------------------------------------------------------------------

    def _update_timer(self) -> None:
        """Let the timer run while the first request, or the rest of one, is awaited."""
        is_running = self._parser.is_receiving or not self.has_received_request
        is_running = is_running and not (self.is_stopped or self.control.is_paused)
        request = self._parser.request
        received_bytes = 0
        if request is not None:
            is_running = is_running and not request.expects_continue
            received_bytes = request.body.received_bytes
        self._timer.update(is_running=is_running, received_bytes=received_bytes)

    def _on_timeout(self) -> None:
        request = self._parser.request
        received_bytes = 0 if request is None else request.body.received_bytes
        if not self._timer.is_due(received_bytes):
            self._update_timer()
        elif self._transport is not None and peek_socket(self._transport):
            self._update_timer()  # more has arrived, and is read next
        elif self._parser.is_receiving and not self._connection.closes_after_body:
            self._reject(408, "the request is not whole")
        else:
            self._connection.half_close()
