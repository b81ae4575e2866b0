"""What a watcher wants of the list: some services, complete or a subset of each, and what that includes.

    interest = Interest(("orders",), SubsetSpec(8, own_zone="east"), position=watcher_position("b-17"))
    view = SubsetView(levels, interest.position)  # which servers, by rules that look at one server alone

A subset is made of slices. The servers of a service in one zone fall into 2**level slices, each server into
`SLICES_PER_SERVER` of them by its name alone; a watcher holds the slice of its own position in each zone.
So a server that comes or goes moves no other, is held by a fixed share of all watchers, and a watcher's
subset follows from its position and the levels, wherever and whenever that is worked out. Levels are powers
of two (each slice of a level lies within one of the level below), so another level only adds servers, or
only drops some. Slices by hashing after Karger et al. (1997); that each server has several, and each
watcher few, is deterministic subsetting's aim (Beyer et al., Site Reliability Engineering, ch. 20), without
its common order.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache

import msgspec
import xxhash

from loadbalancer.registry.entries import Entry

SLICES_PER_SERVER = 4  # 64 bits of its hash, 16 for each
MAX_LEVEL = 12  # 4,096 slices of a zone
MAX_CACHED_POSITIONS = 65_536  # servers

Levels = Mapping[str, Mapping[str, int]]
"""By service and zone: the level of the slices held; 0, the complete zone, is left out."""


@lru_cache(maxsize=MAX_CACHED_POSITIONS)
def server_positions(name: str) -> tuple[int, ...]:
    """Return a server's positions: it is in a watcher's slice if one of them ends in its last bits."""
    digest = xxhash.xxh3_64_intdigest(name.encode())
    return tuple((digest >> 16 * number) & 0xFFFF for number in range(SLICES_PER_SERVER))


def watcher_position(name: str) -> int:
    """Return the position of a watcher: watchers spread evenly over all positions, by chance."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=1) & ((1 << MAX_LEVEL) - 1)


def is_in_slice(name: str, level: int, position: int) -> bool:
    """Return whether a server is in the slice of a position."""
    mask = (1 << level) - 1
    return any((own ^ position) & mask == 0 for own in server_positions(name))


@dataclass(frozen=True, slots=True)
class SubsetSpec:
    """How large a subset is to be."""

    min_servers: int
    """In each zone, or all that there are."""
    own_zone: str = ""
    """The watcher's own, of which it holds as many as of all others together."""
    balancer_count: int = 0
    """How many watch for the same clients: with few of them subsets are larger, so that each server has
    enough; 0 to leave that aside."""


@dataclass(frozen=True, slots=True)
class Interest:
    """What a watcher subscribes to."""

    services: tuple[str, ...]
    """Each once, in their order."""
    subset: SubsetSpec | None = None
    """None for each service complete."""
    position: int = 0


class SubsetView:
    """The servers that are held: decided for each by its service, zone and name alone."""

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
        """Return whether a server as it is now is held."""
        registration = entry.registration
        return entry.is_listed and self.includes(registration.tier, registration.zone, entry.name)


def encode_levels(levels: Levels) -> str:
    """Return levels as clients hand them back."""
    plain = {
        service: {zone: level for zone, level in sorted(zones.items()) if level}
        for service, zones in sorted(levels.items())
    }
    return msgspec.json.encode(plain).decode()


def decode_levels(text: str) -> Levels:
    """Return levels from what a client hands back; ValueError if they are none."""
    try:
        levels = msgspec.json.decode(text.encode(), type=dict[str, dict[str, int]])
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from error
    if not all(0 <= level <= MAX_LEVEL for zones in levels.values() for level in zones.values()):
        raise ValueError(f"levels go from 0 to {MAX_LEVEL}")
    return levels


def complete_levels(services: Iterable[str]) -> Levels:
    """Return the levels of some complete services."""
    return {service: {} for service in services}
