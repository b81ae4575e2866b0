"""Sample servers by weight in logarithmic time."""

from __future__ import annotations

import random
from collections.abc import Iterator

from loadbalancer.policy.servers import Server
from loadbalancer.policy.zones import zone_fractions

MAX_CHANGES_PER_SLOT = 8
"""Changes per slot after which the sums are recomputed, to bound accumulated rounding errors."""


class WeightedSamplingTree:
    """Fenwick tree of server weights, in which a sample or a change takes log2(size) steps.

    P. M. Fenwick, "A new data structure for cumulative frequency tables", 1994.
    """

    def __init__(self) -> None:
        self._size = 1
        self._sums = [0.0, 0.0]  # 1-based; the lowest set bit of an index is the number of weights summed
        self._weights: list[float] = [0.0]
        self._servers: list[Server | None] = [None]
        self._slots: dict[str, int] = {}
        self._free_slots = [0]
        self._changes = 0
        self.total = 0.0

    def __len__(self) -> int:
        return len(self._slots)

    def __iter__(self) -> Iterator[Server]:
        return (server for server in self._servers if server is not None)

    def set_weight(self, server: Server, weight: float) -> None:
        """Add a server, or change its weight."""
        slot = self._slots.get(server.endpoint.server)
        if slot is None:
            if not self._free_slots:
                self._grow()
            slot = self._slots[server.endpoint.server] = self._free_slots.pop()
        self._servers[slot] = server
        self._set(slot, weight)

    def remove(self, name: str) -> None:
        """Remove a server; KeyError if it is not in the tree."""
        slot = self._slots.pop(name)
        self._servers[slot] = None
        self._free_slots.append(slot)
        self._set(slot, 0.0)

    def server_at(self, fraction: float) -> Server | None:
        """Return the server at a fraction (0 to 1) of the total weight.

        None if a rounding error leads past the last server.
        """
        remaining = fraction * self.total
        slot = 0
        step = self._size
        while step:
            if slot + step <= self._size and self._sums[slot + step] <= remaining:
                slot += step
                remaining -= self._sums[slot]
            step //= 2
        return self._servers[slot] if slot < self._size else None

    def _set(self, slot: int, weight: float) -> None:
        change = weight - self._weights[slot]
        self._weights[slot] = weight
        self._changes += 1
        if self._changes > MAX_CHANGES_PER_SLOT * self._size:
            self._compute_sums()
            return
        self.total += change
        index = slot + 1
        while index <= self._size:
            self._sums[index] += change
            index += index & -index

    def _grow(self) -> None:
        self._free_slots.extend(range(2 * self._size - 1, self._size - 1, -1))
        self._servers += [None] * self._size
        self._weights += [0.0] * self._size
        self._size *= 2
        self._compute_sums()

    def _compute_sums(self) -> None:
        self._changes = 0
        self._sums = [0.0, *self._weights]
        for index in range(1, self._size + 1):
            parent = index + (index & -index)
            if parent <= self._size:
                self._sums[parent] += self._sums[index]
        self.total = sum(self._weights)


class Sampler:
    """Weighted sampling over all zones, with one tree per zone."""

    def __init__(self) -> None:
        self._trees: dict[str, WeightedSamplingTree] = {}
        self._zones: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._zones)

    def __iter__(self) -> Iterator[Server]:
        return (server for tree in self._trees.values() for server in tree)

    def set_weight(self, server: Server, weight: float) -> None:
        """Add a server, or change its weight; it may have moved to another zone."""
        name = server.endpoint.server
        zone = server.endpoint.zone
        if self._zones.get(name, zone) != zone:
            self.remove(name)
        self._zones[name] = zone
        self._trees.setdefault(zone, WeightedSamplingTree()).set_weight(server, weight)

    def remove(self, name: str) -> None:
        """Remove a server if it is present."""
        zone = self._zones.pop(name, None)
        if zone is not None:
            self._trees[zone].remove(name)
            if not self._trees[zone]:
                del self._trees[zone]

    def clear(self) -> None:
        """Remove all servers."""
        self._trees.clear()
        self._zones.clear()

    def draw(
        self, own_zone: str, reduced_zones: dict[str, float], rng: random.Random, count: int
    ) -> Iterator[Server]:
        """Yield up to `count` servers sampled by weight with replacement, the own zone first."""
        capacities = {zone: tree.total for zone, tree in self._trees.items()}
        fractions = zone_fractions(capacities, own_zone, reduced_zones)
        weights = {zone: capacities[zone] * fraction for zone, fraction in fractions.items()}
        total = sum(weights.values())
        for _ in range(count):
            point = rng.random() * total
            for zone, weight in weights.items():
                if point < weight:
                    server = self._trees[zone].server_at(point / weight)
                    if server:
                        yield server
                    break
                point -= weight
