"""Pools of upstream connections: one for each listed server, with a limit on all connections together."""

from __future__ import annotations

import asyncio
import math
import time
from bisect import bisect_right

from loadbalancer.interface import Readiness
from loadbalancer.net.address import Address
from loadbalancer.net.attempt_handler import AttemptHandler
from loadbalancer.net.config import AddressedEndpoint, Config, EndpointList
from loadbalancer.net.long_heads import LongHeads
from loadbalancer.net.message_body import BufferBudget
from loadbalancer.net.turn_queue import TurnQueue
from loadbalancer.net.upstream_attempt import Attempt
from loadbalancer.net.upstream_connection import UpstreamConnection

# Of the upstream's idle timeout: a request that is sent while the upstream closes would be reset.
IDLE_LIMIT_FRACTION = 0.8
# From a response to the next request on its connection: second responses were seen up to 4 ms late.
REUSE_DELAY_S = 0.006
# Of the drain grace: the list update may have waited in our buffer before it was read.
DRAIN_GRACE_FRACTION = 0.5


class ConnectionPool:
    """The connections to one server at one address, until it restarts."""

    def __init__(self, pools: UpstreamPools, server: str, address: Address, started_at_ms: float) -> None:
        self.loop = pools.loop
        self.buffers = pools.buffers
        self.turns = pools.turns
        self.long_heads = pools.long_heads
        self.connect_timeout_s = pools.config.connect_timeout_ms / 1000
        self._pools = pools
        self.server = server
        self.address = address
        self.started_at_ms = started_at_ms
        self.idle_connections: list[UpstreamConnection] = []  # the longest idle first
        self.draining_since_s: float | None = None
        self.is_current = True  # whether the list still has this server, address and start time

    def can_start_attempt(self) -> bool:
        """Return whether list, cordons and drain grace allow a request on a connection just established."""
        if not self.is_current or self.server in self._pools.cordoned:
            return False
        grace_s = DRAIN_GRACE_FRACTION * self._pools.config.drain_grace_ms / 1000
        return self.draining_since_s is None or time.monotonic() < self.draining_since_s + grace_s

    def take_idle(self) -> UpstreamConnection | None:
        """Take the latest idle connection that is alive and past the reuse delay, closing unusable ones."""
        index = bisect_right(self.idle_connections, time.monotonic() - REUSE_DELAY_S, key=_idle_since_s)
        while index:
            index -= 1
            connection = self.idle_connections.pop(index)
            if time.monotonic() - connection.idle_since_s < self._pools.max_idle_s and connection.is_alive():
                return connection
            connection.close()
        return None

    def create_connection(self) -> UpstreamConnection | None:
        """Return a new connection, to be opened by `connect`, or None if there are too many."""
        return UpstreamConnection(self) if self._pools.ensure_capacity() else None

    async def connect(self, connection: UpstreamConnection) -> None:
        """Open a connection; close it and raise OSError if that fails."""
        try:
            await self._pools.loop.create_connection(lambda: connection, *self.address)
        except BaseException:
            connection.close()
            raise

    def return_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next request, unless its server has changed, drains or is cordoned."""
        if not self.is_current or self.draining_since_s is not None or self.server in self._pools.cordoned:
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        self.idle_connections.append(connection)

    def start_draining(self) -> None:
        """Start no attempt after the drain grace, and keep no idle connection; no-op while draining."""
        if self.draining_since_s is None:
            self.draining_since_s = time.monotonic()
            self.close_idle()

    def retire(self) -> None:
        """Start no further attempt: the list no longer has this server, address or start time."""
        self.is_current = False
        self.draining_since_s = self.draining_since_s or time.monotonic()
        self.close_idle()

    def on_connection_opened(self) -> None:
        """Count a connection, before its handshake begins."""
        self._pools.open_connections += 1

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has closed."""
        self._pools.open_connections -= 1
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in self.idle_connections[:]:
            connection.close()


class UpstreamPools:
    """The pools of all servers on the endpoint list."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        buffers: BufferBudget,
        max_connections: int,
        turns: TurnQueue,
    ) -> None:
        self.config = config
        self.loop = loop
        self.buffers = buffers
        self.turns = turns
        self.long_heads = LongHeads(buffers)
        self.max_idle_s = IDLE_LIMIT_FRACTION * config.idle_timeout_ms / 1000
        self.open_connections = 0
        self.max_connections = max_connections
        self.cordoned: set[str] = set()  # by operators: no attempt may start there
        self._pools: dict[str, ConnectionPool] = {}

    def update_endpoints(self, update: EndpointList) -> None:
        """Apply a list update: a server that is removed, moved or restarted loses its pool."""
        if update.is_full_snapshot:
            for server in self._pools.keys() - {e.endpoint.server for e in update.endpoints}:
                self._remove(server)
        for addressed in update.endpoints:
            endpoint = addressed.endpoint
            if endpoint.readiness is Readiness.DEAD:
                self._remove(endpoint.server)
                continue
            pool = self._pool_of(addressed)
            if endpoint.readiness is Readiness.READY:
                pool.draining_since_s = None
            else:
                pool.start_draining()

    def _pool_of(self, addressed: AddressedEndpoint) -> ConnectionPool:
        """Return the pool of a server; a new pool if the server is new, has moved or has restarted."""
        endpoint = addressed.endpoint
        pool = self._pools.get(endpoint.server)
        if pool and (pool.address, pool.started_at_ms) != (addressed.address, endpoint.started_at_ms):
            self._remove(endpoint.server)
            pool = None
        if pool is None:
            pool = ConnectionPool(self, endpoint.server, addressed.address, endpoint.started_at_ms)
            self._pools[endpoint.server] = pool
        return pool

    def _remove(self, server: str) -> None:
        pool = self._pools.pop(server, None)
        if pool is not None:
            pool.retire()

    def start_attempt(
        self,
        server: str,
        timeout_s: float,
        handler: AttemptHandler,
        write_within_s: float = math.inf,
        connect_within_s: float = math.inf,
    ) -> Attempt | None:
        """Start an attempt, or return None if the server is no longer listed; see `Attempt.start`."""
        pool = self._pools.get(server)
        if pool is None:
            return None
        attempt = Attempt(pool, handler)
        attempt.start(timeout_s, write_within_s, connect_within_s)
        return attempt

    def cordon(self, server: str) -> None:
        """Start no attempt at a server from now on, not even on connections being established."""
        self.cordoned.add(server)
        self.close_idle(server)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to one server."""
        if pool := self._pools.get(server):
            pool.close_idle()

    def ensure_capacity(self) -> bool:
        """Return whether a connection may be opened, after closing the longest idle one if necessary."""
        if self.open_connections < self.max_connections:
            return True
        longest_idle = (p.idle_connections[0] for p in self._pools.values() if p.idle_connections)
        oldest = min(longest_idle, key=_idle_since_s, default=None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def close_expired(self) -> None:
        """Close connections that were idle for too long, before their upstreams do."""
        idle_limit_s = time.monotonic() - self.max_idle_s
        for pool in self._pools.values():
            while pool.idle_connections and pool.idle_connections[0].idle_since_s < idle_limit_s:
                pool.idle_connections[0].close()


def _idle_since_s(connection: UpstreamConnection) -> float:
    return connection.idle_since_s
