"""Faults and planned changes of a scenario, injected and ended at the times drawn."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from loadbalancer.interface import Endpoint, Readiness
from loadbalancer.simulation.clock import Clock
from loadbalancer.simulation.discovery import DiscoveryModel
from loadbalancer.simulation.network import Network
from loadbalancer.simulation.scenario import DrawnScenario, Fault, drawn_value
from loadbalancer.simulation.servers import Server

DRAIN_DURATION_MS = 4_000.0  # for which a server that is replaced may finish its requests
MEAN_PAUSE_INTERVAL_MS = 2_000.0


class FaultTarget(Protocol):
    """The simulated fleet, as fault injection needs it."""

    clock: Clock
    drawn: DrawnScenario
    discovery: DiscoveryModel
    network: Network
    tiers: list[list[Server]]
    zones: tuple[str, ...]

    @property
    def front_balancers(self) -> Sequence[object]:
        """The balancers of the first tier."""

    def make_endpoint(self, server: Server, readiness: Readiness) -> Endpoint:
        """Return a server's entry in the endpoint list."""

    def stop(self, server: Server, silent: bool = False) -> None:
        """Stop a server."""

    def start_anew(self, server: Server) -> None:
        """Start a stopped server again, cold."""

    def add_replacement(self, old: Server) -> None:
        """Add a new server in place of an old one."""

    def kill_front_balancer(self, index: int) -> None:
        """Kill a front balancer."""

    def start_front_balancer(self, index: int) -> None:
        """Start a killed front balancer again."""


class FaultInjector:
    """Injects the faults of a scenario."""

    def __init__(self, fleet: FaultTarget) -> None:
        self._fleet = fleet
        self._rng = fleet.drawn.stream("troubles")
        self.log: list[tuple[float, str]] = []
        for item in fleet.drawn.scenario.trouble:
            begin = getattr(self, f"_{item.kind}", None)
            if begin is not None:  # bursts are part of the arrivals
                fleet.clock.after(drawn_value(item.at_s) * 1_000, self._begin, begin, item)

    def _begin(self, begin: object, item: Fault) -> None:
        self.log.append((self._fleet.clock.now, item.kind))
        begin(item, drawn_value(item.for_s) * 1_000)  # type: ignore[operator]

    def _choose_servers(self, item: Fault) -> list[Server]:
        """Choose the fault's part of the servers of both tiers; at least one of the first tier."""
        chosen: list[Server] = []
        part, zones = drawn_value(item.part), self._fleet.zones[-1:] if item.zone else self._fleet.zones
        for tier in (0, 1):
            up = [s for s in self._fleet.tiers[tier] if s.is_up and not s.is_draining]
            up = [s for s in up if s.spec.zone in zones]
            count = max(round(part * len(up)), 1 if tier == 0 else 0)
            chosen += [up[i] for i in self._rng.choice(len(up), min(count, len(up)), replace=False)]
        return chosen

    def _slow(self, item: Fault, length: float) -> None:
        for server in self._choose_servers(item):
            self._set_attribute(server, "slowdown", drawn_value(item.size))
            self._fleet.clock.after(length, self._set_attribute, server, "slowdown", 1.0)

    def _errors(self, item: Fault, length: float) -> None:
        for server in self._choose_servers(item):
            self._set_attribute(server, "error_rate", min(drawn_value(item.size), 1.0))
            self._fleet.clock.after(length, self._set_attribute, server, "error_rate", server.spec.error_rate)

    def _pauses(self, item: Fault, length: float) -> None:
        clock = self._fleet.clock
        for server in self._choose_servers(item):
            at = float(self._rng.uniform(0, MEAN_PAUSE_INTERVAL_MS))
            while at < length:
                clock.after(at, self._set_attribute, server, "is_paused", True)
                clock.after(at + drawn_value(item.size), self._set_attribute, server, "is_paused", False)
                at += MEAN_PAUSE_INTERVAL_MS * float(self._rng.uniform(0.6, 1.4))

    def _set_attribute(self, server: Server, what: str, value: float) -> None:
        setattr(server, what, value)
        server.update_pace()

    def _replace(self, item: Fault, length: float) -> None:
        """Drain some servers one after another, and replace them by cold ones with new names."""
        servers = self._choose_servers(item)
        for order, server in enumerate(servers):
            self._fleet.clock.after(length * order / len(servers), self._drain, server)

    def _drain(self, server: Server) -> None:
        fleet = self._fleet
        server.is_draining = True
        self._announce(server, Readiness.DRAINING)
        fleet.clock.after(DRAIN_DURATION_MS, self._remove, server)
        fleet.clock.after(DRAIN_DURATION_MS / 2, fleet.add_replacement, server)

    def _remove(self, server: Server) -> None:
        self._fleet.stop(server)
        self._announce(server, Readiness.DEAD)

    def _zone_loss(self, item: Fault, length: float) -> None:
        """Stop the servers of the last zone silently, and start them again cold."""
        fleet = self._fleet
        zone = fleet.zones[-1]
        lost = [s for tier in fleet.tiers for s in tier if s.spec.zone == zone and s.is_up]
        for server in lost:
            fleet.stop(server, silent=True)
            self._announce(server, Readiness.DEAD, silent=True)
            fleet.clock.after(length, self._return, server)

    def _return(self, server: Server) -> None:
        self._fleet.start_anew(server)
        self._announce(server, Readiness.READY)

    def _cut(self, item: Fault, length: float) -> None:
        zone = self._fleet.zones[-1]
        self._fleet.network.isolate(zone, True)
        self._fleet.clock.after(length, self._fleet.network.isolate, zone, False)

    def _discovery_down(self, item: Fault, length: float) -> None:
        self._fleet.discovery.set_down(True)
        self._fleet.clock.after(length, self._fleet.discovery.set_down, False)

    def _balancers(self, item: Fault, length: float) -> None:
        """Kill some front balancers at once; they start again without state."""
        fronts = self._fleet.front_balancers
        count = max(round(drawn_value(item.part) * len(fronts)), 1)
        for index in self._rng.choice(len(fronts), min(count, len(fronts)), replace=False):
            self._fleet.kill_front_balancer(int(index))
            self._fleet.clock.after(length, self._fleet.start_front_balancer, int(index))

    def _announce(self, server: Server, readiness: Readiness, silent: bool = False) -> None:
        self._fleet.discovery.schedule_change(
            server.spec.tier, self._fleet.make_endpoint(server, readiness), silent
        )
