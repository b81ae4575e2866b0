"""Hot restart of the proxy: taking over from the previous process, and handing over to the next."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from loadbalancer import interface
from loadbalancer.net.clock import Clock
from loadbalancer.net.downstream_listener import DownstreamListener
from loadbalancer.net.endpoint_list import EndpointListFollower
from loadbalancer.net.executed_ids import ExecutedIds
from loadbalancer.net.hot_restart import DescriptorCounts, HotRestartListener, Predecessor
from loadbalancer.net.hot_restart.state_exchange import OrderStore, StateExchange
from loadbalancer.net.log import Log
from loadbalancer.net.state_transfer import StateTransfer
from loadbalancer.net.upstream_pool import UpstreamPools

if TYPE_CHECKING:
    from loadbalancer.net.membership import MembershipHost

MIN_CONNECTIONS = 4  # per side, however many the other process still holds


class Takeover:
    """Coordinates a hot restart: which process accepts, and how many connections each may hold."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: Path | None,
        downstream: DownstreamListener,
        upstreams: UpstreamPools,
        membership: MembershipHost | None,
        transfer: StateTransfer,
        executed: ExecutedIds,
        orders: OrderStore,
        clock: Clock,
        log: Log,
        dispatch: Callable[[interface.Event], None],
    ) -> None:
        """Create a takeover; without a folder, no process can take over from this one."""
        self._loop = loop
        self._downstream = downstream
        self._upstreams = upstreams
        self._membership = membership
        self._transfer = transfer
        self._executed = executed
        self._orders = orders
        self._clock = clock
        self._log = log
        self._dispatch = dispatch
        self._max_downstream_connections = downstream.max_connections
        self._max_upstream_connections = upstreams.max_connections
        self._listener = HotRestartListener(folder, loop, self) if folder else None
        self._exchange_task: asyncio.Task[None] | None = None  # with the predecessor
        self._task: asyncio.Task[None] | None = None

    def start(self, predecessor: Predecessor | None, endpoint_list: EndpointListFollower) -> None:
        """Accept connections as soon as the predecessor, if any, has stopped."""
        if predecessor is None:
            self._start_serving()
        else:
            self._task = self._loop.create_task(self._take_over(predecessor, endpoint_list))

    def _start_serving(self) -> None:
        self._downstream.start()
        self._join_membership()
        if self._listener is not None and (problem := self._listener.start()):
            self._log.event("hot_restart_unavailable", problem)

    def _join_membership(self) -> None:
        if self._membership is not None and (problem := self._membership.start()):
            self._log.event("membership_unavailable", problem)

    async def _take_over(self, predecessor: Predecessor, endpoint_list: EndpointListFollower) -> None:
        """Wait for the endpoint list, have the old process stop accepting, then accept in its place."""
        if predecessor.exchange is not None:
            orders = self._orders if predecessor.exchanges_orders else None
            exchange = StateExchange(predecessor.exchange, self._executed, self._loop, orders)
            self._exchange_task = self._loop.create_task(exchange.run())
        await endpoint_list.wait_for_first_response()
        self._limit_connections(await predecessor.take_over())
        if not self._downstream.is_shutting_down:
            self._start_serving()
        await predecessor.follow_counts(self._limit_connections)

    def _limit_connections(self, other_process: DescriptorCounts) -> None:
        """Reduce the connection limits by the counts of the other process."""
        downstream = self._max_downstream_connections - other_process.downstream
        upstream = self._max_upstream_connections - other_process.upstream
        self._downstream.max_connections = max(downstream, MIN_CONNECTIONS)
        self._upstreams.max_connections = max(upstream, MIN_CONNECTIONS)

    # The handover to the next process: `HotRestartListener` calls these methods.

    def listening_socket(self) -> socket.socket:
        """Return the socket that accepts clients."""
        return self._downstream.listening_socket

    def handover_state(self) -> dict[str, object]:
        """Return the state to send to the next process."""
        return self._transfer.handover_state()

    def stop_accepting(self) -> None:
        """Stop accepting clients and gossiping: the next process does so instead."""
        self._log.event("takeover_started", "another process is taking over from this one")
        if self._membership is not None:
            self._membership.stop()  # the next process represents this balancer
        self._downstream.stop_accepting()
        self._dispatch(interface.TakeoverChanged(True))

    def resume_accepting(self) -> None:
        """Accept clients again: the next process has died."""
        self._log.event(
            "takeover_failed", "the process that took over has ended; accepting connections again"
        )
        self._downstream.resume_accepting()
        self._join_membership()
        self._upstreams.max_connections = self._max_upstream_connections
        self._dispatch(interface.TakeoverChanged(False))

    def clock_offset_ms(self) -> float:
        """Return the offset of this process's clock."""
        return self._clock.offset_ms

    def executed_ids(self) -> ExecutedIds:
        """Return the IDs of requests that may have run, as this process knows them."""
        return self._executed

    def orders(self) -> OrderStore:
        """Return the store of operators' orders."""
        return self._orders

    def descriptor_counts(self) -> DescriptorCounts:
        """Return how many connections this process will hold at most from now on.

        It accepts no new clients, and opens upstream connections only for those it has.
        """
        clients = self._downstream.connection_count()
        upstreams = self._upstreams
        needed = max(upstreams.open_connections, clients + MIN_CONNECTIONS)
        upstreams.max_connections = min(upstreams.max_connections, needed)
        return DescriptorCounts(downstream=clients, upstream=upstreams.max_connections)
