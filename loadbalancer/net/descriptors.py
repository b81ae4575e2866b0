"""Limits on connections by the process's descriptors, and eviction of idle clients at the limit."""

from __future__ import annotations

import resource
from collections.abc import Iterable
from typing import Protocol

SIDE_FRACTION = 0.5  # of the descriptors are for clients, and the same for upstreams
# Reserved on each side: for the event loop, the logs, discovery, the console, sockets that are closing.
RESERVED_SOCKETS_PER_SIDE = 48
MIN_CONNECTIONS_PER_SIDE = 4  # however few descriptors there are
EVICTION_INTERVAL_S = 0.05  # between passes: an evicted client needs a moment to close
MAX_EVICTIONS_PER_PASS = 16  # each connection that replaces an evicted one costs CPU time
MIN_EVICTABLE_IDLE_S = 1.0  # a client that has sent no request for this long may be evicted
NEW_CONNECTION_GRACE_S = 0.1  # a connection is opened for a request, which follows


def max_connections_per_side(sockets: int) -> int:
    """Return how many connections each side may have; `sockets` is what the configuration allows.

    The process's own limit (RLIMIT_NOFILE) may be lower. When it was ignored, idle clients exhausted it, and
    nothing was left for connections to the list service, to upstreams and to the console.
    """
    process_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = sockets if process_limit == resource.RLIM_INFINITY else min(sockets, process_limit)
    return max(int(allowed * SIDE_FRACTION) - RESERVED_SOCKETS_PER_SIDE, MIN_CONNECTIONS_PER_SIDE)


class Evictable(Protocol):
    """A connection that may be evicted for another."""

    idle_since_s: float
    """When it last got a response, or was accepted, on the monotonic clock."""

    def has_received_request(self) -> bool:
        """Return whether a complete request has ever been received."""

    def can_close(self) -> bool:
        """Return whether it is open and can be closed with nothing lost; asks the kernel."""

    def evict(self) -> None:
        """Close to make room for another connection."""


class IdleEviction:
    """Evicts idle connections while the limit is reached and others wait to be accepted.

    Those that never sent a request go first, then the longest idle. As long as the limit stays reached, each
    pass evicts twice as many as the one before, up to a bound, and requires half the idle time: otherwise
    many clients that reconnect at once would keep a request that waits behind them in the kernel's queue
    for longer than its deadline.
    """

    def __init__(self) -> None:
        self._max_evictions = 1  # in the next pass
        self._next_pass_s = 0.0

    def reset(self) -> None:
        """Start again with one eviction per pass: no connection waits to be accepted."""
        self._max_evictions = 1

    def evict_idle(self, connections: Iterable[Evictable], now: float) -> None:
        """Evict some, unless the last pass was too recent; `now` is on the monotonic clock, in seconds."""
        if now < self._next_pass_s:
            return
        self._next_pass_s = now + EVICTION_INTERVAL_S
        idle_limit_s = now - max(MIN_EVICTABLE_IDLE_S / self._max_evictions, NEW_CONNECTION_GRACE_S)
        without_request: list[Evictable] = []
        idle: list[Evictable] = []
        for connection in connections:
            if connection.has_received_request():
                if connection.idle_since_s < idle_limit_s:
                    idle.append(connection)
            elif connection.idle_since_s < now - NEW_CONNECTION_GRACE_S:
                without_request.append(connection)
        without_request.sort(key=_idle_since_s)
        idle.sort(key=_idle_since_s)
        remaining = self._max_evictions
        for connection in (*without_request, *idle):
            if remaining and connection.can_close():
                connection.evict()
                remaining -= 1
        if not remaining:
            self._max_evictions = min(self._max_evictions * 2, MAX_EVICTIONS_PER_PASS)


def _idle_since_s(connection: Evictable) -> float:
    return connection.idle_since_s
