"""Estimate the usual latency of each class and the usual time to connect."""

from __future__ import annotations

import math
from typing import NamedTuple

from loadbalancer import interface
from loadbalancer.policy.requests import Request

SMOOTHING_REQUESTS = 50.0
"""Requests over which the offered load and latencies are smoothed, for stability."""
INITIAL_LATENCIES_PER_OBJECTIVE = 5
"""Assumed ratio of a class's objective to its usual latency until responses are seen."""
UNCONGESTED_QUANTILE = 0.3
"""Quantile of the latencies that is taken as the latency without congestion."""
UNCONGESTED_STEP = 0.1
"""Relative step of the quantile estimate at each response."""
MAX_UNCONGESTED_FRACTION = 0.2
"""Upper bound of the uncongested latency, as a fraction of the class's objective."""
OVERLOAD_DECAY_MS = 2_000.0
"""Time constant (1/e) of congestion evidence: 1 to 2 usual latency objectives long, to end shedding soon."""


class _ConnectTime(NamedTuple):
    mean_ms: float
    deviation_ms: float


class LatencyEstimates:
    """Smoothed and uncongested latencies of each class, and connect times of each zone."""

    def __init__(self, settings: interface.Settings) -> None:
        self.smoothed_ms = {
            c.name: c.latency_objective_ms / INITIAL_LATENCIES_PER_OBJECTIVE for c in settings.classes
        }
        """By class: smoothed latency."""
        self.uncongested_ms = {
            c.name: MAX_UNCONGESTED_FRACTION * c.latency_objective_ms for c in settings.classes
        }
        """By class: latency while no server is congested."""
        self._connect_times: dict[str, _ConnectTime] = {}

    def record_latency(self, elapsed_ms: float, request: Request) -> None:
        """Update the estimates with the latency of a served call."""
        request_class = request.request_class
        name = request_class.name
        is_below = elapsed_ms / request.work_factor < self.uncongested_ms[name]
        step = UNCONGESTED_STEP * (UNCONGESTED_QUANTILE - is_below)
        self.uncongested_ms[name] = min(
            self.uncongested_ms[name] * (1 + step),
            MAX_UNCONGESTED_FRACTION * request_class.latency_objective_ms,
        )
        self.smoothed_ms[name] += (elapsed_ms - self.smoothed_ms[name]) / SMOOTHING_REQUESTS

    def lateness(self, elapsed_ms: float, request: Request) -> float:
        """Return how late a call is, from 0 at its uncongested latency to 1 at its objective, squared.

        A long latency is not late if calls of the class take as long without congestion.
        """
        uncongested_ms = self.uncongested_ms[request.request_class.name]
        objective_ms = request.request_class.latency_objective_ms
        over_ms = max(elapsed_ms / request.work_factor - uncongested_ms, 0.0)
        return min(over_ms / (objective_ms - uncongested_ms), 1.0) ** 2

    def silence_weight(self, elapsed_ms: float, request: Request) -> float:
        """Return the weight of a call without a response so far, which decays after its objective.

        From then on it counts as one fully late response recorded at the objective would.
        """
        over_ms = max(elapsed_ms / request.work_factor - request.request_class.latency_objective_ms, 0.0)
        return self.lateness(elapsed_ms, request) * math.exp(-over_ms / OVERLOAD_DECAY_MS)

    def record_connect(self, elapsed_ms: float, zone: str) -> None:
        """Update the connect time of a zone, smoothed like round-trip times in RFC 6298."""
        mean_ms, deviation_ms = self._connect_times.get(zone, (elapsed_ms, elapsed_ms / 2))
        self._connect_times[zone] = _ConnectTime(
            mean_ms + (elapsed_ms - mean_ms) / 8,
            deviation_ms + (abs(elapsed_ms - mean_ms) - deviation_ms) / 4,
        )

    def connect_limit_ms(self, request: Request, zone: str) -> float:
        """Return the connect timeout as in RFC 6298: mean plus 4 deviations.

        It is at least the time that the request may wait for capacity (`max_wait_ms`), and infinite while no
        connect time of the zone is known.
        """
        mean_ms, deviation_ms = self._connect_times.get(zone, (math.inf, 0.0))
        return max(mean_ms + 4 * deviation_ms, request.max_wait_ms)


class ExpectedWorkAverage:
    """Running average of the expected work that clients specify, to which requests are compared."""

    def __init__(self) -> None:
        self._average_ms = 0.0

    def relative_work(self, expected_work_ms: float) -> float:
        """Update the average with a request's expected work, and return the work relative to it."""
        if self._average_ms:
            self._average_ms += (expected_work_ms - self._average_ms) / SMOOTHING_REQUESTS
        else:
            self._average_ms += expected_work_ms
        return expected_work_ms / self._average_ms
