"""Pass events of every kind in any order to the decision module: hypothesis chooses the next one."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer import interface
from loadbalancer.interface import (
    OUTCOMES_WITHOUT_EFFECT,
    DeduplicationScope,
    Idempotency,
    Outcome,
    Readiness,
    UpdateKind,
)
from loadbalancer.policy import Balancer
from tests.helpers import CLASSES, make_endpoints
from tests.helpers import settings as settings_of

ENDING_OUTCOMES = [o for o in Outcome if o is not Outcome.UNKNOWN]


@dataclass
class SentAttempt:
    server: str
    zone: str
    cell: int
    sent_at_ms: float
    written_by_ms: float
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in OUTCOMES_WITHOUT_EFFECT


@dataclass
class RequestRecord:
    request_class: interface.RequestClass
    attempts: list[SentAttempt] = field(default_factory=list)
    ending: str = ""


class EventOrderHost:
    """A host of one balancer; each step passes it an event that is possible at that time."""

    def __init__(self, balancer_settings: interface.Settings, seed: int) -> None:
        self.settings, self.now = balancer_settings, 10_000.0
        self.balancer = Balancer(balancer_settings, seed)
        self.requests: dict[int, RequestRecord] = {}
        self.timers: list[tuple[float, str]] = []
        self.endpoints = {m.server: m for m in make_endpoints(4)}
        self.handle(interface.EndpointListUpdate(UpdateKind.FULL_SNAPSHOT, tuple(self.endpoints.values())))

    def handle(self, event: interface.Event) -> None:
        for action in self.balancer.handle(event, self.now):
            self.carry_out(action)

    def carry_out(self, action: interface.Action) -> None:
        match action:
            case interface.SendAttempt():
                self.record_send(action, self.requests[action.request_id])
            case interface.Reject(number):
                record, possibly_run = (
                    self.requests[number],
                    [a for a in self.requests[number].attempts if a.may_have_run],
                )
                anywhere = record.request_class.idempotency is Idempotency.IDEMPOTENT
                assert not possibly_run or anywhere, "rejected what may have run"
                self.record_final_response(record, "rejected")
            case interface.Fail(number):
                self.record_final_response(self.requests[number], "failed")
            case interface.CancelAttempt(number, index):
                assert self.settings.may_cancel
                assert index < len(self.requests[number].attempts)
            case interface.SetTimer(at, token):
                self.timers.append((at, token))

    def record_final_response(self, record: RequestRecord, ending: str) -> None:
        assert not record.ending, f"{ending} after it was {record.ending}"
        record.ending = ending

    def record_send(self, send: interface.SendAttempt, record: RequestRecord) -> None:
        assert not record.ending, f"sent after it was {record.ending}"
        endpoint = self.endpoints[send.server]
        assert endpoint.readiness is Readiness.READY
        possibly_run = [a for a in record.attempts if a.may_have_run]
        assert self.settings.may_hedge or all(a.outcome is not None for a in record.attempts)
        write_by = self.now + send.write_within_ms
        if possibly_run and record.request_class.idempotency is not Idempotency.IDEMPOTENT:
            assert record.request_class.idempotency is Idempotency.WITH_KEY, (
                "a non-idempotent request sent twice"
            )
            assert write_by <= possibly_run[0].sent_at_ms + record.request_class.deduplication_window_ms, (
                "it may be written after its deduplication window"
            )
            assert write_by > self.now
            if record.request_class.deduplication_scope is DeduplicationScope.ZONE:
                assert endpoint.zone == possibly_run[0].zone
            if record.request_class.deduplication_scope is DeduplicationScope.CELL:
                assert endpoint.cell == possibly_run[0].cell
        record.attempts.append(SentAttempt(send.server, endpoint.zone, endpoint.cell, self.now, write_by))

    # ---- steps --------------------------------------------------------------------------------

    def arrive(self, number: int, pick: int) -> None:
        if number not in self.requests:
            cls = self.settings.classes[pick % len(self.settings.classes)]
            self.requests[number] = RequestRecord(cls)
            self.handle(interface.RequestArrived(number, cls.name, (40.0, 900.0, 2_900.0)[pick % 3]))

    def end(self, number: int, pick: int) -> None:
        """End an attempt of a request that has one in flight."""
        record = self.requests.get(number)
        in_flight = [(i, a) for i, a in enumerate(record.attempts) if a.outcome is None] if record else []
        if record is None or not in_flight:
            return
        index, attempt = in_flight[pick % len(in_flight)]
        attempt.outcome = ENDING_OUTCOMES[pick % len(ENDING_OUTCOMES)]
        if attempt.outcome is Outcome.SERVED and not record.ending:
            record.ending = "served"
        self.handle(
            interface.AttemptEnded(number, index, attempt.server, attempt.outcome, bool(record.ending))
        )

    def disconnect(self, number: int, pick: int) -> None:
        record = self.requests.get(number)
        if record is not None and (not record.ending or pick % 3 == 0):  # it may cross its final response
            record.ending = record.ending or "disconnected"
            self.handle(interface.ClientDisconnected(number))

    def expire_timer(self, number: int, pick: int) -> None:
        if self.timers:
            at, token = self.timers.pop(pick % len(self.timers))
            self.now = max(self.now, at)
            self.handle(interface.TimerExpired(token))

    def change_endpoint(self, number: int, pick: int) -> None:
        name = f"s{number % 4}"
        readiness = (Readiness.READY, Readiness.DRAINING, Readiness.DEAD)[pick % 3]
        started_at_ms = self.now if pick % 2 else self.endpoints[name].started_at_ms
        old = self.endpoints[name]
        self.endpoints[name] = interface.Endpoint(name, readiness, old.zone, old.cell, 1.0, started_at_ms)
        self.handle(interface.EndpointListUpdate(UpdateKind.DELTA, (self.endpoints[name],)))

    def wait(self, number: int, pick: int) -> None:
        self.now += (1.0, 30.0, 700.0)[pick % 3]

    def finish(self) -> None:
        """End all attempts, let all timers expire, and check that the balancer keeps nothing."""
        for number, record in self.requests.items():
            while any(a.outcome is None for a in record.attempts):
                self.end(number, ENDING_OUTCOMES.index(Outcome.TIMED_OUT))
        while self.timers:
            self.expire_timer(0, 0)
            for number in self.requests:
                self.end(number, ENDING_OUTCOMES.index(Outcome.RESET))
        for number in self.requests:
            while any(a.outcome is None for a in self.requests[number].attempts):
                self.end(number, ENDING_OUTCOMES.index(Outcome.RESET))
        assert all(record.ending for record in self.requests.values()), "a request has no final response"
        assert not self.balancer._requests.open_requests and not self.balancer._requests.wait_queue
        assert not any(s.in_flight for s in self.balancer._endpoints.servers.values())


STEPS = (*["arrive"] * 4, "end", "end", "disconnect", "expire_timer", "change_endpoint", "wait")
step = st.tuples(st.sampled_from(STEPS), st.integers(0, 15), st.integers(0, 40))
flags: Any = st.fixed_dictionaries(
    {
        "may_cancel": st.booleans(),
        "may_hedge": st.booleans(),
        "max_attempts": st.sampled_from([1, 2, 4]),
        "tier": st.sampled_from([0, 1]),
        "balancer_count": st.sampled_from([1, 3, 40]),
        "polls_endpoint_list": st.booleans(),
    }
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(own=flags, seed=st.integers(0, 9), steps=st.lists(step, min_size=10, max_size=80))
def test_each_request_ends_once_in_any_order_of_events_and_leaves_nothing_behind(
    own: dict[str, Any], seed: int, steps: list[tuple[str, int, int]]
) -> None:
    play = EventOrderHost(settings_of(classes=CLASSES, **own), seed)
    for name, number, pick in steps:
        getattr(play, name)(number, pick)
    play.finish()
