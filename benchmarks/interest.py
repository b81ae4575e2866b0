"""Lists by interest against whole ones: memory in a balancer, bytes and service's time of starts and changes.

    python -m benchmarks.interest                    # all, into benchmarks/figures/interest.json

Three kinds of list at each size: `whole`, all servers in one service, as everybody got them; `service`, a
service of 24 among as many as it takes; `part`, a part of a service of all servers (`PART` in each of 12
zones, as many balancers as servers). `balancer` rows are processes of their own, with the module and what is
round it; `service` rows are a real list service on one core, with as many watches on sockets as servers.
"""

from __future__ import annotations

import asyncio
import json
import os
import platform
import subprocess
import sys
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import aiohttp
import typer

from benchmarks.registry import allow_files, start_service
from loadbalancer.registry import Catalog, Registration, Rules
from loadbalancer.registry.interest import SubsetSpec, SubsetView, watcher_position
from loadbalancer.registry.subset_cache import SubsetCache

KINDS = ("whole", "service", "part")
SIZES = (500, 2_000, 6_000, 18_000)  # of the list in a balancer
WATCHES = (250, 500, 1_000, 2_000)  # and servers, at a real service
SERVICE = 24  # servers
ZONES = 12
PART = 2  # servers of a part in each zone, at the least
STARTS = 40
CHANGES = 10
SETTLE_S = 0.3
OUT = Path(__file__).parent / "figures" / "interest.json"


def server(number: int, service: str) -> dict[str, Any]:
    """Return a server as the list has it."""
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080"
    return {
        "name": f"server-{number:06d}",
        "address": address,
        "zone": f"zone-{number % ZONES}",
        "type": "m",
        "group": 0,
        "status": "in_service",
        "weight": 4.0,
        "since_ms": 1.7e12 + number,
        "service": service,
    }


def service_of(kind: str, number: int) -> str:
    """Return the service of a server, which is the one that the balancer beside it calls."""
    return f"service-{number // SERVICE}" if kind == "service" else "all"


def subset_of(kind: str, size: int, watcher: int) -> list[int]:
    """Return the numbers of the servers that a balancer holds."""
    if kind == "whole":
        return list(range(size))
    if kind == "service":
        first = watcher // SERVICE * SERVICE
        return list(range(first, min(first + SERVICE, size)))
    catalog = Catalog(Rules(), 1)
    for number in range(size):
        registration = Registration(address="10.0.0.1:1", zone=f"zone-{number % ZONES}", tier="all")
        catalog.register(server(number, "all")["name"], registration, 0.0)
    subset = SubsetSpec(PART, f"zone-{watcher % ZONES}", size)
    view = SubsetView(
        {"all": SubsetCache(catalog).finest_levels("all", subset)}, watcher_position(f"b-{watcher}")
    )
    names = {entry.name for entry in catalog.listed_entries("all") if view.includes_entry(entry)}
    return [number for number in range(size) if server(number, "all")["name"] in names]


# ---- a balancer ---------------------------------------------------------------------------------


def balancer_row(kind: str, size: int, folder: Path) -> dict[str, Any]:
    """Run one balancer's process with the list of one kind; return its figures."""
    numbers = subset_of(kind, size, 7)
    answer = {"index": 5, "snapshot": True, "endpoints": [server(n, service_of(kind, n)) for n in numbers]}
    body, spec = folder / "body.json", folder / "spec.json"
    body.write_text(json.dumps(answer, separators=(",", ":")), encoding="utf-8")
    spec.write_text(json.dumps({"body": str(body), "balancers": size}), encoding="utf-8")
    output = subprocess.run(
        [sys.executable, "-m", "benchmarks.interest_balancer", str(spec)],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    row = {name: round(value, 3) for name, value in json.loads(output).items()}
    return {"kind": kind, "size": size, "held": len(numbers)} | row


# ---- a service ----------------------------------------------------------------------------------


class Watcher(asyncio.Protocol):
    """One watch that calls again after each answer, as a balancer does."""

    def __init__(self, at: str, query: str, on_answer: Callable[[dict[str, Any]], None]) -> None:
        self._at = at
        self._query = query
        self._on_answer = on_answer
        self._data = b""
        self.bytes = 0
        self.after = ""
        self.repeats = False  # it calls again after each answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for calls."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send_query(self) -> None:
        """Ask for a full snapshot, or for what comes after the revision that is known."""
        self._transport.write(
            f"GET /v1/servers?{self._query}{self.after} HTTP/1.1\r\nHost: {self._at}\r\n\r\n".encode()
        )

    def data_received(self, data: bytes) -> None:
        """Collect an answer, and call again."""
        self._data += data
        self.bytes += len(data)
        head, _, body = self._data.partition(b"\r\n\r\n")
        if not body or len(body) < int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]):
            return
        self._data = b""
        answer = json.loads(body)
        self.resume_from(answer)
        self._on_answer(answer)
        if self.repeats:
            self.send_query()

    def resume_from(self, answer: dict[str, Any]) -> None:
        """Go on from an answer."""
        levels = f"&held={quote(answer['held'], safe=':,')}" if "held" in answer else ""
        self.after = f"&after={answer['index']}&wait_ms=60000{levels}"


class Fleet:
    """The watches of one play at one service process."""

    def __init__(self, at: str, pid: int, kind: str, size: int) -> None:
        self._at = at
        self._pid = pid
        self._kind = kind
        self._size = size
        self._answer_count = 0
        self._awaited_count = 0
        self._all_answered = asyncio.Event()
        self.watches: list[Watcher] = []

    def _on_answer(self, answer: dict[str, Any]) -> None:
        self._answer_count += 1
        if self._answer_count >= self._awaited_count:
            self._all_answered.set()

    def cpu_ms(self) -> float:
        """Return the processor time of the service so far."""
        fields = Path(f"/proc/{self._pid}/schedstat").read_text(encoding="utf-8").split()
        return int(fields[0]) / 1e6

    async def register(self, http: aiohttp.ClientSession) -> None:
        """Register all servers, some at a time."""
        numbers = iter(range(self._size))

        async def write() -> None:
            """Register servers, one after another, until there are none."""
            for number in numbers:
                entry = server(number, "")
                body = {key: entry[key] for key in ("address", "zone", "weight", "since_ms")}
                body |= {"tier": service_of(self._kind, number), "lease_ms": 86_400_000.0}
                async with http.put(f"http://{self._at}/v1/servers/{entry['name']}", json=body) as answer:
                    assert answer.status == 200

        await asyncio.gather(*(write() for _ in range(64)))

    async def open(self) -> None:
        """Connect as many watches as servers, none of which has called yet."""
        host, _, port = self._at.rpartition(":")
        loop = asyncio.get_running_loop()
        for number in range(self._size):
            make = partial(Watcher, self._at, self._query_of(number), self._on_answer)
            _, watch = await loop.create_connection(make, host, int(port))
            self.watches.append(watch)

    def _query_of(self, number: int) -> str:
        service = service_of(self._kind, number)
        if self._kind == "whole":
            return f"tier={service}"
        if self._kind == "service":
            return f"services={service}"
        return (
            f"services={service}&part={PART}&of=b-{number}&zone=zone-{number % ZONES}&balancers={self._size}"
        )

    async def measure_starts(self) -> dict[str, float]:
        """Return what some starts cost, one after another; all go on from their answers."""
        sample = self.watches[:: max(self._size // STARTS, 1)][:STARTS]
        bytes_before = sum(watch.bytes for watch in sample)
        cpu_ms_before = self.cpu_ms()
        for watch in sample:
            await self._call_all([watch])
        cost_ms = self.cpu_ms() - cpu_ms_before
        size = sum(watch.bytes for watch in sample) - bytes_before
        if self._kind != "whole":
            rest = [watch for watch in self.watches if not watch.after]
            for at in range(0, len(rest), 100):
                await self._call_all(rest[at : at + 100])
        else:
            for watch in self.watches:
                watch.after = sample[0].after
        return {"start_ms": cost_ms / len(sample), "start_bytes": size / len(sample)}

    async def _call_all(self, watches: list[Watcher]) -> None:
        self._all_answered.clear()
        self._answer_count = 0
        self._awaited_count = len(watches)
        for watch in watches:
            watch.send_query()
        await self._all_answered.wait()

    async def measure_changes(self, http: aiohttp.ClientSession) -> dict[str, float]:
        """Return what changes cost, each of one server, when all wait."""
        for watch in self.watches:
            watch.repeats = True
            watch.send_query()
        while True:
            async with http.get(f"http://{self._at}/v1/state") as answer:
                if (await answer.json())["watching"] >= self._size:
                    break
        await asyncio.sleep(SETTLE_S)
        self._answer_count = 0
        self._awaited_count = 1 << 60  # nobody awaits a number of answers
        cpu_ms_before = self.cpu_ms()
        bytes_before = sum(watch.bytes for watch in self.watches)
        idle_ms = await self._idle_ms()
        for number in range(CHANGES):
            name = server(number * 17 % self._size, "")["name"]
            async with http.post(f"http://{self._at}/v1/servers/{name}/drain") as answer:
                assert answer.status == 200
            await self._wait_until_quiet()
        cost_ms = self.cpu_ms() - cpu_ms_before - idle_ms * (1 + CHANGES)
        size = sum(watch.bytes for watch in self.watches) - bytes_before
        return {
            "change_ms": max(cost_ms, 0.0) / CHANGES,
            "change_told": self._answer_count / CHANGES,
            "change_bytes": size / CHANGES,
        }

    async def _wait_until_quiet(self) -> None:
        """Wait until nobody has been answered for a while: all that are woken call again at once."""
        answer_count = -1
        while answer_count != self._answer_count:
            answer_count = self._answer_count
            await asyncio.sleep(SETTLE_S)

    async def _idle_ms(self) -> float:
        """Return what a quiet spell of the service costs."""
        cpu_ms_before = self.cpu_ms()
        await asyncio.sleep(SETTLE_S)
        return self.cpu_ms() - cpu_ms_before


async def service_row(kind: str, size: int, at: str, pid: int) -> dict[str, Any]:
    """Return the figures of one service with as many servers and watches."""
    fleet = Fleet(at, pid, kind, size)
    async with aiohttp.ClientSession() as http:
        await fleet.register(http)
        await fleet.open()
        row = await fleet.measure_starts() | await fleet.measure_changes(http)
    for watch in fleet.watches:
        watch._transport.abort()
    return {"kind": kind, "size": size} | {name: round(value, 3) for name, value in row.items()}


def main(
    out: Annotated[Path, typer.Option(help="The file that is written.")] = OUT,
    sizes: Annotated[str, typer.Option(help="Watches at the service, with commas between.")] = "",
) -> None:
    """Measure, print each row, and write all."""
    figures: dict[str, Any] = {"balancer": [], "service": []}
    allow_files(20_000)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for size in SIZES:
            for kind in KINDS:
                figures["balancer"].append(balancer_row(kind, size, folder))
                print(json.dumps(figures["balancer"][-1]), flush=True)
        for size in map(int, sizes.split(",")) if sizes else WATCHES:
            for kind in KINDS:
                process, at = start_service(folder, f"{kind}-{size}", "")
                try:
                    figures["service"].append(asyncio.run(service_row(kind, size, at, process.pid)))
                finally:
                    process.terminate()
                    process.wait()
                print(json.dumps(figures["service"][-1]), flush=True)
    figures["about"] = {
        "python": platform.python_version(),
        "cores": len(os.sched_getaffinity(0)),
        "command": "python -m benchmarks.interest",
        "part": PART,
        "zones": ZONES,
        "service": SERVICE,
    }
    out.parent.mkdir(exist_ok=True)
    out.write_text(json.dumps(figures, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    typer.run(main)
