"""Where the endpoint list is from and how old it is, for operators."""

from __future__ import annotations

import math
from dataclasses import dataclass

from loadbalancer.net.address import Address


@dataclass(frozen=True, slots=True)
class ListStatus:
    """The state of the watch; ages in ms, None for never."""

    address: Address
    """The instance that is watched."""
    index: int
    """The version of the list at hand; -1 for none."""
    response_age_ms: int | None
    change_age_ms: int | None
    switch_count: int
    """How often another instance was watched from then on."""
    rewind_count: int
    """How often a service went back to an older state."""
    stale_instance_count: int
    """How often the watched instance was found stale."""
    contradicting_servers: list[str]
    """Listed servers that answer nothing."""


def age_ms(now_s: float, since_s: float) -> int | None:
    """Return the time since a moment, rounded; None for a moment that never was (minus infinity)."""
    return round((now_s - since_s) * 1_000) if math.isfinite(since_s) else None
