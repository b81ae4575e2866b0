"""The cordons and zone evacuations that operators have ordered, and their encoding as JSON values.

Older and newer versions read the keys too, in the file and between processes: they are fixed, and differ
from the fields' names.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import Any

from loadbalancer.interface import ZoneEvacuation

RETURN_RETENTION_MS = 600_000.0
"""How long the return of a server or zone is remembered: longer than any server takes to warm up."""


@dataclass(frozen=True)
class Cordons:
    """The cordoned servers, the times at which others were uncordoned, and the zones' evacuations."""

    servers: frozenset[str] = frozenset()
    returned_at_ms: dict[str, float] = field(default_factory=dict)
    """When each formerly cordoned server was uncordoned (Unix ms)."""
    evacuations: dict[str, ZoneEvacuation] = field(default_factory=dict)
    """The latest order for each zone."""

    def with_cordon(self, server: str, *, is_cordoned: bool, now_ms: float) -> Cordons:
        """Return a copy with a server cordoned or uncordoned; if it already is, its time stays unchanged."""
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
        """Return a copy with a zone's new order; drops zones whose return was completed long ago."""
        earliest_ms = evacuation.started_at_ms - RETURN_RETENTION_MS
        remembered = {
            zone: earlier
            for zone, earlier in self.evacuations.items()
            if earlier.is_evacuating or earlier.started_at_ms + earlier.duration_ms > earliest_ms
        }
        return replace(self, evacuations=remembered | {evacuation.zone: evacuation})


def encode_cordons(cordons: Cordons) -> dict[str, object]:
    """Return cordons as JSON values."""
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
    """Return the cordons that `encode_cordons` encoded; ValueError if the values are malformed."""
    if not isinstance(raw, dict) or not isinstance(raw.get("out"), list):
        raise ValueError("not valid cordons")
    returned_at_ms = raw.get("back")
    if not isinstance(returned_at_ms, dict) or not all(isinstance(name, str) and name for name in raw["out"]):
        raise ValueError("not valid cordons")
    if not all(type(at_ms) in (int, float) and math.isfinite(at_ms) for at_ms in returned_at_ms.values()):
        raise ValueError("not valid times of returns")
    evacuations = _decode_evacuations(raw.get("zones", {}))  # older versions do not write this key
    return Cordons(
        servers=frozenset(raw["out"]),
        returned_at_ms={name: float(at_ms) for name, at_ms in returned_at_ms.items()},
        evacuations=evacuations,
    )


def _decode_evacuations(raw: Any) -> dict[str, ZoneEvacuation]:
    try:
        evacuations = {
            zone: ZoneEvacuation(zone, bool(is_evacuating), *map(float, numbers))
            for zone, (is_evacuating, *numbers) in raw.items()
        }
    except (TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"not valid zone evacuations: {error}") from error
    for evacuation in evacuations.values():
        numbers = (evacuation.started_at_ms, evacuation.duration_ms, evacuation.initial_fraction)
        if not all(math.isfinite(number) for number in numbers):
            raise ValueError(f"not a valid zone evacuation: {evacuation}")
    return evacuations
