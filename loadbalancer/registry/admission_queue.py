"""The return of all watchers after an outage, at a rate that the service sets: who is admitted now, who when.

    queue = AdmissionQueue()
    retry = queue.schedule_retry(now, cost_s, waited_s, ticket)  # None: admitted; else when to come again

A virtual queue (generic cell rate algorithm, ITU-T I.371): calls are admitted as they come while the work
that was admitted is no more than `BURST_S` ahead of the time; each further one gets a time of its own in
the queue, and a ticket with which it is admitted then. Nothing is held for those that are to come later.
Times are seconds of a clock that never goes back, of this service alone.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_CPU_FRACTION = 0.7  # of the service's time for those that return; the rest is for writes and for changes
BURST_S = 0.25  # of work that is admitted at once
CALL_COST_S = 350e-6  # for a call (benchmarks/interest.py)
ENTRY_COST_S = 5e-6  # and for each entry of its answer
MAX_DELAY_S = 4.0  # after an outage, by when the last is admitted, over the rate or not
TICKET_TOLERANCE_S = 0.02  # a ticket is valid so long before its time: clocks and timers round


@dataclass(frozen=True, slots=True)
class ScheduledRetry:
    """When a call is to come again."""

    delay_s: float
    ticket: int
    """Its time, ms of the service's clock."""


class AdmissionQueue:
    """The queue of those that return; its state is one number, whoever waits."""

    def __init__(self, seed: int = 0) -> None:
        self._backlog_end_s = float("-inf")
        self._random = random.Random(seed)
        self.rejected_count = 0

    def schedule_retry(
        self, now: float, cost_s: float, waited_s: float, ticket: int | None
    ) -> ScheduledRetry | None:
        """Return when a call is to come again, None if it is admitted now.

        `waited_s` is how long it has tried already. One with a ticket whose time has come was counted when
        it got it.
        """
        if ticket is not None and now - MAX_DELAY_S <= ticket / 1_000 <= now + TICKET_TOLERANCE_S:
            return None
        self._backlog_end_s = max(self._backlog_end_s, now) + cost_s / MAX_CPU_FRACTION
        delay_s = self._backlog_end_s - now - BURST_S
        if delay_s <= 0:
            return None
        max_delay_s = max(MAX_DELAY_S - waited_s, 0.0)
        if delay_s > max_delay_s:  # more than can be done in time: spread over all the time that there is
            delay_s = max_delay_s * self._random.random()
            self._backlog_end_s = min(self._backlog_end_s, now + BURST_S + MAX_DELAY_S)
        if delay_s <= TICKET_TOLERANCE_S:
            return None
        self.rejected_count += 1
        return ScheduledRetry(delay_s, int((now + delay_s) * 1_000))
