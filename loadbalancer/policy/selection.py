"""Choose from candidates: draw servers by capacity, and take the one with the lowest load.

This is the power of d choices with weights (M. Mitzenmacher, 2001), where d is up to 4.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections.abc import Iterable, Iterator
from itertools import accumulate

from loadbalancer.policy.servers import Server
from loadbalancer.policy.zones import zone_capacities, zone_fractions

MAX_CANDIDATES = 4
"""Servers that are drawn at the most, while each of them holds a call of ours."""


def least_loaded(candidates: Iterable[tuple[Server, float]], chance: random.Random) -> Server | None:
    """Return the least loaded of up to 4 servers, each given with its capacity; None if there is none.

    Load is (own calls in flight + 1) / capacity; ties go to the larger capacity, then at random. The first
    server without a call of ours is the last candidate.
    """
    lowest = (math.inf, 0.0, 0.0)
    chosen = None
    for number, (server, capacity) in enumerate(candidates, 1):
        load = ((server.in_flight + 1) / capacity, -capacity, chance.random())
        if load < lowest:
            lowest = load
            chosen = server
        # Among servers without calls the load is 1 / capacity, and the largest would get everything: the draw
        # decides there.
        if not server.in_flight or number == MAX_CANDIDATES:
            break
    return chosen


def draw_by_capacity(
    servers: list[Server],
    capacities: list[float],
    own_zone: str,
    reduced_zones: dict[str, float],
    chance: random.Random,
) -> Iterator[tuple[Server, float]]:
    """Yield servers drawn by capacity from a short list without end, the own zone first."""
    fractions = zone_fractions(zone_capacities(servers, capacities), own_zone, reduced_zones)
    sums = list(accumulate(fractions[s.endpoint.zone] * c for s, c in zip(servers, capacities, strict=True)))
    while True:
        index = min(bisect(sums, chance.random() * sums[-1]), len(servers) - 1)
        yield servers[index], capacities[index]
