"""Decide which fraction of each zone's capacity is used: the own zone first, less of an evacuated one."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from loadbalancer import interface
from loadbalancer.policy.servers import Server


@dataclass(slots=True)
class ZoneStatus:
    """What operators need to know about a zone before they evacuate it."""

    traffic_fraction: float
    """Fraction of its capacity that is in use, 0 to 1."""
    ready_servers: int = 0
    calls_in_flight: float = 0.0
    """Our calls in flight there on average."""
    call_capacity: float = 0.0
    """How many ordinary calls we may have in flight there."""


class ZoneEvacuations:
    """The zones that operators evacuate or restore, gradually over the time they gave."""

    def __init__(self) -> None:
        self._evacuations: dict[str, interface.ZoneEvacuation] = {}
        self._all_restored_at_ms = 0.0  # infinite while a zone is evacuated

    def apply(self, event: interface.ZoneEvacuation) -> None:
        """Begin to evacuate or to restore a zone."""
        self._evacuations[event.zone] = event
        self._all_restored_at_ms = max(
            math.inf if e.is_evacuating else e.started_at_ms + e.duration_ms
            for e in self._evacuations.values()
        )

    def traffic_fraction(self, zone: str, now: float) -> float:
        """Return the fraction of a zone's capacity that is in use, 0 to 1."""
        evacuation = self._evacuations.get(zone)
        if evacuation is None:
            return 1.0
        progress = 1.0
        if evacuation.duration_ms > 0:
            progress = min((now - evacuation.started_at_ms) / evacuation.duration_ms, 1.0)
        initial = evacuation.initial_fraction
        final = 0.0 if evacuation.is_evacuating else 1.0
        return initial + (final - initial) * max(progress, 0.0)

    def reduced_fractions(self, now: float) -> dict[str, float]:
        """Return the traffic fractions below 1, by zone."""
        if now >= self._all_restored_at_ms:
            return {}
        fractions = {zone: self.traffic_fraction(zone, now) for zone in self._evacuations}
        return {zone: fraction for zone, fraction in fractions.items() if fraction < 1}

    def fully_evacuated(self, known_zones: Iterable[str], now: float) -> set[str]:
        """Return the zones that get nothing, however full the others are; none if there is no other zone."""
        evacuated = {zone for zone, fraction in self.reduced_fractions(now).items() if not fraction}
        return evacuated if set(known_zones) - evacuated else set()


def zone_fractions(
    capacities: dict[str, float], own_zone: str, reduced: dict[str, float]
) -> dict[str, float]:
    """Return the fraction of each zone's capacity that this balancer draws from.

    It draws from its own zone, and for what that lacks of an equal part, from the zones with more than
    theirs. Of a zone that is being evacuated only the reduced fraction counts; if no other capacity is left,
    all of it.
    """
    usable = capacities
    if reduced:
        usable = {zone: capacity * reduced.get(zone, 1.0) for zone, capacity in capacities.items()}
    if not any(usable.values()):
        usable = capacities
        reduced = {}
    if not own_zone or own_zone not in usable or len(usable) < 2:
        return {zone: reduced.get(zone, 1.0) for zone in usable}
    equal_part = sum(usable.values()) / len(usable)
    surplus = {zone: max(capacity - equal_part, 0.0) for zone, capacity in usable.items()}
    # All zones may be alike: then there is no surplus.
    spill = max(equal_part - usable[own_zone], 0.0) / (sum(surplus.values()) or 1.0)
    return {
        zone: (min(capacity, equal_part) if zone == own_zone else spill * surplus[zone]) / capacities[zone]
        for zone, capacity in usable.items()
    }


def zone_capacities(servers: Iterable[Server], capacities: Iterable[float]) -> dict[str, float]:
    """Return the capacity of each zone, given that of each server."""
    by_zone: dict[str, float] = {}
    for server, capacity in zip(servers, capacities, strict=True):
        zone = server.endpoint.zone
        by_zone[zone] = by_zone.get(zone, 0.0) + capacity
    return by_zone
