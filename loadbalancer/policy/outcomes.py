"""Count the outcome of each attempt in the estimates of servers, latencies and load."""

from __future__ import annotations

import math

from loadbalancer.interface import AttemptEnded, Outcome
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.policy.estimates import Estimates
from loadbalancer.policy.requests import Attempt, Request
from loadbalancer.policy.server_selection import ServerSelector

OUTCOMES_ON_OPEN_CONNECTION = frozenset({Outcome.SERVED, Outcome.TIMED_OUT, Outcome.RESET})
"""Outcomes counted as evidence on idle connections: only SERVED shows that one was alive.

ERROR is also a response, but it is not counted.
"""


class OutcomeRecorder:
    """Updates the estimates with the outcomes of attempts."""

    def __init__(self, endpoints: EndpointSet, estimates: Estimates, selector: ServerSelector) -> None:
        self._endpoints = endpoints
        self._latencies = estimates.latencies
        self._overload = estimates.overload
        self._idle_timeouts = estimates.idle_timeouts
        self._selector = selector

    def record_end(self, attempt: Attempt, event: AttemptEnded, request: Request, now: float) -> None:
        """Count the end of an attempt, and how long its connection took if it opened one."""
        if event.connect_duration_ms is not None:
            self._latencies.record_connect(event.connect_duration_ms, attempt.server.endpoint.zone)
        self.record(attempt, event.outcome, request, now)

    def record(self, attempt: Attempt, outcome: Outcome, request: Request, now: float) -> None:
        """Count an outcome, once for each attempt."""
        if attempt.is_recorded:
            return
        attempt.is_recorded = True
        server = attempt.server
        server.advance_to(now)
        server.idle_since_ms = now if outcome in (Outcome.SERVED, Outcome.ERROR) else math.inf
        if outcome in OUTCOMES_ON_OPEN_CONNECTION:
            self._idle_timeouts.record_attempt(attempt, is_silent=outcome is not Outcome.SERVED)
        if outcome is Outcome.SERVED:
            self._record_served(attempt, request, now)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            self._record_failed(attempt, outcome, request, now)
        self.record_received(attempt)
        server.in_flight -= 1
        self._endpoints.forget_if_unused(server)
        self._selector.record_call_ended(server, now)

    def record_received(self, attempt: Attempt) -> None:
        """Count that an attempt waits no longer for the rest of its body: its server may begin it."""
        attempt.server.receiving -= attempt.is_receiving
        attempt.is_receiving = False

    def record_superseded(self, request: Request) -> None:
        """Count the attempts still in flight as silent: another one has served the request."""
        for attempt in request.attempts:
            if attempt.is_in_flight:
                self._idle_timeouts.record_attempt(attempt, is_silent=True)

    def _record_served(self, attempt: Attempt, request: Request, now: float) -> None:
        elapsed_ms = now - attempt.sent_at_ms
        lateness = self._latencies.lateness(elapsed_ms, request)
        self._overload.record(lateness, min(request.relative_work, 1.0), now)
        self._latencies.record_latency(elapsed_ms, request)
        attempt.server.served_calls += request.relative_work

    def _record_failed(self, attempt: Attempt, outcome: Outcome, request: Request, now: float) -> None:
        """Record a failure as evidence of overload, and count its full timeout as time in flight.

        Without the latter, a server that fails fast would look fast.
        """
        weight = 0.0
        if outcome is Outcome.REJECTED:
            weight = 1.0  # the server itself says that it is overloaded
        elif attempt.may_have_run:
            weight = self._latencies.silence_weight(now - attempt.sent_at_ms, request)
        self._overload.record(1.0, weight, now)
        attempt.server.in_flight_ms += max(attempt.times_out_at_ms - now, 0.0)
