"""Upstream responses that come too early or too late, break off, or do not end."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable

import pytest

from loadbalancer.interface import Outcome
from loadbalancer.net import upstream_pool, upstream_response
from tests.loopback import (
    HttpMessage,
    ProxyHarness,
    Upstream,
    endpoint_list,
    http_response,
    run_scenario,
    status_of,
    unreleased_resources,
    wait_until,
)
from tests.test_upstream_attempts import IgnoredAttempt, RecordedAttempt, make_pools


def test_a_response_before_the_last_byte_of_its_request_is_none() -> None:
    """No server starts before the last byte has arrived: it belongs to an earlier request."""

    async def scenario() -> None:
        async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(http_response(200, b"another's"))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(early, "127.0.0.1", 0, limit=1024)
        upstreams = make_pools(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        attempt = RecordedAttempt(upstreams, b"x" * 50_000_000)
        assert await attempt.outcome() is Outcome.CONNECT_FAILED
        assert upstreams.open_connections == 0

    run_scenario(scenario())


def test_a_second_response_that_comes_late_meets_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against forwarding it as the response to the next request on a connection reused at once."""
    monkeypatch.setattr(upstream_pool, "REUSE_DELAY_S", 3_600.0)  # however slow the machine is

    async def scenario() -> None:
        async def late(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            for earlier in upstream.writers[-2:]:  # its own, if there was no reuse delay
                if len(upstream.requests) > 1:
                    earlier.write(http_response(200, b"another's"))
                    break
            writer.write(http_response(200, b"mine"))

        upstream = Upstream(late)
        async with ProxyHarness(upstream) as harness:
            for _ in range(5):
                assert (await harness.request()).body == b"mine"
            assert upstream.connection_count == 5, "none is reused before the reuse delay"
            await wait_until(lambda: harness.proxy.upstreams.open_connections == 1)

    run_scenario(scenario())


def test_a_rested_connection_is_reused_and_a_resting_one_stays_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream_pool, "REUSE_DELAY_S", 0.4)  # longer than the three attempts take

    async def scenario() -> None:
        upstream = Upstream()
        upstreams = make_pools(await upstream.start())
        for _ in range(3):
            await RecordedAttempt(upstreams).outcome()
        pool = upstreams._pools["s0"]
        assert len(pool.idle_connections) == upstream.connection_count == 3
        pool.idle_connections[0].idle_since_s -= 1.0
        pool.idle_connections[1].idle_since_s -= 0.5
        rested = pool.idle_connections[1]
        assert pool.take_idle() is rested
        assert len(pool.idle_connections) == 2
        rested.close()

    run_scenario(scenario())


NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"


@pytest.mark.parametrize("begun", [b"HTTP/1.1 20", b"HTTP/1.1 200 OK\r\nContent-Le"])
def test_half_a_status_line_and_then_nothing_times_out_and_closes(begun: bytes) -> None:
    async def scenario() -> None:
        async def half(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(begun)

        upstream = Upstream(half)
        async with ProxyHarness(upstream) as harness:
            assert status_of(await harness.request("/pay/x", b"debit", deadline="150m")) == 502
            await upstream.connection_ended.wait()
            assert len(upstream.requests) == 1
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
def test_a_response_with_no_length_that_is_reset_is_not_complete(path: str) -> None:
    """A reset is no end: retryable requests are retried, and the received part is not forwarded."""

    async def scenario() -> None:
        async def cut(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(NO_LENGTH + b"par")
            await writer.drain()
            end_with_reset(writer)

        upstream = Upstream(cut, http_response(200, b"whole"))
        async with ProxyHarness(upstream) as harness:
            response = await harness.request(path, b"" if path == "/read/x" else b"debit")
            assert (status_of(response), response.body) == (
                (200, b"whole") if path == "/read/x" else (502, b"")
            )
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_a_response_with_no_length_that_breaks_off_is_seen_to_be_incomplete(version: bytes) -> None:
    """Guards against an orderly close, which an HTTP/1.0 client takes for the end of the response."""

    async def scenario() -> None:
        may_break_off = asyncio.Event()

        async def cut(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(NO_LENGTH + b"part")
            await may_break_off.wait()
            end_with_reset(writer)

        async with ProxyHarness(Upstream(cut)) as harness:
            client = await harness.connect()
            client.writer.write(
                b"GET /read/x HTTP/" + version + b"\r\nX-Class: read\r\nX-Request-Id: 1\r\n"
                b"X-Deadline: 4000m\r\n\r\n"
            )
            assert b"200" in await client.reader.readuntil(b"\r\n\r\n")
            assert b"part" in await client.reader.readuntil(b"part")
            may_break_off.set()
            if version == b"1.0":
                with pytest.raises(ConnectionResetError):
                    await client.reader.read()
            else:
                assert not (await client.reader.read()).endswith(b"0\r\n\r\n")
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


def end_with_reset(writer: asyncio.StreamWriter) -> None:
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
def test_a_response_that_announces_more_than_the_body_limit_is_none(path: str) -> None:
    """Guards against forwarding its start: then no retry is possible, and the client waits for the rest."""

    async def scenario() -> None:
        async def endless(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100_000)

        upstream = Upstream(endless, http_response(200, b"whole"))
        async with ProxyHarness(upstream) as harness:
            response = await harness.request(path, b"" if path == "/read/x" else b"debit")
            assert (status_of(response), response.body) == (
                (200, b"whole") if path == "/read/x" else (502, b"")
            )
            await upstream.connection_ended.wait()
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


def test_a_response_that_grows_past_the_body_limit_is_broken_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_response, "MAX_BODY_BYTES", 200_000)

    async def scenario() -> None:
        async def endless(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"3e8\r\n" + b"x" * 1_000 + b"\r\n")
                await writer.drain()

        upstream = Upstream(endless)
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.send_request()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await client.read_response()
            await upstream.connection_ended.wait()
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


def test_a_response_that_never_ends_ends_with_its_client() -> None:
    async def scenario() -> None:
        async def endless(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(NO_LENGTH)
            while True:
                writer.write(b"x" * 1_000)
                await writer.drain()
                await asyncio.sleep(0)

        upstream = Upstream(endless)
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.send_request()
            await client.reader.readexactly(100_000)
            client.writer.transport.abort()
            await upstream.connection_ended.wait()
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


@pytest.mark.parametrize("what", [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore", b"\r\n", b""])
@pytest.mark.parametrize("read", ["before its reuse", "at its reuse"])
def test_bytes_or_an_end_on_an_idle_connection_are_no_response_to_the_next_request(
    what: bytes, read: str
) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        upstreams = make_pools(await upstream.start())
        assert await RecordedAttempt(upstreams).outcome() is Outcome.SERVED
        (connection,) = upstreams._pools["s0"].idle_connections
        connection.idle_since_s -= 1.0  # past the reuse delay
        writer = upstream.writers[0]
        if what:
            os.write(writer.get_extra_info("socket").fileno(), what)
        else:
            shut = writer.get_extra_info("socket")
            socket.socket(fileno=os.dup(shut.fileno())).shutdown(socket.SHUT_WR)
        if read == "before its reuse":
            await wait_until(lambda: upstreams.open_connections == 0)
        assert await RecordedAttempt(upstreams).outcome() is Outcome.SERVED
        assert upstream.connection_count == 2
        assert upstreams.open_connections == 1

    run_scenario(scenario())


@pytest.mark.parametrize("first", ["balancer", "upstream"])
def test_idle_timeouts_of_both_sides_at_once_close_a_connection_once(first: str) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        upstreams = make_pools(await upstream.start(), connIdle=1_000.0)
        assert await RecordedAttempt(upstreams).outcome() is Outcome.SERVED
        upstreams._pools["s0"].idle_connections[0].idle_since_s -= 10.0
        ends: list[Callable[[], object]] = [upstreams.close_expired, upstream.writers[0].transport.abort]
        for end in ends if first == "balancer" else reversed(ends):
            end()
        assert await RecordedAttempt(upstreams).outcome() is Outcome.SERVED
        await wait_until(lambda: upstreams.open_connections == 1)
        assert upstream.connection_count == 2

    run_scenario(scenario())


def test_no_connection_stays_open_when_its_server_is_removed() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        upstreams = make_pools(await upstream.start())
        assert upstreams.start_attempt("s0", 1.0, IgnoredAttempt()) is not None
        await wait_until(lambda: bool(upstreams._pools["s0"].idle_connections))
        upstreams.update_endpoints(endpoint_list(is_full_snapshot=True))
        assert upstreams.open_connections == 0

    run_scenario(scenario())
