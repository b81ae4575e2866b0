"""The exchange of IDs of requests that may have run, between the two processes of a hot restart.

It has a connection of its own, which the new process opens beside the one of the handover: each side sends a
line of JSON with an object of IDs and their ages in milliseconds, at first all that it knows.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import Protocol

from loadbalancer.net.hot_restart.protocol import END_OF_MESSAGE
from loadbalancer.policy.executed_requests import ExecutedRequest

RECEIVE_BYTES = 65_536
MAX_LINE_BYTES = 2_000_000  # of some thousand IDs


class ExecutedSource(Protocol):
    """What one process knows of requests that may have run."""

    def export(self) -> list[ExecutedRequest]:
        """Return all of them."""

    def take_unreported(self) -> list[ExecutedRequest]:
        """Return those since the last call, or since the export."""

    def restore(self, requests: Iterable[ExecutedRequest]) -> None:
        """Add those of the other process."""


class ExecutedExchange:
    """One side of the exchange, until the other process ends."""

    def __init__(
        self, connection: socket.socket, source: ExecutedSource, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._connection = connection
        self._source = source
        self._loop = loop
        self._has_unreported = asyncio.Event()

    def on_recorded(self) -> None:
        """Report soon what has been recorded."""
        self._has_unreported.set()

    async def run(self) -> None:
        """Exchange IDs until the other process has ended, then close the connection."""
        self._connection.settimeout(0)
        try:
            async with asyncio.TaskGroup() as group:
                sending = group.create_task(self._send())
                await self._receive()
                sending.cancel()
        except* OSError:
            pass
        finally:
            self._connection.close()

    async def _send(self) -> None:
        await self._loop.sock_sendall(self._connection, encode_executed(self._source.export()))
        while True:
            await self._has_unreported.wait()
            self._has_unreported.clear()
            await self._loop.sock_sendall(self._connection, encode_executed(self._source.take_unreported()))

    async def _receive(self) -> None:
        received = b""
        while data := await self._loop.sock_recv(self._connection, RECEIVE_BYTES):
            *lines, received = (received + data).split(END_OF_MESSAGE)
            for line in lines:
                with suppress(ValueError, TypeError):
                    self._source.restore(decode_executed(line))
            if len(received) > MAX_LINE_BYTES:
                return


def encode_executed(requests: Iterable[ExecutedRequest]) -> bytes:
    """Encode requests that may have run as a message."""
    ages = {request.client_id.decode("latin-1"): round(request.age_ms) for request in requests}
    return json.dumps(ages).encode() + END_OF_MESSAGE


def decode_executed(line: bytes) -> list[ExecutedRequest]:
    """Decode the requests of a message; ValueError or TypeError if it is malformed."""
    ages = json.loads(line)
    if not isinstance(ages, dict):
        raise TypeError("the message is no object")
    return [ExecutedRequest(str(name).encode("latin-1"), float(age_ms)) for name, age_ms in ages.items()]
