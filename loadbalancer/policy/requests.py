"""What is open: requests that still want an answer, and their attempts."""

from __future__ import annotations

from loadbalancer import interface
from loadbalancer.policy.servers import Server

MAX_WAIT_OBJECTIVE_FRACTION, MAX_WAIT_REMAINING_FRACTION = (
    0.1,
    0.45,
)  # the most that a request waits here: of its aim, and of its caller's time


class Attempt:
    """One send of a request; it may have run until its outcome proves otherwise."""

    __slots__ = (
        "idle_ms",
        "is_in_flight",
        "is_recorded",
        "may_have_run",
        "sent_at_ms",
        "server",
        "times_out_at_ms",
    )

    def __init__(self, server: Server, idle: float, now: float, timeout: float) -> None:
        self.server, self.idle_ms, self.sent_at_ms, self.times_out_at_ms = server, idle, now, now + timeout
        self.is_recorded, self.is_in_flight, self.may_have_run = False, True, True


class Request:
    """A request from its arrival until it has its answer and none of its attempts is out."""

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

    def __init__(self, event: interface.RequestArrived, cls: interface.RequestClass, now: float) -> None:
        self.id, self.request_class = event.request_id, cls
        self.arrived_at_ms, deadline = now, now + event.remaining_ms
        self.useful_until_ms = (
            deadline if cls.late_value_fraction else min(deadline, now + cls.latency_objective_ms)
        )
        self.attempts: list[Attempt] = []
        self.is_response_due, self.is_streaming, self.is_complete = True, False, event.is_complete
        self.is_waiting, self.priority_weight = False, cls.priority_weight
        self.max_wait_ms = min(
            MAX_WAIT_OBJECTIVE_FRACTION * cls.latency_objective_ms,
            MAX_WAIT_REMAINING_FRACTION * event.remaining_ms,
        )
        self.relative_work = 1.0  # its work over the usual, where a hint tells

    @property
    def work_factor(self) -> float:
        """How many times longer than usual it may take."""
        return max(self.relative_work, 1.0)

    def restart_clock(self, now: float) -> None:
        """Let all its times run from now on: its body was still coming in."""
        passed, self.arrived_at_ms = now - self.arrived_at_ms, now
        self.useful_until_ms += passed
        for attempt in (a for a in self.attempts if a.is_in_flight):
            attempt.sent_at_ms, attempt.times_out_at_ms = (
                attempt.sent_at_ms + passed,
                attempt.times_out_at_ms + passed,
            )

    def queue_order(self) -> tuple[float, float, int]:
        """Who waits is served by this: the dearest first, then the one that is wanted soonest."""
        return -self.priority_weight, self.useful_until_ms, self.id

    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(a.is_in_flight for a in self.attempts)
