"""Take each request from its arrival through admission, waiting and attempts to its one final response."""

from __future__ import annotations

import math
import random

from loadbalancer import interface
from loadbalancer.interface import Idempotency, Outcome
from loadbalancer.policy.admission import Admission, TenantQuotas
from loadbalancer.policy.attempts import AttemptSender
from loadbalancer.policy.endpoint_membership import EndpointMembership
from loadbalancer.policy.estimates import Estimates
from loadbalancer.policy.limits import ConcurrencyLimits
from loadbalancer.policy.outcomes import OutcomeRecorder
from loadbalancer.policy.requests import Attempt, Request
from loadbalancer.policy.timers import RequestTimer, TimerKind, wait_token
from loadbalancer.policy.wait_queue import WaitQueue

RETRY_AFTER_OBJECTIVE_FRACTION = 0.1
"""Retry-After of a rejection, as a fraction of the latency objective, so that the retry can still meet it."""
SHEDDING_LOG_INTERVAL_MS = 6_000.0
"""Rejections are logged only if there were none for this long."""
OVERLOAD_TEXT = "responses are late: shedding load, lowest priority weight first"
NO_CAPACITY_TEXT = "no server can accept a call: rejecting requests"


class RequestLifecycle:
    """Owns the open requests and the wait queue; appends its actions to the list it is given."""

    def __init__(
        self,
        settings: interface.Settings,
        estimates: Estimates,
        limits: ConcurrencyLimits,
        membership: EndpointMembership,
        sender: AttemptSender,
        recorder: OutcomeRecorder,
        rng: random.Random,
        actions: list[interface.Action],
    ) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._estimates = estimates
        self._limits = limits
        self._membership = membership
        self._sender = sender
        self._recorder = recorder
        self._actions = actions
        self._quotas = TenantQuotas(settings)
        self._admission = Admission(estimates.latencies, rng)
        self._shedding_until_ms = -math.inf
        self.open_requests: dict[int, Request] = {}
        self.wait_queue = WaitQueue()

    # ---- events ---------------------------------------------------------------------------------

    def handle_arrival(self, event: interface.RequestArrived, now: float) -> None:
        """Admit a request and send its first attempt, let it wait for capacity, or reject it."""
        request = self._open(event, now)
        self._estimates.slow_start.add_requests(now, 1)
        if event.expected_work_ms > 0:
            request.relative_work = self._estimates.expected_work.relative_work(event.expected_work_ms)
        self._sender.retry_budget.deposit()
        if self._settings.tier == 0 and not self._is_admitted(request, event, now):
            self._reject_unsent(request, OVERLOAD_TEXT, now)
        elif self._must_queue(request) or not self._sender.send_if_possible(request, now):
            self._wait(request, now)

    def handle_completion(self, event: interface.RequestCompleted, now: float) -> None:
        """Restart a request's clock, since its body is complete."""
        request = self.open_requests.get(event.request_id)
        if request is None:
            return
        was_waiting = request.is_waiting
        self.wait_queue.discard(request)
        request.restart_clock(now, event.elapsed_ms)
        request.is_complete = True
        for attempt in request.attempts:
            attempt.server.advance_to(now)
            self._recorder.record_received(attempt)
        if was_waiting:
            self.wait_queue.add(request)
            self.release_waiting(now)
            self._limit_wait(request)

    def handle_response_start(self, event: interface.ResponseStarted, now: float) -> None:
        """Count a streamed response as served from here on, however slowly its client reads."""
        request, attempt = self._attempt_of(event)
        request.is_streaming = True
        if attempt.is_in_flight:
            self._recorder.record(attempt, Outcome.SERVED, request, now)
        self._sender.cancel_in_flight(request, kept=attempt)

    def handle_attempt_end(self, event: interface.AttemptEnded, now: float) -> None:
        """Record the outcome; if a response is still due, retry or give up."""
        request, attempt = self._attempt_of(event)
        if not attempt.is_in_flight:
            return
        attempt.is_in_flight = False
        attempt.may_have_run = event.outcome not in interface.OUTCOMES_WITHOUT_EFFECT
        self._recorder.record_end(attempt, event, request, now)
        if self._membership.record_outcome(attempt.server, event.outcome, now):
            self.release_waiting(now)
        if event.is_final:
            request.is_response_due = False
            self._recorder.record_superseded(request)
            self._sender.cancel_in_flight(request)
        elif request.is_response_due and not request.has_attempt_in_flight():
            self._retry_or_give_up(request, now, is_body_discarded=event.is_body_discarded)
        self._close_if_done(request)
        self.release_waiting(now)

    def handle_disconnect(self, event: interface.ClientDisconnected) -> None:
        """Drop a request whose client has disconnected."""
        request = self.open_requests.get(event.request_id)
        if request is not None:
            self.wait_queue.discard(request)
            request.is_response_due = False
            self._sender.cancel_in_flight(request)
            self._close_if_done(request)

    def handle_timer(self, timer: RequestTimer, now: float) -> None:
        """Reject a request that has waited too long, or hedge one whose response is overdue."""
        request = self.open_requests.get(timer.request_id)
        if request is None:
            return
        if timer.kind is TimerKind.WAIT:
            if request.is_waiting:
                self._reject_unsent(request, NO_CAPACITY_TEXT, now)
        elif self._settings.may_hedge and self._can_hedge(request, now):
            self._sender.retry_if_possible(request, now)

    def release_waiting(self, now: float) -> None:
        """Send waiting requests in queue order while there is capacity."""
        while (first := self.wait_queue.first()) and self._sender.send_if_possible(first, now):
            self.wait_queue.discard(first)

    def admitted_fraction(self, now: float) -> float:
        """Return the fraction of the offered load that is admitted."""
        return self._estimates.overload.admitted_fraction(self.open_requests.values(), now)

    # ---- steps ----------------------------------------------------------------------------------

    def _open(self, event: interface.RequestArrived, now: float) -> Request:
        if event.request_id in self.open_requests:
            raise ValueError(f"request {event.request_id} has arrived before")
        if event.class_name not in self._classes:
            raise ValueError(f"request {event.request_id} is of unknown class {event.class_name!r}")
        request = Request(event, self._classes[event.class_name], now)
        self.open_requests[request.id] = request
        return request

    def _is_admitted(self, request: Request, event: interface.RequestArrived, now: float) -> bool:
        request.priority_weight = self._quotas.effective_weight(event, request.request_class, now)
        return self._admission.admits(request, self.admitted_fraction(now))

    def _must_queue(self, request: Request) -> bool:
        """Return whether another request is before this one in the queue."""
        first = self.wait_queue.first()
        return first is not None and (first.is_complete or not request.is_complete)

    def _wait(self, request: Request, now: float) -> None:
        """Queue a request until a server has capacity, and reject the last one if too many wait.

        Waiting absorbs bursts, and saves clients from retrying at once at the same full servers. It delays
        responses, so it takes a small part of the objective and less than half of the client's time.
        """
        if request.max_wait_ms <= self._settings.tick_ms:
            self._reject_unsent(request, NO_CAPACITY_TEXT, now)
            return
        self.wait_queue.add(request)
        self.release_waiting(now)
        if len(self.wait_queue) > self._limits.max_waiting:
            self._reject_unsent(self.wait_queue.last(), NO_CAPACITY_TEXT, now)
        self._limit_wait(request)

    def _limit_wait(self, request: Request) -> None:
        """Set the timer of a waiting request; one whose body still arrives waits at no cost to its client."""
        if request.is_waiting and request.is_complete:
            at_ms = request.arrived_at_ms + request.max_wait_ms
            self._actions.append(interface.SetTimer(at_ms, wait_token(request.id)))

    def _can_hedge(self, request: Request, now: float) -> bool:
        """Return whether a second attempt is due, and no other request needs the capacity."""
        if not request.is_response_due or len(request.attempts) != 1 or self.wait_queue:
            return False
        return self.admitted_fraction(now) >= 1

    def _reject_unsent(self, request: Request, reason: str, now: float) -> None:
        """Reject a request that was never sent; log one line for consecutive rejections."""
        self.wait_queue.discard(request)
        if now > self._shedding_until_ms:
            self._actions.append(interface.LogMessage(reason))
        self._shedding_until_ms = now + SHEDDING_LOG_INTERVAL_MS
        self._give_up(request)

    def _retry_or_give_up(self, request: Request, now: float, *, is_body_discarded: bool) -> None:
        if not self._sender.retry_if_possible(request, now, is_body_discarded=is_body_discarded):
            self._give_up(request)

    def _give_up(self, request: Request) -> None:
        """Respond that the request failed, or if the client may retry it, that it is rejected."""
        request.is_response_due = False
        is_idempotent = request.request_class.idempotency is Idempotency.IDEMPOTENT
        if is_idempotent or not request.may_have_run():
            retry_after_ms = RETRY_AFTER_OBJECTIVE_FRACTION * request.request_class.latency_objective_ms
            retry_after_ms = min(retry_after_ms, self._settings.max_retry_after_ms)
            self._actions.append(interface.Reject(request.id, retry_after_ms))
        else:
            self._actions.append(interface.Fail(request.id))
        self._close_if_done(request)

    def _close_if_done(self, request: Request) -> None:
        if not request.is_response_due and not request.has_attempt_in_flight():
            self.open_requests.pop(request.id, None)

    def _attempt_of(
        self, event: interface.AttemptEnded | interface.ResponseStarted
    ) -> tuple[Request, Attempt]:
        request = self.open_requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_index < len(request.attempts):
            raise ValueError(f"attempt {event.attempt_index} of request {event.request_id} was never made")
        return request, request.attempts[event.attempt_index]
