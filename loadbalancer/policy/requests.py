"""State of open requests, which need a response or have attempts in flight, and of their attempts."""

from __future__ import annotations

from loadbalancer import interface
from loadbalancer.policy.servers import Server

MAX_WAIT_OBJECTIVE_FRACTION = 0.1
"""A request waits for capacity at most this fraction of its latency objective: a wait makes it late."""
MAX_WAIT_REMAINING_FRACTION = 0.45
"""A request waits at most this fraction of its client's remaining time, so that a retry still fits."""


class Attempt:
    """One send of a request to a server."""

    __slots__ = (
        "idle_ms",
        "is_in_flight",
        "is_receiving",
        "is_recorded",
        "may_have_run",
        "sent_at_ms",
        "server",
        "times_out_at_ms",
    )

    def __init__(self, server: Server, idle_ms: float, now: float, timeout_ms: float) -> None:
        self.server = server
        self.idle_ms = idle_ms
        """How long the pooled connections to the server had been idle; 0 if it opens a new one."""
        self.sent_at_ms = now
        self.times_out_at_ms = now + timeout_ms
        self.is_in_flight = True
        self.is_receiving = False
        """Whether the rest of its request's body is still to come."""
        self.is_recorded = False
        """Whether its outcome has been counted."""
        self.may_have_run = True
        """Whether the server may have executed it; true until its outcome proves otherwise."""


class Request:
    """A request from its arrival until it has its response and none of its attempts is in flight."""

    __slots__ = (
        "arrived_at_ms",
        "attempts",
        "id",
        "is_complete",
        "is_response_due",
        "is_streaming",
        "is_waiting",
        "max_wait_ms",
        "priority_weight",
        "relative_work",
        "request_class",
        "useful_until_ms",
    )

    def __init__(
        self, event: interface.RequestArrived, request_class: interface.RequestClass, now: float
    ) -> None:
        self.id = event.request_id
        self.request_class = request_class
        self.arrived_at_ms = now
        self.useful_until_ms = now + event.remaining_ms
        """When a response stops being of any value."""
        if not request_class.late_value_fraction:
            self.useful_until_ms = min(self.useful_until_ms, now + request_class.latency_objective_ms)
        self.attempts: list[Attempt] = []
        self.is_response_due = True
        self.is_streaming = False
        self.is_complete = event.is_complete
        """Whether its body has been received completely."""
        self.is_waiting = False
        self.priority_weight = request_class.priority_weight
        self.max_wait_ms = min(
            MAX_WAIT_OBJECTIVE_FRACTION * request_class.latency_objective_ms,
            MAX_WAIT_REMAINING_FRACTION * event.remaining_ms,
        )
        self.relative_work = 1.0
        """Its expected work relative to the average, where the client states it."""

    @property
    def work_factor(self) -> float:
        """How many times longer than an average request it may take; at least 1."""
        return max(self.relative_work, 1.0)

    def restart_clock(self, now: float, elapsed_ms: float = 0.0) -> None:
        """Count all its times from `now` on, since its body was still being received until then.

        Its deadline counts from `elapsed_ms` earlier.
        """
        passed = now - self.arrived_at_ms
        self.arrived_at_ms = now
        self.useful_until_ms += passed - elapsed_ms
        for attempt in self.attempts:
            if attempt.is_in_flight:
                attempt.sent_at_ms += passed
                attempt.times_out_at_ms += passed - elapsed_ms

    def queue_order(self) -> tuple[bool, float, float, int]:
        """Return the sort key of the wait queue: by priority weight, then by when it must be served.

        Requests whose body is still arriving come last: they have a limit of their own, and must not hold up
        the others.
        """
        return not self.is_complete, -self.priority_weight, self.useful_until_ms, self.id

    def has_attempt_in_flight(self) -> bool:
        """Return whether an attempt has no outcome yet."""
        # `any` would create a generator several times per decision.
        for attempt in self.attempts:  # noqa: SIM110
            if attempt.is_in_flight:
                return True
        return False

    def may_have_run(self) -> bool:
        """Return whether a server may have executed an attempt of it."""
        # `any` would create a generator several times per decision.
        for attempt in self.attempts:  # noqa: SIM110
            if attempt.may_have_run:
                return True
        return False
