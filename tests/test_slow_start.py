"""Slow start: the load of servers that are warming up."""

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
    counts = Counter(s.server for _ in range(16) for s in sent_attempts(host.receive_request()[1]))
    assert counts["s0"] <= 2 < min(counts["s1"], counts["s2"], counts["s3"])


def test_server_with_a_future_start_is_warm_without_slow_start() -> None:
    """The start was by another machine's clock; the event failed with a division by zero."""
    host = BalancerHost(0, slow_start_ms=0.0)
    host.update_list(Endpoint("s0", started_at_ms=host.now + 500))
    assert host.serve_request() == "s0"


def test_fleet_of_warming_servers_is_not_overloaded() -> None:
    host = BalancerHost(2)
    host.update_list(*(Endpoint(f"s{i}", started_at_ms=host.now) for i in range(2)))
    counts = Counter(s.server for _ in range(50) for s in sent_attempts(host.receive_request()[1]))
    assert set(counts.values()) == {1}


@pytest.mark.parametrize(("balancers", "are_callers_new"), [(6, False), (40, False), (6, True)])
def test_all_balancers_together_use_a_warming_zone_and_overload_no_server(
    balancers: int, are_callers_new: bool
) -> None:
    """Each budget followed the balancer's own rate at warm servers, which is near zero if these are in the
    other zone, and always allowed one call per window, regardless of the number of balancers."""

    def make_host(i: int) -> BalancerHost:
        zone, window_ms = f"z{i % 2}", 2_000
        return BalancerHost(
            12, i, zone=zone, balancer_count=balancers, tier=1, tick_ms=0.1, slow_start_window_ms=window_ms
        )

    fleet = [make_host(i) for i in range(balancers)]
    interval_ms = balancers * 5.0  # 200 calls/s in total, to servers with a capacity of 20 calls/s each
    sent_at_ms: dict[str, list[float]] = {f"s{i}": [] for i in range(0, 12, 2)}

    def serve_rounds(rounds: int) -> None:
        for _ in range(rounds):
            for host in fleet:
                request, actions = host.receive_request()
                host.now += interval_ms / 4
                for send in sent_attempts(actions):
                    if send.server in sent_at_ms:
                        sent_at_ms[send.server].append(host.now)
                    host.end_attempt(request, 0, send.server, Outcome.SERVED)
                host.now += interval_ms * 3 / 4

    serve_rounds(int(10_000 / interval_ms))
    start = fleet[0].now
    if are_callers_new:  # the zone was lost together with its balancers
        fleet[::2] = [make_host(i) for i in range(0, balancers, 2)]
    for host in fleet:
        host.now = start
        host.update_list(
            *(Endpoint(name, zone="z0", started_at_ms=start) for name in sent_at_ms), kind=UpdateKind.DELTA
        )
    for times in sent_at_ms.values():
        times.clear()
    serve_rounds(int(8_000 / interval_ms))
    for times in sent_at_ms.values():
        for second in range(6):
            warm_up_fraction = 0.2 + 0.8 * second / 10
            count = sum(start + 1_000 * second <= t < start + 1_000 * second + 2_000 for t in times)
            assert count <= 3.0 * warm_up_fraction * 20 * 2, f"overloaded {second} s after its start"
            assert second < (5 if are_callers_new else 3) or count > 0.4 * warm_up_fraction * 16 * 2, (
                f"underused {second} s after its start"
            )
