"""Bundle the estimates that this balancer learns from its traffic."""

from __future__ import annotations

import random

from loadbalancer.interface import Settings
from loadbalancer.policy.capacity_estimates import CapacityEstimates
from loadbalancer.policy.idle_connections import IdleTimeoutEstimate
from loadbalancer.policy.latency_estimates import ExpectedWorkAverage, LatencyEstimates
from loadbalancer.policy.overload import OverloadLevel
from loadbalancer.policy.slow_start import SlowStart


class Estimates:
    """Estimates of server capacities, latencies, load and connections, from past requests and attempts."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.capacities = CapacityEstimates()
        self.latencies = LatencyEstimates(settings)
        self.overload = OverloadLevel(self.latencies)
        self.slow_start = SlowStart(settings, rng)
        self.expected_work = ExpectedWorkAverage()
        self.idle_timeouts = IdleTimeoutEstimate()
