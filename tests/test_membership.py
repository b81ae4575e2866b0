"""Membership: invalid messages, deaths, rejoins, partitions, pauses, and convergence of the views."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from loadbalancer.membership import MAX_MESSAGE_BYTES, Membership, MemberState, SendMessage
from loadbalancer.membership.messages import GossipMessage, MessageKind, encode_message
from loadbalancer.simulation.gossip import FLEET_TAG, SimulatedTier

CONVERGENCE_MS = 20_000.0  # time within which all views agree after the last fault


def member(count: int = 4, **options: Any) -> Membership:
    return Membership(0, count, FLEET_TAG, seed=1, **options)


def message(sender: int = 1, **fields: Any) -> bytes:
    base: dict[str, Any] = {
        "fleet_tag": FLEET_TAG,
        "kind": MessageKind.PING,
        "sequence": 5,
        "sender": sender,
        "incarnation": 0,
    }
    return encode_message(GossipMessage(**(base | {"target": -1, "updates": ()} | fields)))


def test_ping_is_acknowledged_and_nothing_else_is_sent() -> None:
    sent = [a for a in member().handle_message(1, message(), now=10.0) if isinstance(a, SendMessage)]
    assert [a.recipient for a in sent] == [1] and len(sent[0].payload) <= MAX_MESSAGE_BYTES


@pytest.mark.parametrize(
    ("sender", "data", "reason"),
    [
        (1, b"", "garbled"), (1, b"\xc1" * 20, "garbled"), (1, b"x" * 300, "long"), (2, message(1), "forged"),
        (1, message(1, fleet_tag=b"else"), "foreign"), (1, message(1, kind=9), "garbled"),
        (1, message(1, updates=((9, 0, 0),)), "garbled"), (1, message(1, updates=((2, 7, 0),)), "garbled"),
        (1, message(1, target=99), "garbled"), (1, message(1, incarnation=1 << 40), "garbled"),
        (0, message(0), "forged"),
    ],
)  # fmt: skip
def test_unusable_messages_are_counted_and_change_nothing(sender: int, data: bytes, reason: str) -> None:
    subject = member()
    before = [(record.state, record.incarnation) for record in subject.table.records]
    assert subject.handle_message(sender, data, now=1.0) == []
    assert subject.counts.dropped == {reason: 1}
    assert [(record.state, record.incarnation) for record in subject.table.records] == before


@given(st.binary(max_size=300), st.integers(0, 3))
def test_no_datagram_raises(data: bytes, sender: int) -> None:
    member().handle_message(sender, data, now=1.0)


def test_old_and_duplicated_updates_change_nothing() -> None:
    subject = member()
    subject.handle_message(1, message(updates=((2, MemberState.DEAD, 3),)), now=1.0)
    assert subject.table.state(2) is MemberState.DEAD
    for old in (
        (2, MemberState.DEAD, 3),
        (2, MemberState.ALIVE, 3),
        (2, MemberState.ALIVE, 2),
        (2, MemberState.SUSPECTED, 3),
    ):
        subject.handle_message(1, message(updates=(old,)), now=2.0)
        assert subject.table.state(2) is MemberState.DEAD
    subject.handle_message(1, message(updates=((2, MemberState.ALIVE, 4),)), now=3.0)
    assert subject.table.state(2) is MemberState.ALIVE


def test_claim_about_ourselves_is_refuted_by_a_higher_incarnation() -> None:
    subject = member()
    subject.handle_message(1, message(updates=((0, MemberState.DEAD, 6),)), now=1.0)
    assert (subject.table.state(0), subject.table.incarnation) == (MemberState.ALIVE, 7)


@pytest.mark.parametrize("count", [2, 3, 10, 200])
def test_death_and_rejoin_are_detected_by_all(count: int) -> None:
    tier = SimulatedTier(count, seed=1, loss_rate=0.05)
    tier.run(3_000)
    assert tier.death_reports == []
    tier.kill(1)
    tier.run(6_000)
    assert tier.fraction_aware_of_death(1) == 1.0
    tier.start(1)
    tier.loss_rate = 0.0  # with packet loss some member is always briefly suspected
    tier.run(CONVERGENCE_MS)
    assert tier.has_converged()


def test_member_that_leaves_is_left_and_not_dead() -> None:
    tier = SimulatedTier(12, seed=2)
    tier.run(1_000)
    tier.leave(3)
    tier.run(3_000)
    assert {tier.view(n)[3] for n in tier.running_members()} == {MemberState.LEFT}
    assert tier.death_reports == []


def test_simultaneous_death_and_rejoin_of_seventy_percent_is_detected() -> None:
    tier = SimulatedTier(30, seed=3, loss_rate=0.02)
    tier.run(2_000)
    dead = list(range(21))
    for number in dead:
        tier.kill(number)
    tier.run(15_000)
    assert tier.has_converged()
    for number in dead:
        tier.start(number)
    tier.run(CONVERGENCE_MS)
    assert tier.has_converged()


def test_paused_member_is_declared_dead_and_suspects_nobody_when_it_resumes() -> None:
    tier = SimulatedTier(12, seed=4)
    tier.run(2_000)
    tier.pause(5, 3_000)
    tier.run(2_900)
    assert tier.fraction_aware_of_death(5) > 0.5
    tier.run(CONVERGENCE_MS)
    assert tier.has_converged()
    assert {report.member for report in tier.death_reports} == {5}


def test_one_way_partition_causes_no_death_while_others_reach_the_member() -> None:
    tier = SimulatedTier(12, seed=5)
    tier.is_link_cut = lambda sender, recipient: (sender, recipient) == (0, 1)
    tier.run(60_000)
    assert tier.death_reports == []


def test_partitioned_zone_rejoins_the_fleet_when_healed() -> None:
    tier = SimulatedTier(12, seed=6, loss_rate=0.02)
    tier.is_link_cut = lambda sender, recipient: (sender < 4) != (recipient < 4)
    tier.run(15_000)
    assert tier.view(0)[4:] == (MemberState.DEAD,) * 8 and tier.view(11)[:4] == (MemberState.DEAD,) * 4
    tier.is_link_cut = lambda sender, recipient: False
    tier.run(CONVERGENCE_MS)
    assert tier.has_converged()


def test_no_live_member_is_declared_dead_in_five_minutes_of_loss_and_duplication() -> None:
    tier = SimulatedTier(40, seed=7, loss_rate=0.05, duplicate_rate=0.1)
    tier.run(300_000)
    assert tier.death_reports == [] and tier.has_converged()


def test_message_rate_of_a_member_does_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (10, 100):
        tier = SimulatedTier(count, seed=8)
        tier.run(10_000)
        rates.append(tier.message_count / count / 10)
    assert rates[1] <= 1.1 * rates[0]


class MembershipViews(RuleBasedStateMachine):
    """All views converge after any sequence of faults."""

    def __init__(self) -> None:
        super().__init__()
        self.tier = SimulatedTier(5, seed=9, loss_rate=0.1, duplicate_rate=0.1)

    @rule(number=st.integers(0, 4), span=st.integers(50, 4_000))
    def pause(self, number: int, span: int) -> None:
        self.tier.pause(number, span)

    @rule(number=st.integers(0, 4))
    def kill(self, number: int) -> None:
        if len(self.tier.running_members()) > 1:
            self.tier.kill(number)

    @rule(number=st.integers(0, 4))
    def start(self, number: int) -> None:
        if self.tier.nodes[number].member is None:
            self.tier.start(number)

    @rule(number=st.integers(0, 4))
    def leave(self, number: int) -> None:
        if len(self.tier.running_members()) > 1:
            self.tier.leave(number)

    @rule(seed=st.integers(0, 1 << 20))
    def cut_some_links(self, seed: int) -> None:
        rng = random.Random(seed)
        cut_links = {(a, b) for a in range(5) for b in range(5) if rng.random() < 0.4}
        self.tier.is_link_cut = lambda sender, recipient: (sender, recipient) in cut_links

    @rule(span=st.integers(1, 8_000))
    def wait(self, span: int) -> None:
        self.tier.run(span)

    @invariant()
    def no_member_considers_itself_dead(self) -> None:
        for number in self.tier.running_members():
            assert self.tier.view(number)[number] is MemberState.ALIVE

    def teardown(self) -> None:
        self.tier.is_link_cut, self.tier.loss_rate = lambda sender, recipient: False, 0.0
        self.tier.run(4_000 + 3 * CONVERGENCE_MS)
        assert self.tier.has_converged(), [(n, self.tier.view(n)) for n in self.tier.running_members()]


MembershipViews.TestCase.settings = settings(
    max_examples=40, stateful_step_count=12, deadline=None, derandomize=True,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
test_views_converge_after_any_faults = MembershipViews.TestCase
