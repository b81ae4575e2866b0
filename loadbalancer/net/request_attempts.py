"""Builds and sends the attempts of requests, and reports the outcome of each to the decision module."""

from __future__ import annotations

import time
from collections.abc import Callable

from loadbalancer import interface
from loadbalancer.interface import OUTCOMES_WITHOUT_EFFECT, Outcome
from loadbalancer.net.attempt_handler import AttemptHandler
from loadbalancer.net.downstream_request import DownstreamRequest
from loadbalancer.net.log import Log
from loadbalancer.net.request_counters import RequestCounters
from loadbalancer.net.request_table import RESPONSE_MARGIN_MS, RequestInFlight, RequestTable, log_repeated_id
from loadbalancer.net.upstream_attempt import Attempt
from loadbalancer.net.upstream_pool import UpstreamPools
from loadbalancer.net.upstream_response import UpstreamResponse


class RequestAttempt(AttemptHandler):
    """One attempt of a request: what it sends, and where its outcome is reported."""

    def __init__(
        self, attempts: RequestAttempts, request: RequestInFlight, send: interface.SendAttempt, index: int
    ) -> None:
        """Create the attempt that `send` asks for; `index` is its position among those of the request."""
        self._attempts = attempts
        self._request = request
        self._server = send.server
        self._index = index
        downstream = request.downstream
        remaining_ms = downstream.remaining_ms() - RESPONSE_MARGIN_MS
        timeout_ms = min(send.timeout_ms, remaining_ms) if send.timeout_ms else remaining_ms
        self.timeout_ms = max(timeout_ms, 0.0)
        self._ends_at_s = time.monotonic() + self.timeout_ms / 1000
        self.body = None if downstream.body.is_complete else downstream.body

    def is_needed(self) -> bool:
        """Return whether the client is connected: no attempt begins for one that is not."""
        return self._request.downstream.is_client_connected()

    def remaining_s(self) -> float:
        """Return the time in which the request has to be answered."""
        return (self._request.downstream.remaining_ms() - RESPONSE_MARGIN_MS) / 1000

    def build_request(self) -> bytes:
        """Return the head with the remaining time, and the body if it is complete."""
        downstream = self._request.downstream
        if self.body is not None and downstream.body.is_complete:
            self.body = None  # the rest arrived while connecting
        if self.body is None:
            remaining_s = min(self._ends_at_s - time.monotonic(), self.remaining_s())
        else:
            remaining_s = min(self.timeout_ms / 1000, self.remaining_s())  # from the body's last byte on
        data = downstream.body.data() if self.body is None else b""
        length: int | None = len(data) if self.body is None else downstream.body.length
        if length is None:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            framing = b"Content-Length: %d\r\n" % length if length or downstream.method != b"GET" else b""
        remaining_us = max(remaining_s * 1_000_000, 1.0)
        return b"%bX-Deadline: %du\r\n%b\r\n%b" % (downstream.forwarded_head(), remaining_us, framing, data)

    def on_request_written(self) -> None:
        """Count the attempt."""
        self._attempts.on_attempt_written()

    def on_response_started(self, answer: UpstreamResponse) -> DownstreamRequest | None:
        """Stream a long response to the client."""
        return self._attempts.on_response_started(self._request, self._index, answer)

    def on_attempt_ended(self, outcome: Outcome, answer: UpstreamResponse | None) -> None:
        """Report the outcome."""
        if self.body is not None and not self.body.is_complete and outcome is Outcome.CONNECT_FAILED:
            self._attempts.log_unfinished_body(self._request.downstream, self._server)
        self._attempts.on_attempt_ended(self._request, self._index, self._server, outcome, answer)


class RequestAttempts:
    """Sends and cancels attempts; passes responses to clients and outcomes to the decision module."""

    def __init__(
        self,
        requests: RequestTable,
        upstreams: UpstreamPools,
        counters: RequestCounters,
        on_outcome: Callable[[str, Outcome], None],
        log: Log,
    ) -> None:
        """Create the sender of attempts; `on_outcome` receives the server and the outcome of each."""
        self._requests = requests
        self._upstreams = upstreams
        self._counters = counters
        self._on_outcome = on_outcome
        self._log = log

    def send(self, action: interface.SendAttempt) -> None:
        """Begin an attempt; one that can't begin ends at once."""
        request = self._requests.by_id[action.request_id]
        index = len(request.attempts)
        request.attempts_in_flight += 1
        attempt: Attempt | None = None
        outcome = Outcome.NOT_SENT  # for a request that is closed, or whose body is discarded
        if self._can_begin(request):
            handler = RequestAttempt(self, request, action, index)
            attempt = self._upstreams.start_attempt(
                action.server,
                handler.timeout_ms / 1000,
                handler,
                action.write_within_ms / 1000,
                action.connect_within_ms / 1000,
            )
            outcome = Outcome.CONNECT_FAILED  # for a server that is no longer in the endpoint list
        request.attempts.append(attempt)
        if attempt is None:
            self.on_attempt_ended(request, index, action.server, outcome, None)

    def _can_begin(self, request: RequestInFlight) -> bool:
        """Return whether an attempt may begin; if it may, its ID is recorded as one that may have run."""
        downstream = request.downstream
        if not request.is_open or downstream.body.is_discarded or not downstream.is_client_connected():
            return False
        if self._requests.begin_attempt(request):
            return True
        log_repeated_id(self._log, downstream)
        self._requests.reject_late_repeat(request)
        return False

    def cancel(self, action: interface.CancelAttempt) -> None:
        """Cancel an attempt, if it is in flight."""
        request = self._requests.by_id.get(action.request_id)
        attempt = request.attempts[action.attempt_index] if request else None
        if attempt is not None:
            attempt.cancel()

    def log_unfinished_body(self, downstream: DownstreamRequest, server: str) -> None:
        """Log that an attempt ended before its server had taken the whole body."""
        self._log.event(
            "body_not_taken",
            "a server has not taken the whole body of a request",
            server=server,
            read_bytes=downstream.body.received_bytes,
            unread_bytes=downstream.unread_bytes(),
            expected_bytes="unknown" if downstream.body.length is None else downstream.body.length,
        )

    def on_attempt_written(self) -> None:
        """Count an attempt that has been written in full."""
        self._counters.record_attempt()

    def on_response_started(
        self, request: RequestInFlight, index: int, answer: UpstreamResponse
    ) -> DownstreamRequest | None:
        """Handle the start of a long response: only the first one of a request is streamed."""
        attempt = request.attempts[index]
        if not request.is_open or request.streaming_attempt is not None or attempt is None:
            return None
        request.streaming_attempt = attempt
        request.cancel_safety_timer()
        request.downstream.start_response(attempt, answer.head.forwarded_lines(), answer.length)
        answer.head.release()
        if answer.body:  # an empty chunk would end the response
            request.downstream.send_body_part(answer.body)
        self._requests.dispatch(request, interface.ResponseStarted(request.id, index))
        return request.downstream

    def on_attempt_ended(
        self,
        request: RequestInFlight,
        index: int,
        server: str,
        outcome: Outcome,
        answer: UpstreamResponse | None,
    ) -> None:
        """Handle the end of an attempt. The first served response goes out before anything else is done."""
        request.attempts_in_flight -= 1
        request.has_run = request.has_run or outcome not in OUTCOMES_WITHOUT_EFFECT
        self._on_outcome(server, outcome)
        self._counters.record_attempt_end(outcome)
        self._log_if_cut_off(request, index, server, outcome)
        self._respond(request, index, outcome, answer)
        attempt = request.attempts[index]
        connect_s = attempt.connect_duration_s if attempt is not None else None
        event = interface.AttemptEnded(
            request.id,
            index,
            server,
            outcome,
            not request.is_open,
            is_body_discarded=request.downstream.body.is_discarded,
            connect_duration_ms=None if connect_s is None else connect_s * 1000,
        )
        self._requests.dispatch(request, event)

    def _log_if_cut_off(self, request: RequestInFlight, index: int, server: str, outcome: Outcome) -> None:
        """Log that a response that had begun is not finished, if a client still waits for it."""
        attempt = request.streaming_attempt
        if not request.is_open or attempt is None or attempt is not request.attempts[index]:
            return
        progress = attempt.response_progress()
        if outcome is not Outcome.SERVED and progress is not None:
            self._log.event(
                "response_cut_off",
                "a response that had begun was not finished by its server",
                server=server,
                outcome=outcome.value,
                id=request.downstream.printable_id(),
                received_bytes=progress.received_bytes,
                expected_bytes="unknown" if progress.length is None else progress.length,
                silent_ms=round((time.monotonic() - progress.last_received_s) * 1000),
                overdue_ms=round(-request.downstream.remaining_ms()),
                client_behind=attempt.is_paused(),
            )

    def _respond(
        self, request: RequestInFlight, index: int, outcome: Outcome, answer: UpstreamResponse | None
    ) -> None:
        """Answer an open request, if the end of this attempt decides its response."""
        if not request.is_open:
            return
        if request.streaming_attempt is not None:
            if request.streaming_attempt is not request.attempts[index]:
                return
            if outcome is Outcome.SERVED:
                self._requests.close(request, 200)
                request.downstream.end_response()
            else:
                self._requests.respond(request, 502)
        elif outcome is Outcome.SERVED and answer is not None:
            self._requests.close(request, 200)
            request.downstream.send_response(200, answer.head.forwarded_lines(), answer.body)
