"""Concurrency limits at each server, and the queue of requests that wait for room there."""

from __future__ import annotations

import math
from bisect import insort

from loadbalancer.interface import Settings
from loadbalancer.policy.requests import Request
from loadbalancer.policy.servers import Server

CALLS_PER_CAPACITY_UNIT = (
    5.0  # calls that all balancers together have out at a server for each unit of its registered size
)
ORDINARY_FRACTION = 0.6  # the part of that room which requests of less than the highest worth may fill


class ConcurrencyLimits:
    """How many calls this balancer may have out at each server of the first tier.

    Guards against crowding: a server with far more calls than cores turns slow, and stays so until idle.
    Inner tiers have none: others have worked on their calls, and refusing these wastes it.
    """

    def __init__(self, settings: Settings) -> None:
        self._dearest = max(c.priority_weight for c in settings.classes)
        self._bounded = settings.tier == 0
        self._balancers = settings.balancer_count
        self._sharers = float(settings.balancer_count)
        self.max_waiting = 0

    @property
    def calls_per_capacity_unit(self) -> float:
        """The calls of usual worth that we may have out at a server, for each unit of its size."""
        return ORDINARY_FRACTION * CALLS_PER_CAPACITY_UNIT / self._sharers

    def update(self, ready: int, kept: int, size: float) -> None:
        """Take our part: of so many ready servers of this size in all we keep to some, as others do."""
        self._sharers = max(self._balancers * kept / max(ready, 1), 1.0)
        self.max_waiting = math.ceil(CALLS_PER_CAPACITY_UNIT * size / self._balancers)

    def can_accept(self, request: Request, server: Server) -> bool:
        """Whether a server has room for a request."""
        if not self._bounded:
            return True
        return server.in_flight < self._limit(
            server, 1.0 if request.priority_weight >= self._dearest else ORDINARY_FRACTION
        )

    def _limit(self, server: Server, part: float) -> int:
        """Our part of this part of a server's room, one call at the least.

        The rank rounds it, up by some and down by others: all together keep to the room.
        """
        return max(
            math.floor(
                part * CALLS_PER_CAPACITY_UNIT * server.registered_capacity / self._sharers + server.rank
            ),
            1,
        )


class WaitQueue:
    """Those who wait, in their turn."""

    def __init__(self) -> None:
        self._waiting: list[Request] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: Request) -> None:
        """Take a place by worth, then by when the answer is wanted."""
        request.is_waiting = True
        insort(self._waiting, request, key=Request.queue_order)

    def discard(self, request: Request) -> None:
        """Give the place up; nothing happens to who has none."""
        if request.is_waiting:
            request.is_waiting = False
            self._waiting.remove(request)

    def first(self) -> Request | None:
        """Whose turn it is."""
        return self._waiting[0] if self._waiting else None

    def last(self) -> Request:
        """Who would be served last."""
        return self._waiting[-1]
