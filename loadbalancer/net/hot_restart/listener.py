"""The socket at which the process that serves waits for the next one, and hands over to it."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

from loadbalancer.net.hot_restart.protocol import (
    LISTENER_PADDING,
    READY,
    DescriptorCounts,
    encode_counts,
    encode_state,
    socket_path,
)

COUNT_INTERVAL_S = 0.05  # between two looks at the descriptor counts
MAX_WAITING_SUCCESSORS = 4  # one at a time is started; more are an operator's mistake


class ServingProcess(Protocol):
    """The process that serves, as far as the next one takes it over."""

    def listening_socket(self) -> socket.socket:
        """Return the socket from which clients are accepted."""

    def handover_state(self) -> dict[str, Any]:
        """Return what the next process should know."""

    def stop_accepting(self) -> None:
        """Accept no more: the next process does."""

    def resume_accepting(self) -> None:
        """Accept again: the next process has ended."""

    def descriptor_counts(self) -> DescriptorCounts:
        """Return how many descriptors are still open, by use."""


class HotRestartListener:
    """Waits for the process that is to take over, and hands over to it."""

    def __init__(self, folder: Path, loop: asyncio.AbstractEventLoop, process: ServingProcess) -> None:
        self._folder = folder
        self._loop = loop
        self._process = process
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> str:
        """Listen in the folder, in place of who did before; return a line on why not, if it can't be done."""
        try:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            with socket_path(self._folder) as path:
                draft = f"{path}.{os.getpid()}"
                with suppress(FileNotFoundError):
                    os.unlink(draft)
                self._socket.bind(draft)
                self._socket.listen(MAX_WAITING_SUCCESSORS)
                os.replace(draft, path)
            self._loop.add_reader(self._socket, self._accept)
        except OSError as error:
            if self._socket is not None:
                self._socket.close()
            return f"no process can take over: {error}"
        return ""

    def _accept(self) -> None:
        assert self._socket is not None
        with suppress(OSError):
            link, _ = self._socket.accept()
            link.setblocking(False)
            task = self._loop.create_task(self._hand_over(link))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _hand_over(self, link: socket.socket) -> None:
        try:
            socket.send_fds(link, [LISTENER_PADDING], [self._process.listening_socket().fileno()])
            await self._loop.sock_sendall(link, encode_state(self._process.handover_state()))
            if await self._loop.sock_recv(link, len(READY)) == READY:
                self._process.stop_accepting()
                with suppress(OSError):
                    await self._send_counts_until_closed(link)
                self._process.resume_accepting()
        except OSError:
            return  # the other process ended before it was ready
        finally:
            link.close()

    async def _send_counts_until_closed(self, link: socket.socket) -> None:
        last: DescriptorCounts | None = None
        while True:
            counts = self._process.descriptor_counts()
            if counts != last:
                last = counts
                await self._loop.sock_sendall(link, encode_counts(counts))
            await asyncio.sleep(COUNT_INTERVAL_S)
            if _is_closed(link):
                return


def _is_closed(link: socket.socket) -> bool:
    """Return whether the other process has closed the connection; raises what recv raises otherwise."""
    try:
        return link.recv(1) == b""
    except BlockingIOError:
        return False
