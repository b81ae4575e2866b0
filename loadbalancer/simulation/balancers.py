"""Simulated balancers: run a policy, send its attempts over connections and report their outcomes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from loadbalancer import interface
from loadbalancer.interface import Outcome
from loadbalancer.simulation.clock import Clock, ScheduledCall
from loadbalancer.simulation.discovery import DiscoveryModel
from loadbalancer.simulation.network import Network
from loadbalancer.simulation.rules import RuleChecker
from loadbalancer.simulation.servers import Server
from loadbalancer.simulation.utility import Ledger


class Policy(Protocol):
    """The interface of a policy, as `loadbalancer.policy.Balancer` has it."""

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """Handle an event and return the actions to execute."""


@dataclass(slots=True)
class IncomingRequest:
    """A request as a balancer receives it; `work` is its work in each tier, in ms."""

    class_name: str
    work: tuple[float, float]
    calls: int
    remaining_ms: float
    tenant: str
    is_retry: bool
    is_unsafe: bool  # it must not run twice
    zone: str
    respond: Callable[[str, float], None]  # 'served', 'refused', 'failed' or 'lost', and Retry-After in ms


@dataclass(slots=True)
class Attempt:
    """An attempt that a balancer has sent."""

    server: str
    in_flight: bool = True
    may_have_run: bool = True
    cancel: Callable[[], None] | None = None
    timer: ScheduledCall | None = None


@dataclass(slots=True)
class ActiveRequest:
    """A request that this balancer has accepted."""

    incoming: IncomingRequest
    deadline_ms: float
    is_open: bool = True
    attempts: list[Attempt] = field(default_factory=list)


class BalancerEnvironment(Protocol):
    """The simulated fleet, as a balancer needs it."""

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
        self, server: Server, incoming: IncomingRequest, timeout: float, on_end: Callable[[Outcome], None]
    ) -> Callable[[], None] | None:
        """Run an attempt that reached a server; return what cancels it."""

    def send_health_check(self, balancer: SimulatedBalancer, name: str) -> None:
        """Send a health check to a server."""


class SimulatedBalancer:
    """One balancer: a policy, and the requests and connections that it controls."""

    def __init__(self, fleet: BalancerEnvironment, name: str, tier: int, zone: str, policy: Policy) -> None:
        self.fleet, self.name, self.tier, self.zone = fleet, name, tier, zone
        self.policy = policy
        self.is_alive = True
        self.announced_readiness: dict[
            str, tuple[interface.Readiness, float]
        ] = {}  # by the endpoint list, and since when
        self.known_start_ms: dict[str, float] = {}
        self._requests: dict[int, ActiveRequest] = {}
        self._last_request_id = 0
        self._idle_connections: dict[str, list[float]] = {}
        self.outstanding: dict[str, int] = {}

    # ---- events ---------------------------------------------------------------------------------

    def handle_event(self, event: interface.Event) -> None:
        """Pass an event to the policy and execute its actions."""
        if self.is_alive:
            for action in self.policy.handle(event, self.fleet.clock.now):
                self._execute(action)

    def accept(self, incoming: IncomingRequest) -> int:
        """Accept a request; return its identifier, by which the client can disconnect."""
        self._last_request_id += 1
        request_id = self._last_request_id
        now = self.fleet.clock.now
        self._requests[request_id] = ActiveRequest(incoming, now + incoming.remaining_ms)
        self.fleet.rules.record_request(self, request_id, now + incoming.remaining_ms)
        self.handle_event(
            interface.RequestArrived(
                request_id,
                incoming.class_name,
                max(incoming.remaining_ms, 0.0),
                incoming.tenant or None,
                incoming.is_retry,
            )
        )
        return request_id

    def disconnect(self, request_id: int) -> None:
        """End a request whose client disconnected."""
        request = self._requests.get(request_id)
        if request is not None and request.is_open:
            request.is_open = False
            self.fleet.rules.record_disconnect(self, request_id)
            self.handle_event(interface.ClientDisconnected(request_id))
            self._discard_if_over(request_id)

    def handle_list_update(self, update: interface.EndpointListUpdate) -> None:
        """Handle the endpoint list, or a change of it."""
        now = self.fleet.clock.now
        if update.kind is interface.UpdateKind.FULL_SNAPSHOT:
            listed = {m.server for m in update.endpoints}
            for name in [n for n in self.announced_readiness if n not in listed]:
                self.announced_readiness[name] = (interface.Readiness.DEAD, now)
        for member in update.endpoints:
            known = self.announced_readiness.get(member.server)
            if known is None or known[0] is not member.readiness:
                self.announced_readiness[member.server] = (member.readiness, now)
            if member.started_at_ms > 0:
                self.known_start_ms[member.server] = member.started_at_ms
        self.handle_event(update)

    def kill(self) -> None:
        """Kill the balancer; all its requests are lost."""
        self.is_alive = False
        for request_id, request in list(self._requests.items()):
            for attempt in request.attempts:
                if attempt.cancel:
                    attempt.cancel()
            if request.is_open:
                request.is_open = False
                self.fleet.rules.record_response(self, request_id)
                request.incoming.respond("lost", 0.0)
        self._requests.clear()

    # ---- actions --------------------------------------------------------------------------------

    def _execute(self, action: interface.Action) -> None:
        clock = self.fleet.clock
        match action:
            case interface.SendAttempt():
                self._send(action)
            case interface.SetTimer(at, token):
                clock.at(at, self.handle_event, interface.TimerExpired(token))
            case interface.Reject(request_id, after_ms):
                self._end_unserved(request_id, "refused", after_ms)
            case interface.Fail(request_id):
                self._end_unserved(request_id, "failed", 0.0)
            case interface.CancelAttempt(request_id, index):
                request = self._requests.get(request_id)
                if request and request.attempts[index].in_flight:
                    self._end_attempt(request_id, index, Outcome.CANCELLED)
            case interface.CloseIdleConnections(server):
                self._idle_connections.pop(server, None)
            case interface.WatchEndpointList():
                self.fleet.discovery.request_list(self)
            case interface.SendHealthCheck(server):
                self.fleet.send_health_check(self, server)
            case interface.LogMessage():
                pass

    def _end_unserved(self, request_id: int, ending: str, after_ms: float) -> None:
        request = self._requests.get(request_id)
        if request is None or not request.is_open:
            return
        if (
            ending == "refused"
            and request.incoming.is_unsafe
            and any(t.may_have_run for t in request.attempts)
        ):
            self.fleet.rules.record_violation("refused what may have run", self.name, request_id)
        self._respond(request_id, request, ending, after_ms)

    def _respond(self, request_id: int, request: ActiveRequest, ending: str, after_ms: float) -> None:
        request.is_open = False
        self.fleet.rules.record_response(self, request_id)
        request.incoming.respond(ending, after_ms)
        self._discard_if_over(request_id)

    def _discard_if_over(self, request_id: int) -> None:
        request = self._requests.get(request_id)
        if request and not request.is_open and not any(t.in_flight for t in request.attempts):
            del self._requests[request_id]

    def _send(self, action: interface.SendAttempt) -> None:
        fleet, request_id, name = self.fleet, action.request_id, action.server
        request = self._requests.get(request_id)
        if request is None:
            fleet.rules.record_violation("sent a request that is over", self.name, request_id)
            return
        if request.incoming.is_unsafe and any(t.may_have_run for t in request.attempts):
            fleet.rules.record_violation("sent again what may have run", self.name, request_id)
        fleet.rules.record_send(self, name)
        index = len(request.attempts)
        attempt = Attempt(name)
        request.attempts.append(attempt)
        self.outstanding[name] = self.outstanding.get(name, 0) + 1
        left = request.deadline_ms - fleet.clock.now
        timeout = min(action.timeout_ms or left, left)
        attempt.timer = fleet.clock.after(
            max(timeout, 0.0), self._end_attempt, request_id, index, Outcome.TIMED_OUT
        )
        server = fleet.servers[name]
        zone = server.spec.zone
        fleet.ledger.record_attempt(
            zone, fleet.clock.now, crosses_zones=self.zone != zone, is_from_front=self.tier == 0
        )
        idle = self._idle_connections.get(name)
        if idle:
            stale = fleet.clock.now - idle.pop() >= fleet.idle_ms
            delay = fleet.network.delay(self.zone, server.spec.zone)
            if stale:
                fleet.clock.after(2 * delay, self._end_attempt, request_id, index, Outcome.RESET)
            else:
                fleet.clock.after(delay, self._deliver, request_id, index, server, timeout)
        else:
            self._connect(request_id, index, server, timeout)

    def _connect(self, request_id: int, index: int, server: Server, timeout: float) -> None:
        fleet = self.fleet
        delay = fleet.network.delay(self.zone, server.spec.zone)
        if fleet.network.is_cut(self.zone, server.spec.zone) or server.is_silent:
            fleet.clock.after(fleet.connect_ms, self._end_attempt, request_id, index, Outcome.CONNECT_FAILED)
        elif not server.is_up:
            fleet.clock.after(2 * delay, self._end_attempt, request_id, index, Outcome.CONNECT_FAILED)
        elif server.connections >= server.spec.connections:
            fleet.clock.after(2 * delay, self._end_attempt, request_id, index, Outcome.REJECTED)
        else:
            server.connections += 1
            server.add_work(fleet.handshake_ms)
            wait = delay * (1 + 2 * fleet.handshake_rtts)
            fleet.clock.after(wait, self._deliver, request_id, index, server, timeout)

    def _deliver(self, request_id: int, index: int, server: Server, timeout: float) -> None:
        """Deliver an attempt to its server."""
        request = self._requests.get(request_id)
        attempt = request.attempts[index] if request else None
        if request is None or attempt is None or not attempt.in_flight:
            return
        fleet = self.fleet
        if fleet.network.is_cut(self.zone, server.spec.zone) or server.is_silent:
            return  # no response gets back
        back = fleet.network.delay(self.zone, server.spec.zone)
        if not server.is_up or server.is_draining:
            outcome = Outcome.REJECTED if server.is_up else Outcome.RESET
            fleet.clock.after(back, self._end_attempt, request_id, index, outcome)
            return

        def on_end(outcome: Outcome) -> None:
            if not fleet.network.is_cut(self.zone, server.spec.zone):
                fleet.clock.after(back, self._end_attempt, request_id, index, outcome)

        attempt.cancel = fleet.serve(server, request.incoming, timeout, on_end)

    def _end_attempt(self, request_id: int, index: int, outcome: Outcome) -> None:
        """End an attempt with its outcome; the first served one is the response."""
        request = self._requests.get(request_id)
        attempt = request.attempts[index] if request else None
        if request is None or attempt is None or not attempt.in_flight or not self.is_alive:
            return
        attempt.in_flight = False
        attempt.may_have_run = outcome not in interface.OUTCOMES_WITHOUT_EFFECT
        if attempt.timer:
            attempt.timer.cancel()
        self.outstanding[attempt.server] -= 1
        if outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED):
            self._idle_connections.setdefault(attempt.server, []).append(self.fleet.clock.now)
        else:
            server = self.fleet.servers[attempt.server]
            server.connections = max(server.connections - 1, 0)
            if attempt.cancel:
                self.fleet.clock.after(self.fleet.network.delay(self.zone, server.spec.zone), attempt.cancel)
        if outcome is Outcome.SERVED and request.is_open:
            self._respond(request_id, request, "served", 0.0)
        self.handle_event(
            interface.AttemptEnded(request_id, index, attempt.server, outcome, not request.is_open)
        )
        self._discard_if_over(request_id)
