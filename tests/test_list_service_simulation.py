"""Test the simulated list service with many balancers: propagation of changes, and the load."""

from __future__ import annotations

import pytest

from loadbalancer.simulation.watches import GRACE_MS, ListServiceSimulation


def test_all_balancers_know_a_drain_long_before_its_server_ends() -> None:
    fleet = ListServiceSimulation(balancers=30, servers=100, instances=2, seed=1)
    fleet.run(5_000.0)
    fleet.release(20_000.0)
    fleet.run(40_000.0)
    figures = fleet.figures()
    assert figures["changes"] == 100 and figures["not_heard"] == 0
    assert figures["heard_most_ms"] < GRACE_MS / 5
    assert figures["wrong_draws_most"] == 0.0
    assert figures["failed_calls"] == 0
    assert figures["whole_lists"] == 30, "each balancer's first answer, and none later"


def test_after_an_outage_balancers_reconnect_spread_out_and_without_a_full_list() -> None:
    fleet = ListServiceSimulation(balancers=200, servers=50, instances=1, seed=1)
    fleet.run(5_000.0)
    fleet.outage(20_000.0)
    fleet.run(10_000.0)
    during = sum(fleet.calls_by_second[second] for second in range(7, 15)) / 8
    assert during < 200, "on average they call less than once a second each"
    fleet.run(15_000.0)
    assert fleet.figures()["whole_lists"] == 200
    assert max(fleet.calls_by_second[second] for second in range(25, 30)) < 200


def test_after_an_outage_a_backlog_of_writes_does_not_make_each_balancer_call_for_each() -> None:
    """Guards against answering a repeated watch for any update: each balancer made 175 calls a second."""
    fleet = ListServiceSimulation(balancers=50, servers=500, instances=1, seed=1)
    fleet.run(5_000.0)
    fleet.release(30_000.0)
    fleet.run(10_000.0)
    fleet.outage(10_000.0)
    fleet.run(30_000.0)
    assert max(fleet.calls_by_second.values()) <= 50 * 55
    assert fleet.figures()["not_heard"] == 0


def test_a_play_is_reproducible() -> None:
    def figures() -> dict[str, float]:
        fleet = ListServiceSimulation(balancers=10, servers=20, instances=2, seed=3)
        fleet.release(5_000.0)
        fleet.run(6_000.0)
        fleet.outage(2_000.0)
        fleet.run(10_000.0)
        return fleet.figures()

    assert figures() == pytest.approx(figures())
