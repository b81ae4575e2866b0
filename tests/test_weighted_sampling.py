"""Sample at a cost that does not grow with the fleet: the tree itself, and a balancer of thousands."""

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


def server(name: str, zone: str = "") -> Server:
    return Server(Endpoint(name, zone=zone), 0.0, 0.0)


@pytest.mark.parametrize("seed", range(4))
def test_tree_samples_like_a_walk_over_all_weights(seed: int) -> None:
    chance, tree = random.Random(seed), WeightedSamplingTree()
    weights: dict[str, float] = {}
    for step in range(3_000):
        name = f"s{chance.randrange(70)}"
        if name in weights and chance.random() < 0.3:
            tree.remove(name)
            del weights[name]
        else:
            weights[name] = chance.choice((0.0, chance.random(), 5.0))
            tree.set_weight(server(name), weights[name])
        assert len(tree) == len(weights)
        assert tree.total == pytest.approx(sum(weights.values()), abs=1e-9)
        if step % 100 == 0:
            found = Counter(
                s.endpoint.server for i in range(2_000) if (s := tree.server_at((i + 0.5) / 2_000))
            )
            for name, weight in weights.items():
                assert found[name] == pytest.approx(2_000 * weight / (tree.total or 1), abs=2)


def test_server_that_changes_its_zone_is_sampled_in_the_new_one_only() -> None:
    field, moved = Sampler(), server("s0", "a")
    field.set_weight(moved, 1.0)
    field.set_weight(server("s1", "a"), 1.0)
    moved.endpoint = Endpoint("s0", zone="b")
    field.set_weight(moved, 1.0)
    drawn = Counter(s.endpoint.server for s in field.draw("", {}, random.Random(1), 400))
    assert len(field) == 2 and abs(drawn["s0"] - 200) < 50 < drawn["s1"]
    field.remove("s0")
    assert {s.endpoint.server for s in field.draw("a", {}, random.Random(1), 50)} == {"s1"}


@pytest.mark.parametrize("count", [10, 2_000])
def test_decision_examines_few_servers_however_many_there_are(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At 10,000 servers each decision took 14 ms: it walked over all of them."""
    host, looked = BalancerHost(count, balancer_count=4), [0]
    estimate = CapacityEstimates.estimate

    def counted(*args: Any) -> float:
        looked[0] += 1
        return estimate(*args)

    monkeypatch.setattr(CapacityEstimates, "estimate", counted)
    for _ in range(300):
        host.serve_request()
    assert looked[0] <= 300 * 15


def test_list_update_examines_only_what_it_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    host, looked = BalancerHost(2_000), [0]

    def counted(*_: Any) -> float:
        looked[0] += 1
        return 1.0

    monkeypatch.setattr(CapacityEstimates, "estimate", counted)
    for number in range(50):
        readiness = Readiness.DRAINING if number % 2 else Readiness.READY
        host.update_list(Endpoint(f"s{number}", readiness), Endpoint(f"new{number}"), kind=UpdateKind.DELTA)
    assert looked[0] <= 100


def test_large_fleet_sends_no_requests_to_draining_or_cordoned_servers() -> None:
    host = BalancerHost(200)
    gone = {f"s{i}" for i in range(0, 200, 3)}
    held = {f"s{i}" for i in range(1, 200, 3)}
    host.update_list(*(Endpoint(name, Readiness.DRAINING) for name in gone), kind=UpdateKind.DELTA)
    for name in held:
        host.handle(CordonChanged(name, is_cordoned=True))
    used = {host.serve_request() for _ in range(1_500)}
    assert not used & (gone | held) and len(used) > 60, "66 are left"
    host.update_list(*make_endpoints(200))
    assert {host.serve_request() for _ in range(1_500)} & gone


def test_large_fleet_learns_and_follows_capacity() -> None:
    host = BalancerHost(100)
    slow = {f"s{i}" for i in range(50)}
    times = {f"s{i}": 60.0 if f"s{i}" in slow else 10.0 for i in range(100)}
    for _ in range(1_500):
        host.serve_request(takes=times)
    got = Counter(host.serve_request(takes=10.0) in slow for _ in range(600))
    assert got[False] > 1.5 * got[True] > 0


def test_large_fleet_fills_servers_up_to_their_limit_and_not_past_it() -> None:
    """Draws meet full servers then, and a walk over all would cost most when there is least to spare."""
    host = BalancerHost(100, balancer_count=1)
    out: list[tuple[int, str]] = []
    for _ in range(600):
        request, actions = host.receive_request(PAY)
        out += [(request, send.server) for send in sent_attempts(actions)]
    held = Counter(where for _, where in out)
    assert max(held.values()) <= 5 and len(out) >= 480
    request, where = out[0]
    assert sent_attempts(host.end_attempt(request, 0, where, Outcome.SERVED)), (
        "what has just ended a call has room"
    )


def test_large_fleet_retries_at_another_server() -> None:
    host = BalancerHost(100)
    for _ in range(30):
        request, actions = host.receive_request(READ)
        first = sent_attempts(actions)[0].server
        again = host.end_attempt(request, 0, first, Outcome.CONNECT_FAILED)
        assert not actions_of(again, Reject) and sent_attempts(again)[0].server != first
        host.end_attempt(request, 1, sent_attempts(again)[0].server, Outcome.SERVED)


def test_each_of_many_balancers_uses_a_subset_of_a_changing_large_fleet() -> None:
    host = BalancerHost(0, balancer_count=60)
    host.update_list(*make_endpoints(400))
    assert len(host.balancer.excluded_servers(host.now)) == 200
    host.update_list(*(Endpoint(f"s{i}", Readiness.DEAD) for i in range(200)), kind=UpdateKind.DELTA)
    avoided = set(host.balancer.excluded_servers(host.now))
    assert len(avoided) == 100
    assert not {host.serve_request() for _ in range(600)} & avoided
    host.update_list(*make_endpoints(300))
    avoided = set(host.balancer.excluded_servers(host.now))
    assert len(avoided) == 150
    assert not {host.serve_request() for _ in range(600)} & avoided
