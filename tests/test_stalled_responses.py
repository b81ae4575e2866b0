"""Responses that begin and do not go on: each request has its end within half a second of its time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest

from loadbalancer.net import downstream_listener
from tests.loopback import (
    HttpClient,
    HttpMessage,
    ProxyHarness,
    Upstream,
    run_scenario,
    unreleased_resources,
    wait_until,
)

DEADLINE_S = 1.0
ANSWER_GRACE_S = 0.5  # after a deadline, in which a response only earns nothing
LOOP_DELAY_S = 0.05
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
CLASSES = [
    {"name": "read", "target": 400.0, "deadline": DEADLINE_S * 1_000, "effect": "retryable"},
    {"name": "pay", "target": 400.0, "deadline": DEADLINE_S * 1_000, "effect": "fragile"},
]
Script = Callable[[HttpMessage, asyncio.StreamWriter], Awaitable[None]]

# What has come of a response before its server falls silent.
STALLS = {
    "half a status line": b"HTTP/1.1 20",
    "half a head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "an interim response": b"HTTP/1.1 100 Continue\r\n\r\n",
    "a head with a length": b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
    "half a body with a length": b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + b"x" * 50,
    "a head of chunks": CHUNKED,
    "half the size of a chunk": CHUNKED + b"1",
    "half a chunk": CHUNKED + b"10\r\nabc",
    "a chunk": CHUNKED + b"4\r\npart\r\n",
    "many chunks": CHUNKED + b"400\r\n%b\r\n" % (b"x" * 1_024) * 40,
    "all chunks and no end": CHUNKED + b"4\r\npart\r\n0\r\n",
    "half a trailer": CHUNKED + b"4\r\npart\r\n0\r\nX-Trai",
    "a head with no length": NO_LENGTH,
    "a part with no length": NO_LENGTH + b"part",
    "a long part with no length": NO_LENGTH + b"x" * 40_000,
    "half an error": b"HTTP/1.1 500 Error\r\nContent-Length: 100\r\n\r\nhalf",
    "half a rejection": b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 100\r\n\r\nhalf",
}


def stalled_after(data: bytes, wait_s: float = 0.0) -> Script:
    """Return the script of an upstream that falls silent after some bytes."""

    async def script(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(wait_s)
        writer.write(data)

    return script


def dripping(begun: bytes, drop: bytes, interval_s: float = 0.05) -> Script:
    """Return the script of an upstream that goes on in drops without end."""

    async def script(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(begun)
        while not writer.is_closing():
            writer.write(drop)
            await asyncio.sleep(interval_s)

    return script


async def end_of_response(client: HttpClient) -> bytes:
    """Return what comes until the response is complete, or its connection ends."""
    received = b""
    try:
        received = await client.reader.readuntil(b"\r\n\r\n")
        if not received.startswith(b"HTTP/1.1 200"):
            return received
        while data := await client.reader.read(65_536):
            received += data
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return received


async def time_to_end(harness: ProxyHarness, path: str = "/read/x", body: bytes = b"") -> float:
    """Send a request, and return after how many seconds its response or its connection has ended."""
    client = await harness.connect()
    started_s = time.monotonic()
    client.send_request(path, body, deadline=f"{DEADLINE_S * 1_000:.0f}m")
    await end_of_response(client)
    client.writer.close()
    return time.monotonic() - started_s


@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
@pytest.mark.parametrize("form", STALLS)
def test_a_response_that_stalls_ends_in_time_whatever_has_come_of_it(form: str, path: str) -> None:
    """Guards against a limit for silent connections being all that ends a response that has begun."""

    async def scenario() -> None:
        script = stalled_after(STALLS[form])
        async with ProxyHarness(Upstream(script), Upstream(script), classes=CLASSES) as harness:
            body = b"debit" if path == "/pay/x" else b""
            assert await time_to_end(harness, path, body) < DEADLINE_S + ANSWER_GRACE_S
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


@pytest.mark.parametrize("framing", [CHUNKED + b"4\r\npart\r\n", NO_LENGTH + b"part"])
@pytest.mark.parametrize("before_deadline_s", [0.5, 0.1, 0.03])
def test_a_response_that_begins_late_and_stalls_ends_in_time(
    before_deadline_s: float, framing: bytes
) -> None:
    """Guards against counting the silence of a response alone, and not the time of its request."""

    async def scenario() -> None:
        script = stalled_after(framing, DEADLINE_S - before_deadline_s)
        async with ProxyHarness(Upstream(script), classes=CLASSES) as harness:
            assert await time_to_end(harness) < DEADLINE_S + ANSWER_GRACE_S

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("begun", "drop"),
    [
        (CHUNKED, b"1\r\nx\r\n"),
        (NO_LENGTH, b"x"),
        (CHUNKED + b"4\r\npart\r\n", b"1;e"),
        (CHUNKED + b"4\r\npart\r\n0\r\n", b"X-Trailer: x\r\n"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", b"x"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ],
)
def test_a_response_that_comes_in_drops_ends_in_time(begun: bytes, drop: bytes) -> None:
    """Guards against bytes that bring a response no nearer to its end, and keep its request open."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream(dripping(begun, drop)), classes=CLASSES) as harness:
            assert await time_to_end(harness) < DEADLINE_S + ANSWER_GRACE_S

    run_scenario(scenario())


def test_a_short_response_that_is_streamed_for_lack_of_memory_ends_in_time() -> None:
    """Guards against a response with a length that is not buffered, and so has no timer."""

    async def scenario() -> None:
        script = stalled_after(STALLS["half a body with a length"])
        async with ProxyHarness(Upstream(script), classes=CLASSES) as harness:
            harness.proxy.buffers.max_bytes = 1
            assert await time_to_end(harness) < DEADLINE_S + ANSWER_GRACE_S

    run_scenario(scenario())


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_long_response_that_stalls_ends_once_its_server_has_paused_for_too_long(framing: str) -> None:
    """Guards against a client that waits for 20 s for the rest of a response of which nothing more comes."""
    body = b"x" * 70_000
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
    begun = head + body if framing == "length" else CHUNKED + b"%x\r\n%b\r\n" % (len(body), body)

    async def scenario() -> None:
        async with ProxyHarness(Upstream(stalled_after(begun)), classes=CLASSES) as harness:
            assert 2.0 < await time_to_end(harness) < 2.5

    run_scenario(scenario())


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize(
    ("pause_s", "parts", "part_bytes"),
    [(0.02, 150, 500), (0.3, 10, 10_000), (0.9, 4, 25_000), (2.0, 2, 90_000)],
)
def test_a_long_response_that_goes_on_after_its_deadline_is_not_cut_off(
    pause_s: float, parts: int, part_bytes: int, framing: str
) -> None:
    """Guards against ending a response by its deadline that its server still sends, in pieces of any size."""

    async def write(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
        length = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (parts * part_bytes)
        writer.write({"length": length, "chunked": CHUNKED, "close": NO_LENGTH}[framing])
        for number in range(parts):
            if number:
                await asyncio.sleep(pause_s)
            part = bytes([number]) * part_bytes
            writer.write(b"%x\r\n%b\r\n" % (part_bytes, part) if framing == "chunked" else part)
        writer.write(b"0\r\n\r\n" if framing == "chunked" else b"")
        if framing == "close":
            writer.close()

    async def scenario() -> None:
        async with ProxyHarness(Upstream(write), classes=CLASSES) as harness:
            client = await harness.connect()
            client.send_request(deadline=f"{DEADLINE_S * 1_000:.0f}m", connection="close")
            received = await end_of_response(client)
            assert is_complete(received, parts * part_bytes)

    run_scenario(scenario())


def is_complete(received: bytes, size_bytes: int) -> bool:
    """Return whether a response has a body of that size, and its end."""
    head, _, body = received.partition(b"\r\n\r\n")
    if b"chunked" not in head.lower():
        return len(body) == size_bytes
    return body.endswith(b"0\r\n\r\n") and len(body) > size_bytes


def test_a_client_that_reads_slowly_gets_the_rest_after_its_deadline() -> None:
    """Guards against taking the pauses of a client for those of the server."""
    body = b"x" * 6_000_000
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    async def scenario() -> None:
        async with ProxyHarness(Upstream(response), classes=CLASSES) as harness:
            client = await harness.connect()
            client.send_request(deadline=f"{DEADLINE_S * 1_000:.0f}m")
            await asyncio.sleep(DEADLINE_S + 3.0)
            assert len((await client.read_response()).body) == len(body)

    run_scenario(scenario())


@pytest.mark.parametrize("begun", [CHUNKED, CHUNKED + b"4\r\npart\r\n", NO_LENGTH + b"part"])
def test_a_stalled_response_ends_before_the_process_is_killed(
    begun: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a shutdown that waits for a server that is silent, until the platform kills it."""
    monkeypatch.setattr(downstream_listener, "SHUTDOWN_ACCEPT_S", 0.0)
    monkeypatch.setattr(downstream_listener, "MAX_SHUTDOWN_S", 0.3)

    async def scenario() -> None:
        upstream = Upstream(stalled_after(begun))
        async with ProxyHarness(upstream, classes=CLASSES) as harness:
            client = await harness.connect()
            client.send_request(deadline=f"{DEADLINE_S * 1_000:.0f}m")
            await upstream.request_received.wait()
            started_s = time.monotonic()
            ending = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            await end_of_response(client)
            assert time.monotonic() - started_s < 0.3 + 0.15 + LOOP_DELAY_S
            client.writer.close()
            await ending

    run_scenario(scenario())


def test_a_response_that_breaks_off_is_logged_with_what_has_come_of_it(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a log that can't tell a silent server from a slow client or a slow server."""

    async def scenario() -> None:
        upstream = Upstream(stalled_after(CHUNKED + b"4\r\npart\r\n"))
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.send_request()
            await client.reader.readuntil(b"part\r\n")
            upstream.writers[0].transport.abort()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await client.reader.readexactly(1)

    run_scenario(scenario())
    (line,) = [line for line in capsys.readouterr().err.splitlines() if "not finished by its server" in line]
    fields = dict(word.split("=") for word in line.split() if "=" in word)
    assert (fields["server"], fields["received_bytes"], fields["expected_bytes"]) == ("s0", "4", "unknown")
    assert fields["client_behind"] == "False"
    assert int(fields["silent_ms"]) >= 0
    assert int(fields["overdue_ms"]) < 0
