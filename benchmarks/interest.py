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
SERVICE, ZONES, PART = 24, 12, 2
STARTS, CHANGES = 40, 10
SETTLE_S = 0.3
OUT = Path(__file__).parent / "figures" / "interest.json"


def server(number: int, service: str) -> dict[str, Any]:
    """A server as the list tells it."""
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
    """The service of a server, and of the balancer beside it the one that it calls."""
    return f"service-{number // SERVICE}" if kind == "service" else "all"


def held_by(kind: str, size: int, watcher: int) -> list[int]:
    """The servers that a balancer holds."""
    if kind == "whole":
        return list(range(size))
    if kind == "service":
        first = watcher // SERVICE * SERVICE
        return list(range(first, min(first + SERVICE, size)))
    catalog = Catalog(Rules(), 1)
    for number in range(size):
        told = Registration(address="10.0.0.1:1", zone=f"zone-{number % ZONES}", tier="all")
        catalog.register(server(number, "all")["name"], told, 0.0)
    shape = SubsetSpec(PART, f"zone-{watcher % ZONES}", size)
    view = SubsetView(
        {"all": SubsetCache(catalog).finest_levels("all", shape)}, watcher_position(f"b-{watcher}")
    )
    names = {entry.name for entry in catalog.listed_entries("all") if view.includes_entry(entry)}
    return [number for number in range(size) if server(number, "all")["name"] in names]


# ---- a balancer ---------------------------------------------------------------------------------


def balancer_row(kind: str, size: int, folder: Path) -> dict[str, Any]:
    """One balancer's process with the list of one kind."""
    numbers = held_by(kind, size, 7)
    answer = {"index": 5, "snapshot": True, "endpoints": [server(n, service_of(kind, n)) for n in numbers]}
    body, spec = folder / "body.json", folder / "spec.json"
    body.write_text(json.dumps(answer, separators=(",", ":")), encoding="utf-8")
    spec.write_text(json.dumps({"body": str(body), "balancers": size}), encoding="utf-8")
    told = subprocess.run(
        [sys.executable, "-m", "benchmarks.interest_balancer", str(spec)],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    row = {name: round(value, 3) for name, value in json.loads(told).items()}
    return {"kind": kind, "size": size, "held": len(numbers)} | row


# ---- a service ----------------------------------------------------------------------------------


class Watcher(asyncio.Protocol):
    """One watch that asks again after each answer, as a balancer does."""

    def __init__(self, at: str, wants: str, heard: Callable[[dict[str, Any]], None]) -> None:
        self._at, self._wants, self._heard, self._data = at, wants, heard, b""
        self.bytes = 0
        self.after = ""
        self.goes_on = False  # it asks again after each answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep it."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def ask(self) -> None:
        """Ask for the whole, or for what comes after the version that is held."""
        self._transport.write(
            f"GET /v1/servers?{self._wants}{self.after} HTTP/1.1\r\nHost: {self._at}\r\n\r\n".encode()
        )

    def data_received(self, data: bytes) -> None:
        """Collect an answer, and ask again."""
        self._data += data
        self.bytes += len(data)
        head, _, body = self._data.partition(b"\r\n\r\n")
        if not body or len(body) < int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]):
            return
        self._data = b""
        self.follow(told := json.loads(body))
        self._heard(told)
        if self.goes_on:
            self.ask()

    def follow(self, told: dict[str, Any]) -> None:
        """Go on from an answer."""
        held = f"&held={quote(told['held'], safe=':,')}" if "held" in told else ""
        self.after = f"&after={told['index']}&wait_ms=60000{held}"


class Fleet:
    """The watches of one play at one service process."""

    def __init__(self, at: str, pid: int, kind: str, size: int) -> None:
        self._at, self._pid, self._kind, self._size = at, pid, kind, size
        self._told = 0
        self._all_told = asyncio.Event()
        self._want = 0
        self.watches: list[Watcher] = []

    def _heard(self, told: dict[str, Any]) -> None:
        self._told += 1
        if self._told >= self._want:
            self._all_told.set()

    def cpu_ms(self) -> float:
        """Processor time of the service so far."""
        fields = Path(f"/proc/{self._pid}/schedstat").read_text(encoding="utf-8").split()
        return int(fields[0]) / 1e6

    async def register(self, http: aiohttp.ClientSession) -> None:
        """All servers, some at a time."""
        turn = iter(range(self._size))

        async def writer() -> None:
            for number in turn:
                one = server(number, "")
                body = {k: one[k] for k in ("address", "zone", "weight", "since_ms")}
                body |= {"tier": service_of(self._kind, number), "lease_ms": 86_400_000.0}
                async with http.put(f"http://{self._at}/v1/servers/{one['name']}", json=body) as answer:
                    assert answer.status == 200

        await asyncio.gather(*(writer() for _ in range(64)))

    async def open(self) -> None:
        """As many watches as servers, none of which has asked yet."""
        host, _, port = self._at.rpartition(":")
        loop = asyncio.get_running_loop()
        for number in range(self._size):
            make = partial(Watcher, self._at, self._wants(number), self._heard)
            _, watch = await loop.create_connection(make, host, int(port))
            self.watches.append(watch)

    def _wants(self, number: int) -> str:
        service = service_of(self._kind, number)
        if self._kind == "whole":
            return f"tier={service}"
        if self._kind == "service":
            return f"services={service}"
        return (
            f"services={service}&part={PART}&of=b-{number}&zone=zone-{number % ZONES}&balancers={self._size}"
        )

    async def starts(self) -> dict[str, float]:
        """What some starts cost, one after another; all go on from what they were told."""
        some = self.watches[:: max(self._size // STARTS, 1)][:STARTS]
        before, began = sum(w.bytes for w in some), self.cpu_ms()
        for watch in some:
            await self._ask_all([watch])
        cost, size = self.cpu_ms() - began, sum(w.bytes for w in some) - before
        if self._kind != "whole":
            rest = [watch for watch in self.watches if not watch.after]
            for at in range(0, len(rest), 100):
                await self._ask_all(rest[at : at + 100])
        else:
            for watch in self.watches:
                watch.after = some[0].after
        return {"start_ms": cost / len(some), "start_bytes": size / len(some)}

    async def _ask_all(self, watches: list[Watcher]) -> None:
        self._all_told.clear()
        self._told, self._want = 0, len(watches)
        for watch in watches:
            watch.ask()
        await self._all_told.wait()

    async def changes(self, http: aiohttp.ClientSession) -> dict[str, float]:
        """What changes cost, each of one server, when all wait."""
        for watch in self.watches:
            watch.goes_on = True
            watch.ask()
        while True:
            async with http.get(f"http://{self._at}/v1/state") as answer:
                if (await answer.json())["watching"] >= self._size:
                    break
        await asyncio.sleep(SETTLE_S)
        self._told, self._want = 0, 1 << 60
        began, before, idle = self.cpu_ms(), sum(w.bytes for w in self.watches), await self._idle_ms()
        for turn in range(CHANGES):
            name = server(turn * 17 % self._size, "")["name"]
            async with http.post(f"http://{self._at}/v1/servers/{name}/drain") as answer:
                assert answer.status == 200
            await self._quiet()
        cost = self.cpu_ms() - began - idle * (1 + CHANGES)
        told, size = self._told, sum(w.bytes for w in self.watches) - before
        return {
            "change_ms": max(cost, 0.0) / CHANGES,
            "change_told": told / CHANGES,
            "change_bytes": size / CHANGES,
        }

    async def _quiet(self) -> None:
        """Until nobody has been told anything for a while: all who are woken ask again at once."""
        told = -1
        while told != self._told:
            told = self._told
            await asyncio.sleep(SETTLE_S)

    async def _idle_ms(self) -> float:
        """What a quiet spell of the service costs."""
        began = self.cpu_ms()
        await asyncio.sleep(SETTLE_S)
        return self.cpu_ms() - began


async def service_row(kind: str, size: int, at: str, pid: int) -> dict[str, Any]:
    """One service with as many servers and watches."""
    fleet = Fleet(at, pid, kind, size)
    async with aiohttp.ClientSession() as http:
        await fleet.register(http)
        await fleet.open()
        row = await fleet.starts() | await fleet.changes(http)
    for watch in fleet.watches:
        watch._transport.abort()
    return {"kind": kind, "size": size} | {name: round(value, 3) for name, value in row.items()}


def main(
    out: Annotated[Path, typer.Option(help="The file that is written.")] = OUT,
    sizes: Annotated[str, typer.Option(help="Watches at the service, with commas between.")] = "",
) -> None:
    """Measure, print each row, and write all."""
    told: dict[str, Any] = {"balancer": [], "service": []}
    allow_files(20_000)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for size in SIZES:
            for kind in KINDS:
                told["balancer"].append(balancer_row(kind, size, folder))
                print(json.dumps(told["balancer"][-1]), flush=True)
        for size in map(int, sizes.split(",")) if sizes else WATCHES:
            for kind in KINDS:
                process, at = start_service(folder, f"{kind}-{size}", "")
                try:
                    told["service"].append(asyncio.run(service_row(kind, size, at, process.pid)))
                finally:
                    process.terminate()
                    process.wait()
                print(json.dumps(told["service"][-1]), flush=True)
    told["about"] = {
        "python": platform.python_version(),
        "cores": len(os.sched_getaffinity(0)),
        "command": "python -m benchmarks.interest",
        "part": PART,
        "zones": ZONES,
        "service": SERVICE,
    }
    out.parent.mkdir(exist_ok=True)
    out.write_text(json.dumps(told, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    typer.run(main)
