"""A list service of several instances: failover, return, rewound, emptied and stale lists."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import pytest

from loadbalancer import configuration, interface
from loadbalancer.endpoint_watch import Watch, cross_check, request_schedule
from loadbalancer.endpoint_watch.contradictions import SILENCE_THRESHOLD_S, ContradictionDetector
from loadbalancer.endpoint_watch.instance_selection import (
    PREFERRED_INSTANCE_RETRY_S,
    InstanceSelector,
    ListVersion,
)
from loadbalancer.interface import Outcome, UpdateKind
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.discovery import cross_check as list_cross_check
from loadbalancer.policy import list_backoff
from tests.loopback import (
    ListServer,
    ProxyHarness,
    Upstream,
    config_text,
    endpoint_entry,
    http_response,
    run_scenario,
    status_of,
)
from tests.recorded_events import record_events

A, B, C = (("127.0.0.1", port) for port in (1, 2, 3))


def new_selector(balancer_index: int = 0) -> InstanceSelector:
    """Return a selector of three instances."""
    return InstanceSelector((A, B, C), balancer_index, random.Random(1))


def version_of(address: tuple[str, int], index: int, *names: str) -> ListVersion:
    """Return a list of these servers."""
    return ListVersion(address, index, frozenset((name,) for name in names))


def test_balancers_prefer_different_instances_and_fail_over_to_all_in_turn() -> None:
    assert [new_selector(number).address for number in range(4)] == [A, B, C, A]
    selector = new_selector(1)
    results = []
    for _ in range(4):
        results.append((selector.record_failure(), selector.address))
    assert results == [(True, C), (True, A), (False, B), (True, C)]


def test_instances_that_answer_full_lists_and_fail_each_watch_have_failed() -> None:
    """Two that did so were called in turn without a pause, fifty times a second."""
    selector = new_selector()
    results = []
    for _ in range(6):
        selector.record_answer(1, 0.0, was_watch=False)
        results.append(selector.record_failure())
    assert results == [True, True, False] * 2


def test_after_a_failover_the_preferred_instance_is_tried_again_after_a_while() -> None:
    selector = new_selector()
    selector.record_answer(5, 0.0, True)
    assert not selector.return_to_preferred(1e9), "it is the preferred one"
    selector.record_failure()
    selector.record_answer(3, 100.0, True)
    assert not selector.return_to_preferred(100.0 + PREFERRED_INSTANCE_RETRY_S / 2)
    assert selector.return_to_preferred(100.0 + 2 * PREFERRED_INSTANCE_RETRY_S)
    assert selector.address == A


def test_a_version_below_an_earlier_one_of_the_same_instance_is_rewound() -> None:
    selector = new_selector()
    assert not selector.record_answer(5, 0.0, True)
    selector.record_failure()
    assert not selector.record_answer(2, 0.0, True), "versions of instances do not compare"
    assert selector.record_answer(1, 0.0, True)


def test_an_instance_whose_list_is_stale_beside_anothers_is_switched_from() -> None:
    selector = new_selector()
    ours = version_of(A, 7, "s0", "s1")
    assert not selector.switch_if_stale(ours, version_of(B, 50, "s0"), is_contradicted=False), (
        "one cross-check is not enough"
    )
    assert not selector.switch_if_stale(ours, version_of(B, 50, "s0"), is_contradicted=False), (
        "both are unchanged"
    )
    assert not selector.switch_if_stale(
        version_of(A, 8, "s0", "s1"), version_of(B, 51, "s0"), is_contradicted=False
    ), "ours has changed"
    assert selector.switch_if_stale(
        version_of(A, 8, "s0", "s1"), version_of(B, 52, "s0"), is_contradicted=False
    )
    assert selector.address == B


def test_servers_that_contradict_our_list_make_one_cross_check_enough() -> None:
    selector = new_selector()
    assert not selector.switch_if_stale(
        version_of(A, 7, "s0"), version_of(B, 50, "s0"), is_contradicted=True
    ), "the lists agree"
    assert selector.switch_if_stale(version_of(A, 7, "s0"), version_of(B, 50, "s1"), is_contradicted=True)


def test_a_listed_server_that_answers_nothing_contradicts_the_list() -> None:
    detector = ContradictionDetector()
    detector.record_outcome("s0", Outcome.CONNECT_FAILED, 0.0)
    detector.record_outcome("s1", Outcome.CONNECT_FAILED, 0.0)
    detector.record_outcome("s1", Outcome.SERVED, 1.0)
    detector.record_outcome("s0", Outcome.CANCELLED, 1.0)
    detector.record_outcome("s0", Outcome.RESET, 4.0)
    assert detector.silent_servers(SILENCE_THRESHOLD_S - 0.1) == []
    assert detector.silent_servers(SILENCE_THRESHOLD_S) == ["s0"]
    detector.forget_server("s0")
    assert detector.silent_servers(100.0) == []


def test_the_lists_table_configures_instances_and_its_faults_are_reported() -> None:
    entries = [endpoint_entry("s0", "127.0.0.1:5000")]
    assert read_config(config_text("127.0.0.1:9", entries), pytest.fail).registry is None
    good: dict[str, Any] = {"others": ["127.0.0.1:10"], "tier": "second"}
    config = configuration.parse(json.loads(config_text("127.0.0.1:9", entries, lists=good)), pytest.fail)
    assert config.registry is not None
    assert (config.registry.tier, config.settings.suspect_stale_fraction) == ("second", 0.3)
    bad = json.loads(config_text("127.0.0.1:9", entries, lists={"others": ["here"], "doubt": 2, "x": 1}))
    assert len(configuration.validation_errors(bad)) == 3
    twice = json.loads(config_text("127.0.0.1:9", entries, lists={"others": ["127.0.0.1:9"]}))
    assert configuration.validation_errors(twice) == [
        "lists.others: an instance is listed twice, or is the one in `discovery`"
    ]


def test_a_server_that_is_silent_for_long_costs_ever_fewer_cross_checks() -> None:
    """Each of its balancers read another instance's full list every second or two."""
    watch = Watch(
        (A, B), balancer_index=0, balancer_count=2, drain_grace_ms=3_000, is_self_hosted=True, seed=1, index=7
    )

    def count_cross_checks(first_s: int, last_s: int, is_contradicted: bool) -> int:
        return sum(
            watch.next_cross_check(float(s), is_contradicted) is not None for s in range(first_s, last_s)
        )

    assert count_cross_checks(1, 2, True) == 1, "the first comes at once"
    assert count_cross_checks(2, 61, True) <= 7
    assert count_cross_checks(61, 62, False) == 0
    assert count_cross_checks(62, 63, True) == 1, "and again at once for another one"


class TwoInstances:
    """Two scripted instances, and a balancer that knows both."""

    def __init__(self, upstream_count: int = 1) -> None:
        self.first = ListServer()
        self.second = ListServer()
        self._upstream_count = upstream_count

    async def harness(self) -> ProxyHarness:
        addresses = [await self.first.start(), await self.second.start()]
        harness = ProxyHarness(
            *[Upstream() for _ in range(self._upstream_count)], lists={"others": addresses[1:]}
        )
        harness.discovery = self.first
        return harness


def updates_of(events: list[interface.Event]) -> list[tuple[UpdateKind, int]]:
    return [(e.kind, len(e.endpoints)) for e in events if isinstance(e, interface.EndpointListUpdate)]


def test_a_failed_call_fails_over_to_the_next_instance_and_the_list_has_not_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(list_backoff, "LIST_RETRY_INITIAL_BACKOFF_MS", 1.0)

    async def scenario() -> None:
        two = TwoInstances()
        async with await two.harness() as harness:
            events = record_events(harness)
            assert "after=7&" in await two.first.request_lines.get()
            two.first.responses.put_nowait(http_response(503, b""))
            assert await two.second.request_lines.get() == "GET /v1/servers HTTP/1.1"
            two.second.publish(3, *harness.entries, snapshot=True)
            assert "after=3&" in await two.second.request_lines.get(), "versions of instances do not compare"
            assert updates_of(events) == [(UpdateKind.FULL_SNAPSHOT, 1)]
            two.second.responses.put_nowait(http_response(503, b""))
            await two.first.request_lines.get()
            two.first.responses.put_nowait(http_response(503, b""))
            await two.second.request_lines.get()
            assert updates_of(events)[1:] == [(UpdateKind.FAILED, 0)], "now all have failed in turn"

    run_scenario(scenario())


def test_the_configured_tier_is_requested() -> None:
    async def scenario() -> None:
        harness = ProxyHarness(Upstream(), lists={"tier": "second"})
        async with harness:
            assert "?tier=second&after=7&" in await harness.discovery.request_lines.get()

    run_scenario(scenario())


def test_a_rewound_list_is_taken_when_there_is_no_other_and_undoes_no_drain() -> None:
    async def scenario() -> None:
        harness = ProxyHarness(Upstream(), Upstream(), lists={})
        async with harness:
            await harness.discovery.request_lines.get()
            draining = harness.entries[0] | {"status": "terminating"}
            harness.discovery.publish(9, draining)
            await harness.discovery.request_lines.get()
            harness.discovery.publish(4, *harness.entries, snapshot=True)  # to a watch: refused
            assert "after" not in await harness.discovery.request_lines.get()
            harness.discovery.publish(
                4, *harness.entries, snapshot=True
            )  # to a request for the full list: a new beginning
            assert "after=4&" in await harness.discovery.request_lines.get()
            assert sorted(harness.proxy.balancer._endpoints.ready) == ["s1"]
            assert harness.proxy.endpoint_list_report().rewinds == 1
            for _ in range(4):
                assert status_of(await harness.request()) == 200
            assert not harness.upstreams[0].requests

    run_scenario(scenario())


def test_an_emptied_list_keeps_servers_in_use_until_they_refuse_connections() -> None:
    async def scenario() -> None:
        harness = ProxyHarness(Upstream(), Upstream(), lists={})
        async with harness:
            await harness.discovery.request_lines.get()
            harness.discovery.publish(9, snapshot=True)
            await harness.discovery.request_lines.get()
            assert harness.proxy.endpoint_list_report().suspected_servers == ["s0", "s1"]
            assert status_of(await harness.request()) == 200
            refusing = harness.upstreams[0]
            refusing.server.close()
            for writer in refusing.writers:
                writer.transport.abort()
            while harness.proxy.endpoint_list_report().suspected_servers != ["s1"]:
                assert status_of(await harness.request()) == 200

    run_scenario(scenario())


def test_a_suspect_list_is_requested_again_in_full_of_another_instance(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Updates after a halved list's version do not mention what that had left out."""
    monkeypatch.setattr(request_schedule, "FULL_SNAPSHOT_DELAY_S", 0.01)

    async def scenario() -> None:
        two = TwoInstances(upstream_count=4)
        async with await two.harness() as harness:
            await two.first.request_lines.get()
            two.first.publish(8, *harness.entries[:1], snapshot=True)
            assert await two.second.request_lines.get() == "GET /v1/servers HTTP/1.1"
            two.second.publish(3, *harness.entries, snapshot=True)
            assert "after=3&" in await two.second.request_lines.get()
            assert harness.proxy.endpoint_list_report().suspected_servers == []
            assert len(harness.proxy.balancer._endpoints.ready) == 4

    run_scenario(scenario())


def test_a_watch_switches_from_an_instance_that_answers_and_never_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(cross_check, "CROSS_CHECK_INTERVAL_S", 0.0)
    monkeypatch.setattr(cross_check, "CROSS_CHECK_INTERVAL_PER_BALANCER_MS", 0.0)
    monkeypatch.setattr(list_cross_check, "CROSS_CHECK_POLL_INTERVAL_S", 0.01)

    async def scenario() -> None:
        two = TwoInstances(upstream_count=2)
        async with await two.harness() as harness:
            await two.first.request_lines.get()
            two.first.publish(8, *harness.entries, snapshot=True)
            await two.first.request_lines.get()  # a watch that nothing ends
            for index in (50, 51):
                await two.second.request_lines.get()
                two.second.publish(index, harness.entries[0], snapshot=True)
            assert await two.second.request_lines.get() == "GET /v1/servers HTTP/1.1"
            two.second.publish(51, harness.entries[0], snapshot=True)
            while not harness.proxy.endpoint_list_report().stalls:
                await asyncio.sleep(0.01)

    run_scenario(scenario())
