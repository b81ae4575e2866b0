"""What goes wrong on a day, and what is done on purpose: begun and ended at the times drawn."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from loadbalancer.interface import Endpoint, Readiness
from loadbalancer.simulation.clock import Clock
from loadbalancer.simulation.discovery import DiscoveryModel
from loadbalancer.simulation.network import Network
from loadbalancer.simulation.scenario import Day, Trouble, number
from loadbalancer.simulation.servers import Server

DRAIN_MS = 4_000.0  # a server that is replaced may end what it has for so long
PAUSE_EVERY_MS = 2_000.0


class FaultTarget(Protocol):
    """What troubles befall."""

    clock: Clock
    day: Day
    discovery: DiscoveryModel
    network: Network
    tiers: list[list[Server]]
    zones: tuple[str, ...]

    @property
    def front_balancers(self) -> Sequence[object]:
        """The front balancers."""

    def member(self, server: Server, readiness: Readiness) -> Endpoint:
        """The entry of a server in the list."""

    def stop(self, server: Server, silent: bool = False) -> None:
        """A server goes down."""

    def start_anew(self, server: Server) -> None:
        """A server is back, cold."""

    def add_like(self, old: Server) -> None:
        """A new server takes the place of an old one."""

    def kill_front(self, index: int) -> None:
        """A front balancer is killed."""

    def start_front(self, index: int) -> None:
        """It is started again."""


class FaultInjector:
    """Brings each trouble of the day about."""

    def __init__(self, world: FaultTarget) -> None:
        self._world = world
        self._rng = world.day.stream("troubles")
        self.log: list[tuple[float, str]] = []
        for item in world.day.scenario.trouble:
            begin = getattr(self, f"_{item.kind}", None)
            if begin is not None:  # bursts are in the arrivals
                world.clock.after(number(item.at_s) * 1_000, self._begin, begin, item)

    def _begin(self, begin: object, item: Trouble) -> None:
        self.log.append((self._world.clock.now, item.kind))
        begin(item, number(item.for_s) * 1_000)  # type: ignore[operator]

    def _some(self, item: Trouble) -> list[Server]:
        """So many of the servers of both tiers, or of a zone's, one at the least."""
        chosen: list[Server] = []
        part, zones = number(item.part), self._world.zones[-1:] if item.zone else self._world.zones
        for tier in (0, 1):
            up = [s for s in self._world.tiers[tier] if s.is_up and not s.is_draining]
            up = [s for s in up if s.build.zone in zones]
            count = max(round(part * len(up)), 1 if tier == 0 else 0)
            chosen += [up[i] for i in self._rng.choice(len(up), min(count, len(up)), replace=False)]
        return chosen

    def _slow(self, item: Trouble, length: float) -> None:
        for server in self._some(item):
            self._set(server, "slowdown", number(item.size))
            self._world.clock.after(length, self._set, server, "slowdown", 1.0)

    def _errors(self, item: Trouble, length: float) -> None:
        for server in self._some(item):
            self._set(server, "error_rate", min(number(item.size), 1.0))
            self._world.clock.after(length, self._set, server, "error_rate", server.build.error_rate)

    def _pauses(self, item: Trouble, length: float) -> None:
        clock = self._world.clock
        for server in self._some(item):
            at = float(self._rng.uniform(0, PAUSE_EVERY_MS))
            while at < length:
                clock.after(at, self._set, server, "is_paused", True)
                clock.after(at + number(item.size), self._set, server, "is_paused", False)
                at += PAUSE_EVERY_MS * float(self._rng.uniform(0.6, 1.4))

    def _set(self, server: Server, what: str, value: float) -> None:
        setattr(server, what, value)
        server.update_pace()

    def _replace(self, item: Trouble, length: float) -> None:
        """Some servers drain one after another and are replaced by cold ones with new names."""
        servers = self._some(item)
        for order, server in enumerate(servers):
            self._world.clock.after(length * order / len(servers), self._drain, server)

    def _drain(self, server: Server) -> None:
        world = self._world
        server.is_draining = True
        self._tell(server, Readiness.DRAINING)
        world.clock.after(DRAIN_MS, self._remove, server)
        world.clock.after(DRAIN_MS / 2, world.add_like, server)

    def _remove(self, server: Server) -> None:
        self._world.stop(server)
        self._tell(server, Readiness.DEAD)

    def _zone_loss(self, item: Trouble, length: float) -> None:
        """The servers of a zone vanish, silently, and come back cold."""
        world = self._world
        zone = world.zones[-1]
        lost = [s for tier in world.tiers for s in tier if s.build.zone == zone and s.is_up]
        for server in lost:
            world.stop(server, silent=True)
            self._tell(server, Readiness.DEAD, silent=True)
            world.clock.after(length, self._return, server)

    def _return(self, server: Server) -> None:
        self._world.start_anew(server)
        self._tell(server, Readiness.READY)

    def _cut(self, item: Trouble, length: float) -> None:
        zone = self._world.zones[-1]
        self._world.network.cut(zone, True)
        self._world.clock.after(length, self._world.network.cut, zone, False)

    def _discovery_down(self, item: Trouble, length: float) -> None:
        self._world.discovery.set_down(True)
        self._world.clock.after(length, self._world.discovery.set_down, False)

    def _balancers(self, item: Trouble, length: float) -> None:
        """Some front balancers are killed at once, and start from nothing."""
        fronts = self._world.front_balancers
        count = max(round(number(item.part) * len(fronts)), 1)
        for index in self._rng.choice(len(fronts), min(count, len(fronts)), replace=False):
            self._world.kill_front(int(index))
            self._world.clock.after(length, self._world.start_front, int(index))

    def _tell(self, server: Server, readiness: Readiness, silent: bool = False) -> None:
        self._world.discovery.schedule_change(
            server.build.tier, self._world.member(server, readiness), silent
        )
