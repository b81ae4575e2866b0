"""The deadline of requests whose bodies are held up: it counts from the writing of their last byte."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import pytest

from loadbalancer import interface
from loadbalancer.interface import Outcome
from loadbalancer.net import downstream_read_lag
from loadbalancer.net.downstream_pipeline import MAX_PIPELINED_REQUESTS
from loadbalancer.net.message_body import BufferReservation
from tests.held_transport import HeldTransports
from tests.http_messages import LONG_BODY, chunked, head, record_outcomes
from tests.loopback import (
    HttpClient,
    HttpMessage,
    ProxyHarness,
    Upstream,
    http_response,
    never_answer,
    run_scenario,
    status_of,
    unreleased_resources,
    wait_at_least,
    wait_until,
)

DEADLINE_S = 1.0
LATEST_ANSWER_S = DEADLINE_S + 0.5 + 0.05  # half a second after its time, and 50 ms on sockets
BODY = LONG_BODY[:200_000]  # streamed; what is not read fits into the kernel's buffers
HEAD_BYTES = 1_000  # at most, of a request to an upstream


def long_request_head(framing: str = "length", deadline_s: float = DEADLINE_S) -> bytes:
    """Return the head of a request whose body is `BODY`, in one of two framings."""
    lines = "POST /pay/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 9b\r\nX-Class: pay\r\n"
    form = f"Content-Length: {len(BODY)}" if framing == "length" else "Transfer-Encoding: chunked"
    return f"{lines}X-Deadline: {deadline_s * 1000:.0f}m\r\n{form}\r\n\r\n".encode()


def long_request_body(framing: str) -> bytes:
    """Return `BODY` as it is sent in one of two framings."""
    return BODY if framing == "length" else chunked(BODY, 30_000)


def send_long_request(client: HttpClient, framing: str = "length") -> float:
    """Write a whole request at once; return when its last byte was written."""
    client.writer.write(long_request_head(framing) + long_request_body(framing))
    return time.monotonic()


async def answer_of(client: HttpClient, written_s: float) -> tuple[int, float]:
    """Return the status of the answer, and how long after the writing it came."""
    status = status_of(await client.read_response())
    return status, time.monotonic() - written_s


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("state", ["serving", "shutting down"])
def test_a_long_request_at_an_upstream_that_reads_nothing_is_answered_by_its_deadline(
    framing: str, state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against answers after 20 s: the deadline counted from the reading of the last byte only."""
    HeldTransports(monkeypatch, allowed=HEAD_BYTES)

    async def scenario() -> None:
        async with ProxyHarness(Upstream(), Upstream()) as harness:
            outcomes = record_outcomes(harness)
            client = await harness.connect()
            written_s = send_long_request(client, framing)
            if state == "shutting down":
                shutdown = asyncio.ensure_future(harness.proxy.downstream.shut_down())
            status, answered_s = await answer_of(client, written_s)
            assert answered_s < LATEST_ANSWER_S
            assert (status, outcomes) == (503, [Outcome.CONNECT_FAILED])
            assert await client.reader.read() == b""  # the unread rest is dropped, not parsed as a request
            client.writer.close()
            if state == "shutting down":
                await shutdown
            assert unreleased_resources(harness.proxy) == []

    run_scenario(scenario())


@pytest.mark.parametrize(("taken_bytes", "expected_status"), [(0, 503), (2 * len(BODY), 502)])
def test_several_stalls_of_an_upstream_count_together(
    taken_bytes: int, expected_status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a deadline that starts anew with each byte that an upstream takes."""
    transports = HeldTransports(monkeypatch, allowed=HEAD_BYTES)

    async def scenario() -> None:
        async with ProxyHarness(Upstream(never_answer)) as harness:
            client = await harness.connect()
            written_s = send_long_request(client)
            answer = asyncio.ensure_future(answer_of(client, written_s))
            await wait_at_least(0.8 * DEADLINE_S)
            transports.allow(taken_bytes)
            while not answer.done():
                transports.allow(1_000)
                await asyncio.sleep(0.01)
            status, answered_s = await answer
            assert answered_s < LATEST_ANSWER_S
            assert status == expected_status  # 503 only while it is not written whole: it can't have run

    run_scenario(scenario())


def test_a_deadline_is_passed_on_less_the_time_that_a_stall_took(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a decision module that takes a request read late for one with all its time left."""
    transports = HeldTransports(monkeypatch, allowed=HEAD_BYTES)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            completed: list[interface.RequestCompleted] = []
            handle = harness.proxy.balancer.handle

            def record(event: interface.Event, now: float) -> list[interface.Action]:
                if isinstance(event, interface.RequestCompleted):
                    completed.append(event)
                return handle(event, now)

            monkeypatch.setattr(harness.proxy.balancer, "handle", record)
            client = await harness.connect()
            send_long_request(client)
            await wait_at_least(0.3 * DEADLINE_S)
            transports.allow(10 * len(BODY))
            assert status_of(await client.read_response()) == 200
            (event,) = completed
            assert 250.0 <= event.elapsed_ms < DEADLINE_S * 1000

    run_scenario(scenario())


def test_the_request_after_one_that_was_held_up_has_all_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    transports = HeldTransports(monkeypatch, allowed=HEAD_BYTES)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            send_long_request(client)
            await wait_at_least(0.6 * DEADLINE_S)
            transports.allow(10 * len(BODY))
            assert status_of(await client.read_response()) == 200
            await wait_at_least(DEADLINE_S)
            client.send_request(deadline="100m")
            assert status_of(await client.read_response()) == 200

    run_scenario(scenario())


async def send_in_parts(
    client: HttpClient, message: bytes, size: int, interval_s: float
) -> AsyncIterator[int]:
    """Write a message in parts; yield the number of each an interval after it was written."""
    for number, start in enumerate(range(0, len(message), size)):
        client.writer.write(message[start : start + size])
        await asyncio.sleep(interval_s)
        yield number


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_client_may_send_for_longer_than_its_deadline(framing: str) -> None:
    """Guards against deadlines that count from a moment at which the client was still sending."""

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.writer.write(long_request_head(framing, deadline_s=0.2))
            async for _ in send_in_parts(client, long_request_body(framing), 20_000, 0.05):
                pass
            assert status_of(await client.read_response()) == 200
            assert upstream.requests[0].body == BODY

    run_scenario(scenario())


def test_a_client_may_send_for_longer_than_its_deadline_to_an_upstream_that_often_pauses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against counting from a pause after which everything written has been read."""
    transports = HeldTransports(monkeypatch, allowed=HEAD_BYTES)

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.writer.write(long_request_head(deadline_s=0.2))
            async for number in send_in_parts(client, BODY, 10_000, 0.03):
                if number % 2:  # the part before it has waited until now
                    transports.release()
            transports.allow(len(BODY))
            assert status_of(await client.read_response()) == 200
            assert upstream.requests[0].body == BODY

    run_scenario(scenario())


def test_a_client_that_is_held_back_has_its_time_while_much_of_its_request_is_missing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusing uploads of which more is missing than a client's kernel can hold."""
    monkeypatch.setattr(downstream_read_lag, "MAX_SEND_BUFFER_BYTES", 20_000)
    monkeypatch.setattr(downstream_read_lag, "OPEN_WINDOW_FRACTION", 0.0)  # any unread byte closes the window
    transports = HeldTransports(monkeypatch, allowed=HEAD_BYTES)

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.writer.write(long_request_head() + BODY[:10_000])
            await wait_until(transports.hold_bytes)
            async for _ in send_in_parts(client, BODY[10_000:], 10_000, 0.08):  # for 1.5 s, a part ahead
                transports.release()
                await wait_until(transports.hold_bytes)
            transports.allow(len(BODY))
            assert status_of(await client.read_response()) == 200
            assert upstream.requests[0].body == BODY

    run_scenario(scenario())


def test_requests_read_late_because_many_were_queued_count_from_their_writing() -> None:
    """Guards against a whole deadline for each request that waited unread behind sixteen others."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream(never_answer)) as harness:
            client = await harness.connect()
            for _ in range(MAX_PIPELINED_REQUESTS + 2):
                client.send_request(deadline=f"{DEADLINE_S * 1000:.0f}m")
            connections = harness.proxy.downstream._connections
            await wait_until(lambda: any(c.reader.control.is_paused for c in connections))
            for _ in range(3):
                client.send_request(deadline=f"{DEADLINE_S * 1000:.0f}m")
            written_s = time.monotonic()
            for _ in range(MAX_PIPELINED_REQUESTS + 5):
                status, answered_s = await answer_of(client, written_s)
                assert status in (502, 503)
            assert answered_s < LATEST_ANSWER_S

    run_scenario(scenario())


def test_a_short_body_behind_another_request_is_read_although_much_is_buffered() -> None:
    """Guards against a pause that nothing ends: the body waits for memory, and no response is due before."""

    async def scenario() -> None:
        gate = asyncio.Event()

        async def answer_later(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(http_response())

        async with ProxyHarness(Upstream(answer_later)) as harness:
            client = await harness.connect()
            client.send_request()
            client.writer.write(head(more="Content-Length: 30000\r\n") + BODY[:1_000])
            (connection,) = harness.proxy.downstream._connections
            await wait_until(connection.reader.has_open_request)
            others = BufferReservation(harness.proxy.buffers)
            others.resize(harness.proxy.buffers.max_bytes)
            gate.set()
            assert status_of(await client.read_response()) == 200
            client.writer.write(BODY[1_000:30_000])
            assert status_of(await client.read_response()) == 200

    run_scenario(scenario())
