"""The four rules, checked as the protocol words them; the first event that breaks one is kept."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from loadbalancer.interface import Readiness
from loadbalancer.simulation.clock import Clock
from loadbalancer.simulation.servers import Server

GRACE_MS = 50.0  # past the caller's time, in which an answer still counts
DRAIN_MS = 3_000.0  # after it was told, a balancer sends a draining server nothing new
FALL_MULTIPLE, FALL_MS = 2.5, 2_000.0  # of its capacity, sent for so long, pushes a cold server over
FALL_SLACK = 1.15  # for chance: the length of single requests is known to nobody
TOLD_PART = 2 / 3  # of that work must come from balancers that knew of the start


class Judged(Protocol):
    """What the rules ask of a balancer: its name, and what the list has told it, since when."""

    name: str
    told: dict[str, tuple[Readiness, float]]


@dataclass(frozen=True)
class Breach:
    """One broken rule."""

    at_ms: float
    rule: str
    balancer: str
    what: str


class Rules:
    """Looks at every request, attempt and answer of all balancers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.breaches: list[Breach] = []
        self._open: dict[tuple[str, int], float] = {}
        self._pushed: dict[str, deque[tuple[float, float, bool]]] = {}

    def broken(self, rule: str, balancer: str, what: object) -> None:
        """A rule has been broken."""
        self.breaches.append(Breach(self._clock.now, rule, balancer, str(what)))

    def taken(self, host: Judged, number: int, until: float) -> None:
        """A balancer has taken a request: its answer is owed by then."""
        self._open[host.name, number] = until

    def answered(self, host: Judged, number: int) -> None:
        """A request has its answer."""
        until = self._open.pop((host.name, number), None)
        if until is not None and self._clock.now > until + GRACE_MS:
            self.broken("answered too late", host.name, number)

    def left(self, host: Judged, number: int) -> None:
        """A caller has gone: before its time nothing more is owed, after it the answer was."""
        if self._clock.now < self._open.get((host.name, number), 0.0):
            del self._open[host.name, number]

    def close(self) -> None:
        """The day is over: what has no answer now was lost."""
        for name, number in self._open:
            self.broken("never answered", name, number)

    def sent(self, host: Judged, server: str) -> None:
        """A balancer has sent something to a server."""
        readiness, since = host.told.get(server, (None, 0.0))
        if readiness is None:
            self.broken("sent to what no list named", host.name, server)
        elif readiness is not Readiness.READY and self._clock.now - since > DRAIN_MS + GRACE_MS:
            self.broken("sent to what drains or is gone", host.name, server)

    def pushed(self, server: Server, work: float, knew: bool) -> bool:
        """Work has reached a server; whether that has pushed it over, cold as it is."""
        if server.warmth() >= 1:
            self._pushed.pop(server.build.name, None)
            return False
        now = self._clock.now
        window = self._pushed.setdefault(server.build.name, deque())
        window.append((now, work, knew))
        while window[0][0] < now - FALL_MS:
            window.popleft()
        most = (
            FALL_MULTIPLE * FALL_SLACK * FALL_MS * server.build.cores * server.build.speed * server.warmth()
        )
        sent = sum(w for _, w, _ in window)
        if sent <= most:
            return False
        if sum(w for _, w, k in window if k) >= TOLD_PART * sent:
            self.broken("pushed a cold server over", "all", server.build.name)
        return True
