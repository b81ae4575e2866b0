"""Races of a client's disconnect, a timeout or a deadline with its request and response."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from loadbalancer.interface import UpdateKind
from loadbalancer.net import (
    downstream_flow,
    downstream_timeout,
)
from loadbalancer.net.downstream_reader import RequestReader
from loadbalancer.net.sockets import has_peer_closed
from tests.loopback import (
    HttpClient,
    PausedConnects,
    ProxyHarness,
    Upstream,
    endpoint_list,
    http_response,
    never_answer,
    run_scenario,
    send_now,
    status_of,
    unreleased_resources,
    wait_at_least,
    wait_until,
)

HEAD = b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 4000m\r\n\r\n"
LIMITS = {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 5_000.0}
LONG_DEADLINE_CLASS = {
    "name": "read",
    "target": 90_000.0,
    "deadline": 99_000.0,
    "effect": "retryable",
    "worth": 1.0,
}
may_cancel = pytest.mark.parametrize("cancel", [True, False])


@may_cancel
def test_a_request_is_not_forwarded_if_its_clients_end_lies_behind_an_unread_body(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an attempt for a client whose disconnect goes unnoticed while reading is paused."""

    async def scenario() -> None:
        connects, upstream = PausedConnects(monkeypatch), Upstream()
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": cancel}) as harness:
            client = await harness.connect()
            client.send_request("/pay/x", b"x" * 70_000)
            await connects.started.wait()
            (connection,) = harness.proxy.downstream._connections
            await wait_until(lambda: connection.reader.control.is_paused)
            client.writer.close()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            assert not unreleased_resources(harness.proxy)
            connects.release()
            assert status_of(await harness.request()) == 200
            assert len(upstream.requests) == 1

    run_scenario(scenario())


@may_cancel
def test_pipelined_requests_are_dropped_with_their_client_though_reading_is_paused(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against forwarding queued requests one after another for a client that has disconnected."""
    monkeypatch.setattr(downstream_flow, "DISCONNECT_POLL_INTERVAL_S", 0.005)

    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": cancel}) as harness:
            client = await harness.connect()
            client.writer.write(HEAD * 40)
            (connection,) = harness.proxy.downstream._connections
            await wait_until(lambda: connection.reader.control.is_paused)
            await upstream.request_received.wait()
            await wait_at_least(0.02)  # some polls that see a connected client
            client.writer.close()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            upstream.writers[0].write(http_response())
            await wait_until(lambda: not unreleased_resources(harness.proxy))
            assert len(upstream.requests) == 1

    run_scenario(scenario())


def test_a_request_that_lay_in_the_kernel_until_its_client_disconnected_is_not_forwarded() -> None:
    """Guards against forwarding the request once its connection, which waited for capacity, is accepted."""

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            harness.proxy.downstream.max_connections = 1
            first, late = await harness.connect(), await harness.connect()
            first.send_request()
            assert status_of(await first.read_response()) == 200  # leaves an idle upstream connection
            late.send_request("/pay/x", b"debit")
            await late.writer.drain()
            late.writer.close()
            await late.writer.wait_closed()
            first.writer.close()
            last = await harness.connect()  # after it in the kernel's queue
            last.send_request("/pay/last")
            assert status_of(await last.read_response()) == 200
            assert [a.start_line.split()[1] for a in upstream.requests] == ["/read/x?y=1", "/pay/last"]
            last.writer.close()
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


def test_a_client_that_ends_its_sending_and_reads_no_more_frees_all_at_once() -> None:
    """Guards against missing the disconnect while a response can't be sent: its requests would go on."""

    async def scenario() -> None:
        upstream = Upstream(http_response(200, b"x" * 30_000_000), http_response())
        async with ProxyHarness(upstream) as harness:
            with socket.socket() as unreading:
                unreading.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                unreading.connect(harness.proxy.downstream.address)
                unreading.sendall(HEAD * 2)
                await upstream.request_received.wait()
                (connection,) = harness.proxy.downstream._connections
                await wait_until(
                    lambda: connection.pipeline.is_streaming and connection.pipeline.unsent.size_bytes > 0
                )
                unreading.shutdown(socket.SHUT_WR)
                await wait_until(lambda: not harness.proxy.requests.by_id)
                assert len(upstream.requests) == 1
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            assert not unreleased_resources(harness.proxy)

    run_scenario(scenario())


@pytest.mark.parametrize("path", ["/nosuch/x", "/healthz", "/read/x"])
def test_a_flood_of_bodies_that_are_not_forwarded_keeps_nothing_buffered(path: str) -> None:
    """Guards against rejected bodies counting as buffered for ever, until no body is accepted any more."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            clients = [await harness.connect() for _ in range(50)]
            for client in clients:
                client.send_request(path, b"x" * 60_000, x_class="other")
                client.writer.write(b"GET /read/x HTTP/1.1\r\n")  # and part of another after it
            for client in clients[:25]:
                client.writer.transport.abort()
            for client in clients[25:]:
                assert status_of(await client.read_response()) >= 400
                client.writer.close()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            assert not unreleased_resources(harness.proxy)

    run_scenario(scenario())


def test_a_connection_that_we_have_aborted_counts_as_closed_by_its_peer() -> None:
    """Its descriptor may have been reused: the kernel is not asked."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            client.send_request()
            assert status_of(await client.read_response()) == 200
            (connection,) = harness.proxy.downstream._connections
            transport = connection._transport
            assert transport is not None and not has_peer_closed(transport)
            transport.abort()
            assert has_peer_closed(transport)

    run_scenario(scenario())


def test_hundreds_of_queued_clients_that_disconnect_at_once_release_all_they_used() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream, classes=[LONG_DEADLINE_CLASS]) as harness:
            clients = [await harness.connect() for _ in range(200)]
            for client in clients:
                client.send_request(deadline="90000m")
            await wait_until(lambda: len(harness.proxy.balancer._requests.wait_queue) == 100)
            for client in clients:
                client.writer.close()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            await wait_until(lambda: not unreleased_resources(harness.proxy))
            assert len(upstream.requests) <= 100
            seen = len(upstream.requests)
            upstream.request_received.clear()
            last = await harness.connect()
            last.send_request()
            await upstream.request_received.wait()
            assert len(upstream.requests) == seen + 1
            last.writer.close()

    run_scenario(scenario())


@may_cancel
def test_a_thousand_clients_that_disconnect_while_connections_come_up_have_nothing_forwarded(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        connects, upstream = PausedConnects(monkeypatch), Upstream()
        async with ProxyHarness(
            upstream, classes=[LONG_DEADLINE_CLASS], limits=LIMITS | {"mayCancel": cancel}
        ) as harness:
            harness.proxy.downstream.max_connections = harness.proxy.upstreams.max_connections = 1_100
            harness.proxy.endpoint_list.apply(
                UpdateKind.FULL_SNAPSHOT,
                endpoint_list(harness.entries[0] | {"weight": 1_000.0}, is_full_snapshot=True),
            )
            clients = [await harness.connect() for _ in range(1_000)]
            for client in clients:
                client.send_request(deadline="90000m")
            await wait_until(lambda: connects.count == 1_000)
            for client in clients:
                client.writer.close()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            assert not unreleased_resources(harness.proxy)
            connects.release()
            assert status_of(await harness.request()) == 200
            assert len(upstream.requests) == 1

    run_scenario(scenario())


def test_a_first_request_in_the_instant_of_the_request_timeout_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closing a connection as one without a request while one is unread in the kernel."""
    monkeypatch.setattr(downstream_timeout, "REQUEST_TIMEOUT_S", 0.0)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            on_timeout, sent = RequestReader._on_timeout, list[int]()
            client = HttpClient()

            def send_then_time_out(reader: RequestReader) -> None:
                if not sent and client.writer is not None:
                    sent.append(1)
                    send_now(client, HEAD)
                on_timeout(reader)

            client.writer = None  # type: ignore[assignment]
            monkeypatch.setattr(RequestReader, "_on_timeout", send_then_time_out)
            pending = socket.create_connection(harness.proxy.downstream.address)
            client.reader, client.writer = await asyncio.open_connection(sock=pending)
            response = await client.read_response()
            assert sent and status_of(response) == 200
            client.writer.close()

    run_scenario(scenario())


@pytest.mark.parametrize("first", ["deadline", "answer"])
def test_the_deadline_and_the_response_in_one_turn_give_one_final_response(first: str) -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer, http_response(200, b"second"))
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.writer.write(HEAD * 2)
            await upstream.request_received.wait()
            proxy = harness.proxy
            ((request_id, _),) = proxy.requests.by_id.items()
            ended = proxy.attempts.on_attempt_ended

            def end_at_deadline(*args: Any) -> None:
                proxy.attempts.on_attempt_ended = ended  # type: ignore[method-assign]
                if first == "deadline":
                    proxy.requests.respond_with_error(request_id)
                ended(*args)
                if first == "answer":
                    proxy.requests.respond_with_error(request_id)

            proxy.attempts.on_attempt_ended = end_at_deadline  # type: ignore[method-assign, assignment]
            upstream.writers[0].write(http_response(200, b"first"))
            response = await client.read_response()
            assert (status_of(response), response.body) == (
                (502, b"") if first == "deadline" else (200, b"first")
            )
            assert (await client.read_response()).body == b"second"
            client.writer.close()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            assert not unreleased_resources(proxy)

    run_scenario(scenario())


@pytest.mark.parametrize("first", ["leaves", "answer"])
def test_a_client_that_disconnects_as_its_response_comes_keeps_nothing_reserved(first: str) -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.send_request("/pay/x", b"debit")
            await upstream.request_received.wait()
            if first == "leaves":
                client.writer.transport.abort()
                upstream.writers[0].write(http_response())
            else:
                upstream.writers[0].write(http_response())
                client.writer.transport.abort()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


def test_a_request_that_was_never_written_is_rejected_at_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 502 for a request whose connection never came up: clients may not retry that."""

    async def scenario() -> None:
        connects = PausedConnects(monkeypatch)
        async with ProxyHarness(Upstream(), limits=LIMITS) as harness:
            client = await harness.connect()
            client.send_request("/pay/x", b"debit", deadline="60000m")
            await connects.started.wait()
            ((request_id, _),) = harness.proxy.requests.by_id.items()
            harness.proxy.requests.respond_with_error(request_id)
            assert status_of(await client.read_response()) == 503
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())
