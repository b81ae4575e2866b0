"""What the processes of a hot restart tell each other at once: requests that may have run, and orders.

It has a connection of its own, which the new process opens beside the one of the handover. Each side sends
lines of JSON, at first all that it knows:

- an object of IDs of requests that may have run, with their ages in milliseconds. An ID is sent before its
  attempt begins, and what has come is read before a request is admitted: in between, its client may have left
  one process and come to the other;
- an object with the key `orders`, whose value has operators' cordons and evacuations and the versions of the
  orders. They are sent before an operator's call is answered, as the file may be out of order. Older versions
  of the program get and send none.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import Protocol

from loadbalancer.net.cordons import decode_cordons, encode_cordons
from loadbalancer.net.executed_ids import ExecutedIds
from loadbalancer.net.hot_restart.protocol import END_OF_MESSAGE
from loadbalancer.net.versioned_cordons import VersionedCordons, decode_versions
from loadbalancer.policy.executed_requests import ExecutedRequest

RECEIVE_BYTES = 65_536
MAX_LINE_BYTES = 2_000_000  # of some thousand IDs, or of the orders for as many servers
ORDERS_PREFIX = b'{"orders": {'  # a request whose ID is `orders` has a number there
MAX_UNSENT_BYTES = 2_000_000  # for a process that does not read


class OtherProcess(Protocol):
    """Another process of a hot restart, with which orders are exchanged."""

    def report_orders(self, orders: VersionedCordons) -> None:
        """Send it orders, at once."""


class OrderStore(Protocol):
    """The store of a process's orders."""

    def attach(self, other: OtherProcess) -> None:
        """Exchange orders with another process from now on: it gets all that are known first."""

    def detach(self, other: OtherProcess) -> None:
        """Exchange no more orders with a process that has ended."""

    def merge_orders(self, orders: VersionedCordons, source: OtherProcess) -> None:
        """Apply the orders that a process has sent, as far as they are later than those known."""


class StateExchange:
    """One side of the exchange, until the other process ends."""

    def __init__(
        self,
        connection: socket.socket,
        executed: ExecutedIds,
        loop: asyncio.AbstractEventLoop,
        orders: OrderStore | None = None,
    ) -> None:
        """`orders` is None if the other process is of a version that exchanges IDs alone."""
        self._connection = connection
        self._executed = executed
        self._orders = orders
        self._loop = loop
        self._unsent = b""
        self._received = b""
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Exchange until the other process has ended, then close the connection."""
        self._connection.settimeout(0)
        self._loop.add_reader(self._connection, self.receive)
        self._executed.attach(self)
        if self._orders is not None:
            self._orders.attach(self)
        try:
            await self._ended.wait()
        finally:
            self._executed.detach(self)
            if self._orders is not None:
                self._orders.detach(self)
            self._loop.remove_reader(self._connection)
            self._loop.remove_writer(self._connection)
            self._connection.close()

    def report(self, requests: Iterable[ExecutedRequest]) -> None:
        """Send IDs at once, as far as the kernel takes them."""
        self._queue(encode_executed(requests))

    def report_orders(self, orders: VersionedCordons) -> None:
        """Send orders at once, as far as the kernel takes them."""
        self._queue(encode_orders(orders))

    def _queue(self, message: bytes) -> None:
        was_idle = not self._unsent
        self._unsent += message
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
                self._handle_line(line)
        if len(self._received) > MAX_LINE_BYTES:
            self._ended.set()

    def _handle_line(self, line: bytes) -> None:
        """Handle one message; ValueError or TypeError if it is malformed."""
        if not line.startswith(ORDERS_PREFIX):
            self._executed.restore(decode_executed(line), self)
        elif self._orders is not None:
            self._orders.merge_orders(decode_orders(line), self)


def encode_orders(orders: VersionedCordons) -> bytes:
    """Encode orders as a message."""
    state = {"cordons": encode_cordons(orders.cordons), "versions": orders.versions.encode()}
    return json.dumps({"orders": state}).encode() + END_OF_MESSAGE


def decode_orders(line: bytes) -> VersionedCordons:
    """Decode the orders of a message; ValueError or TypeError if it is malformed."""
    state = json.loads(line)["orders"]
    return VersionedCordons(decode_cordons(state.get("cordons")), decode_versions(state.get("versions")))


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
