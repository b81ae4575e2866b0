"""The processes of a drill: started, made ready, asked by operators' calls, ended."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp

from loadbalancer.drill.history import Writer
from loadbalancer.drill.processes.placement import FIRST, Fleet, Spot
from loadbalancer.drill.processes.process import Process
from loadbalancer.drill.processes.process_files import Papers, directory_argv, environment, run_argv
from loadbalancer.drill.processes.registry_control import Listing

READY_S = 60.0  # for a process to be ready, on a machine that is busy
NEW = " (new)"
READ_ONLY = "/proc/1"  # a folder in which nobody can make a file, whatever rights they have
KINDS = (("balancer", "clients"), ("server", "list"), ("directory",))  # who calls ends before who is called


class DriveError(RuntimeError):
    """A drill that could not be played to its end, in a line."""


class Crew:
    """All processes by the names of their places; one that is about to take over has a name of its own."""

    def __init__(
        self, fleet: Fleet, papers: Papers, history: Writer, http: aiohttp.ClientSession, plant: str,
        on_line: Callable[[dict[str, Any]], None], on_clients_end: Callable[[], None],
    ) -> None:  # fmt: skip
        """`on_line` gets what the clients tell of themselves."""
        self.fleet, self._papers, self._history, self.http = fleet, papers, history, http
        self.listing = Listing(fleet, papers, http)
        self.out, self._plant = papers.out, plant
        self._on_line, self._on_clients_end = on_line, on_clients_end
        self.processes: dict[str, Process] = {}

    def __getitem__(self, name: str) -> Process:
        return self.processes[name]

    async def start_all(self, names: list[str]) -> None:
        """Start some at once, and wait until all are ready."""
        await asyncio.gather(*(self.start(self.fleet.spots[name]) for name in names))

    async def start(self, spot: Spot, folder: Path | None = None) -> None:
        """Start a process and wait until it is ready; DriveError if it does not get so."""
        if spot.kind == "balancer":
            process = self.launch_balancer(spot, spot.console, folder)
            self.processes[spot.name] = process
            await self.wait_healthy(process, spot.console)
            self.fleet.reached(spot.name, (spot.host, spot.port))
        elif spot.kind == "directory":
            await self._start_directory(spot)
        else:
            await self._start_stand_in(spot)
        self._history.write("process", name=spot.name, state="ready")

    async def ended(self, names: list[str]) -> None:
        """Wait until processes have ended."""
        await asyncio.gather(*(self.processes[name].ended.wait() for name in names))

    async def finish(self) -> None:
        """End all, and wait until they are gone."""
        spots = self.fleet.spots
        for kinds in KINDS:
            some = [p for name, p in self.processes.items() if spots[name.removesuffix(NEW)].kind in kinds]
            await asyncio.gather(*(process.finish() for process in some))

    async def _start_stand_in(self, spot: Spot) -> None:
        module = {"server": "upstream", "list": "endpoint_list", "clients": "clients"}[spot.kind]
        argv = [sys.executable, "-m", f"loadbalancer.drill.servers.{module}", str(self._papers.spec(spot))]
        ready = asyncio.Event()

        def heard(line: dict[str, Any]) -> None:
            if "ready" in line:
                host, port = line["ready"]
                self.fleet.reached(spot.name, (host, port))
                ready.set()
            else:
                self._on_line(line)

        process = Process(
            spot.name, argv, self.out / f"{spot.name}.log", env=environment(None), on_line=heard,
            on_end=self._over,
        )  # fmt: skip
        self._begin(process)
        await self._first_of(ready, process)

    async def _start_directory(self, spot: Spot) -> None:
        argv = [*directory_argv(self._plant), "serve", str(self._papers.directory(spot))]
        process = Process(
            spot.name, argv, self.out / f"{spot.name}.log", env=environment(None), on_end=self._over
        )
        self._begin(process)
        async with asyncio.timeout(READY_S):
            while await self.listing.names(spot) is None:
                if process.ended.is_set():
                    raise DriveError(f"the list service ended; see {self.out}/{spot.name}.log")
                await asyncio.sleep(0.02)
        self.fleet.reached(spot.name, (spot.host, spot.port))

    def launch_balancer(self, spot: Spot, console: str, folder: Path | None = None) -> Process:
        """Start a balancer that answers operators at `console`, and wait for nothing."""
        config = self._papers.config(spot, console)
        own = self.out / f"{spot.name}.folder"
        own.mkdir(exist_ok=True)
        kind = self.fleet.script.fleet.folders
        tmp = READ_ONLY if kind == "read-only" else str(own)
        argv = run_argv(folder, self._plant if spot.tier == FIRST else "")
        process = Process(
            spot.name, argv, self.out / f"{spot.name}.log", folder=folder or None,
            env=environment(folder, LB_CONFIG=str(config), TMPDIR=tmp),
            on_end=self._over, file_limit=0 if kind == "full" else None,
        )  # fmt: skip
        self._begin(process, keep=False)
        return process

    def _begin(self, process: Process, keep: bool = True) -> None:
        try:
            process.start()
        except OSError as error:
            raise DriveError(f"{process.name} can't be started: {error}") from None
        if keep:
            self.processes[process.name] = process
        self._history.write("process", name=process.name, state="started", pid=process.pid)

    def _over(self, process: Process) -> None:
        self._history.write(
            "process", name=process.name, state="ended", code=process.code, wanted=process.wanted
        )
        if self.processes.get(process.name) is process:
            for link in self.fleet.links_to(process.name):
                link.put(up=False)
        if process.name == "clients":
            self._on_clients_end()

    async def _first_of(self, ready: asyncio.Event, process: Process) -> None:
        """Wait until a process is ready; DriveError if it ends or takes too long."""
        waits = [asyncio.ensure_future(e.wait()) for e in (ready, process.ended)]
        await asyncio.wait(waits, timeout=READY_S, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if not ready.is_set():
            raise DriveError(f"{process.name} did not get ready; see {self.out}/{process.name}.log")

    async def wait_healthy(self, process: Process, console: str) -> None:
        """Wait until a balancer's console says that it takes clients."""
        async with asyncio.timeout(READY_S):
            while not process.ended.is_set():
                if await self.call(console, "GET", "health", quiet=True) == 200:
                    return
                await asyncio.sleep(0.02)
        log = f"{self.out}/{process.name}.log"
        raise DriveError(f"{process.name} ended with status {process.code}; see {log}")

    async def call(self, console: str, method: str, what: str, body: str = "", quiet: bool = False) -> int:
        """An operator's call; its status, 0 where nobody answers."""
        status = 0
        timeout = aiohttp.ClientTimeout(total=READY_S if not quiet else 1.0)
        try:
            url = f"http://{console}/admin/{what}"
            async with self.http.request(method, url, data=body or None, timeout=timeout) as answer:
                status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            status = 0
        if not quiet:
            host = console.partition(":")[0]
            self._history.write("call", to=host, call=what, body=body, status=status)
        return status

    async def belief(self, spot: Spot, number: int) -> str:
        """What a balancer believes of another; empty where it does not say."""
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with self.http.get(f"http://{spot.console}/admin/peers", timeout=timeout) as answer:
                return str((await answer.json())["members"][number]["state"])
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError):
            return ""
