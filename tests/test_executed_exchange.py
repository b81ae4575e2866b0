"""The exchange of IDs between the processes of an upgrade: at once, and along a chain of processes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import cast

import pytest

from loadbalancer.interface import Idempotency, RequestClass
from loadbalancer.net.clock import Clock
from loadbalancer.net.downstream_request import DownstreamRequest
from loadbalancer.net.executed_ids import ExecutedIds
from loadbalancer.net.hot_restart.state_exchange import StateExchange
from tests.loopback import run_scenario, wait_at_least

PAY = RequestClass("pay", 1_000, 3_000, Idempotency.NOT_IDEMPOTENT)


class _Command:
    class_name = PAY.name

    def __init__(self, client_id: bytes) -> None:
        self._client_id = client_id

    def client_id(self) -> bytes:
        return self._client_id


def command(number: int) -> DownstreamRequest:
    """Return a request of a class that must not run twice, as far as its ID is asked for."""
    return cast(DownstreamRequest, _Command(b"command-%d" % number))


def executed_ids() -> ExecutedIds:
    """Return the IDs of one process."""
    return ExecutedIds([PAY], Clock())


@asynccontextmanager
async def connected(first: ExecutedIds, second: ExecutedIds) -> AsyncIterator[None]:
    """Connect two processes; both have exchanged what they knew."""
    loop = asyncio.get_running_loop()
    ends = socket.socketpair()
    exchanges = [StateExchange(end, ids, loop) for end, ids in zip(ends, (first, second), strict=True)]
    tasks = [asyncio.create_task(exchange.run()) for exchange in exchanges]
    await wait_at_least(0.02)
    yield
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def test_an_id_is_known_to_the_other_process_before_its_attempt_is_written() -> None:
    """Guards against a repeat that the other process reads in the same turn as the record of the first."""

    async def scenario() -> None:
        old, new = executed_ids(), executed_ids()
        async with connected(old, new):
            assert not new.may_have_run(command(1))
            old.record_sent(command(1))
            assert new.may_have_run(command(1))
            new.record_sent(command(2))
            assert old.may_have_run(command(2))

    run_scenario(scenario())


@pytest.mark.parametrize("when", ["before", "after"])
def test_an_id_reaches_every_process_of_a_chain_of_upgrades(when: str) -> None:
    """Guards against IDs that a process in the middle keeps from one of its neighbours."""

    async def scenario() -> None:
        processes = [executed_ids() for _ in range(3)]
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(connected(processes[0], processes[1]))
            if when == "after":
                await stack.enter_async_context(connected(processes[1], processes[2]))
            for number, process in enumerate(processes[:2]):
                process.record_sent(command(number))
            if when == "before":
                await wait_at_least(0.02)
                await stack.enter_async_context(connected(processes[1], processes[2]))
            processes[2].record_sent(command(2))
            await wait_at_least(0.02)
            known = [[p.may_have_run(command(n)) for n in range(3)] for p in processes]
            assert known == [[True] * 3] * 3

    run_scenario(scenario())
