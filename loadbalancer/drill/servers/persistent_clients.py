"""Clients that reuse a connection until the balancer closes it, and connections that stay idle.

Some clients pause for long between requests, some write a request in pieces. A request whose connection ends
before the first byte of its response is sent once more on another connection, as clients do for one that
crossed the close.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass
from http import HTTPStatus

from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.history import HistoryWriter
from loadbalancer.drill.scenario.tables import ClientLoad, RequestClass
from loadbalancer.drill.servers.specification import execution_id

RECONNECT_PAUSE_S = 0.2  # after a refused connection or a failed health check
HEALTH_CHECK_TIMEOUT_S = 1.0
MAX_PAUSE_S = 0.15  # between the requests of a busy client
LONG_PAUSE_FRACTION = 0.2  # of the clients make long pauses, which end if the balancer closes the connection
MAX_LONG_PAUSE_S = 4.0
SPLIT_REQUEST_FRACTION = 0.3  # of the requests are written in two pieces
MAX_PIECE_PAUSE_S = 0.3
LATE_ANSWER_WINDOW_S = 1.5  # after its deadline, in which a late response is still recorded
SAFE_EFFECT = "safe"


class NoResponseError(Exception):
    """A connection ended before the first byte of the response."""


@dataclass
class Request:
    """A request, and how many times it was sent."""

    request_class: RequestClass
    logical_id: str
    """Stays the same when the request is sent again."""
    send_count: int = 0


class PersistentClients:
    """A number of persistent clients for each balancer, until `finish`."""

    def __init__(
        self, balancers: dict[str, str], load: ClientLoad, seed: int, history: HistoryWriter, offset_ms: float
    ) -> None:
        self._balancers = balancers
        self._load = load
        self._random = random.Random(f"{seed}/persistent")
        self._history = history
        self._clock = RealClock(offset_ms)
        self._tasks: list[asyncio.Task[None]] = []
        self._is_finishing = False
        self._last_number = 0

    def start(self) -> None:
        """Start all clients."""
        for name in self._balancers:
            for index in range(self._load.persistent_connections):
                has_long_pauses = index < LONG_PAUSE_FRACTION * self._load.persistent_connections
                client = self._run_client(name, has_long_pauses=has_long_pauses)
                self._tasks.append(asyncio.get_running_loop().create_task(client))

    async def finish(self) -> None:
        """Send no further request, and wait for outstanding responses."""
        self._is_finishing = True
        await asyncio.gather(*self._tasks)

    async def _run_client(self, name: str, *, has_long_pauses: bool) -> None:
        host, _, port = self._balancers[name].rpartition(":")
        unanswered: Request | None = None
        while not self._is_finishing:
            try:
                is_healthy = await _is_healthy(host, int(port))
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                is_healthy = False
            if not is_healthy:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            try:
                unanswered = await self._use_connection(
                    name, reader, writer, unanswered, has_long_pauses=has_long_pauses
                )
            finally:
                writer.transport.abort()

    async def _use_connection(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
        unanswered: Request | None, *, has_long_pauses: bool,
    ) -> Request | None:  # fmt: skip
        """Send requests on a connection until it ends; return the one to send again, if any."""
        while not self._is_finishing:
            request = unanswered or self._new_request()
            unanswered = None
            try:
                await self._perform(name, reader, writer, request)
            except NoResponseError:
                return request if request.send_count == 1 else None
            except OSError:
                return None
            max_pause_s = MAX_LONG_PAUSE_S if has_long_pauses else MAX_PAUSE_S
            if await self._closes_within(reader, self._random.uniform(0.0, max_pause_s)):
                return None
        return None

    async def _closes_within(self, reader: asyncio.StreamReader, pause_s: float) -> bool:
        """Pause; return whether the balancer closed the connection meanwhile."""
        try:
            async with asyncio.timeout(pause_s):
                return await reader.read(1) == b""
        except TimeoutError:
            return reader.at_eof()
        except OSError:
            return True

    def _new_request(self) -> Request:
        classes = self._load.classes
        self._last_number += 1
        [request_class] = self._random.choices(classes, [c.weight for c in classes])
        return Request(request_class, f"p{self._last_number}")

    async def _perform(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: Request
    ) -> None:
        """Send a request and read the response; NoResponseError if the connection ends before it."""
        request.send_count += 1
        request_class = request.request_class
        request_id = f"{request.logical_id}-{request.send_count}-{self._random.randrange(1 << 48):012x}"
        began_ms = self._clock.now
        self._history.write(
            "asked", wish=request.logical_id, id=request_id, **{"try": request.send_count},
            cls=request_class.name, to=name, deadline=request_class.deadline_ms,
        )  # fmt: skip
        written_ms = began_ms
        has_response_started = False
        try:
            await self._write(writer, _encode(request_id, request_class))
            written_ms = self._clock.now
            async with asyncio.timeout(request_class.deadline_ms / 1_000 + LATE_ANSWER_WINDOW_S):
                first_byte = await reader.readexactly(1)
                has_response_started = True
                status, body = await _read_response(reader, first_byte)
        except TimeoutError:
            self._history.write("left", id=request_id)
            raise ConnectionAbortedError from None
        except (OSError, asyncio.IncompleteReadError) as error:
            if has_response_started:
                self._history.write("lost", id=request_id, how=type(error).__name__, sent=True)
                raise ConnectionResetError from None
            self._history.write("lost", id=request_id, how="crossed", sent=False)
            self._history.write(
                "crossed", id=request_id, to=name, after_ms=round(self._clock.now - written_ms, 3),
                how=type(error).__name__,
            )  # fmt: skip
            raise NoResponseError from None
        took_ms = round(self._clock.now - written_ms, 3)
        self._history.write(
            "answered", id=request_id, status=status, took=took_ms, run=execution_id(body, request_id)
        )

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write a request, some in two pieces with a pause between."""
        if self._random.random() < SPLIT_REQUEST_FRACTION:
            cut = self._random.randrange(1, len(data))
            writer.write(data[:cut])
            await asyncio.sleep(self._random.uniform(0.0, MAX_PIECE_PAUSE_S))
            data = data[cut:]
        writer.write(data)
        await writer.drain()


def _encode(request_id: str, request_class: RequestClass) -> bytes:
    method, body = ("GET", b"") if request_class.effect == SAFE_EFFECT else ("POST", b"{}")
    head = (
        f"{method} /{request_class.name}/{request_id} HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Request-Id: {request_id}\r\nX-Class: {request_class.name}\r\n"
        f"X-Deadline: {request_class.deadline_ms:.0f}m\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _is_healthy(host: str, port: int) -> bool:
    """Return whether a balancer accepts clients; OSError if it can't be reached.

    A successful connect proves nothing: a relay accepts connections before the balancer's machine does.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\n\r\n")
        async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
            status, _ = await _read_response(reader, b"")
    except (asyncio.IncompleteReadError, TimeoutError):
        return False
    finally:
        writer.transport.abort()
    return status == HTTPStatus.OK


async def _read_response(reader: asyncio.StreamReader, prefix: bytes) -> tuple[int, bytes]:
    """Return a response's status and body; IncompleteReadError if the connection ends early."""
    head = prefix + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    status = int(lines[0].split()[1])
    if headers.get("transfer-encoding") == "chunked":
        return status, await _read_chunks(reader)
    return status, await reader.readexactly(int(headers.get("content-length", "0")))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


class IdleConnections:
    """Connections on which nothing is ever sent."""

    def __init__(self, balancers: dict[str, str]) -> None:
        self._balancers = balancers
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self, balancer: str, count: int, for_s: float) -> None:
        """Open connections to a balancer, and close them after `for_s`."""
        for _ in range(count):
            task = asyncio.get_running_loop().create_task(self._keep_open(balancer, for_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _keep_open(self, balancer: str, for_s: float) -> None:
        host, _, port = self._balancers[balancer].rpartition(":")
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            try:
                await asyncio.sleep(for_s)
            finally:
                writer.transport.abort()

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
