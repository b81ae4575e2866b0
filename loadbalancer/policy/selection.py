"""The ordinary path of the design: draw servers by capacity, take the one with the lowest load."""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections.abc import Iterable, Iterator
from itertools import accumulate

from loadbalancer.policy.servers import Server
from loadbalancer.policy.zones import zone_capacities, zone_fractions

MAX_CANDIDATES = 4  # the most for d of the design, while each server drawn holds a call of ours


def least_loaded(drawn: Iterable[tuple[Server, float]], chance: random.Random) -> Server | None:
    """Of up to d servers, each with its capacity, the least loaded; the first without our calls is the last.

    Load is (own calls in flight + 1) / capacity; ties go to the larger capacity, then at random.
    """
    best, chosen = (math.inf, 0.0, 0.0), None
    for number, (server, c) in enumerate(drawn, 1):
        load = ((server.in_flight + 1) / c, -c, chance.random())
        if load < best:
            best, chosen = load, server
        if not server.in_flight or number == MAX_CANDIDATES:
            break  # with none of our calls in view (1/c) would send all to the largest: the draw decides
    return chosen


def draw_by_capacity(
    able: list[Server],
    capacity: list[float],
    own_zone: str,
    shares: dict[str, float],
    chance: random.Random,
) -> Iterator[tuple[Server, float]]:
    """Draw without end from a short list, by capacity, with the servers of our zone preferred."""
    parts = zone_fractions(zone_capacities(able, capacity), own_zone, shares)
    sums = list(accumulate(parts[s.endpoint.zone] * c for s, c in zip(able, capacity, strict=True)))
    while True:
        i = min(bisect(sums, chance.random() * sums[-1]), len(able) - 1)
        yield able[i], capacity[i]
