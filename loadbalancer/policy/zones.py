"""What part of each zone is drawn from: near first, and less of one that operators have left."""

from __future__ import annotations

import math
from collections.abc import Iterable

from loadbalancer import interface
from loadbalancer.policy.servers import Server


class ZoneEvacuations:
    """The zones that operators have us leave, or come back to: in steps, by the time they gave."""

    def __init__(self) -> None:
        self._held: dict[str, interface.ZoneEvacuation] = {}
        self.all_restored_at_ms = 0.0  # when the last of the moves is over; inf while a zone is left

    def apply(self, event: interface.ZoneEvacuation) -> None:
        """Take operators' word on a zone."""
        self._held[event.zone] = event
        ends = [math.inf if h.is_evacuating else h.started_at_ms + h.duration_ms for h in self._held.values()]
        self.all_restored_at_ms = max(ends)

    def traffic_fraction(self, zone: str, now: float) -> float:
        """The part of a zone's capacity that is drawn from, 0 to 1."""
        if (held := self._held.get(zone)) is None:
            return 1.0
        moved = min((now - held.started_at_ms) / held.duration_ms, 1.0) if held.duration_ms > 0 else 1.0
        return held.initial_fraction + (float(not held.is_evacuating) - held.initial_fraction) * max(
            moved, 0.0
        )

    def reduced_fractions(self, now: float) -> dict[str, float]:
        """The zones of which less than all is drawn from."""
        if now >= self.all_restored_at_ms:
            return {}
        known = {zone: self.traffic_fraction(zone, now) for zone in self._held}
        return {zone: share for zone, share in known.items() if share < 1}

    def fully_evacuated(self, there: Iterable[str], now: float) -> set[str]:
        """The zones that nothing goes to, however full the others are; none if no other is there."""
        left = {zone for zone, share in self.reduced_fractions(now).items() if not share}
        return left if set(there) - left else set()


def zone_fractions(totals: dict[str, float], own: str, shares: dict[str, float]) -> dict[str, float]:
    """The part of each zone's capacity that we draw from: our own, and those with more than their part.

    Of a zone that is being left only its share counts; if nothing else is there, it counts in full.
    """
    left = {zone: c * shares.get(zone, 1.0) for zone, c in totals.items()} if shares else totals
    if not any(left.values()):
        left, shares = totals, {}
    if not own or own not in left or len(left) < 2:
        return {zone: shares.get(zone, 1.0) for zone in left}
    part = sum(left.values()) / len(left)
    over = {zone: max(c - part, 0.0) for zone, c in left.items()}
    spill = max(part - left[own], 0.0) / (sum(over.values()) or 1.0)  # all may be alike
    return {z: (min(c, part) if z == own else spill * over[z]) / totals[z] for z, c in left.items()}


def zone_capacities(servers: Iterable[Server], capacity: Iterable[float]) -> dict[str, float]:
    """The capacity of each zone."""
    zones: dict[str, float] = {}
    for server, c in zip(servers, capacity, strict=True):
        zones[server.endpoint.zone] = zones.get(server.endpoint.zone, 0.0) + c
    return zones
