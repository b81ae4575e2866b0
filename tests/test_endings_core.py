"""The decisions alone, with every ending in every order: hypothesis chooses what comes next."""

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
from tests.helpers import CLASSES, members
from tests.helpers import settings as settings_of

ENDS = [o for o in Outcome if o is not Outcome.UNKNOWN]


@dataclass
class Try:
    server: str
    zone: str
    cell: int
    sent: float
    write_by: float
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in OUTCOMES_WITHOUT_EFFECT


@dataclass
class Case:
    cls: interface.RequestClass
    tries: list[Try] = field(default_factory=list)
    over: str = ""


class Crossing:
    """One balancer, and what its host owes it; each step is one event, taken from what may come now."""

    def __init__(self, own: interface.Settings, seed: int) -> None:
        self.settings, self.now = own, 10_000.0
        self.balancer = Balancer(own, seed)
        self.cases: dict[int, Case] = {}
        self.timers: list[tuple[float, str]] = []
        self.list = {m.server: m for m in members(4)}
        self.tell(interface.EndpointListUpdate(UpdateKind.FULL_SNAPSHOT, tuple(self.list.values())))

    def tell(self, event: interface.Event) -> None:
        for action in self.balancer.handle(event, self.now):
            self.carry_out(action)

    def carry_out(self, action: interface.Action) -> None:
        match action:
            case interface.SendAttempt():
                self.sent(action, self.cases[action.request_id])
            case interface.Reject(number):
                case, ran = self.cases[number], [t for t in self.cases[number].tries if t.may_have_run]
                anywhere = case.cls.idempotency is Idempotency.IDEMPOTENT
                assert not ran or anywhere, "refused what may have run"
                self.final(case, "refused")
            case interface.Fail(number):
                self.final(self.cases[number], "failed")
            case interface.CancelAttempt(number, index):
                assert self.settings.may_cancel
                assert index < len(self.cases[number].tries)
            case interface.SetTimer(at, token):
                self.timers.append((at, token))

    def final(self, case: Case, how: str) -> None:
        assert not case.over, f"{how} after it was {case.over}"
        case.over = how

    def sent(self, send: interface.SendAttempt, case: Case) -> None:
        assert not case.over, f"sent after it was {case.over}"
        member = self.list[send.server]
        assert member.readiness is Readiness.READY
        ran = [t for t in case.tries if t.may_have_run]
        assert self.settings.may_hedge or all(t.outcome is not None for t in case.tries)
        write_by = self.now + send.write_within_ms
        if ran and case.cls.idempotency is not Idempotency.IDEMPOTENT:
            assert case.cls.idempotency is Idempotency.WITH_KEY, "an unsafe request sent twice"
            assert write_by <= ran[0].sent + case.cls.deduplication_window_ms, (
                "it may be written after its window"
            )
            assert write_by > self.now
            if case.cls.deduplication_scope is DeduplicationScope.ZONE:
                assert member.zone == ran[0].zone
            if case.cls.deduplication_scope is DeduplicationScope.CELL:
                assert member.cell == ran[0].cell
        case.tries.append(Try(send.server, member.zone, member.cell, self.now, write_by))

    # ---- what may come ------------------------------------------------------------------------

    def arrive(self, number: int, pick: int) -> None:
        if number not in self.cases:
            cls = self.settings.classes[pick % len(self.settings.classes)]
            self.cases[number] = Case(cls)
            self.tell(interface.RequestArrived(number, cls.name, (40.0, 900.0, 2_900.0)[pick % 3]))

    def end(self, number: int, pick: int) -> None:
        """One attempt ends; one that could not be written in its time can't have run."""
        case = self.cases.get(number)
        out = [(i, t) for i, t in enumerate(case.tries) if t.outcome is None] if case else []
        if case is None or not out:
            return
        index, attempt = out[pick % len(out)]
        attempt.outcome = ENDS[pick % len(ENDS)]
        if attempt.outcome is Outcome.SERVED and not case.over:
            case.over = "served"
        self.tell(interface.AttemptEnded(number, index, attempt.server, attempt.outcome, bool(case.over)))

    def leave(self, number: int, pick: int) -> None:
        case = self.cases.get(number)
        if case is not None and (not case.over or pick % 3 == 0):  # it may cross its final answer
            case.over = case.over or "left"
            self.tell(interface.ClientDisconnected(number))

    def fire(self, number: int, pick: int) -> None:
        if self.timers:
            at, token = self.timers.pop(pick % len(self.timers))
            self.now = max(self.now, at)
            self.tell(interface.TimerExpired(token))

    def change(self, number: int, pick: int) -> None:
        name = f"s{number % 4}"
        readiness = (Readiness.READY, Readiness.DRAINING, Readiness.DEAD)[pick % 3]
        since = self.now if pick % 2 else self.list[name].started_at_ms
        old = self.list[name]
        self.list[name] = interface.Endpoint(name, readiness, old.zone, old.cell, 1.0, since)
        self.tell(interface.EndpointListUpdate(UpdateKind.DELTA, (self.list[name],)))

    def wait(self, number: int, pick: int) -> None:
        self.now += (1.0, 30.0, 700.0)[pick % 3]

    def finish(self) -> None:
        """Everything that is still out ends, every timer comes due: then nothing is kept."""
        for number, case in self.cases.items():
            while any(t.outcome is None for t in case.tries):
                self.end(number, ENDS.index(Outcome.TIMED_OUT))
        while self.timers:
            self.fire(0, 0)
            for number in self.cases:
                self.end(number, ENDS.index(Outcome.RESET))
        for number in self.cases:
            while any(t.outcome is None for t in self.cases[number].tries):
                self.end(number, ENDS.index(Outcome.RESET))
        assert all(case.over for case in self.cases.values()), "a request has no final answer"
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
def test_whatever_crosses_each_request_ends_once_and_nothing_is_kept(
    own: dict[str, Any], seed: int, steps: list[tuple[str, int, int]]
) -> None:
    play = Crossing(settings_of(classes=CLASSES, **own), seed)
    for name, number, pick in steps:
        getattr(play, name)(number, pick)
    play.finish()
