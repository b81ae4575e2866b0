"""Further attempts: where one does no harm, how many are made, and what idle connections tell."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping

from loadbalancer.interface import DeduplicationScope, Idempotency, Settings
from loadbalancer.policy.requests import Attempt, Request
from loadbalancer.policy.servers import Server

MAX_HEDGE_DELAY_LATENCIES, MIN_HEDGE_DELAY_LATENCIES = (
    4.0,
    2.5,
)  # a second copy: after so many usual answers at the most, at the least
RETRIES_PER_REQUEST, MAX_SAVED_RETRIES = (
    0.2,
    10.0,
)  # further attempts for each first one, and how many may be saved up
MAX_IDLE_OBSERVATIONS = 40  # so many last calls on idle connections tell how long these live


class RetryBudget:
    """Further attempts for each first one."""

    def __init__(self) -> None:
        self._balance = MAX_SAVED_RETRIES

    def deposit(self) -> None:
        """A request has come."""
        self._balance = min(MAX_SAVED_RETRIES, self._balance + RETRIES_PER_REQUEST)

    def cost(self, request: Request) -> float:
        """What one more attempt costs: nothing if no earlier one ever ran."""
        return float(any(a.may_have_run for a in request.attempts))

    def can_afford(self, cost: float) -> bool:
        """Whether there is so much left."""
        return self._balance >= cost

    def withdraw(self, cost: float) -> None:
        """One more attempt has been made."""
        self._balance -= cost


class IdleTimeoutEstimate:
    """From which idle time on connections die: the least with two silent calls, and most silent.

    Guards against connections dropped unseen, by anyone; harms by handshakes if the silence is another.
    """

    def __init__(self) -> None:
        self._calls: deque[tuple[float, bool]] = deque(maxlen=MAX_IDLE_OBSERVATIONS)
        self.limit_ms = math.inf

    def record_attempt(self, attempt: Attempt, silent: bool) -> None:
        """Learn from a call on a connection that had been idle."""
        if attempt.idle_ms:
            self._calls.append((attempt.idle_ms, silent))
            dead = sorted(idle for idle, was_silent in self._calls if was_silent)
            longer = {idle: sum(other >= idle for other, _ in self._calls) for idle in dead}
            known = (d for i, d in enumerate(dead) if len(dead) - i >= max(2.0, 0.6 * longer[d]))
            self.limit_ms = next(known, math.inf)


def hedge_delay_ms(request: Request, work_ms: float, timeout_ms: float) -> float:
    """After how long a first attempt is given a second copy, in ms; 0 for never.

    Guards against silence and slowness of any cause: hung or failing servers, dropped connections.
    Harms by adding to a crowd: a usual answer is waited for, and none is copied too late to help.
    """
    if (
        request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
        or not request.is_complete
        or request.attempts
    ):
        return 0.0
    usual = request.work_factor * work_ms
    after = min(MAX_HEDGE_DELAY_LATENCIES * usual, timeout_ms - usual)
    return after if after >= MIN_HEDGE_DELAY_LATENCIES * usual else 0.0


def can_retry_anywhere(request: Request) -> bool:
    """Whether the next attempt does no harm at any server: none may have run, or running twice is safe."""
    return request.request_class.idempotency is Idempotency.IDEMPOTENT or not any(
        a.may_have_run for a in request.attempts
    )


def deduplicated_until_ms(request: Request, settings: Settings) -> float:
    """Until when the servers of its group drop a repeat of what may have run; inf if it may go anywhere."""
    if can_retry_anywhere(request):
        return math.inf
    ran = next(a for a in request.attempts if a.may_have_run)
    return ran.sent_at_ms + request.request_class.deduplication_window_ms - settings.tick_ms


def deduplicating_servers(
    request: Request, ready: Mapping[str, Server], settings: Settings, now: float
) -> list[Server]:
    """The servers that drop a repeat of what may have run; none for a class that must not run twice."""
    cls = request.request_class
    ran = next(a for a in request.attempts if a.may_have_run)
    if cls.idempotency is Idempotency.NOT_IDEMPOTENT or now >= deduplicated_until_ms(request, settings):
        return []
    # A server that restarted since may have forgotten what it saw: not asked again.
    able = [s for s in ready.values() if s.started_at_ms <= ran.sent_at_ms]
    if cls.deduplication_scope is DeduplicationScope.ALL:
        return able
    if cls.deduplication_scope is DeduplicationScope.ZONE:
        return [s for s in able if s.endpoint.zone == ran.server.endpoint.zone]
    return [s for s in able if s.endpoint.cell == ran.server.endpoint.cell]
