"""Pass every kind of event in every order to the decision module: hypothesis chooses what comes next."""

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
    """One balancer, and what its host owes it; each step is one event, taken from what may come now."""

    def __init__(self, own: interface.Settings, seed: int) -> None:
        self.settings, self.now = own, 10_000.0
        self.balancer = Balancer(own, seed)
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
                case, ran = (
                    self.requests[number],
                    [t for t in self.requests[number].attempts if t.may_have_run],
                )
                anywhere = case.request_class.idempotency is Idempotency.IDEMPOTENT
                assert not ran or anywhere, "refused what may have run"
                self.record_final_response(case, "refused")
            case interface.Fail(number):
                self.record_final_response(self.requests[number], "failed")
            case interface.CancelAttempt(number, index):
                assert self.settings.may_cancel
                assert index < len(self.requests[number].attempts)
            case interface.SetTimer(at, token):
                self.timers.append((at, token))

    def record_final_response(self, case: RequestRecord, how: str) -> None:
        assert not case.ending, f"{how} after it was {case.ending}"
        case.ending = how

    def record_send(self, send: interface.SendAttempt, case: RequestRecord) -> None:
        assert not case.ending, f"sent after it was {case.ending}"
        member = self.endpoints[send.server]
        assert member.readiness is Readiness.READY
        ran = [t for t in case.attempts if t.may_have_run]
        assert self.settings.may_hedge or all(t.outcome is not None for t in case.attempts)
        write_by = self.now + send.write_within_ms
        if ran and case.request_class.idempotency is not Idempotency.IDEMPOTENT:
            assert case.request_class.idempotency is Idempotency.WITH_KEY, "an unsafe request sent twice"
            assert write_by <= ran[0].sent_at_ms + case.request_class.deduplication_window_ms, (
                "it may be written after its window"
            )
            assert write_by > self.now
            if case.request_class.deduplication_scope is DeduplicationScope.ZONE:
                assert member.zone == ran[0].zone
            if case.request_class.deduplication_scope is DeduplicationScope.CELL:
                assert member.cell == ran[0].cell
        case.attempts.append(SentAttempt(send.server, member.zone, member.cell, self.now, write_by))

    # ---- what may come ------------------------------------------------------------------------

    def arrive(self, number: int, pick: int) -> None:
        if number not in self.requests:
            cls = self.settings.classes[pick % len(self.settings.classes)]
            self.requests[number] = RequestRecord(cls)
            self.handle(interface.RequestArrived(number, cls.name, (40.0, 900.0, 2_900.0)[pick % 3]))

    def end(self, number: int, pick: int) -> None:
        """One attempt ends; one that could not be written in its time can't have run."""
        case = self.requests.get(number)
        out = [(i, t) for i, t in enumerate(case.attempts) if t.outcome is None] if case else []
        if case is None or not out:
            return
        index, attempt = out[pick % len(out)]
        attempt.outcome = ENDING_OUTCOMES[pick % len(ENDING_OUTCOMES)]
        if attempt.outcome is Outcome.SERVED and not case.ending:
            case.ending = "served"
        self.handle(interface.AttemptEnded(number, index, attempt.server, attempt.outcome, bool(case.ending)))

    def leave(self, number: int, pick: int) -> None:
        case = self.requests.get(number)
        if case is not None and (not case.ending or pick % 3 == 0):  # it may cross its final answer
            case.ending = case.ending or "left"
            self.handle(interface.ClientDisconnected(number))

    def fire(self, number: int, pick: int) -> None:
        if self.timers:
            at, token = self.timers.pop(pick % len(self.timers))
            self.now = max(self.now, at)
            self.handle(interface.TimerExpired(token))

    def change(self, number: int, pick: int) -> None:
        name = f"s{number % 4}"
        readiness = (Readiness.READY, Readiness.DRAINING, Readiness.DEAD)[pick % 3]
        since = self.now if pick % 2 else self.endpoints[name].started_at_ms
        old = self.endpoints[name]
        self.endpoints[name] = interface.Endpoint(name, readiness, old.zone, old.cell, 1.0, since)
        self.handle(interface.EndpointListUpdate(UpdateKind.DELTA, (self.endpoints[name],)))

    def wait(self, number: int, pick: int) -> None:
        self.now += (1.0, 30.0, 700.0)[pick % 3]

    def finish(self) -> None:
        """Everything that is still out ends, every timer comes due: then nothing is kept."""
        for number, case in self.requests.items():
            while any(t.outcome is None for t in case.attempts):
                self.end(number, ENDING_OUTCOMES.index(Outcome.TIMED_OUT))
        while self.timers:
            self.fire(0, 0)
            for number in self.requests:
                self.end(number, ENDING_OUTCOMES.index(Outcome.RESET))
        for number in self.requests:
            while any(t.outcome is None for t in self.requests[number].attempts):
                self.end(number, ENDING_OUTCOMES.index(Outcome.RESET))
        assert all(case.ending for case in self.requests.values()), "a request has no final answer"
        assert not self.balancer._requests.open_requests and not self.balancer._requests.wait_queue
        assert not any(s.in_flight for s in self.balancer._endpoints.servers.values())


STEPS = (*["arrive"] * 4, "end", "end", "leave", "fire", "change", "wait")
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
