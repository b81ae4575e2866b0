"""Weighted sampling, in the tree itself and in balancers with many servers."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest

from loadbalancer.interface import CordonChanged, Endpoint, Outcome, Readiness, Reject, UpdateKind
from loadbalancer.policy.capacity_estimates import CapacityEstimates
from loadbalancer.policy.servers import Server
from loadbalancer.policy.weighted_sampling import Sampler, WeightedSamplingTree
from tests.helpers import PAY, READ, BalancerHost, actions_of, make_endpoints, sent_attempts


def make_server(name: str, zone: str = "") -> Server:
    return Server(Endpoint(name, zone=zone), 0.0, 0.0)


@pytest.mark.parametrize("seed", range(4))
def test_tree_samples_like_a_walk_over_all_weights(seed: int) -> None:
    rng, tree = random.Random(seed), WeightedSamplingTree()
    weights: dict[str, float] = {}
    for step in range(3_000):
        name = f"s{rng.randrange(70)}"
        if name in weights and rng.random() < 0.3:
            tree.remove(name)
            del weights[name]
        else:
            weights[name] = rng.choice((0.0, rng.random(), 5.0))
            tree.set_weight(make_server(name), weights[name])
        assert len(tree) == len(weights)
        assert tree.total == pytest.approx(sum(weights.values()), abs=1e-9)
        if step % 100 == 0:
            hits = Counter(
                s.endpoint.server for i in range(2_000) if (s := tree.server_at((i + 0.5) / 2_000))
            )
            for name, weight in weights.items():
                assert hits[name] == pytest.approx(2_000 * weight / (tree.total or 1), abs=2)


def test_server_that_changes_its_zone_is_sampled_in_the_new_one_only() -> None:
    sampler, moved = Sampler(), make_server("s0", "a")
    sampler.set_weight(moved, 1.0)
    sampler.set_weight(make_server("s1", "a"), 1.0)
    moved.endpoint = Endpoint("s0", zone="b")
    sampler.set_weight(moved, 1.0)
    drawn = Counter(s.endpoint.server for s in sampler.draw("", {}, random.Random(1), 400))
    assert len(sampler) == 2 and abs(drawn["s0"] - 200) < 50 < drawn["s1"]
    sampler.remove("s0")
    assert {s.endpoint.server for s in sampler.draw("a", {}, random.Random(1), 50)} == {"s1"}


@pytest.mark.parametrize("count", [10, 2_000])
def test_decision_examines_few_servers_however_many_there_are(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With 10,000 servers each decision took 14 ms, since it iterated over all of them."""
    host, estimate_calls = BalancerHost(count, balancer_count=4), [0]
    estimate = CapacityEstimates.estimate

    def counting_estimate(*args: Any) -> float:
        estimate_calls[0] += 1
        return estimate(*args)

    monkeypatch.setattr(CapacityEstimates, "estimate", counting_estimate)
    for _ in range(300):
        host.serve_request()
    assert estimate_calls[0] <= 300 * 15


def test_list_update_examines_only_what_it_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    host, estimate_calls = BalancerHost(2_000), [0]

    def counting_estimate(*_: Any) -> float:
        estimate_calls[0] += 1
        return 1.0

    monkeypatch.setattr(CapacityEstimates, "estimate", counting_estimate)
    for number in range(50):
        readiness = Readiness.DRAINING if number % 2 else Readiness.READY
        host.update_list(Endpoint(f"s{number}", readiness), Endpoint(f"new{number}"), kind=UpdateKind.DELTA)
    assert estimate_calls[0] <= 100


def test_large_fleet_sends_no_requests_to_draining_or_cordoned_servers() -> None:
    host = BalancerHost(200)
    draining = {f"s{i}" for i in range(0, 200, 3)}
    cordoned = {f"s{i}" for i in range(1, 200, 3)}
    host.update_list(*(Endpoint(name, Readiness.DRAINING) for name in draining), kind=UpdateKind.DELTA)
    for name in cordoned:
        host.handle(CordonChanged(name, is_cordoned=True))
    used = {host.serve_request() for _ in range(1_500)}
    assert not used & (draining | cordoned) and len(used) > 60, "66 are left"
    host.update_list(*make_endpoints(200))
    assert {host.serve_request() for _ in range(1_500)} & draining


def test_large_fleet_learns_and_follows_capacity() -> None:
    host = BalancerHost(100)
    slow = {f"s{i}" for i in range(50)}
    times = {f"s{i}": 60.0 if f"s{i}" in slow else 10.0 for i in range(100)}
    for _ in range(1_500):
        host.serve_request(takes=times)
    counts = Counter(host.serve_request(takes=10.0) in slow for _ in range(600))
    assert counts[False] > 1.5 * counts[True] > 0


def test_large_fleet_fills_servers_up_to_their_limit_and_not_past_it() -> None:
    """Draws hit full servers under overload, and a scan of all would cost most when CPU time is scarce."""
    host = BalancerHost(100, balancer_count=1)
    in_flight: list[tuple[int, str]] = []
    for _ in range(600):
        request, actions = host.receive_request(PAY)
        in_flight += [(request, send.server) for send in sent_attempts(actions)]
    calls_by_server = Counter(target for _, target in in_flight)
    assert max(calls_by_server.values()) <= 5 and len(in_flight) >= 480
    request, target = in_flight[0]
    assert sent_attempts(host.end_attempt(request, 0, target, Outcome.SERVED)), (
        "a server at which a call has just ended can accept one"
    )


def test_large_fleet_retries_at_another_server() -> None:
    host = BalancerHost(100)
    for _ in range(30):
        request, actions = host.receive_request(READ)
        first = sent_attempts(actions)[0].server
        retried = host.end_attempt(request, 0, first, Outcome.CONNECT_FAILED)
        assert not actions_of(retried, Reject) and sent_attempts(retried)[0].server != first
        host.end_attempt(request, 1, sent_attempts(retried)[0].server, Outcome.SERVED)


def test_each_of_many_balancers_uses_a_subset_of_a_changing_large_fleet() -> None:
    host = BalancerHost(0, balancer_count=60)
    host.update_list(*make_endpoints(400))
    assert len(host.balancer.excluded_servers(host.now)) == 200
    host.update_list(*(Endpoint(f"s{i}", Readiness.DEAD) for i in range(200)), kind=UpdateKind.DELTA)
    excluded = set(host.balancer.excluded_servers(host.now))
    assert len(excluded) == 100
    assert not {host.serve_request() for _ in range(600)} & excluded
    host.update_list(*make_endpoints(300))
    excluded = set(host.balancer.excluded_servers(host.now))
    assert len(excluded) == 150
    assert not {host.serve_request() for _ in range(600)} & excluded
