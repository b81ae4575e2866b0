"""What a drill's steps do to its fleet: each is written into the history as it happens."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from collections.abc import Callable
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.history import Writer
from loadbalancer.drill.links.tcp import DatagramLink, Fault, Link
from loadbalancer.drill.processes.placement import FIRST, Fleet
from loadbalancer.drill.processes.process_files import Papers
from loadbalancer.drill.processes.supervisor import NEW, READY_S, Crew, DriveError
from loadbalancer.drill.scenario import definition as steps

DOWN = "list down"


class Deeds:
    """Carries steps out on a fleet that runs."""

    def __init__(
        self, fleet: Fleet, papers: Papers, crew: Crew, history: Writer, clock: RealClock, seed: int,
        keep: Callable[[asyncio.Task[None]], None],
    ) -> None:  # fmt: skip
        """`keep` gets what goes on beside the timeline."""
        self._fleet, self._papers, self._crew, self._history = fleet, papers, crew, history
        self._clock, self._seed, self._keep = clock, seed, keep
        self._broken: dict[str, list[Link | DatagramLink]] = {}

    def _fault(self, kind: str, on: bool, targets: list[str], **more: Any) -> None:
        self._history.write("fault", kind=kind, on=on, targets=targets, **more)

    async def do(self, step: steps.Steps) -> None:
        """Carry a step out."""
        match step:
            case steps.Kill(who=who):
                self._signal("kill", who, signal.SIGKILL)
                await self._crew.ended(self._fleet.beside(who))
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
                for link in self._fleet.links_to(who):
                    link.put(barred=True)
                for name in self._fleet.beside(who):
                    self._crew[name].signal(signal.SIGTERM)
            case steps.Behave(who=who, slower=slower, fails=fails, paused=paused):
                well = slower == 1.0 and not fails and not paused
                self._fault("behave", not well, [who], slower=slower, fails=fails, paused=paused)
                self._crew[who].tell({"slower": slower, "fails": fails, "paused": paused})
            case steps.Break():
                self._break(step.name, step.link, step.fault, step.direction)
            case steps.Lift(name=name):
                self._lift(name)
            case steps.List(state=state, who=who):
                self._change_list(state, who)
            case steps.Cordon(who=who, out=out):
                await self._cordon(who, out)
            case steps.Zone():
                await self._move_zone(step)
            case steps.Pin(who=who, at=at):
                await self._crew.listing.pin(self._fleet.spots[at], who)
            case steps.Replace():
                await self._replace(step)
            case steps.Expect():
                await self._expect(step)
            case steps.Stranger(notes=count):
                self._fault("stranger", True, [s.name for s in self._fleet.balancers(FIRST)])
                self._make_noise(count)
            case steps.Surge(rate=rate, retries=retries, backoff_ms=backoff):
                self._fault("surge", True, ["clients"], rate=rate, retries=retries)
                self._crew["clients"].tell({"rate": rate, "retries": retries, "backoff_ms": backoff})

    def _signal(self, kind: str, who: str, number: int) -> None:
        names = self._fleet.beside(who)
        self._fault(kind, True, names)
        for name in names:
            self._crew[name].signal(number)

    async def _continue(self, who: str, length: float) -> None:
        await asyncio.sleep(length)
        names = self._fleet.beside(who)
        for name in names:
            self._crew[name].signal(signal.SIGCONT)
        self._fault("stop", False, names)

    async def _start_again(self, step: steps.Start) -> None:
        spot = self._fleet.spots[step.who]
        await self._crew.ended(self._fleet.beside(step.who))
        folder = Path(step.folder).resolve() if step.folder else None
        if spot.kind == "directory":
            self._crew.listing.change_memory(spot, step.memory)
        if spot.kind == "server":
            spot.since_ms, spot.version = self._clock.now, step.version
        await self._crew.start(spot, folder)
        for name in self._fleet.beside(step.who)[1:]:
            await self._crew.start(self._fleet.spots[name], folder)
        if spot.kind == "server" and not self._crew.listing.is_there:
            self._list(step.who, "in_service")
        self._fault("kill", False, self._fleet.beside(step.who), memory=step.memory)

    def _list(self, who: str, status: str) -> None:
        """Have the list show a server otherwise."""
        spot = self._fleet.spots[who]
        spot.status = status
        self._fault("list", status != "in_service", [who], status=status)
        if self._crew.listing.is_there:
            self._keep(asyncio.create_task(self._crew.listing.tell(who, status)))
        else:
            for one in self._fleet.lists():
                self._crew[one.name].tell({"tier": spot.tier, "entry": self._papers.entry(spot)})

    def _break(self, name: str, pattern: str, fault: Fault, direction: str = "both") -> None:
        links = self._fleet.matching(pattern)
        if not links:
            raise DriveError(f"no link is called {pattern!r}; there are {', '.join(self._fleet.links)}")
        self._fault(name, True, [link.name for link in links])
        self._broken.setdefault(name, []).extend(links)
        for link in links:
            link.set(name, fault, direction)

    def _lift(self, name: str) -> None:
        links = self._broken.pop(name, [])
        self._fault(name, False, [link.name for link in links])
        for link in links:
            link.lift(name)

    def _change_list(self, state: str, who: str) -> None:
        match state:
            case "down":
                self._break(f"{DOWN} {who}", f"*>{who}", Fault(refuse=True))
                for link in self._fleet.links_to(who):
                    link.reset_all()
            case "up":
                self._lift(f"{DOWN} {who}")
            case _:
                self._fault("odd list", state != "fresh", [who], state=state)
                self._crew[who].tell({"state": state})

    async def _expect(self, step: steps.Expect) -> None:
        """Ask all consoles until they agree on a balancer; `views` judges how long that took."""
        tier, clock = self._fleet.balancers(FIRST), self._clock
        number = [spot.name for spot in tier].index(step.who)
        began, said = clock.now, dict[str, str]()
        while clock.now - began < step.within_s * 1_000:
            said = {}
            for spot in tier:
                process = self._crew[spot.name]
                if spot.name != step.who and fnmatchcase(spot.name, step.by) and process.code is None:
                    said[spot.name] = await self._crew.belief(spot, number)
            if set(said.values()) == {step.state}:
                break
            await asyncio.sleep(0.02)
        took = (clock.now - began) / 1_000
        held = set(said.values()) == {step.state}
        self._history.write(
            "view", of=step.who, wanted=step.state, said=said, took_s=round(took, 3), held=held
        )

    def _make_noise(self, count: int) -> None:
        """Random bytes, from an address of no balancer and, by way of the relays, from those of balancers."""
        chance = random.Random(f"{self._seed}/stranger")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for spot in self._fleet.balancers(FIRST):
                for _ in range(count):
                    stranger.sendto(chance.randbytes(chance.randrange(300)), spot.notes)
        for way in self._fleet.ways.values():
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as forger:
                for _ in range(count // 10):
                    forger.sendto(chance.randbytes(chance.randrange(300)), way.address)

    async def _cordon(self, who: str, out: bool) -> None:
        self._fault("cordon", out, [who])
        call = "cordon" if out else "uncordon"
        for spot in self._fleet.balancers(self._fleet.spots[who].tier):
            await self._crew.call(spot.console, "POST", call, who)

    async def _move_zone(self, step: steps.Zone) -> None:
        self._fault("zone", step.out, [step.zone], zone=step.zone, over_s=step.over_s)
        call = "zone/leave" if step.out else "zone/return"
        for spot in self._fleet.balancers(FIRST):
            await self._crew.call(spot.console, "POST", call, f"{step.zone} over={step.over_s:g}")

    async def _replace(self, step: steps.Replace) -> None:
        """The console's way: start the new process beside the old one, see it healthy, end the old one."""
        spot, old = self._fleet.spots[step.who], self._crew[step.who]
        self._fault("replace", True, [step.who])
        console = f"{spot.host}:{self._fleet.port(spot.host)}"
        folder = Path(step.folder).resolve() if step.folder else None
        new = self._crew.launch_balancer(spot, console, folder)
        self._crew.processes[step.who + NEW] = new
        await self._crew.wait_healthy(new, console)
        self._crew.processes[step.who], spot.console = new, console
        del self._crew.processes[step.who + NEW]
        try:
            await old.finish(READY_S)
        finally:
            self._fault("replace", False, [step.who])
