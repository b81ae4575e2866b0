"""The socket on which the serving process waits for its successor, and the handover to it."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

from loadbalancer.net.executed_ids import ExecutedIds
from loadbalancer.net.hot_restart.protocol import (
    EXCHANGE,
    EXCHANGE_ALL,
    LISTENER_PADDING,
    READY,
    DescriptorCounts,
    encode_clock,
    encode_counts,
    encode_state,
    socket_path,
)
from loadbalancer.net.hot_restart.state_exchange import OrderStore, StateExchange

ACCEPT_RETRY_INTERVAL_S = 0.05  # after a failed accept, mostly for lack of descriptors
COUNT_INTERVAL_S = 0.05  # between checks of the descriptor counts
MAX_WAITING_SUCCESSORS = 4  # one at a time is expected; more are an operator's mistake


class ServingProcess(Protocol):
    """The serving process, as the handover needs it."""

    def listening_socket(self) -> socket.socket:
        """Return the socket that accepts clients."""

    def handover_state(self) -> dict[str, Any]:
        """Return the state to send to the next process."""

    def stop_accepting(self) -> None:
        """Stop accepting clients: the next process accepts them."""

    def resume_accepting(self) -> None:
        """Accept clients again: the next process has ended."""

    def descriptor_counts(self) -> DescriptorCounts:
        """Return how many descriptors to count for this process, by use."""

    def clock_offset_ms(self) -> float:
        """Return the offset of the clock that the times in the state are of."""

    def executed_ids(self) -> ExecutedIds:
        """Return the IDs of requests that may have run, as this process knows them."""

    def orders(self) -> OrderStore:
        """Return the store of operators' orders."""


class HotRestartListener:
    """Waits for the next process, and hands over to it."""

    def __init__(self, folder: Path, loop: asyncio.AbstractEventLoop, process: ServingProcess) -> None:
        self._folder = folder
        self._loop = loop
        self._process = process
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> str:
        """Listen in the folder, in place of any earlier process; return the error, or an empty string."""
        try:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            with socket_path(self._folder) as path:
                temporary_path = f"{path}.{os.getpid()}"
                with suppress(FileNotFoundError):
                    os.unlink(temporary_path)
                self._socket.bind(temporary_path)
                self._socket.listen(MAX_WAITING_SUCCESSORS)
                os.replace(temporary_path, path)
            self._loop.add_reader(self._socket, self._accept)
        except OSError as error:
            if self._socket is not None:
                self._socket.close()
            return f"another process can't take over from this one: {error}"
        return ""

    def _accept(self) -> None:
        assert self._socket is not None
        try:
            connection, _ = self._socket.accept()
        except BlockingIOError:
            return
        except OSError:
            # Without a pause, a lack of descriptors would keep the loop busy.
            self._loop.remove_reader(self._socket)
            self._loop.call_later(ACCEPT_RETRY_INTERVAL_S, self._loop.add_reader, self._socket, self._accept)
            return
        connection.settimeout(0)
        task = self._loop.create_task(self._hand_over(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _hand_over(self, connection: socket.socket) -> None:
        try:
            socket.send_fds(connection, [LISTENER_PADDING], [self._process.listening_socket().fileno()])
            await self._loop.sock_sendall(connection, encode_state(self._process.handover_state()))
            command = await self._loop.sock_recv(connection, len(READY))
            if command in (EXCHANGE, EXCHANGE_ALL):
                await self._loop.sock_sendall(connection, encode_clock(self._process.clock_offset_ms()))
                orders = self._process.orders() if command == EXCHANGE_ALL else None
                await StateExchange(connection, self._process.executed_ids(), self._loop, orders).run()
            if command == READY:
                self._process.stop_accepting()
                with suppress(OSError):
                    await self._send_counts_until_closed(connection)
                self._process.resume_accepting()
        except OSError:
            return  # the other process ended before it was ready
        finally:
            connection.close()

    async def _send_counts_until_closed(self, connection: socket.socket) -> None:
        last: DescriptorCounts | None = None
        while True:
            counts = self._process.descriptor_counts()
            if counts != last:
                last = counts
                await self._loop.sock_sendall(connection, encode_counts(counts))
            await asyncio.sleep(COUNT_INTERVAL_S)
            if _is_closed(connection):
                return


def _is_closed(connection: socket.socket) -> bool:
    """Return whether the other process has closed the connection; raises what recv raises otherwise."""
    try:
        return connection.recv(1) == b""
    except BlockingIOError:
        return False
