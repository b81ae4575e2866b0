"""Limit how many calls this balancer has in flight at each server."""

from __future__ import annotations

import math

from loadbalancer.interface import Settings
from loadbalancer.policy.requests import Request
from loadbalancer.policy.servers import Server

CALLS_PER_CAPACITY_UNIT = 5.0
"""Calls that all balancers together have in flight at a server for each unit of its capacity."""
ORDINARY_FRACTION = 0.6
"""Fraction of these calls that requests of less than the highest priority weight may use."""
RECEIVING_FRACTION = 0.5
"""Fraction of a server's limit that requests may use whose body is still arriving, however slowly."""


class ConcurrencyLimits:
    """This balancer's share of the concurrency limit of each first-tier server.

    It prevents congestion: a server with far more calls than cores turns slow, and stays so until it is idle.
    Inner tiers have no limit: other tiers have already worked on their calls, which a rejection would waste.
    """

    def __init__(self, settings: Settings) -> None:
        self._highest_weight = max(c.priority_weight for c in settings.classes)
        self._is_limited = settings.tier == 0
        self._balancer_count = settings.balancer_count
        self._balancers_per_server = float(settings.balancer_count)
        self.max_waiting = 0
        """How many requests may wait for capacity at the same time."""

    @property
    def calls_per_capacity_unit(self) -> float:
        """How many ordinary calls may be in flight from here at a server, per unit of its capacity."""
        return ORDINARY_FRACTION * CALLS_PER_CAPACITY_UNIT / self._balancers_per_server

    def update(self, ready: int, subset_size: int, total_capacity: float) -> None:
        """Update this balancer's share for the ready servers, of which each balancer uses a subset."""
        self._balancers_per_server = max(self._balancer_count * subset_size / max(ready, 1), 1.0)
        self.max_waiting = math.ceil(CALLS_PER_CAPACITY_UNIT * total_capacity / self._balancer_count)

    def can_accept(self, request: Request, server: Server) -> bool:
        """Return whether a server has free capacity for a request."""
        if not self._is_limited:
            return True
        fraction = 1.0 if request.priority_weight >= self._highest_weight else ORDINARY_FRACTION
        limit = self._limit(server, fraction)
        if request.is_complete:
            return server.begun() < limit
        return server.in_flight < limit and server.receiving < max(limit * RECEIVING_FRACTION, 1)

    def _limit(self, server: Server, fraction: float) -> int:
        """Return this balancer's share of a fraction of a server's limit: at least one call.

        The random rank rounds it, up for some balancers and down for others, so that their sum is the limit.
        """
        share = fraction * CALLS_PER_CAPACITY_UNIT * server.registered_capacity / self._balancers_per_server
        return max(math.floor(share + server.rank), 1)
