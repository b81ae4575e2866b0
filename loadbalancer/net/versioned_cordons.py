"""Cordons and zone evacuations with the version of the latest order for each: the later order wins.

Two processes may hold older and newer states of the same servers and zones: during a hot restart, and while
the file that they share can't be written or read. Merging compares order by order, and not state by state.

Versions are those of a hybrid logical clock (Kulkarni et al., 2014): the time of the order in Unix
milliseconds, but always more than any version that its process has seen.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from loadbalancer.interface import ZoneEvacuation
from loadbalancer.net.cordons import Cordons

VERSION_STEP_MS = 0.001  # between a version and the least one after it
MAX_VERSION_MS = 1e14  # a later time is none, and leaves no room for later versions
VERSION_RETENTION_MS = 3_600_000.0
"""How long the version of an uncordon is remembered: no process goes without reading the file for so long."""


@dataclass(frozen=True)
class OrderVersions:
    """The version of the latest order for each server and zone, as far as they are known."""

    servers: dict[str, float] = field(default_factory=dict)
    zones: dict[str, float] = field(default_factory=dict)

    def encode(self) -> dict[str, dict[str, float]]:
        """Return the versions as JSON values."""
        return {"servers": self.servers, "zones": self.zones}


def decode_versions(raw: Any) -> OrderVersions:
    """Return the versions that `OrderVersions.encode` encoded; ValueError if they are malformed."""
    try:
        servers = {str(name): float(version) for name, version in raw["servers"].items()}
        zones = {str(name): float(version) for name, version in raw["zones"].items()}
    except (TypeError, KeyError, AttributeError, OverflowError) as error:
        raise ValueError(f"not valid versions of orders: {error!r}") from error
    if not all(0 <= version < MAX_VERSION_MS for version in (*servers.values(), *zones.values())):
        raise ValueError("not valid versions of orders: not a time")
    return OrderVersions(servers, zones)


@dataclass(frozen=True)
class VersionedCordons:
    """A state of the cordons and evacuations, with the versions of the orders that led to it."""

    cordons: Cordons = field(default_factory=Cordons)
    versions: OrderVersions = field(default_factory=OrderVersions)

    def server_version(self, server: str) -> float:
        """Return the version of the latest order for a server; 0 if none is known.

        Older versions of the program store the time of an uncordon alone.
        """
        return self.versions.servers.get(server) or self.cordons.returned_at_ms.get(server, 0.0)

    def zone_version(self, zone: str) -> float:
        """Return the version of the latest order for a zone; 0 if none is known."""
        evacuation = self.cordons.evacuations.get(zone)
        return self.versions.zones.get(zone) or (evacuation.started_at_ms if evacuation else 0.0)

    def last_version(self) -> float:
        """Return the highest version of all."""
        versions = [0.0, *self.versions.servers.values(), *self.versions.zones.values()]
        versions += self.cordons.returned_at_ms.values()
        versions += [evacuation.started_at_ms for evacuation in self.cordons.evacuations.values()]
        return max(versions)

    def servers(self) -> Iterator[str]:
        """Yield each server for which an order is known."""
        yield from self.cordons.servers
        for server in self.cordons.returned_at_ms:
            yield server
        for server in self.versions.servers:
            if server not in self.cordons.servers and server not in self.cordons.returned_at_ms:
                yield server

    def of_server(self, server: str) -> VersionedCordons:
        """Return the latest order for one server."""
        returned_at_ms = self.cordons.returned_at_ms.get(server)
        cordons = Cordons(
            servers=self.cordons.servers & {server},
            returned_at_ms={} if returned_at_ms is None else {server: returned_at_ms},
        )
        return VersionedCordons(cordons, OrderVersions(servers={server: self.server_version(server)}))

    def of_zone(self, zone: str) -> VersionedCordons:
        """Return the latest order for one zone."""
        evacuations = {zone: self.cordons.evacuations[zone]}
        versions = OrderVersions(zones={zone: self.zone_version(zone)})
        return VersionedCordons(Cordons(evacuations=evacuations), versions)

    def with_cordon(
        self, server: str, *, is_cordoned: bool, now_ms: float, version: float
    ) -> VersionedCordons:
        """Return a copy after an order for a server; a repeated order has a version of its own, too."""
        cordons = self.cordons.with_cordon(server, is_cordoned=is_cordoned, now_ms=now_ms)
        versions = replace(self.versions, servers=self.versions.servers | {server: version})
        return VersionedCordons(cordons, versions)

    def with_evacuation(self, evacuation: ZoneEvacuation, version: float) -> VersionedCordons:
        """Return a copy after an order for a zone."""
        versions = replace(self.versions, zones=self.versions.zones | {evacuation.zone: version})
        return VersionedCordons(self.cordons.with_evacuation(evacuation), versions)

    def with_returns(self, returned_at_ms: dict[str, float]) -> VersionedCordons:
        """Return a copy that knows of further returns of servers that are not cordoned."""
        returns = {
            server: at_ms
            for server, at_ms in returned_at_ms.items()
            if server not in self.cordons.servers and server not in self.cordons.returned_at_ms
        }
        cordons = replace(self.cordons, returned_at_ms=self.cordons.returned_at_ms | returns)
        return replace(self, cordons=cordons)

    def with_server_version(self, server: str, version: float) -> VersionedCordons:
        """Return a copy in which the state of a server has another version."""
        return replace(
            self, versions=replace(self.versions, servers=self.versions.servers | {server: version})
        )

    def with_zone_version(self, zone: str, version: float) -> VersionedCordons:
        """Return a copy in which the state of a zone has another version."""
        return replace(self, versions=replace(self.versions, zones=self.versions.zones | {zone: version}))

    def without_old_versions(self, now_ms: float) -> VersionedCordons:
        """Return a copy without the versions of what has been as it is without orders for long."""
        kept = self.cordons.servers | self.cordons.returned_at_ms.keys()
        oldest_ms = now_ms - VERSION_RETENTION_MS
        servers = {
            server: version
            for server, version in self.versions.servers.items()
            if server in kept or version > oldest_ms
        }
        zones = {
            zone: version
            for zone, version in self.versions.zones.items()
            if zone in self.cordons.evacuations or version > oldest_ms
        }
        return replace(self, versions=OrderVersions(servers, zones))

    def merged(self, other: VersionedCordons, now_ms: float) -> VersionedCordons:
        """Return the state after the orders of both, of which for each server and zone the later one holds.

        `other` wins where both have the same version.
        """
        merge = _Merge(self, now_ms)
        for server in other.servers():
            merge.take_server(server, other)
        for zone in other.cordons.evacuations:
            merge.take_zone(zone, other)
        return merge.result()

    def has_later_orders_than(self, other: VersionedCordons) -> bool:
        """Return whether this state has an order that the other one lacks."""
        zones = self.cordons.evacuations.keys() | self.versions.zones.keys()
        return any(
            self.server_version(server) > other.server_version(server) for server in self.servers()
        ) or any(self.zone_version(zone) > other.zone_version(zone) for zone in zones)


class _Merge:
    """Merges the orders of another state into one, in copies that are made once."""

    def __init__(self, state: VersionedCordons, now_ms: float) -> None:
        self._state = state
        self._now_ms = now_ms
        self._servers = set(state.cordons.servers)
        self._returned_at_ms = dict(state.cordons.returned_at_ms)
        self._evacuations = dict(state.cordons.evacuations)
        self._server_versions = dict(state.versions.servers)
        self._zone_versions = dict(state.versions.zones)

    def take_server(self, server: str, other: VersionedCordons) -> None:
        """Take the other state of a server, unless this one is later."""
        version = other.server_version(server)
        own_version = self._state.server_version(server)
        if version < own_version:
            return
        if server in other.versions.servers:
            self._server_versions[server] = version
        if server in other.cordons.servers:
            self._servers.add(server)
            self._returned_at_ms.pop(server, None)
            return
        returned_at_ms = other.cordons.returned_at_ms.get(server)
        if server in self._servers:
            self._servers.discard(server)
            if returned_at_ms is None or returned_at_ms < own_version:
                # The other process did not know of the cordon: it ends now, and not at an earlier return.
                returned_at_ms = min(version, self._now_ms)
        if returned_at_ms is not None:
            self._returned_at_ms[server] = returned_at_ms

    def take_zone(self, zone: str, other: VersionedCordons) -> None:
        """Take the other state of a zone, unless this one is later."""
        version = other.zone_version(zone)
        if version < self._state.zone_version(zone):
            return
        self._evacuations[zone] = other.cordons.evacuations[zone]
        if zone in other.versions.zones:
            self._zone_versions[zone] = version

    def result(self) -> VersionedCordons:
        """Return the merged state."""
        cordons = Cordons(frozenset(self._servers), self._returned_at_ms, self._evacuations)
        return VersionedCordons(cordons, OrderVersions(self._server_versions, self._zone_versions))
