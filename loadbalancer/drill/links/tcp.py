"""A relay for TCP between two processes, on loopback, on which faults are set and cleared while it runs.

    link = TcpLink("b0>s1", "127.9.0.1", "127.9.3.1", ("127.9.1.1", 4000), random.Random(1))
    link.start()
    link.set("slow", LinkFault(delay_ms=50, jitter_ms=10), "back")
    link.clear("slow")

A link leads from one process to another; `there` is the direction of its requests, `back` that of its
answers, and each has faults of its own. What a fault means to TCP is what its peers would see: bytes stay in
order and none goes missing; what is lost comes 200 ms later, as after a retransmission, and a silent cut
holds bytes back until it is cleared. While a link is cut no new connection comes up, for its listener stops
accepting: no packet filter and no right of root is used.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable

from loadbalancer.drill.links.faults import LinkDirection, LinkFault
from loadbalancer.drill.links.listener import Address, FaultyListener
from loadbalancer.drill.links.pipe import ABORTIVE_LINGER, RelayEndpoint, RelayPipe, reset_connection


class TcpLink:
    """The path from one process to another over TCP."""

    def __init__(
        self,
        name: str,
        source: str,
        listen: str,
        target: Address,
        rng: random.Random,
        on_unexpected_call: Callable[[str], None] = lambda name: None,
    ) -> None:
        """Prepare a link; `start` makes it listen.

        `source` is the address that the target sees; `on_unexpected_call` gets the link's name for each
        connection that comes while the target is withdrawn.
        """
        self.name = name
        self._source = source
        self.target = target
        self._on_unexpected_call = on_unexpected_call
        self.directions = {"there": LinkDirection(rng), "back": LinkDirection(rng)}
        self.is_up = True  # whether there is a process at the other end
        self.is_withdrawn = False  # whether nobody may call there any more
        self._listener = FaultyListener(listen, self._on_accepted)
        self._transports: set[asyncio.Transport] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> Address:
        """The address that it listens on."""
        return self._listener.address

    def start(self) -> None:
        """Listen; OSError if the address can't be had."""
        self._listener.accept_connections()

    def set(self, name: str, fault: LinkFault, direction: str = "both") -> None:
        """Set a fault; `direction` is `there`, `back` or `both`."""
        for each in self.directions.values() if direction == "both" else [self.directions[direction]]:
            each.set(name, fault)
        self._apply_faults()

    def clear(self, name: str) -> None:
        """Clear a fault in both directions."""
        for direction in self.directions.values():
            direction.clear(name)
        self._apply_faults()

    def update_target(
        self, *, is_up: bool | None = None, is_withdrawn: bool | None = None, target: Address | None = None
    ) -> None:
        """Follow what became of the process at the other end; None leaves a value as it is."""
        self.is_up = self.is_up if is_up is None else is_up
        self.is_withdrawn = self.is_withdrawn if is_withdrawn is None else is_withdrawn
        self.target = target or self.target
        self._apply_faults()

    def _apply_faults(self) -> None:
        """Refuse, ignore or accept connections, as things stand."""
        directions = self.directions.values()
        if any(d.is_refusing for d in directions) or (not self.is_up and not self.is_withdrawn):
            self._listener.refuse_connections()
        elif any(d.is_cut for d in directions):
            self._listener.ignore_connections()
        else:
            self._listener.accept_connections()

    def _on_accepted(self, sock: socket.socket) -> None:
        if self.is_withdrawn:
            self._on_unexpected_call(self.name)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE_LINGER)
            sock.close()
            return
        sock.setblocking(False)
        task = asyncio.get_running_loop().create_task(self._relay(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(self, sock: socket.socket) -> None:
        """Connect an accepted socket on to the target."""
        loop = asyncio.get_running_loop()
        there = RelayPipe(self.directions["there"])
        back = RelayPipe(self.directions["back"])
        there.partner = back
        back.partner = there
        ends: list[asyncio.Transport] = []

        def _on_closed() -> None:
            if all(end.is_closing() for end in ends):
                there.close()
                back.close()
            self._transports.difference_update([end for end in ends if end.is_closing()])

        near, _ = await loop.connect_accepted_socket(lambda: RelayEndpoint(there, back, _on_closed), sock)
        ends.append(near)
        self._transports.add(near)
        try:
            far, _ = await loop.create_connection(
                lambda: RelayEndpoint(back, there, _on_closed), *self.target, local_addr=(self._source, 0)
            )
        except OSError:
            reset_connection(near)
            return
        if near.is_closing():
            far.close()
            return
        ends.append(far)
        self._transports.add(far)

    def reset_connections(self) -> None:
        """Reset every connection, as when the process at one end dies."""
        for transport in list(self._transports):
            reset_connection(transport)

    def close(self) -> None:
        """Stop, with all connections."""
        self._listener.refuse_connections()
        for task in self._tasks:
            task.cancel()
        self.reset_connections()
