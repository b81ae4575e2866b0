"""An index of waiting watches by what they hold: a change costs only those whose interest includes it.

    watchers = WatcherIndex(subsets)
    with watchers.subscribe(view, subset) as woken: await woken        # a future of the running loop
    count = watchers.wake_affected(catalog.changed_since(revision), revision)

Its state grows with the waiting watches, and is dropped with them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Hashable, Iterable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from loadbalancer.registry.entries import Entry
from loadbalancer.registry.interest import MAX_LEVEL, SubsetSpec, SubsetView, server_positions
from loadbalancer.registry.interest_changes import former_zones_since
from loadbalancer.registry.subset_cache import SubsetCache

WakeFuture = asyncio.Future[None]


class AffectedWatchers(NamedTuple):
    """Watchers to wake, and the services that have changed."""

    futures: set[WakeFuture]
    services: set[str]


class WatcherIndex:
    """The waiting watches by service, slice and subset specification."""

    def __init__(self, subsets: SubsetCache) -> None:
        self._subsets = subsets
        self._futures: dict[Hashable, set[WakeFuture]] = {}
        # By service: the subsets that watches wait for, with their levels at the last wake.
        self._watched_levels: dict[str, dict[SubsetSpec, dict[str, int]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._futures.values()))

    @contextmanager
    def subscribe(self, view: SubsetView, subset: SubsetSpec | None) -> Iterator[WakeFuture]:
        """Register, until the block ends, a future set on changes of what a view holds or of its levels."""
        woken: WakeFuture = asyncio.get_running_loop().create_future()
        keys = list(self._subscription_keys(view, subset))
        for key in keys:
            self._futures.setdefault(key, set()).add(woken)
        try:
            yield woken
        finally:
            for key in keys:
                self._futures[key].discard(woken)
                if not self._futures[key]:
                    del self._futures[key]
            if subset is not None:
                self._release_subsets(view, subset)

    def _subscription_keys(self, view: SubsetView, subset: SubsetSpec | None) -> Iterator[Hashable]:
        for service, zones in view.levels.items():
            if subset is None:
                yield service
                continue
            finest = self._subsets.finest_levels(service, subset)
            self._watched_levels.setdefault(service, {}).setdefault(subset, finest)
            yield service, subset
            for zone in finest.keys() | zones.keys():
                level = zones.get(zone, 0)
                yield service, zone, level, view.position & ((1 << level) - 1)

    def _release_subsets(self, view: SubsetView, subset: SubsetSpec) -> None:
        for service in view.levels:
            if (service, subset) not in self._futures and service in self._watched_levels:
                self._watched_levels[service].pop(subset, None)
                if not self._watched_levels[service]:
                    del self._watched_levels[service]

    def wake_affected(self, changed: Iterable[Entry], after: int) -> int:
        """Wake watchers of servers that have changed since a revision; return how many."""
        return self.wake(self.find_affected(changed, after))

    def wake(self, affected: AffectedWatchers) -> int:
        """Wake affected watchers, with no change since they were found; return how many."""
        for future in affected.futures:
            if not future.done():
                future.set_result(None)
        for service in affected.services & self._watched_levels.keys():
            for subset in self._watched_levels[service]:
                self._watched_levels[service][subset] = self._subsets.finest_levels(service, subset)
        return len(affected.futures)

    def find_affected(self, changed: Iterable[Entry], after: int) -> AffectedWatchers:
        """Return the watchers to wake for servers that have changed since a revision."""
        futures: set[WakeFuture] = set()
        services: set[str] = set()
        for entry in changed:
            current = entry.registration.tier, entry.registration.zone
            for service, zone in (current, *former_zones_since(entry, after)):
                services.add(service)
                futures |= self._futures.get(service, set())
                if service in self._watched_levels:
                    for key in _slice_keys(service, zone, entry.name):
                        futures |= self._futures.get(key, set())
        for service in services & self._watched_levels.keys():
            for subset, levels in self._watched_levels[service].items():
                if self._subsets.finest_levels(service, subset) != levels:
                    futures |= self._futures.get((service, subset), set())
        return AffectedWatchers(futures, services)


def _slice_keys(service: str, zone: str, name: str) -> Iterator[Hashable]:
    """Yield the keys of all slices that a server is in."""
    for level in range(MAX_LEVEL + 1):
        mask = (1 << level) - 1
        for position in {server_position & mask for server_position in server_positions(name)}:
            yield service, zone, level, position
