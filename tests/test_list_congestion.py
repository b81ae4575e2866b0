"""Congestion of the platform's discovery: how a tier backs off, and comes back."""

from __future__ import annotations

import heapq
import random

import pytest

from loadbalancer import interface
from loadbalancer.endpoint_watch.time_budget import CONGESTED_RETRY_INTERVAL_S, retry_interval_s
from loadbalancer.policy.endpoints import EndpointSet
from tests.list_service_faults import CHANGED_INDEX, INITIAL_INDEX, MAX_UNCONGESTED_TIER, new_watch

PLATFORM_INTERVAL_S = retry_interval_s(1, is_self_hosted=False)
CALL_TIMEOUT_S = 2.0  # after which discovery ends a call that waited
MAX_QUEUE_S = 3.0  # of work; past it calls are rejected at once


class CongestedDiscovery:
    """A tier, and a discovery that takes calls in turn, so many a second, and ends those that waited 2 s.

    A call that waited too long costs it what others do; past a queue of 3 s calls are rejected at once. Until
    `recovery_s` all are rejected, `rejection_delay_s` after they came. Each balancer calls until it is
    answered, then once more, for its watch.
    """

    def __init__(
        self,
        balancer_count: int,
        calls_per_s: float,
        recovery_s: float,
        rejection_delay_s: float,
        seed: int,
    ) -> None:
        self._call_cost_s = 1 / calls_per_s
        self._recovery_s = recovery_s
        self._rejection_delay_s = rejection_delay_s
        self._free_at_s = 0.0
        classes = (interface.RequestClass("read", 100.0, 1_000.0, interface.Idempotency.IDEMPOTENT),)
        settings = interface.Settings(
            classes, balancer_count=balancer_count, polls_endpoint_list=True, poll_interval_ms=30_000.0
        )
        self._chance = random.Random(seed)
        self._balancers = []
        for number in range(balancer_count):
            watch = new_watch(
                balancer_index=number,
                balancer_count=balancer_count,
                drain_grace_ms=500.0,
                is_self_hosted=False,
                seed=self._chance.getrandbits(32),
                index=INITIAL_INDEX,
            )
            endpoints = EndpointSet(settings, random.Random(self._chance.getrandbits(32)))
            self._balancers.append((watch, endpoints))

    def answered_by(self, until_s: float) -> list[float]:
        """Return when each balancer is answered that is by then."""
        calls = [(self._chance.uniform(0.0, 0.1), number) for number in range(len(self._balancers))]
        heapq.heapify(calls)
        answers = []
        while calls and (call := heapq.heappop(calls))[0] < until_s:
            began_s, number = call
            watch, endpoints = self._balancers[number]
            ended_s, is_answered = self._end_call(began_s)
            if is_answered:
                answers.append(ended_s)
                self._end_call(ended_s)  # its watch
                continue
            watch.record_failure(ended_s - began_s, response_timed_out=False, rejected=True)
            actions = endpoints.handle_list_failure(ended_s * 1e3, watch.retry_within_s * 1e3)
            [timer] = [a for a in actions if isinstance(a, interface.SetTimer)]
            heapq.heappush(calls, (timer.at_ms / 1e3, number))
        return answers

    def _end_call(self, now: float) -> tuple[float, bool]:
        """Return when a call that comes now ends, and whether it is answered."""
        if now < self._recovery_s:
            return now + self._rejection_delay_s, False
        begins_s = max(now, self._free_at_s)
        if begins_s > now + MAX_QUEUE_S:
            return now, False
        self._free_at_s = begins_s + self._call_cost_s
        if self._free_at_s <= now + CALL_TIMEOUT_S:
            return self._free_at_s, True
        return now + CALL_TIMEOUT_S, False


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("rejection_delay_s", [0.0, 2.0])
def test_a_tier_that_comes_back_after_an_outage_is_answered(rejection_delay_s: float, seed: int) -> None:
    """At intervals of 2.75 s all went on calling, and discovery, at 37 a second, answered nobody new."""
    discovery = CongestedDiscovery(160, 37.0, recovery_s=10.0, rejection_delay_s=rejection_delay_s, seed=seed)
    assert len(discovery.answered_by(30.0)) == 160


def test_each_congested_call_in_a_row_doubles_the_retry_interval_up_to_the_tiers_limit() -> None:
    """18,000 waited 675 s after any failed call; now only after eight congested ones and no answer."""
    for balancer_count, limit_s in (
        (MAX_UNCONGESTED_TIER, PLATFORM_INTERVAL_S),
        (160, 6.0),
        (18_000, 675.0),
    ):
        watch = new_watch(
            balancer_index=3, balancer_count=balancer_count, is_self_hosted=False, index=INITIAL_INDEX
        )
        watch.record_failure(0.1, response_timed_out=False, rejected=True)
        assert watch.retry_within_s == PLATFORM_INTERVAL_S - 0.1, "rejected at once: no congestion"
        for congested_calls in range(9):
            watch.record_failure(2.0, response_timed_out=False, rejected=True)
            interval_s = min(CONGESTED_RETRY_INTERVAL_S * 2**congested_calls, limit_s)
            assert watch.retry_within_s == pytest.approx(interval_s - 2.0)
        watch.record_answer(CHANGED_INDEX, 0.0)
        watch.record_failure(0.1, response_timed_out=False, rejected=True)
        assert watch.retry_within_s == PLATFORM_INTERVAL_S - 0.1, "the congestion has ended"


def test_a_long_poll_that_was_held_and_broken_off_has_met_no_congestion() -> None:
    watch = new_watch(balancer_index=3, balancer_count=18_000, is_self_hosted=False, index=INITIAL_INDEX)
    assert watch.next_request().is_long_poll
    watch.record_failure(20.0, response_timed_out=False, rejected=True)
    assert watch.retry_within_s == PLATFORM_INTERVAL_S
