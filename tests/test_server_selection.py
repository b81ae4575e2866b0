"""Server selection by capacity, load, zone and subset."""

from __future__ import annotations

from collections import Counter

import pytest

from loadbalancer.interface import (
    Endpoint,
    Outcome,
    RequestClass,
    UpdateKind,
)
from tests.helpers import (
    PAY,
    READ,
    BalancerHost,
    make_endpoints,
    sent_attempts,
    serve_with_latencies,
)


def count_requests_by_server(host: BalancerHost, rounds: int) -> Counter[str]:
    """Count requests by server, when all are served one at a time with the same latency."""
    return Counter(host.serve_request(takes=20.0) for _ in range(rounds))


def count_while_s0_fails(host: BalancerHost, rounds: int) -> Counter[str]:
    """Count requests by server, when s0 fails them at once and the others serve them."""
    counts: Counter[str] = Counter()
    for _ in range(rounds):
        request, actions = host.receive_request(PAY)
        server = sent_attempts(actions)[0].server
        counts[server] += 1
        host.now += 5
        host.end_attempt(request, 0, server, Outcome.ERROR if server == "s0" else Outcome.SERVED)
    return counts


def test_equal_servers_get_equal_numbers_of_requests() -> None:
    counts = count_requests_by_server(BalancerHost(4), 2_000)
    assert len(counts) == 4 and min(counts.values()) > 100


def test_requests_follow_learned_capacity() -> None:
    host = BalancerHost(2)
    serve_with_latencies(host, {"s0": 10.0, "s1": 30.0})
    counts = Counter(host.serve_request(takes=10.0) for _ in range(200))
    assert counts["s0"] > 1.7 * counts["s1"], "3 to 1 at first, converging to equal"


def test_least_loaded_server_is_selected() -> None:
    host = BalancerHost(2)
    counts = Counter(sent_attempts(host.receive_request()[1])[0].server for _ in range(8))
    assert abs(counts["s0"] - counts["s1"]) <= 4


def test_new_server_starts_at_median_capacity() -> None:
    host = BalancerHost(3)
    serve_with_latencies(host, {"s0": 10.0, "s1": 20.0, "s2": 60.0})
    host.update_list(*make_endpoints(3), Endpoint("new"))
    counts = Counter(sent_attempts(host.receive_request()[1])[0].server for _ in range(9))
    assert counts["s0"] >= counts["new"] > counts["s2"]


def test_unknown_servers_are_drawn_by_registered_capacity() -> None:
    """Among servers without calls, the lowest load of four draws was always that of the largest server."""
    counts: Counter[str] = Counter()
    for seed in range(1_000):
        host = BalancerHost(0, seed=seed)
        host.update_list(
            Endpoint("s0", registered_capacity=4.0),
            *(Endpoint(f"s{i}", registered_capacity=1.0) for i in range(1, 7)),
        )
        counts[sent_attempts(host.receive_request()[1])[0].server] += 1
    assert 330 < counts["s0"] < 470, "4 of 10 units of capacity"
    assert min(counts.values()) > 60


@pytest.mark.parametrize("size", [0.0, -1.0, float("inf"), float("nan")])
def test_impossible_registered_capacity_is_ignored(size: float) -> None:
    host = BalancerHost(0)
    host.update_list(Endpoint("s0", registered_capacity=size), Endpoint("s1"))
    assert {host.serve_request() for _ in range(60)} == {"s0", "s1"}


def test_class_of_priority_weight_zero_is_served() -> None:
    host = BalancerHost(
        2, classes=(RequestClass("free", 1_000, 3_000, READ.idempotency, priority_weight=0.0),)
    )
    assert {host.serve_request(host.balancer._requests._classes["free"]) for _ in range(60)} == {"s0", "s1"}


def count_first_calls_by_zone(sizes: dict[str, float]) -> Counter[str]:
    """Count the first calls of new balancers in zone `a` by zone, with one server per zone."""
    counts: Counter[str] = Counter()
    for seed in range(600):
        host = BalancerHost(0, seed=seed, zone="a")
        host.update_list(
            *(Endpoint(zone, zone=zone, registered_capacity=size) for zone, size in sizes.items())
        )
        counts[sent_attempts(host.receive_request()[1])[0].server] += 1
    return counts


def test_calls_stay_in_own_zone_while_it_has_its_part_of_the_capacity() -> None:
    assert count_first_calls_by_zone({"a": 1.0, "b": 1.0, "c": 0.5}) == {"a": 600}
    assert count_first_calls_by_zone({"a": 0.3, "b": 0.3, "c": 0.3}) == {"a": 600}
    third = 0.1 + 0.2  # an equal part of the total has a rounding error
    assert count_first_calls_by_zone({"a": third, "b": 0.3, "c": third}).keys() <= {"a", "b", "c"}


def test_zone_short_of_capacity_spills_over_to_zones_with_a_surplus() -> None:
    counts = count_first_calls_by_zone({"a": 1.0, "b": 3.0, "c": 2.0})
    assert 240 < counts["a"] < 360, "it has half of its equal part, which is 2"
    assert counts["c"] == 0 and counts["b"] == 600 - counts["a"]


def test_balancer_without_servers_in_its_zone_uses_all_others() -> None:
    assert count_first_calls_by_zone({"b": 1.0, "c": 1.0}).keys() == {"b", "c"}


def test_one_slow_response_does_not_ruin_a_capacity_estimate() -> None:
    host = BalancerHost(2)
    serve_with_latencies(host, {"s0": 20.0, "s1": 20.0}, 100)
    request, actions = host.receive_request()
    slow = sent_attempts(actions)[0].server
    host.now += 200
    host.end_attempt(request, 0, slow, Outcome.SERVED)
    counts = Counter(host.serve_request(takes=20.0) for _ in range(400))
    assert counts[slow] > 10


def test_silent_server_loses_capacity_before_its_first_timeout() -> None:
    host = BalancerHost(2)
    serve_with_latencies(host, {"s0": 20.0, "s1": 20.0}, 100)
    first = sent_attempts(host.receive_request()[1])[0].server
    host.now += 500
    counts = Counter(host.serve_request(takes=20.0) for _ in range(20))
    assert counts[first] <= 2


def test_server_that_fails_fast_does_not_attract_requests() -> None:
    assert count_while_s0_fails(BalancerHost(2, tier=1), 60)["s0"] < 10


def test_server_that_recovers_gets_requests_again() -> None:
    host = BalancerHost(2, tier=1)  # no load shedding in inner tiers
    count_while_s0_fails(host, 30)
    counts = Counter(host.serve_request(takes=20.0) for _ in range(1_500))
    assert counts["s0"] > 10


def test_inner_balancers_prefer_nearby_servers_without_calls() -> None:
    """Calls of twelve balancers collided at some servers while others were idle: each saw only its own."""
    nearby_sets = []
    for number in range(6):
        host = BalancerHost(0, tier=1, balancer_count=6, balancer_index=number, seed=number)
        host.update_list(*(Endpoint(f"s{i:02}") for i in range(36)))
        received = [host.receive_request(PAY) for _ in range(7)]
        servers = [sent_attempts(actions)[0].server for _, actions in received]
        assert len(set(servers[:6])) == 6, "each idle nearby server once"
        nearby_sets.append(frozenset(servers[:6]))
        host.end_attempt(received[0][0], 0, servers[0], Outcome.SERVED)
        assert sent_attempts(host.receive_request(PAY)[1])[0].server == servers[0], (
            "a nearby server that is idle again is preferred"
        )
    assert len(frozenset.union(*nearby_sets)) == 36, "together they cover all servers"


def test_nearby_servers_are_in_the_own_zone_while_it_has_servers() -> None:
    host = BalancerHost(0, tier=1, balancer_count=2, balancer_index=1, zone="z1")
    host.update_list(*make_endpoints(8))
    assert {sent_attempts(host.receive_request(PAY)[1])[0].server for _ in range(4)} == {
        "s1",
        "s3",
        "s5",
        "s7",
    }
    host.update_list(*(m for m in make_endpoints(8) if m.zone != "z1"))
    assert {sent_attempts(host.receive_request(PAY)[1])[0].server for _ in range(4)} == {
        "s0",
        "s2",
        "s4",
        "s6",
    }


def test_one_of_many_balancers_uses_a_stable_subset_of_the_servers() -> None:
    """Calls spread over all servers are too few at each to learn its capacity or to reuse connections."""
    subsets = []
    for seed in range(40):
        host = BalancerHost(60, seed=seed, balancer_count=300)
        subsets.append({host.serve_request() for _ in range(300)})
        host.update_list(Endpoint("s60"), kind=UpdateKind.DELTA)
        assert len({host.serve_request() for _ in range(100)} - subsets[-1]) <= 1, (
            "at most one server changes"
        )
    assert {len(subset) for subset in subsets} == {12}
    assert len(set[str]().union(*subsets)) > 55, "each balancer has its own subset"
    host = BalancerHost(20, balancer_count=10)
    assert len({host.serve_request() for _ in range(400)}) == 20, "few balancers use all the servers"


def test_ties_go_to_the_larger_capacity_and_draws_follow_it(monkeypatch: pytest.MonkeyPatch) -> None:
    host = BalancerHost(2)
    capacity = {"s0": 2.0, "s1": 1.0}
    monkeypatch.setattr(
        host.balancer._estimates.capacities, "estimate", lambda s, *_: capacity[s.endpoint.server]
    )
    request, _ = host.receive_request()
    known = host.balancer._requests.open_requests[request]
    known.attempts.clear()
    # (3 + 1) / 2 ties with (1 + 1) / 1
    host.balancer._endpoints.servers["s0"].in_flight, host.balancer._endpoints.servers["s1"].in_flight = 3, 1
    counts = Counter(
        s.endpoint.server for _ in range(2_000) if (s := host.balancer._selector.select(known, host.now))
    )
    assert counts["s0"] > 1_900, "s1 wins only if none of the four draws is s0: 1 in 81"
    assert counts["s1"] > 5


def test_failure_counts_at_its_full_timeout() -> None:
    """A failed call counts until its timeout, lest the server look fast, but is no longer in flight."""
    host = BalancerHost(1)
    _, actions = host.receive_request(PAY)
    host.now += 5
    host.end_attempt(1, 0, "s0", Outcome.ERROR)
    server = host.balancer._endpoints.servers["s0"]
    assert server.in_flight == 0 and server.in_flight_ms == pytest.approx(
        sent_attempts(actions)[0].timeout_ms, rel=0.01
    )
    assert server.served_calls == 0


def test_calls_of_high_expected_work_do_not_make_a_server_look_slow() -> None:
    """Counting heavy-tailed work as one call each made capacity estimates fluctuate randomly."""
    host = BalancerHost(1)
    for hint in (20.0, 20.0, 20.0, 200.0) * 50:
        request, actions = host.receive_request(PAY, expected_work_ms=hint)
        host.now += hint * 2
        host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.SERVED)
    server = host.balancer._endpoints.servers["s0"]
    mean = (20 * 3 + 200) / 4
    server.advance_to(host.now)
    assert server.served_calls / server.in_flight_ms == pytest.approx(1 / (2 * mean), rel=0.25)
