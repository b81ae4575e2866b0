"""The requests in flight: the state of each, and its end with a final response or a disconnect."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from loadbalancer import interface
from loadbalancer.net.downstream_request import DownstreamRequest
from loadbalancer.net.executed_ids import ExecutedIds
from loadbalancer.net.log import Log
from loadbalancer.net.request_counters import CloseReason, RequestCounters
from loadbalancer.net.upstream_attempt import UNREAD_RESPONSE_GRACE_S, Attempt

RESPONSE_MARGIN_MS = 10.0  # the module gets this much less than the deadline: the response must still travel
SAFETY_MARGIN_MS = 5.0  # the safety timer answers open requests this long before the deadline
REPEATED_ID_TEXT = b"a request of this ID may have run\n"


class RequestInFlight:
    """The state of one request, from its arrival until its last attempt and event are done."""

    __slots__ = (
        "attempts",
        "attempts_in_flight",
        "downstream",
        "has_run",
        "has_waited_for_read",
        "id",
        "is_id_recorded",
        "is_open",
        "pending_events",
        "safety_timer",
        "streaming_attempt",
    )

    def __init__(self, request_id: int, downstream: DownstreamRequest) -> None:
        """Create an open request without attempts."""
        self.id = request_id
        self.downstream = downstream
        self.attempts: list[Attempt | None] = []
        self.is_id_recorded = False  # whether its ID is that of a request that may have run, this one
        self.is_open = True  # until its final response, or until its client has disconnected
        self.has_waited_for_read = False  # once its time was over, as a response was there
        self.has_run = False  # whether an attempt that has ended may have run
        self.attempts_in_flight = 0
        self.pending_events = 0  # not yet handled by the decision module
        self.safety_timer: asyncio.TimerHandle | None = None
        self.streaming_attempt: Attempt | None = None  # whose response is being streamed

    def may_have_run(self) -> bool:
        """Return whether any attempt may have run, or may still run."""
        unwritten = sum(attempt.is_unwritten() for attempt in self.attempts if attempt is not None)
        return self.has_run or self.attempts_in_flight > unwritten

    def is_untaken(self) -> bool:
        """Return whether there are attempts in flight, and no server has got all of its request."""
        in_flight = [attempt for attempt in self.attempts if attempt is not None and attempt.is_in_flight()]
        return bool(in_flight) and all(attempt.is_untaken() for attempt in in_flight)

    def cancel_unwritten_attempts(self) -> None:
        """Cancel the attempts that have not been written: nobody waits for their responses."""
        for attempt in self.attempts:
            if attempt is not None:
                attempt.cancel_if_unwritten()

    def has_unread_response(self) -> bool:
        """Return whether there are bytes of a response that nobody has had the time to read."""
        return any(attempt.has_unread_response() for attempt in self.attempts if attempt is not None)

    def stream_if_begun(self) -> bool:
        """Stream a response that has begun and whose length is not known; return whether there is one."""
        return any(attempt.stream_if_begun() for attempt in self.attempts if attempt is not None)

    def cancel_safety_timer(self) -> None:
        """Cancel the safety timer, if it is set."""
        if self.safety_timer is not None:
            self.safety_timer.cancel()


def log_repeated_id(log: Log, downstream: DownstreamRequest) -> None:
    """Log that a request is rejected, as another one of its ID may have run."""
    log.event(
        "repeated_id",
        "a request was rejected, as one of its ID may have run",
        id=downstream.printable_id(),
        request_class=downstream.class_name,
    )


class RequestTable:
    """All requests in flight, by ID."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        counters: RequestCounters,
        dispatch: Callable[[interface.Event], None],
        executed: ExecutedIds,
    ) -> None:
        """Create an empty table; `dispatch` passes events to the decision module."""
        self._executed = executed
        self._loop = loop
        self._counters = counters
        self._dispatch = dispatch
        self._last_id = 0
        self.by_id: dict[int, RequestInFlight] = {}

    def add(self, downstream: DownstreamRequest) -> RequestInFlight:
        """Add a request that has arrived, complete or with the rest of its body to follow."""
        self._last_id += 1
        request = RequestInFlight(self._last_id, downstream)
        downstream.request_id = request.id
        self.by_id[request.id] = request
        self._counters.record_request()
        return request

    def may_be_repeat(self, downstream: DownstreamRequest) -> bool:
        """Return whether a request of its ID may have run before, and this one must not run."""
        return self._executed.may_have_run(downstream)

    def reject_repeat(self, downstream: DownstreamRequest) -> None:
        """Answer a request that must not run, as one of its ID may have run before."""
        self._counters.record_request()
        self._counters.record_response(downstream.class_name, HTTPStatus.CONFLICT)
        self._counters.record_close(CloseReason.REPEATED_ID)
        downstream.release()
        downstream.send_response(HTTPStatus.CONFLICT, body=REPEATED_ID_TEXT)

    def begin_attempt(self, request: RequestInFlight) -> bool:
        """Record that an attempt begins; return False if another request of the ID may have run by now."""
        if not request.is_id_recorded and self._executed.may_have_run(request.downstream):
            return False
        request.is_id_recorded = True
        self._executed.record_sent(request.downstream)
        return True

    def reject_late_repeat(self, request: RequestInFlight) -> None:
        """Answer a request that must not run, as another one of its ID was sent while this one waited."""
        self._counters.record_close(CloseReason.REPEATED_ID)
        self.respond(request, HTTPStatus.CONFLICT)

    def get_open(self, request_id: int | None) -> RequestInFlight | None:
        """Return the request if it still awaits its response."""
        request = self.by_id.get(request_id) if request_id is not None else None
        return request if request is not None and request.is_open else None

    def dispatch(self, request: RequestInFlight, event: interface.Event) -> None:
        """Pass an event of this request to the decision module."""
        request.pending_events += 1
        self._dispatch(event)

    def on_event_handled(self, request_id: int | None) -> None:
        """Record that the decision module has handled an event of this request."""
        request = self.by_id.get(request_id) if request_id is not None else None
        if request is not None:
            request.pending_events -= 1
            if not request.is_open:
                request.cancel_unwritten_attempts()
            self.forget_if_finished(request)

    def forget_if_finished(self, request: RequestInFlight) -> None:
        """Remove a closed request once no attempt or event is pending."""
        if not (request.is_open or request.attempts_in_flight or request.pending_events):
            self.by_id.pop(request.id, None)
            if request.is_id_recorded and not request.has_run:
                self._executed.record_not_run(request.downstream)
            request.downstream.release()

    def start_safety_timer(self, request: RequestInFlight) -> None:
        """Set a timer that answers the request shortly before its deadline, if it is still open."""
        delay_s = max(request.downstream.remaining_ms() - SAFETY_MARGIN_MS, 0.0) / 1000
        request.safety_timer = self._loop.call_later(delay_s, self._on_safety_timer, request)

    def _on_safety_timer(self, request: RequestInFlight) -> None:
        """Answer the request, unless its deadline has moved, as it does while the client still sends."""
        if request.downstream.remaining_ms() > SAFETY_MARGIN_MS:
            self.start_safety_timer(request)
        elif request.has_unread_response() and not request.has_waited_for_read:
            request.has_waited_for_read = True
            grace_s = UNREAD_RESPONSE_GRACE_S
            request.safety_timer = self._loop.call_later(grace_s, self._on_safety_timer, request)
        else:
            self._counters.record_close(CloseReason.DEADLINE)
            self.respond_with_error(request.id)

    def respond_with_error(self, request_id: int | None) -> None:
        """Answer an open request with an error: 503 only if no attempt can have run, else 502.

        A long response that has begun is streamed instead: it must not be cut off.
        """
        request = self.get_open(request_id)
        if request is None or request.stream_if_begun():
            return
        self.respond(request, 502 if request.may_have_run() else 503)
        # On this event the decision module cancels the attempts in flight.
        self.dispatch(request, interface.ClientDisconnected(request.id))

    def end_all(self) -> None:
        """Answer all open requests with an error; of streamed responses, end those that make no progress."""
        for request_id, request in list(self.by_id.items()):
            if request.streaming_attempt is None:
                self.respond_with_error(request_id)
            if request.streaming_attempt is not None:
                request.streaming_attempt.end_at_shutdown()

    def close(self, request: RequestInFlight, status: int | None) -> None:
        """Close a request; `status` is that of its final response, None if its client has disconnected."""
        request.is_open = False
        self._counters.record_response(request.downstream.class_name, status)
        request.cancel_safety_timer()

    def respond(self, request: RequestInFlight, status: int, header_lines: bytes = b"") -> None:
        """Send the final response of an open request, or abort the one that is being streamed."""
        self.close(request, status)
        if request.streaming_attempt is None:
            request.downstream.send_response(status, header_lines)
            return
        self._counters.record_close(CloseReason.CUT_OFF)
        request.downstream.abort_response()
        request.streaming_attempt.cancel()
