"""Baseline policies with the same interface, and an oracle that sees the state of all servers."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from loadbalancer import interface
from loadbalancer.interface import Idempotency, Readiness

if TYPE_CHECKING:
    from loadbalancer.simulation.fleet import SimulatedFleet

ORACLE_MAX_WAITING_PER_CORE = 2.5  # requests needing a core, up to which low-weight requests are admitted


class SingleAttemptPolicy:
    """Sends each request once, to the server that `select_server` names, and passes the outcome on."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.random = random.Random(seed)
        self.ready: dict[str, interface.Endpoint] = {}
        self.names: list[str] = []
        self.in_flight: dict[str, int] = {}
        self._idempotency: dict[int, str] = {}

    def select_server(self, cls: interface.RequestClass) -> str | None:
        """Return the server for a request, or None to reject it."""
        raise NotImplementedError

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """Handle an event and return the actions to execute."""
        match event:
            case interface.EndpointListUpdate(kind=interface.UpdateKind.FAILED):
                return [interface.SetTimer(now + 1_000 * (0.5 + self.random.random()), "list")]
            case interface.EndpointListUpdate():
                return self._update_list(event)
            case interface.TimerExpired():
                return [interface.WatchEndpointList()]
            case interface.RequestArrived():
                cls = self.classes[event.class_name]
                server = self.select_server(cls) if self.names else None
                if server is None:
                    return [interface.Reject(event.request_id)]
                self.in_flight[server] = self.in_flight.get(server, 0) + 1
                self._idempotency[event.request_id] = cls.idempotency.value
                return [interface.SendAttempt(event.request_id, server, event.remaining_ms)]
            case interface.AttemptEnded():
                return self._handle_attempt_ended(event)
            case interface.ClientDisconnected() if event.request_id in self._idempotency:
                del self._idempotency[event.request_id]
                return [interface.CancelAttempt(event.request_id, 0)]
        return []

    def _update_list(self, event: interface.EndpointListUpdate) -> list[interface.Action]:
        if event.kind is not interface.UpdateKind.DELTA:
            self.ready.clear()
        for endpoint in event.endpoints:
            if endpoint.readiness is Readiness.READY:
                self.ready[endpoint.server] = endpoint
            else:
                self.ready.pop(endpoint.server, None)
        self.names = list(self.ready)
        return [interface.WatchEndpointList()] if event.kind is interface.UpdateKind.CACHED else []

    def _handle_attempt_ended(self, event: interface.AttemptEnded) -> list[interface.Action]:
        self.in_flight[event.server] -= 1
        effect = self._idempotency.pop(event.request_id, None)
        if effect is None or event.is_final:
            return []
        if effect == Idempotency.IDEMPOTENT.value or event.outcome in interface.OUTCOMES_WITHOUT_EFFECT:
            return [interface.Reject(event.request_id)]
        return [interface.Fail(event.request_id)]


class Random(SingleAttemptPolicy):
    """Selects a server at random."""

    def select_server(self, cls: interface.RequestClass) -> str | None:
        """Return any server."""
        return self.random.choice(self.names)


class RoundRobin(SingleAttemptPolicy):
    """Selects each server in turn."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._positions = itertools.count(self.random.randrange(1_000))

    def select_server(self, cls: interface.RequestClass) -> str | None:
        """Return the next server."""
        return self.names[next(self._positions) % len(self.names)]


class LeastRequest(SingleAttemptPolicy):
    """Selects the server with the fewest attempts of this balancer in flight."""

    def select_server(self, cls: interface.RequestClass) -> str | None:
        """Return the server with the fewest attempts in flight; ties are broken at random."""
        return min(self.names, key=lambda n: (self.in_flight.get(n, 0), self.random.random()))


class TwoChoices(SingleAttemptPolicy):
    """Selects the one of two random servers with fewer attempts of this balancer in flight."""

    def select_server(self, cls: interface.RequestClass) -> str | None:
        """Return the less loaded one of two random servers."""
        candidates = self.random.choices(self.names, k=2)
        return min(candidates, key=lambda n: self.in_flight.get(n, 0))


class Weighted(SingleAttemptPolicy):
    """Selects a server at random, weighted by registered capacity."""

    def select_server(self, cls: interface.RequestClass) -> str | None:
        """Return a server at random, weighted by capacity."""
        return self.random.choices(self.names, [self.ready[n].registered_capacity for n in self.names])[0]


class Oracle(SingleAttemptPolicy):
    """Sees the current load and capacity of every server: an upper bound for the other policies."""

    fleet: SimulatedFleet

    def select_server(self, cls: interface.RequestClass) -> str | None:
        """Return the server that would finish first; reject low-weight requests when all are full."""
        servers = [self.fleet.servers[n] for n in self.names]
        available = [s for s in servers if s.capacity() > 0 and not s.is_draining]
        if not available:
            return None
        best = min(available, key=lambda s: max(s.waiting + 1, s.spec.cores) / s.capacity())
        highest_weight = max(c.priority_weight for c in self.settings.classes)
        is_full = best.waiting >= ORACLE_MAX_WAITING_PER_CORE * best.spec.cores
        if is_full and cls.priority_weight < highest_weight and not self.settings.tier:
            return None
        return best.spec.name


BASELINES: dict[str, type[SingleAttemptPolicy]] = {
    "random": Random,
    "round-robin": RoundRobin,
    "least": LeastRequest,
    "p2c": TwoChoices,
    "weighted": Weighted,
    "oracle": Oracle,
}
