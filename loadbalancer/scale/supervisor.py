"""The processes of a scale run: started, made ready, told things, looked at each second, ended."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from loadbalancer.drill.clock import offset_ms
from loadbalancer.drill.processes.placement import free_port
from loadbalancer.drill.processes.process import Line, Process
from loadbalancer.drill.processes.process_files import directory_argv, environment, run_argv
from loadbalancer.drill.processes.supervisor import DriveError
from loadbalancer.scale import hollow, registrar, resource_usage, upstream_stub
from loadbalancer.scale.counted_relays import Ways
from loadbalancer.scale.plan import Plan, balancer_config

HOST = "127.0.0.1"
READY_S = 60.0
DONE_S = 180.0  # for what the driver has asked of a stand-in
MODULES = {"hollow": hollow, "registrar": registrar, "edge": upstream_stub}


@dataclass
class One:
    """A process, its kind, and what was seen of it: second, cores, and what it told of that second."""

    kind: str
    process: Process
    rows: list[dict[str, Any]] = field(default_factory=list)
    cpu_s: float = 0.0
    seen_s: float = 0.0


class Crew:
    """All processes by name, and the counted ways between some of them."""

    def __init__(self, plan: Plan, out: Path, http: aiohttp.ClientSession) -> None:
        self._plan, self._out, self._http = plan, out, http
        self.ones: dict[str, One] = {}
        self.ready: dict[str, Any] = {}
        self.instances = [f"{HOST}:{free_port(HOST)}" for _ in range(plan.instances)]
        self.ways = Ways(self.instances)
        self.consoles: dict[int, str] = {}
        self.listens: dict[int, str] = {}
        self._changed = asyncio.Condition()
        self._done: dict[str, Line] = {}
        self._asked = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.troubles: list[str] = []

    # ---- starting -------------------------------------------------------------------------------

    def launch(self, name: str, kind: str, argv: list[str], hears: bool = True, **env: str) -> Process:
        """Start a process; what it prints as JSON lines is taken if it `hears`."""
        process = Process(
            name, argv, self._out / f"{name}.log", env=environment(None, **env),
            on_line=(lambda line: self._hear(name, line)) if hears else None, on_end=self._ended,
        )  # fmt: skip
        process.start()
        before = self.ones.get(name)
        self.ones[name] = One(kind, process, before.rows if before else [])
        return process

    def stand_in(self, name: str, kind: str, **told: Any) -> Process:
        """Start a hollow host, the registrar or the edge."""
        spec = MODULES[kind].Spec(
            name=name, folder=str(self._out), offset_ms=offset_ms(), seed=self._plan.seed, **told
        )
        path = self._out / f"{name}.spec.json"
        path.write_bytes(msgspec.json.encode(spec))
        defect = self._plan.plant
        module = ["loadbalancer.scale.seeded_defects", defect, kind] if defect else [MODULES[kind].__name__]
        return self.launch(name, kind, [sys.executable, "-m", *module, str(path)])

    async def start_instances(self) -> None:
        """Start the list service, and wait until it may be asked."""
        await self.ways.join()
        for number in range(self._plan.instances):
            self.start_instance(number)
        await self.wait_reached(range(self._plan.instances))

    def start_instance(self, number: int) -> None:
        """Start one; it may have run before, and has its file."""
        file, at = self._out / f"list{number}.toml", self.instances
        lines = [f'listen = "{at[number]}"', f'database = "{self._out / f"list{number}.sqlite"}"']
        if len(at) > 1:
            ways = [at[n] if n == number else self.ways.between[number, n].at for n in range(len(at))]
            lines += [f"instances = {msgspec.json.encode(ways).decode()}", f"instance = {number}"]
        file.write_text("\n".join(lines) + "\n", encoding="utf-8")
        argv = [*directory_argv(""), "serve"]
        if self._plan.plant:
            argv = [sys.executable, "-m", "loadbalancer.scale.seeded_defects", self._plan.plant, "instance"]
        self.launch(f"list{number}", "instance", [*argv, str(file)], hears=False)

    async def wait_reached(self, numbers: Any) -> float:
        """Wait until all these instances answer for the list; Unix ms of the first that does."""
        firsts = await asyncio.gather(*(self._reached(number) for number in numbers))
        return min(firsts)

    async def _reached(self, number: int) -> float:
        url = f"http://{self.instances[number]}/v1/servers?tier=none"
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            try:
                async with self._http.get(url, timeout=aiohttp.ClientTimeout(total=2.0)) as answer:
                    if answer.status == 200:
                        return time.time() * 1_000
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
            if self.ones[f"list{number}"].process.ended.is_set():
                raise DriveError(f"list{number} ended; see {self._out}/list{number}.log")
            await asyncio.sleep(0.02)
        raise DriveError(f"list{number} was not ready in {READY_S:.0f} s")

    async def start_real(self, number: int) -> None:
        """Prepare a real balancer and its ways; `run_real` starts it."""
        ways = await self.ways.of_real(number)
        self.listens[number] = f"{HOST}:{free_port(HOST)}"
        told = balancer_config(self._plan, number, ways, self.listens[number])
        (self._out / f"b{number}.config.json").write_bytes(msgspec.json.encode(told))

    def run_real(self, number: int) -> None:
        """Start it."""
        kind = "real_called" if self._plan.is_called(number) else "real_idle"
        path = str(self._out / f"b{number}.config.json")
        self.launch(f"b{number}", kind, run_argv(None, ""), hears=False, LB_CONFIG=path)

    # ---- telling and hearing --------------------------------------------------------------------

    def _hear(self, name: str, line: Line) -> None:
        if "second" in line:
            self.ones[name].rows.append(line)
            return
        self._later(self._take(name, line))

    async def _take(self, name: str, line: Line) -> None:
        async with self._changed:
            if "ready" in line:
                self.ready[name] = line["ready"]
            if "done" in line:
                self._done[f"{name}/{line['done']}"] = line
            self._changed.notify_all()

    def _ended(self, process: Process) -> None:
        if not process.wanted:
            self.troubles.append(f"{process.name} ended with status {process.code}")
        self._later(self._wake())

    async def _wake(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _later(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def until(self, is_so: Callable[[], bool], what: str, patience_s: float = DONE_S) -> None:
        """Wait for what stand-ins tell; DriveError if it does not come, or one has ended."""
        try:
            async with asyncio.timeout(patience_s), self._changed:
                await self._changed.wait_for(lambda: bool(self.troubles) or is_so())
        except TimeoutError:
            raise DriveError(f"{what}: not in {patience_s:.0f} s") from None
        if self.troubles:
            raise DriveError(f"{self.troubles[0]}; see its log in {self._out}")

    async def until_ready(self, names: list[str]) -> None:
        """Wait until stand-ins are ready."""
        await self.until(lambda: all(name in self.ready for name in names), "stand-ins ready", READY_S)

    async def asked(self, name: str, line: Line) -> Line:
        """Tell a stand-in something and wait for its answer."""
        self._asked += 1
        key = f"{name}/{self._asked}"
        self.ones[name].process.tell(line | {"id": self._asked})
        await self.until(lambda: key in self._done, f"{name}: {line['do']}")
        return self._done.pop(key)

    def tell_hosts(self, **line: Any) -> None:
        """Tell all hosts of hollow balancers something."""
        for name in self.hosts():
            self.ones[name].process.tell(line)

    def hosts(self) -> list[str]:
        """Their names."""
        return [name for name, one in self.ones.items() if one.kind == "hollow"]

    # ---- looking --------------------------------------------------------------------------------

    def look(self, second: int) -> None:
        """Once a second: each process's processor time; and what passed on the ways of real ones."""
        for one in self.ones.values():
            now, cpu_s = time.monotonic(), resource_usage.processor_s(one.process.pid)
            if cpu_s is None or one.process.ended.is_set():
                one.seen_s = 0.0
                continue
            if one.seen_s:
                one.rows.append({"second": second, "cpu": (cpu_s - one.cpu_s) / (now - one.seen_s)})
            one.cpu_s, one.seen_s = cpu_s, now
        for name, row in self.ways.second(second):
            if place := self.ones.get(name):
                place.rows.append(row)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.ones[name].process.signal(signal.SIGKILL)

    async def finish(self) -> None:
        """End all."""
        await asyncio.gather(*(one.process.finish() for one in self.ones.values()))
        self.ways.close()
