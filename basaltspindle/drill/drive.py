"""Plays a drill: starts all processes, follows the timeline, and leaves nothing behind."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sqlite3
import sys
from collections.abc import Awaitable, Callable
from contextlib import closing
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

import aiohttp

from basaltspindle.directory.caller import Caller, CallError
from basaltspindle.drill import script as steps
from basaltspindle.drill.clock import RealClock, offset_ms
from basaltspindle.drill.fleet import FIRST, Fleet, Spot, directory_argv, environment, run_argv
from basaltspindle.drill.history import Writer
from basaltspindle.drill.links import Fault
from basaltspindle.drill.processes import Process

READY_S = 60.0  # for a process to be ready, on a machine that is busy
PATIENCE_S = 120.0  # past the load's own length, after which a drill is given up
DOWN = "list down"
NEW = " (new)"
READ_ONLY = "/proc/1"  # a folder in which nobody can make a file, whatever rights they have


class DriveError(RuntimeError):
    """A drill that could not be played to its end, in a line."""


class Drive:
    """One play of a drill."""

    def __init__(
        self, script: steps.Script, seed: int, out: Path, plant: str = "",
        on_progress: Callable[[dict[str, Any]], None] = lambda line: None,
        on_over: Callable[[Fleet], Awaitable[None]] | None = None,
    ) -> None:  # fmt: skip
        """`out` is an empty folder for all that is written; `plant` starts balancers with that defect.

        `on_over` is awaited when all requests are answered and all processes still run.
        """
        self._script, self._seed, self.out, self._plant = script, seed, out, plant
        self._on_progress, self._on_over = on_progress, on_over
        self._offset = offset_ms()
        self.processes: dict[str, Process] = {}
        self._ready: dict[str, asyncio.Event] = {}
        self._progress = asyncio.Condition()
        self._asked = 0
        self._up: list[str] = []
        self._later: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Play it; DriveError says why it could not be."""
        self.out.mkdir(parents=True, exist_ok=True)
        if any(self.out.iterdir()):
            raise DriveError(f"{self.out} is not empty")
        self._history = Writer(self.out, "driver", RealClock(self._offset))
        self.fleet = Fleet(self._script, self._seed, self.out, self._offset, self._knocked)
        load = self._script.load
        try:
            async with aiohttp.ClientSession() as self._http:
                async with asyncio.timeout(PATIENCE_S + 2 * load.requests / load.rate):
                    await self._play()
                if self._on_over is not None:
                    await self._on_over(self.fleet)
        except TimeoutError:
            raise DriveError("the drill did not come to its end in time") from None
        finally:
            for task in self._later:
                task.cancel()
            for kinds in (
                ("balancer", "clients"),
                ("server", "list"),
                ("directory",),
            ):  # servers outlive those who call them
                await asyncio.gather(*(p.finish() for p in self._of_kinds(kinds)))
            self.fleet.close()
            self._history.close()

    def _of_kinds(self, kinds: tuple[str, ...]) -> list[Process]:
        spots = self.fleet.spots
        return [p for name, p in self.processes.items() if spots[name.removesuffix(NEW)].kind in kinds]

    def _knocked(self, link: str) -> None:
        self._history.write("knock", link=link)

    async def _play(self) -> None:
        fleet = self.fleet
        for spot in fleet.spots.values():
            self._history.write("place", name=spot.name, host=spot.host, zone=spot.zone, tier=spot.tier)
        await fleet.join_peers()
        if "directory" in fleet.spots:
            await self._start(fleet.spots["directory"])
        await self._start_all([s.name for s in fleet.servers()] + ["list"])
        if "directory" in fleet.spots:
            await self._wait_registered()
        await self._start_all([s.name for s in fleet.balancers()])
        await self._start_all(["clients"])
        async with self._progress:
            fronts = {s.name for s in fleet.balancers(FIRST)}
            await self._progress.wait_for(lambda: set(self._up) >= fronts)
        self.processes["clients"].tell({"begin": True})
        asked = 0
        for step in self._script.step:
            asked += step.after
            await self._until(asked)
            await self._do(step)
        await self._until(self._script.load.requests)
        await self.processes["clients"].ended.wait()
        await asyncio.gather(*self._later)
        for way in self.fleet.ways.values():
            self._history.write("notes", link=way.name, passed=way.passed, lost=way.lost)
        self._history.write("over")

    async def _until(self, asked: int) -> None:
        """Wait until so many first tries were made."""
        clients = self.processes["clients"]
        async with self._progress:
            await self._progress.wait_for(lambda: self._asked >= asked or clients.ended.is_set())
        if self._asked < asked:
            raise DriveError(f"the clients ended with status {clients.code}; see {self.out}/clients.log")

    async def _heard(self, line: dict[str, Any]) -> None:
        async with self._progress:
            self._asked, self._up = line["asked"], line["up"]
            self._progress.notify_all()
        self._on_progress(line)

    # ---- processes ------------------------------------------------------------------------------

    async def _start_all(self, names: list[str]) -> None:
        await asyncio.gather(*(self._start(self.fleet.spots[name]) for name in names))

    async def _start(self, spot: Spot, folder: Path | None = None) -> None:
        """Start a process and wait until it is ready."""
        if spot.kind == "balancer":
            process = self._launch_balancer(spot, spot.console, folder)
            self.processes[spot.name] = process
            await self._wait_healthy(process, spot.console)
            self.fleet.reached(spot.name, (spot.host, spot.port))
        elif spot.kind == "directory":
            await self._start_directory(spot)
        else:
            await self._start_stand_in(spot)
        self._history.write("process", name=spot.name, state="ready")

    async def _start_directory(self, spot: Spot) -> None:
        argv = [*directory_argv(self._plant), "serve", str(self.fleet.directory())]
        process = Process(
            spot.name, argv, self.out / f"{spot.name}.log", env=environment(None), on_end=self._ended
        )
        self._begin(process)
        async with asyncio.timeout(READY_S):
            while await self._registered(spot) is None:
                if process.ended.is_set():
                    raise DriveError(f"the list service ended; see {self.out}/{spot.name}.log")
                await asyncio.sleep(0.02)
        self.fleet.reached(spot.name, (spot.host, spot.port))

    async def _registered(self, spot: Spot) -> set[str] | None:
        """The servers on the real list; None while it does not answer."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            url = f"http://{spot.host}:{spot.port}/v1/state"
            async with self._http.get(url, timeout=timeout) as answer:
                return {entry["name"] for entry in (await answer.json())["entries"]}
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def _wait_registered(self) -> None:
        """Wait until all servers are on the real list, and keep a copy of it."""
        names = {spot.name for spot in self.fleet.servers()}
        async with asyncio.timeout(READY_S):
            while (await self._registered(self.fleet.spots["directory"]) or set()) < names:
                await asyncio.sleep(0.02)
        self._copy(self.fleet.database, self._old_database)

    @property
    def _old_database(self) -> Path:
        return self.fleet.database.with_suffix(".old")

    @staticmethod
    def _copy(one: Path, other: Path) -> None:
        with closing(sqlite3.connect(one)) as source, closing(sqlite3.connect(other)) as target:
            source.backup(target)

    def _change_memory(self, memory: str) -> None:
        """The list service starts without its memory, or with an old copy of it."""
        if memory != "kept":
            for path in self.out.glob(f"{self.fleet.database.name}*"):
                path.unlink()
        if memory == "old":
            self._copy(self._old_database, self.fleet.database)

    async def _start_stand_in(self, spot: Spot) -> None:
        module = {"server": "server", "list": "lists", "clients": "clients"}[spot.kind]
        argv = [sys.executable, "-m", f"basaltspindle.drill.{module}", str(self.fleet.spec(spot))]
        ready = asyncio.Event()

        def heard(line: dict[str, Any]) -> None:
            if "ready" in line:
                host, port = line["ready"]
                self.fleet.reached(spot.name, (host, port))
                ready.set()
            else:
                self._keep(asyncio.get_running_loop().create_task(self._heard(line)))

        process = Process(
            spot.name, argv, self.out / f"{spot.name}.log", env=environment(None), on_line=heard,
            on_end=self._ended,
        )  # fmt: skip
        self._begin(process)
        await self._first_of(ready, process)

    def _launch_balancer(self, spot: Spot, console: str, folder: Path | None = None) -> Process:
        config = self.fleet.config(spot, console)
        own = self.out / f"{spot.name}.folder"
        own.mkdir(exist_ok=True)
        kind = self._script.fleet.folders
        tmp = READ_ONLY if kind == "read-only" else str(own)
        argv = run_argv(folder, self._plant if spot.tier == FIRST else "")
        process = Process(
            spot.name, argv, self.out / f"{spot.name}.log", folder=folder or None,
            env=environment(folder, LB_CONFIG=str(config), TMPDIR=tmp),
            on_end=self._ended, file_limit=0 if kind == "full" else None,
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

    def _ended(self, process: Process) -> None:
        self._history.write(
            "process", name=process.name, state="ended", code=process.code, wanted=process.wanted
        )
        if self.processes.get(process.name) is process:
            for link in self.fleet.links_to(process.name):
                link.put(up=False)
        if process.name == "clients":
            self._keep(asyncio.get_running_loop().create_task(self._wake()))

    async def _wake(self) -> None:
        async with self._progress:
            self._progress.notify_all()

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._later.add(task)
        task.add_done_callback(self._later.discard)

    async def _first_of(self, ready: asyncio.Event, process: Process) -> None:
        """Wait until a process is ready; DriveError if it ends or takes too long."""
        waits = [asyncio.ensure_future(e.wait()) for e in (ready, process.ended)]
        await asyncio.wait(waits, timeout=READY_S, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if not ready.is_set():
            raise DriveError(f"{process.name} did not get ready; see {self.out}/{process.name}.log")

    async def _wait_healthy(self, process: Process, console: str) -> None:
        """Wait until a balancer's console says that it takes clients."""
        async with asyncio.timeout(READY_S):
            while not process.ended.is_set():
                if await self._call(console, "GET", "health", quiet=True) == 200:
                    return
                await asyncio.sleep(0.02)
        log = f"{self.out}/{process.name}.log"
        raise DriveError(f"{process.name} ended with status {process.code}; see {log}")

    async def _call(self, console: str, method: str, what: str, body: str = "", quiet: bool = False) -> int:
        """An operator's call; its status, 0 where nobody answers."""
        status = 0
        timeout = aiohttp.ClientTimeout(total=READY_S if not quiet else 1.0)
        try:
            url = f"http://{console}/admin/{what}"
            async with self._http.request(method, url, data=body or None, timeout=timeout) as answer:
                status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            status = 0
        if not quiet:
            host = console.partition(":")[0]
            self._history.write("call", to=host, call=what, body=body, status=status)
        return status

    # ---- steps ----------------------------------------------------------------------------------

    def _fault(self, kind: str, on: bool, targets: list[str], **more: Any) -> None:
        self._history.write("fault", kind=kind, on=on, targets=targets, **more)

    async def _do(self, step: steps.Steps) -> None:
        """Carry a step out."""
        match step:
            case steps.Kill(who=who):
                self._signal("kill", who, signal.SIGKILL)
                await asyncio.gather(*(self.processes[n].ended.wait() for n in self.fleet.beside(who)))
            case steps.Term(who=who):
                self._signal("term", who, signal.SIGTERM)
            case steps.Stop(who=who, for_s=length):
                self._signal("stop", who, signal.SIGSTOP)
                self._keep(asyncio.create_task(self._continue(who, length)))
            case steps.Start():
                await self._start_again(step)
            case steps.Drain(who=who):
                self._list(who, "terminating")
            case steps.Remove(who=who):
                self._list(who, "terminated")
                for link in self.fleet.links_to(who):
                    link.put(barred=True)
                for name in self.fleet.beside(who):
                    self.processes[name].signal(signal.SIGTERM)
            case steps.Behave(who=who, slower=slower, fails=fails, paused=paused):
                well = slower == 1.0 and not fails and not paused
                self._fault("behave", not well, [who], slower=slower, fails=fails, paused=paused)
                self.processes[who].tell({"slower": slower, "fails": fails, "paused": paused})
            case steps.Break():
                self._break(step.name, step.link, step.fault, step.direction)
            case steps.Lift(name=name):
                self._lift(name)
            case steps.List(state=state):
                self._change_list(state)
            case steps.Cordon(who=who, out=out):
                await self._cordon(who, out)
            case steps.Replace():
                await self._replace(step)
            case steps.Expect():
                await self._expect(step)
            case steps.Stranger(notes=count):
                self._fault("stranger", True, [s.name for s in self.fleet.balancers(FIRST)])
                self._make_noise(count)
            case steps.Surge(rate=rate, retries=retries, backoff_ms=backoff):
                self._fault("surge", True, ["clients"], rate=rate, retries=retries)
                self.processes["clients"].tell({"rate": rate, "retries": retries, "backoff_ms": backoff})

    def _signal(self, kind: str, who: str, number: int) -> None:
        names = self.fleet.beside(who)
        self._fault(kind, True, names)
        for name in names:
            self.processes[name].signal(number)

    async def _continue(self, who: str, length: float) -> None:
        await asyncio.sleep(length)
        names = self.fleet.beside(who)
        for name in names:
            self.processes[name].signal(signal.SIGCONT)
        self._fault("stop", False, names)

    async def _start_again(self, step: steps.Start) -> None:
        spot = self.fleet.spots[step.who]
        await asyncio.gather(*(self.processes[n].ended.wait() for n in self.fleet.beside(step.who)))
        folder = Path(step.folder).resolve() if step.folder else None
        if spot.kind == "directory":
            self._change_memory(step.memory)
        if spot.kind == "server":
            spot.since_ms, spot.version = RealClock(self._offset).now, step.version
        await self._start(spot, folder)
        for name in self.fleet.beside(step.who)[1:]:
            await self._start(self.fleet.spots[name], folder)
        if spot.kind == "server" and not self._script.fleet.directory:
            self._list(step.who, "in_service")
        self._fault("kill", False, self.fleet.beside(step.who))

    def _list(self, who: str, status: str) -> None:
        """Have the list show a server otherwise."""
        spot = self.fleet.spots[who]
        spot.status = status
        self._fault("list", status != "in_service", [who], status=status)
        if self._script.fleet.directory:
            what = "/drain" if status == "terminating" else ""
            directory = self.fleet.spots["directory"]
            caller = Caller(f"{directory.host}:{directory.port}", who="driver")
            self._keep(asyncio.create_task(self._tell_directory(caller, who, what)))
            return
        self.processes["list"].tell({"tier": spot.tier, "entry": self.fleet.entry(spot)})

    async def _tell_directory(self, caller: Caller, who: str, what: str) -> None:
        try:
            await asyncio.to_thread(caller.on, "POST" if what else "DELETE", who, what, why="the drill")
        except CallError as error:
            if error.status != 404:  # it may have lapsed before
                raise DriveError(f"the list service: {error}") from None

    def _break(self, name: str, pattern: str, fault: Fault, direction: str = "both") -> None:
        links = self.fleet.matching(pattern)
        if not links:
            raise DriveError(f"no link is called {pattern!r}; there are {', '.join(self.fleet.links)}")
        self._fault(name, True, [link.name for link in links])
        for link in links:
            link.set(name, fault, direction)

    def _lift(self, name: str) -> None:
        self._fault(name, False, [])
        for link in self.fleet.matching("*"):
            link.lift(name)

    def _change_list(self, state: str) -> None:
        match state:
            case "down":
                self._break(DOWN, "*>list", Fault(refuse=True))
                for link in self.fleet.links_to("list"):
                    link.reset_all()
            case "up":
                self._lift(DOWN)
            case _:
                self._fault("stale list", state == "stale", ["list"])
                self.processes["list"].tell({"stale": state == "stale"})

    async def _expect(self, step: steps.Expect) -> None:
        """Ask all consoles until they agree on a balancer; `views` judges how long that took."""
        tier, clock = self.fleet.balancers(FIRST), RealClock(self._offset)
        number = [spot.name for spot in tier].index(step.who)
        began, said = clock.now, dict[str, str]()
        while clock.now - began < step.within_s * 1_000:
            said = {}
            for spot in tier:
                process = self.processes[spot.name]
                if spot.name != step.who and fnmatchcase(spot.name, step.by) and process.code is None:
                    said[spot.name] = await self._belief(spot, number)
            if set(said.values()) == {step.state}:
                break
            await asyncio.sleep(0.02)
        took = (clock.now - began) / 1_000
        held = set(said.values()) == {step.state}
        self._history.write(
            "view", of=step.who, wanted=step.state, said=said, took_s=round(took, 3), held=held
        )

    async def _belief(self, spot: Spot, number: int) -> str:
        """What a balancer believes of another; empty where it does not say."""
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with self._http.get(f"http://{spot.console}/admin/peers", timeout=timeout) as answer:
                return str((await answer.json())["members"][number]["state"])
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError):
            return ""

    def _make_noise(self, count: int) -> None:
        """Random bytes, and a note that says all are gone, from an address of no balancer."""
        chance = random.Random(f"{self._seed}/stranger")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for spot in self.fleet.balancers(FIRST):
                for _ in range(count):
                    stranger.sendto(chance.randbytes(chance.randrange(300)), spot.notes)
        for way in self.fleet.ways.values():  # by way of relays they seem to come from a member
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as forger:
                for _ in range(count // 10):
                    forger.sendto(chance.randbytes(chance.randrange(300)), way.address)

    async def _cordon(self, who: str, out: bool) -> None:
        self._fault("cordon", out, [who])
        call = "cordon" if out else "uncordon"
        for spot in self.fleet.balancers(self.fleet.spots[who].tier):
            await self._call(spot.console, "POST", call, who)

    async def _replace(self, step: steps.Replace) -> None:
        """The console's way: start the new process beside the old one, see it healthy, end the old one."""
        spot, old = self.fleet.spots[step.who], self.processes[step.who]
        self._fault("replace", True, [step.who])
        console = f"{spot.host}:{self.fleet.port(spot.host)}"
        new = self._launch_balancer(spot, console, Path(step.folder).resolve() if step.folder else None)
        self.processes[step.who + NEW] = new
        await self._wait_healthy(new, console)
        self.processes[step.who], spot.console = new, console
        del self.processes[step.who + NEW]
        try:
            await old.finish(READY_S)
        finally:
            self._fault("replace", False, [step.who])
