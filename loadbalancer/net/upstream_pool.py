"""Pools of upstream connections: one a server that the endpoint list names, and a bound over all of them."""

from __future__ import annotations

import asyncio
import math
import time
from bisect import bisect_right

from loadbalancer.interface import Readiness
from loadbalancer.net.address import Address
from loadbalancer.net.config import AddressedEndpoint, Config, EndpointList
from loadbalancer.net.descriptors import max_connections_per_side
from loadbalancer.net.message_body import BufferBudget
from loadbalancer.net.upstream_attempt import Attempt, AttemptHandler
from loadbalancer.net.upstream_connection import UpstreamConnection

# Of the upstream's idle limit: a request that crosses its closing would end as a reset.
IDLE_LIMIT_FRACTION = 0.8
# After a response, until the next request on its connection: second answers were seen up to 4 ms late.
REUSE_DELAY_S = 0.006
# Of the drain grace: the list's update may have waited in our buffer before it was read.
DRAIN_GRACE_FRACTION = 0.5


class ConnectionPool:
    """The connections to one server at one address since one start."""

    def __init__(self, pools: UpstreamPools, server: str, address: Address, started_at_ms: float) -> None:
        self.loop = pools.loop
        self.buffers = pools.buffers
        self.connect_timeout_s = pools.config.connect_timeout_ms / 1000
        self._pools = pools
        self.server = server
        self.address = address
        self.started_at_ms = started_at_ms
        self.idle_connections: list[UpstreamConnection] = []  # the newest last
        self.draining_since_s: float | None = None
        self.is_current = True  # whether the list still names this server, address and start

    def can_start_attempt(self) -> bool:
        """Return whether list, cordons and drain grace allow a request whose connection came up only now."""
        if not self.is_current or self.server in self._pools.cordoned:
            return False
        grace_s = DRAIN_GRACE_FRACTION * self._pools.config.drain_grace_ms / 1000
        return self.draining_since_s is None or time.monotonic() < self.draining_since_s + grace_s

    def take_idle(self) -> UpstreamConnection | None:
        """Take the newest idle connection that is alive and has rested; close the dead ones before it."""
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
        """Open a connection; one that does not come up is closed. Raises OSError."""
        try:
            await self._pools.loop.create_connection(lambda: connection, *self.address)
        except BaseException:
            connection.close()
            raise

    def return_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next request, unless the server has changed meanwhile."""
        if not self.is_current or self.draining_since_s is not None or self.server in self._pools.cordoned:
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        self.idle_connections.append(connection)

    def start_draining(self) -> None:
        """Start no attempt once the drain grace is over, and keep no idle connection; no-op if it drains."""
        if self.draining_since_s is None:
            self.draining_since_s = time.monotonic()
            self.close_idle()

    def retire(self) -> None:
        """Start no attempt any more: the list names this server, address or start no longer."""
        self.is_current = False
        self.draining_since_s = self.draining_since_s or time.monotonic()
        self.close_idle()

    def on_connection_opened(self) -> None:
        """Count a connection, from the start of its handshake on."""
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
    """The pools of all servers that the endpoint list names."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, buffers: BufferBudget) -> None:
        self.config = config
        self.loop = loop
        self.buffers = buffers
        self.max_idle_s = IDLE_LIMIT_FRACTION * config.idle_timeout_ms / 1000
        self.open_connections = 0
        self.max_connections = max_connections_per_side(config.max_sockets)
        self.cordoned: set[str] = set()  # by operators: nothing begins there
        self._pools: dict[str, ConnectionPool] = {}

    def update_endpoints(self, update: EndpointList) -> None:
        """Follow the list: a server that is removed, moved or restarted loses its connections."""
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
        """Return the pool of a server, a new one if it is new, or at another address, or started anew."""
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
        """Start an attempt, or return None for a server that no list names any more; see `Attempt.start`."""
        pool = self._pools.get(server)
        if pool is None:
            return None
        attempt = Attempt(pool, handler)
        attempt.start(timeout_s, write_within_s, connect_within_s)
        return attempt

    def cordon(self, server: str) -> None:
        """Begin nothing at a server from now on, not even on connections that are coming up."""
        self.cordoned.add(server)
        self.close_idle(server)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to one server."""
        if pool := self._pools.get(server):
            pool.close_idle()

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened, closing the longest idle one if need be."""
        if self.open_connections < self.max_connections:
            return True
        longest_idle = (p.idle_connections[0] for p in self._pools.values() if p.idle_connections)
        oldest = min(longest_idle, key=_idle_since_s, default=None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def close_expired(self) -> None:
        """Close what has been idle for too long, before the upstreams do."""
        idle_limit_s = time.monotonic() - self.max_idle_s
        for pool in self._pools.values():
            while pool.idle_connections and pool.idle_connections[0].idle_since_s < idle_limit_s:
                pool.idle_connections[0].close()


def _idle_since_s(connection: UpstreamConnection) -> float:
    return connection.idle_since_s
