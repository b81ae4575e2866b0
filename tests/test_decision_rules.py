"""An independent checker of the four rules, driven by seeded random days: legal, odd, with restarts.

The checker knows only events and actions; it shares no code with the decisions.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace

import pytest

from loadbalancer.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    DeduplicationScope,
    Endpoint,
    EndpointListUpdate,
    Event,
    Fail,
    Idempotency,
    Outcome,
    Readiness,
    Reject,
    RequestArrived,
    RequestClass,
    SendAttempt,
    SetTimer,
    Settings,
    TimerExpired,
    UpdateKind,
    WatchEndpointList,
)
from loadbalancer.policy import Balancer
from tests.helpers import CLASSES, settings

RESPONSE_TOLERANCE_MS = 20.0
OUTCOMES_NEVER_RUN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
OUTCOMES_POSSIBLY_RUN = (Outcome.ERROR, Outcome.RESET, Outcome.UNKNOWN)


@dataclass
class SentAttempt:
    server: str
    cell: int
    zone: str
    sent_at_ms: float
    is_in_flight: bool = True
    may_have_run: bool = True


@dataclass
class RequestRecord:
    request_class: RequestClass
    deadline_ms: float
    attempts: list[SentAttempt] = field(default_factory=list)
    final: str | None = None
    is_disconnected: bool = False


class RandomDay:
    """Plays random events against one balancer and checks each action as it comes."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.random = random.Random(seed)
        self.settings: Settings = settings(**({"tier": 1} | changes))
        self.now = 50_000.0
        self.scheduled_events: list[tuple[float, int, Event]] = []
        self.event_count = 0
        self.cases: dict[int, RequestRecord] = {}
        self.finished_count = 0
        self.final_responses = {"served": 0, "refused": 0, "failed": 0}
        self.retry_count = 0
        self.endpoints: dict[str, Endpoint] = {}
        self.send_times: dict[str, list[float]] = {}
        self.watch_opened_at_ms = -1.0
        self.restart()

    def restart(self) -> None:
        self.scheduled_events = []
        self.cases = {}
        self.send_times = {}
        self.most_calls_at_warm_server = 0
        self.balancer = Balancer(self.settings, self.random.getrandbits(40))
        if not self.endpoints:
            for i in range(6):
                self.endpoints[f"s{i}"] = Endpoint(f"s{i}", zone=f"z{i % 2}", cell=i // 3)
        self.handle(EndpointListUpdate(UpdateKind.CACHED, tuple(self.endpoints.values())))

    def schedule(self, at: float, event: Event) -> None:
        self.event_count += 1
        heapq.heappush(self.scheduled_events, (at, self.event_count, event))

    def handle(self, event: Event) -> None:
        for action in self.balancer.handle(event, self.now):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt(request, server, timeout):
                self.check_send(self.cases[request], server)
                self.start(request, server, timeout)
            case Reject(request):
                case = self.cases[request]
                maybe = [t for t in case.attempts if t.may_have_run]
                once_more = case.request_class.idempotency is Idempotency.IDEMPOTENT or (
                    case.request_class.idempotency is Idempotency.WITH_KEY
                    and case.request_class.deduplication_scope is DeduplicationScope.ALL
                )
                assert not maybe or once_more, "refused what may have run"
                self.finish(case, "refused")
            case Fail(request):
                self.finish(self.cases[request], "failed")
            case CancelAttempt(request, attempt):
                assert self.settings.may_cancel
                case = self.cases[request]
                assert attempt < len(case.attempts), "cancelled an attempt never made"
                if case.attempts[attempt].is_in_flight:
                    self.schedule(self.now, self.attempt_ended(request, attempt, Outcome.CANCELLED))
            case SetTimer(at, token):
                self.schedule(max(at, self.now + 0.01), TimerExpired(token))
            case WatchEndpointList():
                self.watch_opened_at_ms = self.now
                if self.random.random() < 0.4:
                    self.schedule(self.now + 30, EndpointListUpdate(UpdateKind.FAILED))
                else:
                    self.schedule(
                        self.now + 30,
                        EndpointListUpdate(UpdateKind.FULL_SNAPSHOT, tuple(self.endpoints.values())),
                    )

    def check_send(self, case: RequestRecord, server: str) -> None:
        assert case.final is None and not case.is_disconnected, "sent after the end"
        assert self.now <= case.deadline_ms, "sent after the deadline"
        assert len(case.attempts) < self.settings.max_attempts, "more attempts than allowed"
        member = self.endpoints.get(server)
        assert member is not None and member.readiness is Readiness.READY, "sent to what drains or is gone"
        if not self.settings.may_hedge:
            assert not any(t.is_in_flight for t in case.attempts), "two attempts out"
        maybe = [t for t in case.attempts if t.may_have_run]
        if maybe and case.request_class.idempotency is not Idempotency.IDEMPOTENT:
            assert case.request_class.idempotency is Idempotency.WITH_KEY, "an unsafe request sent twice"
            assert self.now < maybe[0].sent_at_ms + case.request_class.deduplication_window_ms, (
                "repeated after the window"
            )
            for earlier in maybe:
                if case.request_class.deduplication_scope is DeduplicationScope.CELL:
                    assert earlier.cell == member.cell, "repeated outside the cell"
                if case.request_class.deduplication_scope is DeduplicationScope.ZONE:
                    assert earlier.zone == member.zone, "repeated outside the zone"
        self.check_slow_start(member)

    def check_slow_start(self, member: Endpoint) -> None:
        """A cold server may get one call in a window, or what its warmth allows of the busiest warm one."""
        window = self.settings.slow_start_window_ms
        mine = self.send_times.setdefault(member.server, [])
        warmth = self.warm_up_fraction(member)
        if warmth < 1:
            most = self.settings.slow_start_overload_factor * warmth * self.most_calls_at_warm_server
            count = 1 + sum(t > self.now - window for t in mine)
            assert count <= max(1, most), f"a cold server pushed over: {count} calls, at most {most}"
        else:
            recent = sum(t > self.now - window for t in mine)
            self.most_calls_at_warm_server = max(self.most_calls_at_warm_server, recent)
        mine.append(self.now)

    def warm_up_fraction(self, member: Endpoint) -> float:
        age = self.now - member.started_at_ms
        if not member.started_at_ms or age >= self.settings.slow_start_ms:
            return 1.0
        return (
            self.settings.slow_start_initial_fraction
            + (1 - self.settings.slow_start_initial_fraction) * age / self.settings.slow_start_ms
        )

    def start(self, request: int, server: str, timeout: float) -> None:
        case = self.cases[request]
        member = self.endpoints[server]
        attempt = len(case.attempts)
        if attempt:
            self.retry_count += 1
        case.attempts.append(SentAttempt(server, member.cell, member.zone, self.now))
        limit = case.deadline_ms - self.now
        limit = min(limit, timeout) if timeout > 0 else limit
        takes = self.random.expovariate(1 / 80)
        kind = self.random.random()
        if kind < 0.6 and takes < limit:
            self.schedule(self.now + takes, self.attempt_ended(request, attempt, Outcome.SERVED))
        elif kind < 0.75 and takes < limit:
            self.schedule(
                self.now + takes, self.attempt_ended(request, attempt, self.random.choice(OUTCOMES_NEVER_RUN))
            )
        elif kind < 0.9 and takes < limit:
            self.schedule(
                self.now + takes,
                self.attempt_ended(request, attempt, self.random.choice(OUTCOMES_POSSIBLY_RUN)),
            )
        else:
            self.schedule(self.now + limit, self.attempt_ended(request, attempt, Outcome.TIMED_OUT))

    def attempt_ended(self, request: int, attempt: int, outcome: Outcome) -> AttemptEnded:
        return AttemptEnded(request, attempt, self.cases[request].attempts[attempt].server, outcome)

    def finish(self, case: RequestRecord, how: str) -> None:
        assert case.final is None, "two final answers"
        if not case.is_disconnected:
            assert self.now <= case.deadline_ms + RESPONSE_TOLERANCE_MS, "answered too late"
        case.final = how
        self.finished_count += 1
        self.final_responses[how] += 1

    def deliver(self, event: Event) -> None:
        if isinstance(event, AttemptEnded):
            case = self.cases[event.request_id]
            this = case.attempts[event.attempt_index]
            if not this.is_in_flight:
                return
            this.is_in_flight = False
            this.may_have_run = event.outcome not in OUTCOMES_NEVER_RUN
            if event.outcome is Outcome.SERVED and case.final is None and not case.is_disconnected:
                self.finish(case, "served")
            answered = case.final is not None or case.is_disconnected
            event = AttemptEnded(event.request_id, event.attempt_index, event.server, event.outcome, answered)
        if isinstance(event, ClientDisconnected):
            case = self.cases[event.request_id]
            if case.final is not None:
                return
            case.is_disconnected = True
        if isinstance(event, EndpointListUpdate):
            event = EndpointListUpdate(
                event.kind, tuple(self.endpoints.values()) if event.kind is UpdateKind.FULL_SNAPSHOT else ()
            )
        self.handle(event)

    def change_list(self) -> None:
        name = self.random.choice(list(self.endpoints))
        old = self.endpoints[name]
        choice = self.random.random()
        if choice < 0.2:
            new = Endpoint(name, Readiness.DRAINING, old.zone, old.cell, 1.0, old.started_at_ms)
        elif choice < 0.35:
            new = Endpoint(name, Readiness.DEAD, old.zone, old.cell, 1.0, old.started_at_ms)
        else:
            new = Endpoint(name, Readiness.READY, old.zone, old.cell, 1.0, self.now)
            self.send_times[name] = []  # what went to the process before it is no burden to the new one
        self.endpoints[name] = new
        self.handle(EndpointListUpdate(UpdateKind.DELTA, (new,)))

    def shorten_list(self) -> None:
        if len(self.endpoints) > 3:
            del self.endpoints[self.random.choice(list(self.endpoints))]
        else:
            self.event_count += 1
            for i in range(4):
                name = f"n{self.event_count}-{i}"
                self.endpoints[name] = Endpoint(name, zone=f"z{i % 2}", cell=self.event_count + i // 2)
        self.handle(EndpointListUpdate(UpdateKind.FULL_SNAPSHOT, tuple(self.endpoints.values())))

    def run(self, steps: int) -> None:
        number = 0
        for _ in range(steps):
            until = self.now + self.random.expovariate(1 / 15)
            while self.scheduled_events and self.scheduled_events[0][0] <= until:
                at, _, event = heapq.heappop(self.scheduled_events)
                self.now = max(self.now, at)
                self.deliver(event)
            self.now = until
            self.check_overdue()
            dice = self.random.random()
            if dice < 0.004:
                self.restart()
            elif dice < 0.016:
                self.change_list()
            elif dice < 0.022:
                self.shorten_list()
            else:
                number += 1
                cls = self.random.choice(self.settings.classes)
                left = self.random.choice((0.0, 1.0, 40.0, 400.0, 2_500.0))
                self.cases[number] = RequestRecord(cls, self.now + left)
                self.handle(RequestArrived(number, cls.name, left))
                if self.random.random() < 0.05:
                    self.schedule(self.now + self.random.random() * left, ClientDisconnected(number))

    def check_overdue(self) -> None:
        for number, case in self.cases.items():
            late = (
                case.final is None
                and not case.is_disconnected
                and self.now > case.deadline_ms + RESPONSE_TOLERANCE_MS
            )
            assert not late, f"request {number} was lost"


VARIANTS: list[dict[str, object]] = [
    {},
    {"tier": 0, "classes": tuple(replace(c, latency_objective_ms=2_990.0) for c in CLASSES)},
    {"may_hedge": False},
    {"polls_endpoint_list": True},
    {"may_cancel": False, "max_attempts": 1},
    {"balancer_count": 9, "slow_start_initial_fraction": 0.05, "slow_start_window_ms": 3_000.0},
    {"classes": CLASSES[:1], "may_hedge": False, "polls_endpoint_list": True},
]


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_under_random_events(variant: int, seed: int) -> None:
    day = RandomDay(seed, **VARIANTS[variant])
    day.run(1_500)
    assert day.final_responses["served"] > 60, "a day on which nothing is served checks nothing"
    assert day.final_responses["failed"] + day.final_responses["refused"] > 20
    if day.settings.max_attempts > 1:
        assert day.retry_count > 10
