"""What servers get while they are warming up."""

from __future__ import annotations

from collections import Counter

import pytest

from loadbalancer.interface import (
    Endpoint,
    Outcome,
    UpdateKind,
)
from tests.helpers import (
    BalancerHost,
    sent_attempts,
    serve_with_latencies,
)


def test_warming_server_gets_few_requests() -> None:
    host = BalancerHost(4)
    serve_with_latencies(host, dict.fromkeys(("s0", "s1", "s2", "s3"), 10.0))
    host.update_list(Endpoint("s0", started_at_ms=host.now), kind=UpdateKind.DELTA)
    got = Counter(s.server for _ in range(16) for s in sent_attempts(host.receive_request()[1]))
    assert got["s0"] <= 2 < min(got["s1"], got["s2"], got["s3"])


def test_server_with_a_future_start_is_warm_without_slow_start() -> None:
    """By the clock of another machine; the warmth was a part of nothing, and the event failed."""
    host = BalancerHost(0, slow_start_ms=0.0)
    host.update_list(Endpoint("s0", started_at_ms=host.now + 500))
    assert host.serve_request() == "s0"


def test_fleet_of_warming_servers_is_not_overloaded() -> None:
    host = BalancerHost(2)
    host.update_list(*(Endpoint(f"s{i}", started_at_ms=host.now) for i in range(2)))
    got = Counter(s.server for _ in range(50) for s in sent_attempts(host.receive_request()[1]))
    assert set(got.values()) == {1}


@pytest.mark.parametrize(("balancers", "new"), [(6, False), (40, False), (6, True)])
def test_all_balancers_together_use_a_warming_zone_and_overload_no_server(balancers: int, new: bool) -> None:
    """Each went by what it sent to warm servers: next to nothing where these are in the other zone, and
    one call in each window was always granted, however many balancers there are."""

    def balancer(i: int) -> BalancerHost:
        zone, span = f"z{i % 2}", 2_000
        return BalancerHost(
            12, i, zone=zone, balancer_count=balancers, tier=1, tick_ms=0.1, slow_start_window_ms=span
        )

    fleet = [balancer(i) for i in range(balancers)]
    pause = balancers * 5.0  # 200 calls a second by all, to servers that can do 20 each
    got: dict[str, list[float]] = {f"s{i}": [] for i in range(0, 12, 2)}

    def play(rounds: int) -> None:
        for _ in range(rounds):
            for host in fleet:
                request, actions = host.receive_request()
                host.now += pause / 4
                for send in sent_attempts(actions):
                    if send.server in got:
                        got[send.server].append(host.now)
                    host.end_attempt(request, 0, send.server, Outcome.SERVED)
                host.now += pause * 3 / 4

    play(int(10_000 / pause))
    start = fleet[0].now
    if new:  # the zone was lost with its balancers
        fleet[::2] = [balancer(i) for i in range(0, balancers, 2)]
    for host in fleet:
        host.now = start
        host.update_list(
            *(Endpoint(name, zone="z0", started_at_ms=start) for name in got), kind=UpdateKind.DELTA
        )
    for times in got.values():
        times.clear()
    play(int(8_000 / pause))
    for times in got.values():
        for second in range(6):
            warmth = 0.2 + 0.8 * second / 10
            count = sum(start + 1_000 * second <= t < start + 1_000 * second + 2_000 for t in times)
            assert count <= 3.0 * warmth * 20 * 2, f"pushed over {second} s after its start"
            assert second < (5 if new else 3) or count > 0.4 * warmth * 16 * 2, (
                f"left unused {second} s after its start"
            )
