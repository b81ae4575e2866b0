"""What an instance of the list service spends: by the length of the list, by watches, by instances.

The service is a process of its own, as `irondrum directory serve` hosts it. Processor time is the kernel's of
all its threads (schedstat), memory its smaps_rollup, bytes those of HTTP on its sockets.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import aiohttp

from benchmarks.capacity_balancer import HOST, SINCE_MS, cpu_ms, entry, memory_mb
from benchmarks.registry import SERVE
from loadbalancer.drill.processes.placement import free_port

WRITERS, WHOLE_CALLS, ROUNDS, QUIET_S = 64, 12, 4, 2.0
LEASE_MS = 86_400_000.0
PATIENCE_S = 60.0
RENEWALS_S = 5.0
RATE_APART = 20.0  # renewals a second at which each is told to the other instances by itself


@contextmanager
def service(instances: int = 1) -> Iterator[tuple[list[int], list[str]]]:
    """So many instances that hold one list: their process IDs and addresses."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        at = [f"{HOST}:{free_port(HOST)}" for _ in range(instances)]
        processes = []
        try:
            for number, address in enumerate(at):
                lines = [f'listen = "{address}"', f'database = "{folder / str(number)}.sqlite"']
                if instances > 1:
                    lines += [f"instances = {json.dumps(at)}", f"instance = {number}"]
                file = folder / f"{number}.toml"
                file.write_text("\n".join(lines) + "\n", encoding="utf-8")
                processes.append(subprocess.Popen([sys.executable, "-c", SERVE, str(file)]))
            yield [process.pid for process in processes], at
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait()


async def _get(http: aiohttp.ClientSession, url: str) -> bytes:
    async with http.get(url) as answer:
        assert answer.status == 200, answer.status
        return await answer.read()


async def _ready(http: aiohttp.ClientSession, at: list[str]) -> None:
    until = time.monotonic() + PATIENCE_S
    for address in at:
        while True:
            try:
                await _get(http, f"http://{address}/v1/servers")
                break
            except (OSError, AssertionError, aiohttp.ClientError):
                assert time.monotonic() < until
                await asyncio.sleep(0.05)


async def _register(http: aiohttp.ClientSession, at: list[str], size: int) -> None:
    """List so many servers, some at each instance."""

    async def writer(first: int) -> None:
        for number in range(first, size, WRITERS):
            told = {k: v for k, v in entry(number, 5000).items() if k not in ("name", "status")}
            body = told | {"lease_ms": LEASE_MS}
            url = f"http://{at[number % len(at)]}/v1/servers/{entry(number, 0)['name']}"
            async with http.put(url, json=body) as answer:
                assert answer.status == 200, await answer.text()

    await asyncio.gather(*(writer(first) for first in range(min(WRITERS, size))))


async def _write(http: aiohttp.ClientSession, at: str, method: str, number: int, what: str = "") -> int:
    url = f"http://{at}/v1/servers/{entry(number, 0)['name']}{what}"
    body = {"since_ms": SINCE_MS} if what == "/renew" else None
    async with http.request(method, url, json=body) as answer:
        assert answer.status == 200, await answer.text()
        return int((await answer.json())["index"])


async def _by_list(size: int) -> dict[str, float]:
    with service() as (pids, at):
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
            await _ready(http, at)
            await _register(http, at, size)
            pid, url = pids[0], f"http://{at[0]}/v1/servers"
            found = {"size": float(size), "whole_bytes": float(len(await _get(http, url)))}
            cpu = cpu_ms(pid)
            for _ in range(WHOLE_CALLS):
                await _get(http, url)
            found["whole_shared_ms"] = (cpu_ms(pid) - cpu) / WHOLE_CALLS
            cpu = cpu_ms(pid)
            await asyncio.sleep(QUIET_S)
            found["quiet_ms_s"] = (cpu_ms(pid) - cpu) / QUIET_S
            cpu = cpu_ms(pid)
            for number in range(ROUNDS):
                await _write(http, at[0], "POST", number, "/drain")
            found["drain_ms"] = (cpu_ms(pid) - cpu) / ROUNDS
            cpu = cpu_ms(pid)
            for number in range(ROUNDS):
                await _write(http, at[0], "DELETE", number)
            found["remove_ms"] = (cpu_ms(pid) - cpu) / ROUNDS
            cpu = cpu_ms(pid)
            for number in range(ROUNDS):
                await _write(http, at[0], "POST", ROUNDS + number, "/drain")
                await _get(http, url)
            found["whole_written_ms"] = (cpu_ms(pid) - cpu) / ROUNDS
            return found | {f"service_{k}": v for k, v in memory_mb(pid).items()}


async def _watched(http: aiohttp.ClientSession, at: str, watches: int) -> None:
    until = time.monotonic() + PATIENCE_S
    while json.loads(await _get(http, f"http://{at}/v1/state"))["watching"] < watches:
        assert time.monotonic() < until
        await asyncio.sleep(0.05)


async def _by_watches(watches: int) -> dict[str, float]:
    """Changes told to all who watch, on fresh connections that ask once more afterwards."""
    loop, servers = asyncio.get_running_loop(), 50
    with service() as (pids, at):
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
            await _ready(http, at)
            await _register(http, at, servers)
            pid, spent, took = pids[0], [], []
            before = memory_mb(pid)["rss_mb"]
            index = json.loads(await _get(http, f"http://{at[0]}/v1/servers"))["index"]
            host, _, port = at[0].rpartition(":")
            ends = [(await loop.create_connection(Watch, host, int(port)))[1] for _ in range(watches)]
            heard = [end.ask(_call(at[0], index)) for end in ends]
            await _watched(http, at[0], watches)
            found = {"watches": float(watches), "watches_rss_mb": memory_mb(pid)["rss_mb"] - before}
            for turn in range(ROUNDS):
                cpu, began = cpu_ms(pid), time.perf_counter()
                index = await _write(http, at[0], "POST", turn, "/drain")
                took.append((max(await asyncio.gather(*heard)) - began) * 1_000)
                heard = [end.ask(_call(at[0], index)) for end in ends]
                await _watched(http, at[0], watches)
                spent.append(cpu_ms(pid) - cpu)
            for end in ends:
                assert end.transport is not None
                end.transport.abort()
            last = sorted(took)[len(took) // 2]
            return found | {"change_ms": sum(spent) / ROUNDS, "last_heard_ms": last}


class Watch(asyncio.Protocol):
    """A connection with one watch at a time."""

    def __init__(self) -> None:
        self._data = b""
        self._heard: asyncio.Future[float] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, call: bytes) -> asyncio.Future[float]:
        """Ask; the result is when the whole answer was here."""
        assert self.transport is not None
        self._data, self._heard = b"", asyncio.get_running_loop().create_future()
        self.transport.write(call)
        return self._heard

    def data_received(self, data: bytes) -> None:
        """Collect the answer."""
        self._data += data
        head, _, body = self._data.partition(b"\r\n\r\n")
        if b"\r\nContent-Length: " not in head or self._heard is None or self._heard.done():
            return
        if len(body) >= int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]):
            self._heard.set_result(time.perf_counter())


def _call(at: str, index: int) -> bytes:
    return f"GET /v1/servers?after={index}&wait_ms=60000 HTTP/1.1\r\nHost: {at}\r\n\r\n".encode()


async def _renewals(instances: int, rate: float) -> dict[str, float]:
    """Renewals at a steady rate, spread over the instances: what all of them together spend on each."""
    loop, servers = asyncio.get_running_loop(), 400
    with service(instances) as (pids, at):
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
            await _ready(http, at)
            await _register(http, at, servers)
            await asyncio.sleep(1.0)  # until all have heard of all: a window of rest, not a wait for an event
            cpu = [cpu_ms(pid) for pid in pids]
            await asyncio.sleep(QUIET_S)
            quiet = [(cpu_ms(pid) - was) / QUIET_S for pid, was in zip(pids, cpu, strict=True)]
            cpu, began, out = [cpu_ms(pid) for pid in pids], loop.time(), []
            for number in range(int(RENEWALS_S * rate)):
                await asyncio.sleep(max(began + number / rate - loop.time(), 0.0))
                renewal = _write(http, at[number % instances], "POST", number % servers, "/renew")
                out.append(loop.create_task(renewal))
            await asyncio.gather(*out)
            span = loop.time() - began
            spent = [cpu_ms(pid) - was for pid, was in zip(pids, cpu, strict=True)]
            busy = [one - rest * span for one, rest in zip(spent, quiet, strict=True)]
            return {
                "instances": float(instances), "rate": rate, "quiet_ms_s": sum(quiet) / instances,
                "renewal_all_ms": sum(busy) / len(out), "took_s": span,
            }  # fmt: skip


def by_list(size: int, number: int) -> dict[str, float]:
    """One play of a list of so many servers."""
    return asyncio.run(_by_list(size)) | {"play": number}


def by_watches(watches: int, number: int) -> dict[str, float]:
    """One play of so many watches."""
    return asyncio.run(_by_watches(watches)) | {"play": number}


def by_instances(instances: int, number: int) -> dict[str, float]:
    """One play of so many instances."""
    return asyncio.run(_renewals(instances, RATE_APART)) | {"play": number}


def by_rate(rate: int, number: int) -> dict[str, float]:
    """One play of two instances with so many renewals a second."""
    return asyncio.run(_renewals(2, float(rate))) | {"play": number}
