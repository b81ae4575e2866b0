"""A graceful shutdown answers all requests that have been sent, and ends in time."""

from __future__ import annotations

import asyncio
import socket

import pytest

from loadbalancer.interface import Outcome
from loadbalancer.net import downstream_listener
from tests.loopback import (
    ProxyHarness,
    Upstream,
    http_response,
    never_answer,
    run_scenario,
    status_of,
)
from tests.recorded_events import attempt_outcomes, record_events


def test_shutdown_answers_requests_in_flight_and_accepts_late_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against sending clients away at once, when the other balancer may be restarting too."""
    monkeypatch.setattr(downstream_listener, "SHUTDOWN_KEEP_ALIVE_FRACTION", 0.0)
    monkeypatch.setattr(downstream_listener, "SHUTDOWN_ACCEPT_S", 1.0)

    async def scenario() -> None:
        upstream = Upstream(http_response(), never_answer, http_response())
        async with ProxyHarness(upstream) as harness:
            idle, busy = await harness.connect(), await harness.connect()
            idle.send_request()
            assert status_of(await idle.read_response()) == 200
            upstream.request_received.clear()
            busy.send_request("/pay/x", b"debit")
            await upstream.request_received.wait()
            shutdown = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            await asyncio.sleep(0)
            late = await harness.request()
            assert status_of(late) == 200 and "connection" not in late.headers
            idle.send_request()
            assert status_of(await idle.read_response()) == 200  # it keeps its connection
            assert await idle.reader.read() == b""  # then a clean end, no reset
            upstream.writers[-1].write(b"")
            for writer in upstream.writers:
                writer.write(http_response(200, b"at last"))
            response = await busy.read_response()
            assert (status_of(response), response.body) == (200, b"at last")
            assert response.headers["connection"] == "close"
            busy.writer.close()
            idle.writer.close()
            await shutdown

    run_scenario(scenario())


def test_request_in_the_accept_queue_at_shutdown_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a reset of a connection that the kernel has accepted and the process has not."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.net.downstream_listener.SHUTDOWN_ACCEPT_S", 0.0)
        async with ProxyHarness(Upstream()) as harness:
            listener = harness.proxy.downstream
            clients: list[socket.socket] = []
            accept = listener._accept

            def connect_then_accept() -> bool:
                clients.append(socket.create_connection(listener.address))
                clients[0].sendall(
                    b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 900m\r\n\r\n"
                )
                return accept()

            monkeypatch.setattr(listener, "_accept", connect_then_accept)
            shutdown = asyncio.ensure_future(listener.shut_down())
            while not clients:
                await asyncio.sleep(0)
            clients[0].setblocking(False)
            response = await asyncio.get_running_loop().sock_recv(clients[0], 100)
            assert response.startswith(b"HTTP/1.1 200")
            clients[0].close()
            await shutdown

    run_scenario(scenario())


def test_shutdown_answers_what_hangs_at_its_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """Requests open at the deadline get a response before the platform kills the process."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.net.downstream_listener.SHUTDOWN_ACCEPT_S", 0.0)
        monkeypatch.setattr("loadbalancer.net.downstream_listener.MAX_SHUTDOWN_S", 0.2)
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.send_request("/pay/x", b"debit")
            await upstream.request_received.wait()
            events = record_events(harness)
            shutdown = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            assert status_of(await client.read_response()) == 502
            await shutdown
            assert attempt_outcomes(events) == [Outcome.CANCELLED]  # its own timeout had not expired

    run_scenario(scenario())


def test_request_crossing_the_close_of_an_idle_connection_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closing a connection as idle while a request is unread in the kernel."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.net.downstream_listener.SHUTDOWN_ACCEPT_S", 0.0)
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            client.send_request()
            assert status_of(await client.read_response()) == 200
            (connection,) = harness.proxy.downstream._connections
            is_idle, sent = connection.is_idle, list[int]()

            def send_then_check() -> bool:
                if not sent:
                    sent.append(1)
                    client.send_request()  # written at once, and not read before `is_idle` returns
                return is_idle()

            monkeypatch.setattr(connection, "is_idle", send_then_check)
            shutdown = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            response = await client.read_response()
            assert status_of(response) == 200 and response.headers["connection"] == "close"
            client.writer.close()
            await shutdown

    run_scenario(scenario())
