"""The watches that wait, found by what they hold: a change costs those whose interest holds it.

    waits = Waits(parts)
    with waits.waiting(view, shape) as woken: await woken     # a future of the running loop
    count = waits.wake(catalog.changed_since(index), index)   # those who wait for one of these

State grows with the watches that wait, and ends with them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Hashable, Iterable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from loadbalancer.registry.entries import Entry
from loadbalancer.registry.interests import (
    MAX_LEVEL,
    SubsetCache,
    SubsetSpec,
    SubsetView,
    server_positions,
    zones_left_since,
)

WakeFuture = asyncio.Future[None]


class AffectedWatchers(NamedTuple):
    """Those to wake, and the services that have changed."""

    futures: set[WakeFuture]
    services: set[str]


class WatcherIndex:
    """Who waits for what, by the services, the slices and the shapes of parts."""

    def __init__(self, parts: SubsetCache) -> None:
        self._subsets = parts
        self._futures: dict[Hashable, set[WakeFuture]] = {}
        self._watched_levels: dict[
            str, dict[SubsetSpec, dict[str, int]]
        ] = {}  # by service, the parts that are waited for

    def __len__(self) -> int:
        return sum(map(len, self._futures.values()))

    @contextmanager
    def subscribe(self, view: SubsetView, shape: SubsetSpec | None) -> Iterator[WakeFuture]:
        """Wait for changes of what a view holds, and of the levels of its parts, until the block ends."""
        woken: WakeFuture = asyncio.get_running_loop().create_future()
        keys = list(self._subscription_keys(view, shape))
        for key in keys:
            self._futures.setdefault(key, set()).add(woken)
        try:
            yield woken
        finally:
            for key in keys:
                self._futures[key].discard(woken)
                if not self._futures[key]:
                    del self._futures[key]
            if shape is not None:
                self._release_subsets(view, shape)

    def _subscription_keys(self, view: SubsetView, shape: SubsetSpec | None) -> Iterator[Hashable]:
        for service, zones in view.levels.items():
            if shape is None:
                yield service
                continue
            best = self._subsets.finest_levels(service, shape)
            self._watched_levels.setdefault(service, {}).setdefault(shape, best)
            yield service, shape
            for zone in best.keys() | zones.keys():
                level = zones.get(zone, 0)
                yield service, zone, level, view.position & ((1 << level) - 1)

    def _release_subsets(self, view: SubsetView, shape: SubsetSpec) -> None:
        for service in view.levels:
            if (service, shape) not in self._futures and service in self._watched_levels:
                self._watched_levels[service].pop(shape, None)
                if not self._watched_levels[service]:
                    del self._watched_levels[service]

    def wake_affected(self, changed: Iterable[Entry], after: int) -> int:
        """Wake those who wait for one of the servers that have changed since a version; how many."""
        return self.wake(self.find_affected(changed, after))

    def wake(self, found: AffectedWatchers) -> int:
        """Wake whom a look of this very moment has found; how many."""
        for one in found.futures:
            if not one.done():
                one.set_result(None)
        for service in found.services & self._watched_levels.keys():
            for shape in self._watched_levels[service]:
                self._watched_levels[service][shape] = self._subsets.finest_levels(service, shape)
        return len(found.futures)

    def find_affected(self, changed: Iterable[Entry], after: int) -> AffectedWatchers:
        """Whom the servers that have changed since a version would wake."""
        found: set[WakeFuture] = set()
        services: set[str] = set()
        for entry in changed:
            for service, zone in (
                (entry.registration.tier, entry.registration.zone),
                *zones_left_since(entry, after),
            ):
                services.add(service)
                found |= self._futures.get(service, set())
                if service in self._watched_levels:
                    for key in _slice_keys(service, zone, entry.name):
                        found |= self._futures.get(key, set())
        for service in services & self._watched_levels.keys():
            for shape, best in self._watched_levels[service].items():
                if self._subsets.finest_levels(service, shape) != best:
                    found |= self._futures.get((service, shape), set())
        return AffectedWatchers(found, services)


def _slice_keys(service: str, zone: str, name: str) -> Iterator[Hashable]:
    """The keys of all slices that a server is in."""
    for level in range(MAX_LEVEL + 1):
        mask = (1 << level) - 1
        for place in {one & mask for one in server_positions(name)}:
            yield service, zone, level, place
