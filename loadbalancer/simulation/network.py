"""One-way delays between zones, and cuts between them."""

from __future__ import annotations

import numpy as np

from loadbalancer.simulation.scenario import Day, number

BATCH = 4_096  # draws made at once: one at a time they cost most of the time


class Network:
    """How long a message takes, and who can't reach whom."""

    def __init__(self, day: Day) -> None:
        plan = day.scenario.network
        self._same, self._cross = number(plan.same_ms), number(plan.cross_ms)
        self._client, self._jitter = number(plan.client_ms), number(plan.jitter)
        self._rng = day.stream("network")
        self._factors: list[float] = []
        self._cuts: set[str] = set()

    def delay(self, one: str, other: str) -> float:
        """From one zone to another, in ms."""
        return (self._same if one == other else self._cross) * self._factor()

    def client_delay(self) -> float:
        """Between a client and the front, in ms."""
        return self._client * self._factor()

    def cut(self, zone: str, on: bool) -> None:
        """Cut a zone off from the others, or end that."""
        if on:
            self._cuts.add(zone)
        else:
            self._cuts.discard(zone)

    def is_cut(self, one: str, other: str) -> bool:
        """Whether nothing gets from one to the other."""
        return one != other and (one in self._cuts or other in self._cuts)

    def _factor(self) -> float:
        if not self._factors:
            draws = self._rng.lognormal(0.0, self._jitter, BATCH) if self._jitter else np.ones(BATCH)
            self._factors = draws.tolist()
        return self._factors.pop()
