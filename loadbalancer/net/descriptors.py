"""How a process's descriptors are shared out, and who makes way once callers hold all of theirs."""

from __future__ import annotations

import resource
from collections.abc import Iterable
from typing import Protocol

SIDE_FRACTION = 0.5  # of the descriptors are for callers, as many for upstreams
# Less on each side: for the event loop, the logs, discovery, the console, sockets that are closing.
RESERVED_SOCKETS_PER_SIDE = 48
MIN_CONNECTIONS_PER_SIDE = 4  # however few there are
EVICTION_INTERVAL_S = 0.05  # between passes: who was told to end needs a moment to do so
MAX_EVICTIONS_PER_PASS = 16  # in one pass: each that comes in its place costs processor time
MIN_EVICTABLE_IDLE_S = 1.0  # a caller that asked for nothing for so long may have to make way
NEW_CONNECTION_GRACE_S = 0.1  # a connection is opened for a request, which follows


def max_connections_per_side(sockets: int) -> int:
    """How many connections callers may hold, or upstreams: `sockets` is what the configuration allows.

    The process's own limit (RLIMIT_NOFILE) may be lower. Where it was passed over, idle callers filled it,
    and nothing was left for the list's dial, upstreams and the console.
    """
    own, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = sockets if own == resource.RLIM_INFINITY else min(sockets, own)
    return max(int(allowed * SIDE_FRACTION) - RESERVED_SOCKETS_PER_SIDE, MIN_CONNECTIONS_PER_SIDE)


class Evictable(Protocol):
    """A connection that may have to make way for another."""

    idle_since_s: float
    """When it last had an answer, or came, on the monotonic clock."""

    def has_received_request(self) -> bool:
        """Whether a whole request has ever come."""

    def can_close(self) -> bool:
        """Whether it can be ended, once, with nothing lost; asks the kernel."""

    def evict(self) -> None:
        """End."""


class IdleEviction:
    """Ends idle connections while all places are taken and others wait for one.

    Those that never asked go first, then the longest idle. As long as places stay taken, each pass ends twice
    as many as the one before, up to a bound, and leaves half the idleness: a crowd that comes again at once
    would else keep a request that waits behind it in the kernel's queue for longer than its deadline.
    """

    def __init__(self) -> None:
        self._count = 1
        self._next = 0.0

    def reset(self) -> None:
        """Nobody waits any more."""
        self._count = 1

    def evict_idle(self, connections: Iterable[Evictable], now: float) -> None:
        """End some, unless the last pass was a moment ago; `now` is on the monotonic clock, in seconds."""
        if now < self._next:
            return
        self._next = now + EVICTION_INTERVAL_S
        asked_before = now - max(MIN_EVICTABLE_IDLE_S / self._count, NEW_CONNECTION_GRACE_S)
        strangers, idle = list[Evictable](), list[Evictable]()
        for connection in connections:
            if connection.has_received_request():
                if connection.idle_since_s < asked_before:
                    idle.append(connection)
            elif connection.idle_since_s < now - NEW_CONNECTION_GRACE_S:
                strangers.append(connection)
        left = self._count
        for connection in (*sorted(strangers, key=_idle_since), *sorted(idle, key=_idle_since)):
            if left and connection.can_close():
                connection.evict()
                left -= 1
        if not left:
            self._count = min(self._count * 2, MAX_EVICTIONS_PER_PASS)


def _idle_since(connection: Evictable) -> float:
    return connection.idle_since_s
