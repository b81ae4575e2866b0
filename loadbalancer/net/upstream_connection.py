"""A connection to an upstream: it carries one request at a time, and is idle in its pool in between."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol, cast

from loadbalancer.net.http_framing import LAST_CHUNK, LENGTH_NOT_GIVEN, encode_chunk
from loadbalancer.net.long_heads import LongHeads
from loadbalancer.net.message_body import MAX_BUFFERED_BODY_BYTES, Body, BufferBudget, BufferReservation
from loadbalancer.net.paced_reading import PacedReading
from loadbalancer.net.sockets import peek_socket, reset_on_close, set_no_delay, unread_bytes, unsent_bytes
from loadbalancer.net.turn_queue import TurnQueue
from loadbalancer.net.upstream_response import RESPONSE_ERRORS, ResponseReader

SUCCESS_STATUS = 200
MAX_PARSE_S = 0.0003  # in one turn of the loop, after which only a piece that has begun is finished
# A response of unknown length is buffered for at most this long before it is streamed.
MAX_RESPONSE_BUFFERING_S = 0.05


class ConnectionUser(Protocol):
    """The attempt that uses a connection."""

    def on_request_written(self) -> None:
        """Handle that the last byte of the request was sent."""

    def on_progress(self) -> None:
        """Record that bytes were sent or received."""

    def is_streaming(self) -> bool:
        """Return whether the response is being streamed."""

    def on_response_begun(self) -> None:
        """Handle the head of a response whose length it does not give."""

    def start_streaming(self, reader: ResponseReader) -> None:
        """Stream a long response to the client."""

    def stream(self, data: bytes) -> None:
        """Forward a part of the response."""

    def on_response_completed(self, reader: ResponseReader) -> None:
        """Handle a complete response."""

    def on_connection_failed(self) -> None:
        """Handle that the connection closed or delivered an invalid response."""


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    loop: asyncio.AbstractEventLoop
    buffers: BufferBudget
    turns: TurnQueue
    long_heads: LongHeads

    def on_connection_opened(self) -> None:
        """Count a connection."""

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has closed."""

    def return_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next request."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to an upstream, in its pool for as long as it is idle."""

    def __init__(self, pool: ConnectionOwner) -> None:
        """Count as open from now on, until it is closed."""
        self._pool = pool
        pool.on_connection_opened()
        self.idle_since_s = 0.0
        self._budget = pool.buffers
        self._unsent = BufferReservation(self._budget)  # of the request, in the transport's buffer
        self._unread = BufferReservation(self._budget)  # of the response, in the reader
        self._attempt: ConnectionUser | None = None
        self._body: Body | None = None  # if it is streamed after the head
        self._transport: asyncio.Transport | None = None
        self._reader: ResponseReader | None = None
        self._streaming_timer: asyncio.TimerHandle | None = None
        self._is_writing_paused = False
        self._offered_bytes = 0  # for the next read
        self._reading = PacedReading(pool.turns, self._parse)
        self._is_body_ended = False
        self._is_written = False
        self._is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the buffer limits to 0, so that any byte left in our buffer pauses writing."""
        self._transport = cast(asyncio.Transport, transport)
        self._reading.connect(self._transport)
        set_no_delay(transport)
        self._transport.set_write_buffer_limits(high=0, low=0)

    # ---- the request ------------------------------------------------------------------------

    def send_request(self, attempt: ConnectionUser, request: bytes, body: Body | None) -> None:
        """Send a request, followed by its body if that is still arriving, and wait for the response."""
        assert self._transport is not None
        self._attempt = attempt
        self._body = body
        self._is_written = False
        self._reader = self._reader or ResponseReader()
        self._reader.reset()
        self._is_body_ended = body is None
        self._transport.write(request)
        if body is None:
            self._check_written()
        else:
            body.stream_to(self)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        assert self._transport is not None and self._body is not None
        self._transport.write(data if self._body.length is not None else encode_chunk(data))
        if self._attempt is not None:
            self._attempt.on_progress()

    def end(self) -> None:
        """Send the end of the body."""
        assert self._transport is not None and self._body is not None
        self._is_body_ended = True
        if self._body.length is None:
            self._transport.write(LAST_CHUNK)
        self._check_written()

    def is_ready(self) -> bool:
        """Return whether more of the body can be written now."""
        return not self._is_writing_paused

    def pause_writing(self) -> None:
        """Handle that bytes are left in our buffer."""
        assert self._transport is not None
        self._is_writing_paused = True
        self._unsent.resize(self._transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Go on: our buffer is empty."""
        self._is_writing_paused = False
        self._unsent.resize(0)
        if self._attempt is None:
            return
        self._attempt.on_progress()
        self._check_written()
        if self._body is not None and not self._is_body_ended:
            self._body.on_sink_ready()

    def _check_written(self) -> None:
        assert self._transport is not None
        is_sent = self._transport.get_write_buffer_size() == 0 and not self._transport.is_closing()
        if self._attempt is not None and self._is_body_ended and is_sent and not self._is_written:
            self._is_written = True
            self._attempt.on_request_written()

    def is_written(self) -> bool:
        """Return whether the last byte of the request was sent."""
        return self._is_written

    def has_unsent_bytes(self) -> bool:
        """Return whether the kernel has yet to send a part of what was written."""
        if self._transport is None or self._transport.is_closing():
            return False
        return unsent_bytes(self._transport) > 0

    def has_unread_bytes(self) -> bool:
        """Return whether bytes of the upstream wait to be read or parsed."""
        if self._transport is None or self._transport.is_closing():
            return False
        return bool(self._reading.unparsed) or unread_bytes(self._transport) > 0

    def is_alive(self) -> bool:
        """Return whether the socket is open and has nothing to read; the loop may not know of its end yet."""
        if self._is_closed or self._transport is None or self._transport.is_closing():
            return False
        return peek_socket(self._transport) is None  # neither end of file nor unsolicited bytes

    # ---- the response -----------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        buffer = self._budget.receive_buffer()
        self._offered_bytes = len(buffer)
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; anything but a valid response fails the attempt or closes the connection."""
        attempt, reader = self._attempt, self._reader
        if attempt is None or reader is None:
            self.close()
            return
        attempt.on_progress()
        is_buffer_full = nbytes == self._offered_bytes
        if is_buffer_full:
            self._pool.turns.begin_long_read()
        data = self._budget.received(nbytes)
        is_quickly_parsed = reader.is_quickly_parsed(data)
        self._reading.on_read(data, is_quickly_parsed=is_quickly_parsed, is_buffer_full=is_buffer_full)
        if self._attempt is attempt:
            self._unread.resize(reader.held_bytes() + len(self._reading.unparsed))

    def _parse(self, data: memoryview) -> None:
        """Parse what one turn has time for; the rest waits for a later one."""
        attempt, reader = self._attempt, self._reader
        if attempt is None or reader is None:
            return
        ends_s = time.monotonic() + MAX_PARSE_S
        try:
            while data and not reader.is_complete:
                piece = data[: reader.piece_bytes()]
                reader.feed(piece)
                data = data[len(piece) :]
                if time.monotonic() >= ends_s:
                    break
        except RESPONSE_ERRORS:
            attempt.on_connection_failed()
            return
        if reader.is_complete and data:
            reader.is_reusable = False  # nobody has asked for what follows
        self._reading.keep(b"" if reader.is_complete else data)
        self._handle_response(attempt, reader)

    def _handle_response(self, attempt: ConnectionUser, reader: ResponseReader) -> None:
        """Stream, buffer or complete a response, as far as it has arrived."""
        if attempt.is_streaming():
            attempt.stream(reader.take_body())
        elif not reader.is_complete and reader.has_head:
            if reader.status != SUCCESS_STATUS:
                if self._is_too_much_to_hold(reader):
                    attempt.on_response_completed(reader)  # the rest of it is not needed
                    return
            elif self._is_too_much_to_hold(reader):
                attempt.start_streaming(reader)
            elif reader.length in (None, LENGTH_NOT_GIVEN) and self._streaming_timer is None:
                self._streaming_timer = self._pool.loop.call_later(
                    MAX_RESPONSE_BUFFERING_S, self._on_buffering_timeout
                )
                attempt.on_response_begun()
        self._unread.resize(reader.held_bytes() + len(self._reading.unparsed))
        self._pool.long_heads.update(self, 0 if reader.is_complete else reader.parser_bytes())
        if reader.is_complete and self._attempt is attempt:
            attempt.on_response_completed(reader)

    def _is_too_much_to_hold(self, reader: ResponseReader) -> bool:
        """Return whether a response should not be buffered until it is complete."""
        if max(reader.buffered_bytes, reader.length or 0) > MAX_BUFFERED_BODY_BYTES:
            return True
        return self._budget.is_full() and (reader.buffered_bytes > 0 or reader.has_long_head())

    def shed(self) -> None:
        """Fail the attempt: the memory that its response takes is needed."""
        if self._attempt is not None:
            self._attempt.on_connection_failed()

    def _on_buffering_timeout(self) -> None:
        attempt, reader = self._attempt, self._reader
        self._streaming_timer = None
        if attempt is not None and reader is not None and reader.buffered_bytes:
            attempt.start_streaming(reader)
            self._unread.resize(reader.held_bytes() + len(self._reading.unparsed))

    def start_streaming(self) -> bool:
        """Stream a response that has begun and whose length is not known; return whether there is one."""
        attempt, reader = self._attempt, self._reader
        if attempt is None or reader is None or not reader.has_head or reader.is_complete:
            return False
        if reader.status != SUCCESS_STATUS or reader.length not in (None, LENGTH_NOT_GIVEN):
            return False
        if not attempt.is_streaming():
            attempt.start_streaming(reader)
            self._unread.resize(reader.held_bytes() + len(self._reading.unparsed))
        return True

    def pause(self) -> None:
        """Read no more for now: the client is behind."""
        self._reading.pause()

    def resume(self) -> None:
        """Read again."""
        self._reading.resume()

    def eof_received(self) -> None:
        """Handle the upstream's end of file, which may end its response; the transport then closes itself."""
        if self._attempt is not None and self._reader is not None:
            if self._reader.feed_eof():
                self._handle_response(self._attempt, self._reader)
            else:
                self._attempt.on_connection_failed()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count as closed, and notify the attempt in progress."""
        self._mark_closed()
        if self._attempt is not None:
            self._attempt.on_connection_failed()

    def release(self, *, reuse: bool) -> None:
        """Detach the attempt; return the connection to its pool if `reuse` and it is clean, else close it."""
        self._attempt = None
        self._reading.keep(b"")
        self._pool.long_heads.update(self, 0)
        if self._body is not None and not self._body.is_complete:
            self._body.discard()
            self._body.on_sink_ready()
        self._body = None
        if self._streaming_timer is not None:
            self._streaming_timer.cancel()
            self._streaming_timer = None
        self._unread.resize(0)
        if reuse and self._is_written and self._reader is not None and self._reader.is_reusable:
            self.resume()
            self._pool.return_idle(self)
        else:
            self._close_after_exchange()

    def _close_after_exchange(self) -> None:
        """Close; with a reset if the kernel would otherwise go on to send a request that is given up."""
        if self._transport is not None and self.has_unsent_bytes():
            reset_on_close(self._transport)
        self.close()

    def close(self) -> None:
        """Close at once, so that the upstream notices."""
        self._mark_closed()
        if self._transport is not None:
            self._transport.abort()

    def _mark_closed(self) -> None:
        self._unsent.resize(0)
        if not self._is_closed:
            self._is_closed = True
            if self._reader is not None:
                self._reader.release()
            self._pool.on_connection_closed(self)
