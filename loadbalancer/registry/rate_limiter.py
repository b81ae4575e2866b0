"""Limits how often watchers are woken, so that answering them takes at most half the service's time."""

from __future__ import annotations

ANSWER_COST_S = 30e-6  # to answer a watch with an already serialized list (benchmarks/registry.py)
MAX_WAKE_CPU_FRACTION = 0.5  # of the service's time for answering watchers
# Between two wake-ups, however few wait; the first after a quiet period is immediate.
MIN_WAKE_INTERVAL_S = 0.02


class WakeRateLimiter:
    """Groups a stream of changes for each watcher, so that the service has time for writes.

    Times are seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._last_wake_s = float("-inf")
        self._last_woken_count = 0

    def next_wake_s(self, waiting_count: int) -> float:
        """Return the next wake-up time: not before those woken last, or waiting now, can be answered."""
        answer_count = max(waiting_count, self._last_woken_count)
        return self._last_wake_s + max(
            ANSWER_COST_S * answer_count / MAX_WAKE_CPU_FRACTION, MIN_WAKE_INTERVAL_S
        )

    def record_wake(self, now: float, count: int) -> None:
        """Record how many were woken: between two calls they are not waiting, but they will return."""
        self._last_wake_s = now
        self._last_woken_count = count
