"""Endpoint list updates and their failures, and operators' cordons."""

from __future__ import annotations

import pytest

from loadbalancer.interface import (
    CordonChanged,
    Endpoint,
    EndpointListUpdate,
    LogMessage,
    Readiness,
    Reject,
    RequestArrived,
    SetTimer,
    Settings,
    TimerExpired,
    UpdateKind,
    WatchEndpointList,
)
from loadbalancer.policy import Balancer
from tests.helpers import (
    READ,
    BalancerHost,
    actions_of,
    make_endpoints,
    sent_attempts,
)


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.DEAD])
def test_draining_or_dead_server_gets_no_new_requests(readiness: Readiness) -> None:
    host = BalancerHost(2)
    host.update_list(Endpoint("s0", readiness), kind=UpdateKind.DELTA)
    assert {host.serve_request() for _ in range(30)} == {"s1"}


def test_server_omitted_by_a_full_snapshot_gets_no_new_requests() -> None:
    host = BalancerHost(2)
    host.update_list(Endpoint("s1"))
    assert {host.serve_request() for _ in range(30)} == {"s1"}


def test_list_is_watched_at_once_and_after_a_failure_with_jitter() -> None:
    retry_times = set()
    for seed in range(4):
        host = BalancerHost(2, seed=seed, polls_endpoint_list=True)
        assert actions_of(host.actions, WatchEndpointList) == [WatchEndpointList()]
        actions = host.handle(EndpointListUpdate(UpdateKind.FAILED))
        assert any(isinstance(a, LogMessage) for a in actions)
        timer = actions_of(actions, SetTimer)[0]
        assert isinstance(timer, SetTimer) and timer.at_ms < host.now + 5_000
        retry_times.add(timer.at_ms)
        assert WatchEndpointList() in host.handle(TimerExpired(timer.token))
        assert {host.serve_request() for _ in range(30)} == {"s0", "s1"}, "the previous list is kept"
    assert len(retry_times) == 4
    for _ in range(2_000):  # an outage of hours
        actions = host.handle(EndpointListUpdate(UpdateKind.FAILED))
        assert not any(isinstance(a, LogMessage) for a in actions)


@pytest.mark.parametrize("balancers", [4, 40, 100])
def test_fleet_requests_the_list_after_an_outage_no_faster_than_discovery_can_bear(balancers: int) -> None:
    """All balancers requested the list again within 750 ms, regardless of their number."""
    retry_times_ms: list[float] = []
    for seed in range(balancers):
        host = BalancerHost(balancer_count=balancers, polls_endpoint_list=True, seed=seed)
        retry_times_ms += [
            t.at_ms for t in host.handle(EndpointListUpdate(UpdateKind.FAILED)) if isinstance(t, SetTimer)
        ]
    assert len(retry_times_ms) == balancers
    busiest = max(sum(start <= t < start + 100 for t in retry_times_ms) for start in retry_times_ms)
    assert busiest <= max(100 / 25 * 3, 4), "balancers retry in step"


def test_uncordoned_server_is_used_soon_and_warms_up() -> None:
    host = BalancerHost(4)
    for _ in range(200):
        host.serve_request()
    host.handle(CordonChanged("s0", is_cordoned=True))
    assert "s0" not in {host.serve_request() for _ in range(100)}
    assert host.balancer.excluded_servers(host.now) == ["s0"]
    host.update_list(*make_endpoints(4))  # no list update lifts the cordon
    host.update_list(*make_endpoints(3)[1:], kind=UpdateKind.FULL_SNAPSHOT)
    host.update_list(*make_endpoints(4))
    assert "s0" not in {host.serve_request() for _ in range(100)}
    host.handle(CordonChanged("s0", is_cordoned=False, returned_at_ms=host.now))
    assert host.balancer.excluded_servers(host.now) == []
    served = [host.serve_request() for _ in range(100)]  # over 5 s, as if it had just started
    assert 0 < served.count("s0") < 15
    host.now += 10_000
    assert [host.serve_request() for _ in range(200)].count("s0") > 30


@pytest.mark.parametrize("seed", range(10))
def test_uncordoned_server_is_used_soon_where_calls_are_few(seed: int) -> None:
    """Drawn by weight alone, a warming server got its first call after 5 s or more on quiet balancers."""
    host = BalancerHost(12, seed=seed, balancer_count=5, tier=1)
    for _ in range(100):
        host.serve_request()
        host.now += 200
    host.handle(CordonChanged("s0", is_cordoned=True))
    host.now += 3_000
    host.handle(CordonChanged("s0", is_cordoned=False, returned_at_ms=host.now))
    uncordoned_at_ms = host.now
    while host.serve_request() != "s0":
        host.now += 400
        assert host.now < uncordoned_at_ms + 5_000


def test_cordon_of_an_unlisted_server_applies_once_it_is_listed() -> None:
    host = BalancerHost(2)
    host.handle(CordonChanged("new", is_cordoned=True))
    host.update_list(Endpoint("new"))
    assert host.balancer.excluded_servers(host.now) == ["new"]
    _, actions = host.receive_request()
    assert not sent_attempts(actions) and actions_of(actions, Reject)


def test_balancer_starts_without_a_list() -> None:
    balancer = Balancer(Settings(classes=(READ,), polls_endpoint_list=True), 1)
    assert WatchEndpointList() in balancer.handle(RequestArrived(1, "read", 500), 0.0)
