"""Responses whose head comes in time and whose body comes later: forwarded, and not cut off."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable

import pytest

from tests.loopback import HttpMessage, ProxyHarness, Upstream, http_response, run_scenario

OBJECTIVE_S = 0.3
DEADLINE_S = 1.5
ANSWER_GRACE_S = 0.5  # after a deadline, in which a response only earns nothing
CLASSES = [
    {"name": "read", "target": OBJECTIVE_S * 1_000, "deadline": DEADLINE_S * 1_000, "effect": "retryable"},
    {"name": "pay", "target": OBJECTIVE_S * 1_000, "deadline": DEADLINE_S * 1_000, "effect": "fragile"},
]
LATE_BODY_S = 0.1  # after a deadline; a body of unknown length may come so late
BODY = bytes(range(256)) * 800  # 200 KiB
FRAMINGS = {
    "length": f"Content-Length: {len(BODY)}\r\n",
    "chunked": "Transfer-Encoding: chunked\r\n",
    "close": "",
}
each_framing = pytest.mark.parametrize("framing", FRAMINGS)


def late_body(
    framing: str, wait_s: float, head_after_s: float = 0.0, first_bytes: int = 0
) -> Callable[[HttpMessage, asyncio.StreamWriter], Awaitable[None]]:
    """Return the script of an upstream that writes its head, then waits, then writes its body in parts."""

    def encoded(data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data) if framing == "chunked" and data else data

    async def script(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(head_after_s)
        writer.write(f"HTTP/1.1 200 OK\r\n{FRAMINGS[framing]}\r\n".encode() + encoded(BODY[:first_bytes]))
        await asyncio.sleep(wait_s)
        for start in range(first_bytes, len(BODY), 50_000):
            writer.write(encoded(BODY[start : min(start + 50_000, len(BODY))]))
            await asyncio.sleep(0.02)
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")
        if framing == "close":
            writer.close()

    return script


async def body_of_response(harness: ProxyHarness, path: str) -> bytes:
    """Send a request whose response ends with its connection, and return what came after the head."""
    client = await harness.connect()
    client.send_request(path, deadline=f"{DEADLINE_S * 1_000:.0f}m", connection="close")
    head, _, body = (await client.reader.read()).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    if b"chunked" not in head.lower():
        return body
    parts = []
    while size := int(body.partition(b"\r\n")[0], 16):
        body = body.partition(b"\r\n")[2]
        parts.append(body[:size])
        body = body[size + 2 :]
    return b"".join(parts)


@each_framing
@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
@pytest.mark.parametrize(
    ("head_after_s", "wait_s", "first_bytes"),
    [(0.0, 0.6, 0), (0.0, 0.6, 1), (OBJECTIVE_S - 0.04, 0.6, 0), (0.0, OBJECTIVE_S - 0.01, 0)],
)
def test_a_long_response_that_has_begun_is_not_cut_off_at_its_objective(
    head_after_s: float, wait_s: float, first_bytes: int, path: str, framing: str
) -> None:
    """Guards against closing an upstream that has sent its head when the time for its first byte is over."""

    async def scenario() -> None:
        script = late_body(framing, wait_s, head_after_s, first_bytes)
        async with ProxyHarness(Upstream(script), Upstream(script), classes=CLASSES) as harness:
            assert await body_of_response(harness, path) == BODY

    run_scenario(scenario())


@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
@pytest.mark.parametrize(
    ("framing", "wait_s"),
    [
        ("length", DEADLINE_S + ANSWER_GRACE_S),
        ("chunked", DEADLINE_S + LATE_BODY_S),
        ("close", DEADLINE_S + LATE_BODY_S),
    ],
)
def test_a_long_response_that_has_begun_is_not_cut_off_at_its_deadline(
    framing: str, wait_s: float, path: str
) -> None:
    """Guards against closing an upstream that has sent its head in time and is still writing slowly."""

    async def scenario() -> None:
        script = late_body(framing, wait_s)
        async with ProxyHarness(Upstream(script), Upstream(script), classes=CLASSES) as harness:
            assert await body_of_response(harness, path) == BODY

    run_scenario(scenario())


@pytest.mark.parametrize("framing", ["chunked", "close"])
def test_a_response_whose_body_never_comes_is_seen_to_be_incomplete_at_its_deadline(framing: str) -> None:
    """Guards against a client that waits for the body of a spoilt response for longer than it may."""

    async def scenario() -> None:
        script = late_body(framing, 10.0)
        async with ProxyHarness(Upstream(script), Upstream(script), classes=CLASSES) as harness:
            client = await harness.connect()
            started_s = time.monotonic()
            client.send_request(deadline=f"{DEADLINE_S * 1_000:.0f}m")
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            with contextlib.suppress(ConnectionResetError):
                assert await client.reader.read() == b""
            assert time.monotonic() - started_s < DEADLINE_S + ANSWER_GRACE_S

    run_scenario(scenario())


@pytest.mark.parametrize("framing", ["chunked", "close"])
def test_a_hedged_request_is_served_although_the_first_response_has_no_body_yet(framing: str) -> None:
    """Guards against binding a request to a response without a body while another server could answer."""

    async def scenario() -> None:
        stuck = late_body(framing, 10.0)
        is_stuck = [False] * 40 + [True]  # by request: after usual ones, the first attempt of one

        async def script(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            if is_stuck and is_stuck.pop(0):
                await stuck(request, writer)
            else:
                writer.write(http_response(200, b"sound"))

        async with ProxyHarness(Upstream(script), Upstream(script), classes=CLASSES) as harness:
            while is_stuck:
                response = await harness.request(deadline=f"{DEADLINE_S * 1_000:.0f}m")
                assert response.body == b"sound"

    run_scenario(scenario())
