"""Long bodies both ways, and every form of HTTP/1.1, on loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from loadbalancer import interface
from loadbalancer.interface import Outcome
from loadbalancer.net import downstream_connection, downstream_timeout, message_body, upstream_attempt
from tests.loopback import (
    HttpClient,
    HttpMessage,
    ProxyHarness,
    Upstream,
    http_response,
    read_message,
    run_scenario,
    status_of,
)

LONG = bytes(range(256)) * 4_096  # 1 MiB
HEAD = "Host: h\r\nX-Request-Id: 9b\r\nX-Class: {0}\r\nX-Deadline: 4000m\r\n"


def head(method: str = "POST", path: str = "/pay/x", version: str = "1.1", more: str = "") -> bytes:
    name = path.split("/")[-2]
    return f"{method} {path} HTTP/{version}\r\n{HEAD.format(name)}{more}\r\n".encode()


def chunked(data: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    lines = [b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts]
    return b"".join(lines) + b"0\r\n" + trailer + b"\r\n"


class Watch:
    """The most that was held at once."""

    def __init__(self, rig: ProxyHarness) -> None:
        self._buffers, self.most = rig.proxy.buffers, 0
        self._task = asyncio.ensure_future(self._look())

    async def _look(self) -> None:
        while True:
            self.most = max(self.most, self._buffers.used_bytes)
            await asyncio.sleep(0)


async def pieces(writer: asyncio.StreamWriter, data: bytes, size: int = 50_000) -> None:
    for i in range(0, len(data), size):
        writer.write(data[i : i + size])
        await writer.drain()


def long_answer(data: bytes) -> Callable[[HttpMessage, asyncio.StreamWriter], Awaitable[None]]:
    async def script(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await pieces(writer, http_response(200, data))

    return script


def test_a_long_answer_goes_to_a_slow_reader_whole_and_under_the_bound() -> None:
    data = LONG * 24

    async def scenario() -> None:
        async with ProxyHarness(Upstream(long_answer(data)), memory_mb=4) as rig:
            watch = Watch(rig)
            caller = await rig.connect()
            caller.send_request()
            while not rig.proxy.buffers.used_bytes:  # until it waits for us to read
                await asyncio.sleep(0)
            answer = await caller.read_response()
            assert (status_of(answer), answer.body == data) == (200, True)
            assert 0 < watch.most <= rig.proxy.buffers.max_bytes
            assert rig.proxy.buffers.used_bytes == 0

    run_scenario(scenario())


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_long_request_goes_to_its_upstream_whole_and_under_the_bound(form: str) -> None:
    data = LONG * 16

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream, memory_mb=4) as rig:
            watch = Watch(rig)
            caller = await rig.connect()
            if form == "length":
                caller.writer.write(head(more=f"Content-Length: {len(data)}\r\n"))
                await pieces(caller.writer, data)
            else:
                caller.writer.write(head(more="Transfer-Encoding: chunked\r\n"))
                await pieces(caller.writer, chunked(data, 30_000, b";a=b", b"X-Class: read\r\n"))
            assert status_of(await caller.read_response()) == 200
            (asked,) = upstream.requests
            assert asked.body == data
            assert asked.headers["x-class"] == "pay"  # a trailer is no header
            assert watch.most <= rig.proxy.buffers.max_bytes + message_body.MAX_READ_BYTES
            caller.send_request()  # the connection goes on
            assert status_of(await caller.read_response()) == 200

    run_scenario(scenario())


def test_more_bodies_at_once_than_may_be_held_all_get_through() -> None:
    data = LONG[:60_000]

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream, memory_mb=2) as rig:
            watch = Watch(rig)
            crowd = [await rig.connect() for _ in range(60)]
            for caller in crowd:
                caller.writer.write(head(more="Content-Length: 60000\r\n") + data[:59_000])
            while rig.proxy.buffers.used_bytes < rig.proxy.buffers.max_bytes:
                await asyncio.sleep(0)
            for caller in crowd:
                caller.writer.write(data[59_000:])
            for caller in crowd:
                assert status_of(await caller.read_response()) == 200
            assert all(asked.body == data for asked in upstream.requests)
            assert (
                watch.most
                <= rig.proxy.buffers.max_bytes
                + len(crowd) * message_body.MIN_READ_BYTES
                + message_body.MAX_READ_BYTES
            )
            assert rig.proxy.buffers.used_bytes == 0

    run_scenario(scenario())


def outcomes(rig: ProxyHarness) -> list[Any]:
    told: list[Any] = []
    handle = rig.proxy.balancer.handle

    def spy(event: interface.Event, now: float) -> list[interface.Action]:
        if isinstance(event, interface.AttemptEnded):
            told.append(event.outcome)
        return handle(event, now)

    rig.proxy.balancer.handle = spy  # type: ignore[method-assign]
    return told


def test_an_answer_that_breaks_after_its_first_byte_went_on_is_not_asked_for_again() -> None:
    async def cut(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, LONG)[:500_000])
        await writer.drain()
        writer.transport.abort()

    async def scenario() -> None:
        upstream = Upstream(cut)
        async with ProxyHarness(upstream) as rig:
            told = outcomes(rig)
            caller = await rig.connect()
            caller.send_request()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await caller.read_response()
            assert (len(upstream.requests), told) == (1, [Outcome.RESET])
            figures = rig.proxy.stats()
            assert figures.failed == {"read": 1, "pay": 0} and figures.requests_in_flight == 0

    run_scenario(scenario())


def test_an_answer_that_breaks_while_it_is_held_is_asked_for_again() -> None:
    async def cut(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, LONG[:50_000])[:40_000])
        writer.close()

    async def scenario() -> None:
        upstream = Upstream(cut, http_response())
        async with ProxyHarness(upstream) as rig:
            assert (await rig.request()).body == b"tile"
            assert len(upstream.requests) == 2

    run_scenario(scenario())


@pytest.mark.parametrize("kind", ["reset before its end", "turned away at its end"])
def test_a_long_request_that_fails_is_refused_and_not_sent_again(kind: str) -> None:
    async def scenario() -> None:
        connections = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connections
            connections += 1
            if kind == "reset before its end":
                await reader.readexactly(200_000)
                writer.transport.abort()
            else:
                await read_message(reader)
                writer.write(http_response(503, b"", "X-Not-Run: 1"))

        async with ProxyHarness(Upstream(), Upstream()) as rig:
            for upstream in rig.upstreams:
                upstream.server.close()
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            there = [e | {"address": f"127.0.0.1:{port}"} for e in rig.entries]
            rig.discovery.publish(8, *there, snapshot=True)
            await rig.discovery.request_lines.get()
            await rig.discovery.request_lines.get()
            caller = await rig.connect()
            caller.writer.write(head(more=f"Content-Length: {len(LONG)}\r\n"))
            # The last bytes stay here until the answer has come: they can't have left before the reset.
            held_back = 1_000 if kind == "reset before its end" else 0
            await pieces(caller.writer, LONG[: len(LONG) - held_back])
            assert status_of(await caller.read_response()) == 503  # it never ran
            assert connections == 1
            caller.writer.write(LONG[len(LONG) - held_back :])
            if kind == "reset before its end":  # what still came of the body was no request
                assert await caller.reader.read() == b""

    run_scenario(scenario())


def test_a_long_request_that_no_upstream_takes_is_refused_before_its_end() -> None:
    async def scenario() -> None:
        async with ProxyHarness() as rig:
            caller = await rig.connect()
            caller.writer.write(head(more=f"Content-Length: {len(LONG)}\r\n"))
            assert status_of(await caller.read_response()) == 503
            await pieces(caller.writer, LONG)
            assert await caller.reader.read() == b""

    run_scenario(scenario())


def test_a_caller_that_leaves_frees_the_upstream_at_once() -> None:
    async def scenario() -> None:
        upstream = Upstream(long_answer(LONG * 32))
        async with ProxyHarness(upstream) as rig:
            caller = await rig.connect()
            caller.send_request()
            await caller.reader.readexactly(1_000)
            caller.writer.transport.abort()
            await upstream.connection_ended.wait()
            assert rig.proxy.stats().requests_in_flight == 0
            assert rig.proxy.buffers.used_bytes == 0

    run_scenario(scenario())


def test_a_slow_reader_gets_the_end_of_an_answer_that_closes_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What waited in our buffer for half a second after the last byte had come was cut off."""
    monkeypatch.setattr(downstream_connection, "LINGERING_CLOSE_S", 0.01)
    data = LONG * 2

    async def scenario() -> None:
        async with ProxyHarness(Upstream(long_answer(data))) as rig:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.connect(rig.proxy.downstream.address[:2])
            caller = HttpClient()
            caller.reader, caller.writer = await asyncio.open_connection(sock=sock, limit=4_096)
            while not (held := rig.proxy.downstream._connections):
                await asyncio.sleep(0)
            (connection,) = held
            while connection._transport is None:
                await asyncio.sleep(0)
            ours = connection._transport.get_extra_info("socket")
            ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            caller.send_request(connection="close")
            await caller.reader.readuntil(b"\r\n\r\n")
            got = b""
            while (
                not connection.reader.is_stopped
            ):  # until the last piece waits in our buffer, and the end behind it
                got += await caller.reader.read(2_000)
            await asyncio.sleep(0.2)
            assert got + await caller.reader.read() == data

    run_scenario(scenario())


def test_times_of_a_long_answer_watch_its_progress_and_not_the_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    gate = asyncio.Event()

    async def slow(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, LONG)[:200_000])
        await gate.wait()
        writer.write(http_response(200, LONG)[200_000:])

    async def scenario() -> None:
        async with ProxyHarness(Upstream(slow)) as rig:
            caller = await rig.connect()
            caller.send_request(deadline="300m")
            await caller.reader.readuntil(b"\r\n\r\n")
            first = await caller.reader.readexactly(100_000)
            await asyncio.sleep(0.5)  # past its deadline
            gate.set()
            assert first + await caller.reader.readexactly(len(LONG) - 100_000) == LONG
            monkeypatch.setattr(upstream_attempt, "STALL_TIMEOUT_S", 0.05)
            gate.clear()
            stalled = await rig.connect()
            stalled.send_request()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await stalled.read_response()

    run_scenario(scenario())


OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("answer", "ends"),
    [
        (OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(b"tile", 1, b";x=y", b"T: 1\r\n"), False),
        (OK + b"\r\ntile", True),
        (b"HTTP/1.0 200 OK\r\n\r\ntile", True),
        (
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + http_response(),
            False,
        ),
        (OK + b"Content-Length:  4 \r\nConnection: close\r\n\r\ntile", True),
    ],
)
@pytest.mark.parametrize("at_once", [True, False])
def test_answers_of_all_forms_are_passed_on(answer: bytes, ends: bool, at_once: bool) -> None:
    async def script(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
        for i in range(0, len(answer), len(answer) if at_once else 1):
            writer.write(answer[i : i + (len(answer) if at_once else 1)])
            await asyncio.sleep(0)
        if ends:
            writer.close()

    async def scenario() -> None:
        async with ProxyHarness(Upstream(script)) as rig:
            caller = await rig.connect()
            for _ in range(2):
                caller.send_request()
                got = await caller.read_response()
                assert (status_of(got), got.body) == (200, b"tile")

    run_scenario(scenario())


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_long_answer_of_unknown_length_ends_so_that_the_caller_can_tell(version: str) -> None:
    async def script(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n")
        await pieces(writer, chunked(LONG, 100_000))

    async def scenario() -> None:
        async with ProxyHarness(Upstream(script)) as rig:
            caller = await rig.connect()
            caller.writer.write(head("GET", "/read/x", version))
            if version == "1.1":
                assert (await caller.read_response()).body == LONG
            else:
                assert (await caller.reader.read()).partition(b"\r\n\r\n")[2] == LONG

    run_scenario(scenario())


@pytest.mark.parametrize(
    "answer",
    [
        OK + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\ntile",
        OK + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(b"tile", 4),
        OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\ntile\r\n0\r\n\r\n",
        OK + b"Transfer-Encoding: gzip\r\n\r\ntile",
        OK + b"Bad\x00Header: x\r\nContent-Length: 4\r\n\r\ntile",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\ntile",
    ],
)
def test_an_ambiguous_answer_is_a_failed_attempt_that_may_have_run(answer: bytes) -> None:
    async def script(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(answer)

    async def scenario() -> None:
        upstream = Upstream(script)
        async with ProxyHarness(upstream) as rig:
            told = outcomes(rig)
            assert status_of(await rig.request("/pay/x", b"debit")) == 502
            assert (told, len(upstream.requests)) == ([Outcome.RESET], 1)

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("raw", "line", "body"),
    [
        (head(more="Content-Length: 5\r\n") + b"debit", "POST /pay/x HTTP/1.1", b"debit"),
        (
            head(more="Transfer-Encoding: chunked\r\n") + chunked(b"debit", 2, b';a="b"', b"T: 1\r\n"),
            "POST /pay/x HTTP/1.1",
            b"debit",
        ),
        (head("GET", "http://other:80/read/x?y=1"), "GET /read/x?y=1 HTTP/1.1", b""),
        (
            head("GET", "/read/x", more="Upgrade: h2c\r\nConnection: Upgrade\r\n"),
            "GET /read/x HTTP/1.1",
            b"",
        ),
        (b"\r\n\r\n" + head("GET", "/read/x"), "GET /read/x HTTP/1.1", b""),
    ],
)
@pytest.mark.parametrize("at_once", [True, False])
def test_requests_of_all_forms_are_taken(raw: bytes, line: str, body: bytes, at_once: bool) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            caller = await rig.connect()
            for _ in range(2):
                for i in range(0, len(raw), len(raw) if at_once else 1):
                    caller.writer.write(raw[i : i + (len(raw) if at_once else 1)])
                    await asyncio.sleep(0)
                assert status_of(await caller.read_response()) == 200
            assert [(asked.start_line, asked.body) for asked in upstream.requests] == [(line, body)] * 2
            assert "upgrade" not in upstream.requests[0].headers

    run_scenario(scenario())


def test_a_caller_that_asks_first_is_told_to_go_on_in_its_turn() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            caller = await rig.connect()
            caller.send_request()
            caller.writer.write(head(more="Expect: 100-continue\r\nContent-Length: 5\r\n"))
            assert status_of(await caller.read_response()) == 200
            assert status_of(await caller.read_response()) == 100
            caller.writer.write(b"debit")
            assert status_of(await caller.read_response()) == 200
            assert upstream.requests[1].body == b"debit"
            assert "expect" not in upstream.requests[1].headers

    run_scenario(scenario())


@pytest.mark.parametrize(
    "raw",
    [
        head(more="Content-Length: 5\r\nContent-Length: 5\r\n") + b"debit",
        head(more="Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + chunked(b"debit", 5),
        head(more="Content-Length: 5, 5\r\n") + b"debit",
        head(more="Content-Length: +5\r\n") + b"debit",
        head(more="Transfer-Encoding: gzip, chunked\r\n") + chunked(b"debit", 5),
        head(more="Transfer-Encoding: chunked\r\n") + b"0x5\r\ndebit\r\n0\r\n\r\n",
        head(more="Transfer-Encoding: chunked\r\n") + b"fffffffffffffffff\r\ndebit\r\n0\r\n\r\n",
        head(more="Transfer-Encoding : chunked\r\n") + chunked(b"debit", 5),
        head(more="X-Odd: a\x00b\r\nContent-Length: 0\r\n"),
        head(more="X-Odd: a\r\n folded\r\nContent-Length: 0\r\n"),
        head(more="Upgrade: x\r\nConnection: upgrade\r\nContent-Length: 5\r\n") + b"debit",
        b"CONNECT other:80 HTTP/1.1\r\nHost: other:80\r\n\r\n",
    ],
)
def test_an_ambiguous_request_gets_400_and_a_close(raw: bytes) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            caller = await rig.connect()
            caller.writer.write(raw + head("GET", "/read/x"))
            assert status_of(await caller.read_response()) == 400
            assert await caller.reader.read() == b""
            assert not upstream.requests

    run_scenario(scenario())


def test_a_chunk_that_goes_bad_in_a_long_request_ends_it_and_its_attempt() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            caller = await rig.connect()
            caller.writer.write(head(more="Transfer-Encoding: chunked\r\n") + chunked(LONG, 50_000)[:300_000])
            while not upstream.connection_count:
                await asyncio.sleep(0)
            caller.writer.write(b"no chunk" * 10_000)
            assert status_of(await caller.read_response()) == 400
            await upstream.connection_ended.wait()
            assert not upstream.requests
            assert rig.proxy.stats().requests_in_flight == 0

    run_scenario(scenario())


@pytest.mark.parametrize("pace", [10, 1_000_000])
def test_a_body_may_take_as_long_as_its_part_that_has_come_buys(
    pace: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(downstream_timeout, "REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr(downstream_timeout, "MIN_BODY_BYTES_PER_S", pace)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            caller = await rig.connect()
            caller.writer.write(head(more="Content-Length: 100\r\n") + b"x" * 99)
            if pace == 10:
                await asyncio.sleep(0.3)
                caller.writer.write(b"x")
                assert status_of(await caller.read_response()) == 200
            else:
                assert status_of(await caller.read_response()) == 408

    run_scenario(scenario())
