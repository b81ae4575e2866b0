"""Long bodies in both directions on loopback sockets: streamed, slow, cut off, within the buffer budget."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from loadbalancer.interface import Outcome
from loadbalancer.net import attempt_timers, downstream_connection, downstream_timeout, message_body
from tests.http_messages import LONG_BODY, chunked, head, record_outcomes, write_in_parts
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


class PeakUsage:
    """Records the peak of the buffered bytes."""

    def __init__(self, harness: ProxyHarness) -> None:
        self._buffers, self.peak_bytes = harness.proxy.buffers, 0
        self._task = asyncio.ensure_future(self._record())

    async def _record(self) -> None:
        while True:
            self.peak_bytes = max(self.peak_bytes, self._buffers.used_bytes)
            await asyncio.sleep(0)


def long_response(data: bytes) -> Callable[[HttpMessage, asyncio.StreamWriter], Awaitable[None]]:
    async def script(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await write_in_parts(writer, http_response(200, data))

    return script


def test_a_long_response_reaches_a_slow_reader_complete_and_within_the_buffer_budget() -> None:
    data = LONG_BODY * 24

    async def scenario() -> None:
        async with ProxyHarness(Upstream(long_response(data)), memory_mb=4) as harness:
            usage = PeakUsage(harness)
            client = await harness.connect()
            client.send_request()
            while not harness.proxy.buffers.used_bytes:  # until it waits for the client to read
                await asyncio.sleep(0)
            response = await client.read_response()
            assert (status_of(response), response.body == data) == (200, True)
            assert 0 < usage.peak_bytes <= harness.proxy.buffers.max_bytes
            assert harness.proxy.buffers.used_bytes == 0

    run_scenario(scenario())


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_long_request_reaches_its_upstream_complete_and_within_the_buffer_budget(form: str) -> None:
    data = LONG_BODY * 16

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream, memory_mb=4) as harness:
            usage = PeakUsage(harness)
            client = await harness.connect()
            if form == "length":
                client.writer.write(head(more=f"Content-Length: {len(data)}\r\n"))
                await write_in_parts(client.writer, data)
            else:
                client.writer.write(head(more="Transfer-Encoding: chunked\r\n"))
                await write_in_parts(client.writer, chunked(data, 30_000, b";a=b", b"X-Class: read\r\n"))
            assert status_of(await client.read_response()) == 200
            (request,) = upstream.requests
            assert request.body == data
            assert request.headers["x-class"] == "pay"  # a trailer is no header
            assert usage.peak_bytes <= harness.proxy.buffers.max_bytes + message_body.MAX_READ_BYTES
            client.send_request()  # the connection stays usable
            assert status_of(await client.read_response()) == 200

    run_scenario(scenario())


def test_more_bodies_at_once_than_may_be_buffered_all_get_through() -> None:
    data = LONG_BODY[:60_000]

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream, memory_mb=2) as harness:
            usage = PeakUsage(harness)
            clients = [await harness.connect() for _ in range(60)]
            for client in clients:
                client.writer.write(head(more="Content-Length: 60000\r\n") + data[:59_000])
            while harness.proxy.buffers.used_bytes < harness.proxy.buffers.max_bytes:
                await asyncio.sleep(0)
            for client in clients:
                client.writer.write(data[59_000:])
            for client in clients:
                assert status_of(await client.read_response()) == 200
            assert all(request.body == data for request in upstream.requests)
            assert (
                usage.peak_bytes
                <= harness.proxy.buffers.max_bytes
                + len(clients) * message_body.MIN_READ_BYTES
                + message_body.MAX_READ_BYTES
            )
            assert harness.proxy.buffers.used_bytes == 0

    run_scenario(scenario())


def test_a_response_that_breaks_after_its_first_byte_was_forwarded_is_not_retried() -> None:
    async def cut(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, LONG_BODY)[:500_000])
        await writer.drain()
        writer.transport.abort()

    async def scenario() -> None:
        upstream = Upstream(cut)
        async with ProxyHarness(upstream) as harness:
            ended = record_outcomes(harness)
            client = await harness.connect()
            client.send_request()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await client.read_response()
            assert (len(upstream.requests), ended) == (1, [Outcome.RESET])
            figures = harness.proxy.stats()
            assert figures.failed == {"read": 1, "pay": 0} and figures.requests_in_flight == 0

    run_scenario(scenario())


def test_a_response_that_breaks_while_it_is_buffered_is_retried() -> None:
    async def cut(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, LONG_BODY[:50_000])[:40_000])
        writer.close()

    async def scenario() -> None:
        upstream = Upstream(cut, http_response())
        async with ProxyHarness(upstream) as harness:
            assert (await harness.request()).body == b"tile"
            assert len(upstream.requests) == 2

    run_scenario(scenario())


@pytest.mark.parametrize("kind", ["reset before its end", "rejected at its end"])
def test_a_long_request_that_fails_is_rejected_and_not_retried(kind: str) -> None:
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

        async with ProxyHarness(Upstream(), Upstream()) as harness:
            for upstream in harness.upstreams:
                upstream.server.close()
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            published = [e | {"address": f"127.0.0.1:{port}"} for e in harness.entries]
            harness.discovery.publish(8, *published, snapshot=True)
            await harness.discovery.request_lines.get()
            await harness.discovery.request_lines.get()
            client = await harness.connect()
            client.writer.write(head(more=f"Content-Length: {len(LONG_BODY)}\r\n"))
            # The last bytes are withheld until the response arrives: they can't have left before the reset.
            withheld_bytes = 1_000 if kind == "reset before its end" else 0
            await write_in_parts(client.writer, LONG_BODY[: len(LONG_BODY) - withheld_bytes])
            assert status_of(await client.read_response()) == 503  # it never ran
            assert connections == 1
            client.writer.write(LONG_BODY[len(LONG_BODY) - withheld_bytes :])
            if kind == "reset before its end":  # the rest of the body was not parsed as a request
                assert await client.reader.read() == b""

    run_scenario(scenario())


def test_a_body_that_an_upstream_takes_in_part_is_logged_with_what_was_read(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against silence on a body that stands still: was it the client, or was it not read?"""

    async def cut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(20_000)
        writer.transport.abort()

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            harness.upstreams[0].server.close()
            server = await asyncio.start_server(cut, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            harness.discovery.publish(8, harness.entries[0] | {"address": address}, snapshot=True)
            await harness.discovery.request_lines.get()
            await harness.discovery.request_lines.get()
            client = await harness.connect()
            client.writer.write(head(more=f"Content-Length: {len(LONG_BODY)}\r\n") + LONG_BODY[:90_000])
            assert status_of(await client.read_response()) == 503

    run_scenario(scenario())
    (line,) = [line for line in capsys.readouterr().err.splitlines() if "the whole body" in line]
    fields = dict(word.split("=") for word in line.split() if "=" in word)
    assert (fields["server"], fields["expected_bytes"]) == ("s0", str(len(LONG_BODY)))
    assert int(fields["read_bytes"]) + int(fields["unread_bytes"]) <= 90_000
    assert int(fields["read_bytes"]) > 0


def test_a_long_request_that_no_upstream_takes_is_rejected_before_its_end() -> None:
    async def scenario() -> None:
        async with ProxyHarness() as harness:
            client = await harness.connect()
            client.writer.write(head(more=f"Content-Length: {len(LONG_BODY)}\r\n"))
            assert status_of(await client.read_response()) == 503
            await write_in_parts(client.writer, LONG_BODY)
            assert await client.reader.read() == b""

    run_scenario(scenario())


def test_a_client_that_disconnects_frees_the_upstream_at_once() -> None:
    async def scenario() -> None:
        upstream = Upstream(long_response(LONG_BODY * 32))
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.send_request()
            await client.reader.readexactly(1_000)
            client.writer.transport.abort()
            await upstream.connection_ended.wait()
            assert harness.proxy.stats().requests_in_flight == 0
            assert harness.proxy.buffers.used_bytes == 0

    run_scenario(scenario())


def test_a_slow_reader_gets_the_end_of_a_response_that_closes_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against cutting off what is still buffered half a second after the last byte has arrived."""
    monkeypatch.setattr(downstream_connection, "LINGERING_CLOSE_S", 0.01)
    data = LONG_BODY * 2

    async def scenario() -> None:
        async with ProxyHarness(Upstream(long_response(data))) as harness:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.connect(harness.proxy.downstream.address[:2])
            client = HttpClient()
            client.reader, client.writer = await asyncio.open_connection(sock=sock, limit=4_096)
            while not (accepted := harness.proxy.downstream._connections):
                await asyncio.sleep(0)
            (connection,) = accepted
            while connection._transport is None:
                await asyncio.sleep(0)
            server_socket = connection._transport.get_extra_info("socket")
            server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            client.send_request(connection="close")
            await client.reader.readuntil(b"\r\n\r\n")
            received = b""
            while (
                not connection.reader.is_stopped
            ):  # until the last part is buffered, and the close is due after it
                received += await client.reader.read(2_000)
            await asyncio.sleep(0.2)
            assert received + await client.reader.read() == data

    run_scenario(scenario())


def test_timeouts_of_a_long_response_watch_its_progress_and_not_its_duration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    gate = asyncio.Event()

    async def slow(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, LONG_BODY)[:200_000])
        await gate.wait()
        writer.write(http_response(200, LONG_BODY)[200_000:])

    async def scenario() -> None:
        async with ProxyHarness(Upstream(slow)) as harness:
            client = await harness.connect()
            client.send_request(deadline="300m")
            await client.reader.readuntil(b"\r\n\r\n")
            first = await client.reader.readexactly(100_000)
            await asyncio.sleep(0.5)  # past its deadline
            gate.set()
            assert first + await client.reader.readexactly(len(LONG_BODY) - 100_000) == LONG_BODY
            monkeypatch.setattr(attempt_timers, "STALL_TIMEOUT_S", 0.05)
            gate.clear()
            stalled = await harness.connect()
            stalled.send_request()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await stalled.read_response()

    run_scenario(scenario())


@pytest.mark.parametrize("pace", [10, 1_000_000])
def test_a_body_may_take_as_long_as_its_received_part_allows(
    pace: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(downstream_timeout, "REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr(downstream_timeout, "MIN_BODY_BYTES_PER_S", pace)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            client.writer.write(head(more="Content-Length: 100\r\n") + b"x" * 99)
            if pace == 10:
                await asyncio.sleep(0.3)
                client.writer.write(b"x")
                assert status_of(await client.read_response()) == 200
            else:
                assert status_of(await client.read_response()) == 408

    run_scenario(scenario())
