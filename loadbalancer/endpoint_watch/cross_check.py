"""Schedules comparisons with another instance's list, to detect a service that answers but never updates."""

from __future__ import annotations

import random

CROSS_CHECK_INTERVAL_S = 30.0  # minimum mean interval between cross-checks
CROSS_CHECK_INTERVAL_PER_BALANCER_MS = (
    100.0  # minimum mean interval per balancer of the tier: each cross-check transfers a full list
)
CONTRADICTION_BACKOFF_S = (
    1.0  # initial interval while servers contradict the list; doubles with each cross-check
)


class CrossCheckSchedule:
    """Schedules periodic cross-checks, and earlier ones while servers contradict the list."""

    def __init__(self, balancer_count: int, rng: random.Random) -> None:
        """`balancer_count` is the size of the tier, which loads the service as a whole."""
        tier_interval_s = CROSS_CHECK_INTERVAL_PER_BALANCER_MS * balancer_count / 1_000
        self._interval_s = max(CROSS_CHECK_INTERVAL_S, tier_interval_s)
        self._random = rng
        self._next_check_at: float | None = None
        self._contradiction_pause_s = 0.0
        self._contradiction_check_at = 0.0

    def take_due(self, now: float, is_contradicted: bool) -> bool:
        """Return whether a cross-check is due now, and if so schedule the next one.

        `is_contradicted` tells whether servers contradict the list. The interval grows while they do: a
        server that stays silent gives no new evidence, and each cross-check transfers a full list. The first
        call only starts the schedule, unless the list is contradicted.
        """
        is_first = self._next_check_at is None
        is_contradiction_due = is_contradicted and now >= self._contradiction_check_at
        if is_contradiction_due:
            doubled_s = 2 * self._contradiction_pause_s or CONTRADICTION_BACKOFF_S
            self._contradiction_pause_s = min(doubled_s, self._interval_s)
            self._contradiction_check_at = now + self._contradiction_pause_s
        elif not is_contradicted:
            self._contradiction_pause_s = 0.0
            self._contradiction_check_at = 0.0
        if self._next_check_at is not None and now < self._next_check_at and not is_contradiction_due:
            return False
        self._next_check_at = now + self._interval_s * (0.5 + self._random.random())
        return is_contradicted or not is_first
