"""Memory used by request heads: a flood of them keeps the program within its memory limit.

Clients that sent 9,000 short headers each and left took the program from 28 to 113 MB, of 64 MB allowed, in
every trial, and in one of ten it kept 81 to 98 MB, even after 600 further requests. By `tracemalloc`, 127 MiB
in 2.7 million objects were headers that the parser had split, while no connection was open; a full garbage
collection freed all of it. The allocator held only 0.5 MB of free memory, so the rest was objects. Limits
counted names and values alone (18 kB of the 54 kB), an object costs far more than two bytes, no limit over
all connections counted heads, and a closed connection and its parser form a reference cycle, which waits for
the garbage collector.
"""

from __future__ import annotations

import asyncio
import gc
import json
from pathlib import Path

import pytest

from loadbalancer.drill.processes.addresses import find_free_port
from loadbalancer.net.http_framing import MAX_HEAD_BYTES
from tests.loopback import (
    ListServer,
    ProxyHarness,
    Upstream,
    config_text,
    endpoint_entry,
    run_scenario,
    running_program,
    status_of,
    wait_until,
)
from tests.test_endings_shutdown import connect_when_ready, send_and_abort

MEMORY_LIMIT_MB = 64
UNFINISHED_HEAD = b"GET /read/x HTTP/1.1\r\n" + b"X: y\r\n" * 9_000
REQUEST_HEAD = b"GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 4000m\r\n"


def peak_resident_mb(process: Path) -> float:
    """Return the peak resident memory since `clear_refs` was written."""
    [line] = [line for line in (process / "status").read_text().splitlines() if line.startswith("VmHWM")]
    return int(line.split()[1]) / 1_000


def test_a_flood_of_long_heads_keeps_the_program_within_its_memory_limit(tmp_path: Path) -> None:
    async def scenario() -> None:
        upstream, lists, path, port = (
            Upstream(),
            ListServer(),
            tmp_path / "config.json",
            find_free_port("127.0.0.1"),
        )
        config = json.loads(config_text(await lists.start(), [endpoint_entry("s0", await upstream.start())]))
        limits = {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 256}
        path.write_text(json.dumps(config | {"listen": f"127.0.0.1:{port}", "console": "", "limits": limits}))
        async with running_program(path) as process:
            first = await connect_when_ready(port)
            first.send_request()
            assert status_of(await first.read_response()) == 200
            first.writer.close()
            proc = Path("/proc", str(process.pid))
            for _ in range(3):
                await asyncio.gather(*[send_and_abort(port, UNFINISHED_HEAD) for _ in range(150)])
                last = await connect_when_ready(port)
                last.send_request()
                assert status_of(await last.read_response()) == 200
                last.writer.close()
            assert peak_resident_mb(proc) < MEMORY_LIMIT_MB

    run_scenario(scenario())


def test_an_unfinished_head_counts_in_the_bound_and_is_released_without_the_collector() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            buffers = harness.proxy.downstream.buffers
            client.writer.write(REQUEST_HEAD + b"X: y\r\n" * 500)
            await wait_until(lambda: buffers.used_bytes > 500 * len(b"Xy"))
            [connection] = harness.proxy.downstream._connections
            parser = connection.reader._parser
            gc.disable()
            try:
                client.writer.transport.abort()
                await wait_until(lambda: not harness.proxy.downstream._connections)
                assert buffers.used_bytes == 0
                assert not parser._head.memory_bytes()
            finally:
                gc.enable()

    run_scenario(scenario())


def test_a_complete_head_no_longer_counts_as_unfinished() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            client.writer.write(REQUEST_HEAD + b"X: y\r\n" * 500)
            await wait_until(lambda: harness.proxy.downstream.buffers.used_bytes > 0)
            client.writer.write(b"\r\n")
            assert status_of(await client.read_response()) == 200
            assert harness.proxy.downstream.buffers.used_bytes == 0

    run_scenario(scenario())


@pytest.mark.parametrize(("count", "status"), [(1_000, 200), (MAX_HEAD_BYTES // 34 + 1, 431)])
def test_each_header_counts_by_the_memory_that_it_takes(count: int, status: int) -> None:
    """RFC 9113, 6.5.2: the size of a header is that of its name and value, and 32 bytes more."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            client.writer.write(REQUEST_HEAD + b"X: y\r\n" * count + b"\r\n")
            assert status_of(await client.read_response()) == status

    run_scenario(scenario())
