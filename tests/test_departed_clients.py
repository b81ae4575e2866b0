"""Requests of clients that have gone: nothing of them begins later, here or in another process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from pathlib import Path

import pytest

from tests.loopback import (
    HttpClient,
    HttpMessage,
    ProxyHarness,
    Upstream,
    http_response,
    never_answer,
    read_message,
    run_scenario,
    status_of,
    wait_at_least,
    wait_until,
)
from tests.test_hot_restart import Site

MAX_LATE_START_S = 0.1  # after a close, for attempts under way
RESPONSE_TIME_S = 0.3
HANG_S = 3.0
REQUEST = (
    b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: %d\r\nX-Deadline: 4000m\r\nX-Pad: %b\r\n\r\n"
)
SEND_BUFFER_BYTES = 4_000_000
LARGE_BODY = bytes(600_000)


def client_socket(harness: ProxyHarness) -> socket.socket:
    """Return a connected socket whose kernel takes far more than the balancer's receive window."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    connection.connect(harness.proxy.downstream.address[:2])
    connection.settimeout(0)
    return connection


@pytest.mark.parametrize("padding", [0, 8_000])
@pytest.mark.parametrize("ending", ["responds", "resets", "hangs"])
def test_what_lies_before_an_unseen_close_is_not_sent(ending: str, padding: int) -> None:
    """Guards against requests, retries and hedges for a client whose close is not seen yet."""

    async def scenario() -> None:
        begun_s: list[float] = []

        async def slow(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
            begun_s.append(time.monotonic())
            await asyncio.sleep(RESPONSE_TIME_S if ending != "hangs" else HANG_S)
            if ending == "resets":
                writer.transport.abort()
            writer.write(http_response())

        async with ProxyHarness(Upstream(slow), Upstream(slow)) as harness:
            connection = client_socket(harness)
            data = b"".join(REQUEST % (number, b"p" * padding) for number in range(2_000))
            assert connection.send(data) > 150_000
            await wait_until(lambda: bool(begun_s))
            connection.close()
            closed_s = time.monotonic()
            await wait_until(lambda: not harness.proxy.downstream.connection_count())
            await wait_at_least(RESPONSE_TIME_S)
            assert [t - closed_s for t in begun_s if t > closed_s + MAX_LATE_START_S] == []

    run_scenario(scenario())


@pytest.mark.parametrize("size_bytes", [300_000, 1_000_000, 3_500_000])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_the_last_byte_of_a_long_request_is_not_sent_after_its_clients_close(
    framing: str, size_bytes: int
) -> None:
    """Guards against completing a body whose client closed unseen, as its upstream reads on."""

    async def scenario() -> None:
        read_on = asyncio.Event()
        received: list[HttpMessage] = []
        upstream = SlowUpstream(read_on, received)
        async with ProxyHarness(Upstream()) as harness:
            pool = next(iter(harness.proxy.upstreams._pools.values()))
            pool.address = await upstream.start()
            connection = client_socket(harness)
            length = f"Content-Length: {size_bytes}" if framing == "length" else "Transfer-Encoding: chunked"
            more = f"X-Class: pay\r\nX-Request-Id: 1\r\nX-Deadline: 4000m\r\n{length}\r\n\r\n"
            body = bytes(size_bytes)
            if framing == "chunked":
                body = b"%x\r\n%b\r\n0\r\n\r\n" % (size_bytes, body)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(connection, b"POST /pay/x HTTP/1.1\r\n" + more.encode() + body)
            await wait_at_least(0.05)
            connection.close()
            await wait_at_least(2 * MAX_LATE_START_S)
            read_on.set()
            await upstream.ended.wait()
            assert received == []

    run_scenario(scenario())


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_long_request_is_not_completed_after_a_close_that_lies_behind_further_ones(framing: str) -> None:
    """Guards against forwarding the end of a body whose client left, with more requests unread behind it."""

    async def scenario() -> None:
        read_on = asyncio.Event()
        received: list[HttpMessage] = []
        upstream = SlowUpstream(read_on, received)
        async with ProxyHarness(Upstream()) as harness:
            pool = next(iter(harness.proxy.upstreams._pools.values()))
            pool.address = await upstream.start()
            connection = client_socket(harness)
            length = (
                f"Content-Length: {len(LARGE_BODY)}" if framing == "length" else "Transfer-Encoding: chunked"
            )
            more = f"X-Class: pay\r\nX-Request-Id: 1\r\nX-Deadline: 4000m\r\n{length}\r\n\r\n"
            body = LARGE_BODY
            if framing == "chunked":
                body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            behind = b"".join(REQUEST % (number, b"p" * 8_000) for number in range(100))
            loop = asyncio.get_running_loop()
            data = b"POST /pay/x HTTP/1.1\r\n" + more.encode() + body + behind
            await loop.sock_sendall(connection, data)
            await wait_at_least(0.05)
            connection.close()
            await wait_at_least(2 * MAX_LATE_START_S)
            read_on.set()
            await upstream.ended.wait()
            assert received == []

    run_scenario(scenario())


class SlowUpstream:
    """An upstream that takes little into its kernel's buffer, and reads nothing until it is told to."""

    def __init__(self, read_on: asyncio.Event, received: list[HttpMessage]) -> None:
        self._read_on = read_on
        self._received = received
        self.ended = asyncio.Event()

    async def start(self) -> tuple[str, int]:
        """Listen; return the address."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        listening.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(self._serve, sock=listening, limit=4_096)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await self._read_on.wait()
            self._received.append(await read_message(reader))
        self.ended.set()
        writer.close()


def test_a_request_that_its_upstream_has_not_taken_is_not_delivered_after_the_clients_close() -> None:
    """Guards against the kernel's sending the rest of a request that was given up."""

    async def scenario() -> None:
        read_on = asyncio.Event()
        received: list[HttpMessage] = []
        upstream = SlowUpstream(read_on, received)
        async with ProxyHarness(Upstream()) as harness:
            pool = next(iter(harness.proxy.upstreams._pools.values()))
            pool.address = await upstream.start()
            client = await harness.connect()
            client.send_request("/pay/x", LARGE_BODY)
            await client.writer.drain()
            await wait_until(lambda: harness.proxy.upstreams.open_connections > 0)
            await wait_at_least(0.2)
            client.writer.transport.abort()
            await wait_at_least(2 * MAX_LATE_START_S)
            read_on.set()
            await upstream.ended.wait()
            assert received == []

    run_scenario(scenario())


@pytest.mark.parametrize("wait_s", [0.0, 0.3])
def test_a_command_that_may_have_run_is_not_sent_again_under_its_id(wait_s: float) -> None:
    """Guards against running an id twice when it comes again after its client has gone."""

    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream) as harness:
            first = await harness.connect()
            first.send_request("/pay/x", b"body", x_request_id="command-1")
            await wait_until(lambda: bool(upstream.requests))
            first.writer.transport.abort()
            await wait_at_least(wait_s)
            second = await harness.connect()
            second.send_request("/pay/x", b"body", x_request_id="command-1", deadline="500m")
            status = status_of(await second.read_response())
            assert [r.headers["x-request-id"] for r in upstream.requests] == ["command-1"]
            assert status not in (200, 429, 503)

    run_scenario(scenario())


SLOTS = 120  # more than the upstream of the harness gets at once


def test_commands_of_one_id_that_wait_at_the_same_time_run_once() -> None:
    """Guards against looking at an id only when its request arrives, and not when it is sent."""

    async def scenario() -> None:
        gate = asyncio.Event()

        async def wait_for_gate(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(http_response())

        upstream = Upstream(wait_for_gate)
        async with ProxyHarness(upstream) as harness:
            requests = harness.proxy.balancer._requests
            holders = [await harness.connect() for _ in range(SLOTS)]
            for number, holder in enumerate(holders):
                holder.send_request("/pay/x", b"body", x_request_id=f"holder-{number}")
                await wait_until(lambda: len(upstream.requests) + len(requests.wait_queue) > number)  # noqa: B023
                if requests.wait_queue:
                    break
            repeated = [await harness.connect() for _ in range(2)]
            for client in repeated:
                client.send_request("/pay/x", b"body", x_request_id="command-1")
            await wait_until(lambda: len(requests.wait_queue) == 3)
            gate.set()
            statuses = sorted([status_of(await client.read_response()) for client in repeated])
            sent = [r.headers["x-request-id"] for r in upstream.requests]
            assert sent.count("command-1") == 1
            assert statuses[0] == 200
            assert statuses[1] not in (200, 429, 503)

    run_scenario(scenario())


def test_a_command_that_never_ran_may_come_again_under_its_id() -> None:
    """Guards against refusing a repeat of what was rejected with nothing sent."""

    async def scenario() -> None:
        upstream = Upstream(http_response(503, b"", "X-Not-Run: 1"), http_response())
        async with ProxyHarness(upstream, limits={"attemptsCap": 1}) as harness:
            first = await harness.request("/pay/x", b"body", x_request_id="command-1")
            second = await harness.request("/pay/x", b"body", x_request_id="command-1")
            assert [status_of(first), status_of(second)] == [503, 200]

    run_scenario(scenario())


@pytest.mark.parametrize("when", ["before the takeover", "after the takeover"])
def test_an_id_that_may_have_run_is_known_to_the_process_that_takes_over(when: str, tmp_path: Path) -> None:
    """Guards against running an id once in each process of an upgrade."""

    async def scenario() -> None:
        upstream = Upstream(never_answer)
        site = Site(tmp_path, upstream)
        await site.start()
        site.discovery.publish(8, *site.entries, snapshot=True)
        async with site.process() as old:
            await old.wait_until_serving()
            first = await site.connect()
            if when == "before the takeover":
                await send_command(first, upstream)
            async with site.process() as new:
                await site.discovery.request_lines.get()
                site.discovery.publish(8, *site.entries, snapshot=True)
                await new.wait_until_serving()
                if when == "after the takeover":
                    await send_command(first, upstream)
                first.writer.transport.abort()
                await wait_at_least(MAX_LATE_START_S)
                second = await site.connect()
                second.send_request("/pay/x", b"body", x_request_id="command-1", deadline="500m")
                status = status_of(await second.read_response())
                assert [r.headers["x-request-id"] for r in upstream.requests] == ["command-1"]
                assert status not in (200, 429, 503)

    run_scenario(scenario())


async def send_command(client: HttpClient, upstream: Upstream) -> None:
    """Send a command, and return once its upstream has it."""
    client.send_request("/pay/x", b"body", x_request_id="command-1")
    await wait_until(lambda: bool(upstream.requests))
