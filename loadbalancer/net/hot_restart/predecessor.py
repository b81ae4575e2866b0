"""The old process of a hot restart, as seen by the new one."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any, NamedTuple

from loadbalancer.net.cordon_storage import read_saved_cordons
from loadbalancer.net.hot_restart.protocol import (
    CLOCK_MESSAGE_BYTES,
    END_OF_MESSAGE,
    EXCHANGE,
    EXCHANGE_ALL,
    READY,
    DescriptorCounts,
    decode_clock,
    decode_counts,
    decode_state,
    socket_path,
)
from loadbalancer.net.versioned_cordons import VersionedCordons

ANSWER_TIMEOUT_S = 1.0  # the old process answers at once or not at all
MAX_STATE_BYTES = 16_000_000
RECEIVE_BYTES = 65_536
COUNTS_RECEIVE_BYTES = 4_096  # a line of counts takes less than a hundred


class Exchange(NamedTuple):
    """The second connection to the old process, and what that said first."""

    connection: socket.socket
    clock_offset_ms: float
    has_orders: bool


class Predecessor:
    """The connection to the old process, with the listening socket and the state that it has sent."""

    def __init__(
        self,
        connection: socket.socket,
        listener: socket.socket,
        state: dict[str, Any],
        exchange: Exchange | None = None,
        saved_cordons: VersionedCordons | None = None,
    ) -> None:
        """`exchange` is None if the old process is of a version without it."""
        self.saved_cordons = saved_cordons or VersionedCordons()
        """The cordons that were in the folder before the state was sent."""
        self.exchange = exchange.connection if exchange else None
        """The connection for the IDs of requests that may have run, and for orders."""
        self.exchanges_orders = exchange.has_orders if exchange else False
        """Whether the old process sends and takes orders on it."""
        self.clock_offset_ms = exchange.clock_offset_ms if exchange else None
        """The offset of the clock that the times in the state are of, if it is known."""
        self.listener = listener
        self.state = state
        self._connection = connection
        self._unread = b""

    async def take_over(self) -> DescriptorCounts:
        """Report that we are ready; return the old process's descriptor counts after it stops accepting."""
        loop = asyncio.get_running_loop()
        self._connection.setblocking(False)
        with suppress(OSError, ValueError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await loop.sock_sendall(self._connection, READY)
                return await self._receive_counts() or DescriptorCounts()
        return DescriptorCounts()

    async def follow_counts(self, on_counts: Callable[[DescriptorCounts], None]) -> None:
        """Report each count that the old process sends, and zero counts when it ends; then close."""
        with suppress(OSError, ValueError):
            while counts := await self._receive_counts():
                on_counts(counts)
        self._connection.close()
        on_counts(DescriptorCounts())

    async def _receive_counts(self) -> DescriptorCounts | None:
        """Return the next counts; None if the old process has ended."""
        loop = asyncio.get_running_loop()
        while END_OF_MESSAGE not in self._unread:
            data = await loop.sock_recv(self._connection, COUNTS_RECEIVE_BYTES)
            if not data:
                return None
            self._unread += data
        line, _, self._unread = self._unread.partition(END_OF_MESSAGE)
        return decode_counts(line)


def connect_to_predecessor(folder: Path | None) -> Predecessor | None:
    """Return the process that serves now; None if there is none that can hand over.

    Blocks: call it before the event loop starts.
    """
    if folder is None:
        return None
    saved_cordons = read_saved_cordons(folder)  # before the state: what is saved from now on is newer
    try:
        connection, listener, state = _connect(folder)
    except (OSError, ValueError):
        return None
    return Predecessor(connection, listener, state, _connect_exchange(folder), saved_cordons)


def _connect(folder: Path) -> tuple[socket.socket, socket.socket, dict[str, Any]]:
    """Return a connection to the serving process, its listening socket and its state."""
    with ExitStack() as opened:
        connection = opened.enter_context(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
        connection.settimeout(ANSWER_TIMEOUT_S)
        with socket_path(folder) as path:
            connection.connect(path)
        listener, received = _receive_listener(connection)
        opened.enter_context(listener)
        state = decode_state(_receive_message(connection, received))
        opened.pop_all()
    return connection, listener, state


def _connect_exchange(folder: Path) -> Exchange | None:
    """Return a second connection, for the exchange; None if that is not possible."""
    for command in (EXCHANGE_ALL, EXCHANGE):
        try:
            return _start_exchange(folder, command)
        except (ValueError, ConnectionError):
            continue  # the old process is of a version that does not know the command
        except OSError:
            return None
    return None


def _start_exchange(folder: Path, command: bytes) -> Exchange:
    """Return a connection after a command; ValueError or OSError if the old process does not answer it."""
    with ExitStack() as opened:
        connection, listener, _ = _connect(folder)
        opened.enter_context(connection)
        listener.close()
        connection.sendall(command)
        offset_ms = decode_clock(_receive_exactly(connection, CLOCK_MESSAGE_BYTES))
        opened.pop_all()
    return Exchange(connection, offset_ms, command == EXCHANGE_ALL)


def _receive_exactly(connection: socket.socket, size_bytes: int) -> bytes:
    """Return so many bytes, as those after them are of another message; ValueError at the end."""
    data = b""
    while len(data) < size_bytes:
        more = connection.recv(size_bytes - len(data))
        if not more:
            raise ValueError("the predecessor has closed the connection")
        data += more
    return data


def _receive_listener(connection: socket.socket) -> tuple[socket.socket, bytes]:
    """Return the listening socket, and the bytes received with it."""
    data, descriptors, _, _ = socket.recv_fds(connection, RECEIVE_BYTES, 1)
    if not descriptors:
        raise ValueError("the predecessor sent no listening socket")
    return socket.socket(fileno=descriptors[0]), data


def _receive_message(connection: socket.socket, data: bytes) -> bytes:
    """Return a complete message, of which `data` was received already."""
    while not data.endswith(END_OF_MESSAGE):
        more = connection.recv(RECEIVE_BYTES)
        if not more or len(data) > MAX_STATE_BYTES:
            raise ValueError(f"the predecessor's state is incomplete or too large: {len(data)} bytes")
        data += more
    return data
