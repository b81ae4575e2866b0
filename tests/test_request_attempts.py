"""Attempts of a request: retries, hedged requests, deduplication, and no lost request."""

from __future__ import annotations

import pytest

from loadbalancer.interface import (
    AttemptEnded,
    CancelAttempt,
    CloseIdleConnections,
    Endpoint,
    Fail,
    LogMessage,
    Outcome,
    Reject,
    RequestClass,
    RequestCompleted,
    ResponseStarted,
    SetTimer,
    TimerExpired,
    UpdateKind,
)
from tests.helpers import (
    KEYED_ANYWHERE,
    ORDER,
    PAY,
    READ,
    BalancerHost,
    actions_of,
    sent_attempts,
)


def test_request_is_rejected_at_once_without_servers() -> None:
    host = BalancerHost(0)
    for _ in range(3):
        request, actions = host.receive_request()
        assert Reject(request) in actions and not sent_attempts(actions)
    assert len([a for a in host.actions if isinstance(a, LogMessage)]) == 1, (
        "one line for consecutive rejections"
    )


def test_request_without_remaining_time_is_rejected_at_once() -> None:
    host = BalancerHost(2)
    request, actions = host.receive_request(remaining=0.0)
    assert Reject(request) in actions and not sent_attempts(actions)


def test_timeout_at_the_deadline_fails_the_request_at_once() -> None:
    host = BalancerHost(2)
    request, actions = host.receive_request(PAY, remaining=300)
    host.now += 300
    assert actions_of(
        host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.TIMED_OUT), Fail
    ) == [Fail(request)]


def test_non_idempotent_request_is_retried_only_if_it_never_ran() -> None:
    host = BalancerHost(4)
    request, actions = host.receive_request(PAY)
    retries = sent_attempts(host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.REJECTED))
    assert len(retries) == 1
    assert host.end_attempt(request, 1, retries[0].server, Outcome.RESET) == [Fail(request)]


def test_retry_with_idempotency_key_stays_in_its_cell_and_window() -> None:
    host = BalancerHost(6)
    for _ in range(20):
        request, actions = host.receive_request(ORDER)
        if not sent_attempts(actions):
            continue  # errors shed load
        first = sent_attempts(actions)[0].server
        retries = sent_attempts(host.end_attempt(request, 0, first, Outcome.ERROR))
        if retries:
            assert int(retries[0].server[1]) // 2 == int(first[1]) // 2
        host.now += 100
    host = BalancerHost(
        6, classes=(RequestClass("order", 5_000, 9_000, ORDER.idempotency, ORDER.deduplication_scope, 2_000),)
    )
    request, actions = host.receive_request(ORDER, remaining=9_000)
    host.now += 2_000
    assert host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.ERROR) == [Fail(request)]


def test_restarted_server_is_not_trusted_to_deduplicate() -> None:
    host = BalancerHost(2, slow_start_ms=0)
    request, actions = host.receive_request(KEYED_ANYWHERE)
    first = sent_attempts(actions)[0].server
    host.now += 50
    other = "s1" if first == "s0" else "s0"
    host.update_list(Endpoint(other, started_at_ms=host.now), kind=UpdateKind.DELTA)
    retries = sent_attempts(host.end_attempt(request, 0, first, Outcome.ERROR))
    assert [a.server for a in retries] in ([], [first])


def test_streamed_response_cancels_hedged_requests_and_prevents_retries() -> None:
    host = BalancerHost(4)
    request, actions = host.receive_request()
    host.now += 300
    hedge = next(a.token for a in actions if isinstance(a, SetTimer))
    hedged = sent_attempts(host.handle(TimerExpired(hedge)))[0].server
    actions = host.handle(ResponseStarted(request, 1))
    assert actions_of(actions, CancelAttempt) == [CancelAttempt(request, 0)]
    host.handle(AttemptEnded(request, 0, "x", Outcome.CANCELLED))
    actions = host.handle(AttemptEnded(request, 1, hedged, Outcome.RESET, is_final=True))
    assert not sent_attempts(actions) and not actions_of(actions, Reject, Fail)


def test_slow_client_of_a_streamed_response_does_not_count_against_the_server() -> None:
    host, reference = BalancerHost(1), BalancerHost(1)
    for _ in range(20):
        request, _ = host.receive_request()
        host.now += 20
        host.handle(ResponseStarted(request, 0))
        host.now += 2_000
        host.end_attempt(request, 0, "s0", Outcome.SERVED)
        reference.serve_request(takes=20)
        reference.now += 2_000
    assert (
        host.balancer.learned_state(host.now).servers
        == reference.balancer.learned_state(reference.now).servers
    )
    assert (
        host.balancer.learned_state(host.now).latencies
        == reference.balancer.learned_state(reference.now).latencies
    )


def test_times_of_a_request_run_from_the_last_byte_of_its_body() -> None:
    host = BalancerHost(4)
    request, actions = host.receive_request(PAY, is_complete=False)
    first = sent_attempts(actions)[0]
    assert not actions_of(actions, SetTimer)
    host.now += 20_000  # many times its deadline
    host.handle(RequestCompleted(request))
    actions = host.end_attempt(request, 0, first.server, Outcome.REJECTED)
    assert sent_attempts(actions)[0].timeout_ms == first.timeout_ms


def test_request_with_discarded_body_is_not_retried() -> None:
    host = BalancerHost(4)
    request, actions = host.receive_request(PAY, is_complete=False)
    server = sent_attempts(actions)[0].server
    actions = host.handle(AttemptEnded(request, 0, server, Outcome.CONNECT_FAILED, is_body_discarded=True))
    assert not sent_attempts(actions) and actions_of(actions, Reject)


def test_retry_with_idempotency_key_goes_to_its_cell_outside_the_subset() -> None:
    host = BalancerHost(60, balancer_count=3_000)
    retries_at_other_servers = 0
    for _ in range(60):
        request, actions = host.receive_request(ORDER)
        if sent_attempts(actions):
            first = int(sent_attempts(actions)[0].server[1:])
            retries = sent_attempts(
                host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.ERROR)
            )
            assert all(int(s.server[1:]) // 2 == first // 2 for s in retries)
            retries_at_other_servers += any(int(s.server[1:]) != first for s in retries)
        host.now += 500
    assert retries_at_other_servers > 0


@pytest.mark.parametrize("tier", [0, 1])
@pytest.mark.parametrize("cls", [READ, ORDER])
def test_request_at_a_silent_server_is_hedged_once(cls: RequestClass, tier: int) -> None:
    host = BalancerHost(4, tier=tier)
    for _ in range(50):
        host.serve_request(cls)
    request, actions = host.receive_request(cls)
    first, timer = sent_attempts(actions)[0], actions_of(actions, SetTimer)[0]
    assert first.timeout_ms == pytest.approx(1_000) and isinstance(timer, SetTimer)
    assert timer.at_ms < host.now + 501
    host.now = timer.at_ms
    actions = host.handle(TimerExpired(timer.token))
    hedged = sent_attempts(actions)[0]
    assert hedged.server != first.server
    assert actions.index(CloseIdleConnections(hedged.server)) < actions.index(hedged), (
        "a hedged request opens a new connection"
    )
    assert cls is READ or int(hedged.server[1]) // 2 == int(first.server[1]) // 2, "inside its cell"
    assert not sent_attempts(host.handle(TimerExpired(timer.token))), "one hedged request, not more"
    host.now += 40
    assert CancelAttempt(request, 0) in host.end_attempt(request, 1, hedged.server, Outcome.SERVED)


def test_request_is_not_hedged_without_permission_or_idempotency() -> None:
    assert not actions_of(BalancerHost(4).receive_request(PAY)[1], SetTimer)
    actions = BalancerHost(4, may_hedge=False).receive_request(READ)[1]
    assert not actions_of(actions, SetTimer)
    assert sent_attempts(actions)[0].timeout_ms == pytest.approx(800), (
        "the timeout allows for a retry instead"
    )
    assert sent_attempts(BalancerHost(4, max_attempts=1).receive_request(READ)[1])[
        0
    ].timeout_ms == pytest.approx(1_000)


@pytest.mark.parametrize("takes", [240.0, 400.0, 800.0])
def test_usual_latency_is_waited_for_and_not_hedged(takes: float) -> None:
    """A tenth of all calls was hedged: at half of their time, though usual latencies were that long."""
    host = BalancerHost(4, tier=1)
    for _ in range(200):
        host.serve_request(takes=takes)
    start, timers = host.now, actions_of(host.receive_request()[1], SetTimer)
    assert bool(timers) == (takes < 250), (
        "a hedged request is useless if no usual response to it would be in time"
    )
    for timer in timers:
        assert isinstance(timer, SetTimer)
        assert 2.9 * takes <= timer.at_ms - start <= 1_001 - takes


def count_retries(outcome: Outcome) -> int:
    """Return how many retries 300 requests get if every attempt has this outcome."""
    host = BalancerHost(8, slow_start_ms=0, tier=1)
    retries = 0
    for _ in range(300):
        request, actions = host.receive_request()
        attempt = 0
        while sent_attempts(actions):
            host.now += 5
            actions = host.end_attempt(request, attempt, sent_attempts(actions)[0].server, outcome)
            attempt += 1
        retries += max(attempt - 1, 0)
    return retries


def test_retries_are_limited_by_the_retry_budget() -> None:
    assert 50 < count_retries(Outcome.ERROR) < 100


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_attempts_that_never_ran_do_not_cost_retry_budget(outcome: Outcome) -> None:
    """With half of all connections refused the budget ran out before a third attempt, which would succeed."""
    assert count_retries(outcome) == 300 * 3, "up to the maximum of attempts"


def opens_new_connection(host: BalancerHost, pause: float) -> bool:
    """Serve a call after a pause, and return whether it opened a new connection."""
    host.now += pause
    request, actions = host.receive_request(PAY)
    host.now += 20
    host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.SERVED)
    return bool(actions_of(actions, CloseIdleConnections))


def test_connections_that_die_when_idle_are_closed_sooner() -> None:
    """Connections silently dropped after a second of idleness cost each later call its whole timeout."""
    host = BalancerHost(1, tier=1)  # inner tiers shed nothing
    for _ in range(20):
        assert not opens_new_connection(host, 400.0)
    assert not opens_new_connection(host, 1_500.0)
    for _ in range(2):
        opens_new_connection(host, 10.0)
        host.now += 1_500
        request, actions = host.receive_request(PAY)
        assert not actions_of(actions, CloseIdleConnections)
        host.now += 1_000
        host.end_attempt(request, 0, "s0", Outcome.TIMED_OUT)
    opens_new_connection(host, 10.0)
    assert opens_new_connection(host, 1_600.0), "idle as long as before the silent calls"
    assert not opens_new_connection(host, 400.0), "a short idle time is known to be safe"
    for _ in range(60):
        opens_new_connection(host, 400.0)
    assert not opens_new_connection(host, 1_600.0), "newer attempts have displaced the evidence"


def test_request_never_has_two_attempts_in_flight_without_permission() -> None:
    host = BalancerHost(4, may_hedge=False)
    request, _ = host.receive_request()
    for token in (f"wait:{request}", f"hedge:{request}", "list", "unknown:7"):
        host.now += 100
        assert sent_attempts(host.handle(TimerExpired(token))) == []
