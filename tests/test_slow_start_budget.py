"""Load of warming servers from all balancers together, in virtual time (`benchmarks/cold.py`)."""

from __future__ import annotations

from typing import Any

import pytest

from benchmarks.cold import play
from loadbalancer.interface import Endpoint, TakeoverChanged
from loadbalancer.net.learned_state import decode_learned_state, encode_learned_state
from loadbalancer.policy.slow_start import SlowStart
from tests.helpers import BalancerHost

CLASS_NAMES = {"read", "order", "anywhere", "zonal", "pay"}


@pytest.mark.parametrize(
    ("callers", "traffic", "seed"),
    [
        (30, "uneven", 0),
        (30, "uneven", 1),
        (30, "uneven", 2),
        (10, "even", 0),
        (3, "one", 0),
    ],
)
def test_old_and_new_process_together_overload_no_warming_server(
    callers: int, traffic: str, seed: int
) -> None:
    """Each of the two processes used the whole budget: 37 of 72 servers would have failed."""
    figures = play("handover", callers, traffic, seed, load=2.0, zones=2)
    assert figures.falls == 0, f"{figures.worst:.2f} of what a server stands"
    assert figures.used > 1.2, "the slow-start budget is underused"


@pytest.mark.parametrize(
    ("situation", "callers", "traffic"),
    [
        ("join", 30, "uneven"),
        ("restart", 10, "one"),
        ("all", 3, "uneven"),
        ("all", 100, "uneven"),
        ("shift", 30, "one"),
        ("fresh", 30, "even"),
        ("newcomers", 30, "uneven"),
        ("crash", 30, "even"),
    ],
)
def test_all_balancers_together_overload_no_warming_server(
    situation: str, callers: int, traffic: str
) -> None:
    figures = play(situation, callers, traffic, seed=0, load=2.0, zones=2)
    assert figures.falls == 0, f"{figures.worst:.2f} of what a server stands"


def test_fleet_of_warming_servers_is_used_by_hundreds_of_balancers() -> None:
    figures = play("all", 300, "uneven", seed=0, load=2.0, zones=2)
    assert figures.falls == 0, f"{figures.worst:.2f} of what a server stands"
    assert figures.used > 1.2


def test_benchmark_finds_balancers_that_all_round_their_budget_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that the simulation used above detects an overload if the budget is exceeded."""
    can_accept = SlowStart.can_accept

    def can_accept_rounded_up(self: SlowStart, server: Any, rate: float, work: float, now: float) -> bool:
        server.rounding_offset, server.rounding_offset_until_ms = 1.0, now + 1.0
        return can_accept(self, server, rate, work, now)

    monkeypatch.setattr(SlowStart, "can_accept", can_accept_rounded_up)
    assert play("all", 100, "uneven", seed=0, load=2.0, zones=2).falls > 0


def make_warm_host() -> BalancerHost:
    host = BalancerHost(4)
    for _ in range(800):
        host.serve_request(takes=10.0)
    return host


def test_process_and_successor_share_one_budget() -> None:
    """The budget is split by the requests that each receives, at any ratio, from the first request on."""
    alone, old, new = make_warm_host(), make_warm_host(), BalancerHost(4)
    new.now = old.now
    new.balancer.restore(
        decode_learned_state(encode_learned_state(old.balancer.learned_state(old.now)), CLASS_NAMES), old.now
    )
    old.handle(TakeoverChanged(True))
    for host in 10 * (new, new, old, new, old):
        for each in (alone, old, new):
            each.now += 10.0
        alone.receive_request()
        host.receive_request()
        request_counts = [each.balancer.learned_state(each.now).recent_requests for each in (alone, old, new)]
        assert request_counts[1] + request_counts[2] == pytest.approx(request_counts[0])
        assert 0 <= request_counts[1] < request_counts[0]


def test_peak_rate_of_the_predecessor_outlasts_the_first_request() -> None:
    """The first refresh dropped the restored rate, and with all servers warming up none was known."""
    old, new = make_warm_host(), BalancerHost(4)
    new.now = old.now
    new.balancer.restore(old.balancer.learned_state(old.now), old.now)
    new.update_list(*(Endpoint(f"s{i}", zone=f"z{i % 2}", started_at_ms=new.now) for i in range(4)))
    new.serve_request()
    learned = old.balancer.learned_state(old.now).peak_rates
    assert new.balancer.learned_state(new.now).peak_rates["z0"] == pytest.approx(learned["z0"], rel=0.05)


def test_learned_state_of_an_older_version_is_accepted() -> None:
    encoded = encode_learned_state(make_warm_host().balancer.learned_state(50_000.0))
    for name in ("asked", "asked_then"):
        del encoded[name]
    decoded = decode_learned_state(encoded, CLASS_NAMES)
    assert (decoded.recent_requests, decoded.recent_requests_at_peak) == (0.0, {})
