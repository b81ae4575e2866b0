"""The levels and contents of subsets, computed once for all watchers that want the same."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.entries import Entry
from loadbalancer.registry.interest import (
    MAX_LEVEL,
    SLICES_PER_SERVER,
    Interest,
    Levels,
    SubsetSpec,
    SubsetView,
    server_positions,
)

BALANCERS_PER_SERVER = 30  # to hold each server, where balancers report how many they are
LEVEL_HYSTERESIS = 1  # levels by which a subset may be coarser than necessary before it is refined
MAX_CACHED_SUBSETS = 65_536  # pairs of a service and a `SubsetSpec`
MAX_CACHED_SERVICES = 1_024


class ZoneSlices:
    """The servers of a service in one zone, their slices, and the finest levels for them."""

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self._finest: dict[int, int] = {}  # by minimum number of servers
        self._slices: dict[int, dict[int, list[str]]] = {}  # by level and position

    def finest_level(self, min_servers: int, balancer_count: int) -> int:
        """Return the finest level whose smallest slice has enough servers, each held by enough balancers."""
        if balancer_count:
            min_for_coverage = math.ceil(len(self.names) * BALANCERS_PER_SERVER / balancer_count)
            min_servers = max(min_servers, min_for_coverage)
        if min_servers not in self._finest:
            self._finest[min_servers] = self._find_level(min_servers)
        return self._finest[min_servers]

    def _find_level(self, min_servers: int) -> int:
        level = 0
        while level < MAX_LEVEL and len(self.names) * SLICES_PER_SERVER >= min_servers << (level + 1):
            slices = self._slices_at(level + 1)
            if len(slices) < 1 << (level + 1) or min(map(len, slices.values())) < min_servers:
                break
            level += 1
        return level

    def slice(self, level: int, position: int) -> list[str]:
        """Return the servers in the slice of a position."""
        return self._slices_at(level).get(position & ((1 << level) - 1), []) if level else self.names

    def _slices_at(self, level: int) -> dict[int, list[str]]:
        """Return all slices of a level, computed once for all watchers."""
        if level not in self._slices:
            mask = (1 << level) - 1
            slices = self._slices.setdefault(level, {})
            for name in self.names:
                for position in {server_position & mask for server_position in server_positions(name)}:
                    slices.setdefault(position, []).append(name)
        return self._slices[level]


class _CachedZones(NamedTuple):
    """The zones of a service as of a count of its changes."""

    change_count: int
    zones: dict[str, ZoneSlices]


class _CachedLevels(NamedTuple):
    """The finest levels by zone, valid while the service's zones are the same object."""

    zones: dict[str, ZoneSlices]
    levels: dict[str, int]


class SubsetCache:
    """The levels and contents of subsets of one catalog, cached until the service changes."""

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._zones: dict[str, _CachedZones] = {}
        self._finest_levels: dict[tuple[str, SubsetSpec], _CachedLevels] = {}

    def finest_levels(self, service: str, subset: SubsetSpec) -> dict[str, int]:
        """Return, by zone, the finest level whose smallest slice has the requested number of servers."""
        zones = self._zones_of(service)
        cached = self._finest_levels.get((service, subset))
        if cached is None or cached.zones is not zones:
            min_in_own_zone = subset.min_servers * max(len(zones) - 1, 1)
            levels = {
                name: zone.finest_level(
                    min_in_own_zone if name == subset.own_zone else subset.min_servers,
                    subset.balancer_count,
                )
                for name, zone in zones.items()
            }
            cached = _CachedLevels(zones, levels)
            self._finest_levels.pop((service, subset), None)
            self._finest_levels[service, subset] = cached
            while len(self._finest_levels) > MAX_CACHED_SUBSETS:
                del self._finest_levels[next(iter(self._finest_levels))]
        return cached.levels

    def estimate_size(self, view: SubsetView) -> int:
        """Estimate how many servers a view holds."""
        return sum(
            math.ceil(len(zone.names) * min(SLICES_PER_SERVER / 2 ** levels.get(name, 0), 1))
            for service, levels in view.levels.items()
            for name, zone in self._zones_of(service).items()
        )

    def entries_in(self, view: SubsetView) -> list[Entry]:
        """Return all entries that a view holds; the cost grows with these, not with the services' size."""
        names: list[str] = []
        for service, levels in view.levels.items():
            if not levels:
                names += self._catalog.change_index.server_names(service)
                continue
            for name, zone in self._zones_of(service).items():
                names += zone.slice(levels.get(name, 0), view.position)
        entries = (self._catalog.entries[name] for name in dict.fromkeys(names))
        return [entry for entry in entries if view.includes_entry(entry)]

    def choose_levels(self, interest: Interest, known_levels: Levels | None, *, is_snapshot: bool) -> Levels:
        """Return what a watcher is to hold from now on; `known_levels` is what it holds, None if unknown.

        A subset stays as it is while it is fine enough, so that a service at the edge of a level does not
        make it flap. A full snapshot does not list what it leaves out: it is never finer than what is held,
        and keeps services that are no longer wanted.
        """
        levels: dict[str, dict[str, int]] = {}
        for service in interest.services:
            finest = self.finest_levels(service, interest.subset) if interest.subset else {}
            current = known_levels.get(service) if known_levels is not None else None
            levels[service] = finest if current is None else _keep_or_refine(finest, current, is_snapshot)
        if is_snapshot and known_levels is not None:
            levels |= {
                service: dict(zones) for service, zones in known_levels.items() if service not in levels
            }
        return levels

    def _zones_of(self, service: str) -> dict[str, ZoneSlices]:
        """Return slices by zone, the same object until servers come or go: drains or weights move none."""
        change_count = self._catalog.change_index.change_counts.get(service, 0)
        cached = self._zones.get(service)
        if cached is not None and cached.change_count == change_count:
            return cached.zones
        names: dict[str, list[str]] = {}
        for entry in self._catalog.listed_entries(service):
            names.setdefault(entry.registration.zone, []).append(entry.name)
        old = cached.zones if cached is not None else {}
        zones = {zone: _reuse_or_build(old.get(zone), sorted(in_zone)) for zone, in_zone in names.items()}
        if len(zones) == len(old) and all(old.get(zone) is slices for zone, slices in zones.items()):
            zones = old
        self._zones[service] = _CachedZones(change_count, zones)
        while len(self._zones) > MAX_CACHED_SERVICES:
            del self._zones[next(iter(self._zones))]
        return zones


def _reuse_or_build(cached: ZoneSlices | None, names: list[str]) -> ZoneSlices:
    return cached if cached is not None and cached.names == names else ZoneSlices(names)


def _keep_or_refine(
    finest: Mapping[str, int], current: Mapping[str, int], is_snapshot: bool
) -> dict[str, int]:
    levels = {}
    for zone in finest.keys() | current.keys():
        finest_level, current_level = finest.get(zone, 0), current.get(zone, 0)
        is_fine_enough = is_snapshot or finest_level - LEVEL_HYSTERESIS <= current_level
        levels[zone] = min(current_level, finest_level) if is_fine_enough else finest_level
    return levels
