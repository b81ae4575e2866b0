"""Check the four rules independently under seeded random events: legal, unusual, with restarts.

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
    """An attempt as the checker knows it."""

    server: str
    cell: int
    zone: str
    sent_at_ms: float
    is_in_flight: bool = True
    may_have_run: bool = True


@dataclass
class RequestRecord:
    """A request as the checker knows it."""

    request_class: RequestClass
    deadline_ms: float
    attempts: list[SentAttempt] = field(default_factory=list)
    final: str | None = None
    is_disconnected: bool = False


class RuleChecker:
    """Keeps what was sent and answered, and checks each attempt and response against the rules."""

    def __init__(self, own: Settings) -> None:
        self.settings = own
        self.now = 50_000.0
        self.requests: dict[int, RequestRecord] = {}
        self.finished_count = 0
        self.final_responses = {"served": 0, "refused": 0, "failed": 0}
        self.endpoints: dict[str, Endpoint] = {}
        self.send_times: dict[str, list[float]] = {}
        self.most_calls_at_warm_server = 0

    def finish(self, case: RequestRecord, how: str) -> None:
        """Record a final response, and check that it is the only one and in time."""
        assert case.final is None, "two final answers"
        if not case.is_disconnected:
            assert self.now <= case.deadline_ms + RESPONSE_TOLERANCE_MS, "answered too late"
        case.final = how
        self.finished_count += 1
        self.final_responses[how] += 1

    def check_send(self, case: RequestRecord, server: str) -> None:
        """Check an attempt against the rules on deadlines, draining, retries and deduplication."""
        assert case.final is None and not case.is_disconnected, "sent after the end"
        assert self.now <= case.deadline_ms, "sent after the deadline"
        assert len(case.attempts) < self.settings.max_attempts, "more attempts than allowed"
        endpoint = self.endpoints.get(server)
        assert endpoint is not None and endpoint.readiness is Readiness.READY, (
            "sent to a draining or dead server"
        )
        if not self.settings.may_hedge:
            assert not any(t.is_in_flight for t in case.attempts), "two attempts in flight"
        maybe = [t for t in case.attempts if t.may_have_run]
        if maybe and case.request_class.idempotency is not Idempotency.IDEMPOTENT:
            assert case.request_class.idempotency is Idempotency.WITH_KEY, (
                "a non-idempotent request sent twice"
            )
            assert self.now < maybe[0].sent_at_ms + case.request_class.deduplication_window_ms, (
                "repeated after the window"
            )
            for earlier in maybe:
                if case.request_class.deduplication_scope is DeduplicationScope.CELL:
                    assert earlier.cell == endpoint.cell, "repeated outside the cell"
                if case.request_class.deduplication_scope is DeduplicationScope.ZONE:
                    assert earlier.zone == endpoint.zone, "repeated outside the zone"
        self.check_slow_start(endpoint)

    def check_slow_start(self, endpoint: Endpoint) -> None:
        """Check that a warming server gets one call in a window, or its fraction of what a warm one got."""
        window = self.settings.slow_start_window_ms
        mine = self.send_times.setdefault(endpoint.server, [])
        fraction = self.warm_up_fraction(endpoint)
        if fraction < 1:
            most = self.settings.slow_start_overload_factor * fraction * self.most_calls_at_warm_server
            count = 1 + sum(t > self.now - window for t in mine)
            assert count <= max(1, most), f"a warming server overloaded: {count} calls, at most {most}"
        else:
            recent = sum(t > self.now - window for t in mine)
            self.most_calls_at_warm_server = max(self.most_calls_at_warm_server, recent)
        mine.append(self.now)

    def warm_up_fraction(self, endpoint: Endpoint) -> float:
        """Return the fraction of its capacity that a server has by its age."""
        age = self.now - endpoint.started_at_ms
        if not endpoint.started_at_ms or age >= self.settings.slow_start_ms:
            return 1.0
        return (
            self.settings.slow_start_initial_fraction
            + (1 - self.settings.slow_start_initial_fraction) * age / self.settings.slow_start_ms
        )

    def check_overdue(self) -> None:
        """Check that no request without a response is past its deadline."""
        for number, case in self.requests.items():
            late = (
                case.final is None
                and not case.is_disconnected
                and self.now > case.deadline_ms + RESPONSE_TOLERANCE_MS
            )
            assert not late, f"request {number} was lost"


class RandomEventRun(RuleChecker):
    """Passes random events to one balancer, carries out its actions and checks each of them."""

    def __init__(self, seed: int, **changes: object) -> None:
        super().__init__(settings(**({"tier": 1} | changes)))
        self.random = random.Random(seed)
        self.scheduled_events: list[tuple[float, int, Event]] = []
        self.event_count = 0
        self.retry_count = 0
        self.watch_opened_at_ms = -1.0
        self.restart()

    def restart(self) -> None:
        """Start a balancer anew, with the cached list and without requests."""
        self.scheduled_events = []
        self.requests = {}
        self.send_times = {}
        self.most_calls_at_warm_server = 0
        self.balancer = Balancer(self.settings, self.random.getrandbits(40))
        if not self.endpoints:
            for i in range(6):
                self.endpoints[f"s{i}"] = Endpoint(f"s{i}", zone=f"z{i % 2}", cell=i // 3)
        self.handle(EndpointListUpdate(UpdateKind.CACHED, tuple(self.endpoints.values())))

    def schedule(self, at: float, event: Event) -> None:
        """Let an event come at a time."""
        self.event_count += 1
        heapq.heappush(self.scheduled_events, (at, self.event_count, event))

    def handle(self, event: Event) -> None:
        """Pass an event to the balancer, and carry out its actions."""
        for action in self.balancer.handle(event, self.now):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        """Check an action and do what a host would."""
        match action:
            case SendAttempt(request, server, timeout):
                self.check_send(self.requests[request], server)
                self.start(request, server, timeout)
            case Reject(request):
                case = self.requests[request]
                maybe = [t for t in case.attempts if t.may_have_run]
                once_more = case.request_class.idempotency is Idempotency.IDEMPOTENT or (
                    case.request_class.idempotency is Idempotency.WITH_KEY
                    and case.request_class.deduplication_scope is DeduplicationScope.ALL
                )
                assert not maybe or once_more, "rejected what may have run"
                self.finish(case, "refused")
            case Fail(request):
                self.finish(self.requests[request], "failed")
            case CancelAttempt(request, attempt):
                assert self.settings.may_cancel
                case = self.requests[request]
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

    def start(self, request: int, server: str, timeout: float) -> None:
        """Send an attempt, whose outcome is random."""
        case = self.requests[request]
        endpoint = self.endpoints[server]
        attempt = len(case.attempts)
        if attempt:
            self.retry_count += 1
        case.attempts.append(SentAttempt(server, endpoint.cell, endpoint.zone, self.now))
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
        """Return the event of an attempt's end."""
        return AttemptEnded(request, attempt, self.requests[request].attempts[attempt].server, outcome)

    def deliver(self, event: Event) -> None:
        """Pass a scheduled event on, unless it is void by now."""
        if isinstance(event, AttemptEnded):
            case = self.requests[event.request_id]
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
            case = self.requests[event.request_id]
            if case.final is not None:
                return
            case.is_disconnected = True
        if isinstance(event, EndpointListUpdate):
            event = EndpointListUpdate(
                event.kind, tuple(self.endpoints.values()) if event.kind is UpdateKind.FULL_SNAPSHOT else ()
            )
        self.handle(event)

    def change_list(self) -> None:
        """Let a random server drain, die or restart."""
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
        """Remove a server from the list, or add four if few are left."""
        if len(self.endpoints) > 3:
            del self.endpoints[self.random.choice(list(self.endpoints))]
        else:
            self.event_count += 1
            for i in range(4):
                name = f"n{self.event_count}-{i}"
                self.endpoints[name] = Endpoint(name, zone=f"z{i % 2}", cell=self.event_count + i // 2)
        self.handle(EndpointListUpdate(UpdateKind.FULL_SNAPSHOT, tuple(self.endpoints.values())))

    def run(self, steps: int) -> None:
        """Let random events happen."""
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
                remaining_ms = self.random.choice((0.0, 1.0, 40.0, 400.0, 2_500.0))
                self.requests[number] = RequestRecord(cls, self.now + remaining_ms)
                self.handle(RequestArrived(number, cls.name, remaining_ms))
                if self.random.random() < 0.05:
                    self.schedule(self.now + self.random.random() * remaining_ms, ClientDisconnected(number))


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
    day = RandomEventRun(seed, **VARIANTS[variant])
    day.run(1_500)
    assert day.final_responses["served"] > 60, "a day on which nothing is served checks nothing"
    assert day.final_responses["failed"] + day.final_responses["refused"] > 20
    if day.settings.max_attempts > 1:
        assert day.retry_count > 10
