"""What a process has learned, as plain figures: for the next process, and for a file.

    plain = to_plain(balancer.learned(now))          # JSON can hold it
    balancer.inherit(from_plain(plain, classes), now, age_ms)

The form is one that the versions before and after read, too.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import Any

from loadbalancer.interface import Learned


def to_plain(known: Learned) -> dict[str, Any]:
    """The figures as JSON can hold them."""
    return {
        "servers": {name: list(figures) for name, figures in known.servers.items()},
        "work": dict(known.work),
        "easy": dict(known.easy),
        "usual": dict(known.usual),
        "pressure": list(known.crowding),
        "median": known.median,
        "asked": known.asked,
        "asked_then": dict(known.asked_then),
    }


def from_plain(raw: Any, classes: Collection[str]) -> Learned:
    """The figures again; ValueError if these are none, or not of these classes of requests."""
    try:
        servers = {str(name): tuple(_figures(known)) for name, known in raw["servers"].items()}
        work, easy, usual = (_by_name(raw[part]) for part in ("work", "easy", "usual"))
        (late, answers, weighed), (median,) = _figures(raw["pressure"]), _figures([raw["median"]])
        (asked,) = _figures([raw.get("asked", 0.0)])  # a version before this one does not send it
        asked_then = _by_name(raw.get("asked_then", {}))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"no legacy: {error!r}") from None
    if any(len(known) < 3 for known in servers.values()) or {*work, *easy} != {*classes}:
        raise ValueError("no legacy: it is of other classes, or too short")
    return Learned(servers, work, easy, usual, (late, answers, weighed), median, asked, asked_then)


def _by_name(raw: Mapping[str, Any]) -> dict[str, float]:
    return dict(zip(raw, _figures(raw.values()), strict=True))


def _figures(raw: Iterable[Any]) -> list[float]:
    known = [float(figure) for figure in raw]
    if not all(0 <= figure < math.inf for figure in known):
        raise ValueError("no legacy: it holds figures that are none")
    return known
