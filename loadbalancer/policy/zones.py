"""Compute the usable fraction of each zone's capacity, by locality and by evacuations in progress."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from loadbalancer import interface
from loadbalancer.policy.servers import Server


@dataclass(slots=True)
class ZoneStatus:
    """Load and capacity of a zone, as operators need them before they evacuate it."""

    traffic_fraction: float
    """Fraction of its capacity that is in use, 0 to 1."""
    ready_servers: int = 0
    calls_in_flight: float = 0.0
    """This balancer's calls in flight there on average."""
    call_capacity: float = 0.0
    """How many ordinary calls this balancer may have in flight there."""


class ZoneEvacuations:
    """Zones that operators evacuate or restore, each gradually over a given duration."""

    def __init__(self) -> None:
        self._evacuations: dict[str, interface.ZoneEvacuation] = {}
        self._all_restored_at_ms = 0.0  # infinite while a zone is evacuated

    def apply(self, event: interface.ZoneEvacuation) -> None:
        """Start evacuating or restoring a zone."""
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
        """Return the zones that get no traffic, even if the others are full; empty if there are no others."""
        evacuated = {zone for zone, fraction in self.reduced_fractions(now).items() if not fraction}
        return evacuated if set(known_zones) - evacuated else set()


def zone_fractions(
    capacities: dict[str, float], own_zone: str, reduced: dict[str, float]
) -> dict[str, float]:
    """Return the fraction of each zone's capacity that this balancer draws from.

    It uses its own zone, and if that has less than an equal part of the capacity, makes up the rest from
    zones that have more. A zone that is being evacuated counts with its reduced fraction, or in full if no
    other capacity is left.
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
    # The surplus is zero if all zones have equal capacity.
    spill = max(equal_part - usable[own_zone], 0.0) / (sum(surplus.values()) or 1.0)
    return {
        zone: (min(capacity, equal_part) if zone == own_zone else spill * surplus[zone]) / capacities[zone]
        for zone, capacity in usable.items()
    }


def zone_capacities(servers: Iterable[Server], capacities: Iterable[float]) -> dict[str, float]:
    """Return the total capacity of each zone, given that of each server."""
    by_zone: dict[str, float] = {}
    for server, capacity in zip(servers, capacities, strict=True):
        zone = server.endpoint.zone
        by_zone[zone] = by_zone.get(zone, 0.0) + capacity
    return by_zone
