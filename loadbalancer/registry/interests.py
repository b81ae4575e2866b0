"""What a watcher wants of the list: some services, whole or a part of each, and what that holds.

    interest = Interest(("orders",), Shape(least=8, zone="east", balancers=300), place=place_of("b-17"))
    view = View.of(catalog, interest)                # which servers, by rules that look at one server alone
    told = news(catalog, held, view, after=version)  # what to tell who has held `held` up to a version

A part is made of slices. The servers of a service in one zone fall into 2**level slices, each server into
`SLICES_PER_SERVER` of them by its name alone; a watcher holds the slice of its own place in each zone. So a
server that comes or goes moves no other, is held by a fixed part of all watchers, and the part of a watcher
follows from its place and the levels, wherever and whenever that is worked out. Levels are powers of two
(each slice of a level lies within one of the level below), so another level only adds servers, or only
drops some. Slices by hashing after Karger et al. (1997); that each server has several, and each watcher
few, is deterministic subsetting's aim (Beyer et al., Site Reliability Engineering, ch. 20), without its
common order.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import lru_cache

import msgspec
import xxhash

from loadbalancer.registry.catalog import Catalog, as_terminated
from loadbalancer.registry.entries import Entry

SLICES_PER_SERVER = 4  # slices that each server is in: 64 bits of its hash, 16 for each
MAX_LEVEL = 12
BALANCERS_PER_SERVER = 30  # balancers that hold each server, where they say how many they are
LEVEL_HYSTERESIS = 1  # levels by which a part may be coarser than it need be before it is told anew
MAX_CACHED_SUBSETS, MAX_CACHED_SERVICES = (
    65_536,
    1_024,
)  # shapes of services, and services, that are kept worked out

Levels = Mapping[str, Mapping[str, int]]
"""By service and zone: the level of the slices held; 0, the whole zone, is left out."""


@lru_cache(maxsize=65_536)
def server_positions(name: str) -> tuple[int, ...]:
    """The places of a server: it is in a watcher's slice if one of them ends in the watcher's last bits."""
    whole = xxhash.xxh3_64_intdigest(name.encode())
    return tuple((whole >> 16 * turn) & 0xFFFF for turn in range(SLICES_PER_SERVER))


def watcher_position(key: str) -> int:
    """The place of a watcher, by its name: watchers spread evenly over all places, by chance."""
    return xxhash.xxh3_64_intdigest(key.encode(), seed=1) & ((1 << MAX_LEVEL) - 1)


@dataclass(frozen=True, slots=True)
class SubsetSpec:
    """How large a part is to be."""

    min_servers: int
    """Servers in each zone at the least, or all that there are."""
    own_zone: str = ""
    """The watcher's own, of which it holds as many as of all others together."""
    balancer_count: int = 0
    """How many watch for the same callers: with few of them parts are larger, so that each server has
    enough; 0 for not looked at."""


@dataclass(frozen=True, slots=True)
class Interest:
    """What is asked for."""

    services: tuple[str, ...]
    """Each once, in their order."""
    subset: SubsetSpec | None = None
    """None for the whole of each service."""
    position: int = 0


class SubsetView:
    """The servers that are held: decided for each by its service, zone and name alone."""

    def __init__(self, levels: Levels, place: int) -> None:
        """`levels` has a key for each service that is held."""
        self.levels = {service: {z: n for z, n in zones.items() if n} for service, zones in levels.items()}
        finest = max((n for zones in self.levels.values() for n in zones.values()), default=0)
        self.position = place & ((1 << finest) - 1)
        self.key = self.position, tuple((s, tuple(sorted(z.items()))) for s, z in sorted(self.levels.items()))

    def includes(self, service: str, zone: str, name: str) -> bool:
        """Whether a server of a service in a zone is held, if it is listed."""
        zones = self.levels.get(service)
        if zones is None:
            return False
        level = zones.get(zone, 0)
        return not level or is_in_slice(name, level, self.position)

    def includes_entry(self, entry: Entry) -> bool:
        """Whether a server as it is now is held."""
        return entry.is_listed and self.includes(entry.registration.tier, entry.registration.zone, entry.name)

    @property
    def services(self) -> tuple[str, ...]:
        """Those of which it holds any."""
        return tuple(self.levels)


def is_in_slice(name: str, level: int, place: int) -> bool:
    """Whether a server is in the slice of a place."""
    mask = (1 << level) - 1
    return any((one ^ place) & mask == 0 for one in server_positions(name))


class ZoneSlices:
    """The servers of a service in one zone, and the finest levels for them."""

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self._finest: dict[int, int] = {}
        self._slices: dict[int, dict[int, list[str]]] = {}  # by level and place

    def finest_level(self, least: int, balancers: int) -> int:
        """The finest level whose smallest slice has the least, or what gives each server its balancers."""
        if balancers:
            least = max(least, math.ceil(len(self.names) * BALANCERS_PER_SERVER / balancers))
        if least not in self._finest:
            self._finest[least] = self._find_level(least)
        return self._finest[least]

    def _find_level(self, least: int) -> int:
        level = 0
        while level < MAX_LEVEL and len(self.names) * SLICES_PER_SERVER >= least << (level + 1):
            slices = self._slices_at(level + 1)
            if len(slices) < 1 << (level + 1) or min(map(len, slices.values())) < least:
                break
            level += 1
        return level

    def slice(self, level: int, place: int) -> list[str]:
        """The servers in the slice of a place."""
        return self._slices_at(level).get(place & ((1 << level) - 1), []) if level else self.names

    def _slices_at(self, level: int) -> dict[int, list[str]]:
        """All slices of a level, found once for all watchers."""
        if level not in self._slices:
            mask, slices = (1 << level) - 1, self._slices.setdefault(level, {})
            for name in self.names:
                for place in {one & mask for one in server_positions(name)}:
                    slices.setdefault(place, []).append(name)
        return self._slices[level]


class SubsetCache:
    """The levels of parts, worked out once for all that ask for the same and until the service changes."""

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._zones: dict[str, tuple[int, dict[str, ZoneSlices]]] = {}
        self._finest_levels: dict[tuple[str, SubsetSpec], tuple[dict[str, ZoneSlices], dict[str, int]]] = {}

    def finest_levels(self, service: str, shape: SubsetSpec) -> dict[str, int]:
        """By zone, the finest level whose smallest slice has the least that is asked for."""
        zones = self._zones_of(service)
        known = self._finest_levels.get((service, shape))
        if known is None or known[0] is not zones:
            far = shape.min_servers * max(len(zones) - 1, 1)
            known = (
                zones,
                {
                    name: zone.finest_level(
                        far if name == shape.own_zone else shape.min_servers, shape.balancer_count
                    )
                    for name, zone in zones.items()
                },
            )
            self._finest_levels.pop((service, shape), None)
            self._finest_levels[service, shape] = known
            while len(self._finest_levels) > MAX_CACHED_SUBSETS:
                del self._finest_levels[next(iter(self._finest_levels))]
        return known[1]

    def estimate_size(self, view: SubsetView) -> int:
        """About how many servers a view holds."""
        return sum(
            math.ceil(len(zone.names) * min(SLICES_PER_SERVER / 2 ** levels.get(name, 0), 1))
            for service, levels in view.levels.items()
            for name, zone in self._zones_of(service).items()
        )

    def entries_in(self, view: SubsetView) -> list[Entry]:
        """All that a view holds: it costs what is held, and not what the services have."""
        names: list[str] = []
        for service, levels in view.levels.items():
            if not levels:
                names += self._catalog.change_index.server_names(service)
                continue
            for name, zone in self._zones_of(service).items():
                names += zone.slice(levels.get(name, 0), view.position)
        entries = (self._catalog.entries[name] for name in dict.fromkeys(names))
        return [entry for entry in entries if view.includes_entry(entry)]

    def _zones_of(self, service: str) -> dict[str, ZoneSlices]:
        """The same while nobody has come or gone: a drain, or another weight, moves no part."""
        stamp = self._catalog.change_index.change_counts.get(service, 0)
        known = self._zones.get(service)
        if known is not None and known[0] == stamp:
            return known[1]
        names: dict[str, list[str]] = {}
        for entry in self._catalog.listed_entries(service):
            names.setdefault(entry.registration.zone, []).append(entry.name)
        old = known[1] if known is not None else {}
        zones = {zone: _reuse_or_build(old.get(zone), sorted(all_)) for zone, all_ in names.items()}
        if len(zones) == len(old) and all(old.get(zone) is one for zone, one in zones.items()):
            zones = old
        self._zones[service] = stamp, zones
        while len(self._zones) > MAX_CACHED_SERVICES:
            del self._zones[next(iter(self._zones))]
        return zones

    def choose_levels(self, interest: Interest, held: Levels | None, whole: bool) -> Levels:
        """What to hold from now on for who holds `held`, None for nobody knows.

        A part stays as it is while it is fine enough, so that a service at the edge of a level does not move
        it to and fro. With the whole list nobody is told whom it leaves out: then it is never finer than
        what is held; services that are wanted no more stay, too.
        """
        told: dict[str, dict[str, int]] = {}
        for service in interest.services:
            best = self.finest_levels(service, interest.subset) if interest.subset else {}
            mine = held.get(service) if held is not None else None
            told[service] = best if mine is None else _keep_or_refine(best, mine, whole)
        if whole and held is not None:
            told |= {service: dict(zones) for service, zones in held.items() if service not in told}
        return told


def _reuse_or_build(known: ZoneSlices | None, names: list[str]) -> ZoneSlices:
    return known if known is not None and known.names == names else ZoneSlices(names)


def _keep_or_refine(best: Mapping[str, int], held: Mapping[str, int], whole: bool) -> dict[str, int]:
    levels = {}
    for zone in best.keys() | held.keys():
        finest, mine = best.get(zone, 0), held.get(zone, 0)
        stays = whole or finest - LEVEL_HYSTERESIS <= mine
        levels[zone] = min(mine, finest) if stays else finest
    return levels


def changes_for(catalog: Catalog, held: SubsetView, view: SubsetView, after: int) -> list[Entry]:
    """What to tell who has held `held` up to a version that goes on, and holds `view` from now on.

    A server that is not held any more is told as ended.
    """
    told: dict[str, Entry] = {}
    for service in dict.fromkeys((*held.levels, *view.levels)):
        same = held.levels.get(service) == view.levels.get(service)
        for name, version in catalog.change_index.latest_changes(service):
            if version <= after and same:
                break
            if name in told:
                continue
            entry = catalog.entries[name]
            was = any(held.includes(s, z, name) for s, z in _zones_since(entry, after))
            if view.includes_entry(entry):
                if entry.revision > after or not was:
                    told[name] = entry
            elif was and (entry.revision > after or entry.is_listed):
                told[name] = as_terminated(entry)
    return list(told.values())


def _zones_since(entry: Entry, after: int) -> Iterator[tuple[str, str]]:
    """Where a server may have been at a version: service and zone."""
    yield entry.registration.tier, entry.registration.zone
    if entry.revision > after:
        yield from zones_left_since(entry, after)


def zones_left_since(entry: Entry, after: int) -> Iterator[tuple[str, str]]:
    """The services and zones that a server has left since a version."""
    for service, zones in entry.former_zones.items():
        for zone, version in zones.items():
            if version > after:
                yield service, zone


def encode_levels(levels: Levels) -> str:
    """Levels as clients hand them back."""
    plain = {s: {z: n for z, n in sorted(zones.items()) if n} for s, zones in sorted(levels.items())}
    return msgspec.json.encode(plain).decode()


def decode_levels(text: str) -> Levels:
    """Levels from what a client hands back; ValueError if they are none."""
    try:
        levels = msgspec.json.decode(text.encode(), type=dict[str, dict[str, int]])
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None
    if not all(0 <= n <= MAX_LEVEL for zones in levels.values() for n in zones.values()):
        raise ValueError(f"levels go from 0 to {MAX_LEVEL}")
    return levels


def complete_levels(services: Iterable[str]) -> Levels:
    """The whole of some services."""
    return {service: {} for service in services}
