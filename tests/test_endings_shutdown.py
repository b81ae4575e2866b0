"""Requests, responses and connections that are open when the process shuts down."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
from pathlib import Path

import pytest

from loadbalancer.net import (
    downstream_connection,
    downstream_listener,
)
from tests.loopback import (
    HttpClient,
    HttpMessage,
    ListServer,
    ProxyHarness,
    Upstream,
    config_text,
    endpoint_entry,
    http_response,
    never_answer,
    run_scenario,
    running_program,
    send_now,
    status_of,
    unreleased_resources,
    wait_at_least,
    wait_until,
)

HEAD = b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 4000m\r\n\r\n"


def shut_down_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Set the periods of a shutdown to zero."""
    for name in ("SHUTDOWN_ACCEPT_S", "MAX_SHUTDOWN_S", "SHUTDOWN_FINAL_S"):
        monkeypatch.setattr(downstream_listener, name, 0.0)


def test_requests_behind_one_that_hangs_are_answered_at_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against forwarding the second request once the first is answered, as the process exits."""
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
    """Guards against cutting off a response that is not read when the time is up."""
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


def test_a_response_that_its_server_still_writes_is_not_cut_off_by_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against ending the process under a long response that makes progress."""
    shut_down_at_once(monkeypatch)
    monkeypatch.setattr(downstream_listener, "SHUTDOWN_UNREAD_S", 0.4)
    parts = [bytes([number]) * 50_000 for number in range(12)]

    async def scenario() -> None:
        async def write_slowly(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n")
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0.1)

        async with ProxyHarness(Upstream(write_slowly)) as harness:
            client = await harness.connect()
            client.send_request()
            (connection,) = harness.proxy.downstream._connections
            await wait_until(lambda: connection.pipeline.is_streaming)
            ending = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            assert (await client.read_response()).body == b"".join(parts)
            client.writer.close()
            await ending

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
    """Closing a socket with unread bytes resets the connection, and the client loses its response."""
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
                send_now(client, sent)  # in the kernel, unread, right after the half-close

            monkeypatch.setattr(connection, "half_close", crossing)
            await wait_until(lambda: not harness.proxy.requests.by_id)
            ending = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            response = await client.read_response()
            assert status_of(response) == 200 and response.body == b"tile"
            assert await client.reader.read() == b""
            client.writer.close()
            await ending
            assert len(upstream.requests) == 1

    run_scenario(scenario())


def test_a_request_that_comes_at_the_shutdown_deadline_is_rejected_with_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closing its connection without a response while it is unread in the kernel."""
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
    """Guards against a reset at the close of the listener if the connection limit was reached."""
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
            send_now(client, b"x" * 1_000)  # unread input at each check
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
    """Requests in flight past a deadline, partial, pipelined; an idle client; SIGTERM twice, and SIGHUP."""

    async def scenario() -> None:
        upstream, lists, path = Upstream(never_answer), ListServer(), tmp_path / "config.json"
        classes = [{"name": "read", "target": 200.0, "deadline": 400.0, "effect": "fragile", "worth": 1.0}]
        port = free_port()
        entries = [endpoint_entry("s0", await upstream.start())]
        config = json.loads(config_text(await lists.start(), entries, classes=classes))
        path.write_text(json.dumps(config | {"listen": f"127.0.0.1:{port}", "console": ""}))
        async with running_program(path) as process:
            in_flight, partial, idle = [await connect_when_ready(port) for _ in range(3)]
            long = HEAD.replace(b"4000m", b"60000m")
            in_flight.writer.write(long + long.replace(b"Id: 1", b"Id: 2"))
            await upstream.request_received.wait()
            third = long.replace(b"Id: 1", b"Id: 3")
            partial.writer.write(third[:50])
            for signal_number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
                process.send_signal(signal_number)
            partial.writer.write(third[50:])
            assert await idle.reader.read() == b""
            idle.writer.write(HEAD.replace(b"Id: 1", b"Id: 9"))  # crosses the close of its connection
            assert status_of(await in_flight.read_response()) in (502, 503)
            assert status_of(await in_flight.read_response()) in (502, 503)
            assert status_of(await partial.read_response()) in (502, 503)
            for client in (in_flight, partial):
                assert await client.reader.read() == b"", "no reset"
                client.writer.close()
            idle.writer.close()
            assert await process.wait() == 0
            assert "9" not in {a.headers["x-request-id"] for a in upstream.requests}, "nothing that crossed"

    run_scenario(scenario())


def test_a_flood_of_peers_that_send_much_and_disconnect_changes_nothing_in_the_program(
    tmp_path: Path,
) -> None:
    """Checks descriptors and memory of the process itself, where uncounted resources show, too."""

    async def scenario() -> None:
        upstream, lists, path, port = Upstream(), ListServer(), tmp_path / "config.json", free_port()
        config = json.loads(config_text(await lists.start(), [endpoint_entry("s0", await upstream.start())]))
        limits = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
        path.write_text(json.dumps(config | {"listen": f"127.0.0.1:{port}", "console": "", "limits": limits}))
        async with running_program(path) as process:
            first = await connect_when_ready(port)
            first.send_request()
            assert status_of(await first.read_response()) == 200
            first.writer.close()
            status_files = Path("/proc", str(process.pid))
            before = len(list((status_files / "fd").iterdir())), resident_mb(status_files)
            for flood in FLOOD_PAYLOADS:
                await asyncio.gather(*[send_and_abort(port, flood) for _ in range(150)])
            last = await connect_when_ready(port)
            last.send_request()
            assert status_of(await last.read_response()) == 200
            last.writer.close()
            while len(list((status_files / "fd").iterdir())) > before[0]:
                await asyncio.sleep(0.01)
            assert resident_mb(status_files) < before[1] + 20

    run_scenario(scenario())


FLOOD_PAYLOADS = (
    b"\x16\x03\x01" + b"x" * 60_000,
    b"GET /read/x HTTP/1.1\r\n" + b"X: y\r\n" * 9_000,
    b"POST /nosuch/x HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000,
    b"POST /pay/x HTTP/1.1\r\nX-Class: pay\r\nX-Request-Id: 1\r\nX-Deadline: 900m\r\n"
    b"Content-Length: 500000\r\n\r\n" + b"x" * 200_000,
)


async def send_and_abort(port: int, payload: bytes) -> None:
    with contextlib.suppress(ConnectionError):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(payload)
        writer.transport.abort()


def resident_mb(process: Path) -> float:
    """Return the resident memory of a process."""
    return int((process / "statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def connect_when_ready(port: int) -> HttpClient:
    """Connect a client to a program that is starting."""
    client = HttpClient()
    while True:
        try:
            client.reader, client.writer = await asyncio.open_connection("127.0.0.1", port)
            return client
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)
