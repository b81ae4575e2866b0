"""A list service of several instances, as its clients see it: one fails, goes back, empties, stands still."""

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


def sources(number: int = 0) -> InstanceSelector:
    return InstanceSelector((A, B, C), number, random.Random(1))


def look(address: tuple[str, int], index: int, *names: str) -> ListVersion:
    return ListVersion(address, index, frozenset((name,) for name in names))


def test_balancers_begin_at_different_instances_and_ask_all_in_turn() -> None:
    assert [sources(number).address for number in range(4)] == [A, B, C, A]
    s = sources(1)
    told = []
    for _ in range(4):
        told.append((s.record_failure(), s.address))
    assert told == [(True, C), (True, A), (False, B), (True, C)]


def test_instances_that_tell_whole_lists_and_fail_each_watch_have_failed() -> None:
    """Two that did so were asked in turn without a pause, fifty times a second."""
    s = sources()
    told = []
    for _ in range(6):
        s.record_answer(1, 0.0, was_watch=False)
        told.append(s.record_failure())
    assert told == [True, True, False] * 2


def test_who_went_elsewhere_tries_its_first_choice_again_after_a_while() -> None:
    s = sources()
    s.record_answer(5, 0.0, True)
    assert not s.return_to_preferred(1e9), "it is at home"
    s.record_failure()
    s.record_answer(3, 100.0, True)
    assert not s.return_to_preferred(100.0 + PREFERRED_INSTANCE_RETRY_S / 2)
    assert s.return_to_preferred(100.0 + 2 * PREFERRED_INSTANCE_RETRY_S)
    assert s.address == A


def test_a_version_below_one_that_the_same_instance_told_is_rewound() -> None:
    s = sources()
    assert not s.record_answer(5, 0.0, True)
    s.record_failure()
    assert not s.record_answer(2, 0.0, True), "versions of instances do not compare"
    assert s.record_answer(1, 0.0, True)


def test_an_instance_that_stands_still_while_another_moves_on_is_left() -> None:
    s = sources()
    ours = look(A, 7, "s0", "s1")
    assert not s.switch_if_stale(ours, look(B, 50, "s0"), is_contradicted=False), "one look does not tell"
    assert not s.switch_if_stale(ours, look(B, 50, "s0"), is_contradicted=False), "both stand still"
    assert not s.switch_if_stale(look(A, 8, "s0", "s1"), look(B, 51, "s0"), is_contradicted=False), (
        "ours moves"
    )
    assert s.switch_if_stale(look(A, 8, "s0", "s1"), look(B, 52, "s0"), is_contradicted=False)
    assert s.address == B


def test_what_servers_say_against_our_list_makes_one_look_enough() -> None:
    s = sources()
    assert not s.switch_if_stale(look(A, 7, "s0"), look(B, 50, "s0"), is_contradicted=True), "the lists agree"
    assert s.switch_if_stale(look(A, 7, "s0"), look(B, 50, "s1"), is_contradicted=True)


def test_a_listed_server_that_answers_nothing_speaks_against_the_list() -> None:
    w = ContradictionDetector()
    w.record_outcome("s0", Outcome.CONNECT_FAILED, 0.0)
    w.record_outcome("s1", Outcome.CONNECT_FAILED, 0.0)
    w.record_outcome("s1", Outcome.SERVED, 1.0)
    w.record_outcome("s0", Outcome.CANCELLED, 1.0)
    w.record_outcome("s0", Outcome.RESET, 4.0)
    assert w.silent_servers(SILENCE_THRESHOLD_S - 0.1) == []
    assert w.silent_servers(SILENCE_THRESHOLD_S) == ["s0"]
    w.forget_server("s0")
    assert w.silent_servers(100.0) == []


def test_the_table_lists_turns_this_on_and_its_faults_are_told() -> None:
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
        "lists.others: an instance stands twice, or is the one in `discovery`"
    ]


def test_a_server_that_is_silent_for_long_costs_ever_fewer_looks_at_another_list() -> None:
    """Each of its balancers read another instance's whole list every second or two."""
    one = Watch(
        (A, B), balancer_index=0, balancer_count=2, drain_grace_ms=3_000, is_own_service=True, seed=1, index=7
    )

    def looks(first_s: int, last_s: int, contradicted: bool) -> int:
        return sum(one.next_cross_check(float(s), contradicted) is not None for s in range(first_s, last_s))

    assert looks(1, 2, True) == 1, "the first comes at once"
    assert looks(2, 61, True) <= 7
    assert looks(61, 62, False) == 0
    assert looks(62, 63, True) == 1, "and again at once for another one"


class Two:
    """Two scripted instances, and a balancer that knows both."""

    def __init__(self, upstreams: int = 1) -> None:
        self.one, self.other, self._upstreams = ListServer(), ListServer(), upstreams

    async def rig(self) -> ProxyHarness:
        self.at = [await self.one.start(), await self.other.start()]
        rig = ProxyHarness(*[Upstream() for _ in range(self._upstreams)], lists={"others": self.at[1:]})
        rig.discovery = self.one
        return rig


def indices(told: list[interface.Event]) -> list[tuple[UpdateKind, int]]:
    return [(e.kind, len(e.endpoints)) for e in told if isinstance(e, interface.EndpointListUpdate)]


def test_the_next_instance_is_asked_when_one_fails_and_the_list_has_not_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(list_backoff, "LIST_RETRY_INITIAL_BACKOFF_MS", 1.0)

    async def scenario() -> None:
        two = Two()
        async with await two.rig() as rig:
            told = record_events(rig)
            assert "after=7&" in await two.one.request_lines.get()
            two.one.responses.put_nowait(http_response(503, b""))
            assert await two.other.request_lines.get() == "GET /v1/servers HTTP/1.1"
            two.other.publish(3, *rig.entries, snapshot=True)
            assert "after=3&" in await two.other.request_lines.get(), "versions of instances do not compare"
            assert indices(told) == [(UpdateKind.FULL_SNAPSHOT, 1)]
            two.other.responses.put_nowait(http_response(503, b""))
            await two.one.request_lines.get()
            two.one.responses.put_nowait(http_response(503, b""))
            await two.other.request_lines.get()
            assert indices(told)[1:] == [(UpdateKind.FAILED, 0)], "now all have failed in turn"

    run_scenario(scenario())


def test_the_tier_is_asked_for_where_one_is_named() -> None:
    async def scenario() -> None:
        rig = ProxyHarness(Upstream(), lists={"tier": "second"})
        async with rig:
            assert "?tier=second&after=7&" in await rig.discovery.request_lines.get()

    run_scenario(scenario())


def test_a_list_that_went_back_is_taken_when_there_is_no_other_and_undoes_no_drain() -> None:
    async def scenario() -> None:
        rig = ProxyHarness(Upstream(), Upstream(), lists={})
        async with rig:
            await rig.discovery.request_lines.get()
            draining = rig.entries[0] | {"status": "terminating"}
            rig.discovery.publish(9, draining)
            await rig.discovery.request_lines.get()
            rig.discovery.publish(4, *rig.entries, snapshot=True)  # to a watch: refused
            assert "after" not in await rig.discovery.request_lines.get()
            rig.discovery.publish(4, *rig.entries, snapshot=True)  # to a whole look: a new beginning
            assert "after=4&" in await rig.discovery.request_lines.get()
            assert sorted(rig.proxy.balancer._endpoints.ready) == ["s1"]
            assert rig.proxy.endpoint_list_report().rewinds == 1
            for _ in range(4):
                assert status_of(await rig.request()) == 200
            assert not rig.upstreams[0].requests

    run_scenario(scenario())


def test_an_emptied_list_leaves_servers_in_use_until_they_refuse() -> None:
    async def scenario() -> None:
        rig = ProxyHarness(Upstream(), Upstream(), lists={})
        async with rig:
            await rig.discovery.request_lines.get()
            rig.discovery.publish(9, snapshot=True)
            await rig.discovery.request_lines.get()
            assert rig.proxy.endpoint_list_report().suspected_servers == ["s0", "s1"]
            assert status_of(await rig.request()) == 200
            gone = rig.upstreams[0]
            gone.server.close()
            for writer in gone.writers:
                writer.transport.abort()
            while rig.proxy.endpoint_list_report().suspected_servers != ["s1"]:
                assert status_of(await rig.request()) == 200

    run_scenario(scenario())


def test_a_list_that_is_not_believed_is_asked_for_again_as_a_whole_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What follows a halved list by its version does not tell whom that had left out."""
    monkeypatch.setattr(request_schedule, "FULL_SNAPSHOT_DELAY_S", 0.01)

    async def scenario() -> None:
        two = Two(upstreams=4)
        async with await two.rig() as rig:
            await two.one.request_lines.get()
            two.one.publish(8, *rig.entries[:1], snapshot=True)
            assert await two.other.request_lines.get() == "GET /v1/servers HTTP/1.1"
            two.other.publish(3, *rig.entries, snapshot=True)
            assert "after=3&" in await two.other.request_lines.get()
            assert rig.proxy.endpoint_list_report().suspected_servers == []
            assert len(rig.proxy.balancer._endpoints.ready) == 4

    run_scenario(scenario())


def test_a_watch_moves_on_from_an_instance_that_answers_and_never_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(cross_check, "CROSS_CHECK_INTERVAL_S", 0.0)
    monkeypatch.setattr(cross_check, "CROSS_CHECK_INTERVAL_PER_BALANCER_MS", 0.0)
    monkeypatch.setattr(list_cross_check, "CROSS_CHECK_POLL_INTERVAL_S", 0.01)

    async def scenario() -> None:
        two = Two(upstreams=2)
        async with await two.rig() as rig:
            await two.one.request_lines.get()
            two.one.publish(8, *rig.entries, snapshot=True)
            await two.one.request_lines.get()  # a watch that nothing ends
            for index in (50, 51):
                await two.other.request_lines.get()
                two.other.publish(index, rig.entries[0], snapshot=True)
            assert await two.other.request_lines.get() == "GET /v1/servers HTTP/1.1"
            two.other.publish(51, rig.entries[0], snapshot=True)
            while not rig.proxy.endpoint_list_report().stalls:
                await asyncio.sleep(0.01)

    run_scenario(scenario())
