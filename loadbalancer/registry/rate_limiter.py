"""How often watches are woken: no more often than half of the service's time suffices to answer them."""

from __future__ import annotations

ANSWER_COST_S = 30e-6  # that it takes to answer a watch with shared bytes (benchmarks/directory.py)
MAX_WAKE_CPU_SHARE = 0.5  # of the service's time that may go into answering watches
MIN_WAKE_INTERVAL_S = (
    0.02  # between two wakes, however few watch; the first after a quiet spell comes at once
)


class WakeRateLimiter:
    """Under a stream of changes each watch gets several at once, and the service has time for writes.

    Times are seconds of a clock that never goes back.
    """

    def __init__(self) -> None:
        self._last_wake_s, self._last_woken_count = float("-inf"), 0

    def next_wake_s(self, watching: int) -> float:
        """When watches may be woken next: not before those woken last, or waiting now, can be answered."""
        return self._last_wake_s + max(
            ANSWER_COST_S * max(watching, self._last_woken_count) / MAX_WAKE_CPU_SHARE, MIN_WAKE_INTERVAL_S
        )

    def record_wake(self, now: float, count: int) -> None:
        """So many were woken; between two calls they are not here, and come back all the same."""
        self._last_wake_s, self._last_woken_count = now, count
