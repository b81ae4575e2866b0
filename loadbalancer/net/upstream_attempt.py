"""One attempt at an upstream: its timers, its connection, and the outcome of each way it can end.

Each attempt ends exactly once. In doubt the request counts as one that may have run, so that no request is
run twice against the rules of its class.
"""

from __future__ import annotations

import asyncio
import math
import time

from loadbalancer.interface import Outcome
from loadbalancer.net.attempt_handler import AttemptHandler, AttemptPool, ResponseSink
from loadbalancer.net.attempt_timers import AttemptTimers
from loadbalancer.net.http_framing import LENGTH_NOT_GIVEN
from loadbalancer.net.message_head import ResponseHead
from loadbalancer.net.response_progress import MAX_LONG_RESPONSE_PAUSE_S, ResponseProgress
from loadbalancer.net.upstream_connection import UpstreamConnection
from loadbalancer.net.upstream_response import ResponseReader, UpstreamResponse

# A server runs no request before its last byte: an unwritten attempt ends as CONNECT_FAILED instead.
IMPOSSIBLE_IF_UNWRITTEN = (Outcome.RESET, Outcome.TIMED_OUT, Outcome.ERROR)
# A response that has begun is streamed so long before the attempt's timeout: its head must arrive in time.
STREAMING_MARGIN_S = 0.02
# A response that is there when its time is over is read within this time: the process was held up.
UNREAD_RESPONSE_GRACE_S = 0.02


def _outcome_of(head: ResponseHead) -> Outcome:
    if head.status == 200:
        return Outcome.SERVED
    if head.status in (503, 504) and head.has_not_run:
        return Outcome.REJECTED
    return Outcome.ERROR


class Attempt(AttemptTimers):
    """One attempt at a server; its handler is notified of its end exactly once, whatever events race."""

    __slots__ = (
        "_connect_task",
        "_connection",
        "_handler",
        "_has_waited_for_read",
        "_is_body_incomplete",
        "_is_over",
        "_is_paused",
        "_new_connection",
        "_pool",
        "_progress",
        "_sink",
        "_timeout_s",
        "_write_by_s",
        "connect_duration_s",
    )

    def __init__(self, pool: AttemptPool, handler: AttemptHandler) -> None:
        super().__init__(pool.loop)
        self._pool = pool
        self._handler = handler
        self._is_over = False
        self._is_paused = False  # while the client reads too slowly
        self._has_waited_for_read = False
        self._is_body_incomplete = handler.body is not None  # at the start
        self._connection: UpstreamConnection | None = None
        self._new_connection: UpstreamConnection | None = None  # being established
        self._connect_task: asyncio.Task[None] | None = None
        self._timeout_s = 0.0
        self._write_by_s = math.inf
        self.connect_duration_s: float | None = None  # if it opened a connection
        self._sink: ResponseSink | None = None
        self._progress: ResponseProgress | None = None  # of a streamed response

    def start(self, timeout_s: float, write_within_s: float, connect_within_s: float) -> None:
        """Begin on an idle connection, or open one; the handler is not notified before this returns.

        The timeout runs from now, or from the last byte of a body that is still arriving. In that case the
        attempt also ends once its handler has no time left, sent or not. If the last byte is not sent within
        `write_within_s`, or a new connection not up within `connect_within_s`, the attempt ends.
        """
        self._timeout_s = timeout_s
        if write_within_s < math.inf:
            self._write_by_s = time.monotonic() + write_within_s
            self._write_timer = self._loop.call_later(
                write_within_s, self.cancel_if_unwritten, Outcome.CONNECT_FAILED
            )
        if not self._is_body_incomplete:
            self._set_timer(timeout_s, self._on_timeout)
        else:
            self._watch_progress()
        connection = self._pool.take_idle()
        if connection is not None:
            self._send(connection)
            return
        self._new_connection = self._pool.create_connection()
        if self._new_connection is not None:
            connect = self._connect(self._new_connection, connect_within_s)
            self._connect_task = self._loop.create_task(connect)
        else:
            self._loop.call_soon(self._end, Outcome.CONNECT_FAILED)

    def cancel(self) -> None:
        """End the attempt; closing its connection notifies the upstream."""
        self._end(Outcome.CANCELLED)

    def cancel_if_unwritten(self, outcome: Outcome = Outcome.NOT_SENT) -> None:
        """End the attempt unless its last byte was sent: the server then has not begun it and never will.

        What was written and waits in the kernel is withdrawn, too; it counts as one that may have run.
        """
        if self._is_over:
            return
        if not self._is_written():
            self._end(outcome)
        elif self._connection is not None and self._connection.has_unsent_bytes():
            self._end(Outcome.CANCELLED)

    def is_in_flight(self) -> bool:
        """Return whether the attempt is in progress."""
        return not self._is_over

    def is_untaken(self) -> bool:
        """Return whether the kernel has yet to send a part of the request, or the attempt to write it."""
        return self._connection is None or not self._is_written() or self._connection.has_unsent_bytes()

    def is_unwritten(self) -> bool:
        """Return whether the attempt is in progress and its last byte is not sent yet."""
        return not (self._is_over or self._is_written())

    def _is_written(self) -> bool:
        return self._connection is not None and self._connection.is_written()

    def on_request_written(self) -> None:
        """Handle that the last byte was sent: the response's timeout begins."""
        self._handler.on_request_written()
        if self._is_body_incomplete and not self._is_over:
            timeout_s = min(self._timeout_s, self._handler.remaining_s())
            self._set_timer(max(timeout_s, 0.0), self._on_timeout)

    def is_streaming(self) -> bool:
        """Return whether the response is being streamed to the client: it can't be replaced any more."""
        return self._sink is not None

    def response_progress(self) -> ResponseProgress | None:
        """Return how far the response has come, if it is being streamed."""
        return self._progress

    def is_paused(self) -> bool:
        """Return whether the client holds the response up."""
        return self._is_paused

    def end_at_shutdown(self) -> None:
        """End a streamed response that makes no progress, as the time for the shutdown is over."""
        if self._progress is not None and not self._is_over:
            self._progress.end_at_shutdown(time.monotonic())
            self._set_timer(self._until_check_s(), self._check_progress)

    def on_response_begun(self) -> None:
        """Leave time to stream a response of unknown length: it is long, perhaps, and must not be cut off."""
        if self._is_written():
            remaining_s = self._due_s - STREAMING_MARGIN_S - time.monotonic()
            self._set_timer(max(remaining_s, 0.0), self._on_timeout)

    def stream_if_begun(self) -> bool:
        """Stream the response if it has begun and its length is not known; return whether it is streamed."""
        return not self._is_over and self._connection is not None and self._connection.start_streaming()

    def has_unread_response(self) -> bool:
        """Return whether there are bytes of a response that nobody has had the time to read."""
        return not self._is_over and self._connection is not None and self._connection.has_unread_bytes()

    def start_streaming(self, reader: ResponseReader) -> None:
        """Stream a long response to the client."""
        if not self._is_written():
            self.on_connection_failed()
            return
        length = None if reader.length == LENGTH_NOT_GIVEN else reader.length
        self._progress = ResponseProgress(length, reader.buffered_bytes, self._last_progress_s)
        self._has_waited_for_read = False
        self._sink = self._handler.on_response_started(reader.response())
        if self._sink is None:
            self.cancel()
        else:
            self._watch_progress()

    def stream(self, data: bytes) -> None:
        """Forward a part of the response."""
        if self._sink is not None and self._progress is not None and data:
            self._progress.record(len(data), self._last_progress_s)
            self._sink.send_body_part(data)

    def on_response_completed(self, reader: ResponseReader) -> None:
        """End with the outcome of the response."""
        if self._sink is not None:
            self._end(Outcome.SERVED, reuse=True)
            return
        response = reader.response()
        outcome = _outcome_of(response.head)
        if outcome is Outcome.SERVED and not self._is_written():
            # It answers an earlier request: no server runs a request before its last byte.
            self.on_connection_failed()
        else:
            self._end(outcome, response, reuse=True)

    def on_connection_failed(self) -> None:
        """End because the connection closed or delivered an invalid response."""
        self._end(Outcome.RESET)

    def pause(self) -> None:
        """Stop reading from the upstream: the client reads too slowly."""
        if self._connection is not None:
            self._is_paused = True
            self._connection.pause()

    def resume(self) -> None:
        """Read from the upstream again: the client has caught up."""
        if self._connection is not None:
            self._is_paused = False
            self.on_progress()
            if self._progress is not None:
                self._progress.resume(self._last_progress_s)
                if self._due_s > self._last_progress_s + MAX_LONG_RESPONSE_PAUSE_S:
                    self._watch_progress()  # the timer was set while the client was behind
            self._connection.resume()

    async def _connect(self, connection: UpstreamConnection, within_s: float) -> None:
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(min(within_s, self._pool.connect_timeout_s)):
                await self._pool.connect(connection)
                self.connect_duration_s = time.monotonic() - started_s
        except (OSError, TimeoutError):
            self._connect_task = None
            self._end(Outcome.CONNECT_FAILED)
            return
        self._connect_task = None
        is_needed = not self._is_over and self._handler.is_needed()  # this may end the attempt
        if self._is_over:  # ended while the connection was being established
            connection.close()
        elif not is_needed:
            self._end(Outcome.NOT_SENT)
        elif not self._pool.can_start_attempt() or time.monotonic() >= self._write_by_s:
            # Too late to send: while connecting, the server began to drain, or restarted, or the
            # deduplication window of an earlier attempt ended.
            self._end(Outcome.CONNECT_FAILED)
        else:
            self._send(connection)

    def _send(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        connection.send_request(self, self._handler.build_request(), self._handler.body)

    def _remaining_s(self) -> float:
        """Return the time until the request has to be written, or more of the response be there."""
        if not self._is_written():
            return self._handler.remaining_s()
        if self._progress is None or self._is_paused:
            return math.inf
        now_s = time.monotonic()
        return self._progress.due_s(now_s + self._handler.remaining_s()) - now_s

    def _on_stall(self) -> None:
        if self._has_unread_rest():
            self._set_timer(UNREAD_RESPONSE_GRACE_S, self._check_progress)
        else:
            self._end(Outcome.TIMED_OUT)

    def _has_unread_rest(self) -> bool:
        """Return whether more of a streamed response is there, and is given the time to be read."""
        if self._progress is None or self._is_paused or not self.has_unread_response():
            return False
        had_grace = self._has_waited_for_read
        self._has_waited_for_read = True
        return self._progress.is_long() or not had_grace

    def _on_timeout(self) -> None:
        if self.stream_if_begun():
            return
        if self.has_unread_response() and not self._has_waited_for_read:
            self._has_waited_for_read = True
            self._set_timer(UNREAD_RESPONSE_GRACE_S, self._on_timeout)
            return
        # A request that was not written never ran, for whatever reason.
        self._end(Outcome.TIMED_OUT if self._connection else Outcome.CONNECT_FAILED)

    def _end(
        self, outcome: Outcome, response: UpstreamResponse | None = None, *, reuse: bool = False
    ) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._cancel_timers()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._new_connection is not None and self._connection is None:
            self._new_connection.close()
        if self._connection is not None:
            if not self._connection.is_written() and outcome in IMPOSSIBLE_IF_UNWRITTEN:
                outcome = Outcome.CONNECT_FAILED
            self._connection.release(reuse=reuse)
        self._handler.on_attempt_ended(outcome, response)
