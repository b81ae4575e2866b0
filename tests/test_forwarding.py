"""Requests are forwarded to an upstream, and its responses to the client: the proxy on loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from loadbalancer import interface
from loadbalancer.interface import Outcome
from loadbalancer.net import upstream_pool
from tests.loopback import (
    HttpMessage,
    ProxyHarness,
    Upstream,
    http_response,
    never_answer,
    reset_connection,
    run_scenario,
    status_of,
)
from tests.recorded_events import attempt_outcomes, record_events


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def scenario() -> None:
        upstream = Upstream(http_response(200, b"\x00tile", "Content-Type: image/x", "X-Load: inflight=7"))
        async with ProxyHarness(upstream) as harness:
            response = await harness.request(
                "/pay/a?b=c",
                b"debit",
                x_request_id="9b1f03aa",
                idempotency_key="5c0f",
                connection="keep-alive",
            )
            assert (status_of(response), response.body) == (200, b"\x00tile")
            assert response.headers["content-type"] == "image/x"
            request = upstream.requests[0]
            assert (request.start_line, request.body) == ("POST /pay/a?b=c HTTP/1.1", b"debit")
            assert request.headers["x-request-id"] == "9b1f03aa"
            assert request.headers["idempotency-key"] == "5c0f"
            assert request.headers["x-class"] == "pay"
            remaining = request.headers["x-deadline"]
            assert remaining.endswith("u") and 0 < int(remaining[:-1]) <= 2_000_000  # its objective is 2 s

    run_scenario(scenario())


def test_deadline_in_microseconds_is_read_as_such() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            assert status_of(await harness.request(deadline="900000u")) == 200
            assert 0 < int(upstream.requests[0].headers["x-deadline"][:-1]) <= 900_000

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("script", "outcome", "final"),
    [
        (http_response(503, b"", "X-Not-Run: 1"), Outcome.REJECTED, 503),
        (http_response(504, b"", "X-Not-Run: 1"), Outcome.REJECTED, 503),
        (http_response(503, b""), Outcome.ERROR, 502),
        (http_response(500, b""), Outcome.ERROR, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", Outcome.RESET, 502),
        (b"nonsense\r\n\r\n", Outcome.RESET, 502),
        (reset_connection, Outcome.RESET, 502),
    ],
)
def test_upstream_ending_decides_outcome_and_status(script: Any, outcome: Outcome, final: int) -> None:
    async def cut(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        if isinstance(script, bytes):
            writer.write(script)
            if b"cut" in script:
                writer.close()
        else:
            await script(request, writer)

    async def scenario() -> None:
        upstream = Upstream(cut)
        async with ProxyHarness(upstream) as harness:
            events = record_events(harness)
            assert status_of(await harness.request("/pay/x", b"debit")) == final
            # A rejected attempt never ran, so the decision module may retry it; any other it must not.
            assert set(attempt_outcomes(events)) == {outcome}
            assert len(upstream.requests) == (3 if outcome is Outcome.REJECTED else 1)

    run_scenario(scenario())


def test_refused_connection_is_a_failed_connect_and_another_server_is_tried() -> None:
    async def scenario() -> None:
        refusing, upstream = Upstream(), Upstream()
        async with ProxyHarness(refusing, upstream) as harness:
            refusing.server.close()
            await refusing.server.wait_closed()
            events = record_events(harness)
            responses = [await harness.request("/pay/x", b"debit") for _ in range(8)]
            assert {status_of(a) for a in responses} == {200}
            assert Outcome.CONNECT_FAILED in attempt_outcomes(events)
            assert attempt_outcomes(events).count(Outcome.SERVED) == len(upstream.requests) == 8

    run_scenario(scenario())


def test_silent_upstream_times_out_and_client_is_answered_before_deadline() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream) as harness:
            events = record_events(harness)
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert status_of(await harness.request("/pay/x", b"debit", deadline="300m")) == 502
            assert loop.time() - began < 0.3 + 0.05
            assert attempt_outcomes(events) == [Outcome.TIMED_OUT]
            await upstream.connection_ended.wait()  # a timeout closes the connection

    run_scenario(scenario())


def test_served_attempt_cancels_the_hedged_one_and_each_ends_once() -> None:
    async def scenario() -> None:
        first, second = Upstream(never_answer), Upstream(never_answer)
        async with ProxyHarness(first, second) as harness:
            events = record_events(harness)
            harness.proxy.balancer._estimates.latencies.smoothed_ms["read"] = (
                100.0  # the usual latency, long exceeded when the hedged request is sent
            )
            client = await harness.connect()
            client.send_request(deadline="1200m")
            await asyncio.gather(first.request_received.wait(), second.request_received.wait())
            second.writers[0].write(http_response(200, b"second"))
            assert (await client.read_response()).body == b"second"
            await first.connection_ended.wait()
            assert sorted(o.value for o in attempt_outcomes(events)) == ["cancelled", "served"]
            assert not harness.proxy.requests.by_id

    run_scenario(scenario())


def test_client_disconnect_is_reported_and_cancels_its_attempt() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream) as harness:
            events = record_events(harness)
            client = await harness.connect()
            client.send_request()
            await upstream.request_received.wait()
            client.writer.close()
            await upstream.connection_ended.wait()
            assert any(isinstance(e, interface.ClientDisconnected) for e in events)
            assert attempt_outcomes(events) == [Outcome.CANCELLED]
            assert not harness.proxy.requests.by_id

    run_scenario(scenario())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def echo(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, request.start_line.encode()))

    async def scenario() -> None:
        async with ProxyHarness(Upstream(echo)) as harness:
            client = await harness.connect()
            for i in range(40):
                client.send_request(f"/read/{i}")
            for i in range(40):
                assert (await client.read_response()).body == f"GET /read/{i} HTTP/1.1".encode()

    run_scenario(scenario())


def test_connections_are_reused_unless_the_upstream_has_closed_them(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_pool, "REUSE_DELAY_S", 0.0)  # else the next request comes too soon

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            for _ in range(3):
                assert status_of(await harness.request("/pay/x", b"debit")) == 200
            assert upstream.connection_count == 1
            upstream.writers[0].close()
            await upstream.writers[0].wait_closed()
            events = record_events(harness)
            assert status_of(await harness.request("/pay/x", b"debit")) == 200
            assert attempt_outcomes(events) == [Outcome.SERVED]
            assert upstream.connection_count == 2

    run_scenario(scenario())


def test_nagle_is_off_on_both_sides() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            client.send_request()
            await client.read_response()
            (connection,) = harness.proxy.downstream._connections
            for transport in (
                harness.proxy.upstreams._pools["s0"].idle_connections[0]._transport,
                connection._transport,
            ):
                assert transport is not None
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run_scenario(scenario())
