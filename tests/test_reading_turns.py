"""How much one wake-up of the event loop reads and parses of one connection, whatever the peer has sent."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from itertools import groupby
from typing import Any

import pytest

from loadbalancer.net import turn_queue
from loadbalancer.net.downstream_connection import DownstreamConnection
from loadbalancer.net.message_body import MAX_READ_BYTES, BufferBudget
from loadbalancer.net.upstream_connection import UpstreamConnection
from loadbalancer.net.upstream_response import ResponseReader
from tests.http_messages import LONG_BODY, head
from tests.loopback import HttpMessage, ProxyHarness, Upstream, http_response, run_scenario, status_of

READ = "read"
TURN = "turn"
SLOW_READ_S = 2 * turn_queue.TURN_S
MAX_PIECE_BYTES = 4_096
MAX_PIECES_IN_TURN = 8
BODY = LONG_BODY * 4


def record_reads(monkeypatch: pytest.MonkeyPatch, connections: type[Any]) -> list[str]:
    """Return the list to which reads, which take long, and turns of the loop are added in order."""
    order: list[str] = []
    buffer_updated = connections.buffer_updated

    def recorded(connection: Any, nbytes: int) -> None:
        if not order:
            tick(asyncio.get_running_loop(), order)
        order.append(READ)
        buffer_updated(connection, nbytes)

    received = BufferBudget.received

    def slow(budget: BufferBudget, count: int) -> memoryview:
        time.sleep(SLOW_READ_S)
        return received(budget, count)

    monkeypatch.setattr(connections, "buffer_updated", recorded)
    monkeypatch.setattr(BufferBudget, "received", slow)
    return order


def tick(loop: asyncio.AbstractEventLoop, order: list[str]) -> None:
    """Record each turn of the loop from now on."""
    order.append(TURN)
    loop.call_soon(tick, loop, order)


def longest_run(order: list[str]) -> int:
    """Return how many reads there were at the most in one turn."""
    return max(sum(1 for _ in run) for kind, run in groupby(order) if kind == READ)


def test_a_turn_reads_one_buffer_of_a_client_whose_reads_take_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against reading up to 32 buffers of an upload in one wake-up of the loop."""

    async def scenario() -> None:
        order = record_reads(monkeypatch, DownstreamConnection)
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            client.writer.write(head(more=f"Content-Length: {len(BODY)}\r\n") + BODY)
            assert status_of(await client.read_response()) == 200
            assert order.count(READ) > len(BODY) // MAX_READ_BYTES
            assert longest_run(order) == 1

    run_scenario(scenario())


def test_a_turn_reads_one_buffer_of_an_upstream_whose_reads_take_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reading up to 32 buffers of a response in one wake-up of the loop."""

    async def scenario() -> None:
        order = record_reads(monkeypatch, UpstreamConnection)
        async with ProxyHarness(Upstream(http_response(200, BODY))) as harness:
            response = await harness.request()
            assert response.body == BODY
            assert order.count(READ) > len(BODY) // MAX_READ_BYTES
            assert longest_run(order) == 1

    run_scenario(scenario())


def record_pieces(monkeypatch: pytest.MonkeyPatch) -> list[int | str]:
    """Return the list to which the sizes of parsed pieces and the turns of the loop are added in order."""
    order: list[Any] = []
    feed = ResponseReader.feed

    def recorded(reader: ResponseReader, data: bytes | memoryview) -> bool:
        if not order:
            tick(asyncio.get_running_loop(), order)
        order.append(len(data))
        return feed(reader, data)

    monkeypatch.setattr(ResponseReader, "feed", recorded)
    return order


def pieces_by_turn(order: list[int | str]) -> Iterator[list[int]]:
    """Yield the sizes of the pieces that were parsed in each turn."""
    for is_turn, run in groupby(order, key=lambda item: item == TURN):
        if not is_turn:
            yield [item for item in run if isinstance(item, int)]


TINY_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 30_000 + b"0\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_000 + http_response()
MANY_FIELDS = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + b"X: y\r\n" * 1_700 + b"\r\na"


@pytest.mark.parametrize("response", [TINY_CHUNKS, INTERIM, MANY_FIELDS], ids=["chunks", "interim", "fields"])
def test_a_response_of_many_small_parts_is_parsed_over_several_turns(
    response: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one response whose parsing holds up everybody else."""

    async def scenario() -> None:
        order = record_pieces(monkeypatch)

        async def script(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(response)

        async with ProxyHarness(Upstream(script)) as harness:
            assert status_of(await harness.request()) == 200
            turns = list(pieces_by_turn(order))
            assert max(max(pieces) for pieces in turns) <= MAX_PIECE_BYTES
            assert max(len(pieces) for pieces in turns) <= MAX_PIECES_IN_TURN

    run_scenario(scenario())
