"""Loopback addresses and ports for processes."""

from __future__ import annotations

import random
import socket

ADDRESSES_PER_OCTET = 250
MAX_ADDRESSES = 200 * ADDRESSES_PER_OCTET  # of one drill: far more than a machine has processes
_ADDRESS_BLOCKS = range(64, 255)  # second octets; below are those that other software on the machine uses


class LoopbackAddresses:
    """Addresses of the loopback network, each given out once, and ports that are kept from others."""

    def __init__(self) -> None:
        self._block = random.SystemRandom().choice(_ADDRESS_BLOCKS)
        self._count = 0
        self._reservations: list[socket.socket] = []

    def next_host(self) -> str:
        """Return an address that was not given out yet; OSError if there is none."""
        self._count += 1
        if self._count > MAX_ADDRESSES:
            raise OSError("a drill has no more addresses")
        third, fourth = divmod(self._count, ADDRESSES_PER_OCTET)
        return f"127.{self._block}.{third}.{fourth + 1}"

    def reserve_port(self, host: str) -> int:
        """Return a port that nobody else gets: bound, but not listened on, until `close`."""
        holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for option in (socket.SO_REUSEADDR, socket.SO_REUSEPORT):  # who is to listen there sets one of them
            holder.setsockopt(socket.SOL_SOCKET, option, 1)
        holder.bind((host, 0))
        self._reservations.append(holder)
        return int(holder.getsockname()[1])

    def close(self) -> None:
        """Release all ports."""
        for holder in self._reservations:
            holder.close()


def find_free_port(host: str) -> int:
    """Return a port of a local address that nobody listens on now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])
