"""The supervisor of a drill's processes: starts them, calls their consoles, and stops them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import aiohttp

from loadbalancer.drill.defects.names import REGISTRY_DEFECTS
from loadbalancer.drill.errors import DrillError
from loadbalancer.drill.history import HistoryWriter
from loadbalancer.drill.processes.commands import balancer_command, process_environment, registry_command
from loadbalancer.drill.processes.placement import FIRST_TIER, Placement, ProcessKind
from loadbalancer.drill.processes.process import Message, Process
from loadbalancer.drill.processes.process_files import ProcessFiles
from loadbalancer.drill.processes.process_group import READY_POLL_INTERVAL_S, READY_TIMEOUT_S, ProcessGroup
from loadbalancer.drill.processes.registry_control import RegistryControl
from loadbalancer.drill.processes.topology import Topology
from loadbalancer.drill.servers import clients, endpoint_list, upstream

REPLACEMENT_SUFFIX = " (new)"
READ_ONLY_FOLDER = "/proc/1"  # not even root can create a file there
STOP_ORDER = (  # callers stop before the processes that they call
    (ProcessKind.BALANCER, ProcessKind.CLIENTS),
    (ProcessKind.SERVER, ProcessKind.ENDPOINT_LIST),
    (ProcessKind.REGISTRY,),
)
MODULES = {
    ProcessKind.SERVER: upstream.__name__,
    ProcessKind.ENDPOINT_LIST: endpoint_list.__name__,
    ProcessKind.CLIENTS: clients.__name__,
}
HEALTH_TIMEOUT_S = 1.0
MEMBERS_TIMEOUT_S = 2.0


class ProcessSupervisor(ProcessGroup):
    """All processes by placement name; one that is about to take over has REPLACEMENT_SUFFIX, too."""

    def __init__(
        self, topology: Topology, files: ProcessFiles, history: HistoryWriter, http: aiohttp.ClientSession,
        defect: str, on_progress: Callable[[Message], None], on_clients_exit: Callable[[], None],
    ) -> None:  # fmt: skip
        """Prepare a supervisor; `on_progress` gets the clients' progress messages."""
        super().__init__(files.out)
        self._topology = topology
        self._files = files
        self._history = history
        self._http = http
        self.registry = RegistryControl(topology, files, http)
        self._defect = defect
        self._on_progress = on_progress
        self._on_clients_exit = on_clients_exit
        self.processes: dict[str, Process] = {}

    def __getitem__(self, name: str) -> Process:
        return self.processes[name]

    async def start_all(self, placements: list[Placement]) -> None:
        """Start processes concurrently, and wait until all are ready."""
        await asyncio.gather(*(self.start(placement) for placement in placements))

    async def start(self, placement: Placement, folder: Path | None = None) -> None:
        """Start a process and wait until it is ready; DrillError if it does not become ready."""
        match placement.kind:
            case ProcessKind.BALANCER:
                process = self.launch_balancer(placement, placement.console, folder)
                self.processes[placement.name] = process
                await self.wait_healthy(process, placement.console)
                self._topology.on_listening(placement.name, placement.address)
            case ProcessKind.REGISTRY:
                await self._start_registry(placement)
            case _:
                await self._start_test_process(placement)
        self._history.write("process", name=placement.name, state="ready")

    async def wait_for_exit(self, names: list[str]) -> None:
        """Wait until processes have ended."""
        await asyncio.gather(*(self.processes[name].exited.wait() for name in names))

    async def finish(self) -> None:
        """Stop all processes, callers first, and wait until they have exited."""
        placements = self._topology.placements
        for kinds in STOP_ORDER:
            await self.finish_all(
                process
                for name, process in self.processes.items()
                if placements[name.removesuffix(REPLACEMENT_SUFFIX)].kind in kinds
            )

    async def _start_test_process(self, placement: Placement) -> None:
        path = self.write_specification(self._files.specification(placement))
        ready = asyncio.Event()

        def _on_message(message: Message) -> None:
            if "ready" in message:
                host, port = message["ready"]
                self._topology.on_listening(placement.name, (host, port))
                ready.set()
            else:
                self._on_progress(message)

        argv = self.module_command(MODULES[placement.kind], str(path))
        process = self.launch(placement.name, argv, on_message=_on_message)
        self._record_start(process)
        self.processes[placement.name] = process
        await self._wait_ready(ready, process)

    async def _start_registry(self, instance: Placement) -> None:
        config = self._files.write_registry_config(instance)
        defect = self._defect if self._defect in REGISTRY_DEFECTS else ""
        process = self.launch(instance.name, registry_command(config, defect))
        self._record_start(process)
        self.processes[instance.name] = process
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await self.registry.listed_servers(instance) is None:
                if process.exited.is_set():
                    raise DrillError(f"the registry did not become ready; see {self.log_path(instance.name)}")
                await asyncio.sleep(READY_POLL_INTERVAL_S)
        self._topology.on_listening(instance.name, instance.address)

    def launch_balancer(self, balancer: Placement, console: str, folder: Path | None = None) -> Process:
        """Start a balancer whose console listens at `console`, without waiting for it."""
        config = self._files.write_balancer_config(balancer, console)
        own_folder = self.out / f"{balancer.name}.folder"
        own_folder.mkdir(exist_ok=True)
        kind = self._topology.scenario.fleet.temp_folder
        temp_folder = READ_ONLY_FOLDER if kind == "read-only" else str(own_folder)
        process = self.launch(
            balancer.name,
            balancer_command(folder, self._defect if balancer.tier == FIRST_TIER else ""),
            environment=process_environment(folder, LB_CONFIG=str(config), TMPDIR=temp_folder),
            folder=folder,
            file_limit=0 if kind == "full" else None,
        )
        self._record_start(process)
        return process

    def _record_start(self, process: Process) -> None:
        self._history.write("process", name=process.name, state="started", pid=process.pid)

    def on_exit(self, process: Process) -> None:
        """Record a process's exit, and have connections to it refused."""
        self._history.write(
            "process", name=process.name, state="ended", code=process.exit_status,
            wanted=process.is_exit_expected,
        )  # fmt: skip
        if self.processes.get(process.name) is process:
            for link in self._topology.links_to(process.name):
                link.update_target(is_up=False)
        if process.name == "clients":
            self._on_clients_exit()

    async def _wait_ready(self, ready: asyncio.Event, process: Process) -> None:
        """Wait until a process is ready; DrillError if it exits or takes too long."""
        waits = [asyncio.ensure_future(event.wait()) for event in (ready, process.exited)]
        await asyncio.wait(waits, timeout=READY_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if not ready.is_set():
            raise DrillError(f"{process.name} did not become ready; see {self.log_path(process.name)}")

    # ---- consoles -------------------------------------------------------------------------------

    async def wait_healthy(self, process: Process, console: str) -> None:
        """Wait until a balancer's console reports it healthy; DrillError if it exits."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not process.exited.is_set():
                if await self._request(console, "GET", "health", "", HEALTH_TIMEOUT_S) == 200:
                    return
                await asyncio.sleep(READY_POLL_INTERVAL_S)
        status, log = process.exit_status, self.log_path(process.name)
        raise DrillError(f"{process.name} ended with status {status}; see {log}")

    async def call_console(self, console: str, path: str, body: str) -> int:
        """Make and record an operator's call; return its HTTP status, 0 without a response."""
        status = await self._request(console, "POST", path, body, READY_TIMEOUT_S)
        host = console.partition(":")[0]
        self._history.write("call", to=host, call=path, body=body, status=status)
        return status

    async def _request(self, console: str, method: str, path: str, body: str, timeout_s: float) -> int:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            url = f"http://{console}/admin/{path}"
            async with self._http.request(method, url, data=body or None, timeout=timeout) as response:
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    async def member_state(self, balancer: Placement, number: int) -> str:
        """Return the state that a balancer reports of another one in its tier; empty if it reports none."""
        timeout = aiohttp.ClientTimeout(total=MEMBERS_TIMEOUT_S)
        try:
            url = f"http://{balancer.console}/admin/peers"
            async with self._http.get(url, timeout=timeout) as response:
                return str((await response.json())["members"][number]["state"])
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError):
            return ""
