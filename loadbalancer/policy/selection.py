"""Draw candidates by capacity, and choose the least loaded one.

This is the weighted power of d choices (M. Mitzenmacher, 2001), with d up to 4.
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
"""Maximum number of candidates; drawing stops early at a server without calls from this balancer."""


def least_loaded(candidates: Iterable[tuple[Server, float]], rng: random.Random) -> Server | None:
    """Return the least loaded of up to 4 (server, capacity) candidates; None if there are none.

    Load is (own calls in flight + 1) / capacity; ties go to the larger capacity, then at random. The first
    server without calls from this balancer is the last candidate.
    """
    lowest = (math.inf, 0.0, 0.0)
    chosen = None
    for count, (server, capacity) in enumerate(candidates, 1):
        load = ((server.in_flight + 1) / capacity, -capacity, rng.random())
        if load < lowest:
            lowest = load
            chosen = server
        # Among servers without calls the load is 1 / capacity, so the largest would always win: there, the
        # weighted draw decides.
        if not server.in_flight or count == MAX_CANDIDATES:
            break
    return chosen


def draw_by_capacity(
    servers: list[Server],
    capacities: list[float],
    own_zone: str,
    reduced_zones: dict[str, float],
    rng: random.Random,
) -> Iterator[tuple[Server, float]]:
    """Yield an endless sequence of servers from a short list, drawn by capacity, the own zone first."""
    fractions = zone_fractions(zone_capacities(servers, capacities), own_zone, reduced_zones)
    sums = list(accumulate(fractions[s.endpoint.zone] * c for s, c in zip(servers, capacities, strict=True)))
    while True:
        index = min(bisect(sums, rng.random() * sums[-1]), len(servers) - 1)
        yield servers[index], capacities[index]
