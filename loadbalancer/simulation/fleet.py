"""Simulate a whole fleet for one play: build its parts, run them, and compute the utility."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from loadbalancer import interface
from loadbalancer.interface import Endpoint, Idempotency, Outcome, RequestClass, Settings, Tenant
from loadbalancer.simulation.balancers import IncomingRequest, Policy, SimulatedBalancer
from loadbalancer.simulation.clients import Arrival, Client, draw_arrivals
from loadbalancer.simulation.clock import Clock
from loadbalancer.simulation.discovery import DiscoveryModel
from loadbalancer.simulation.faults import FaultInjector
from loadbalancer.simulation.network import Network
from loadbalancer.simulation.rules import (
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_MS,
    RESPONSE_GRACE_MS,
    RuleChecker,
    RuleViolation,
)
from loadbalancer.simulation.scenario import DrawnScenario, Tier, drawn_value
from loadbalancer.simulation.servers import Job, Server, ServerSpec
from loadbalancer.simulation.utility import Ledger, Utility

START_MS = 1_000_000.0  # at which a play begins; in endpoint lists 0 stands for long ago
ERROR_RESPONSE_MS = 2.0  # after which a server responds with an error
SAMPLE_INTERVAL_MS = 250.0
WORK_BEFORE_CALLS = 0.5  # fraction of a first-tier server's work that comes before its calls to the next tier
HEALTH_CHECK_WORK_MS = 3.5

PolicyFactory = Callable[[Settings, int], Policy]


@dataclass(frozen=True)
class Sample:
    """The state of the fleet at one time of a play."""

    at_ms: float
    waiting: tuple[int, ...]  # requests that need a core, at each initial first-tier server
    choked_servers: int
    outstanding: int  # attempts of front balancers in flight


@dataclass
class Result:
    """The result of a play."""

    utility: Utility
    violations: list[RuleViolation]
    samples: list[Sample]
    latencies_ms: list[tuple[str, float, str]]  # class, time from the first attempt to the end, ending
    requested_at_ms: list[float]
    attempts: int
    choke_count: int
    steps: int
    log: list[tuple[float, str]] = field(default_factory=list)


class SimulatedFleet:
    """The fleet of one play; it can run once."""

    def __init__(self, drawn: DrawnScenario, policy: PolicyFactory) -> None:
        self.drawn, self._create_policy = drawn, policy
        scenario = drawn.scenario
        self.clock = Clock(START_MS)
        self.network, self.rules = Network(drawn), RuleChecker(self.clock)
        self.discovery = DiscoveryModel(self.clock, drawn)
        self.zones = scenario.fleet.zones
        self.idle_ms = drawn_value(scenario.network.idle_s) * 1_000
        self.connect_ms = drawn_value(scenario.network.connect_timeout_ms)
        self.handshake_rtts = drawn_value(scenario.network.handshake_rtts)
        self.handshake_ms = drawn_value(scenario.network.handshake_ms)
        self.retries, self.attempt_timeout_fraction = (
            int(drawn_value(scenario.clients.retries)),
            drawn_value(scenario.clients.try_share),
        )
        self.backoff_ms = drawn_value(scenario.clients.backoff_ms)
        self.servers: dict[str, Server] = {}
        self.tiers: list[list[Server]] = [[], []]
        self._server_rng, self._runtime_rng = drawn.stream("servers"), drawn.stream("errors")
        self._choke = scenario.choke if self._server_rng.uniform() < scenario.choke.share else None
        self._build_fleet()
        self._executions: dict[str, dict[int, Execution]] = {}
        self._last_execution = 0
        self.inner_balancers: dict[str, SimulatedBalancer] = {}
        self.front_balancers: list[SimulatedBalancer] = []
        self._killed_at_ms: dict[str, float] = {}
        self.capacity = self._capacity()
        self._settings = self._shared_settings()
        self.ledger = Ledger(drawn, {t.name: t.quota_per_s for t in self._settings.tenants})
        self._samples: list[Sample] = []

    # ---- building -------------------------------------------------------------------------------

    def _build_fleet(self) -> None:
        scenario = self.drawn.scenario
        count = self._first_tier_count
        for tier, plan in enumerate((scenario.tier, scenario.inner)):
            server_count = (
                count if tier == 0 else max(round(count * drawn_value(scenario.fleet.inner_per_server)), 1)
            )
            for index in range(server_count):
                self._add_server(tier, plan, self.zones[index % len(self.zones)])
            for server in self.tiers[tier]:
                self.discovery.add_initial(tier, self.make_endpoint(server, interface.Readiness.READY))

    def _add_server(self, tier: int, plan: Tier, zone: str) -> Server:
        rng, parts = self._server_rng, plan.core_parts
        kind = int(rng.choice(len(parts), p=[p / sum(parts) for p in parts]))
        cores = plan.cores[kind]
        choke = self._choke
        spec = ServerSpec(
            name=f"s-{rng.integers(1 << 32):08x}",
            tier=tier,
            zone=zone,
            cores=cores,
            speed=drawn_value(plan.speed[kind]) * float(rng.lognormal(0, drawn_value(plan.speed_cv))),
            slots=max(round(drawn_value(plan.slots_per_core) * cores), 1),
            queue=round(drawn_value(plan.queue_per_core) * cores),
            connections=round(drawn_value(plan.connections_per_core) * cores),
            thrash=drawn_value(plan.thrash),
            thrash_at=drawn_value(plan.thrash_at),
            error_rate=drawn_value(plan.error_rate),
            initial_capacity=drawn_value(plan.cold_from),
            warm_up_ms=drawn_value(plan.cold_s) * 1_000,
            choke_threshold=drawn_value(choke.at) if choke else math.inf,
            choke_delay_ms=drawn_value(choke.over_s) * 1_000 if choke else 0.0,
            choke_slowdown=drawn_value(choke.slower) if choke else 1.0,
            choke_recovery_threshold=drawn_value(choke.below) if choke else 0.0,
            choke_recovery_ms=drawn_value(choke.rest_s) * 1_000 if choke else 0.0,
            max_choke_ms=drawn_value(choke.most_s) * 1_000 if choke else 0.0,
        )
        server = Server(self.clock, spec)
        self.servers[spec.name] = server
        self.tiers[tier].append(server)
        return server

    def make_endpoint(self, server: Server, readiness: interface.Readiness) -> Endpoint:
        """Return a server's entry in the endpoint list."""
        spec = server.spec
        return Endpoint(spec.name, readiness, spec.zone, 0, float(spec.cores), server.started_at)

    def _capacity(self) -> float:
        """Return the capacity of the fleet, in requests per second without retries."""
        scenario = self.drawn.scenario
        shares = [drawn_value(c.share) for c in scenario.classes]
        work = sum(s * drawn_value(c.work_ms) for s, c in zip(shares, scenario.classes, strict=True)) / sum(
            shares
        )
        calls = drawn_value(scenario.tier.calls) / max(drawn_value(scenario.tier.calls), 1.0)
        parts = (drawn_value(scenario.tier.work), drawn_value(scenario.inner.work) * calls)
        capacities = [sum(s.capacity() for s in tier) for tier in self.tiers]
        return min(1_000 * c / (work * p) for c, p in zip(capacities, parts, strict=True) if p > 0)

    def _shared_settings(self) -> Settings:
        scenario = self.drawn.scenario
        quota = drawn_value(scenario.quota_of_capacity) * self.capacity
        return Settings(
            classes=tuple(
                RequestClass(c.name, c.aim_ms, c.deadline_ms, Idempotency(c.effect), priority_weight=c.worth)
                for c in scenario.classes
            ),
            tenants=tuple(Tenant(t.name, t.share * quota) for t in scenario.tenants),
            polls_endpoint_list=True,
            poll_interval_ms=10_000.0,
            max_attempts=5,
            may_cancel=True,
            may_hedge=True,
            may_health_check=True,
            max_retry_after_ms=2_000.0,
            slow_start_ms=max(s.spec.warm_up_ms for s in self.servers.values()),
            slow_start_initial_fraction=min(s.spec.initial_capacity for s in self.servers.values()),
            slow_start_overload_factor=OVERLOAD_FACTOR,
            slow_start_window_ms=OVERLOAD_WINDOW_MS,
            over_quota_weight_factor=scenario.over_share_worth,
            tick_ms=2.0,
            load_report_fields=("concurrent", "mean_ms"),
        )

    def _create_balancer(
        self, name: str, tier: int, zone: str, index: int, balancers: int, start: int = 0
    ) -> SimulatedBalancer:
        settings = replace(
            self._settings, tier=tier, zone=zone, balancer_index=index, balancer_count=balancers
        )
        seed = int(self.drawn.stream(f"{name}/{start}").integers(1 << 62))
        balancer = SimulatedBalancer(self, name, tier, zone, self._create_policy(settings, seed))
        balancer.handle_list_update(self.discovery.snapshot(tier, interface.UpdateKind.CACHED))
        return balancer

    # ---- events of a play -----------------------------------------------------------------------

    def run(self) -> Result:
        """Run the play, and on until every request has ended."""
        scenario = self.drawn.scenario
        front_count = max(round(drawn_value(scenario.fleet.balancers)), 1)
        for index in range(front_count):
            zone = self.zones[index % len(self.zones)]
            self.front_balancers.append(self._create_balancer(f"n{index}", 0, zone, index, front_count))
        for index, server in enumerate(self.tiers[0]):
            self._start_inner_balancer(server, index)
        faults = FaultInjector(self)
        bursts = [
            (
                drawn_value(t.at_s) * 1_000,
                (drawn_value(t.at_s) + drawn_value(t.for_s)) * 1_000,
                drawn_value(t.size),
            )
            for t in scenario.trouble
            if t.kind == "burst"
        ]
        arrivals = draw_arrivals(self.drawn, drawn_value(scenario.load.of_capacity) * self.capacity, bursts)
        client_draws = self.drawn.stream("clients").uniform(size=(len(arrivals), 2)).tolist()
        for arrival, draws in zip(arrivals, client_draws, strict=True):
            self.clock.at(START_MS + arrival.at, self._start_client, arrival, draws)
        length = drawn_value(scenario.load.seconds) * 1_000
        for step in range(int(length / SAMPLE_INTERVAL_MS) + 1):
            self.clock.at(START_MS + step * SAMPLE_INTERVAL_MS, self._sample)
        self.clock.run(
            START_MS + length + 2 * max(c.deadline_ms for c in scenario.classes) + RESPONSE_GRACE_MS
        )
        return self._collect_result(faults, length)

    def _start_client(self, arrival: Arrival, draws: list[float]) -> None:
        scenario = self.drawn.scenario
        cls = scenario.classes[arrival.cls]
        tenant = scenario.tenants[arrival.tenant].name if arrival.tenant >= 0 else ""
        requested = self.ledger.record_requested_value(
            arrival.at, cls.name, tenant, arrival.work, cls.worth, cls.aim_ms
        )
        honours_retry_after = draws[0] < drawn_value(scenario.clients.honour)
        arrival_now = Arrival(
            self.clock.now, arrival.cls, arrival.tenant, arrival.zone, arrival.work, arrival.calls
        )
        Client(
            self,
            arrival_now,
            requested,
            honours_retry_after,
            draws[1] < drawn_value(scenario.clients.impatient),
        ).start_attempt()

    def choose_balancer(self, zone: str) -> SimulatedBalancer | None:
        """Choose a balancer for an attempt, of the client's zone if possible, and not known to be dead."""
        notice = drawn_value(self.drawn.scenario.clients.notice_s) * 1_000
        candidates = [
            h
            for h in self.front_balancers
            if h.is_alive or self.clock.now - self._killed_at_ms[h.name] < notice
        ]
        in_zone = [h for h in candidates if h.zone == zone] or candidates
        return in_zone[int(self._runtime_rng.integers(len(in_zone)))] if in_zone else None

    def serve(
        self, server: Server, incoming: IncomingRequest, timeout: float, on_end: Callable[[Outcome], None]
    ) -> Callable[[], None] | None:
        """Run an attempt that reached a server; return what cancels it."""
        senders = [h for h in self.front_balancers if h.tier == server.spec.tier] or list(
            self.inner_balancers.values()
        )
        is_sender_informed = server.started_at > 0 and any(
            h.known_start_ms.get(server.spec.name) == server.started_at for h in senders
        )
        work_ms = incoming.work[server.spec.tier]
        if server.started_at and self.rules.record_work(
            server, work_ms, is_sender_informed=is_sender_informed
        ):
            self.stop(server)  # overloaded while it warms up: it crashes, and stays down
            return None
        if server.error_rate and self._runtime_rng.uniform() < server.error_rate:
            self.clock.after(ERROR_RESPONSE_MS, on_end, Outcome.ERROR)
            return None
        self._last_execution += 1
        execution = Execution(self, self._last_execution, server, incoming, timeout, on_end)
        self._executions.setdefault(server.spec.name, {})[self._last_execution] = execution
        if not server.submit(execution.job):
            execution.end(Outcome.REJECTED)
            return None
        return execution.cancel

    def remove_execution(self, execution: Execution) -> None:
        """Remove an execution that has ended."""
        self._executions[execution.server.spec.name].pop(execution.number, None)

    def send_health_check(self, balancer: SimulatedBalancer, name: str) -> None:
        """Send a health check to a server, which costs it work."""
        server = self.servers[name]
        self.ledger.health_check_count += 1
        round_trip_ms = 2 * self.network.delay(balancer.zone, server.spec.zone)
        if not server.is_up or self.network.is_cut(balancer.zone, server.spec.zone):
            self.clock.after(
                150.0, balancer.handle_event, interface.HealthCheckEnded(name, Outcome.TIMED_OUT)
            )
            return
        server.add_work(HEALTH_CHECK_WORK_MS)
        mean_ms = 1 / server.capacity() * server.spec.cores if server.capacity() else 0.0
        report = (float(server.in_flight), mean_ms)
        self.clock.after(
            round_trip_ms + HEALTH_CHECK_WORK_MS,
            balancer.handle_event,
            interface.HealthCheckEnded(name, Outcome.SERVED, report),
        )

    def stop(self, server: Server, silent: bool = False) -> None:
        """Stop a server, and the balancer beside it."""
        executions = list(self._executions.get(server.spec.name, {}).values())
        server.stop(silent)
        for execution in executions:
            execution.abort(silent)
        if balancer := self.inner_balancers.pop(server.spec.name, None):
            balancer.kill()

    def start_anew(self, server: Server) -> None:
        """Start a stopped server again, cold, with a balancer that has no state."""
        server.start_anew()
        if server.spec.tier == 0:
            self._start_inner_balancer(server, self.tiers[0].index(server), start=int(self.clock.now))

    def add_replacement(self, old: Server) -> None:
        """Add a new server in place of an old one."""
        scenario = self.drawn.scenario
        plan = scenario.tier if old.spec.tier == 0 else scenario.inner
        server = self._add_server(old.spec.tier, plan, old.spec.zone)
        server.started_at = self.clock.now
        if old.spec.tier == 0:
            self._start_inner_balancer(server, self.tiers[0].index(old), start=int(self.clock.now))
        self.discovery.schedule_change(old.spec.tier, self.make_endpoint(server, interface.Readiness.READY))

    def kill_front_balancer(self, index: int) -> None:
        """Kill a front balancer; clients are sent to it until that is noticed."""
        balancer = self.front_balancers[index]
        self._killed_at_ms[balancer.name] = self.clock.now
        balancer.kill()

    def start_front_balancer(self, index: int) -> None:
        """Start a killed front balancer again, without state."""
        old = self.front_balancers[index]
        start = int(self.clock.now)
        self.front_balancers[index] = self._create_balancer(
            old.name, 0, old.zone, index, len(self.front_balancers), start
        )

    def _start_inner_balancer(self, server: Server, index: int, start: int = 0) -> None:
        name, count = f"{server.spec.name}/b", self._first_tier_count
        self.inner_balancers[server.spec.name] = self._create_balancer(
            name, 1, server.spec.zone, index % count, count, start
        )

    # ---- results --------------------------------------------------------------------------------

    def _sample(self) -> None:
        first = self.tiers[0]
        self._samples.append(
            Sample(
                self.clock.now - START_MS,
                tuple(s.waiting for s in first[: self._first_tier_count]),
                sum(s.is_choked for tier in self.tiers for s in tier),
                sum(sum(h.outstanding.values()) for h in self.front_balancers),
            )
        )

    @property
    def _first_tier_count(self) -> int:
        return max(round(drawn_value(self.drawn.scenario.fleet.servers)), 1)

    def _collect_result(self, faults: FaultInjector, length: float) -> Result:
        self.rules.record_unanswered()
        servers = list(self.servers.values())
        choked = sum(s.choked_ms for s in servers) / (length * len(servers))
        utility = self.ledger.compute_utility(sum(s.completed_work_ms for s in servers), min(choked, 1.0))
        return Result(
            utility,
            self.rules.violations,
            self._samples,
            [(w.class_name, w.latency_ms, w.ending) for w in self.ledger.requested_values],
            [w.requested_at_ms for w in self.ledger.requested_values],
            self.ledger.attempts,
            sum(s.choke_count for s in servers),
            self.clock.steps,
            [(at - START_MS, what) for at, what in faults.log],
        )


class Execution:
    """A request that a server executes: its slot, its calls to the next tier, and its end."""

    __slots__ = (
        "_call_id",
        "_calls_left",
        "_deadline_ms",
        "_fleet",
        "_incoming",
        "_on_end",
        "job",
        "number",
        "server",
    )

    def __init__(
        self,
        fleet: SimulatedFleet,
        number: int,
        server: Server,
        incoming: IncomingRequest,
        timeout: float,
        on_end: Callable[[Outcome], None],
    ) -> None:
        self._fleet, self.number, self.server, self._incoming = fleet, number, server, incoming
        self._deadline_ms, self._on_end = fleet.clock.now + timeout, on_end
        self._calls_left = incoming.calls if server.spec.tier == 0 else 0
        self._call_id = 0
        self.job = Job(0.0, self._begin, self._handle_work_done)

    def _begin(self, job: Job) -> None:
        work = self._incoming.work[self.server.spec.tier]
        self.server.start(job, work * (WORK_BEFORE_CALLS if self._calls_left else 1.0))

    def _handle_work_done(self, job: Job) -> None:
        if self._calls_left:
            self._call_next_tier()
        else:
            self.end(Outcome.SERVED)

    def _call_next_tier(self) -> None:
        incoming, balancer = self._incoming, self._fleet.inner_balancers.get(self.server.spec.name)
        if balancer is None:
            self.end(Outcome.ERROR)
            return
        left = max(self._deadline_ms - self._fleet.clock.now, 0.0)
        inner = IncomingRequest(
            incoming.class_name,
            incoming.work,
            0,
            left,
            incoming.tenant,
            False,
            incoming.is_unsafe,
            balancer.zone,
            self._handle_call_ended,
        )
        self._call_id = -1
        call = balancer.accept(inner)
        if self._call_id == -1:
            self._call_id = call

    def _handle_call_ended(self, ending: str, away: float) -> None:
        self._call_id = 0
        if not self.job.is_alive:
            return
        if ending != "served":
            self.end(Outcome.ERROR)
            return
        self._calls_left -= 1
        if self._calls_left:
            self._call_next_tier()
        else:
            self.server.start(self.job, self._incoming.work[0] * (1 - WORK_BEFORE_CALLS))

    def end(self, outcome: Outcome) -> None:
        """Release the slot, and report the outcome to the balancer."""
        self._fleet.remove_execution(self)
        self.server.release(self.job)
        self._on_end(outcome)

    def cancel(self) -> None:
        """Cancel the execution, and its call to the next tier that is in flight."""
        if self.job.is_alive:
            self._fleet.remove_execution(self)
            self.server.release(self.job)
            balancer = self._fleet.inner_balancers.get(self.server.spec.name)
            if self._call_id > 0 and balancer is not None:
                balancer.disconnect(self._call_id)

    def abort(self, silent: bool) -> None:
        """End it with its server; the balancer sees a reset, or nothing if the server stopped silently."""
        self._fleet.remove_execution(self)
        self.job.is_alive = False
        if not silent:
            self._on_end(Outcome.RESET)
