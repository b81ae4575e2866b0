"""Back off between requests for the endpoint list while it is unreachable."""

from __future__ import annotations

import random

from loadbalancer.interface import LIST_RETRY_JITTER, LIST_RETRY_MEAN_BACKOFF_MS, Settings

LIST_RETRY_INITIAL_BACKOFF_MS = 500.0
"""Minimum initial backoff, doubled at each failure."""
MAX_DOUBLINGS = 9
"""Upper bound of the exponent; other limits on the backoff apply long before it."""
MIN_BACKOFFS_PER_POLL_INTERVAL = 3
"""Minimum number of backoffs per poll interval, so that an outage delays changes only slightly."""


class ListBackoff:
    """Exponential backoff with jitter, so that the balancers of a tier do not retry in step."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._failures = 0
        self.has_failed = False
        """Whether the last request failed."""

    def reset(self) -> None:
        """Reset the backoff after a successful request."""
        self._failures = 0
        self.has_failed = False

    def next_delay_ms(self, retry_within_ms: float) -> float:
        """Record a failure, and return the time until the next request, at most `retry_within_ms`."""
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
        return backoff_ms * self._rng.uniform(1 - LIST_RETRY_JITTER, 1 + LIST_RETRY_JITTER)
