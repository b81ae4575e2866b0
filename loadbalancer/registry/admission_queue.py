"""Paces the return of all watchers after an outage: admits a call now, or schedules its retry.

    queue = AdmissionQueue()
    retry = queue.schedule_retry(now, cost_s, waited_s, ticket)  # None: admitted; else when to retry

A virtual queue (generic cell rate algorithm, ITU-T I.371): calls are admitted at once while the admitted
work is at most `BURST_S` ahead of the clock; each further one gets its own time in the queue, and a ticket
with which it is admitted then. No state is kept for scheduled calls. Times are seconds of this service's
monotonic clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_CPU_FRACTION = 0.7  # of the service's time for returning watchers; the rest is for writes and changes
BURST_S = 0.25  # of work that is admitted at once
CALL_COST_S = 350e-6  # per call (benchmarks/interest.py)
ENTRY_COST_S = 5e-6  # per entry of its answer
MAX_DELAY_S = 4.0  # after an outage, until the last is admitted, even above the rate
TICKET_TOLERANCE_S = 0.02  # a ticket is valid this long before its time, since clocks and timers round


@dataclass(frozen=True, slots=True)
class ScheduledRetry:
    """When a call is to be retried."""

    delay_s: float
    ticket: int
    """The time of the retry, ms of the service's clock."""


class AdmissionQueue:
    """The queue of returning watchers; its state is one number, however many wait."""

    def __init__(self, seed: int = 0) -> None:
        self._backlog_end_s = float("-inf")
        self._random = random.Random(seed)
        self.rejected_count = 0

    def schedule_retry(
        self, now: float, cost_s: float, waited_s: float, ticket: int | None
    ) -> ScheduledRetry | None:
        """Return when a call is to be retried; None if it is admitted now.

        `waited_s` is how long it has been retried. A call whose ticket is due was counted when the ticket
        was issued.
        """
        if ticket is not None and now - MAX_DELAY_S <= ticket / 1_000 <= now + TICKET_TOLERANCE_S:
            return None
        self._backlog_end_s = max(self._backlog_end_s, now) + cost_s / MAX_CPU_FRACTION
        delay_s = self._backlog_end_s - now - BURST_S
        if delay_s <= 0:
            return None
        max_delay_s = max(MAX_DELAY_S - waited_s, 0.0)
        if delay_s > max_delay_s:  # more work than fits: spread over the time that is left
            delay_s = max_delay_s * self._random.random()
            self._backlog_end_s = min(self._backlog_end_s, now + BURST_S + MAX_DELAY_S)
        if delay_s <= TICKET_TOLERANCE_S:
            return None
        self.rejected_count += 1
        return ScheduledRetry(delay_s, int((now + delay_s) * 1_000))
