"""Validation, timeouts and limits of client connections, on loopback sockets."""

from __future__ import annotations

import pytest

from loadbalancer.net import downstream_timeout
from tests.loopback import (
    ProxyHarness,
    Upstream,
    run_scenario,
    status_of,
)


@pytest.mark.parametrize(
    ("raw", "wanted"),
    [
        (b"GET /load HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        (b"GET /other HTTP/1.1\r\nHost: h\r\nX-Class: other\r\n\r\n", 404),
        (b"GET /read HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Deadline: 9m\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nHost: h\r\nX-Class: read\r\nX-Request-Id: 1\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: nanm\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: -5m\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 5s\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Deadline: 90m\r\n\r\n", 400),
        (b"DELETE /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 90m\r\n\r\n", 405),
        (b"\x16\x03\x01 not http\r\n\r\n", 400),
        (b"POST /read HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n" + b"x" * 70_000, 413),
        (b"GET /read HTTP/1.1\r\nX-Long: " + b"x" * 70_000 + b"\r\n\r\n", 431),
    ],
)
def test_invalid_request_is_rejected_and_reaches_no_upstream(raw: bytes, wanted: int) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.writer.write(raw)
            assert status_of(await client.read_response()) == wanted
            assert not upstream.requests and upstream.connection_count == 0

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("raw", "wanted"),
    [
        (b"", b""),
        (b"\r\n", b""),
        (b"GET /read HTTP/1.1\r\nHost: h\r\n", b"HTTP/1.1 408 Request Timeout"),
        (b"POST /pay HTTP/1.1\r\nContent-Length: 9\r\n\r\nshort", b"HTTP/1.1 408 Request Timeout"),
    ],
)
def test_client_without_a_complete_request_is_disconnected(
    raw: bytes, wanted: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against such clients holding connections for ever while clients with requests wait."""
    monkeypatch.setattr(downstream_timeout, "REQUEST_TIMEOUT_S", 0.01)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            client.writer.write(raw)
            assert (await client.reader.read()).partition(b"\r\n")[0] == wanted

    run_scenario(scenario())


def test_client_between_requests_is_not_disconnected() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            client.send_request()
            assert status_of(await client.read_response()) == 200
            (connection,) = harness.proxy.downstream._connections
            assert connection.reader._timer._handle is None

    run_scenario(scenario())


def test_health_check_is_answered_at_once() -> None:
    async def scenario() -> None:
        async with ProxyHarness() as harness:
            client = await harness.connect()
            client.writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            assert status_of(await client.read_response()) == 200

    run_scenario(scenario())


def test_response_to_a_request_for_no_service_closes_the_connection() -> None:
    """Guards against hundreds of clients that ask once and stay, while clients with requests wait."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            for path in (b"/healthz", b"/nosuch"):
                client = await harness.connect()
                client.writer.write(b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % path)
                assert (await client.read_response()).headers["connection"] == "close"
                assert await client.reader.read() == b""

    run_scenario(scenario())


def test_clients_past_the_connection_limit_wait_and_idle_ones_are_evicted() -> None:
    """Guards against no retry of the eviction once the clients at the limit have become idle."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            harness.proxy.downstream.max_connections = 2
            first, second = await harness.connect(), await harness.connect()
            for client in (first, second):
                client.send_request()
                assert status_of(await client.read_response()) == 200
            assert status_of(await harness.request()) == 200  # once one has been idle for a second
            assert await first.reader.read() == b""

    run_scenario(scenario())
