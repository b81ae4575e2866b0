"""New processes of a tier do not all call the platform's discovery in the same instant.

On a herd day discovery was down for 8 s into a release, and drains were broken in 10 of 18 plays of ten
seeds. It answers 40 calls a second and takes calls in turn; those that waited 2 s are ended and cost it as
much. The calls of all balancers, logged, showed who lost the list six seconds after discovery was back: new
processes. A release starts 25 balancers beside their upstreams within 0.3 s, every two seconds, and each
called at once: of 85 such first calls 52 were ended after 2 s. Between bursts the balancers that came back
took all that discovery has, so that a burst brought the wait over 2 s, and nobody new was answered any more.
Watches that stood cost nothing: none of 802 requests that followed an answer at once was ended.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from loadbalancer.endpoint_watch.time_budget import (
    CHANGE_DEADLINE_S,
    SCHEDULING_SLACK_S,
    answer_time_s,
    retry_interval_s,
)
from loadbalancer.interface import LIST_RETRY_MEAN_BACKOFF_MS
from loadbalancer.net.config import EndpointList
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.discovery import DiscoveryClient, connection
from tests.list_service_faults import HERE, INITIAL_INDEX, FailingInstance, VirtualTimeLoop, new_watch
from tests.loopback import config_text

RETRY_INTERVAL_S = retry_interval_s(1, is_self_hosted=False)
TIER = 150


def first_delays_s(
    balancer_count: int, *, is_self_hosted: bool = False, index: int = INITIAL_INDEX
) -> list[float]:
    return [
        new_watch(
            balancer_count=balancer_count, is_self_hosted=is_self_hosted, seed=seed, index=index
        ).first_request_delay_s()
        for seed in range(400)
    ]


@pytest.mark.parametrize("balancer_count", [1, 10, TIER, 18_000])
def test_first_requests_of_a_tier_spread_by_its_size_within_a_retry_interval(balancer_count: int) -> None:
    window_s = min(LIST_RETRY_MEAN_BACKOFF_MS / 1_000 * balancer_count, RETRY_INTERVAL_S)
    delays_s = first_delays_s(balancer_count)
    assert 0 <= min(delays_s) < 0.1 * window_s
    assert 0.9 * window_s < max(delays_s) <= window_s
    most_in_a_tenth = max(sum(start <= d < start + window_s / 10 for d in delays_s) for start in delays_s)
    assert most_in_a_tenth < 2 * len(delays_s) / 10


def test_a_new_process_knows_a_change_as_soon_as_one_whose_call_has_failed() -> None:
    longest_s = max(first_delays_s(18_000)) + answer_time_s(is_self_hosted=False)
    assert longest_s <= CHANGE_DEADLINE_S - SCHEDULING_SLACK_S


def test_a_new_process_without_a_list_asks_for_it_at_once() -> None:
    assert set(first_delays_s(TIER, index=-1)) == {0.0}


def test_a_service_of_ones_own_is_asked_at_once() -> None:
    assert set(first_delays_s(TIER, is_self_hosted=True)) == {0.0}


class FirstCall:
    """A balancer's client on a discovery that answers, in virtual time."""

    def __init__(self, list_mode: str, seed: int, *, has_list: bool = True) -> None:
        entries = [HERE] if has_list else []
        text = config_text("127.0.0.1:1", entries, discovery=list_mode, balancers=TIER)
        text = json.dumps(json.loads(text) | {"seed": f"{seed:016x}"})
        self._config = read_config(text, lambda _: None)
        self.connected_at_s: list[float] = []
        self.updated = asyncio.Event()

    async def _connect(self, _: tuple[str, int]) -> object:
        self.connected_at_s.append(asyncio.get_running_loop().time())
        return await FailingInstance([], recovery_s=0.0, answer_delay_s=0.01).connect()

    def _on_update(self, _: EndpointList) -> bool:
        self.updated.set()
        return True

    async def begin(self, monkeypatch: pytest.MonkeyPatch, *, needs_full_snapshot: bool = False) -> float:
        """Return when the first call was made."""
        monkeypatch.setattr(connection, "connect", self._connect)
        client = DiscoveryClient(self._config, self._on_update, lambda: None, needs_full_snapshot)
        client.start()
        client.subscribe()
        await self.updated.wait()
        client.close()
        return self.connected_at_s[0]


def first_call_s(
    monkeypatch: pytest.MonkeyPatch,
    list_mode: str,
    seed: int,
    *,
    has_list: bool = True,
    takes_over: bool = False,
) -> float:
    async def run() -> float:
        first = FirstCall(list_mode, seed, has_list=has_list)
        return await first.begin(monkeypatch, needs_full_snapshot=takes_over)

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(run())


def test_the_client_makes_its_first_call_after_its_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    calls_s = [first_call_s(monkeypatch, "ask", seed) for seed in range(50)]
    assert max(calls_s) <= RETRY_INTERVAL_S
    assert (
        max(sum(start <= s < start + 0.3 for s in calls_s) for start in calls_s)
        < 50 * 0.3 / RETRY_INTERVAL_S * 3
    )


def test_a_pushed_list_is_watched_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    assert [first_call_s(monkeypatch, "push", seed) for seed in range(10)] == [0.0] * 10


def test_a_process_that_takes_over_or_has_no_list_asks_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    assert [first_call_s(monkeypatch, "ask", seed, takes_over=True) for seed in range(10)] == [0.0] * 10
    assert [first_call_s(monkeypatch, "ask", seed, has_list=False) for seed in range(10)] == [0.0] * 10
