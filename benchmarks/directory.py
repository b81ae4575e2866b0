"""The list service: how soon thousands of watches hear of a change, and how many writes it keeps a second.

    python -m benchmarks.directory --watches 5000

The service is a process of its own on one core; the watches are another. `each` is the same service without
shared answers, which serializes the list for every watch. Times are in ms, on the machine that runs it.
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

from loadbalancer.drill.processes.addresses import find_free_port

SERVERS, ROUNDS, WRITERS = 1_000, 5, 128
EACH = """
from loadbalancer.registry import reads
def news_since(self, asked, held, view):
    self._answers.clear()
    return real(self, asked, held, view)
real, reads.Reads._news_since = reads.Reads._news_since, news_since
"""
SERVE = """
import sys
from pathlib import Path
from loadbalancer.registry import host
told = host.read_file(Path(sys.argv[1]))
host.serve(told, host.open_service(told))
"""


def allow_files(count: int) -> None:
    """So many descriptors, if the machine allows it."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(count, most), most))


class Watch(asyncio.Protocol):
    """One watch: its call, and when the whole answer was here."""

    def __init__(self, call: bytes, heard: asyncio.Future[float]) -> None:
        self._call, self._heard, self._data = call, heard, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(self._call)

    def data_received(self, data: bytes) -> None:
        """Collect the answer."""
        self._data += data
        head, _, body = self._data.partition(b"\r\n\r\n")
        if b"\r\nContent-Length: " in head and not self._heard.done():
            size = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
            if len(body) >= size:
                self._heard.set_result(time.perf_counter())


async def hear(at: str, watches: int) -> list[float]:
    """How long it takes until the last watch has heard of a change, some times over."""
    host, _, port = at.rpartition(":")
    loop, took = asyncio.get_running_loop(), []
    async with aiohttp.ClientSession() as http:
        for number in range(SERVERS):
            body = {"address": "127.0.0.1:1", "zone": "a", "lease_ms": 86_400_000.0}
            async with http.put(f"http://{at}/v1/servers/s{number}", json=body) as answer:
                index = (await answer.json())["index"]
        for turn in range(ROUNDS):
            call = f"GET /v1/servers?after={index}&wait_ms=60000 HTTP/1.1\r\nHost: {at}\r\n\r\n".encode()
            heard = [loop.create_future() for _ in range(watches)]
            ends = []
            for future in heard:
                end, _ = await loop.create_connection(partial(Watch, call, future), host, int(port))
                ends.append(end)
            async with http.get(f"http://{at}/v1/state") as answer:
                while (await answer.json())["watching"] < watches:
                    await asyncio.sleep(0.05)
                    answer = await http.get(f"http://{at}/v1/state")
            began = time.perf_counter()
            async with http.post(f"http://{at}/v1/servers/s{turn}/drain") as answer:
                index = (await answer.json())["index"]
            took.append((max(await asyncio.gather(*heard)) - began) * 1_000)
            for end in ends:
                end.abort()
    return took


async def write(at: str, seconds: float) -> float:
    """Registrations a second, each durable before it is answered."""
    done, until = 0, time.perf_counter() + seconds

    async def writer(http: aiohttp.ClientSession, number: int) -> None:
        nonlocal done
        turn = 0
        while time.perf_counter() < until:
            body = {"address": "127.0.0.1:1", "since_ms": turn, "lease_ms": 86_400_000.0}
            async with http.put(f"http://{at}/v1/servers/w{number}", json=body) as answer:
                assert answer.status == 200
            done, turn = done + 1, turn + 1

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        await asyncio.gather(*(writer(http, number) for number in range(WRITERS)))
    return done / seconds


def sqlite_alone(folder: Path, seconds: float) -> float:
    """Transactions a second of one small row each, durable, with nothing round them."""
    db = sqlite3.connect(folder / "alone.sqlite", isolation_level=None)
    db.execute("pragma journal_mode = wal")
    db.execute("pragma synchronous = full")
    db.execute("create table entries (name text primary key, entry blob)")
    done, until = 0, time.perf_counter() + seconds
    while time.perf_counter() < until:
        db.execute("insert or replace into entries values (?, ?)", (f"w{done % WRITERS}", b"x" * 300))
        done += 1
    return done / seconds


def served(folder: Path, name: str, patch: str) -> tuple[subprocess.Popen[bytes], str]:
    """The service as a process on the first core that we may use."""
    at = f"127.0.0.1:{find_free_port('127.0.0.1')}"
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
            return process, at
        except OSError:
            assert process.poll() is None
            time.sleep(0.02)


def main(
    watches: Annotated[int, typer.Option(help="Watches that stand at once.")] = 5_000,
    seconds: Annotated[float, typer.Option(help="How long writes are counted.")] = 5.0,
) -> None:
    """Measure and print."""
    allow_files(2 * watches + 500)
    told: dict[str, object] = {"watches": watches, "servers": SERVERS}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for kind, patch in (("shared", ""), ("each", EACH)):
            process, at = served(folder, kind, patch)
            try:
                took = sorted(asyncio.run(hear(at, watches)))
                told[f"{kind}_ms"] = [round(t) for t in took]
                if kind == "shared":
                    told["writes_per_s"] = round(asyncio.run(write(at, seconds)))
            finally:
                process.terminate()
                process.wait()
        told["sqlite_alone_per_s"] = round(sqlite_alone(folder, seconds))
    print(json.dumps(told))


if __name__ == "__main__":
    typer.run(main)
