"""What hosts the decisions: requests in, attempts out over connections, outcomes back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from loadbalancer import interface
from loadbalancer.interface import Outcome
from loadbalancer.simulation.clock import Clock, Due
from loadbalancer.simulation.discovery import DiscoveryModel
from loadbalancer.simulation.network import Network
from loadbalancer.simulation.rules import RuleChecker
from loadbalancer.simulation.servers import Server
from loadbalancer.simulation.utility import Ledger


class Decisions(Protocol):
    """What the model asks of a policy: the interface of `loadbalancer.policy.Balancer`."""

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """Take an event and tell what to do."""


@dataclass(slots=True)
class Ask:
    """One try of a request, as a balancer is given it. `work` is what it takes in each tier, in ms."""

    cls: str
    work: tuple[float, float]
    calls: int
    remaining_ms: float
    tenant: str
    is_repeat: bool
    effect_once: bool  # it must not run twice
    zone: str
    answer: Callable[[str, float], None]  # 'served', 'refused' or 'failed', and how long to stay away


@dataclass(slots=True)
class Try:
    """An attempt on its way."""

    server: str
    out: bool = True
    may_have_run: bool = True
    cancel: Callable[[], None] | None = None
    timer: Due | None = None


@dataclass(slots=True)
class Taken:
    """A request that this balancer has taken."""

    ask: Ask
    until: float
    open: bool = True
    tries: list[Try] = field(default_factory=list)


class Surroundings(Protocol):
    """What a balancer finds round it."""

    clock: Clock
    network: Network
    rules: RuleChecker
    discovery: DiscoveryModel
    ledger: Ledger
    servers: dict[str, Server]
    idle_ms: float
    connect_ms: float
    handshake_rtts: float
    handshake_ms: float

    def serve(
        self, server: Server, ask: Ask, timeout: float, ended: Callable[[Outcome], None]
    ) -> Callable[[], None] | None:
        """An attempt has reached a server; what is returned calls it off."""

    def probe(self, host: Host, name: str) -> None:
        """Ask a server how it is."""


class Host:
    """One balancer: the decisions, and the network round them."""

    def __init__(self, world: Surroundings, name: str, tier: int, zone: str, decisions: Decisions) -> None:
        self.world, self.name, self.tier, self.zone = world, name, tier, zone
        self.decisions = decisions
        self.alive = True
        self.announced_readiness: dict[
            str, tuple[interface.Readiness, float]
        ] = {}  # what the list said, and since when
        self.cold_known: dict[str, float] = {}
        self._requests: dict[int, Taken] = {}
        self._last = 0
        self._idle: dict[str, list[float]] = {}
        self.out: dict[str, int] = {}

    # ---- events ---------------------------------------------------------------------------------

    def handle_event(self, event: interface.Event) -> None:
        """Pass an event on and carry out what follows."""
        if self.alive:
            for action in self.decisions.handle(event, self.world.clock.now):
                self._do(action)

    def take(self, ask: Ask) -> int:
        """Take a request; the number by which its caller may leave."""
        self._last += 1
        number = self._last
        now = self.world.clock.now
        self._requests[number] = Taken(ask, now + ask.remaining_ms)
        self.world.rules.record_request(self, number, now + ask.remaining_ms)
        self.handle_event(
            interface.RequestArrived(
                number, ask.cls, max(ask.remaining_ms, 0.0), ask.tenant or None, ask.is_repeat
            )
        )
        return number

    def left(self, number: int) -> None:
        """The caller has gone."""
        request = self._requests.get(number)
        if request is not None and request.open:
            request.open = False
            self.world.rules.record_disconnect(self, number)
            self.handle_event(interface.ClientDisconnected(number))
            self._forget(number)

    def handle_list_update(self, update: interface.EndpointListUpdate) -> None:
        """The list, or a change of it, has come."""
        now = self.world.clock.now
        if update.kind is interface.UpdateKind.FULL_SNAPSHOT:
            named = {m.server for m in update.endpoints}
            for name in [n for n in self.announced_readiness if n not in named]:
                self.announced_readiness[name] = (interface.Readiness.DEAD, now)
        for member in update.endpoints:
            known = self.announced_readiness.get(member.server)
            if known is None or known[0] is not member.readiness:
                self.announced_readiness[member.server] = (member.readiness, now)
            if member.started_at_ms > 0:
                self.cold_known[member.server] = member.started_at_ms
        self.handle_event(update)

    def die(self) -> None:
        """It is killed, and all that it held with it."""
        self.alive = False
        for number, request in list(self._requests.items()):
            for attempt in request.tries:
                if attempt.cancel:
                    attempt.cancel()
            if request.open:
                request.open = False
                self.world.rules.record_response(self, number)
                request.ask.answer("lost", 0.0)
        self._requests.clear()

    # ---- actions --------------------------------------------------------------------------------

    def _do(self, action: interface.Action) -> None:
        clock = self.world.clock
        match action:
            case interface.SendAttempt():
                self._send(action)
            case interface.SetTimer(at, token):
                clock.at(at, self.handle_event, interface.TimerExpired(token))
            case interface.Reject(number, after_ms):
                self._final(number, "refused", after_ms)
            case interface.Fail(number):
                self._final(number, "failed", 0.0)
            case interface.CancelAttempt(number, index):
                request = self._requests.get(number)
                if request and request.tries[index].out:
                    self._over(number, index, Outcome.CANCELLED)
            case interface.CloseIdleConnections(server):
                self._idle.pop(server, None)
            case interface.WatchEndpointList():
                self.world.discovery.request_list(self)
            case interface.SendHealthCheck(server):
                self.world.probe(self, server)
            case interface.LogMessage():
                pass

    def _final(self, number: int, ending: str, after_ms: float) -> None:
        request = self._requests.get(number)
        if request is None or not request.open:
            return
        if ending == "refused" and request.ask.effect_once and any(t.may_have_run for t in request.tries):
            self.world.rules.record_violation("refused what may have run", self.name, number)
        self._answer(number, request, ending, after_ms)

    def _answer(self, number: int, request: Taken, ending: str, after_ms: float) -> None:
        request.open = False
        self.world.rules.record_response(self, number)
        request.ask.answer(ending, after_ms)
        self._forget(number)

    def _forget(self, number: int) -> None:
        request = self._requests.get(number)
        if request and not request.open and not any(t.out for t in request.tries):
            del self._requests[number]

    def _send(self, action: interface.SendAttempt) -> None:
        world, number, name = self.world, action.request_id, action.server
        request = self._requests.get(number)
        if request is None:
            world.rules.record_violation("sent a request that is over", self.name, number)
            return
        if request.ask.effect_once and any(t.may_have_run for t in request.tries):
            world.rules.record_violation("sent again what may have run", self.name, number)
        world.rules.record_send(self, name)
        index = len(request.tries)
        attempt = Try(name)
        request.tries.append(attempt)
        self.out[name] = self.out.get(name, 0) + 1
        left = request.until - world.clock.now
        timeout = min(action.timeout_ms or left, left)
        attempt.timer = world.clock.after(max(timeout, 0.0), self._over, number, index, Outcome.TIMED_OUT)
        server = world.servers[name]
        zone = server.build.zone
        world.ledger.record_attempt(
            zone, world.clock.now, crosses_zones=self.zone != zone, is_from_front=self.tier == 0
        )
        idle = self._idle.get(name)
        if idle:
            stale = world.clock.now - idle.pop() >= world.idle_ms
            delay = world.network.delay(self.zone, server.build.zone)
            if stale:
                world.clock.after(2 * delay, self._over, number, index, Outcome.RESET)
            else:
                world.clock.after(delay, self._arrive, number, index, server, timeout)
        else:
            self._connect(number, index, server, timeout)

    def _connect(self, number: int, index: int, server: Server, timeout: float) -> None:
        world = self.world
        delay = world.network.delay(self.zone, server.build.zone)
        if world.network.is_cut(self.zone, server.build.zone) or server.is_silent:
            world.clock.after(world.connect_ms, self._over, number, index, Outcome.CONNECT_FAILED)
        elif not server.is_up:
            world.clock.after(2 * delay, self._over, number, index, Outcome.CONNECT_FAILED)
        elif server.connections >= server.build.connections:
            world.clock.after(2 * delay, self._over, number, index, Outcome.REJECTED)
        else:
            server.connections += 1
            server.add_work(world.handshake_ms)
            wait = delay * (1 + 2 * world.handshake_rtts)
            world.clock.after(wait, self._arrive, number, index, server, timeout)

    def _arrive(self, number: int, index: int, server: Server, timeout: float) -> None:
        """The attempt is at the server."""
        request = self._requests.get(number)
        attempt = request.tries[index] if request else None
        if request is None or attempt is None or not attempt.out:
            return
        world = self.world
        if world.network.is_cut(self.zone, server.build.zone) or server.is_silent:
            return  # nothing comes back
        back = world.network.delay(self.zone, server.build.zone)
        if not server.is_up or server.is_draining:
            outcome = Outcome.REJECTED if server.is_up else Outcome.RESET
            world.clock.after(back, self._over, number, index, outcome)
            return

        def ended(outcome: Outcome) -> None:
            if not world.network.is_cut(self.zone, server.build.zone):
                world.clock.after(back, self._over, number, index, outcome)

        attempt.cancel = world.serve(server, request.ask, timeout, ended)

    def _over(self, number: int, index: int, outcome: Outcome) -> None:
        """An attempt has its outcome; the first served one is the answer."""
        request = self._requests.get(number)
        attempt = request.tries[index] if request else None
        if request is None or attempt is None or not attempt.out or not self.alive:
            return
        attempt.out = False
        attempt.may_have_run = outcome not in interface.OUTCOMES_WITHOUT_EFFECT
        if attempt.timer:
            attempt.timer.cancel()
        self.out[attempt.server] -= 1
        if outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED):
            self._idle.setdefault(attempt.server, []).append(self.world.clock.now)
        else:
            server = self.world.servers[attempt.server]
            server.connections = max(server.connections - 1, 0)
            if attempt.cancel:
                self.world.clock.after(self.world.network.delay(self.zone, server.build.zone), attempt.cancel)
        if outcome is Outcome.SERVED and request.open:
            self._answer(number, request, "served", 0.0)
        self.handle_event(interface.AttemptEnded(number, index, attempt.server, outcome, not request.open))
        self._forget(number)
