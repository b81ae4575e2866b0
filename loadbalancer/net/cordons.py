"""The cordons and zone evacuations that operators have ordered, and their form as plain JSON values.

The keys are data that older and newer versions read too, in the file and between processes; they differ from
the fields' names.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import Any

from loadbalancer.interface import ZoneEvacuation

RETURN_RETENTION_MS = 600_000.0
"""How long the return of a server or zone is remembered: longer than any server warms up."""


@dataclass(frozen=True)
class Cordons:
    """The servers that are cordoned, when others were returned, and the zones' evacuations."""

    servers: frozenset[str] = frozenset()
    returned_at_ms: dict[str, float] = field(default_factory=dict)
    """When each server that was cordoned before was returned to service (Unix ms)."""
    evacuations: dict[str, ZoneEvacuation] = field(default_factory=dict)
    """The last order for each zone."""

    def with_cordon(self, server: str, *, is_cordoned: bool, now_ms: float) -> Cordons:
        """Return these with one server cordoned or returned; an order that changes nothing keeps its time."""
        if is_cordoned == (server in self.servers):
            return self
        returned_at_ms = {
            name: at_ms
            for name, at_ms in self.returned_at_ms.items()
            if name != server and at_ms > now_ms - RETURN_RETENTION_MS
        }
        if is_cordoned:
            return replace(self, servers=self.servers | {server}, returned_at_ms=returned_at_ms)
        return replace(
            self, servers=self.servers - {server}, returned_at_ms=returned_at_ms | {server: now_ms}
        )

    def with_evacuation(self, evacuation: ZoneEvacuation) -> Cordons:
        """Return these with a zone's new order; zones that have long been back in full are forgotten."""
        earliest_ms = evacuation.started_at_ms - RETURN_RETENTION_MS
        remembered = {
            zone: earlier
            for zone, earlier in self.evacuations.items()
            if earlier.is_evacuating or earlier.started_at_ms + earlier.duration_ms > earliest_ms
        }
        return replace(self, evacuations=remembered | {evacuation.zone: evacuation})


def encode_cordons(cordons: Cordons) -> dict[str, object]:
    """Return cordons as values that JSON can hold."""
    zones = {
        zone: [
            evacuation.is_evacuating,
            evacuation.started_at_ms,
            evacuation.duration_ms,
            evacuation.initial_fraction,
        ]
        for zone, evacuation in cordons.evacuations.items()
    }
    return {"out": sorted(cordons.servers), "back": cordons.returned_at_ms, "zones": zones}


def decode_cordons(raw: Any) -> Cordons:
    """Return the cordons that `encode_cordons` wrote; ValueError if the values are anything else."""
    if not isinstance(raw, dict) or not isinstance(raw.get("out"), list):
        raise ValueError("not a file of cordons")
    returned_at_ms = raw.get("back")
    if not isinstance(returned_at_ms, dict) or not all(isinstance(name, str) and name for name in raw["out"]):
        raise ValueError("not a file of cordons")
    if not all(type(at_ms) in (int, float) and math.isfinite(at_ms) for at_ms in returned_at_ms.values()):
        raise ValueError("not the times of returns")
    evacuations = _decode_evacuations(raw.get("zones", {}))  # older versions do not write it
    return Cordons(
        servers=frozenset(raw["out"]),
        returned_at_ms={name: float(at_ms) for name, at_ms in returned_at_ms.items()},
        evacuations=evacuations,
    )


def _decode_evacuations(raw: Any) -> dict[str, ZoneEvacuation]:
    try:
        evacuations = {
            zone: ZoneEvacuation(zone, bool(is_evacuating), *map(float, figures))
            for zone, (is_evacuating, *figures) in raw.items()
        }
    except (TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"not the evacuations of zones: {error}") from error
    for evacuation in evacuations.values():
        figures = (evacuation.started_at_ms, evacuation.duration_ms, evacuation.initial_fraction)
        if not all(math.isfinite(figure) for figure in figures):
            raise ValueError(f"not the evacuation of a zone: {evacuation}")
    return evacuations
