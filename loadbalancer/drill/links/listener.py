"""A listening socket that accepts, refuses, or ignores connections as an unreachable machine does."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

Address = tuple[str, int]
LISTEN_BACKLOG = 128
QUEUE_FILLERS = 3  # connections that fill an accept queue of length 0: Linux holds one or two more


class FaultyListener:
    """Listens on one address, whose port it keeps, and passes accepted sockets to `on_accepted`."""

    def __init__(self, host: str, on_accepted: Callable[[socket.socket], None]) -> None:
        self._host = host
        self._port = 0
        self._on_accepted = on_accepted
        self._socket: socket.socket | None = None
        self._queue_fillers: list[socket.socket] = []

    @property
    def address(self) -> Address:
        """The address that it listens on."""
        return self._host, self._port

    def accept_connections(self) -> None:
        """Listen; OSError if the address is not available.

        Connections that waited while ignored are reset, as after a cut.
        """
        if self._queue_fillers:
            self.refuse_connections()
        if self._socket is None:
            self._listen()

    def refuse_connections(self) -> None:
        """Close the socket: new connections are refused."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        for filler in self._queue_fillers:
            filler.close()
        self._queue_fillers.clear()

    def ignore_connections(self) -> None:
        """Leave new connections waiting: a full accept queue of length 0 takes no SYN."""
        if self._socket is None:
            self._listen()
        if self._queue_fillers or self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._accept()  # connections queued so far came before the fault
        self._socket.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            self._queue_fillers.append(filler)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.address)

    def _listen(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((self._host, self._port))
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise
        self._port = sock.getsockname()[1]
        self._socket = sock
        asyncio.get_running_loop().add_reader(sock, self._accept)

    def _accept(self) -> None:
        assert self._socket is not None
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            self._on_accepted(sock)
