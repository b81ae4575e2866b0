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

PART = 0.7  # of the service's time for those who return; the rest is for writes and for changes
BURST_S = 0.25
CALL_S, ENTRY_S = 350e-6, 5e-6  # for a call, and for each entry of its answer (benchmarks/interest.py)
ALL_IN_S = 4.0  # after an outage, by when the last is let in, over the pace or not
EARLY_S = 0.02  # a ticket is good so long before its time: clocks and timers round


@dataclass(frozen=True, slots=True)
class ScheduledRetry:
    """When a call is to come again."""

    after_s: float
    ticket: int
    """Its time, ms of the service's clock."""


class AdmissionQueue:
    """The queue of those who return; bounded state: two numbers."""

    def __init__(self, seed: int = 0) -> None:
        self._free_at = float("-inf")
        self._random = random.Random(seed)
        self.turned_away = 0

    def ask(self, now: float, cost_s: float, waited_s: float, ticket: int | None) -> ScheduledRetry | None:
        """Whether a call may come in now: None if so. `waited_s` is how long it has tried already.

        One with a ticket whose time has come was counted when it got it.
        """
        if ticket is not None and now - ALL_IN_S <= ticket / 1_000 <= now + EARLY_S:
            return None
        self._free_at = max(self._free_at, now) + cost_s / PART
        ahead = self._free_at - now - BURST_S
        if ahead <= 0:
            return None
        left = max(ALL_IN_S - waited_s, 0.0)
        if ahead > left:  # more than can be had in time: spread over all that there is
            ahead = left * self._random.random()
            self._free_at = min(self._free_at, now + BURST_S + ALL_IN_S)
        if ahead <= EARLY_S:
            return None
        self.turned_away += 1
        return ScheduledRetry(ahead, int((now + ahead) * 1_000))
