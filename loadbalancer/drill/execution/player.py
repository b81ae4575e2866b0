"""The player of a drill: starts all processes, follows the timeline, and ends every process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp

from loadbalancer.drill.clock import RealClock, unix_offset_ms
from loadbalancer.drill.errors import DrillError
from loadbalancer.drill.execution.step_execution import StepExecutor
from loadbalancer.drill.history import HistoryWriter
from loadbalancer.drill.processes.placement import FIRST_TIER
from loadbalancer.drill.processes.process import Message
from loadbalancer.drill.processes.process_files import ProcessFiles
from loadbalancer.drill.processes.process_group import READY_TIMEOUT_S
from loadbalancer.drill.processes.supervisor import ProcessSupervisor
from loadbalancer.drill.processes.topology import Topology
from loadbalancer.drill.scenario.tables import DrillScenario
from loadbalancer.registry.client import RegistryCallError

MAX_OVERRUN_S = 120.0  # past twice the load's own duration, after which a drill is aborted


class DrillPlayer:
    """One play of a drill."""

    def __init__(
        self, scenario: DrillScenario, seed: int, out: Path, defect: str = "",
        on_progress: Callable[[Message], None] = lambda message: None,
        on_load_completed: Callable[[Topology], Awaitable[None]] | None = None,
    ) -> None:  # fmt: skip
        """Create a play into `out`, an empty folder; `defect` is seeded in balancers or the registry.

        `on_load_completed` is awaited when all requests are answered, before any process is ended.
        """
        self._scenario = scenario
        self._seed = seed
        self.out = out
        self._defect = defect
        self._on_progress = on_progress
        self._on_load_completed = on_load_completed
        self._clock = RealClock(unix_offset_ms())
        self._progress = asyncio.Condition()
        self._request_count = 0
        self._healthy_balancers: list[str] = []
        self._background_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Play the drill; DrillError if it could not be completed."""
        self.out.mkdir(parents=True, exist_ok=True)
        if any(self.out.iterdir()):
            raise DrillError(f"{self.out} is not empty")
        self._history = HistoryWriter(self.out, "driver", self._clock)
        self.topology = Topology(
            self._scenario, self._seed, lambda link: self._history.write("knock", link=link)
        )
        self._files = ProcessFiles(self.topology, self._seed, self.out, self._clock.offset)
        try:
            async with aiohttp.ClientSession() as http:
                self._supervisor = ProcessSupervisor(
                    self.topology, self._files, self._history, http, self._defect, self._on_progress_line,
                    self._on_clients_exit,
                )  # fmt: skip
                try:
                    await self._play_with_timeout()
                finally:
                    for task in self._background_tasks:
                        task.cancel()
                    await self._supervisor.finish()
        finally:
            self.topology.close()
            self._history.close()

    async def _play_with_timeout(self) -> None:
        load = self._scenario.load
        try:
            async with asyncio.timeout(MAX_OVERRUN_S + 2 * load.requests / load.rate):
                await self._play()
        except TimeoutError as error:
            raise DrillError("the drill timed out") from error
        except RegistryCallError as error:
            raise DrillError(f"the registry: {error}") from error
        if self._on_load_completed is not None:
            await self._on_load_completed(self.topology)

    async def _play(self) -> None:
        await self._start_processes()
        self._supervisor["clients"].send_command({"begin": True})
        executor = StepExecutor(
            self.topology, self._files, self._supervisor, self._history, self._clock, self._seed,
            track=self._track,
        )  # fmt: skip
        requests = 0
        for step in self._scenario.step:
            requests += step.after
            await self._wait_for_requests(requests)
            await executor.execute(step)
        await self._wait_for_requests(self._scenario.load.requests)
        await self._supervisor["clients"].exited.wait()
        await asyncio.gather(*self._background_tasks)
        for link in self.topology.datagram_links.values():
            self._history.write("notes", link=link.name, passed=link.forwarded_count, lost=link.lost_count)
        self._history.write("over")

    async def _start_processes(self) -> None:
        """Start all processes, each after those that it calls."""
        topology, supervisor = self.topology, self._supervisor
        for place in topology.placements.values():
            self._history.write("place", name=place.name, host=place.host, zone=place.zone, tier=place.tier)
        await topology.start_datagram_links()
        if supervisor.registry.is_used:
            await supervisor.start_all(topology.registry_instances())
        await supervisor.start_all(topology.servers() + topology.endpoint_lists())
        if supervisor.registry.is_used:
            await supervisor.registry.wait_for_all(READY_TIMEOUT_S)
        await supervisor.start_all(topology.balancers())
        await supervisor.start(topology.placements["clients"])
        async with self._progress:
            names = {balancer.name for balancer in topology.balancers(FIRST_TIER)}
            await self._progress.wait_for(lambda: set(self._healthy_balancers) >= names)

    async def _wait_for_requests(self, count: int) -> None:
        """Wait until `count` first attempts were made; DrillError if the clients exit before that."""
        clients = self._supervisor["clients"]
        async with self._progress:
            await self._progress.wait_for(lambda: self._request_count >= count or clients.exited.is_set())
        if self._request_count < count:
            log = f"{self.out}/clients.log"
            raise DrillError(f"the clients exited with status {clients.exit_status}; see {log}")

    def _on_progress_line(self, message: Message) -> None:
        self._track(asyncio.get_running_loop().create_task(self._handle_progress(message)))

    async def _handle_progress(self, message: dict[str, Any]) -> None:
        async with self._progress:
            self._request_count = message["asked"]
            self._healthy_balancers = message["up"]
            self._progress.notify_all()
        self._on_progress(message)

    def _on_clients_exit(self) -> None:
        self._track(asyncio.get_running_loop().create_task(self._notify_waiters()))

    async def _notify_waiters(self) -> None:
        async with self._progress:
            self._progress.notify_all()

    def _track(self, task: asyncio.Task[None]) -> None:
        """Keep a background task; if it fails, the play fails at its end."""
        self._background_tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            self._background_tasks.discard(task)
