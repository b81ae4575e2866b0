"""Attempts at upstreams: connection pools, bodies on their way, and what each way of ending means.

A connection carries one request at a time. Each attempt ends exactly once, and where the ending leaves
a doubt, the request counts as one that may have run: rule two rests on that.
"""

from __future__ import annotations

import asyncio
import math
import time
from bisect import bisect_right
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from loadbalancer.interface import Outcome, Readiness
from loadbalancer.net.address import Address
from loadbalancer.net.config import Config, EndpointList
from loadbalancer.net.descriptors import max_connections_per_side
from loadbalancer.net.http_framing import (
    LAST_CHUNK,
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    AmbiguousLengthError,
    Body,
    BufferBudget,
    BufferReservation,
    Headers,
    MessageTooLargeError,
    body_length,
    encode_chunk,
    peek_socket,
    set_no_delay,
)

# Of the upstream's idle limit: a request that crosses its closing would end as a reset.
IDLE_LIMIT_FRACTION = 0.8
REUSE_DELAY_S = 0.006  # after an answer, until the next request: second answers were seen up to 4 ms late
# A response of unknown length is buffered for so long before its first bytes are passed on.
MAX_RESPONSE_BUFFERING_S = 0.05
STALL_TIMEOUT_S = 20.0  # with no byte moved for so long, whoever should read or write has gone
DRAIN_GRACE_FRACTION = 0.5  # of the grace: the news may have waited in our buffer before it was read
RESPONSE_ERRORS = (
    httptools.HttpParserError,
    httptools.HttpParserUpgrade,
    MessageTooLargeError,
    AmbiguousLengthError,
)


class UpstreamResponse:
    """A response: whole, or its head alone where the body is passed on as it comes."""

    __slots__ = ("body", "headers", "length", "status")

    def __init__(self, status: int, headers: Headers, length: int | None, body: bytes = b"") -> None:
        self.status, self.headers, self.length, self.body = status, headers, length, body


class ResponseReader:
    """Reads one response after another from the bytes of a connection; takes each body out piece by piece."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        """Look for the next response."""
        self.is_reusable = False  # whether the connection may carry a further request
        self.has_head = self.is_complete = False
        self.status = 0
        self.length: int | None = -1  # None where chunks tell it, -1 where only the end does
        self._headers: Headers = []
        self._pieces: list[bytes] = []
        self.buffered_bytes = self._head = self._left = self._size = 0

    def feed(self, data: bytes | memoryview) -> bool:
        """Take bytes; whether the response is whole. Raises what `RESPONSE_ERRORS` names."""
        if not self.has_head and self._head > MAX_HEAD_BYTES:
            raise MessageTooLargeError("headers too large")
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise error.__context__ or error from None
        if not self.has_head:
            self._head += len(data)
        return self.is_complete

    def feed_eof(self) -> bool:
        """The connection has ended; whether that was the proper end of the response."""
        if self.has_head and not self.is_complete and self.length == -1:
            self.is_complete = True
            return True
        return False

    def response(self) -> UpstreamResponse:
        """The response as far as it is here."""
        length = None if self.length == -1 else self.length
        return UpstreamResponse(self.status, self._headers, length, self.take_body())

    def take_body(self) -> bytes:
        """The part of the body that has come since it was last taken."""
        data = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        self._pieces, self.buffered_bytes = [], 0
        return data

    def on_message_begin(self) -> None:
        """Forget an interim response; what comes behind a whole one is for no request of ours."""
        if self.is_complete:
            self.is_reusable = False
        else:
            self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers are passed over."""
        if self.is_complete or self.has_head:
            return
        self._left += len(name) + len(value)
        if self._left > MAX_HEAD_BYTES:
            raise MessageTooLargeError("headers too large")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """The head is whole; an interim one (100 and the like) is passed over."""
        status = self._parser.get_status_code()
        if self.is_complete or status < 200:
            return
        self.has_head, self.status, self.length = True, status, body_length(self._headers)
        if (self.length or 0) > MAX_BODY_BYTES:
            raise MessageTooLargeError("it would never end")

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body until it is taken."""
        if not self.is_complete:
            self._pieces.append(data)
            self.buffered_bytes += len(data)
            self._size += len(data)
            if self._size > MAX_BODY_BYTES:
                raise MessageTooLargeError("it does not end")

    def on_message_complete(self) -> None:
        """The message is whole."""
        if self.has_head and not self.is_complete:
            # Asked here and not later: the parser forgets its flags once the message is over.
            self.is_reusable = self._parser.should_keep_alive()
            self.is_complete = True


class ResponseSink(Protocol):
    """Whom an answer is passed on to as it comes."""

    def send_body_part(self, data: bytes) -> None:
        """Take a piece of the body; `pause` and `resume` of the attempt tell when more should come."""


class AttemptHandler:
    """What an attempt is made for: what it sends, and who hears of it. A probe needs no more than this."""

    body: Body | None = None  # where it is passed on behind the head, as it comes

    def is_needed(self) -> bool:
        """Whether it may still begin, asked in the instant in which it would."""
        return True

    def build_request(self) -> bytes:
        """The request, or its head if the body follows; asked for when the connection is there."""
        raise NotImplementedError

    def on_request_written(self) -> None:
        """The last byte has left."""

    def on_response_started(self, attempt: Attempt, answer: UpstreamResponse) -> ResponseSink | None:
        """A long answer has begun; whoever takes it, or None if nobody wants it any more."""
        return None

    def on_attempt_ended(self, outcome: Outcome, answer: UpstreamResponse | None) -> None:
        """The attempt is over; the answer is there if it came whole and was not passed on before."""


def _meaning(status: int, headers: Headers) -> Outcome:
    if status == 200:
        return Outcome.SERVED
    if status in (503, 504) and (b"x-not-run", b"1") in headers:
        return Outcome.REJECTED
    return Outcome.ERROR


class Attempt:
    """One attempt at a server; its exchange hears of its end exactly once, whatever crosses what."""

    __slots__ = (
        "_caller",
        "_coming",
        "_connection",
        "_dialled",
        "_exchange",
        "_limit",
        "_moved",
        "_over",
        "_pool",
        "_task",
        "_timeout_s",
        "_timer",
        "_write_by",
        "connect_duration_s",
    )

    def __init__(self, pool: ConnectionPool, exchange: AttemptHandler) -> None:
        self._pool, self._exchange = pool, exchange
        self._over = False
        self._coming = exchange.body is not None  # whether its body was not whole at the start
        self._connection: UpstreamConnection | None = None
        self._dialled: UpstreamConnection | None = None  # that is coming up
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._limit: asyncio.TimerHandle | None = None
        self._timeout_s = self._moved = 0.0
        self._write_by = math.inf
        self.connect_duration_s: float | None = None  # that its connection took to come up, if it opened one
        self._caller: ResponseSink | None = None

    def start(self, timeout_s: float, within_s: float = math.inf, connect_s: float = math.inf) -> None:
        """Begin on an idle connection, or open one; nothing is reported before this returns.

        The time runs from here, or, where the body is still coming, from its last byte on. That byte leaves
        within `within_s`, or never; a connection that is opened comes up within `connect_s`, or never.
        """
        loop = self._pool.pools.loop
        self._timeout_s = timeout_s
        if within_s < math.inf:
            self._write_by = time.monotonic() + within_s
            self._limit = loop.call_later(within_s, self.cancel_if_unwritten, Outcome.CONNECT_FAILED)
        if not self._coming:
            self._timer = loop.call_later(timeout_s, self._on_timeout)
        else:
            self._watch()
        connection = self._pool.take_idle()
        if connection is not None:
            self._begin(connection)
        elif self._pool.pools.ensure_capacity():
            self._dialled = UpstreamConnection(self._pool)
            self._task = loop.create_task(self._connect(self._dialled, connect_s))
        else:
            loop.call_soon(self._finish, Outcome.CONNECT_FAILED)

    def cancel(self) -> None:
        """Stop waiting: the connection is closed, which tells the upstream."""
        self._finish(Outcome.CANCELLED)

    def cancel_if_unwritten(self, outcome: Outcome = Outcome.NOT_SENT) -> None:
        """End it unless its last byte has left: then it can't have begun, and never will."""
        if not self._is_written():
            self._finish(outcome)

    def is_unwritten(self) -> bool:
        """Whether it is out and its last byte has not left."""
        return not (self._over or self._is_written())

    def _is_written(self) -> bool:
        return self._connection is not None and self._connection.is_written()

    # ---- what its connection tells ----------------------------------------------------------

    def on_request_written(self) -> None:
        """The last byte has left: from now on the answer is waited for."""
        self._exchange.on_request_written()
        if self._coming and not self._over:
            self._set_timer(self._timeout_s, self._on_timeout)

    def on_progress(self) -> None:
        """Bytes have gone one way or the other."""
        self._moved = time.monotonic()

    def is_streaming(self) -> bool:
        """Whether the answer goes on as it comes: there is no way back."""
        return self._caller is not None

    def start_streaming(self, reader: ResponseReader) -> None:
        """The answer is long: let whoever waits for it have it as it comes."""
        if not self._is_written():
            self.on_connection_failed()
            return
        self._caller = self._exchange.on_response_started(self, reader.response())
        if self._caller is None:
            self.cancel()
        else:
            self._watch()

    def stream(self, data: bytes) -> None:
        """Pass a piece on."""
        if self._caller is not None and data:
            self._caller.send_body_part(data)

    def on_response_completed(self, reader: ResponseReader) -> None:
        """The response is whole."""
        if self._caller is not None:
            self._finish(Outcome.SERVED, clean=True)
        else:
            answer = reader.response()
            outcome = _meaning(answer.status, answer.headers)
            if outcome is Outcome.SERVED and not self._is_written():
                # Guards against an answer to what was asked before: nobody begins before the last byte.
                self.on_connection_failed()
            else:
                self._finish(outcome, answer, clean=True)

    def on_connection_failed(self) -> None:
        """The connection ended or carried what can't be passed on."""
        self._finish(Outcome.RESET)

    # ---- what the caller tells ---------------------------------------------------------------

    def pause(self) -> None:
        """The caller is behind: let the upstream wait."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """The caller has caught up."""
        if self._connection is not None:
            self.on_progress()
            self._connection.resume()

    # ---- times and ends ----------------------------------------------------------------------

    def _set_timer(self, after_s: float, then: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._pool.pools.loop.call_later(after_s, then)

    def _watch(self) -> None:
        """Time what moves, not the whole: long bodies take as long as they take."""
        self.on_progress()
        self._set_timer(STALL_TIMEOUT_S, self._look)

    def _look(self) -> None:
        left_s = self._moved + STALL_TIMEOUT_S - time.monotonic()
        if left_s > 0:
            self._set_timer(left_s, self._look)
        else:
            self._finish(Outcome.TIMED_OUT)

    async def _connect(self, connection: UpstreamConnection, within_s: float) -> None:
        begun = time.monotonic()
        try:
            async with asyncio.timeout(min(within_s, self._pool.pools.config.connect_timeout_ms / 1000)):
                await self._pool.connect(connection)
                self.connect_duration_s = time.monotonic() - begun
        except (OSError, TimeoutError):
            self._task = None
            self._finish(Outcome.CONNECT_FAILED)
            return
        self._task = None
        wanted = not self._over and self._exchange.is_needed()  # its own end may follow from the answer
        if self._over:  # cancelled while the connection came up
            connection.close()
        elif not wanted:
            self._finish(Outcome.NOT_SENT)
        elif not self._pool.can_start_attempt() or time.monotonic() >= self._write_by:
            # Guards against a send that begins late: while we connected the server was told to drain, or
            # started anew, or what it remembers of an earlier attempt ran out.
            self._finish(Outcome.CONNECT_FAILED)
        else:
            self._begin(connection)

    def _begin(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        connection.send_request(self, self._exchange.build_request(), self._exchange.body)

    def _on_timeout(self) -> None:
        # Nothing written means that it never ran, whatever kept it from being written.
        self._finish(Outcome.TIMED_OUT if self._connection else Outcome.CONNECT_FAILED)

    def _finish(self, outcome: Outcome, answer: UpstreamResponse | None = None, clean: bool = False) -> None:
        if self._over:
            return
        self._over = True
        for timer in (self._timer, self._limit):
            if timer is not None:
                timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self._dialled is not None and self._connection is None:
            self._dialled.close()
        if self._connection is not None:
            unwritten = not self._connection.is_written()
            if unwritten and outcome in (Outcome.RESET, Outcome.TIMED_OUT, Outcome.ERROR):
                outcome = Outcome.CONNECT_FAILED  # the last byte never left: it can't have begun
            self._connection.release(reuse=clean)
        self._exchange.on_attempt_ended(outcome, answer)


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to an upstream, in its pool for as long as it is idle."""

    def __init__(self, pool: ConnectionPool) -> None:
        """It counts as open from now on, until it is closed."""
        self.pool = pool
        pool.pools.open_connections += 1
        self.idle_since_s = 0.0
        self._buffers = pool.pools.buffers
        self._unsent, self._unread = BufferReservation(self._buffers), BufferReservation(self._buffers)
        self._attempt: Attempt | None = None
        self._body: Body | None = None  # that is passed on behind the head
        self._transport: asyncio.Transport | None = None
        self._reader: ResponseReader | None = None
        self._hold: asyncio.TimerHandle | None = None
        self._choked = self._paused = self._ended = self._written = self._closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have writes reported exactly: any byte that stays in our buffer pauses writing."""
        self._transport = cast(asyncio.Transport, transport)
        set_no_delay(transport)
        self._transport.set_write_buffer_limits(high=0, low=0)

    # ---- the request ---------------------------------------------------------------------------

    def send_request(self, attempt: Attempt, request: bytes, body: Body | None) -> None:
        """Send a request, with the body behind it if that is still coming, and wait for its response."""
        assert self._transport is not None
        self._attempt, self._body, self._written = attempt, body, False
        self._reader = self._reader or ResponseReader()
        self._reader.reset()
        self._ended = body is None
        self._transport.write(request)
        if body is None:
            self._look_if_written()
        else:
            body.stream_to(self)

    def write(self, data: bytes) -> None:
        """Pass a piece of the body on."""
        assert self._transport is not None and self._body is not None
        self._transport.write(data if self._body.length is not None else encode_chunk(data))
        if self._attempt is not None:
            self._attempt.on_progress()

    def end(self) -> None:
        """The body is whole."""
        assert self._transport is not None and self._body is not None
        self._ended = True
        if self._body.length is None:
            self._transport.write(LAST_CHUNK)
        self._look_if_written()

    def is_ready(self) -> bool:
        """Whether more of the body should come now."""
        return not self._choked

    def pause_writing(self) -> None:
        """Bytes are still with us."""
        assert self._transport is not None
        self._choked = True
        self._unsent.resize(self._transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """The last byte has left our buffer."""
        self._choked = False
        self._unsent.resize(0)
        if self._attempt is None:
            return
        self._attempt.on_progress()
        self._look_if_written()
        if self._body is not None and not self._ended:
            self._body.on_sink_ready()

    def _look_if_written(self) -> None:
        assert self._transport is not None
        is_out = self._transport.get_write_buffer_size() == 0 and not self._transport.is_closing()
        if self._attempt is not None and self._ended and is_out and not self._written:
            self._written = True
            self._attempt.on_request_written()

    def is_written(self) -> bool:
        """Whether the last byte of the request has left."""
        return self._written

    def is_alive(self) -> bool:
        """Look at the socket itself: the end may have come since the loop last looked."""
        if self._closed or self._transport is None or self._transport.is_closing():
            return False
        return peek_socket(self._transport) is None  # neither the end, nor bytes that nobody asked for

    # ---- the response --------------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where to read to."""
        return self._buffers.receive_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Read on; anything that is no proper response ends the connection."""
        attempt, reader = self._attempt, self._reader
        if attempt is None or reader is None:
            self.close()
            return
        attempt.on_progress()
        try:
            reader.feed(self._buffers.received(nbytes))
        except RESPONSE_ERRORS:
            attempt.on_connection_failed()
            return
        self._look_at(attempt, reader)

    def _look_at(self, attempt: Attempt, reader: ResponseReader) -> None:
        """Do with a response what can be done as far as it is here."""
        if attempt.is_streaming():
            attempt.stream(reader.take_body())
        elif not reader.is_complete and reader.has_head:
            held = max(reader.buffered_bytes, reader.length or 0)
            if reader.status != 200:
                if held > MAX_BUFFERED_BODY_BYTES:
                    attempt.on_response_completed(reader)  # nobody needs the rest of it
                    return
            elif held > MAX_BUFFERED_BODY_BYTES or (reader.buffered_bytes and self._buffers.is_full()):
                attempt.start_streaming(reader)
            elif reader.length in (None, -1) and self._hold is None:
                self._hold = self.pool.pools.loop.call_later(MAX_RESPONSE_BUFFERING_S, self._held_long_enough)
        self._unread.resize(reader.buffered_bytes)
        if reader.is_complete and self._attempt is attempt:
            attempt.on_response_completed(reader)

    def _held_long_enough(self) -> None:
        attempt, reader, self._hold = self._attempt, self._reader, None
        if attempt is not None and reader is not None and reader.buffered_bytes:
            attempt.start_streaming(reader)
            self._unread.resize(reader.buffered_bytes)

    def pause(self) -> None:
        """Read no more for now."""
        if not self._paused and self._transport is not None and not self._transport.is_closing():
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if self._paused and self._transport is not None and not self._transport.is_closing():
            self._paused = False
            self._transport.resume_reading()

    def eof_received(self) -> None:
        """The upstream ends, which may be the end of its response; the transport closes by itself."""
        if self._attempt is not None and self._reader is not None:
            if self._reader.feed_eof():
                self._look_at(self._attempt, self._reader)
            else:
                self._attempt.on_connection_failed()

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the books, and tell the attempt that was out."""
        self._leave()
        if self._attempt is not None:
            self._attempt.on_connection_failed()

    # ---- its pool ------------------------------------------------------------------------------

    def release(self, reuse: bool) -> None:
        """The attempt is over: keep the connection if its end was clean, else close it."""
        self._attempt = None
        if self._body is not None and not self._body.is_complete:
            self._body.discard()
            self._body.on_sink_ready()
        self._body = None
        if self._hold is not None:
            self._hold.cancel()
            self._hold = None
        self._unread.resize(0)
        if reuse and self._written and self._reader is not None and self._reader.is_reusable:
            self.resume()
            self.pool.return_idle(self)
        else:
            self.close()

    def close(self) -> None:
        """Close at once, for the upstream to notice."""
        self._leave()
        if self._transport is not None:
            self._transport.abort()

    def _leave(self) -> None:
        self._unsent.resize(0)
        if not self._closed:
            self._closed = True
            self.pool.on_connection_closed(self)


class ConnectionPool:
    """The connections to one server at one address since one start."""

    def __init__(self, upstreams: UpstreamPools, name: str, address: Address, since_ms: float) -> None:
        self.pools, self.server, self.address, self.started_at_ms = upstreams, name, address, since_ms
        self.idle_connections: list[UpstreamConnection] = []  # the newest last
        self.draining_since_s: float | None = None
        self.is_current = True

    def can_start_attempt(self) -> bool:
        """Whether the list, operators and the drain grace if it runs leave room for a send only now ready."""
        if not self.is_current or self.server in self.pools.cordoned:
            return False
        grace_s = DRAIN_GRACE_FRACTION * self.pools.config.drain_grace_ms / 1000
        return self.draining_since_s is None or time.monotonic() < self.draining_since_s + grace_s

    def take_idle(self) -> UpstreamConnection | None:
        """The newest idle connection that lives and has rested; the dead ones go."""
        place = bisect_right(self.idle_connections, time.monotonic() - REUSE_DELAY_S, key=_idle_since)
        while place:
            place -= 1
            connection = self.idle_connections.pop(place)
            if time.monotonic() - connection.idle_since_s < self.pools.max_idle_s and connection.is_alive():
                return connection
            connection.close()
        return None

    async def connect(self, connection: UpstreamConnection) -> None:
        """Open a connection; one that does not come up is closed."""
        try:
            await self.pools.loop.create_connection(lambda: connection, *self.address)
        except BaseException:
            connection.close()
            raise

    def return_idle(self, connection: UpstreamConnection) -> None:
        """Back to the idle ones, unless the server has changed meanwhile."""
        if not self.is_current or self.draining_since_s is not None or self.server in self.pools.cordoned:
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        self.idle_connections.append(connection)

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """A connection has closed."""
        self.pools.open_connections -= 1
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def close_idle(self) -> None:
        """Close what nobody uses."""
        for connection in self.idle_connections[:]:
            connection.close()


class UpstreamPools:
    """The pools of all servers that discovery has named."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, buffers: BufferBudget) -> None:
        self.config, self.loop, self.buffers = config, loop, buffers
        self.max_idle_s = IDLE_LIMIT_FRACTION * config.idle_timeout_ms / 1000
        self.open_connections = 0
        self.max_connections = max_connections_per_side(config.max_sockets)
        self.cordoned: set[str] = set()  # by operators: nothing begins there
        self._pools: dict[str, ConnectionPool] = {}

    def update_endpoints(self, news: EndpointList) -> None:
        """Follow the list: a server that is gone, moved or restarted loses its connections."""
        if news.is_full_snapshot:
            for name in self._pools.keys() - {e.endpoint.server for e in news.endpoints}:
                self._drop(name)
        for endpoint in news.endpoints:
            member = endpoint.endpoint
            if member.readiness is Readiness.DEAD:
                self._drop(member.server)
                continue
            pool = self._pools.get(member.server)
            if pool and (pool.address, pool.started_at_ms) != (endpoint.address, member.started_at_ms):
                self._drop(member.server)
                pool = None
            if pool is None:
                pool = self._pools[member.server] = ConnectionPool(
                    self, member.server, endpoint.address, member.started_at_ms
                )
            if member.readiness is Readiness.READY:
                pool.draining_since_s = None
            elif pool.draining_since_s is None:
                pool.draining_since_s = time.monotonic()
                pool.close_idle()

    def _drop(self, name: str) -> None:
        pool = self._pools.pop(name, None)
        if pool is not None:
            pool.is_current = False
            pool.draining_since_s = pool.draining_since_s or time.monotonic()
            pool.close_idle()

    def start_attempt(
        self,
        server: str,
        timeout_s: float,
        exchange: AttemptHandler,
        within_s: float = math.inf,
        connect_s: float = math.inf,
    ) -> Attempt | None:
        """Start an attempt, or None for a server that no list names any more; see `Attempt.start`."""
        pool = self._pools.get(server)
        if pool is None:
            return None
        attempt = Attempt(pool, exchange)
        attempt.start(timeout_s, within_s, connect_s)
        return attempt

    def cordon(self, server: str) -> None:
        """Begin nothing at a server from now on, not even on connections that are coming up."""
        self.cordoned.add(server)
        self.close_idle(server)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to one server."""
        if pool := self._pools.get(server):
            pool.close_idle()

    def ensure_capacity(self) -> bool:
        """Whether one more connection may be opened; the longest idle one makes way."""
        if self.open_connections < self.max_connections:
            return True
        oldest = min(
            (p.idle_connections[0] for p in self._pools.values() if p.idle_connections),
            key=_idle_since,
            default=None,
        )
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def close_expired(self) -> None:
        """Close what stands idle for too long, before the upstreams do."""
        limit = time.monotonic() - self.max_idle_s
        for pool in self._pools.values():
            while pool.idle_connections and pool.idle_connections[0].idle_since_s < limit:
                pool.idle_connections[0].close()


def _idle_since(connection: UpstreamConnection) -> float:
    return connection.idle_since_s
