"""Further attempts: where one does no harm, how many are made, and what idle connections tell."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping

from loadbalancer.interface import DeduplicationScope, Idempotency, Settings
from loadbalancer.policy.requests import Attempt, Request
from loadbalancer.policy.servers import Server

HEDGE_TIMES, HEDGE_LEAST = 4.0, 2.5  # a second copy: after so many usual answers at the most, at the least
RETRY_BUDGET, RETRY_BURST = 0.2, 10.0  # further attempts for each first one, and how many may be saved up
IDLE_CALLS = 40  # so many last calls on idle connections tell how long these live


class RetryBudget:
    """Further attempts for each first one."""

    def __init__(self) -> None:
        self._left = RETRY_BURST

    def earn(self) -> None:
        """A request has come."""
        self._left = min(RETRY_BURST, self._left + RETRY_BUDGET)

    def cost(self, request: Request) -> float:
        """What one more attempt costs: nothing if no earlier one ever ran."""
        return float(any(a.ran for a in request.attempts))

    def has(self, cost: float) -> bool:
        """Whether there is so much left."""
        return self._left >= cost

    def spend(self, cost: float) -> None:
        """One more attempt has been made."""
        self._left -= cost


class IdleConnections:
    """From which idle time on connections die: the least with two silent calls, and most silent.

    Guards against connections dropped unseen, by anyone; harms by handshakes if the silence is another.
    """

    def __init__(self) -> None:
        self._calls: deque[tuple[float, bool]] = deque(maxlen=IDLE_CALLS)
        self.limit = math.inf

    def note(self, attempt: Attempt, silent: bool) -> None:
        """Learn from a call on a connection that had been idle."""
        if attempt.idle:
            self._calls.append((attempt.idle, silent))
            dead = sorted(idle for idle, was_silent in self._calls if was_silent)
            longer = {idle: sum(other >= idle for other, _ in self._calls) for idle in dead}
            known = (d for i, d in enumerate(dead) if len(dead) - i >= max(2.0, 0.6 * longer[d]))
            self.limit = next(known, math.inf)


def patience(request: Request, work_ms: float, timeout_ms: float) -> float:
    """After how long a first attempt is given a second copy, in ms; 0 for never.

    Guards against silence and slowness of any cause: hung or failing servers, dropped connections.
    Harms by adding to a crowd: a usual answer is waited for, and none is copied too late to help.
    """
    if request.cls.idempotency is Idempotency.NOT_IDEMPOTENT or not request.is_whole or request.attempts:
        return 0.0
    usual = request.work_factor * work_ms
    after = min(HEDGE_TIMES * usual, timeout_ms - usual)
    return after if after >= HEDGE_LEAST * usual else 0.0


def may_go_anywhere(request: Request) -> bool:
    """Whether the next attempt does no harm at any server: none may have run, or running twice is safe."""
    return request.cls.idempotency is Idempotency.IDEMPOTENT or not any(a.ran for a in request.attempts)


def harmless_until(request: Request, settings: Settings) -> float:
    """Until when the servers of its group drop a repeat of what may have run; inf if it may go anywhere."""
    if may_go_anywhere(request):
        return math.inf
    ran = next(a for a in request.attempts if a.ran)
    return ran.sent + request.cls.deduplication_window_ms - settings.tick_ms


def harmless(request: Request, ready: Mapping[str, Server], settings: Settings, now: float) -> list[Server]:
    """The servers that drop a repeat of what may have run; none for a class that must not run twice."""
    cls = request.cls
    ran = next(a for a in request.attempts if a.ran)
    if cls.idempotency is Idempotency.NOT_IDEMPOTENT or now >= harmless_until(request, settings):
        return []
    # A server that restarted since may have forgotten what it saw: not asked again.
    able = [s for s in ready.values() if s.started <= ran.sent]
    if cls.deduplication_scope is DeduplicationScope.ALL:
        return able
    if cls.deduplication_scope is DeduplicationScope.ZONE:
        return [s for s in able if s.member.zone == ran.server.member.zone]
    return [s for s in able if s.member.cell == ran.server.member.cell]
