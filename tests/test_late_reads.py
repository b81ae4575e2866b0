"""Requests that were written long before the program reads them, as it was held up or had no time to accept.

The program is stopped by a signal while its clients write, as on a machine that gives it no processor.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from pathlib import Path

import pytest

from loadbalancer.net.downstream_timeout import REQUEST_TIMEOUT_S
from tests.http_messages import chunked, head
from tests.loopback import (
    HttpMessage,
    PausedConnects,
    ProxyHarness,
    Upstream,
    http_response,
    read_message,
    run_scenario,
    send_now,
    status_of,
    wait_until,
)
from tests.real_processes import RunningProgram, run_play, running_balancer

HELD_UP_S = 0.6
DEADLINE_S = 2.0
HEAD_DEADLINE_S = 4.0  # of `http_messages.head`
SLACK_S = 0.15  # that the deadline told to a server may exceed what its client has left
MAX_LATE_START_S = 0.1
SEND_BUFFER_BYTES = 4_000_000
PIPELINED = 2_000
GET = b"GET /read/x HTTP/1.1\r\nHost: h\r\nX-Class: read\r\nX-Request-Id: %d\r\nX-Deadline: %dm\r\n%b\r\n"
each_connection = pytest.mark.parametrize("connection", ["new", "kept"])


def request(number: int, padding: int = 0) -> bytes:
    """Return a request."""
    return GET % (number, DEADLINE_S * 1_000, b"X-Pad: %b\r\n" % (b"p" * padding))


async def open_connection(program: RunningProgram, connection: str) -> socket.socket:
    """Return a connected socket, one that has been used before if it is a kept connection."""
    loop = asyncio.get_running_loop()
    opened = socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    opened.settimeout(0)
    await loop.sock_connect(opened, ("127.0.0.1", program.port))
    if connection == "kept":
        await loop.sock_sendall(opened, request(0))
        assert b"200 OK" in await loop.sock_recv(opened, 65_536)
    return opened


class Hold:
    """Stops the program for some time."""

    def __init__(self, program: RunningProgram, span_s: float = HELD_UP_S) -> None:
        self._program = program
        self._span_s = span_s

    async def __aenter__(self) -> None:
        self._program.process.send_signal(signal.SIGSTOP)

    async def __aexit__(self, *_: object) -> None:
        await asyncio.sleep(self._span_s)
        self._program.process.send_signal(signal.SIGCONT)


@each_connection
def test_the_deadline_told_to_a_server_is_what_a_client_has_left_that_waited_unread(
    connection: str, tmp_path: Path
) -> None:
    """Guards against a deadline that counts from the reading of a request, and not from its writing."""
    told_s: list[float] = []

    async def record(received: HttpMessage, writer: asyncio.StreamWriter) -> None:
        told_s.append(int(received.headers["x-deadline"][:-1]) / 1_000_000)
        writer.write(http_response())

    async def play() -> None:
        loop = asyncio.get_running_loop()
        async with running_balancer(tmp_path, record) as program:
            if connection == "kept":
                opened = await open_connection(program, connection)
            async with Hold(program):
                if connection == "new":
                    opened = await open_connection(program, connection)
                told_s.clear()
                await loop.sock_sendall(opened, request(1))
            assert b"200 OK" in await loop.sock_recv(opened, 65_536)
            opened.close()
        assert len(told_s) == 1
        assert told_s[0] <= DEADLINE_S - HELD_UP_S + SLACK_S

    run_play(play())


def test_the_deadline_told_to_a_server_counts_the_wait_for_a_place_among_the_connections() -> None:
    """Guards against a deadline that counts from the accepting of a connection."""
    told_s: list[float] = []

    async def record(received: HttpMessage, writer: asyncio.StreamWriter) -> None:
        told_s.append(int(received.headers["x-deadline"][:-1]) / 1_000_000)
        await asyncio.sleep(HELD_UP_S)
        writer.write(http_response())

    async def scenario() -> None:
        async with ProxyHarness(Upstream(record)) as harness:
            harness.proxy.downstream.max_connections = 1
            deadline = f"{DEADLINE_S * 1_000:.0f}m"
            first = await harness.connect()
            first.send_request(deadline=deadline, connection="close")
            await wait_until(lambda: bool(told_s))
            second = await harness.connect()
            second.send_request(deadline=deadline)
            written_s = time.monotonic()
            assert status_of(await first.read_response()) == 200
            waited_s = time.monotonic() - written_s
            first.writer.close()
            assert status_of(await second.read_response()) == 200
            assert told_s[1] <= DEADLINE_S - waited_s + SLACK_S

    run_scenario(scenario())


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_the_deadline_told_with_a_streamed_body_counts_the_wait_for_its_connection(
    framing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against telling a server the time that was left when its attempt began to connect."""
    body = bytes(300_000)
    told_s: list[float] = []

    async def record(received: HttpMessage, writer: asyncio.StreamWriter) -> None:
        told_s.append(int(received.headers["x-deadline"][:-1]) / 1_000_000)
        writer.write(http_response())

    async def scenario() -> None:
        connects = PausedConnects(monkeypatch)
        limits = {"attemptsCap": 1, "connectTimeout": DEADLINE_S * 1_000, "mayCancel": True}
        times = {"target": HEAD_DEADLINE_S * 1_000, "deadline": HEAD_DEADLINE_S * 1_000}
        classes = [{"name": "pay", "effect": "fragile"} | times]
        async with ProxyHarness(Upstream(record), limits=limits, classes=classes) as harness:
            client = await harness.connect()
            sending = client.writer.get_extra_info("socket")
            sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            if framing == "length":
                data = head(more=f"Content-Length: {len(body)}\r\n") + body
            else:
                data = head(more="Transfer-Encoding: chunked\r\n") + chunked(body, 50_000)
            send_now(client, data)
            await connects.started.wait()
            await asyncio.sleep(HELD_UP_S)
            connects.release()
            assert status_of(await client.read_response()) == 200
            assert told_s[0] <= HEAD_DEADLINE_S - HELD_UP_S + SLACK_S

    run_scenario(scenario())


@each_connection
@pytest.mark.parametrize("padding", [0, 3_000])
def test_nothing_begins_for_a_client_that_left_while_the_program_was_held_up(
    padding: int, connection: str, tmp_path: Path
) -> None:
    """Guards against requests whose client's close lies behind more than a receive window holds."""
    begun_s: list[float] = []

    async def record(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
        begun_s.append(time.monotonic())
        writer.write(http_response())

    async def play() -> None:
        async with running_balancer(tmp_path, record, upstream_count=1) as program:
            opened = await open_connection(program, "kept")  # there is a connection to the upstream then
            async with Hold(program):
                if connection == "new":
                    opened.close()
                    opened = await open_connection(program, connection)
                begun_s.clear()
                data = b"".join(request(number, padding) for number in range(PIPELINED))
                assert opened.send(data) > 150_000
                opened.close()
                closed_s = time.monotonic()
            await asyncio.sleep(HELD_UP_S)
        assert [t - closed_s for t in begun_s if t > closed_s + MAX_LATE_START_S] == []

    run_play(play())


@pytest.mark.parametrize("class_name", ["read", "pay"])
def test_an_answer_that_came_while_the_program_was_held_up_is_forwarded(
    class_name: str, tmp_path: Path
) -> None:
    """Guards against a timer that is late and fires before what came in time has been read."""

    async def play() -> None:
        received = asyncio.Event()

        async def script(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
            received.set()
            await asyncio.sleep(HELD_UP_S / 4)
            writer.write(http_response())

        classes = [
            {"name": name, "target": HELD_UP_S / 2 * 1_000, "deadline": DEADLINE_S * 1_000, "effect": effect}
            for name, effect in (("read", "retryable"), ("pay", "fragile"))
        ]
        async with running_balancer(tmp_path, script, classes=classes) as program:
            reader, writer = await program.connect()
            writer.write(request(1).replace(b"read", class_name.encode()))
            await received.wait()
            async with Hold(program):
                pass
            assert status_of(await read_message(reader)) == 200

    run_play(play())


@each_connection
@pytest.mark.parametrize("size_bytes", [30_000, 60_000, 300_000])
def test_a_request_that_came_while_the_program_was_held_up_is_served(
    size_bytes: int, connection: str, tmp_path: Path
) -> None:
    """Guards against taking a client for gone whose request has filled much of the receive window."""
    data = GET % (1, DEADLINE_S * 1_000, b"Content-Length: %d\r\n" % size_bytes) + bytes(size_bytes)

    async def play() -> None:
        loop = asyncio.get_running_loop()
        async with running_balancer(tmp_path) as program:
            opened = await open_connection(program, "kept")  # there is a connection to an upstream then
            async with Hold(program):
                if connection == "new":
                    opened = await open_connection(program, connection)
                await loop.sock_sendall(opened, data)
            assert b"200 OK" in await loop.sock_recv(opened, 65_536)

    run_play(play())


@pytest.mark.parametrize("part", ["head", "body"])
def test_a_request_whose_rest_came_while_the_program_was_held_up_is_served(part: str, tmp_path: Path) -> None:
    """Guards against ending a request by the time for its arrival while its rest waits to be read."""
    request_head = GET % (1, 2_000 * REQUEST_TIMEOUT_S, b"Content-Length: 10\r\n")
    split = {"head": len(request_head) - 10, "body": len(request_head) + 5}[part]
    data = request_head + b"0123456789"

    async def play() -> None:
        async with running_balancer(tmp_path) as program:
            reader, writer = await program.connect()
            writer.write(data[:split])
            await asyncio.sleep(HELD_UP_S / 4)
            async with Hold(program, REQUEST_TIMEOUT_S + HELD_UP_S):
                writer.write(data[split:])
            assert status_of(await read_message(reader)) == 200

    run_play(play())
