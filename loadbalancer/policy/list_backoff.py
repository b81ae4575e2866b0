"""Back off between requests for the endpoint list while it is unreachable."""

from __future__ import annotations

import random

from loadbalancer.interface import LIST_RETRY_JITTER, LIST_RETRY_MEAN_BACKOFF_MS, Settings

LIST_RETRY_INITIAL_BACKOFF_MS = 500.0
"""First backoff, doubled at each failure."""
MAX_DOUBLINGS = 9
"""Doublings of the backoff, which other bounds cut off long before."""
MIN_BACKOFFS_PER_POLL_INTERVAL = 3
"""Backoffs that fit into a poll interval at least, so that an outage delays no change by much."""


class ListBackoff:
    """Exponential backoff with jitter, so that the balancers of a tier do not retry in step."""

    def __init__(self, settings: Settings, chance: random.Random) -> None:
        self._settings = settings
        self._random = chance
        self._failures = 0
        self.has_failed = False
        """Whether the last request failed."""

    def reset(self) -> None:
        """Start anew after a request that succeeded."""
        self._failures = 0
        self.has_failed = False

    def next_delay_ms(self, retry_within_ms: float) -> float:
        """Count a failure, and return the time until the next request: at most `retry_within_ms`."""
        first_ms = max(
            LIST_RETRY_INITIAL_BACKOFF_MS, LIST_RETRY_MEAN_BACKOFF_MS * self._settings.balancer_count
        )
        doublings = min(self._failures, MAX_DOUBLINGS)
        backoff_ms: float = min(
            first_ms * 2**doublings,
            self._settings.poll_interval_ms / MIN_BACKOFFS_PER_POLL_INTERVAL,
            retry_within_ms / (1 + LIST_RETRY_JITTER),
        )
        self._failures += 1
        self.has_failed = True
        return backoff_ms * self._random.uniform(1 - LIST_RETRY_JITTER, 1 + LIST_RETRY_JITTER)
