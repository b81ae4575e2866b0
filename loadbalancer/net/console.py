"""The operators' side: a listener of its own, a few callers at a time, one call to a connection.

Every call is answered at once from what is known in memory, so nothing that clients or upstreams do can
hold it up but the event loop itself.
"""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Protocol, cast

import httptools

from loadbalancer.net.config import Address
from loadbalancer.net.http_framing import Headers, encode_response, set_no_delay
from loadbalancer.net.metrics import CONTENT_TYPE

CALLERS_MAX = 16  # held at once; the spare sockets have room for them, and the longest there makes way
CALL_S = 3.0  # a call that is not whole by then is turned away
LINGER_S = 0.5  # how long we wait for the caller to close first, so that no reset overtakes the answer
ACCEPT_PAUSE_S = 0.05  # after an accept that failed
OVER_MOST_MS = 3_600_000.0  # that leaving a zone may take
CALL_MAX = 8_192  # bytes of a whole call
_METHODS = {
    "/admin/health": "GET",
    "/admin/stats": "GET",
    "/admin/peers": "GET",
    "/admin/list": "GET",
    "/metrics": "GET",
    "/admin/zones": "GET",
    "/admin/zone/leave": "POST",
    "/admin/zone/return": "POST",
    "/admin/cordon": "POST",
    "/admin/uncordon": "POST",
}
_TEXT: Headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
_JSON: Headers = [(b"Content-Type", b"application/json")]


class ConsoleBackend(Protocol):
    """What the console asks, and tells, the balancer."""

    def is_serving(self) -> bool:
        """Whether clients are taken."""

    def figures(self) -> dict[str, object]:
        """The figures as they stand."""

    def metrics(self) -> str:
        """The same figures in Prometheus' form."""

    def membership(self) -> dict[str, object] | None:
        """What is believed of the other balancers; None where membership is off."""

    def list_report(self) -> dict[str, object]:
        """Where the list of servers is from, and how old it is."""

    def zones(self) -> dict[str, dict[str, float]]:
        """How it stands with each zone."""

    def move_zone(self, zone: str, out: bool, over_ms: float, force: bool) -> tuple[int, str]:
        """Leave a zone, or come back to it; the answer's status and text."""

    def cordon(self, server: str, out: bool) -> bool:
        """Leave a server out from now on, or let it serve again; False if nobody has that ID."""


class _Call(asyncio.Protocol):
    """One operator's connection and its one call."""

    def __init__(self, console: Console) -> None:
        self._console = console
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._target = self._body = b""
        self._size = 0
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let the time for the call run."""
        self._transport = cast(asyncio.Transport, transport)
        set_no_delay(transport)
        self._timer = self._console.loop.call_later(CALL_S, self._answer, 408, "the call is not whole")

    def on_url(self, part: bytes) -> None:
        """Collect the target."""
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Let a caller go on that asks first."""
        if name.lower() == b"expect" and value.lower() == b"100-continue" and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """The call is whole."""
        if not self._answered:
            method = self._parser.get_method().decode("latin-1")
            self._answer(*self._console.answer(method, self._target, self._body))

    def data_received(self, data: bytes) -> None:
        """Read on; what comes after the answer is read and dropped."""
        if self._answered:
            return
        self._size += len(data)
        if self._size > CALL_MAX:
            self._answer(413, "the call is too large")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(400, "not a call that can be read")

    def _answer(self, status: int, text: str, headers: Headers = _TEXT) -> None:
        if self._answered or self._transport is None or self._transport.is_closing():
            return
        self._answered = True
        self._transport.write(encode_response(status, headers, text.encode() + b"\n", close=True))
        self._transport.write_eof()
        self._console.loop.call_later(LINGER_S, self._transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Make room."""
        if self._timer is not None:
            self._timer.cancel()
        self._console.closed(self)

    def drop(self) -> None:
        """Make way for the next caller."""
        if self._transport is not None:
            self._transport.abort()


class Console:
    """Listens for operators and answers their calls."""

    def __init__(self, address: Address, loop: asyncio.AbstractEventLoop, office: ConsoleBackend) -> None:
        self.loop, self._office = loop, office
        self._calls: dict[_Call, None] = {}  # the longest there first
        self._tasks: set[asyncio.Task[None]] = set()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(address)
        self.address = self._socket.getsockname()

    def start(self) -> None:
        """Listen."""
        self._socket.listen(CALLERS_MAX)
        self.loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self._socket.accept()
        except BlockingIOError:
            return
        except OSError:
            # Guards against spinning on a caller that can't be let in: it is looked for again in a moment.
            self.loop.remove_reader(self._socket)
            self.loop.call_later(ACCEPT_PAUSE_S, self.loop.add_reader, self._socket, self._accept)
            return
        if len(self._calls) >= CALLERS_MAX:
            longest = next(iter(self._calls))
            del self._calls[longest]
            longest.drop()
        sock.setblocking(False)
        call = _Call(self)
        self._calls[call] = None
        task = self.loop.create_task(self._connect(call, sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, call: _Call, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: call, sock)
        except OSError:
            sock.close()
            self.closed(call)

    def closed(self, call: _Call) -> None:
        """A caller has gone."""
        self._calls.pop(call, None)

    def _move_zone(self, out: bool, body: bytes) -> tuple[int, str]:
        if (told := _read_move(body)) is None:
            return 400, "the body must be a zone, then over=SECONDS and force at will"
        return self._office.move_zone(told[0], out, *told[1:])

    def answer(self, method: str, target: bytes, body: bytes) -> tuple[int, str, Headers]:
        """Status, text and headers for one call."""
        path = target.partition(b"?")[0].decode("latin-1")
        if (wanted := _METHODS.get(path)) is None:
            return 404, "no such call", _TEXT
        if method != wanted:
            return 405, f"only {wanted}", [(b"Allow", wanted.encode()), *_TEXT]
        if path == "/admin/stats":
            return 200, json.dumps(self._office.figures()), _JSON
        if path == "/admin/peers":
            if (members := self._office.membership()) is None:
                return 404, "membership is off", _TEXT
            return 200, json.dumps(members), _JSON
        if path == "/admin/list":
            return 200, json.dumps(self._office.list_report()), _JSON
        if path == "/metrics":
            return 200, self._office.metrics(), [(b"Content-Type", CONTENT_TYPE)]
        if path == "/admin/health":
            return (200, "ok", _TEXT) if self._office.is_serving() else (503, "not serving", _TEXT)
        if path == "/admin/zones":
            return 200, json.dumps(self._office.zones()), _JSON
        if path.startswith("/admin/zone/"):
            return *self._move_zone(path.endswith("leave"), body), _TEXT
        server = _read_id(body)
        if not server:
            return 400, "the body must be the ID of one upstream", _TEXT
        if not self._office.cordon(server, out=path == "/admin/cordon"):
            return 404, "nobody has that ID", _TEXT
        return 200, "ok", _TEXT


def _read_move(body: bytes) -> tuple[str, float, bool] | None:
    """A zone, `over=SECONDS` and `force`, the last two at will; None if the body is anything else."""
    try:
        zone, *options = body.decode().split()
        over_ms, force = 0.0, False
        for option in options:
            name, _, value = option.partition("=")
            if name == "over":
                over_ms = float(value) * 1_000
            elif option == "force":
                force = True
            else:
                return None
    except ValueError:
        return None
    return (zone, over_ms, force) if 0 <= over_ms <= OVER_MOST_MS else None


def _read_id(body: bytes) -> str:
    """The ID that is the whole body, white space round it aside; empty if it is none."""
    try:
        text = body.decode().strip()
    except UnicodeDecodeError:
        return ""
    return text if text.isprintable() and " " not in text else ""
