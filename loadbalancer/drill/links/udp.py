"""A relay for datagrams between two processes, with faults: one direction, the other is a link of its own."""

from __future__ import annotations

import asyncio
import random
from typing import cast

from loadbalancer.drill.links.faults import LinkDirection, LinkFault
from loadbalancer.drill.links.listener import Address


class DatagramLink(asyncio.DatagramProtocol):
    """The path from one process to another over UDP, one direction only."""

    def __init__(self, name: str, target: Address, rng: random.Random) -> None:
        self.name = name
        self._target = target
        self.direction = LinkDirection(rng)
        self.reverse_link: DatagramLink = self
        """The link whose address the target sees as the sender's."""
        self._transport: asyncio.DatagramTransport | None = None
        self.forwarded_count = 0
        self.lost_count = 0

    @property
    def address(self) -> Address:
        """The address that it listens on."""
        assert self._transport is not None
        host, port = self._transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    async def start(self, listen: str) -> None:
        """Listen on a port of the system's choice; OSError if the address can't be had."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(listen, 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forward a datagram as the faults have it."""
        delays_s = self.direction.delivery_delays_s()
        self.lost_count += not delays_s
        for delay_s in delays_s:
            asyncio.get_running_loop().call_later(delay_s, self._forward, data)

    def _forward(self, data: bytes) -> None:
        transport = self.reverse_link._transport
        if transport is not None and not transport.is_closing():
            self.forwarded_count += 1
            transport.sendto(data, self._target)

    def set(self, name: str, fault: LinkFault, direction: str = "both") -> None:
        """Set a fault; `direction` is that of a TCP link, and this one has a single one."""
        self.direction.set(name, fault)

    def clear(self, name: str) -> None:
        """Clear a fault."""
        self.direction.clear(name)

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()
