"""The program as a process of its own, beside stand-ins for its upstreams, on a part of a processor core."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import ExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from loadbalancer.drill.processes.addresses import find_free_port
from tests.loopback import (
    HttpMessage,
    ListServer,
    Upstream,
    config_text,
    endpoint_entry,
    http_response,
    read_message,
)

LEAST_MEMORY_MB = 32.0  # the least that a balancer gets
MOST_SOCKETS = 1_024
NEIGHBOURS = 3  # busy processes on the program's core, which leave it a quarter
READY_TIMEOUT_S = 20.0
PLAY_TIMEOUT_S = 60.0  # reached only when a test fails
CLOSING_S = 0.1
GRACE_S = 0.6  # a client waits so much longer than its deadline, to see whether there is an answer at all
ResponseScript = Callable[[HttpMessage, asyncio.StreamWriter], Awaitable[None]] | bytes


@dataclass(frozen=True)
class Served:
    """What one client got: the status, or 0 for no answer, and after how long."""

    status: int
    duration_s: float


class RunningProgram:
    """A running balancer, with its port and its process."""

    def __init__(self, process: subprocess.Popen[bytes], port: int, upstreams: list[Upstream]) -> None:
        self.process = process
        self.port = port
        self.upstreams = upstreams

    def peak_resident_mb(self) -> float:
        """Return the peak of the resident memory since the start; it fails if the process has ended."""
        status = Path("/proc", str(self.process.pid), "status").read_text()
        [line] = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(line.split()[1]) * 1_024 / 1_000_000

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def is_ready(self) -> bool:
        """Return whether the health check answers 200."""
        try:
            reader, writer = await self.connect()
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            response = await read_message(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return response.start_line.startswith("HTTP/1.1 200")

    async def request(self, number: int, deadline_s: float) -> Served:
        """Send one request on a connection of its own."""
        started_s = time.monotonic()
        status = 0
        try:
            async with asyncio.timeout(deadline_s + GRACE_S):
                reader, writer = await self.connect()
                more = f"X-Request-Id: sound-{number}\r\nX-Deadline: {deadline_s * 1_000:.0f}m\r\n"
                writer.write(f"GET /read/x HTTP/1.1\r\nHost: h\r\nX-Class: read\r\n{more}\r\n".encode())
                response = await read_message(reader)
                status = int(response.start_line.split(" ")[1])
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        return Served(status, time.monotonic() - started_s)

    async def sound_clients(self, count: int, interval_s: float, deadline_s: float) -> list[Served]:
        """Let sound clients come one after another, each with one request."""
        requests = []
        for number in range(count):
            requests.append(asyncio.create_task(self.request(number, deadline_s)))
            await asyncio.sleep(interval_s)
        return list(await asyncio.gather(*requests))


@asynccontextmanager
async def running_balancer(
    folder: Path,
    *scripts: ResponseScript,
    upstream_count: int = 8,
    memory_mb: float = LEAST_MEMORY_MB,
    neighbours: int = NEIGHBOURS,
    **settings: Any,
) -> AsyncIterator[RunningProgram]:
    """Run the program on one core, beside `neighbours` busy processes on that core."""
    upstreams = [Upstream(*(scripts or (http_response(),))) for _ in range(upstream_count)]
    entries = [endpoint_entry(f"s{i}", await u.start(), weight=4.0) for i, u in enumerate(upstreams)]
    port = find_free_port("127.0.0.1")
    config = json.loads(config_text(await ListServer().start(), entries, **settings))
    config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": MOST_SOCKETS}
    path = folder / "config.json"
    path.write_text(json.dumps(config | {"listen": f"127.0.0.1:{port}", "console": ""}))
    core = _core_of_worker()
    with ExitStack() as ending:
        for _ in range(neighbours):
            ending.callback(_end, _start_on(core, [sys.executable, "-c", "while True: pass"]))
        process = _start_on(core, [sys.executable, "-m", "loadbalancer"], LB_CONFIG=str(path))
        ending.callback(_end, process)
        program = RunningProgram(process, port, upstreams)
        await _wait_until_ready(program)
        yield program


def _core_of_worker() -> int:
    """Return the core for plays of this pytest worker: workers that run side by side have different ones."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    cores = sorted(os.sched_getaffinity(0), reverse=True)
    return cores[worker % len(cores)]


def _start_on(core: int, command: list[str], **variables: str) -> subprocess.Popen[bytes]:
    process = subprocess.Popen(command, env=os.environ | variables)
    os.sched_setaffinity(process.pid, {core})
    return process


def _end(process: subprocess.Popen[bytes]) -> None:
    process.kill()
    process.wait()


def run_play(play: Coroutine[Any, Any, None]) -> None:
    """Run a play with real processes on the loop that the program uses."""

    async def bounded() -> None:
        async with asyncio.timeout(PLAY_TIMEOUT_S):
            await play
        await asyncio.sleep(CLOSING_S)  # connections of ended processes close

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


async def _wait_until_ready(program: RunningProgram) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not await program.is_ready():
            await asyncio.sleep(0.05)
