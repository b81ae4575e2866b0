"""What a watcher subscribes to: some services, each complete or a subset, and the servers these include.

    interest = Interest(("orders",), SubsetSpec(8, own_zone="east"), position=watcher_position("b-17"))
    view = SubsetView(levels, interest.position)  # which servers, decided for each on its own

A subset is made of slices. The servers of a service in one zone fall into 2**level slices, each server into
`SLICES_PER_SERVER` of them by its name alone; a watcher holds the slice at its own position in each zone.
So a server that comes or goes moves no other and is held by a fixed share of all watchers, and a watcher's
subset depends on its position and the levels alone, on any instance and at any time. The numbers of slices
are powers of two (each slice of a level lies within one of the level below), so a change of level only adds
servers or only drops some. Slices by hashing follow Karger et al. (1997); that each server has several, and
each watcher few, is the aim of deterministic subsetting (Beyer et al., Site Reliability Engineering, ch. 20),
without its common order.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache

import msgspec
import xxhash

from loadbalancer.registry.entries import Entry

SLICES_PER_SERVER = 4  # 64 bits of hash, 16 for each
MAX_LEVEL = 12  # 4,096 slices per zone
MAX_CACHED_POSITIONS = 65_536  # servers

Levels = Mapping[str, Mapping[str, int]]
"""By service and zone: the level of the slices held; 0, the complete zone, is omitted."""


@lru_cache(maxsize=MAX_CACHED_POSITIONS)
def server_positions(name: str) -> tuple[int, ...]:
    """Return a server's positions; it is in a slice if the low bits of one match the watcher's position."""
    digest = xxhash.xxh3_64_intdigest(name.encode())
    return tuple((digest >> 16 * number) & 0xFFFF for number in range(SLICES_PER_SERVER))


def watcher_position(name: str) -> int:
    """Return the position of a watcher, a hash of its name: uniform over all positions."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=1) & ((1 << MAX_LEVEL) - 1)


def is_in_slice(name: str, level: int, position: int) -> bool:
    """Return whether a server is in the slice of a position."""
    mask = (1 << level) - 1
    return any((server_position ^ position) & mask == 0 for server_position in server_positions(name))


@dataclass(frozen=True, slots=True)
class SubsetSpec:
    """The requested size of a subset."""

    min_servers: int
    """In each zone, or all of them if there are fewer."""
    own_zone: str = ""
    """The watcher's zone, of which it holds as many servers as of all others together."""
    balancer_count: int = 0
    """How many balancers serve the same clients: with few, subsets are larger, so that enough balancers
    hold each server; 0 to ignore this."""


@dataclass(frozen=True, slots=True)
class Interest:
    """What a watcher subscribes to."""

    services: tuple[str, ...]
    """Sorted, each once."""
    subset: SubsetSpec | None = None
    """None for complete services."""
    position: int = 0


class SubsetView:
    """The servers that a watcher holds, decided for each by its service, zone and name alone."""

    def __init__(self, levels: Levels, position: int) -> None:
        """`levels` has a key for each service that is held."""
        self.levels = {
            service: {zone: level for zone, level in zones.items() if level}
            for service, zones in levels.items()
        }
        finest = max((level for zones in self.levels.values() for level in zones.values()), default=0)
        self.position = position & ((1 << finest) - 1)
        by_service = sorted(self.levels.items())
        self.key = (
            self.position,
            tuple((service, tuple(sorted(zones.items()))) for service, zones in by_service),
        )

    def includes(self, service: str, zone: str, name: str) -> bool:
        """Return whether a server of a service in a zone is held, if it is listed."""
        zones = self.levels.get(service)
        if zones is None:
            return False
        level = zones.get(zone, 0)
        return not level or is_in_slice(name, level, self.position)

    def includes_entry(self, entry: Entry) -> bool:
        """Return whether a server is held in its current state."""
        registration = entry.registration
        return entry.is_listed and self.includes(registration.tier, registration.zone, entry.name)


def encode_levels(levels: Levels) -> str:
    """Encode levels for a client, which returns them with its next call."""
    plain = {
        service: {zone: level for zone, level in sorted(zones.items()) if level}
        for service, zones in sorted(levels.items())
    }
    return msgspec.json.encode(plain).decode()


def decode_levels(text: str) -> Levels:
    """Decode levels that a client returns; ValueError if they are invalid."""
    try:
        levels = msgspec.json.decode(text.encode(), type=dict[str, dict[str, int]])
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from error
    if not all(0 <= level <= MAX_LEVEL for zones in levels.values() for level in zones.values()):
        raise ValueError(f"levels go from 0 to {MAX_LEVEL}")
    return levels


def complete_levels(services: Iterable[str]) -> Levels:
    """Return levels with which some services are held complete."""
    return {service: {} for service in services}
