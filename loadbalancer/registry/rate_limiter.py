"""How often watches are woken: no more often than half of the service's time suffices to answer them."""

from __future__ import annotations

ANSWER_S = 30e-6  # that it takes to answer a watch with shared bytes (benchmarks/directory.py)
WAKES_PART = 0.5  # of the service's time that may go into answering watches
LEAST_S = 0.02  # between two wakes, however few watch; the first after a quiet spell comes at once


class WakeRateLimiter:
    """Under a stream of changes each watch gets several at once, and the service has time for writes.

    Times are seconds of a clock that never goes back.
    """

    def __init__(self) -> None:
        self._woken, self._count = float("-inf"), 0

    def due(self, watching: int) -> float:
        """When watches may be woken next: not before those woken last, or waiting now, can be answered."""
        return self._woken + max(ANSWER_S * max(watching, self._count) / WAKES_PART, LEAST_S)

    def woke(self, now: float, count: int) -> None:
        """So many were woken; between two calls they are not here, and come back all the same."""
        self._woken, self._count = now, count
