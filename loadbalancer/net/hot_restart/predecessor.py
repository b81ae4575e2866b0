"""The older process of a hot restart, as the new one sees it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

from loadbalancer.net.hot_restart.protocol import (
    END_OF_MESSAGE,
    READY,
    DescriptorCounts,
    decode_counts,
    decode_state,
    socket_path,
)

ANSWER_TIMEOUT_S = 1.0  # the older process answers at once or not at all
MAX_STATE_BYTES = 16_000_000
RECEIVE_BYTES = 65_536
COUNTS_RECEIVE_BYTES = 4_096  # a line of counts takes less than a hundred


class Predecessor:
    """The connection to the older process, with the listening socket and the state that it has sent."""

    def __init__(self, link: socket.socket, listener: socket.socket, state: dict[str, Any]) -> None:
        self.listener = listener
        self.state = state
        self._link = link
        self._unread = b""

    async def take_over(self) -> DescriptorCounts:
        """Say that we are ready; return what the older process still has, now that it accepts no more."""
        loop = asyncio.get_running_loop()
        self._link.setblocking(False)
        with suppress(OSError, ValueError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await loop.sock_sendall(self._link, READY)
                return await self._receive_counts() or DescriptorCounts()
        return DescriptorCounts()

    async def follow_counts(self, on_counts: Callable[[DescriptorCounts], None]) -> None:
        """Pass on what the older process still has, and at its end that it has nothing; then close."""
        with suppress(OSError, ValueError):
            while counts := await self._receive_counts():
                on_counts(counts)
        self._link.close()
        on_counts(DescriptorCounts())

    async def _receive_counts(self) -> DescriptorCounts | None:
        """Return the next counts; None at the end of the older process."""
        loop = asyncio.get_running_loop()
        while END_OF_MESSAGE not in self._unread:
            data = await loop.sock_recv(self._link, COUNTS_RECEIVE_BYTES)
            if not data:
                return None
            self._unread += data
        line, _, self._unread = self._unread.partition(END_OF_MESSAGE)
        return decode_counts(line)


def connect_to_predecessor(folder: Path | None) -> Predecessor | None:
    """Return the process that serves here now; None if there is none that can hand over.

    It blocks: call it before there is an event loop.
    """
    if folder is None:
        return None
    with ExitStack() as opened:
        try:
            link = opened.enter_context(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
            link.settimeout(ANSWER_TIMEOUT_S)
            with socket_path(folder) as path:
                link.connect(path)
            listener, received = _receive_listener(link)
            opened.enter_context(listener)
            state = decode_state(_receive_message(link, received))
        except (OSError, ValueError):
            return None  # we start on our own; what was opened is closed
        opened.pop_all()
    return Predecessor(link, listener, state)


def _receive_listener(link: socket.socket) -> tuple[socket.socket, bytes]:
    """Return the listening socket, and the bytes that came with it."""
    data, descriptors, _, _ = socket.recv_fds(link, RECEIVE_BYTES, 1)
    if not descriptors:
        raise ValueError("the predecessor sent no listening socket")
    return socket.socket(fileno=descriptors[0]), data


def _receive_message(link: socket.socket, data: bytes) -> bytes:
    """Return a whole message, of which `data` has come."""
    while not data.endswith(END_OF_MESSAGE):
        more = link.recv(RECEIVE_BYTES)
        if not more or len(data) > MAX_STATE_BYTES:
            raise ValueError(f"the predecessor's state came in part: {len(data)} bytes")
        data += more
    return data
