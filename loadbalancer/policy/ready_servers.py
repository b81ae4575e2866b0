"""Index the servers that may get new requests, and the subset of them that this balancer uses."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterator

from loadbalancer.interface import Settings
from loadbalancer.policy.servers import Server

MIN_SUBSET_SERVERS = 12
"""Minimum subset size, which leaves a choice after the loss of a few servers."""
BALANCERS_PER_SERVER = 30
"""Balancers that use each server; their random subsets then even out to within about a fifth."""
NEARBY_SERVERS = 6
"""Ring neighbours that a balancer of an inner tier tries first if it has no calls there."""
RANK_AFTER_ALL = (math.inf, "")
"""Sentinel that sorts after all ranks."""


class ReadyServers:
    """The servers that are listed as ready and not cordoned, in three orders.

    The cost of an update depends on what it changes, not on the number of servers. The subset is the first
    `subset_size` servers by rank, a random number; a ring for each zone holds names in alphabetical order.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.by_name: dict[str, Server] = {}
        self.names_by_zone: dict[str, list[str]] = {}
        self.subset_size = 0
        self.total_capacity = 0.0
        self._ranked: list[tuple[float, str]] = []
        self._names: list[str] = []
        self._changed: dict[str, None] = {}  # names, in order of change
        self._subset_end = RANK_AFTER_ALL  # first rank outside the subset as of the last `take_changed_names`
        self._cached_subset: list[Server] | None = None

    def __iter__(self) -> Iterator[str]:
        return iter(self.by_name)

    def __len__(self) -> int:
        return len(self.by_name)

    def subset(self, first: int, count: int) -> list[Server]:
        """Return up to `count` servers of the subset, starting at index `first` and wrapping around."""
        if count >= self.subset_size:
            if self._cached_subset is None:
                self._cached_subset = [self.by_name[name] for _, name in self._ranked[: self.subset_size]]
            return self._cached_subset
        entries = self._ranked[first : min(first + count, self.subset_size)]
        entries += self._ranked[: count - len(entries)]
        return [self.by_name[name] for _, name in entries]

    def is_in_subset(self, server: Server) -> bool:
        """Return whether a server is in the subset, as of the last `take_changed_names`."""
        return server.is_ready and (server.rank, server.endpoint.server) < self._subset_end

    def names_outside_subset(self) -> set[str]:
        """Return the ready servers that this balancer does not use."""
        return {name for _, name in self._ranked[self.subset_size :]}

    def take_changed_names(self) -> dict[str, None]:
        """Return the servers that may have entered or left the subset since the last call, in order."""
        end = RANK_AFTER_ALL
        if self.subset_size < len(self._ranked):
            end = self._ranked[self.subset_size]
        changed = self._changed
        self._changed = {}
        if end == self._subset_end:
            return changed
        low, high = sorted((end, self._subset_end))
        between = self._ranked[bisect_left(self._ranked, low) : bisect_left(self._ranked, high)]
        self._subset_end = end
        return changed | dict.fromkeys(name for _, name in between)

    def nearby(self) -> list[Server]:
        """Return the servers of the own zone nearest to this balancer's position on the ring.

        Each server is near few balancers, so that their own calls there are most of its load.
        """
        ring = self.names_by_zone.get(self._settings.zone) or self._names
        position = len(ring) * (self._settings.balancer_index + 0.5) / self._settings.balancer_count
        first = round(position - NEARBY_SERVERS / 2)
        count = min(NEARBY_SERVERS, len(ring))
        return [self.by_name[ring[index % len(ring)]] for index in range(first, first + count)]

    def mark_changed(self, name: str) -> None:
        """Record that a server may have entered or left the subset, or changed its capacity."""
        self._changed[name] = None

    def add(self, server: Server) -> None:
        """Add a server and its capacity."""
        name = server.endpoint.server
        self.total_capacity += server.registered_capacity
        self.by_name[name] = server
        self._cached_subset = None
        insort(self._ranked, (server.rank, name))
        insort(self._names, name)
        insort(self.names_by_zone.setdefault(server.endpoint.zone, []), name)
        self._update_subset_size()

    def remove(self, server: Server) -> None:
        """Remove a server and its capacity; call this before its endpoint changes."""
        name = server.endpoint.server
        zone = server.endpoint.zone
        self._cached_subset = None
        del self.by_name[name]
        del self._ranked[bisect_left(self._ranked, (server.rank, name))]
        del self._names[bisect_left(self._names, name)]
        ring = self.names_by_zone[zone]
        del ring[bisect_left(ring, name)]
        if not ring:
            del self.names_by_zone[zone]
        self.total_capacity -= server.registered_capacity
        self._update_subset_size()

    def replace_capacity(self, previous: float, current: float) -> None:
        """Update the total for a server that stays and whose capacity has changed."""
        self.total_capacity -= previous
        self.total_capacity += current

    def _update_subset_size(self) -> None:
        """Set the size of the subset by the number of servers.

        A balancer that used hundreds of servers would call each too seldom to learn its capacity or to reuse
        connections.
        """
        size = math.ceil(len(self._ranked) * BALANCERS_PER_SERVER / self._settings.balancer_count)
        self.subset_size = min(max(MIN_SUBSET_SERVERS, size), len(self._ranked))
