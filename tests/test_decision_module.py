"""The decision module as a whole: invalid settings, impossible events, determinism."""

from __future__ import annotations

import pytest

from loadbalancer.interface import (
    AttemptEnded,
    ClientDisconnected,
    Outcome,
    RequestArrived,
    RequestClass,
    ResponseStarted,
    SendAttempt,
    TimerExpired,
)
from tests.helpers import (
    READ,
    BalancerHost,
    settings,
)


def test_late_events_are_ignored_and_impossible_ones_raise() -> None:
    host = BalancerHost(2)
    assert host.handle(ClientDisconnected(99)) == []
    assert host.handle(TimerExpired("wait:99")) == []
    with pytest.raises(ValueError, match="never made"):
        host.handle(AttemptEnded(99, 0, "s0", Outcome.SERVED))
    with pytest.raises(ValueError, match="never made"):
        host.handle(ResponseStarted(99, 0))
    request, _ = host.receive_request()
    for attempt in (-1, 1):
        with pytest.raises(ValueError, match="never made"):
            host.handle(AttemptEnded(request, attempt, "s0", Outcome.SERVED))
    with pytest.raises(ValueError, match="arrived before"):
        host.handle(RequestArrived(request, "read", 10))
    with pytest.raises(ValueError, match="unknown class"):
        host.handle(RequestArrived(12345, "nosuch", 10))


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"classes": ()}, "classes"),
        ({"classes": (READ, READ)}, "classes"),
        ({"balancer_count": 0}, "balancer_count"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"slow_start_initial_fraction": 0.0}, "slow_start_initial_fraction"),
        ({"tick_ms": float("inf")}, "tick_ms"),
        ({"over_quota_weight_factor": 2.0}, "over_quota_weight_factor"),
    ],
)
def test_invalid_settings_name_their_field(change: dict[str, object], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**change)
    with pytest.raises(ValueError, match="latency_objective_ms"):
        RequestClass("x", 0, 10, READ.idempotency)


def test_same_events_and_seed_give_the_same_actions() -> None:
    def run(seed: int) -> list[object]:
        host = BalancerHost(6, seed=seed)
        for i in range(200):
            host.serve_request(takes=5.0 + i % 7)
        return [a for a in host.actions if isinstance(a, SendAttempt)]

    assert run(3) == run(3) != run(4)
