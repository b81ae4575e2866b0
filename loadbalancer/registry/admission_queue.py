"""The return of all after an outage, at a pace that the service sets: who is let in now, and who when.

    gate = Gate()
    turn = gate.ask(now, cost_s, waited_s, ticket)     # None: come in; else when to come again, and with what

A virtual queue (generic cell rate algorithm, ITU-T I.371): calls are let in as they come while the work that
was let in is no more than `BURST_S` ahead of the time; each further one gets a time of its own in the queue,
and a ticket with which it is let in then. Nothing is held for those who are told to come later. Times are
seconds of a clock that never goes back, of this service alone.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_CPU_SHARE = 0.7  # of the service's time for those who return; the rest is for writes and for changes
BURST_S = 0.25
CALL_COST_S, ENTRY_COST_S = (
    350e-6,
    5e-6,
)  # for a call, and for each entry of its answer (benchmarks/interest.py)
MAX_DELAY_S = 4.0  # after an outage, by when the last is let in, over the pace or not
TICKET_TOLERANCE_S = 0.02  # a ticket is good so long before its time: clocks and timers round


@dataclass(frozen=True, slots=True)
class ScheduledRetry:
    """When a call is to come again."""

    delay_s: float
    ticket: int
    """Its time, ms of the service's clock."""


class AdmissionQueue:
    """The queue of those who return; bounded state: two numbers."""

    def __init__(self, seed: int = 0) -> None:
        self._backlog_end_s = float("-inf")
        self._random = random.Random(seed)
        self.rejected_count = 0

    def schedule_retry(
        self, now: float, cost_s: float, waited_s: float, ticket: int | None
    ) -> ScheduledRetry | None:
        """Whether a call may come in now: None if so. `waited_s` is how long it has tried already.

        One with a ticket whose time has come was counted when it got it.
        """
        if ticket is not None and now - MAX_DELAY_S <= ticket / 1_000 <= now + TICKET_TOLERANCE_S:
            return None
        self._backlog_end_s = max(self._backlog_end_s, now) + cost_s / MAX_CPU_SHARE
        ahead = self._backlog_end_s - now - BURST_S
        if ahead <= 0:
            return None
        left = max(MAX_DELAY_S - waited_s, 0.0)
        if ahead > left:  # more than can be had in time: spread over all that there is
            ahead = left * self._random.random()
            self._backlog_end_s = min(self._backlog_end_s, now + BURST_S + MAX_DELAY_S)
        if ahead <= TICKET_TOLERANCE_S:
            return None
        self.rejected_count += 1
        return ScheduledRetry(ahead, int((now + ahead) * 1_000))
