"""What a list costs a balancer, by its length: the program as a process, beside a stand-in of list services.

Each play starts `python -m loadbalancer` anew, with two instances of a list service of one's own, both of
which are this process. Processor time is the kernel's of that process alone (schedstat), memory its
smaps_rollup, bytes those that the stand-in wrote and read, without the kernel's headers.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from loadbalancer.drill.processes.addresses import find_free_port

HOST = "127.0.0.1"
CHANGES = 60  # told one after another, of which the first WARM are not counted
WARM = 10
QUIET_S = 2.0
WAIT = re.compile(rb"wait_ms=(\d+)")
LOOKS = 3  # at another instance, while a listed server is silent
PATIENCE_S = 60.0
CALL = b"GET /read/x HTTP/1.1\r\nHost: b\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 400m\r\n\r\n"
SINCE_MS = 1.78e12  # of all servers: long ago, so that none is cold
ZONES = 12


def entry(number: int, port: int, since_ms: float = SINCE_MS) -> dict[str, Any]:
    """A server as the list service shows it."""
    return {
        "name": f"service-{number % 760:03}-{number:05}", "address": f"{HOST}:{port}",
        "zone": f"zone-{number % ZONES:02}", "type": "m", "group": number % 3, "status": "in_service",
        "weight": 4.0, "since_ms": since_ms,
    }  # fmt: skip


class Instances:
    """Stands in for two instances of the list service: whole lists at once, watches when there is news."""

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self.index, self.news, self.changed = 1, asyncio.Event(), b""
        self.calls = self.out = self.into = self.whole = 0
        self.watching, self.looked = asyncio.Event(), asyncio.Event()
        self.ports: list[int] = []
        self._body = b""

    async def start(self) -> None:
        """Listen on two ports from the system."""
        self.servers = [await asyncio.start_server(self._serve, HOST, 0) for _ in range(2)]
        self.ports = [server.sockets[0].getsockname()[1] for server in self.servers]

    def hold(self, entries: list[dict[str, Any]]) -> None:
        """The list from now on."""
        self.entries = {one["name"]: one for one in entries}
        self.write()

    def write(self) -> None:
        """The whole list as it stands, for those who ask for it."""
        told = {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}
        self._body = json.dumps(told, separators=(",", ":")).encode()

    def change(self, one: dict[str, Any]) -> None:
        """Tell a change to the watch."""
        self.index += 1
        self.entries[one["name"]] = one
        told = {"index": self.index, "snapshot": False, "endpoints": [one]}
        self._tell(json.dumps(told, separators=(",", ":")).encode())

    def tell_whole(self) -> None:
        """Answer the watch by the whole list."""
        self.index += 1
        self.write()
        self._tell(self._body)

    def tell_ready(self) -> None:
        """Answer the watch by the whole list as it was written last, at a new version."""
        self.index += 1
        _, _, rest = self._body.partition(b",")
        self._body = b'{"index":%d,' % self.index + rest
        self._tell(self._body)

    def _tell(self, body: bytes) -> None:
        self.watching.clear()
        self.changed, news = body, self.news
        self.news = asyncio.Event()
        news.set()

    async def _news(self, news: asyncio.Event, head: bytes) -> bytes:
        """What a watch is answered: news, or after its wait that there are none."""
        try:
            told = WAIT.search(head)
            async with asyncio.timeout(float(told[1]) / 1_000 if told else 0.0):
                await news.wait()
        except TimeoutError:
            return b'{"index":%d,"snapshot":false,"endpoints":[]}' % self.index
        return self.changed

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls, self.into = self.calls + 1, self.into + len(head)
                if b"after=" in head.split(b"\r\n")[0]:
                    news = self.news
                    self.watching.set()
                    body = await self._news(news, head)
                else:
                    body, self.whole = self._body, self.whole + 1
                    self.looked.set()
                answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json; charset=utf-8\r\n"
                answer += b"Content-Length: %d\r\n\r\n" % len(body) + body
                self.out += len(answer)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()


async def _silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server that takes all and answers nothing."""
    try:
        while await reader.read(4096):
            pass
    except OSError:
        pass
    writer.close()


def config(listen: int, lists: list[int], balancers: int) -> dict[str, Any]:
    """The configuration of the balancer."""
    return {
        "name": "b", "listen": f"{HOST}:{listen}", "discovery": f"{HOST}:{lists[0]}", "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "settings": {
            "discovery": "ask", "balancers": balancers, "myNumber": 0, "tier": 0, "zone": "zone-00",
            "classes": [{"name": "read", "target": 250, "deadline": 1000, "effect": "retryable", "worth": 1}],
            "limits": {"attemptsCap": 2, "connectTimeout": 250, "connIdle": 15_000},
            "contract": {"drainGrace": 5_000, "cold": 5_000, "askWithin": 10_000},
        },
        "lists": {"others": [f"{HOST}:{port}" for port in lists[1:]]},
    }  # fmt: skip


def cpu_ms(pid: int) -> float:
    """Processor time of all threads of a process so far."""
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(thread.read_text().split()[0]) for thread in threads) / 1e6


def memory_mb(pid: int) -> dict[str, float]:
    """Resident, proportional and highest memory of a process, in MB of 10^6 bytes."""
    kb: dict[str, float] = {}
    for path in ("smaps_rollup", "status"):
        for line in Path(f"/proc/{pid}/{path}").read_text().splitlines():
            name, _, rest = line.partition(":")
            if rest.endswith(" kB"):
                kb[name] = int(rest.split()[0]) * 1.024 / 1_000
    return {"rss_mb": kb["Rss"], "pss_mb": kb["Pss"], "most_mb": kb["VmHWM"]}


@asynccontextmanager
async def balancer(told: dict[str, Any]) -> AsyncIterator[int]:
    """The program as a process; its ID."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(told), encoding="utf-8")
        environment = os.environ | {"LB_CONFIG": str(path), "TMPDIR": folder}
        process = subprocess.Popen(
            [sys.executable, "-m", "loadbalancer"], env=environment, stderr=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
        )  # fmt: skip
        try:
            yield process.pid
        finally:
            process.terminate()
            try:
                process.wait(15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


async def settled(pid: int) -> float:
    """Wait until a process has been idle for a moment; its processor time until then, in ms."""
    last, until = cpu_ms(pid), time.monotonic() + PATIENCE_S
    while time.monotonic() < until:
        await asyncio.sleep(0.2)
        now = cpu_ms(pid)
        if now - last < 10.0:
            return now
        last = now
    raise TimeoutError(f"process {pid} does not come to rest")


async def _changes(instances: Instances, pid: int, entries: list[dict[str, Any]]) -> dict[str, float]:
    """Changes one after another: a listed server has started anew."""
    for number in range(CHANGES):
        if number == WARM:
            cpu, out, into = cpu_ms(pid), instances.out, instances.into
        await asyncio.wait_for(instances.watching.wait(), PATIENCE_S)
        instances.change(entries[number * 7 % len(entries)] | {"since_ms": SINCE_MS + number})
    await asyncio.wait_for(instances.watching.wait(), PATIENCE_S)
    count = CHANGES - WARM
    return {
        "change_ms": (cpu_ms(pid) - cpu) / count,
        "change_bytes": (instances.out - out + instances.into - into) / count,
    }


async def _looks(instances: Instances, pid: int, listen: int, quiet_ms_s: float) -> dict[str, float]:
    """A call to a server that is silent: what is done about the list meanwhile."""
    reader, writer = await asyncio.open_connection(HOST, listen)
    writer.write(CALL)
    await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PATIENCE_S)
    writer.close()
    whole, cpu, out, began = instances.whole, cpu_ms(pid), instances.out, time.monotonic()
    at: list[float] = []
    while len(at) < LOOKS:
        instances.looked.clear()
        await asyncio.wait_for(instances.looked.wait(), PATIENCE_S)
        at.append(time.monotonic())
    done = await settled(pid) - quiet_ms_s * (time.monotonic() - began)
    looks = instances.whole - whole
    return {
        "look_ms": (done - cpu) / looks,
        "look_bytes": (instances.out - out) / looks,
        "look_every_s": (at[-1] - at[0]) / (LOOKS - 1),
        "look_after_s": at[0] - began,
    }


async def play(size: int) -> dict[str, float]:
    """One balancer with a list of so many servers; ms of processor time, MB, bytes."""
    instances, listen = Instances(), find_free_port(HOST)
    await instances.start()
    silent = await asyncio.start_server(_silent, HOST, 0)
    entries = [entry(n, silent.sockets[0].getsockname()[1]) for n in range(size)]
    instances.hold(entries[:1])
    found: dict[str, float] = {"size": size}
    async with balancer(config(listen, instances.ports, size)) as pid:
        await asyncio.wait_for(instances.watching.wait(), PATIENCE_S)
        idle = await settled(pid)
        found |= {f"idle_{name}": value for name, value in memory_mb(pid).items()}
        instances.hold(entries)
        out = instances.out
        instances.tell_whole()
        await asyncio.wait_for(instances.watching.wait(), PATIENCE_S)
        found["whole_ms"] = await settled(pid) - idle
        found["whole_bytes"] = instances.out - out
        found |= memory_mb(pid)
        again = await settled(pid)
        instances.tell_whole()
        await asyncio.wait_for(instances.watching.wait(), PATIENCE_S)
        found["again_ms"] = await settled(pid) - again
        found |= {f"again_{name}": value for name, value in memory_mb(pid).items()}
        cpu = cpu_ms(pid)
        await asyncio.sleep(QUIET_S)
        found["quiet_ms_s"] = (cpu_ms(pid) - cpu) / QUIET_S
        found |= await _changes(instances, pid, entries)
        instances.write()  # both instances hold the same: nothing is found by looking
        found |= await _looks(instances, pid, listen, found["quiet_ms_s"])
        found |= {f"looked_{name}": value for name, value in memory_mb(pid).items()}
    for server in (*instances.servers, silent):
        server.close()
    return found


def measure(size: int, number: int) -> dict[str, float]:
    """One play in a process of its own making."""
    return asyncio.run(play(size)) | {"play": number}
