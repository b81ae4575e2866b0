"""The exchange of IDs of requests that may have run, between the two processes of a hot restart.

It has a connection of its own, which the new process opens beside the one of the handover: each side sends a
line of JSON with an object of IDs and their ages in milliseconds, at first all that it knows. An ID is sent
before its attempt begins, and what has come is read before a request is admitted: in between, its client may
have left one process and come to the other.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Iterable
from contextlib import suppress

from loadbalancer.net.executed_ids import ExecutedIds
from loadbalancer.net.hot_restart.protocol import END_OF_MESSAGE
from loadbalancer.policy.executed_requests import ExecutedRequest

RECEIVE_BYTES = 65_536
MAX_LINE_BYTES = 2_000_000  # of some thousand IDs
MAX_UNSENT_BYTES = 2_000_000  # for a process that does not read


class ExecutedExchange:
    """One side of the exchange, until the other process ends."""

    def __init__(
        self, connection: socket.socket, executed: ExecutedIds, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._connection = connection
        self._executed = executed
        self._loop = loop
        self._unsent = b""
        self._received = b""
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Exchange IDs until the other process has ended, then close the connection."""
        self._connection.settimeout(0)
        self._loop.add_reader(self._connection, self.receive)
        self._executed.attach(self)
        try:
            await self._ended.wait()
        finally:
            self._executed.detach(self)
            self._loop.remove_reader(self._connection)
            self._loop.remove_writer(self._connection)
            self._connection.close()

    def report(self, requests: Iterable[ExecutedRequest]) -> None:
        """Send IDs at once, as far as the kernel takes them."""
        was_idle = not self._unsent
        self._unsent += encode_executed(requests)
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self._ended.set()
        elif was_idle:
            self._send()

    def _send(self) -> None:
        try:
            sent = self._connection.send(self._unsent)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self._ended.set()
            return
        self._unsent = self._unsent[sent:]
        if self._unsent:
            self._loop.add_writer(self._connection, self._send)
        else:
            self._loop.remove_writer(self._connection)

    def receive(self) -> None:
        """Handle at once what the other process has sent."""
        try:
            while not self._ended.is_set():
                data = self._connection.recv(RECEIVE_BYTES)
                if not data:
                    self._ended.set()
                self._handle(data)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._ended.set()

    def _handle(self, data: bytes) -> None:
        *lines, self._received = (self._received + data).split(END_OF_MESSAGE)
        for line in lines:
            with suppress(ValueError, TypeError):
                self._executed.restore(decode_executed(line), self)
        if len(self._received) > MAX_LINE_BYTES:
            self._ended.set()


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
