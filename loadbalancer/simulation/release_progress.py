"""The progress of a release: when servers were drained, and which balancers know of it."""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass

from loadbalancer.simulation.list_service import ServiceInstance


@dataclass(frozen=True)
class Drain:
    """One change of the release."""

    at_ms: float
    server: str


class ReleaseProgress:
    """Holds the drains of a release in order, and how long each took to reach the last balancer."""

    def __init__(self, balancer_count: int) -> None:
        """`balancer_count` balancers have to know of each drain."""
        self._balancer_count = balancer_count
        self._uninformed: list[int] = []  # balancers that do not know of a drain, by drain
        self.drains: list[Drain] = []
        self.propagation_ms: list[float] = []
        """By drain, until the last balancer knew of it; NaN while some do not."""

    def add_drain(self, server: str, now: float) -> None:
        """Record that a server was drained."""
        self.drains.append(Drain(now, server))
        self.propagation_ms.append(math.nan)
        self._uninformed.append(self._balancer_count)

    def count_known_changes(self, instance: ServiceInstance) -> int:
        """Return how many drains an instance's list holds, without a gap."""
        while instance.known_changes < len(self.drains) and _holds(
            instance, self.drains[instance.known_changes]
        ):
            instance.known_changes += 1
        return instance.known_changes

    def record_informed(self, first: int, end: int, now: float) -> None:
        """Record that one more balancer knows of the drains from `first` to before `end`."""
        for number in range(first, end):
            self._uninformed[number] -= 1
            if not self._uninformed[number]:
                self.propagation_ms[number] = now - self.drains[number].at_ms

    def count_drained_until(self, until_ms: float) -> int:
        """Return how many servers were drained before a time."""
        return bisect_right(self.drains, (until_ms, ""), key=lambda drain: (drain.at_ms, drain.server))


def _holds(instance: ServiceInstance, drain: Drain) -> bool:
    entry = instance.catalog.entries[drain.server]
    return entry.registration.since_ms >= drain.at_ms or entry.status.value != "in_service"
