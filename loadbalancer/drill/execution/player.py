"""Plays a drill: has all processes started, follows the timeline, and leaves nothing behind."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp

from loadbalancer.drill.clock import RealClock, offset_ms
from loadbalancer.drill.execution.step_execution import Deeds
from loadbalancer.drill.history import Writer
from loadbalancer.drill.processes.placement import FIRST, Fleet
from loadbalancer.drill.processes.process_files import Papers
from loadbalancer.drill.processes.supervisor import READY_S, Crew, DriveError
from loadbalancer.drill.scenario import definition as steps
from loadbalancer.registry.client import RegistryCallError

PATIENCE_S = 120.0  # past the load's own length, after which a drill is given up


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
        self._clock = RealClock(offset_ms())
        self._progress = asyncio.Condition()
        self._asked = 0
        self._up: list[str] = []
        self._later: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Play it; DriveError says why it could not be."""
        self.out.mkdir(parents=True, exist_ok=True)
        if any(self.out.iterdir()):
            raise DriveError(f"{self.out} is not empty")
        self._history = Writer(self.out, "driver", self._clock)
        self.fleet = Fleet(self._script, self._seed, lambda link: self._history.write("knock", link=link))
        self.papers = Papers(self.fleet, self._seed, self.out, self._clock.offset)
        try:
            async with aiohttp.ClientSession() as http:
                self.crew = Crew(
                    self.fleet, self.papers, self._history, http, self._plant, self._heard_line, self._wake
                )
                try:
                    await self._play_in_time()
                finally:
                    for task in self._later:
                        task.cancel()
                    await self.crew.finish()
        finally:
            self.fleet.close()
            self._history.close()

    async def _play_in_time(self) -> None:
        load = self._script.load
        try:
            async with asyncio.timeout(PATIENCE_S + 2 * load.requests / load.rate):
                await self._play()
        except TimeoutError:
            raise DriveError("the drill did not come to its end in time") from None
        except RegistryCallError as error:
            raise DriveError(f"the list service: {error}") from None
        if self._on_over is not None:
            await self._on_over(self.fleet)

    async def _play(self) -> None:
        fleet, crew = self.fleet, self.crew
        for spot in fleet.spots.values():
            self._history.write("place", name=spot.name, host=spot.host, zone=spot.zone, tier=spot.tier)
        await fleet.join_peers()
        if crew.listing.is_there:
            await crew.start_all([s.name for s in fleet.instances()])
        await crew.start_all([s.name for s in fleet.servers() + fleet.lists()])
        if crew.listing.is_there:
            await crew.listing.wait_for_all(READY_S)
        await crew.start_all([s.name for s in fleet.balancers()])
        await crew.start_all(["clients"])
        async with self._progress:
            fronts = {s.name for s in fleet.balancers(FIRST)}
            await self._progress.wait_for(lambda: set(self._up) >= fronts)
        crew["clients"].tell({"begin": True})
        deeds = Deeds(fleet, self.papers, crew, self._history, self._clock, self._seed, keep=self._keep)
        asked = 0
        for step in self._script.step:
            asked += step.after
            await self._until(asked)
            await deeds.do(step)
        await self._until(self._script.load.requests)
        await crew["clients"].ended.wait()
        await asyncio.gather(*self._later)
        for way in fleet.ways.values():
            self._history.write("notes", link=way.name, passed=way.passed, lost=way.lost)
        self._history.write("over")

    async def _until(self, asked: int) -> None:
        """Wait until so many first tries were made."""
        clients = self.crew["clients"]
        async with self._progress:
            await self._progress.wait_for(lambda: self._asked >= asked or clients.ended.is_set())
        if self._asked < asked:
            raise DriveError(f"the clients ended with status {clients.code}; see {self.out}/clients.log")

    async def _heard(self, line: dict[str, Any]) -> None:
        async with self._progress:
            self._asked, self._up = line["asked"], line["up"]
            self._progress.notify_all()
        self._on_progress(line)

    def _heard_line(self, line: dict[str, Any]) -> None:
        self._keep(asyncio.get_running_loop().create_task(self._heard(line)))

    def _wake(self) -> None:
        self._keep(asyncio.get_running_loop().create_task(self._look_again()))

    async def _look_again(self) -> None:
        async with self._progress:
            self._progress.notify_all()

    def _keep(self, task: asyncio.Task[None]) -> None:
        """What goes on beside the timeline; what fails there fails the play at its end."""
        self._later.add(task)
        task.add_done_callback(self._let_go)

    def _let_go(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            self._later.discard(task)
