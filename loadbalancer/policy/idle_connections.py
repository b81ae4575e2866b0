"""Estimate from failed attempts after which idle time pooled connections are dead."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from loadbalancer.policy.requests import Attempt

MAX_OBSERVATIONS = 40
"""Last attempts on idle connections that the estimate is taken from."""
MIN_SILENT_ATTEMPTS = 2
"""Attempts without a response that it takes: one may have been lost for another cause."""
MIN_SILENT_FRACTION = 0.6
"""Fraction of the attempts on connections idle as long or longer that must have had no response."""


class _Observation(NamedTuple):
    idle_ms: float
    is_silent: bool


class IdleTimeoutEstimate:
    """The idle time from which on connections are found dead.

    It guards against connections that anyone on the way drops without notice. It costs handshakes where the
    servers are silent for another reason.
    """

    def __init__(self) -> None:
        self._observations: deque[_Observation] = deque(maxlen=MAX_OBSERVATIONS)
        self.limit_ms = math.inf

    def record_attempt(self, attempt: Attempt, *, is_silent: bool) -> None:
        """Learn from an attempt on a connection that had been idle, and whether it got no response."""
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
