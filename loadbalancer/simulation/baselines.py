"""Plain policies to compare with, on the same interface, and an oracle that sees all at once."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from loadbalancer import interface
from loadbalancer.interface import Idempotency, Readiness

if TYPE_CHECKING:
    from loadbalancer.simulation.fleet import SimulatedFleet

ORACLE_ROOM = 2.5  # calls that want a core, for each core, up to which the oracle lets cheap requests in


class Plain:
    """Sends each request once, to whichever server `pick` names, and passes on what comes of it."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.random = random.Random(seed)
        self.ready: dict[str, interface.Endpoint] = {}
        self.names: list[str] = []
        self.in_flight: dict[str, int] = {}
        self._open: dict[int, str] = {}

    def pick(self, cls: interface.RequestClass) -> str | None:
        """The server for a request; None to refuse it."""
        raise NotImplementedError

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """Take an event and tell what to do."""
        match event:
            case interface.EndpointListUpdate(kind=interface.UpdateKind.FAILED):
                return [interface.SetTimer(now + 1_000 * (0.5 + self.random.random()), "list")]
            case interface.EndpointListUpdate():
                return self._listed(event)
            case interface.TimerExpired():
                return [interface.WatchEndpointList()]
            case interface.RequestArrived():
                cls = self.classes[event.class_name]
                server = self.pick(cls) if self.names else None
                if server is None:
                    return [interface.Reject(event.request_id)]
                self.in_flight[server] = self.in_flight.get(server, 0) + 1
                self._open[event.request_id] = cls.idempotency.value
                return [interface.SendAttempt(event.request_id, server, event.remaining_ms)]
            case interface.AttemptEnded():
                return self._ended(event)
            case interface.ClientDisconnected() if event.request_id in self._open:
                del self._open[event.request_id]
                return [interface.CancelAttempt(event.request_id, 0)]
        return []

    def _listed(self, event: interface.EndpointListUpdate) -> list[interface.Action]:
        if event.kind is not interface.UpdateKind.DELTA:
            self.ready.clear()
        for member in event.endpoints:
            if member.readiness is Readiness.READY:
                self.ready[member.server] = member
            else:
                self.ready.pop(member.server, None)
        self.names = list(self.ready)
        return [interface.WatchEndpointList()] if event.kind is interface.UpdateKind.CACHED else []

    def _ended(self, event: interface.AttemptEnded) -> list[interface.Action]:
        self.in_flight[event.server] -= 1
        effect = self._open.pop(event.request_id, None)
        if effect is None or event.is_final:
            return []
        if effect == Idempotency.IDEMPOTENT.value or event.outcome in interface.OUTCOMES_WITHOUT_EFFECT:
            return [interface.Reject(event.request_id)]
        return [interface.Fail(event.request_id)]


class Random(Plain):
    """Any server."""

    def pick(self, cls: interface.RequestClass) -> str | None:
        """Any server."""
        return self.random.choice(self.names)


class RoundRobin(Plain):
    """Each in turn."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._turns = itertools.count(self.random.randrange(1_000))

    def pick(self, cls: interface.RequestClass) -> str | None:
        """The next one."""
        return self.names[next(self._turns) % len(self.names)]


class LeastRequest(Plain):
    """The one with the fewest calls of ours."""

    def pick(self, cls: interface.RequestClass) -> str | None:
        """The one with the fewest calls of ours, any of those that have as few."""
        return min(self.names, key=lambda n: (self.in_flight.get(n, 0), self.random.random()))


class TwoChoices(Plain):
    """Of two at random, the one with the fewer calls of ours."""

    def pick(self, cls: interface.RequestClass) -> str | None:
        """The better one of two."""
        two = self.random.choices(self.names, k=2)
        return min(two, key=lambda n: self.in_flight.get(n, 0))


class Weighted(Plain):
    """At random by registered size."""

    def pick(self, cls: interface.RequestClass) -> str | None:
        """One by size."""
        return self.random.choices(self.names, [self.ready[n].registered_capacity for n in self.names])[0]


class Oracle(Plain):
    """Sees what every server holds and can do at this moment: what is left to be had."""

    world: SimulatedFleet

    def pick(self, cls: interface.RequestClass) -> str | None:
        """Where the request would be done soonest; cheap ones are refused where all are full."""
        servers = [self.world.servers[n] for n in self.names]
        able = [s for s in servers if s.capacity() > 0 and not s.is_draining]
        if not able:
            return None
        best = min(able, key=lambda s: max(s.waiting + 1, s.build.cores) / s.capacity())
        dearest = max(c.priority_weight for c in self.settings.classes)
        full = best.waiting >= ORACLE_ROOM * best.build.cores
        if full and cls.priority_weight < dearest and not self.settings.tier:
            return None
        return best.build.name


BASELINES: dict[str, type[Plain]] = {
    "random": Random,
    "round-robin": RoundRobin,
    "least": LeastRequest,
    "p2c": TwoChoices,
    "weighted": Weighted,
    "oracle": Oracle,
}
