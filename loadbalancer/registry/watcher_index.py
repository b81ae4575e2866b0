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
    LEVEL_MOST,
    SubsetCache,
    SubsetSpec,
    SubsetView,
    places_left,
    slices_of,
)

Woken = asyncio.Future[None]


class AffectedWatchers(NamedTuple):
    """Those to wake, and the services that have changed."""

    waiting: set[Woken]
    services: set[str]


class WatcherIndex:
    """Who waits for what, by the services, the slices and the shapes of parts."""

    def __init__(self, parts: SubsetCache) -> None:
        self._parts = parts
        self._by: dict[Hashable, set[Woken]] = {}
        self._shapes: dict[
            str, dict[SubsetSpec, dict[str, int]]
        ] = {}  # by service, the parts that are waited for

    def __len__(self) -> int:
        return sum(map(len, self._by.values()))

    @contextmanager
    def waiting(self, view: SubsetView, shape: SubsetSpec | None) -> Iterator[Woken]:
        """Wait for changes of what a view holds, and of the levels of its parts, until the block ends."""
        woken: Woken = asyncio.get_running_loop().create_future()
        keys = list(self._keys(view, shape))
        for key in keys:
            self._by.setdefault(key, set()).add(woken)
        try:
            yield woken
        finally:
            for key in keys:
                self._by[key].discard(woken)
                if not self._by[key]:
                    del self._by[key]
            if shape is not None:
                self._let_go(view, shape)

    def _keys(self, view: SubsetView, shape: SubsetSpec | None) -> Iterator[Hashable]:
        for service, zones in view.levels.items():
            if shape is None:
                yield service
                continue
            best = self._parts.best(service, shape)
            self._shapes.setdefault(service, {}).setdefault(shape, best)
            yield service, shape
            for zone in best.keys() | zones.keys():
                level = zones.get(zone, 0)
                yield service, zone, level, view.place & ((1 << level) - 1)

    def _let_go(self, view: SubsetView, shape: SubsetSpec) -> None:
        for service in view.levels:
            if (service, shape) not in self._by and service in self._shapes:
                self._shapes[service].pop(shape, None)
                if not self._shapes[service]:
                    del self._shapes[service]

    def wake(self, changed: Iterable[Entry], after: int) -> int:
        """Wake those who wait for one of the servers that have changed since a version; how many."""
        return self.tell(self.find(changed, after))

    def tell(self, found: AffectedWatchers) -> int:
        """Wake whom a look of this very moment has found; how many."""
        for one in found.waiting:
            if not one.done():
                one.set_result(None)
        for service in found.services & self._shapes.keys():
            for shape in self._shapes[service]:
                self._shapes[service][shape] = self._parts.best(service, shape)
        return len(found.waiting)

    def find(self, changed: Iterable[Entry], after: int) -> AffectedWatchers:
        """Whom the servers that have changed since a version would wake."""
        found: set[Woken] = set()
        services: set[str] = set()
        for entry in changed:
            for service, zone in ((entry.told.tier, entry.told.zone), *places_left(entry, after)):
                services.add(service)
                found |= self._by.get(service, set())
                if service in self._shapes:
                    for key in _slices(service, zone, entry.name):
                        found |= self._by.get(key, set())
        for service in services & self._shapes.keys():
            for shape, best in self._shapes[service].items():
                if self._parts.best(service, shape) != best:
                    found |= self._by.get((service, shape), set())
        return AffectedWatchers(found, services)


def _slices(service: str, zone: str, name: str) -> Iterator[Hashable]:
    """The keys of all slices that a server is in."""
    for level in range(LEVEL_MOST + 1):
        mask = (1 << level) - 1
        for place in {one & mask for one in slices_of(name)}:
            yield service, zone, level, place
