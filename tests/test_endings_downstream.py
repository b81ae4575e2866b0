"""What is owed in the instant in which a client leaves, or the process ends."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.interface import UpdateKind
from loadbalancer.net import (
    downstream_connection,
    downstream_flow,
    downstream_listener,
    downstream_timeout,
)
from loadbalancer.net.downstream_reader import RequestReader
from loadbalancer.net.sockets import has_peer_closed
from tests.loopback import (
    HttpClient,
    HttpMessage,
    ListServer,
    PausedConnects,
    ProxyHarness,
    Upstream,
    config_text,
    endpoint_entry,
    endpoint_list,
    http_response,
    never_answer,
    run_scenario,
    running_program,
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


# ---- a caller leaves ----------------------------------------------------------------------------


@may_cancel
def test_a_request_is_not_forwarded_if_its_clients_end_lies_behind_an_unread_body(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reading was paused, so nobody saw its end, and its request was sent when the connection was up."""

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
    """Each was sent on as the one before it was answered, to a client that had gone long ago."""
    monkeypatch.setattr(downstream_flow, "DISCONNECT_POLL_INTERVAL_S", 0.005)

    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": cancel}) as harness:
            client = await harness.connect()
            client.writer.write(HEAD * 40)
            (connection,) = harness.proxy.downstream._connections
            await wait_until(lambda: connection.reader.control.is_paused)
            await upstream.request_received.wait()
            await wait_at_least(0.02)  # some looks that see a caller that is there
            client.writer.close()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            upstream.writers[0].write(http_response())
            await wait_until(lambda: not unreleased_resources(harness.proxy))
            assert len(upstream.requests) == 1

    run_scenario(scenario())


def test_a_request_that_lay_in_the_kernel_until_its_client_disconnected_is_not_forwarded() -> None:
    """There was no place for its connection; it was sent on when one became free."""

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            harness.proxy.downstream.max_connections = 1
            first, late = await harness.connect(), await harness.connect()
            first.send_request()
            assert (
                status_of(await first.read_response()) == 200
            )  # its upstream connection idles: no dial delays the next
            late.send_request("/pay/x", b"debit")
            await late.writer.drain()
            late.writer.close()
            await late.writer.wait_closed()
            first.writer.close()
            last = await harness.connect()  # behind it in the kernel's queue
            last.send_request("/pay/last")
            assert status_of(await last.read_response()) == 200
            assert [a.start_line.split()[1] for a in upstream.requests] == ["/read/x?y=1", "/pay/last"]
            last.writer.close()
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


def test_a_client_that_ends_its_sending_and_reads_no_more_frees_all_at_once() -> None:
    """While its answer could not leave it was not seen to have gone, and all it had asked for went on."""

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
    """The bytes of bodies that were turned away counted as held for good, till nobody might send any."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            clients = [await harness.connect() for _ in range(50)]
            for client in clients:
                client.send_request(path, b"x" * 60_000, x_class="other")
                client.writer.write(b"GET /read/x HTTP/1.1\r\n")  # and part of another behind it
            for client in clients[:25]:
                client.writer.transport.abort()
            for client in clients[25:]:
                assert status_of(await client.read_response()) >= 400
                client.writer.close()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            assert not unreleased_resources(harness.proxy)

    run_scenario(scenario())


def test_a_connection_that_we_have_aborted_counts_as_closed_by_its_peer() -> None:
    """Its descriptor may be another's by now: it is not asked."""

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


def send_now(client: HttpClient, data: bytes) -> None:
    """Put bytes into the kernel in this very instant."""
    os.write(client.writer.get_extra_info("socket").fileno(), data)


def test_a_first_request_in_the_instant_of_the_request_timeout_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It lay in the kernel, unread, when its connection was ended as one that asks for nothing."""
    monkeypatch.setattr(downstream_timeout, "REQUEST_TIMEOUT_S", 0.0)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            on_timeout, crossed = RequestReader._on_timeout, list[int]()
            client = HttpClient()

            def crossing(reader: RequestReader) -> None:
                if not crossed and client.writer is not None:
                    crossed.append(1)
                    send_now(client, HEAD)
                on_timeout(reader)

            client.writer = None  # type: ignore[assignment]
            monkeypatch.setattr(RequestReader, "_on_timeout", crossing)
            pending = socket.create_connection(harness.proxy.downstream.address)
            client.reader, client.writer = await asyncio.open_connection(sock=pending)
            answer = await client.read_response()
            assert crossed and status_of(answer) == 200
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
            ((number, _),) = proxy.requests.by_id.items()
            ended = proxy.attempts.on_attempt_ended

            def crossing(*args: Any) -> None:
                proxy.attempts.on_attempt_ended = ended  # type: ignore[method-assign]
                if first == "deadline":
                    proxy.requests.rescue(number)
                ended(*args)
                if first == "answer":
                    proxy.requests.rescue(number)

            proxy.attempts.on_attempt_ended = crossing  # type: ignore[method-assign, assignment]
            upstream.writers[0].write(http_response(200, b"first"))
            answer = await client.read_response()
            assert (status_of(answer), answer.body) == (
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
    """It was answered as failed, though its connection had never come up: nobody might ask again."""

    async def scenario() -> None:
        connects = PausedConnects(monkeypatch)
        async with ProxyHarness(Upstream(), limits=LIMITS) as harness:
            client = await harness.connect()
            client.send_request("/pay/x", b"debit", deadline="60000m")
            await connects.started.wait()
            ((number, _),) = harness.proxy.requests.by_id.items()
            harness.proxy.requests.rescue(number)
            assert status_of(await client.read_response()) == 503
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


# ---- the process ends ---------------------------------------------------------------------------


def shut_down_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The time to stay is over as soon as it begins."""
    for name in ("SHUTDOWN_ACCEPT_S", "MAX_SHUTDOWN_S", "SHUTDOWN_FINAL_S"):
        monkeypatch.setattr(downstream_listener, name, 0.0)


def test_requests_behind_one_that_hangs_are_answered_at_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first was answered, the next was taken up and sent on, and the process ended under it."""
    shut_down_at_once(monkeypatch)

    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.writer.write(HEAD * 3)
            await upstream.request_received.wait()
            await harness.proxy.downstream.shut_down()
            assert [status_of(await client.read_response()) for _ in range(3)] == [502, 503, 503]
            assert await client.reader.read() == b""
            assert len(upstream.requests) == 1
            assert not unreleased_resources(harness.proxy)

    run_scenario(scenario())


def test_a_slow_reader_gets_the_rest_of_its_response_before_the_process_exits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Whoever had not read when the time was up found its answer cut off."""
    shut_down_at_once(monkeypatch)

    async def scenario() -> None:
        large = b"x" * 8_000_000
        async with ProxyHarness(Upstream(http_response(200, large))) as harness:
            client = await harness.connect()
            client.send_request()
            (connection,) = harness.proxy.downstream._connections
            await wait_until(lambda: connection.pipeline.is_streaming)
            ending = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            await wait_until(lambda: harness.proxy.intake.is_closed)
            await wait_at_least(0.05)
            assert not ending.done()
            assert (await client.read_response()).body == large
            assert await client.reader.read() == b""
            client.writer.close()
            await ending
            assert not unreleased_resources(harness.proxy)

    run_scenario(scenario())


def test_a_response_that_is_cut_off_by_shutdown_is_seen_to_be_incomplete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shut_down_at_once(monkeypatch)
    monkeypatch.setattr(downstream_listener, "SHUTDOWN_UNREAD_S", 0.0)

    async def scenario() -> None:
        async def part(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")

        async with ProxyHarness(Upstream(part)) as harness:
            client = await harness.connect()
            client.writer.write(HEAD.replace(b"HTTP/1.1", b"HTTP/1.0"))
            assert b"part" in await client.reader.readuntil(b"part")
            await harness.proxy.downstream.shut_down()
            with pytest.raises(ConnectionResetError):
                await client.reader.read()

    run_scenario(scenario())


@pytest.mark.parametrize("at", ["while there is time", "when the time is up"])
@pytest.mark.parametrize("sent", [b"", HEAD[:40], HEAD])
def test_input_that_crosses_our_half_close_is_dropped_and_the_close_is_clean(
    sent: bytes, at: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A close over unread bytes resets the connection, and takes the answer before them with it."""
    shut_down_at_once(monkeypatch)
    monkeypatch.setattr(downstream_listener, "SHUTDOWN_FINAL_S", 5.0)
    if at == "while there is time":
        monkeypatch.setattr(downstream_listener, "MAX_SHUTDOWN_S", 5.0)
        monkeypatch.setattr(downstream_listener, "SHUTDOWN_KEEP_ALIVE_FRACTION", 0.0)
    monkeypatch.setattr(downstream_connection, "NEW_CONNECTION_GRACE_S", 0.0)
    monkeypatch.setattr(downstream_listener, "NEW_CONNECTION_GRACE_S", 0.0)

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.send_request()
            await upstream.request_received.wait()
            (connection,) = harness.proxy.downstream._connections
            half_close = connection.half_close

            def crossing() -> None:
                half_close()
                send_now(client, sent)  # in our kernel, unread, right after the half-close

            monkeypatch.setattr(connection, "half_close", crossing)
            await wait_until(lambda: not harness.proxy.requests.by_id)
            ending = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            answer = await client.read_response()
            assert status_of(answer) == 200 and answer.body == b"tile"
            assert await client.reader.read() == b""
            client.writer.close()
            await ending
            assert len(upstream.requests) == 1

    run_scenario(scenario())


def test_a_request_that_comes_at_the_shutdown_deadline_is_rejected_with_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It lay in the kernel when its connection was ended, and had no answer."""
    shut_down_at_once(monkeypatch)
    monkeypatch.setattr(downstream_listener, "SHUTDOWN_FINAL_S", 5.0)

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.send_request()
            assert status_of(await client.read_response()) == 200
            close = harness.proxy.intake.on_shutdown_deadline

            def crossing() -> None:
                send_now(client, HEAD)
                close()

            monkeypatch.setattr(harness.proxy.intake, "on_shutdown_deadline", crossing)
            ending = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            assert status_of(await client.read_response()) == 503
            assert await client.reader.read() == b""
            client.writer.close()
            await ending
            assert len(upstream.requests) == 1

    run_scenario(scenario())


def test_a_connection_in_the_kernels_queue_at_shutdown_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All places were taken: it was reset with the listener, though the machine had accepted it."""
    monkeypatch.setattr(downstream_listener, "SHUTDOWN_ACCEPT_S", 0.0)

    async def scenario() -> None:
        upstream = Upstream(never_answer, http_response())
        async with ProxyHarness(upstream) as harness:
            harness.proxy.downstream.max_connections = 1
            first, late = await harness.connect(), await harness.connect()
            first.send_request()
            await upstream.request_received.wait()
            late.send_request()
            await late.writer.drain()
            ending = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            await wait_until(lambda: harness.proxy.downstream.is_shutting_down)
            await wait_at_least(0.05)
            upstream.writers[0].write(http_response())
            assert status_of(await first.read_response()) == 200
            first.writer.close()
            assert status_of(await late.read_response()) == 200
            late.writer.close()
            await ending

    run_scenario(scenario())


def test_a_body_that_comes_in_at_the_shutdown_deadline_is_answered_and_read_to_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shut_down_at_once(monkeypatch)
    monkeypatch.setattr(downstream_listener, "SHUTDOWN_FINAL_S", 5.0)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            request_head = HEAD.replace(b"GET /read", b"POST /pay").replace(b": read", b": pay")
            client.writer.write(request_head[:-2] + b"Content-Length: 400000\r\n\r\n" + b"x" * 100_000)
            await wait_until(lambda: bool(harness.proxy.requests.by_id))
            ending = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            await wait_until(lambda: harness.proxy.intake.is_closed)
            (connection,) = harness.proxy.downstream._connections
            send_now(client, b"x" * 1_000)  # more of it is there each time we look
            connection.close_at_shutdown()
            assert connection._is_half_closed
            client.writer.write(b"x" * 299_000)
            assert status_of(await client.read_response()) >= 500
            assert await client.reader.read() == b""
            client.writer.close()
            await ending
            assert not unreleased_resources(harness.proxy)

    run_scenario(scenario())


def test_the_program_exits_with_every_response_sent_whatever_signals_come(tmp_path: Path) -> None:
    """In flight past its deadline, half a request, idle, pipelined; a second SIGTERM and SIGHUP meanwhile."""

    async def scenario() -> None:
        upstream, lists, path = Upstream(never_answer), ListServer(), tmp_path / "config.json"
        classes = [{"name": "read", "target": 200.0, "deadline": 400.0, "effect": "fragile", "worth": 1.0}]
        port = free_port()
        entries = [endpoint_entry("s0", await upstream.start())]
        config = json.loads(config_text(await lists.start(), entries, classes=classes))
        path.write_text(json.dumps(config | {"listen": f"127.0.0.1:{port}", "console": ""}))
        async with running_program(path) as process:
            flight, half, idle = [await connected(port) for _ in range(3)]
            flight.writer.write(HEAD.replace(b"4000m", b"60000m") * 2)
            await upstream.request_received.wait()
            half.writer.write(HEAD[:50])
            for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
                process.send_signal(number)
            half.writer.write(HEAD[50:].replace(b"4000m", b"60000m"))
            assert await idle.reader.read() == b""
            idle.writer.write(HEAD.replace(b"Id: 1", b"Id: 9"))  # crosses the end of its connection
            assert status_of(await flight.read_response()) in (502, 503)
            assert status_of(await flight.read_response()) in (502, 503)
            assert status_of(await half.read_response()) in (502, 503)
            for client in (flight, half):
                assert await client.reader.read() == b"", "no reset"
                client.writer.close()
            idle.writer.close()
            assert await process.wait() == 0
            assert {a.headers["x-request-id"] for a in upstream.requests} == {"1"}, "nothing that crossed"

    run_scenario(scenario())


def test_a_flood_of_peers_that_send_much_and_disconnect_changes_nothing_in_the_program(
    tmp_path: Path,
) -> None:
    """Descriptors and memory of the process itself are looked at: what is not counted shows here, too."""

    async def scenario() -> None:
        upstream, lists, path, port = Upstream(), ListServer(), tmp_path / "config.json", free_port()
        config = json.loads(config_text(await lists.start(), [endpoint_entry("s0", await upstream.start())]))
        limits = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
        path.write_text(json.dumps(config | {"listen": f"127.0.0.1:{port}", "console": "", "limits": limits}))
        async with running_program(path) as process:
            first = await connected(port)
            first.send_request()
            assert status_of(await first.read_response()) == 200
            first.writer.close()
            status_files = Path("/proc", str(process.pid))
            before = len(list((status_files / "fd").iterdir())), resident_mb(status_files)
            for kind in FLOODS:
                await asyncio.gather(*[send_and_go(port, kind) for _ in range(150)])
            last = await connected(port)
            last.send_request()
            assert status_of(await last.read_response()) == 200
            last.writer.close()
            while len(list((status_files / "fd").iterdir())) > before[0]:
                await asyncio.sleep(0.01)
            assert resident_mb(status_files) < before[1] + 20

    run_scenario(scenario())


FLOODS = (
    b"\x16\x03\x01" + b"x" * 60_000,
    b"GET /read/x HTTP/1.1\r\n" + b"X: y\r\n" * 9_000,
    b"POST /nosuch/x HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000,
    b"POST /pay/x HTTP/1.1\r\nX-Class: pay\r\nX-Request-Id: 1\r\nX-Deadline: 900m\r\n"
    b"Content-Length: 500000\r\n\r\n" + b"x" * 200_000,
)


async def send_and_go(port: int, what: bytes) -> None:
    with contextlib.suppress(ConnectionError):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(what)
        writer.transport.abort()


def resident_mb(process: Path) -> float:
    """Of the pages that are in memory."""
    return int((process / "statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def connected(port: int) -> HttpClient:
    """A client of a program that is starting."""
    client = HttpClient()
    while True:
        try:
            client.reader, client.writer = await asyncio.open_connection("127.0.0.1", port)
            return client
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)
