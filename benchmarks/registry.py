"""The registry: how soon thousands of watchers get a change, and how many writes it stores a second.

    python -m benchmarks.registry --watches 5000

The service is a process of its own on one core; the watchers are another. `each` is the same service without
shared answers, which serializes the list for every watcher. Times are in ms, on the machine that runs it.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import sqlite3
import subprocess
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Annotated

import aiohttp
import typer

from loadbalancer.drill.processes.placement import free_port

SERVERS = 1_000
ROUNDS = 5  # changes that are measured
WRITERS = 128
LEASE_MS = 86_400_000.0  # none expires while it is measured
EACH = """
from loadbalancer.registry.query_evaluation import QueryEvaluator
def cached_changes(self, query, views):
    self._answers.clear()
    return real(self, query, views)
real, QueryEvaluator._cached_changes = QueryEvaluator._cached_changes, cached_changes
"""
SERVE = """
import sys
from pathlib import Path
from loadbalancer.registry import server
configuration = server.read_configuration(Path(sys.argv[1]))
server.serve(configuration, server.open_service(configuration))
"""


def allow_files(count: int) -> None:
    """Allow this process so many descriptors, as far as the machine does."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(count, hard_limit), hard_limit))


class Watch(asyncio.Protocol):
    """One watch: its call, and the time at which the complete answer had arrived."""

    def __init__(self, call: bytes, answered_s: asyncio.Future[float]) -> None:
        self._call = call
        self._answered_s = answered_s
        self._data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the call."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(self._call)

    def data_received(self, data: bytes) -> None:
        """Collect the answer."""
        self._data += data
        head, _, body = self._data.partition(b"\r\n\r\n")
        if b"\r\nContent-Length: " in head and not self._answered_s.done():
            size = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
            if len(body) >= size:
                self._answered_s.set_result(time.perf_counter())


async def measure_watches(at: str, watches: int) -> list[float]:
    """Return, for each change, how many ms it takes until the last watch has its answer."""
    host, _, port = at.rpartition(":")
    loop = asyncio.get_running_loop()
    durations_ms = []
    async with aiohttp.ClientSession() as http:
        revision = await _register_servers(http, at)
        for round_number in range(ROUNDS):
            call = f"GET /v1/servers?after={revision}&wait_ms=60000 HTTP/1.1\r\nHost: {at}\r\n\r\n".encode()
            answered_s = [loop.create_future() for _ in range(watches)]
            transports = []
            for future in answered_s:
                transport, _ = await loop.create_connection(partial(Watch, call, future), host, int(port))
                transports.append(transport)
            await _wait_for_watches(http, at, watches)
            started_s = time.perf_counter()
            async with http.post(f"http://{at}/v1/servers/s{round_number}/drain") as answer:
                revision = (await answer.json())["index"]
            durations_ms.append((max(await asyncio.gather(*answered_s)) - started_s) * 1_000)
            for transport in transports:
                transport.abort()
    return durations_ms


async def _register_servers(http: aiohttp.ClientSession, at: str) -> int:
    """Register all servers; return the revision of the last one."""
    revision = 0
    for number in range(SERVERS):
        body = {"address": "127.0.0.1:1", "zone": "a", "lease_ms": LEASE_MS}
        async with http.put(f"http://{at}/v1/servers/s{number}", json=body) as answer:
            revision = (await answer.json())["index"]
    return revision


async def _wait_for_watches(http: aiohttp.ClientSession, at: str, watches: int) -> None:
    async with http.get(f"http://{at}/v1/state") as answer:
        while (await answer.json())["watching"] < watches:
            await asyncio.sleep(0.05)
            answer = await http.get(f"http://{at}/v1/state")


async def measure_writes(at: str, seconds: float) -> float:
    """Return the registrations a second, each durable before it is answered."""
    count = 0
    deadline_s = time.perf_counter() + seconds

    async def write(http: aiohttp.ClientSession, number: int) -> None:
        nonlocal count
        start = 0
        while time.perf_counter() < deadline_s:
            body = {"address": "127.0.0.1:1", "since_ms": start, "lease_ms": LEASE_MS}
            async with http.put(f"http://{at}/v1/servers/w{number}", json=body) as answer:
                assert answer.status == 200
            count += 1
            start += 1

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        await asyncio.gather(*(write(http, number) for number in range(WRITERS)))
    return count / seconds


def measure_sqlite(folder: Path, seconds: float) -> float:
    """Return the transactions a second of one small row each, durable, by SQLite alone."""
    db = sqlite3.connect(folder / "alone.sqlite", isolation_level=None)
    db.execute("pragma journal_mode = wal")
    db.execute("pragma synchronous = full")
    db.execute("create table entries (name text primary key, entry blob)")
    count = 0
    deadline_s = time.perf_counter() + seconds
    while time.perf_counter() < deadline_s:
        db.execute("insert or replace into entries values (?, ?)", (f"w{count % WRITERS}", b"x" * 300))
        count += 1
    return count / seconds


def start_service(folder: Path, name: str, patch: str) -> tuple[subprocess.Popen[bytes], str]:
    """Start the service as a process on the first core that we may use; return it and its address."""
    at = f"127.0.0.1:{free_port('127.0.0.1')}"
    file = folder / f"{name}.toml"
    file.write_text(f'listen = "{at}"\ndatabase = "{folder / name}.sqlite"\n', encoding="utf-8")
    core = min(os.sched_getaffinity(0))
    process = subprocess.Popen(
        [sys.executable, "-c", patch + SERVE, str(file)], preexec_fn=lambda: os.sched_setaffinity(0, {core})
    )
    host, _, port = at.rpartition(":")
    while True:
        try:
            socket.create_connection((host, int(port))).close()
        except OSError:
            assert process.poll() is None
            time.sleep(0.02)
        else:
            return process, at


def main(
    watches: Annotated[int, typer.Option(help="Watches that stand at once.")] = 5_000,
    seconds: Annotated[float, typer.Option(help="How long writes are counted.")] = 5.0,
) -> None:
    """Measure and print."""
    allow_files(2 * watches + 500)
    figures: dict[str, object] = {"watches": watches, "servers": SERVERS}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for kind, patch in (("shared", ""), ("each", EACH)):
            process, at = start_service(folder, kind, patch)
            try:
                durations_ms = sorted(asyncio.run(measure_watches(at, watches)))
                figures[f"{kind}_ms"] = [round(duration) for duration in durations_ms]
                if kind == "shared":
                    figures["writes_per_s"] = round(asyncio.run(measure_writes(at, seconds)))
            finally:
                process.terminate()
                process.wait()
        figures["sqlite_alone_per_s"] = round(measure_sqlite(folder, seconds))
    print(json.dumps(figures))


if __name__ == "__main__":
    typer.run(main)
