"""Estimate from late responses how much of the offered load is admitted."""

from __future__ import annotations

import math
from collections.abc import Iterable

from loadbalancer.interface import OverloadEvidence
from loadbalancer.policy.latency_estimates import OVERLOAD_DECAY_MS, LatencyEstimates
from loadbalancer.policy.requests import Request

UPDATE_INTERVAL_MS = 20.0
"""Interval between computations of the admitted fraction, only to save work."""
PRIOR_RESPONSES = 2.0
"""Number of timely responses that are assumed beforehand, to dampen the mean while there are few.

One fully late response after 3 recent timely ones sheds nothing; without any, it makes the mean 1/3, and only
the minimum is admitted.
"""
MAX_LATENESS_ALL_ADMITTED = 0.17
"""Mean lateness (which is squared) up to which everything is admitted."""
MIN_LATENESS_LEAST_ADMITTED = 0.34
"""Mean lateness from which on only the minimum is admitted."""
MIN_ADMITTED_FRACTION = 0.05
"""Fraction that is always admitted, so that a recovery is noticed."""


class OverloadLevel:
    """Computes which fraction of the offered load is admitted: less as responses near their objective.

    Calls in flight count as well, so it reacts before the first late response. It guards against congestion
    whatever the cause (overload, lost servers, slow ones), and recovers as the evidence decays. It sheds load
    without need where calls fail for another reason.
    """

    def __init__(self, latencies: LatencyEstimates) -> None:
        self._latencies = latencies
        self._lateness = 0.0
        self._responses = 0.0
        self._updated_at_ms = 0.0
        self._admitted_fraction = 1.0
        self._computed_at_ms = -math.inf

    def record(self, lateness: float, weight: float, now: float) -> None:
        """Count how late a response was, with its weight."""
        decay = math.exp((self._updated_at_ms - now) / OVERLOAD_DECAY_MS)
        self._updated_at_ms = now
        self._responses = self._responses * decay + weight
        self._lateness = self._lateness * decay + weight * lateness

    def admitted_fraction(self, open_requests: Iterable[Request], now: float) -> float:
        """Return the fraction that is admitted, from 0.05 to 1."""
        if now - self._computed_at_ms >= UPDATE_INTERVAL_MS:
            self._computed_at_ms = now
            silent_weight = self._silent_weight(open_requests, now)
            decay = math.exp((self._updated_at_ms - now) / OVERLOAD_DECAY_MS)
            mean_lateness = (self._lateness * decay + silent_weight) / (
                self._responses * decay + silent_weight + PRIOR_RESPONSES
            )
            fraction = (MIN_LATENESS_LEAST_ADMITTED - mean_lateness) / (
                MIN_LATENESS_LEAST_ADMITTED - MAX_LATENESS_ALL_ADMITTED
            )
            self._admitted_fraction = min(max(fraction, MIN_ADMITTED_FRACTION), 1.0)
        return self._admitted_fraction

    def _silent_weight(self, open_requests: Iterable[Request], now: float) -> float:
        """Return the total weight of calls without a response so far; each counts as fully late (1)."""
        awaited = (
            r
            for r in open_requests
            if r.is_response_due and r.is_complete and not r.is_streaming and r.attempts
        )
        return sum(self._latencies.silence_weight(now - r.attempts[0].sent_at_ms, r) for r in awaited)

    def evidence(self) -> OverloadEvidence:
        """Return the evidence, for another process."""
        return OverloadEvidence(self._lateness, self._responses, self._updated_at_ms)

    def restore(self, evidence: OverloadEvidence, now: float) -> None:
        """Take over the evidence of another process."""
        self._lateness = evidence.lateness
        self._responses = evidence.responses
        self._updated_at_ms = min(evidence.updated_at_ms, now)
