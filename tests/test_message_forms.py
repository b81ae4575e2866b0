"""HTTP/1.1 messages of all forms, valid, ambiguous and malformed, on loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.interface import Outcome
from tests.http_messages import LONG_BODY, chunked, head, record_outcomes, write_in_parts
from tests.loopback import (
    HttpMessage,
    ProxyHarness,
    Upstream,
    http_response,
    run_scenario,
    status_of,
)

OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("response", "is_ended_by_close"),
    [
        (OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(b"tile", 1, b";x=y", b"T: 1\r\n"), False),
        (OK + b"\r\ntile", True),
        (b"HTTP/1.0 200 OK\r\n\r\ntile", True),
        (
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + http_response(),
            False,
        ),
        (OK + b"Content-Length:  4 \r\nConnection: close\r\n\r\ntile", True),
    ],
)
@pytest.mark.parametrize("at_once", [True, False])
def test_responses_of_all_forms_are_forwarded(
    response: bytes, is_ended_by_close: bool, at_once: bool
) -> None:
    async def script(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        for i in range(0, len(response), len(response) if at_once else 1):
            writer.write(response[i : i + (len(response) if at_once else 1)])
            await asyncio.sleep(0)
        if is_ended_by_close:
            writer.close()

    async def scenario() -> None:
        async with ProxyHarness(Upstream(script)) as harness:
            client = await harness.connect()
            for _ in range(2):
                client.send_request()
                received = await client.read_response()
                assert (status_of(received), received.body) == (200, b"tile")

    run_scenario(scenario())


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_client_sees_the_end_of_a_long_response_of_unknown_length(version: str) -> None:
    async def script(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n")
        await write_in_parts(writer, chunked(LONG_BODY, 100_000))

    async def scenario() -> None:
        async with ProxyHarness(Upstream(script)) as harness:
            client = await harness.connect()
            client.writer.write(head("GET", "/read/x", version))
            if version == "1.1":
                assert (await client.read_response()).body == LONG_BODY
            else:
                assert (await client.reader.read()).partition(b"\r\n\r\n")[2] == LONG_BODY

    run_scenario(scenario())


@pytest.mark.parametrize(
    "response",
    [
        OK + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\ntile",
        OK + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(b"tile", 4),
        OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\ntile\r\n0\r\n\r\n",
        OK + b"Transfer-Encoding: gzip\r\n\r\ntile",
        OK + b"Bad\x00Header: x\r\nContent-Length: 4\r\n\r\ntile",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\ntile",
    ],
)
def test_ambiguous_response_is_a_failed_attempt_that_may_have_run(response: bytes) -> None:
    async def script(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(response)

    async def scenario() -> None:
        upstream = Upstream(script)
        async with ProxyHarness(upstream) as harness:
            ended = record_outcomes(harness)
            assert status_of(await harness.request("/pay/x", b"debit")) == 502
            assert (ended, len(upstream.requests)) == ([Outcome.RESET], 1)

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("raw", "line", "body"),
    [
        (head(more="Content-Length: 5\r\n") + b"debit", "POST /pay/x HTTP/1.1", b"debit"),
        (
            head(more="Transfer-Encoding: chunked\r\n") + chunked(b"debit", 2, b';a="b"', b"T: 1\r\n"),
            "POST /pay/x HTTP/1.1",
            b"debit",
        ),
        (head("GET", "http://other:80/read/x?y=1"), "GET /read/x?y=1 HTTP/1.1", b""),
        (
            head("GET", "/read/x", more="Upgrade: h2c\r\nConnection: Upgrade\r\n"),
            "GET /read/x HTTP/1.1",
            b"",
        ),
        (b"\r\n\r\n" + head("GET", "/read/x"), "GET /read/x HTTP/1.1", b""),
    ],
)
@pytest.mark.parametrize("at_once", [True, False])
def test_requests_of_all_forms_are_accepted(raw: bytes, line: str, body: bytes, at_once: bool) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            for data in (raw, raw.replace(b"Id: 9b", b"Id: 9c")):  # an ID is new with each request
                for i in range(0, len(data), len(data) if at_once else 1):
                    client.writer.write(data[i : i + (len(data) if at_once else 1)])
                    await asyncio.sleep(0)
                assert status_of(await client.read_response()) == 200
            assert [(request.start_line, request.body) for request in upstream.requests] == [(line, body)] * 2
            assert "upgrade" not in upstream.requests[0].headers

    run_scenario(scenario())


def test_100_continue_is_sent_after_the_response_to_the_previous_request() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.send_request()
            client.writer.write(head(more="Expect: 100-continue\r\nContent-Length: 5\r\n"))
            assert status_of(await client.read_response()) == 200
            assert status_of(await client.read_response()) == 100
            client.writer.write(b"debit")
            assert status_of(await client.read_response()) == 200
            assert upstream.requests[1].body == b"debit"
            assert "expect" not in upstream.requests[1].headers

    run_scenario(scenario())


@pytest.mark.parametrize(
    "raw",
    [
        head(more="Content-Length: 5\r\nContent-Length: 5\r\n") + b"debit",
        head(more="Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + chunked(b"debit", 5),
        head(more="Content-Length: 5, 5\r\n") + b"debit",
        head(more="Content-Length: +5\r\n") + b"debit",
        head(more="Transfer-Encoding: gzip, chunked\r\n") + chunked(b"debit", 5),
        head(more="Transfer-Encoding: chunked\r\n") + b"0x5\r\ndebit\r\n0\r\n\r\n",
        head(more="Transfer-Encoding: chunked\r\n") + b"fffffffffffffffff\r\ndebit\r\n0\r\n\r\n",
        head(more="Transfer-Encoding : chunked\r\n") + chunked(b"debit", 5),
        head(more="X-Odd: a\x00b\r\nContent-Length: 0\r\n"),
        head(more="X-Odd: a\r\n folded\r\nContent-Length: 0\r\n"),
        head(more="Upgrade: x\r\nConnection: upgrade\r\nContent-Length: 5\r\n") + b"debit",
        b"CONNECT other:80 HTTP/1.1\r\nHost: other:80\r\n\r\n",
    ],
)
def test_ambiguous_request_gets_400_and_its_connection_is_closed(raw: bytes) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.writer.write(raw + head("GET", "/read/x"))
            assert status_of(await client.read_response()) == 400
            assert await client.reader.read() == b""
            assert not upstream.requests

    run_scenario(scenario())


def test_malformed_chunk_in_a_long_request_ends_it_and_its_attempt() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.writer.write(
                head(more="Transfer-Encoding: chunked\r\n") + chunked(LONG_BODY, 50_000)[:300_000]
            )
            while not upstream.connection_count:
                await asyncio.sleep(0)
            client.writer.write(b"no chunk" * 10_000)
            assert status_of(await client.read_response()) == 400
            await upstream.connection_ended.wait()
            assert not upstream.requests
            assert harness.proxy.stats().requests_in_flight == 0

    run_scenario(scenario())
