"""Failure detection after SWIM (Das, Gupta, Motivala, 2002), with Lifeguard's local health awareness.

Each period a member pings another one, in an order reshuffled each round. If there is no answer, it asks
three others to ping the target. A target that stays silent is suspected and probed some more times, directly
and through newly chosen relays; it is declared dead only if all of these rounds by the same member fail.
Updates are piggybacked on messages; the member concerned refutes a false one by a higher incarnation.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from loadbalancer.membership import messages
from loadbalancer.membership.actions import Action, SendMessage, SetTimer
from loadbalancer.membership.awareness import Awareness
from loadbalancer.membership.member_table import MemberState, MemberTable
from loadbalancer.membership.messages import GossipMessage, MessageKind

PROBE_PERIOD_MS = (
    250.0  # each member sends one probe; 99% of members are probed by some peer within 4.6 periods
)
ACK_TIMEOUT_MS = 100.0  # round trip of at most 2 x 35 ms, plus a busy event loop
MAX_RELAYS_PER_PROBE = 3  # members asked for an indirect ping after a direct one failed
MAX_PROBE_ROUNDS = 3  # rounds of direct and indirect pings before a silent member is declared dead
ROUND_TIMEOUT_MS = 200.0
PAUSE_DETECTION_MS = 500.0  # a timer this late means that the process was paused
DEAD_PROBE_INTERVAL_PERIODS = 4  # a dead member is pinged this often, to detect a healed partition
MAX_LEAVE_MESSAGES = 6  # members notified directly of a leave; gossip spreads it further
MAX_RELAYED_PINGS = 256  # maximum concurrent pings on behalf of others
SUSPICION_RECHECK_MS = 10_000.0  # a suspicion neither confirmed nor refuted is probed again
PAUSE_PENALTY = 2  # awareness points; a suspicion adds one
NO_TARGET = -1


@dataclass(slots=True)
class Probe:
    """A probe that awaits its target's acknowledgement."""

    target: int
    sequence: int
    next_step_ms: float
    is_relayed: bool = False  # whether others were asked to ping the target
    failed_rounds: int = 0


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping sent on behalf of another member: the requester, and its sequence number."""

    requester: int
    sequence: int


@dataclass(slots=True)
class MessageCounts:
    """Counts of messages sent, received, and dropped by reason."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    dropped: Counter[str] = field(default_factory=Counter)


class Membership:
    """One member: handles messages and timers, and returns actions to execute. Times are in ms."""

    def __init__(self, number: int, count: int, fleet_tag: bytes, seed: int, now: float = 0.0) -> None:
        """`number` is the index among `count` members; all share the four bytes of `fleet_tag`."""
        if not 0 <= number < count or len(fleet_tag) != messages.FLEET_TAG_BYTES:
            raise ValueError(
                f"invalid member number {number} of {count}, or fleet tag of {len(fleet_tag)} bytes"
            )
        self.table = MemberTable(number, count, now)
        self.counts = MessageCounts()
        self.awareness = Awareness()
        self._number = number
        self._fleet_tag = fleet_tag
        self._random = random.Random(seed)
        self._sequence = self._random.randrange(1 << 16)
        self._probes: dict[int, Probe] = {}
        self._relayed: dict[int, RelayedPing] = {}  # by the sequence number of our ping
        self._probe_order: list[int] = []
        self._next_period_ms = now
        self._timer_at_ms = now
        self._period_count = 0
        self._is_stopped = False
        self._actions: list[Action] = []

    def start(self, now: float) -> list[Action]:
        """Start probing at a random offset into the first period."""
        self._next_period_ms = now + self._random.random() * PROBE_PERIOD_MS
        return self._take_actions(now)

    def handle_timer(self, now: float) -> list[Action]:
        """Handle the timer, which may be late."""
        if self._is_stopped:
            return []
        if now - self._timer_at_ms > PAUSE_DETECTION_MS:
            self._recover_from_pause(now)
        for probe in list(self._probes.values()):
            if probe.next_step_ms <= now:
                self._advance_probe(probe, now)
        if self._next_period_ms <= now:
            self._begin_period(now)
        self._recheck_suspicions(now)
        return self._take_actions(now)

    def handle_message(self, sender: int, data: bytes, now: float) -> list[Action]:
        """Handle a datagram from a member's address; an unusable one is counted and dropped."""
        try:
            message = messages.decode_message(data, self._fleet_tag, self.table.count)
            if message.sender != sender or sender == self._number:
                raise messages.MessageDecodeError("forged")
        except messages.MessageDecodeError as reason:
            self.counts.dropped[str(reason)] += 1
            return []
        if self._is_stopped:
            return []
        self.counts.received += 1
        self._apply_updates(message, now)
        if message.kind == MessageKind.ACK:
            self._handle_ack(message)
        elif message.kind == MessageKind.PING:
            self._send(sender, MessageKind.ACK, message.sequence)
        elif 0 <= message.target != self._number and len(self._relayed) < MAX_RELAYED_PINGS:
            sequence = self._next_sequence()
            self._relayed[sequence] = RelayedPing(sender, message.sequence)
            self._send(message.target, MessageKind.PING, sequence)
        return self._take_actions(now)

    def leave(self, now: float) -> list[Action]:
        """Notify some members of an intentional leave, and send nothing afterwards."""
        self.table.leave(now)
        for recipient in self._sample_members(MAX_LEAVE_MESSAGES):
            self._send(recipient, MessageKind.PING, self._next_sequence(), includes_own_update=True)
        self._is_stopped = True
        actions, self._actions = self._actions, []
        return actions

    def _begin_period(self, now: float) -> None:
        """Probe the next member, and in every few periods ping a dead one."""
        self._next_period_ms = now + PROBE_PERIOD_MS * self.awareness.time_multiplier
        self._period_count += 1
        self._relayed = dict(list(self._relayed.items())[-MAX_RELAYED_PINGS // 2 :])
        if not self._probe_order:
            self._probe_order = self._other_members()
            self._random.shuffle(self._probe_order)
        while self._probe_order:
            target = self._probe_order.pop()
            if self.table.state(target) <= MemberState.SUSPECTED and target not in self._probes:
                self._begin_probe(target, now)
                break
        if self._period_count % DEAD_PROBE_INTERVAL_PERIODS == 0 and (
            dead := self.table.members_in_state(MemberState.DEAD)
        ):
            self._send(self._random.choice(dead), MessageKind.PING, self._next_sequence())

    def _begin_probe(self, target: int, now: float) -> None:
        sequence = self._next_sequence()
        self._probes[target] = Probe(target, sequence, now + ACK_TIMEOUT_MS * self.awareness.time_multiplier)
        self._send(target, MessageKind.PING, sequence)

    def _advance_probe(self, probe: Probe, now: float) -> None:
        """Advance an unanswered probe: indirect pings, then suspicion, then declaring the target dead."""
        target = probe.target
        if self.table.state(target) > MemberState.SUSPECTED:
            del self._probes[target]
            return
        if not probe.is_relayed:
            probe.is_relayed = True
            self._request_pings(probe)
            probe.next_step_ms = now + (ROUND_TIMEOUT_MS - ACK_TIMEOUT_MS) * self.awareness.time_multiplier
            return
        probe.failed_rounds += 1
        if probe.failed_rounds >= MAX_PROBE_ROUNDS:
            del self._probes[target]
            self.table.declare_dead(target, now)
            return
        if probe.failed_rounds == 1:
            self.awareness.worsen(1)
            incarnation = self.table.records[target].incarnation
            self.table.apply_update(target, MemberState.SUSPECTED, incarnation, now)
        self._send(target, MessageKind.PING, probe.sequence)
        self._request_pings(probe)
        probe.next_step_ms = now + ROUND_TIMEOUT_MS * self.awareness.time_multiplier

    def _request_pings(self, probe: Probe) -> None:
        """Ask random other members to ping the target."""
        for relay in self._sample_members(MAX_RELAYS_PER_PROBE, excluded=probe.target):
            self._send(relay, MessageKind.PING_REQUEST, probe.sequence, probe.target)

    def _other_members(self, excluded: int | None = None) -> list[int]:
        return [n for n in self.table.active_members if n not in (self._number, excluded)]

    def _sample_members(self, limit: int, excluded: int | None = None) -> list[int]:
        others = self._other_members(excluded)
        return self._random.sample(others, min(limit, len(others)))

    def _handle_ack(self, message: GossipMessage) -> None:
        """End the acknowledged probe, or forward the acknowledgement to the requester of a relayed ping."""
        if relayed := self._relayed.pop(message.sequence, None):
            self._send(relayed.requester, MessageKind.ACK, relayed.sequence, message.sender)
            return
        target = message.target if message.target >= 0 else message.sender
        probe = self._probes.get(target)
        if probe is not None and probe.sequence == message.sequence:
            del self._probes[target]
            self.awareness.improve()

    def _recheck_suspicions(self, now: float) -> None:
        """Probe long-suspected members again: the member that suspected them may be dead."""
        for number in self.table.members_in_state(MemberState.SUSPECTED):
            record = self.table.records[number]
            if now - record.state_since_ms > SUSPICION_RECHECK_MS and number not in self._probes:
                record.state_since_ms = now
                self._begin_probe(number, now)

    def _recover_from_pause(self, now: float) -> None:
        """Discard all probes: acknowledgements may have been missed during the pause."""
        self._probes.clear()
        self._next_period_ms = now
        self.awareness.worsen(PAUSE_PENALTY)

    def _apply_updates(self, message: GossipMessage, now: float) -> None:
        """Apply the updates in a message; refute false claims about this member."""
        self.table.records[message.sender].last_message_at_ms = now
        self.table.apply_update(message.sender, MemberState.ALIVE, message.incarnation, now)
        for number, state, incarnation in message.updates:
            if number != self._number:
                self.table.apply_update(number, MemberState(state), incarnation, now)
            elif (incarnation, state) > (self.table.incarnation, MemberState.ALIVE):
                self.table.refute(incarnation, now)

    def _send(
        self,
        recipient: int,
        kind: MessageKind,
        sequence: int,
        target: int = NO_TARGET,
        *,
        includes_own_update: bool = False,
    ) -> None:
        updates = self.table.select_updates(recipient)
        if includes_own_update:
            others = [update for update in updates if update.number != self._number]
            updates = (self.table.update_of(self._number), *others)[: messages.MAX_UPDATES]
        payload = messages.encode_message(
            GossipMessage(
                self._fleet_tag, kind, sequence, self._number, self.table.incarnation, target, updates
            )
        )
        self.counts.sent += 1
        self.counts.sent_bytes += len(payload)
        self._actions.append(SendMessage(recipient, payload))

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % (1 << 32)
        return self._sequence

    def _take_actions(self, now: float) -> list[Action]:
        """Return the pending actions, and the action that sets the next timer."""
        steps = [probe.next_step_ms for probe in self._probes.values()]
        self._timer_at_ms = min([self._next_period_ms, *steps])
        actions, self._actions = self._actions, []
        return [*actions, SetTimer(max(self._timer_at_ms, now))]
