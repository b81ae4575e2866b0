"""One day of the whole fleet: builds its parts, lets them meet, and tells what it was worth."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from loadbalancer import interface
from loadbalancer.interface import Endpoint, Idempotency, Outcome, RequestClass, Settings, Tenant
from loadbalancer.simulation.balancers import Ask, Decisions, Host
from loadbalancer.simulation.clients import Arrival, Client, arrivals
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
from loadbalancer.simulation.scenario import Day, Tier, number
from loadbalancer.simulation.servers import Job, Server, ServerSpec
from loadbalancer.simulation.utility import Ledger, Utility

START_MS = 1_000_000.0  # the day begins here: 0 stands for long ago in lists
ERROR_MS = 2.0  # a failing server answers so soon
SAMPLE_MS = 250.0
BEFORE_CALLS = 0.5  # the part of a first-tier server's work that comes before its calls
PROBE_WORK_MS = 3.5

Policy = Callable[[Settings, int], Decisions]


@dataclass(frozen=True)
class Sample:
    """How things stood at a moment of the day."""

    at_ms: float
    waiting: tuple[int, ...]  # calls that want a core, at each first-tier server there was at the start
    choked: int
    out: int  # attempts of front balancers


@dataclass
class Result:
    """What came of a day."""

    utility: Utility
    violations: list[RuleViolation]
    samples: list[Sample]
    took_ms: list[tuple[str, float, str]]  # class, time from the first try to its end, ending
    arrived_ms: list[float]
    attempts: int
    choked_times: int
    steps: int
    log: list[tuple[float, str]] = field(default_factory=list)


class SimulatedFleet:
    """A day, ready to run once."""

    def __init__(self, day: Day, policy: Policy) -> None:
        self.day, self._policy = day, policy
        scenario = day.scenario
        self.clock = Clock(START_MS)
        self.network, self.rules = Network(day), RuleChecker(self.clock)
        self.discovery = DiscoveryModel(self.clock, day)
        self.zones = scenario.fleet.zones
        self.idle_ms = number(scenario.network.idle_s) * 1_000
        self.connect_ms = number(scenario.network.connect_timeout_ms)
        self.handshake_rtts = number(scenario.network.handshake_rtts)
        self.handshake_ms = number(scenario.network.handshake_ms)
        self.retries, self.try_share = (
            int(number(scenario.clients.retries)),
            number(scenario.clients.try_share),
        )
        self.backoff_ms = number(scenario.clients.backoff_ms)
        self.servers: dict[str, Server] = {}
        self.tiers: list[list[Server]] = [[], []]
        self._rng, self._chance = day.stream("servers"), day.stream("errors")
        self._choke = scenario.choke if self._rng.uniform() < scenario.choke.share else None
        self._build_fleet()
        self._visits: dict[str, dict[int, Visit]] = {}
        self._visit = 0
        self.inner_balancers: dict[str, Host] = {}
        self.front_balancers: list[Host] = []
        self._died: dict[str, float] = {}
        self.capacity = self._capacity()
        self._settings = self._shared_settings()
        self.ledger = Ledger(day, {t.name: t.quota_per_s for t in self._settings.tenants})
        self._samples: list[Sample] = []

    # ---- building -------------------------------------------------------------------------------

    def _build_fleet(self) -> None:
        scenario = self.day.scenario
        count = self._first_count
        for tier, plan in enumerate((scenario.tier, scenario.inner)):
            many = count if tier == 0 else max(round(count * number(scenario.fleet.inner_per_server)), 1)
            for index in range(many):
                self._add(tier, plan, self.zones[index % len(self.zones)])
            for server in self.tiers[tier]:
                self.discovery.add_initial(tier, self.member(server, interface.Readiness.READY))

    def _add(self, tier: int, plan: Tier, zone: str) -> Server:
        rng, parts = self._rng, plan.core_parts
        kind = int(rng.choice(len(parts), p=[p / sum(parts) for p in parts]))
        cores = plan.cores[kind]
        choke = self._choke
        build = ServerSpec(
            name=f"s-{rng.integers(1 << 32):08x}",
            tier=tier,
            zone=zone,
            cores=cores,
            speed=number(plan.speed[kind]) * float(rng.lognormal(0, number(plan.speed_cv))),
            slots=max(round(number(plan.slots_per_core) * cores), 1),
            queue=round(number(plan.queue_per_core) * cores),
            connections=round(number(plan.connections_per_core) * cores),
            thrash=number(plan.thrash),
            thrash_at=number(plan.thrash_at),
            error_rate=number(plan.error_rate),
            initial_capacity=number(plan.cold_from),
            warm_up_ms=number(plan.cold_s) * 1_000,
            choke_at=number(choke.at) if choke else math.inf,
            choke_over_ms=number(choke.over_s) * 1_000 if choke else 0.0,
            choke_slower=number(choke.slower) if choke else 1.0,
            choke_below=number(choke.below) if choke else 0.0,
            choke_rest_ms=number(choke.rest_s) * 1_000 if choke else 0.0,
            choke_most_ms=number(choke.most_s) * 1_000 if choke else 0.0,
        )
        server = Server(self.clock, build)
        self.servers[build.name] = server
        self.tiers[tier].append(server)
        return server

    def member(self, server: Server, readiness: interface.Readiness) -> Endpoint:
        """The entry of a server in the list."""
        build = server.build
        return Endpoint(build.name, readiness, build.zone, 0, float(build.cores), server.started_at)

    def _capacity(self) -> float:
        """First tries a second that the fleet can do."""
        scenario = self.day.scenario
        shares = [number(c.share) for c in scenario.classes]
        work = sum(s * number(c.work_ms) for s, c in zip(shares, scenario.classes, strict=True)) / sum(shares)
        calls = number(scenario.tier.calls) / max(number(scenario.tier.calls), 1.0)
        parts = (number(scenario.tier.work), number(scenario.inner.work) * calls)
        can = [sum(s.capacity() for s in tier) for tier in self.tiers]
        return min(1_000 * c / (work * p) for c, p in zip(can, parts, strict=True) if p > 0)

    def _shared_settings(self) -> Settings:
        scenario = self.day.scenario
        quota = number(scenario.quota_of_capacity) * self.capacity
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
            slow_start_ms=max(s.build.warm_up_ms for s in self.servers.values()),
            slow_start_initial_fraction=min(s.build.initial_capacity for s in self.servers.values()),
            slow_start_overload_factor=OVERLOAD_FACTOR,
            slow_start_window_ms=OVERLOAD_WINDOW_MS,
            over_quota_weight_factor=scenario.over_share_worth,
            tick_ms=2.0,
            load_report_fields=("concurrent", "mean_ms"),
        )

    def _host(self, name: str, tier: int, zone: str, index: int, balancers: int, start: int = 0) -> Host:
        settings = replace(
            self._settings, tier=tier, zone=zone, balancer_index=index, balancer_count=balancers
        )
        seed = int(self.day.stream(f"{name}/{start}").integers(1 << 62))
        host = Host(self, name, tier, zone, self._policy(settings, seed))
        host.handle_list_update(self.discovery.snapshot(tier, interface.UpdateKind.CACHED))
        return host

    # ---- what happens in a day ------------------------------------------------------------------

    def run(self) -> Result:
        """Play the day, and then until all is answered."""
        scenario = self.day.scenario
        fronts = max(round(number(scenario.fleet.balancers)), 1)
        for index in range(fronts):
            zone = self.zones[index % len(self.zones)]
            self.front_balancers.append(self._host(f"n{index}", 0, zone, index, fronts))
        for index, server in enumerate(self.tiers[0]):
            self._start_inner(server, index)
        troubles = FaultInjector(self)
        bursts = [
            (number(t.at_s) * 1_000, (number(t.at_s) + number(t.for_s)) * 1_000, number(t.size))
            for t in scenario.trouble
            if t.kind == "burst"
        ]
        asked = arrivals(self.day, number(scenario.load.of_capacity) * self.capacity, bursts)
        moods = self.day.stream("clients").uniform(size=(len(asked), 2)).tolist()
        for arrival, mood in zip(asked, moods, strict=True):
            self.clock.at(START_MS + arrival.at, self._wish, arrival, mood)
        length = number(scenario.load.seconds) * 1_000
        for step in range(int(length / SAMPLE_MS) + 1):
            self.clock.at(START_MS + step * SAMPLE_MS, self._sample)
        self.clock.run(
            START_MS + length + 2 * max(c.deadline_ms for c in scenario.classes) + RESPONSE_GRACE_MS
        )
        return self._close(troubles, length)

    def _wish(self, arrival: Arrival, mood: list[float]) -> None:
        scenario = self.day.scenario
        cls = scenario.classes[arrival.cls]
        tenant = scenario.tenants[arrival.tenant].name if arrival.tenant >= 0 else ""
        wish = self.ledger.record_requested_value(
            arrival.at, cls.name, tenant, arrival.work, cls.worth, cls.aim_ms
        )
        honours = mood[0] < number(scenario.clients.honour)
        moved = Arrival(
            self.clock.now, arrival.cls, arrival.tenant, arrival.zone, arrival.work, arrival.calls
        )
        Client(self, moved, wish, honours, mood[1] < number(scenario.clients.impatient)).ask()

    def front(self, zone: str) -> Host | None:
        """The balancer that a new try goes to: one of its zone that is not known to be dead."""
        notice = number(self.day.scenario.clients.notice_s) * 1_000
        known = [h for h in self.front_balancers if h.alive or self.clock.now - self._died[h.name] < notice]
        near = [h for h in known if h.zone == zone] or known
        return near[int(self._chance.integers(len(near)))] if near else None

    def serve(
        self, server: Server, ask: Ask, timeout: float, ended: Callable[[Outcome], None]
    ) -> Callable[[], None] | None:
        """An attempt has reached a server; what is returned calls it off."""
        told = [h for h in self.front_balancers if h.tier == server.build.tier] or list(
            self.inner_balancers.values()
        )
        knew = server.started_at > 0 and any(
            h.cold_known.get(server.build.name) == server.started_at for h in told
        )
        work_ms = ask.work[server.build.tier]
        if server.started_at and self.rules.record_work(server, work_ms, is_sender_informed=knew):
            self.stop(server)  # it falls over, and stays down
            return None
        if server.error_rate and self._chance.uniform() < server.error_rate:
            self.clock.after(ERROR_MS, ended, Outcome.ERROR)
            return None
        self._visit += 1
        visit = Visit(self, self._visit, server, ask, timeout, ended)
        self._visits.setdefault(server.build.name, {})[self._visit] = visit
        if not server.submit(visit.job):
            visit.over(Outcome.REJECTED)
            return None
        return visit.cancel

    def forget(self, visit: Visit) -> None:
        """A visit is over."""
        self._visits[visit.server.build.name].pop(visit.number, None)

    def probe(self, host: Host, name: str) -> None:
        """Ask a server how it is; that costs it work."""
        server = self.servers[name]
        self.ledger.probes += 1
        way = 2 * self.network.delay(host.zone, server.build.zone)
        if not server.is_up or self.network.is_cut(host.zone, server.build.zone):
            self.clock.after(150.0, host.handle_event, interface.HealthCheckEnded(name, Outcome.TIMED_OUT))
            return
        server.add_work(PROBE_WORK_MS)
        took = 1 / server.capacity() * server.build.cores if server.capacity() else 0.0
        report = (float(server.in_flight), took)
        self.clock.after(
            way + PROBE_WORK_MS, host.handle_event, interface.HealthCheckEnded(name, Outcome.SERVED, report)
        )

    def stop(self, server: Server, silent: bool = False) -> None:
        """A server goes down, with the balancer beside it."""
        visits = list(self._visits.get(server.build.name, {}).values())
        server.stop(silent)
        for visit in visits:
            visit.lost(silent)
        if host := self.inner_balancers.pop(server.build.name, None):
            host.die()

    def start_anew(self, server: Server) -> None:
        """A server is back, cold, with a balancer that knows nothing."""
        server.start_anew()
        if server.build.tier == 0:
            self._start_inner(server, self.tiers[0].index(server), start=int(self.clock.now))

    def add_like(self, old: Server) -> None:
        """A new server takes the place of an old one."""
        scenario = self.day.scenario
        plan = scenario.tier if old.build.tier == 0 else scenario.inner
        server = self._add(old.build.tier, plan, old.build.zone)
        server.started_at = self.clock.now
        if old.build.tier == 0:
            self._start_inner(server, self.tiers[0].index(old), start=int(self.clock.now))
        self.discovery.schedule_change(old.build.tier, self.member(server, interface.Readiness.READY))

    def kill_front(self, index: int) -> None:
        """A front balancer is killed; the front notices some time later."""
        host = self.front_balancers[index]
        self._died[host.name] = self.clock.now
        host.die()

    def start_front(self, index: int) -> None:
        """It is started again, from nothing."""
        old = self.front_balancers[index]
        start = int(self.clock.now)
        self.front_balancers[index] = self._host(
            old.name, 0, old.zone, index, len(self.front_balancers), start
        )

    def _start_inner(self, server: Server, index: int, start: int = 0) -> None:
        name, count = f"{server.build.name}/b", self._first_count
        self.inner_balancers[server.build.name] = self._host(
            name, 1, server.build.zone, index % count, count, start
        )

    # ---- what is seen ---------------------------------------------------------------------------

    def _sample(self) -> None:
        first = self.tiers[0]
        self._samples.append(
            Sample(
                self.clock.now - START_MS,
                tuple(s.waiting for s in first[: self._first_count]),
                sum(s.is_choked for tier in self.tiers for s in tier),
                sum(sum(h.out.values()) for h in self.front_balancers),
            )
        )

    @property
    def _first_count(self) -> int:
        return max(round(number(self.day.scenario.fleet.servers)), 1)

    def _close(self, troubles: FaultInjector, length: float) -> Result:
        self.rules.record_unanswered()
        every = list(self.servers.values())
        choked = sum(s.choked_ms for s in every) / (length * len(every))
        utility = self.ledger.compute_utility(sum(s.worked for s in every), min(choked, 1.0))
        return Result(
            utility,
            self.rules.violations,
            self._samples,
            [(w.class_name, w.latency_ms, w.ending) for w in self.ledger.requested_values],
            [w.requested_at_ms for w in self.ledger.requested_values],
            self.ledger.attempts,
            sum(s.choked_times for s in every),
            self.clock.steps,
            [(at - START_MS, what) for at, what in troubles.log],
        )


class Visit:
    """A request at a server: its slot, the calls to the next tier, and its end."""

    __slots__ = (
        "_ask",
        "_call",
        "_calls",
        "_ended",
        "_until",
        "_world",
        "job",
        "number",
        "server",
    )

    def __init__(
        self,
        world: SimulatedFleet,
        number: int,
        server: Server,
        ask: Ask,
        timeout: float,
        ended: Callable[[Outcome], None],
    ) -> None:
        self._world, self.number, self.server, self._ask = world, number, server, ask
        self._until, self._ended = world.clock.now + timeout, ended
        self._calls = ask.calls if server.build.tier == 0 else 0
        self._call = 0
        self.job = Job(0.0, self._begin, self._part_done)

    def _begin(self, job: Job) -> None:
        work = self._ask.work[self.server.build.tier]
        self.server.start(job, work * (BEFORE_CALLS if self._calls else 1.0))

    def _part_done(self, job: Job) -> None:
        if self._calls:
            self._make_call()
        else:
            self.over(Outcome.SERVED)

    def _make_call(self) -> None:
        ask, host = self._ask, self._world.inner_balancers.get(self.server.build.name)
        if host is None:
            self.over(Outcome.ERROR)
            return
        left = max(self._until - self._world.clock.now, 0.0)
        inner = Ask(ask.cls, ask.work, 0, left, ask.tenant, False, ask.effect_once, host.zone, self._called)
        self._call = -1
        call = host.take(inner)
        if self._call == -1:
            self._call = call

    def _called(self, ending: str, away: float) -> None:
        self._call = 0
        if not self.job.alive:
            return
        if ending != "served":
            self.over(Outcome.ERROR)
            return
        self._calls -= 1
        if self._calls:
            self._make_call()
        else:
            self.server.start(self.job, self._ask.work[0] * (1 - BEFORE_CALLS))

    def over(self, outcome: Outcome) -> None:
        """Tell the balancer, and make room."""
        self._world.forget(self)
        self.server.release(self.job)
        self._ended(outcome)

    def cancel(self) -> None:
        """It is called off: the work stops, and so does the call that is out."""
        if self.job.alive:
            self._world.forget(self)
            self.server.release(self.job)
            host = self._world.inner_balancers.get(self.server.build.name)
            if self._call > 0 and host is not None:
                host.left(self._call)

    def lost(self, silent: bool) -> None:
        """Its server has gone down; whoever waits sees a reset, or nothing."""
        self._world.forget(self)
        self.job.alive = False
        if not silent:
            self._ended(Outcome.RESET)
