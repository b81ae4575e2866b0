"""Clients that use one connection for one request after another until the balancer ends it, and idle crowds.

Some rest long between requests, some write a request in pieces. A request whose connection ends before a byte
of its answer came is sent once more on another connection, as a client does that it has crossed the end.
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

RECONNECT_PAUSE_S = 0.2  # after a connection that was refused, or is of no use
HEALTH_CHECK_TIMEOUT_S = 1.0
MAX_PAUSE_S = 0.15  # between the requests of a busy client
RESTING_FRACTION = 0.2  # of the clients rest until the balancer ends their connection, or for long
RESTING_PAUSE_S = 4.0
PIECES_FRACTION = 0.3  # of the requests come in two pieces
MAX_PIECE_PAUSE_S = 0.3
LATE_ANSWER_WINDOW_S = 1.5  # past its deadline, in which an answer that comes late is still seen
SAFE_EFFECT = "safe"


class NoAnswerError(Exception):
    """A connection ended before a byte of the answer came."""


@dataclass
class Request:
    """A request that is being sent, with its number of sends."""

    request_class: RequestClass
    logical_id: str
    """The same for a request that is sent again."""
    sends: int = 0


class PersistentClients:
    """A number of such clients for each balancer, until `finish`."""

    def __init__(
        self, balancers: dict[str, str], load: ClientLoad, seed: int, history: HistoryWriter, offset_ms: float
    ) -> None:
        self._balancers = balancers
        self._load = load
        self._random = random.Random(f"{seed}/persistent")
        self._history = history
        self._clock = RealClock(offset_ms)
        self._tasks: list[asyncio.Task[None]] = []
        self._is_over = False
        self._last_number = 0

    def start(self) -> None:
        """Begin to send."""
        for name in self._balancers:
            for index in range(self._load.persistent_connections):
                is_resting = index < RESTING_FRACTION * self._load.persistent_connections
                client = self._run_client(name, is_resting=is_resting)
                self._tasks.append(asyncio.get_running_loop().create_task(client))

    async def finish(self) -> None:
        """Send no further request, and wait for the answers of those that are out."""
        self._is_over = True
        await asyncio.gather(*self._tasks)

    async def _run_client(self, name: str, *, is_resting: bool) -> None:
        host, _, port = self._balancers[name].rpartition(":")
        repeated: Request | None = None
        while not self._is_over:
            try:
                is_healthy = await _is_healthy(host, int(port))
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                is_healthy = False
            if not is_healthy:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            try:
                repeated = await self._use(name, reader, writer, repeated, is_resting=is_resting)
            finally:
                writer.transport.abort()

    async def _use(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
        repeated: Request | None, *, is_resting: bool,
    ) -> Request | None:  # fmt: skip
        """Send requests on a connection until it ends; return one that has crossed its end."""
        while not self._is_over:
            request = repeated or self._new_request()
            repeated = None
            try:
                await self._perform(name, reader, writer, request)
            except NoAnswerError:
                return request if request.sends == 1 else None
            except OSError:
                return None
            longest_s = RESTING_PAUSE_S if is_resting else MAX_PAUSE_S
            if await self._ends_within(reader, self._random.uniform(0.0, longest_s)):
                return None
        return None

    async def _ends_within(self, reader: asyncio.StreamReader, pause_s: float) -> bool:
        """Rest; return whether the balancer has ended the connection meanwhile."""
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
        """Send a request and read its answer; NoAnswerError if the connection ended without a byte of it."""
        request.sends += 1
        kind = request.request_class
        request_id = f"{request.logical_id}-{request.sends}-{self._random.randrange(1 << 48):012x}"
        begun_ms = self._clock.now
        self._history.write(
            "asked", wish=request.logical_id, id=request_id, **{"try": request.sends}, cls=kind.name, to=name,
            deadline=kind.deadline_ms,
        )  # fmt: skip
        written_ms = begun_ms
        has_begun = False
        try:
            await self._write(writer, _encode(request_id, kind))
            written_ms = self._clock.now
            async with asyncio.timeout(kind.deadline_ms / 1_000 + LATE_ANSWER_WINDOW_S):
                first = await reader.readexactly(1)
                has_begun = True
                status, body = await _read_response(reader, first)
        except TimeoutError:
            self._history.write("left", id=request_id)
            raise ConnectionAbortedError from None
        except (OSError, asyncio.IncompleteReadError) as error:
            if has_begun:
                self._history.write("lost", id=request_id, how=type(error).__name__, sent=True)
                raise ConnectionResetError from None
            self._history.write("lost", id=request_id, how="crossed", sent=False)
            self._history.write(
                "crossed", id=request_id, to=name, after_ms=round(self._clock.now - written_ms, 3),
                how=type(error).__name__,
            )  # fmt: skip
            raise NoAnswerError from None
        took_ms = round(self._clock.now - written_ms, 3)
        self._history.write(
            "answered", id=request_id, status=status, took=took_ms, run=execution_id(body, request_id)
        )

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write a request, some in two pieces with a pause between."""
        if self._random.random() < PIECES_FRACTION:
            cut = self._random.randrange(1, len(data))
            writer.write(data[:cut])
            await asyncio.sleep(self._random.uniform(0.0, MAX_PIECE_PAUSE_S))
            data = data[cut:]
        writer.write(data)
        await writer.drain()


def _encode(request_id: str, kind: RequestClass) -> bytes:
    method, body = ("GET", b"") if kind.effect == SAFE_EFFECT else ("POST", b"{}")
    head = (
        f"{method} /{kind.name}/{request_id} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {request_id}\r\n"
        f"X-Class: {kind.name}\r\nX-Deadline: {kind.deadline_ms:.0f}m\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _is_healthy(host: str, port: int) -> bool:
    """Return whether a balancer takes clients; OSError if it can't be reached.

    A relay accepts before it knows: what it can't pass on was never accepted by the balancer's machine.
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


async def _read_response(reader: asyncio.StreamReader, first: bytes) -> tuple[int, bytes]:
    """Return status and body; IncompleteReadError if the connection ends before them."""
    head = first + await reader.readuntil(b"\r\n\r\n")
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


class IdleCrowds:
    """Connections on which nothing is ever sent."""

    def __init__(self, balancers: dict[str, str]) -> None:
        self._balancers = balancers
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self, balancer: str, count: int, for_s: float) -> None:
        """Open connections to a balancer, and keep them for a time."""
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
        """Leave."""
        for task in self._tasks:
            task.cancel()
