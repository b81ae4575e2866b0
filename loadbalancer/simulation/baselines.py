"""Plain policies to compare with, on the same interface, and an oracle that sees all at once."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from loadbalancer import interface as face
from loadbalancer.interface import Effect, Readiness

if TYPE_CHECKING:
    from loadbalancer.simulation.fleet import World

ORACLE_ROOM = 2.5  # calls that want a core, for each core, up to which the oracle lets cheap requests in


class Plain:
    """Sends each request once, to whichever server `pick` names, and passes on what comes of it."""

    def __init__(self, settings: face.Settings, seed: int) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.random = random.Random(seed)
        self.ready: dict[str, face.Member] = {}
        self.names: list[str] = []
        self.in_flight: dict[str, int] = {}
        self._open: dict[int, str] = {}

    def pick(self, cls: face.RequestClass) -> str | None:
        """The server for a request; None to refuse it."""
        raise NotImplementedError

    def handle(self, event: face.Event, now: float) -> list[face.Action]:
        """Take an event and tell what to do."""
        match event:
            case face.ListUpdate(kind=face.ListKind.FAILED):
                return [face.SetTimer(now + 1_000 * (0.5 + self.random.random()), "list")]
            case face.ListUpdate():
                return self._listed(event)
            case face.TimerDue():
                return [face.Subscribe()]
            case face.RequestArrived():
                cls = self.classes[event.class_name]
                server = self.pick(cls) if self.names else None
                if server is None:
                    return [face.Refuse(event.request)]
                self.in_flight[server] = self.in_flight.get(server, 0) + 1
                self._open[event.request] = cls.effect.value
                return [face.Send(event.request, server, event.remaining_ms)]
            case face.AttemptEnded():
                return self._ended(event)
            case face.ClientLeft() if event.request in self._open:
                del self._open[event.request]
                return [face.Cancel(event.request, 0)]
        return []

    def _listed(self, event: face.ListUpdate) -> list[face.Action]:
        if event.kind is not face.ListKind.DELTA:
            self.ready.clear()
        for member in event.members:
            if member.readiness is Readiness.READY:
                self.ready[member.server] = member
            else:
                self.ready.pop(member.server, None)
        self.names = list(self.ready)
        return [face.Subscribe()] if event.kind is face.ListKind.CACHED else []

    def _ended(self, event: face.AttemptEnded) -> list[face.Action]:
        self.in_flight[event.server] -= 1
        effect = self._open.pop(event.request, None)
        if effect is None or event.answered:
            return []
        if effect == Effect.SAFE.value or event.outcome in face.NEVER_RAN:
            return [face.Refuse(event.request)]
        return [face.Fail(event.request)]


class Random(Plain):
    """Any server."""

    def pick(self, cls: face.RequestClass) -> str | None:
        """Any server."""
        return self.random.choice(self.names)


class RoundRobin(Plain):
    """Each in turn."""

    def __init__(self, settings: face.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._turns = itertools.count(self.random.randrange(1_000))

    def pick(self, cls: face.RequestClass) -> str | None:
        """The next one."""
        return self.names[next(self._turns) % len(self.names)]


class LeastRequest(Plain):
    """The one with the fewest calls of ours."""

    def pick(self, cls: face.RequestClass) -> str | None:
        """The one with the fewest calls of ours, any of those that have as few."""
        return min(self.names, key=lambda n: (self.in_flight.get(n, 0), self.random.random()))


class TwoChoices(Plain):
    """Of two at random, the one with the fewer calls of ours."""

    def pick(self, cls: face.RequestClass) -> str | None:
        """The better one of two."""
        two = self.random.choices(self.names, k=2)
        return min(two, key=lambda n: self.in_flight.get(n, 0))


class Weighted(Plain):
    """At random by registered size."""

    def pick(self, cls: face.RequestClass) -> str | None:
        """One by size."""
        return self.random.choices(self.names, [self.ready[n].size for n in self.names])[0]


class Oracle(Plain):
    """Sees what every server holds and can do at this moment: what is left to be had."""

    world: World

    def pick(self, cls: face.RequestClass) -> str | None:
        """Where the request would be done soonest; cheap ones are refused where all are full."""
        servers = [self.world.servers[n] for n in self.names]
        able = [s for s in servers if s.capacity() > 0 and not s.is_draining]
        if not able:
            return None
        best = min(able, key=lambda s: max(s.waiting + 1, s.build.cores) / s.capacity())
        dearest = max(c.worth for c in self.settings.classes)
        full = best.waiting >= ORACLE_ROOM * best.build.cores
        if full and cls.worth < dearest and not self.settings.calling_tier:
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
