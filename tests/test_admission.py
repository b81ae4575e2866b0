"""Admission, concurrency limits and the wait queue under overload."""

from __future__ import annotations

import heapq
from collections import Counter

import pytest

from loadbalancer.interface import (
    Action,
    ClientDisconnected,
    LogMessage,
    Outcome,
    Reject,
    RequestArrived,
    RequestClass,
    SendAttempt,
    SetTimer,
    Tenant,
    TimerExpired,
)
from tests.helpers import (
    PAY,
    READ,
    BalancerHost,
    actions_of,
    make_endpoints,
    sent_attempts,
)


def count_admitted(host: BalancerHost, takes: float, cls: RequestClass, rounds: int = 40) -> int:
    """Pass requests one after another, each served after `takes`; return how many were admitted."""
    admitted = 0
    for _ in range(rounds):
        request, actions = host.receive_request(cls)
        if sent_attempts(actions):
            admitted += 1
            host.now += takes
            host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.SERVED)
        else:
            assert Reject(request) in actions
            host.now += 20
    return admitted


LOW_WEIGHT = RequestClass("low", 1_000, 3_000, READ.idempotency, priority_weight=1.0)


HIGH_WEIGHT = RequestClass("high", 1_000, 3_000, PAY.idempotency, priority_weight=10.0)


def test_late_responses_shed_load_and_timely_ones_admit_it_again() -> None:
    host = BalancerHost(2)
    assert count_admitted(host, 50.0, READ, 40) == 40
    count_admitted(host, 950.0, READ, 60)
    assert count_admitted(host, 950.0, READ, 100) < 50
    logs = [a for a in host.actions if isinstance(a, LogMessage) and "shedding" in a.text]
    assert 1 <= len(logs) <= 6, "one line for consecutive rejections"
    count_admitted(host, 50.0, READ, 1_000)
    assert count_admitted(host, 50.0, READ, 40) == 40


def count_admitted_under_load(
    host: BalancerHost, takes: float, *requests: tuple[RequestClass, str | None], rounds: int = 200
) -> Counter[str]:
    """Pass rounds of requests, one every 20 ms, served after `takes`; count those admitted, by label."""
    admitted: Counter[str] = Counter()
    labels: dict[int, str] = {}  # tenant or class, by request
    due: list[tuple[float, int, str]] = []  # ends of calls, and timers of waiting requests

    def carry_out(actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                admitted[labels[action.request_id]] += 1
                heapq.heappush(due, (host.now + takes, action.request_id, action.server))
            elif isinstance(action, SetTimer) and action.token.startswith("wait:"):
                heapq.heappush(due, (action.at_ms, 0, action.token))

    def advance_to(until: float) -> None:
        while due and due[0][0] <= until:
            host.now, request, server_or_token = heapq.heappop(due)
            carry_out(
                host.end_attempt(request, 0, server_or_token, Outcome.SERVED)
                if request
                else host.handle(TimerExpired(server_or_token))
            )
        host.now = until

    for _ in range(rounds):
        for cls, tenant in requests:
            advance_to(host.now + 20)
            labels[host.last_request_id + 1] = tenant or cls.name
            carry_out(host.receive_request(cls, tenant=tenant)[1])
    while due:
        advance_to(due[0][0])
    return admitted


def test_one_late_response_sheds_nothing() -> None:
    """A tenth of a light load was rejected: each late response shed load until many timely ones had come."""
    host = BalancerHost(4)
    count_admitted(host, 50.0, READ, 20)
    count_admitted(host, 1_000.0, READ, 1)
    assert count_admitted(host, 50.0, READ, 40) == 40


def test_calls_in_flight_near_their_objective_shed_load_before_the_first_late_response() -> None:
    """Surges at many balancers overload a fleet before any of them sees a late response."""
    host = BalancerHost(8)
    assert all(sent_attempts(host.receive_request()[1]) for _ in range(30)), (
        "many calls in flight alone are no overload"
    )
    host.now += 700
    assert sum(bool(sent_attempts(host.receive_request()[1])) for _ in range(100)) < 20


def fill_servers(
    host: BalancerHost, cls: RequestClass = READ, max_requests: int = 1_000
) -> list[tuple[int, str]]:
    """Pass requests until one waits for capacity; return the earlier ones, each with its server."""
    sent: list[tuple[int, str]] = []
    for _ in range(max_requests):
        request, actions = host.receive_request(cls)
        if not sent_attempts(actions):
            return sent
        sent.append((request, sent_attempts(actions)[0].server))
    raise AssertionError("no concurrency limit was reached")


@pytest.mark.parametrize(
    ("balancer_count", "capacity", "max_calls"), [(1, 1.0, 5), (5, 1.0, 1), (2, 2.0, 5), (80, 1.0, 1)]
)
def test_no_server_gets_more_than_this_balancers_share_of_its_limit(
    balancer_count: int, capacity: float, max_calls: int
) -> None:
    """Servers with far more calls than cores turned slow and stayed so; 85% was rejected from then on."""
    host = BalancerHost(0, balancer_count=balancer_count)
    host.update_list(*make_endpoints(3, registered_capacity=capacity))
    calls = Counter(server for _, server in fill_servers(host))
    assert len(calls) == 3 and set(calls.values()) <= {max_calls, max_calls + (balancer_count == 80)}


def test_fractional_shares_of_a_limit_add_up_over_the_balancers() -> None:
    """Five calls among three balancers: two each would exceed the limit."""
    calls: Counter[str] = Counter()
    for number in range(90):
        host = BalancerHost(0, balancer_count=3, balancer_index=number % 3, seed=number)
        host.update_list(*make_endpoints(4))
        calls.update(server for _, server in fill_servers(host))
    assert all(125 < count < 175 for count in calls.values()), "about 30 times 5"


def test_a_fraction_of_the_limit_is_reserved_for_the_highest_priority_weight() -> None:
    """Calls of low weight filled the servers, and the long calls of the highest weight were late."""
    host = BalancerHost(2, classes=(LOW_WEIGHT, HIGH_WEIGHT))
    assert len(fill_servers(host, LOW_WEIGHT)) == 6
    host.handle(ClientDisconnected(max(host.balancer._requests.open_requests)))
    assert len(fill_servers(host, HIGH_WEIGHT)) == 4


def test_request_without_capacity_waits_and_is_sent_when_there_is_some() -> None:
    """Rejected clients retried within a millisecond, four times, and met the same full servers."""
    host = BalancerHost(2)
    first, server = fill_servers(host)[0]
    waiting = max(host.balancer._requests.open_requests)
    host.now += 10
    actions = host.end_attempt(first, 0, server, Outcome.SERVED)
    assert [(s.request_id, s.server) for s in sent_attempts(actions)] == [(waiting, server)]


def test_waiting_request_is_rejected_when_its_wait_is_over() -> None:
    """A wait takes at most a tenth of the objective, and less than half of the client's time."""
    for remaining, max_wait_ms in ((3_000.0, 100.0), (100.0, 45.0)):
        host = BalancerHost(1)
        fill_servers(host)
        request, actions = host.receive_request(READ, remaining)
        assert SetTimer(host.now + max_wait_ms, f"wait:{request}") in actions
        host.now += max_wait_ms
        assert Reject(request, 0.0) in host.handle(TimerExpired(f"wait:{request}"))
        assert not host.handle(TimerExpired(f"wait:{request}")), "one response"


def test_waiting_requests_are_sent_by_priority_weight_and_then_by_deadline() -> None:
    host = BalancerHost(1, classes=(LOW_WEIGHT, HIGH_WEIGHT))
    sent = fill_servers(host, HIGH_WEIGHT)
    first = max(host.balancer._requests.open_requests)
    low, _ = host.receive_request(LOW_WEIGHT)
    host.now += 5
    last, _ = host.receive_request(HIGH_WEIGHT)
    sent_after_each_end = [
        [s.request_id for s in sent_attempts(host.end_attempt(request, 0, server, Outcome.SERVED))]
        for request, server in sent[:5]
    ]
    assert sent_after_each_end == [[first], [last], [], [], [low]], "a low weight uses no more than its share"


def test_full_wait_queue_rejects_the_lowest_priority_weight() -> None:
    host = BalancerHost(1, classes=(LOW_WEIGHT, HIGH_WEIGHT))
    fill_servers(host, HIGH_WEIGHT)
    waiting = [host.receive_request(LOW_WEIGHT)[0] for _ in range(4)]
    request, actions = host.receive_request(HIGH_WEIGHT)
    assert not sent_attempts(actions) and actions_of(actions, Reject) == [Reject(waiting[-1], 0.0)]
    request, actions = host.receive_request(LOW_WEIGHT)
    assert Reject(request, 0.0) in actions, (
        "its weight is no higher than that of the others, and it came last"
    )


def test_waiting_request_of_a_disconnected_client_is_dropped() -> None:
    host = BalancerHost(1)
    sent = fill_servers(host)
    waiting = max(host.balancer._requests.open_requests)
    assert not host.handle(ClientDisconnected(waiting))
    assert not sent_attempts(host.end_attempt(sent[0][0], 0, sent[0][1], Outcome.SERVED))
    assert waiting not in host.balancer._requests.open_requests


def test_rejection_has_retry_after_where_settings_allow_it() -> None:
    """Rejected clients retried within a millisecond, up to four times, and were rejected each time."""
    for max_retry_after_ms, expected in ((0.0, 0.0), (60.0, 60.0), (2_000.0, 100.0)):
        host = BalancerHost(0, max_retry_after_ms=max_retry_after_ms)
        request, actions = host.receive_request(READ)
        assert Reject(request, expected) in actions


def test_rejections_by_servers_shed_load_before_responses_are_late() -> None:
    """Servers with full queues rejected seventy calls in five seconds, and no load was shed."""
    host = BalancerHost(4)
    count_admitted(host, 50.0, READ, 20)
    for _ in range(10):
        request, actions = host.receive_request(READ)
        attempt = 0
        while sent_attempts(actions):
            host.now += 5
            actions = host.end_attempt(request, attempt, sent_attempts(actions)[0].server, Outcome.REJECTED)
            attempt += 1
    assert host.balancer._requests.admitted_fraction(host.now) < 1.0


def test_shedding_ends_within_seconds_after_the_overload() -> None:
    """The admitted fraction once rose only with responses, which were few because it was low."""
    host = BalancerHost(8)
    count_admitted_under_load(host, 950.0, (READ, None))
    host.now += 2_000
    count_admitted_under_load(host, 50.0, (READ, None), rounds=100)
    assert count_admitted_under_load(host, 50.0, (READ, None), rounds=50)["read"] == 50


def test_lowest_priority_weight_is_shed_first() -> None:
    admitted = count_admitted_under_load(
        BalancerHost(2, classes=(LOW_WEIGHT, HIGH_WEIGHT)), 600.0, (HIGH_WEIGHT, None), (LOW_WEIGHT, None)
    )
    assert admitted["high"] > 1.5 * admitted["low"] > 0


def test_shedding_counts_work_and_spares_short_requests_of_high_weight(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A third of the calls but a tenth of the work: they fit into an admitted fraction of a fifth."""
    host = BalancerHost(4, classes=(LOW_WEIGHT, HIGH_WEIGHT))
    admitted = Counter[str]()
    monkeypatch.setattr(host.balancer._requests, "admitted_fraction", lambda _: 0.2)
    for _ in range(400):
        for cls, takes in ((HIGH_WEIGHT, 30.0), (LOW_WEIGHT, 999.0), (LOW_WEIGHT, 999.0)):
            admitted[cls.name] += count_admitted(host, takes, cls, 1)
            host.now += 200
    assert admitted["high"] > 350
    assert 40 < admitted["low"] < 300


def test_inner_tier_sheds_nothing() -> None:
    assert count_admitted(BalancerHost(2, tier=1), 950.0, READ, 100) == 100


def test_one_of_many_balancers_is_not_limited_to_a_call_or_two() -> None:
    """In a full-size fleet each balancer's share of a concurrency limit was used up by chance alone."""
    host = BalancerHost(8, balancer_count=400)
    assert all(sent_attempts(host.receive_request()[1]) for _ in range(8))


def test_tenant_over_its_quota_is_shed_before_the_others() -> None:
    host = BalancerHost(4, tenants=(Tenant("big", 0.1), Tenant("small", 500.0)), over_quota_weight_factor=0.1)
    admitted = count_admitted_under_load(host, 600.0, (READ, "big"), (READ, "small"))
    assert admitted["small"] > 1.5 * admitted["big"] > 0


def test_client_retries_do_not_use_up_their_tenants_quota() -> None:
    """Rejected clients retried up to four times, and one request counted as several."""
    host = BalancerHost(1, tenants=(Tenant("big", 2.0),), over_quota_weight_factor=0.1)

    def is_over_quota(is_retry: bool) -> bool:
        return host.balancer._requests._quotas.charge(
            RequestArrived(1, "read", 900, "big", is_retry), host.now
        )

    assert not any(is_over_quota(is_retry=True) for _ in range(20))
    assert [is_over_quota(is_retry=False) for _ in range(5)] == [False] * 4 + [True], (
        "two seconds of its quota at once"
    )
    assert is_over_quota(is_retry=True), "the retry of a request over quota is over quota as well"


def test_silent_call_counts_no_more_than_a_late_response() -> None:
    """Counted in flight and again at the timeout, a few hung servers made a whole fleet shed needlessly."""
    host = BalancerHost(
        8, classes=(RequestClass("slow", 1_000, 5_000, PAY.idempotency, late_value_fraction=0.25),)
    )
    cls = host.balancer._requests._classes["slow"]
    request, actions = host.receive_request(cls, remaining=5_000)
    for _ in range(60):  # in flight for three seconds beside timely responses
        count_admitted(host, 50.0, cls, 1)
    assert host.balancer._requests.admitted_fraction(host.now) == 1.0
    host.now += 2_000
    host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.TIMED_OUT)
    assert count_admitted(host, 50.0, cls, 40) == 40


def test_call_of_high_expected_work_may_take_long_before_it_is_hedged_or_load_is_shed() -> None:
    host = BalancerHost(4)
    for _ in range(60):
        request, actions = host.receive_request(expected_work_ms=10.0)
        host.now += 20
        host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.SERVED)

    def hedge_delay(expected_work_ms: float) -> float:
        timer = actions_of(host.receive_request(expected_work_ms=expected_work_ms)[1], SetTimer)[0]
        assert isinstance(timer, SetTimer)
        return timer.at_ms - host.now

    assert hedge_delay(20.0) > 1.5 * hedge_delay(10.0)
    host = BalancerHost(4)
    for expected_work_ms in (10.0,) * 60 + (200.0,) * 6:
        request, actions = host.receive_request(PAY, expected_work_ms=expected_work_ms)
        host.now += 4 * expected_work_ms
        host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.SERVED)
    assert host.balancer._requests.admitted_fraction(host.now) == 1.0


def test_small_calls_with_a_tight_objective_do_not_shed_the_large_ones() -> None:
    """A small site's balancer shed a fifth at light load: its lookups usually took half their objective."""
    tight = RequestClass("tight", 300, 900, READ.idempotency)
    host = BalancerHost(4, classes=(tight, PAY))
    for n in range(200):
        for cls, expected_work_ms, takes in ((tight, 10.0, 120.0), (PAY, 100.0, 100.0)):
            takes = takes if n > 100 else 10.0  # usual latencies are learned first
            request, actions = host.receive_request(cls, remaining=900, expected_work_ms=expected_work_ms)
            host.now += takes / 10  # ten calls at a time
            host.balancer._requests.open_requests[request].attempts[0].sent_at_ms -= takes * 0.9
            host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.SERVED)
    assert host.balancer._requests.admitted_fraction(host.now) == 1.0


def test_long_uncongested_latency_sheds_nothing() -> None:
    """A class with a usual latency near its objective looked congested, and others were rejected."""
    host = BalancerHost(4)
    for _ in range(200):
        host.serve_request(READ, takes=249.0)  # steady, and a quarter of its objective
    assert host.balancer._requests.admitted_fraction(host.now) == 1.0
    for _ in range(10):
        if host.balancer._requests.admitted_fraction(host.now) == 1.0:
            host.serve_request(READ, takes=900.0)  # the same class, congested
    assert host.balancer._requests.admitted_fraction(host.now) < 1.0


def test_responses_within_half_their_objective_shed_nothing() -> None:
    """Calls through two tiers take up to half their objective without congestion; most were rejected."""
    host = BalancerHost(4)
    for _ in range(100):
        for takes in (200.0, 350.0, 500.0):
            host.serve_request(READ, takes=takes)
            assert host.balancer._requests.admitted_fraction(host.now) == 1.0
