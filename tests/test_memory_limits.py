"""Shares of the memory limit, and what is rejected when the buffers are full."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.net.memory_limits import divide_memory
from loadbalancer.net.memory_limits import resident_bytes as own_resident_bytes
from loadbalancer.net.message_body import BufferReservation
from tests.loopback import ProxyHarness, Upstream, run_scenario, status_of, unreleased_resources, wait_until

HEAD = b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 4000m\r\n"
LONG = b"X-Long: " + b"y" * 20_000 + b"\r\n"


def fill_buffers(harness: ProxyHarness) -> BufferReservation:
    """Use all of the buffers, as other connections would."""
    others = BufferReservation(harness.proxy.buffers)
    others.resize(harness.proxy.buffers.max_bytes)
    return others


@pytest.mark.parametrize(
    ("limit_mb", "resident_mb"), [(32.0, 23.0), (64.0, 23.0), (192.0, 30.0), (32.0, 40.0)]
)
def test_the_shares_fit_into_what_the_process_leaves(limit_mb: float, resident_mb: float) -> None:
    shares = divide_memory(limit_mb, 1_024, int(resident_mb * 1_000_000))
    assert 0 < shares.buffer_bytes <= 0.1 * limit_mb * 1_000_000
    assert shares.max_connections_per_side >= 341  # a third of the descriptors is for clients' requests
    if limit_mb > resident_mb:
        connections = min(shares.max_connections_per_side, 464) * 6_144
        assert 2 * connections + shares.buffer_bytes < (limit_mb - resident_mb) * 1_000_000


def test_two_processes_of_a_hot_restart_fit_into_the_limit() -> None:
    resident_bytes = 23_000_000
    shares = divide_memory(64.0, 1_024, resident_bytes, may_hot_restart=True)
    own_bytes = 2 * shares.max_connections_per_side * 6_144 + shares.buffer_bytes
    assert 2 * (resident_bytes + own_bytes) < 64_000_000


def test_the_resident_memory_is_known() -> None:
    assert 1_000_000 < own_resident_bytes() < 10_000_000_000


def test_the_oldest_long_head_is_rejected_when_the_buffers_are_full() -> None:
    """Guards against heads that fill the memory, and against rejecting clients that send theirs at once."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            old, young = [await harness.connect() for _ in range(2)]
            old.writer.write(HEAD + LONG)
            await wait_until(lambda: harness.proxy.buffers.used_bytes > 20_000)
            others = fill_buffers(harness)
            others.resize(others.size_bytes - 30_000)  # room for one of the two
            young.writer.write(HEAD + LONG)
            assert status_of(await old.read_response()) == 503
            young.writer.write(b"\r\n")
            assert status_of(await young.read_response()) == 200
            others.resize(0)
            for client in (old, young):
                client.writer.close()
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


@pytest.mark.parametrize(("head", "statuses"), [(HEAD, [200, 200]), (HEAD + LONG, [503, 200])])
def test_a_long_complete_head_is_rejected_in_its_turn_when_the_buffers_are_full(
    head: bytes, statuses: list[int]
) -> None:
    """Guards against heads that fill the memory while their requests wait, and against a lost answer."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            others = fill_buffers(harness)
            client = await harness.connect()
            client.writer.write(head + b"\r\n")
            await asyncio.sleep(0.05)
            others.resize(0)
            answers = [status_of(await client.read_response())]
            if statuses[0] == 503:
                client = await harness.connect()  # a rejected request closes its connection
            client.writer.write(head + b"\r\n")
            answers.append(status_of(await client.read_response()))
            assert answers == statuses
            client.writer.close()
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())
