"""How often watchers are woken: no more often than half of the service's time suffices to answer them."""

from __future__ import annotations

ANSWER_COST_S = 30e-6  # that it takes to answer a watch with shared bytes (benchmarks/registry.py)
MAX_WAKE_CPU_FRACTION = 0.5  # of the service's time that may go into answering watchers
# Between two wakes, however few wait; the first after a quiet spell comes at once.
MIN_WAKE_INTERVAL_S = 0.02


class WakeRateLimiter:
    """Under a stream of changes each watcher gets several at once, and the service has time for writes.

    Times are seconds of a clock that never goes back.
    """

    def __init__(self) -> None:
        self._last_wake_s = float("-inf")
        self._last_woken_count = 0

    def next_wake_s(self, waiting_count: int) -> float:
        """Return when to wake next: not before those woken last, or waiting now, can be answered."""
        answer_count = max(waiting_count, self._last_woken_count)
        return self._last_wake_s + max(
            ANSWER_COST_S * answer_count / MAX_WAKE_CPU_FRACTION, MIN_WAKE_INTERVAL_S
        )

    def record_wake(self, now: float, count: int) -> None:
        """Record how many were woken; between two calls they do not wait, and come back all the same."""
        self._last_wake_s = now
        self._last_woken_count = count
