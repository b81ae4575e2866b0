"""The list of servers, operators' holds, and the servers that this balancer keeps to."""

from __future__ import annotations

import math
import random

from basaltspindle import interface as face
from basaltspindle.interface import ListKind, Settings
from basaltspindle.policy.servers import Server

SUBSET_MIN = 12  # servers that a balancer keeps to at the least: losing a few must leave a choice
SUBSET_COVER = 30  # balancers that keep to each server: their chance parts then even out to a fifth
HOMES = 6  # servers near our place on the ring, where an inner balancer's free ones are taken first
LIST_RETRY_MS = 500.0  # first pause before the list is asked again, doubled at each failure
LIST_CALL_MS = 25.0  # of that first pause for each balancer of the tier at the least: after an outage all ask


class Roster:
    """The servers known, those that may get work (`ready`), and of these the ones kept to (`near`)."""

    def __init__(self, settings: Settings, chance: random.Random) -> None:
        self._settings, self._random = settings, chance
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []
        self.near: list[Server] = []
        self.home: frozenset[Server] = frozenset()
        self._held: set[str] = set()  # out by operators' hand
        self._back: dict[str, float] = {}  # when operators put servers back
        self._failures = 0

    def last_started(self) -> float:
        """When the newest of the ready servers started, in ms; 0 for long ago."""
        return max((s.started for s in self.ready), default=0.0)

    def failed(self, now: float) -> list[face.Action]:
        """The list is out of reach: the old one stands; ask again, not all balancers in step."""
        first = max(LIST_RETRY_MS, LIST_CALL_MS * self._settings.balancers)
        pause = min(first * 2 ** min(self._failures, 9), self._settings.ask_within_ms / 3)
        self._failures += 1
        told = [face.Log("server list out of reach; keeping the last one")] if self._failures == 1 else []
        return [*told, face.SetTimer(now + pause * (0.5 + self._random.random()), "list")]

    def listed(self, event: face.ListUpdate, now: float) -> list[face.Action]:
        """Take a whole list, or a change to it."""
        told: list[face.Action] = []
        if self._failures and event.kind is not ListKind.CACHED:
            self._failures = 0
            told = [face.Log("server list is back")]
        if event.kind is not ListKind.DELTA:
            for known in self.servers.values():
                known.listed = False  # missing from a whole list means gone
        for member in event.members:
            if (server := self.servers.get(member.server)) is None:
                server = self.servers[member.server] = Server(member, now, self._random.random())
            if member.up_since_ms > server.member.up_since_ms:
                server.forget(now)  # the same name, a new process
            server.member, server.listed = member, member.readiness is not face.Readiness.GONE
            server.size = member.size if 0 < member.size < math.inf else 1.0  # a list may give odd ones
        self.servers = {name: s for name, s in self.servers.items() if s.listed or s.in_flight}
        self._choose()
        return told

    def cordoned(self, event: face.Cordoned, now: float) -> None:
        """Operators' word on a server stands over the list's; one that they put back counts as cold."""
        if event.out:
            self._held.add(event.server)
        else:
            self._held.discard(event.server)
            self._back = {name: at for name, at in self._back.items() if at > now - self._settings.cold_ms}
            self._back[event.server] = event.back_at_ms
            if server := self.servers.get(event.server):
                server.forget(now)
                server.unused = True
        self._choose()

    def avoided(self) -> list[str]:
        """The listed servers that get no new work: held by operators, or ready and not kept to."""
        kept = set(self.near)
        return [
            name
            for name, s in self.servers.items()
            if s.listed and (name in self._held or (s.ready and s not in kept))
        ]

    def _choose(self) -> None:
        """Take stock of the servers that may get work."""
        for name, server in self.servers.items():
            is_ready = server.listed and server.member.readiness is face.Readiness.READY
            server.ready = is_ready and name not in self._held
            server.started = max(server.member.up_since_ms, self._back.get(name, 0.0))
        self.ready = [s for s in self.servers.values() if s.ready]
        # A balancer of hundreds calls each of all too seldom to learn it, or to use a connection twice.
        keep = max(SUBSET_MIN, math.ceil(len(self.ready) * SUBSET_COVER / self._settings.balancers))
        self.near = sorted(self.ready, key=lambda s: s.rank)[:keep]
        self.home = frozenset(self._on_ring())

    def _on_ring(self) -> list[Server]:
        """The servers of our zone that are nearest to our place, if names and balancers stand in a ring.

        Each server is near few balancers: their own calls there are then most of what it holds.
        """
        own = [s for s in self.ready if s.member.zone == self._settings.zone] or self.ready
        ring = sorted(own, key=lambda s: s.member.server)
        place = len(ring) * (self._settings.number + 0.5) / self._settings.balancers
        first = round(place - HOMES / 2)
        return [ring[i % len(ring)] for i in range(first, first + min(HOMES, len(ring)))]
