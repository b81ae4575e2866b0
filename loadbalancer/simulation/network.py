"""One-way delays between zones, and zones isolated from the others."""

from __future__ import annotations

import numpy as np

from loadbalancer.simulation.scenario import DrawnScenario, drawn_value

JITTER_BATCH_SIZE = 4_096  # draws made at once; drawn singly, they took most of the run time


class Network:
    """The delay of each message, and which zones can't reach each other."""

    def __init__(self, drawn: DrawnScenario) -> None:
        plan = drawn.scenario.network
        self._same_zone_ms, self._cross_zone_ms = drawn_value(plan.same_ms), drawn_value(plan.cross_ms)
        self._client_ms, self._jitter = drawn_value(plan.client_ms), drawn_value(plan.jitter)
        self._rng = drawn.stream("network")
        self._jitter_factors: list[float] = []
        self._isolated_zones: set[str] = set()

    def delay(self, source: str, destination: str) -> float:
        """Return the one-way delay from one zone to another, in ms."""
        return (self._same_zone_ms if source == destination else self._cross_zone_ms) * self._next_jitter()

    def client_delay(self) -> float:
        """Return the one-way delay between a client and a front balancer, in ms."""
        return self._client_ms * self._next_jitter()

    def isolate(self, zone: str, is_isolated: bool) -> None:
        """Isolate a zone from the others, or reconnect it."""
        if is_isolated:
            self._isolated_zones.add(zone)
        else:
            self._isolated_zones.discard(zone)

    def is_cut(self, source: str, destination: str) -> bool:
        """Return whether no message gets from one zone to the other."""
        return source != destination and (
            source in self._isolated_zones or destination in self._isolated_zones
        )

    def _next_jitter(self) -> float:
        if not self._jitter_factors:
            draws = (
                self._rng.lognormal(0.0, self._jitter, JITTER_BATCH_SIZE)
                if self._jitter
                else np.ones(JITTER_BATCH_SIZE)
            )
            self._jitter_factors = draws.tolist()
        return self._jitter_factors.pop()
