"""Loopback addresses and ports for processes."""

from __future__ import annotations

import random
import socket

ADDRESSES_PER_OCTET = 250
MAX_ADDRESSES = 200 * ADDRESSES_PER_OCTET  # per drill; far more than a machine runs processes
_ADDRESS_BLOCKS = range(64, 255)  # second octets; other software on the machine uses lower ones


class LoopbackAddresses:
    """Allocates loopback addresses, each once, and reserves ports."""

    def __init__(self) -> None:
        self._block = random.SystemRandom().choice(_ADDRESS_BLOCKS)
        self._count = 0
        self._reservations: list[socket.socket] = []

    def next_host(self) -> str:
        """Return an address not allocated before; OSError if none is left."""
        self._count += 1
        if self._count > MAX_ADDRESSES:
            raise OSError("no loopback address is left for this drill")
        third, fourth = divmod(self._count, ADDRESSES_PER_OCTET)
        return f"127.{self._block}.{third}.{fourth + 1}"

    def reserve_port(self, host: str) -> int:
        """Return a port that no other process gets: bound, but not listening, until `close`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for option in (socket.SO_REUSEADDR, socket.SO_REUSEPORT):  # the listening process sets one of them
            sock.setsockopt(socket.SOL_SOCKET, option, 1)
        sock.bind((host, 0))
        self._reservations.append(sock)
        return int(sock.getsockname()[1])

    def close(self) -> None:
        """Release all reserved ports."""
        for sock in self._reservations:
            sock.close()


def find_free_port(host: str) -> int:
    """Return a port of a local address on which nothing listens now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])
