"""Deferred work is spread over turns of the event loop, in order."""

from __future__ import annotations

import asyncio
import time

import pytest

from loadbalancer.net import turn_queue
from loadbalancer.net.turn_queue import TurnQueue
from tests.loopback import ProxyHarness, Upstream, run_scenario, status_of, wait_until

HEAD = b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: %d\r\nX-Deadline: 4000m\r\n\r\n"


def test_work_that_takes_a_turn_leaves_the_next_to_others() -> None:
    """Guards against one connection whose work fills every turn."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        turns = TurnQueue(loop)
        order: list[str] = []

        def take_long(name: str) -> None:
            order.append(name)
            time.sleep(2 * turn_queue.TURN_S)

        def first() -> None:
            take_long("first")
            turns.add(first)

        def second() -> None:
            take_long("second")

        turns.add(first)
        turns.add(second)
        turns.add(first)  # waits already
        for _ in range(3):
            loop.call_soon(order.append, "event")
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        work = [name for name in order if name != "event"]
        assert work[:3] == ["first", "second", "first"]
        assert order.index("event") < len(order) - 1

    run_scenario(scenario())


@pytest.mark.parametrize("memory_mb", [192, 0.05])
def test_requests_that_come_at_once_are_all_answered_in_order(memory_mb: float) -> None:
    """Guards against a request that waits for a turn that never comes, with much or little memory."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream(), memory_mb=memory_mb) as harness:
            client = await harness.connect()
            client.writer.write(b"".join(HEAD % number for number in range(300)))
            for _ in range(300):
                assert status_of(await client.read_response()) == 200
            [upstream] = harness.upstreams
            assert [int(r.headers["x-request-id"]) for r in upstream.requests] == list(range(300))
            await wait_until(lambda: harness.proxy.buffers.used_bytes == 0)

    run_scenario(scenario())


def test_a_connection_that_ends_while_it_waits_for_its_turn_does_nothing_in_it() -> None:
    """Guards against work for a connection that is gone, and against memory that it keeps."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            client.writer.write(b"".join(HEAD % number for number in range(300)))
            await wait_until(lambda: any(c.has_unparsed() for c in harness.proxy.downstream._connections))
            client.writer.transport.abort()
            await wait_until(lambda: not harness.proxy.downstream.connection_count())
            assert harness.proxy.buffers.used_bytes == 0

    run_scenario(scenario())
