"""Check the platform's four rules on every request, attempt and response, as its protocol states them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from loadbalancer.interface import Readiness
from loadbalancer.simulation.clock import Clock
from loadbalancer.simulation.servers import Server

RESPONSE_GRACE_MS = 50.0  # past the client's deadline, in which a response still counts
DRAIN_GRACE_MS = 3_000.0  # after the list named a server draining, nothing new may go to it
OVERLOAD_FACTOR = 2.5  # this multiple of its capacity overloads a server that warms up,
OVERLOAD_WINDOW_MS = 2_000.0  # if it is sent within this window
OVERLOAD_FACTOR_TOLERANCE = 1.15  # a margin for chance: the work of a single request is not known in advance
MIN_INFORMED_FRACTION = 2 / 3  # of that work must come from balancers that knew of the server's start


class ObservedBalancer(Protocol):
    """What the rules need to know of a balancer."""

    name: str
    announced_readiness: dict[str, tuple[Readiness, float]]
    """By server: its readiness by the balancer's list, and since when (simulated ms)."""


@dataclass(frozen=True)
class RuleViolation:
    """One violation of a rule."""

    at_ms: float
    rule: str
    balancer: str
    detail: str


class _ReceivedWork(NamedTuple):
    """Work that reached a server while it warmed up."""

    at_ms: float
    work_ms: float
    is_sender_informed: bool


class RuleChecker:
    """Observes every request, attempt and response of all balancers, and collects violations."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.violations: list[RuleViolation] = []
        self._response_due_at_ms: dict[tuple[str, int], float] = {}  # by balancer and request
        self._received_work: dict[str, deque[_ReceivedWork]] = {}  # by server, of the last window

    def record_violation(self, rule: str, balancer: str, detail: object) -> None:
        """Record that a rule was violated now."""
        self.violations.append(RuleViolation(self._clock.now, rule, balancer, str(detail)))

    def record_request(self, balancer: ObservedBalancer, request_id: int, due_at_ms: float) -> None:
        """Record that a balancer owes a response to a request it accepted."""
        self._response_due_at_ms[balancer.name, request_id] = due_at_ms

    def record_response(self, balancer: ObservedBalancer, request_id: int) -> None:
        """Record that a request got its response."""
        due_at_ms = self._response_due_at_ms.pop((balancer.name, request_id), None)
        if due_at_ms is not None and self._clock.now > due_at_ms + RESPONSE_GRACE_MS:
            self.record_violation("answered too late", balancer.name, request_id)

    def record_disconnect(self, balancer: ObservedBalancer, request_id: int) -> None:
        """Record that a client left: nothing is owed to it if its deadline has not passed."""
        if self._clock.now < self._response_due_at_ms.get((balancer.name, request_id), 0.0):
            del self._response_due_at_ms[balancer.name, request_id]

    def record_unanswered(self) -> None:
        """Record, at the end of the play, the requests that never got a response."""
        for balancer, request_id in self._response_due_at_ms:
            self.record_violation("never answered", balancer, request_id)

    def record_send(self, balancer: ObservedBalancer, server: str) -> None:
        """Record that a balancer sent an attempt to a server."""
        readiness, since_ms = balancer.announced_readiness.get(server, (None, 0.0))
        if readiness is None:
            self.record_violation("sent to what no list named", balancer.name, server)
            return
        grace_ms = DRAIN_GRACE_MS + RESPONSE_GRACE_MS
        if readiness is not Readiness.READY and self._clock.now - since_ms > grace_ms:
            self.record_violation("sent to what drains or is gone", balancer.name, server)

    def record_work(self, server: Server, work_ms: float, *, is_sender_informed: bool) -> bool:
        """Record work that reached a server, and return whether it overloads one that warms up.

        `work_ms` is in ms of a standard core; `is_sender_informed` says whether the sending balancer's list
        names the server's start.
        """
        warm_up_fraction = server.warm_up_fraction()
        spec = server.spec
        if warm_up_fraction >= 1:
            self._received_work.pop(spec.name, None)
            return False
        window = self._received_work.setdefault(spec.name, deque())
        window.append(_ReceivedWork(self._clock.now, work_ms, is_sender_informed))
        while window[0].at_ms < self._clock.now - OVERLOAD_WINDOW_MS:
            window.popleft()
        max_work_ms = OVERLOAD_FACTOR * OVERLOAD_FACTOR_TOLERANCE * OVERLOAD_WINDOW_MS
        max_work_ms = max_work_ms * spec.cores * spec.speed * warm_up_fraction
        received_ms = sum(work.work_ms for work in window)
        if received_ms <= max_work_ms:
            return False
        if sum(w.work_ms for w in window if w.is_sender_informed) >= MIN_INFORMED_FRACTION * received_ms:
            self.record_violation("pushed a cold server over", "all", spec.name)
        return True
