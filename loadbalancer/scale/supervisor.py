"""The supervisor of a scale run's processes: starts, commands, samples and stops them."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from loadbalancer.drill.clock import unix_offset_ms
from loadbalancer.drill.errors import DrillError
from loadbalancer.drill.processes.addresses import find_free_port
from loadbalancer.drill.processes.commands import (
    balancer_command,
    process_environment,
    registry_command,
)
from loadbalancer.drill.processes.process import Message, Process
from loadbalancer.drill.processes.process_group import READY_POLL_INTERVAL_S, READY_TIMEOUT_S, ProcessGroup
from loadbalancer.drill.processes.registry_config import write_registry_config
from loadbalancer.scale import hollow, registrar, resource_usage, upstream_stub
from loadbalancer.scale.counted_relays import CountedRelays
from loadbalancer.scale.plan import Plan, balancer_config

HOST = "127.0.0.1"
COMMAND_TIMEOUT_S = 180.0  # for a helper process to carry out a command
DEFECTIVE_HELPER = "loadbalancer.scale.defective_helper"
INSTANCE_TIMEOUT_S = 2.0  # for one poll of a starting instance
MODULES = {
    "hollow": (hollow.__name__, hollow.HollowSpecification),
    "registrar": (registrar.__name__, registrar.RegistrarSpecification),
    "edge": (upstream_stub.__name__, upstream_stub.UpstreamStubSpecification),
}
"""Helper processes by their role in figures and files: module and specification."""


@dataclass
class ScaleProcess:
    """A process, its role, and what was measured of it in each second."""

    kind: str
    process: Process
    rows: list[dict[str, Any]] = field(default_factory=list)
    """Each has `second`, and `cpu` (cores) or what the process reported for that second."""
    cpu_s: float = 0.0
    sampled_at_s: float = 0.0


class ScaleSupervisor(ProcessGroup):
    """All processes by name, and the counted relays between some of them."""

    def __init__(self, plan: Plan, out: Path, http: aiohttp.ClientSession) -> None:
        super().__init__(out)
        self._plan = plan
        self._http = http
        self.processes: dict[str, ScaleProcess] = {}
        self.ready_messages: dict[str, Any] = {}
        self.instances = [f"{HOST}:{find_free_port(HOST)}" for _ in range(plan.instances)]
        self.relays = CountedRelays(self.instances)
        self.listen_addresses: dict[int, str] = {}  # of real balancers, by number
        self.faults: list[str] = []
        self._changed = asyncio.Condition()
        self._replies: dict[str, Message] = {}
        self._last_request_number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    # ---- starting -------------------------------------------------------------------------------

    def _start(
        self, name: str, kind: str, argv: list[str], *, has_messages: bool = False, **environment: str
    ) -> None:
        """Start a process; it keeps the rows of an earlier process of the same name."""
        process = self.launch(
            name,
            argv,
            environment=process_environment(None, **environment),
            on_message=(lambda message: self._on_message(name, message)) if has_messages else None,
        )
        before = self.processes.get(name)
        self.processes[name] = ScaleProcess(kind, process, before.rows if before else [])

    def start_helper(self, name: str, kind: str, **fields: Any) -> None:
        """Start a hollow host, the registrar or the upstream stub; `fields` go into its specification."""
        module, specification_type = MODULES[kind]
        offset_ms, seed = unix_offset_ms(), self._plan.seed
        specification = specification_type(
            name=name, folder=str(self.out), offset_ms=offset_ms, seed=seed, **fields
        )
        path = str(self.write_specification(specification))
        defect = self._plan.defect
        arguments = (DEFECTIVE_HELPER, defect, kind) if defect else (module,)
        argv = self.module_command(*arguments, path)
        self._start(name, kind, argv, has_messages=True)

    async def start_instances(self) -> None:
        """Start the registry and wait until its instances answer."""
        await self.relays.start()
        for number in range(self._plan.instances):
            self.start_instance(number)
        await self.wait_for_instances(range(self._plan.instances))

    def start_instance(self, number: int) -> None:
        """Start an instance; if it ran before, it keeps its database."""
        path, addresses = self.out / f"list{number}.toml", self.instances
        relays = self.relays.between_instances
        write_registry_config(
            path,
            listen=addresses[number],
            database=self.out / f"list{number}.sqlite",
            instances=[
                addresses[other] if other == number else relays[number, other].address
                for other in range(len(addresses))
            ],
            number=number,
        )
        self._start(f"list{number}", "instance", registry_command(path, self._plan.defect))

    async def wait_for_instances(self, numbers: Iterable[int]) -> float:
        """Wait until all these instances serve the list; return when the first did, in Unix ms."""
        answered_at_ms = await asyncio.gather(*(self._wait_for_instance(number) for number in numbers))
        return min(answered_at_ms)

    async def _wait_for_instance(self, number: int) -> float:
        name = f"list{number}"
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if await _is_answering(self._http, self.instances[number]):
                return time.time() * 1_000
            if self.processes[name].process.exited.is_set():
                raise DrillError(f"{name} ended; see {self.log_path(name)}")
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        raise DrillError(f"{name} was not ready in {READY_TIMEOUT_S:.0f} s")

    async def prepare_real(self, number: int) -> None:
        """Start a real balancer's relays and write its configuration; `start_real` starts it."""
        instance_addresses = await self.relays.add_balancer(number)
        self.listen_addresses[number] = f"{HOST}:{find_free_port(HOST)}"
        config = balancer_config(self._plan, number, instance_addresses, self.listen_addresses[number])
        self._config_path(number).write_bytes(msgspec.json.encode(config))

    def start_real(self, number: int) -> None:
        """Start a real balancer that was prepared."""
        kind = "real_called" if self._plan.is_called(number) else "real_idle"
        self._start(f"b{number}", kind, balancer_command(None), LB_CONFIG=str(self._config_path(number)))

    def _config_path(self, number: int) -> Path:
        return self.out / f"b{number}.config.json"

    # ---- messages -------------------------------------------------------------------------------

    def _on_message(self, name: str, message: Message) -> None:
        if "second" in message:
            self.processes[name].rows.append(message)
            return
        self._track(self._handle_message(name, message))

    async def _handle_message(self, name: str, message: Message) -> None:
        async with self._changed:
            if "ready" in message:
                self.ready_messages[name] = message["ready"]
            if "done" in message:
                self._replies[f"{name}/{message['done']}"] = message
            self._changed.notify_all()

    def on_exit(self, process: Process) -> None:
        """Record an unexpected exit as a fault, and wake all waiters."""
        if not process.is_exit_expected:
            self.faults.append(f"{process.name} ended with status {process.exit_status}")
        self._track(self._notify_waiters())

    async def _notify_waiters(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _track(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def raise_faults(self) -> None:
        """Raise DrillError if a process ended unexpectedly or the machine can't hold the run."""
        if self.faults:
            raise DrillError(f"{self.faults[0]}; see its log in {self.out}")

    async def wait_until(
        self, condition: Callable[[], bool], what: str, timeout_s: float = COMMAND_TIMEOUT_S
    ) -> None:
        """Wait until a condition on helper messages holds; DrillError on a timeout or a fault."""
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(lambda: bool(self.faults) or condition())
        except TimeoutError as error:
            raise DrillError(f"{what}: not in {timeout_s:.0f} s") from error
        self.raise_faults()

    async def wait_ready(self, names: list[str]) -> None:
        """Wait until helper processes are ready."""
        await self.wait_until(
            lambda: all(name in self.ready_messages for name in names), "helpers ready", READY_TIMEOUT_S
        )

    async def request(self, name: str, command: Message) -> Message:
        """Send a helper process a command and wait for its reply."""
        self._last_request_number += 1
        key = f"{name}/{self._last_request_number}"
        self.processes[name].process.send_command(command | {"id": self._last_request_number})
        await self.wait_until(lambda: key in self._replies, f"{name}: {command['do']}")
        return self._replies.pop(key)

    def command_hollow_hosts(self, **command: Any) -> None:
        """Send all hosts of hollow balancers a command."""
        for name in self.hollow_hosts():
            self.processes[name].process.send_command(command)

    def hollow_hosts(self) -> list[str]:
        """Return the names of the hosts of hollow balancers."""
        return [name for name, each in self.processes.items() if each.kind == "hollow"]

    # ---- sampling and ending --------------------------------------------------------------------

    def sample_usage(self, second: int) -> None:
        """Add a row of each process's processor time, and of what passed through its relays."""
        for each in self.processes.values():
            now_s = time.monotonic()
            cpu_s = resource_usage.processor_time_s(each.process.pid)
            if cpu_s is None or each.process.exited.is_set():
                each.sampled_at_s = 0.0
                continue
            if each.sampled_at_s:
                cores = (cpu_s - each.cpu_s) / (now_s - each.sampled_at_s)
                each.rows.append({"second": second, "cpu": cores})
            each.cpu_s = cpu_s
            each.sampled_at_s = now_s
        for name, row in self.relays.take_counts(second):
            if process := self.processes.get(name):
                process.rows.append(row)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.processes[name].process.signal(signal.SIGKILL)

    async def finish(self) -> None:
        """Stop all processes and relays."""
        await self.finish_all(each.process for each in self.processes.values())
        self.relays.close()


async def _is_answering(http: aiohttp.ClientSession, instance: str) -> bool:
    """Return whether an instance serves the list."""
    timeout = aiohttp.ClientTimeout(total=INSTANCE_TIMEOUT_S)
    try:
        async with http.get(f"http://{instance}/v1/servers?tier=none", timeout=timeout) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False
