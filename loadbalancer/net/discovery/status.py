"""Source and age of the endpoint list, for operators."""

from __future__ import annotations

import math
from dataclasses import dataclass

from loadbalancer.net.address import Address


@dataclass(frozen=True, slots=True)
class ListStatus:
    """State of the watch; ages are in ms, or None if the event has not occurred."""

    address: Address
    """The instance currently watched."""
    index: int
    """The version of the current list; -1 if there is none."""
    response_age_ms: int | None
    change_age_ms: int | None
    switch_count: int
    """Number of switches to another instance."""
    rewind_count: int
    """Number of times a service went back to an older state."""
    stale_instance_count: int
    """Number of times the watched instance was found stale."""
    contradicting_servers: list[str]
    """Listed servers that answer no requests."""


def age_ms(now_s: float, since_s: float) -> int | None:
    """Return the rounded time since an event; None if it has not occurred (minus infinity)."""
    return round((now_s - since_s) * 1_000) if math.isfinite(since_s) else None
