"""Draws from servers by weight whose cost hardly grows with their number."""

from __future__ import annotations

import random
from collections.abc import Iterator

from loadbalancer.policy.servers import Server
from loadbalancer.policy.zones import zone_fractions

MAX_CHANGES_PER_SLOT = (
    8  # sums are added up anew after so many changes for each slot: rounding errors stay small
)


class WeightedSamplingTree:
    """Servers and their weights: a Fenwick tree, in which a draw or a change takes log2(size) steps."""

    def __init__(self) -> None:
        self._size = 1
        self._sums = [0.0, 0.0]  # from 1 on; each holds the sum of as many weights as its lowest bit
        self._weights: list[float] = [0.0]
        self._servers: list[Server | None] = [None]
        self._slots: dict[str, int] = {}
        self._free = [0]
        self._changes = 0
        self.total = 0.0

    def __len__(self) -> int:
        return len(self._slots)

    def set_weight(self, server: Server, weight: float) -> None:
        """Take a server in, or change its weight."""
        slot = self._slots.get(server.endpoint.server)
        if slot is None:
            if not self._free:
                self._grow()
            slot = self._slots[server.endpoint.server] = self._free.pop()
        self._servers[slot] = server
        self._set(slot, weight)

    def remove(self, name: str) -> None:
        """Let a server go."""
        slot = self._slots.pop(name)
        self._servers[slot] = None
        self._free.append(slot)
        self._set(slot, 0.0)

    def server_at(self, part: float) -> Server | None:
        """The server in which this part of the total (0 to 1) lies; None if rounding leads past the last."""
        left, slot, step = part * self.total, 0, self._size
        while step:
            if slot + step <= self._size and self._sums[slot + step] <= left:
                slot += step
                left -= self._sums[slot]
            step //= 2
        return self._servers[slot] if slot < self._size else None

    def _set(self, slot: int, weight: float) -> None:
        change, self._weights[slot] = weight - self._weights[slot], weight
        self._changes += 1
        if self._changes > MAX_CHANGES_PER_SLOT * self._size:
            self._add_up()
            return
        self.total += change
        at = slot + 1
        while at <= self._size:
            self._sums[at] += change
            at += at & -at

    def _grow(self) -> None:
        self._free.extend(range(2 * self._size - 1, self._size - 1, -1))
        self._servers += [None] * self._size
        self._weights += [0.0] * self._size
        self._size *= 2
        self._add_up()

    def _add_up(self) -> None:
        self._changes = 0
        self._sums = [0.0, *self._weights]
        for at in range(1, self._size + 1):
            if (above := at + (at & -at)) <= self._size:
                self._sums[above] += self._sums[at]
        self.total = sum(self._weights)


class Sampler:
    """All that may be drawn: a tree for each zone."""

    def __init__(self) -> None:
        self._trees: dict[str, WeightedSamplingTree] = {}
        self._zones: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._zones)

    def set_weight(self, server: Server, weight: float) -> None:
        """Take a server in, or change its weight; it may have moved to another zone."""
        name, zone = server.endpoint.server, server.endpoint.zone
        if self._zones.get(name, zone) != zone:
            self.remove(name)
        self._zones[name] = zone
        self._trees.setdefault(zone, WeightedSamplingTree()).set_weight(server, weight)

    def remove(self, name: str) -> None:
        """Let a server go, if it is there."""
        zone = self._zones.pop(name, None)
        if zone is not None:
            self._trees[zone].remove(name)
            if not self._trees[zone]:
                del self._trees[zone]

    def clear(self) -> None:
        """Let all go."""
        self._trees.clear()
        self._zones.clear()

    def draw(
        self, own_zone: str, shares: dict[str, float], chance: random.Random, most: int
    ) -> Iterator[Server]:
        """Servers drawn by weight, with those of our zone preferred; the same one may come twice."""
        totals = {zone: tree.total for zone, tree in self._trees.items()}
        parts = zone_fractions(totals, own_zone, shares)
        sums = {zone: totals[zone] * part for zone, part in parts.items()}
        whole = sum(sums.values())
        for _ in range(most):
            point = chance.random() * whole
            for zone, weight in sums.items():
                if point < weight:
                    if server := self._trees[zone].server_at(point / weight):
                        yield server
                    break
                point -= weight
