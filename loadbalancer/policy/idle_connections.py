"""Estimate from failed attempts the idle time after which pooled connections are dead."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from loadbalancer.policy.requests import Attempt

MAX_OBSERVATIONS = 40
"""Number of most recent attempts on idle connections that the estimate uses."""
MIN_SILENT_ATTEMPTS = 2
"""Minimum number of attempts without a response; a single one may have another cause."""
MIN_SILENT_FRACTION = 0.6
"""Minimum fraction without a response among attempts on connections idle at least as long."""


class _Observation(NamedTuple):
    idle_ms: float
    is_silent: bool


class IdleTimeoutEstimate:
    """The idle time at which connections are considered dead.

    It guards against idle connections that a hop on the path has dropped silently. If servers do not respond
    for another reason, it costs additional handshakes.
    """

    def __init__(self) -> None:
        self._observations: deque[_Observation] = deque(maxlen=MAX_OBSERVATIONS)
        self.limit_ms = math.inf

    def record_attempt(self, attempt: Attempt, *, is_silent: bool) -> None:
        """Update the estimate from an attempt on an idle connection; `is_silent` if it got no response."""
        if not attempt.idle_ms:
            return
        self._observations.append(_Observation(attempt.idle_ms, is_silent))
        silent = sorted(o.idle_ms for o in self._observations if o.is_silent)
        self.limit_ms = math.inf
        for index, idle_ms in enumerate(silent):
            idle_as_long = sum(o.idle_ms >= idle_ms for o in self._observations)
            if len(silent) - index >= max(MIN_SILENT_ATTEMPTS, MIN_SILENT_FRACTION * idle_as_long):
                self.limit_ms = idle_ms
                break
