"""Failure detection after SWIM (Das, Gupta, Motivala, 2002), with Lifeguard's awareness of oneself (2018).

Each period a member pings another, in an order shuffled anew each round. Who does not answer is pinged by way
of three others. Who is still silent is suspected, and asked again, directly and by way of fresh others, some
times more; only who has failed all of these, at one and the same member, is gone. What is said of a member
travels with the notes; the member overrules it by a higher incarnation.

A member that is itself slow, was stopped or has lost its link sees all others fail. So our own health counts:
each suspicion that we raise, and each wake-up that comes late, stretches our times, up to eightfold, and each
answer in time shrinks them again.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from loadbalancer.membership import messages
from loadbalancer.membership.member_table import MemberState, MemberTable
from loadbalancer.membership.messages import GossipMessage, MessageKind

PERIOD_MS = 250.0  # one probe of each member; 99 in 100 are probed by somebody within 4.6 of them
ANSWER_MS = 100.0  # two ways of 35 ms at most, and a loop that is busy
RELAYS = 3  # ask for us where a direct ping was not answered
ROUNDS = 3  # of direct and relayed pings, after which a silent member is gone
ROUND_MS = 200.0
LATE_MS = 500.0  # so much late, a wake-up says that we were stopped
HEALTH_MOST = 8  # our times are stretched by 1 + health, at the most by this
TRIAL_EVERY = 4  # periods: one of the gone is pinged, so that a healed cut is seen
LEAVING_NOTES = 6  # to so many members we say that we go
RELAYED_MOST = 256  # probes that we carry for others at once
TRUST_MS = 10_000.0  # after which a suspicion that nobody confirms or overrules is looked into again


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a note to a member."""

    recipient: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `due` at a moment; an earlier wish gives way."""

    at_ms: float


Action = SendMessage | SetTimer


@dataclass(slots=True)
class Probe:
    """A member that we wait to hear from."""

    target: int
    sequence: int
    next_step: float
    relayed: bool = False  # whether others were asked
    rounds: int = 0  # that have failed


@dataclass(slots=True)
class MessageCounts:
    """What has gone in and out."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    dropped: Counter[str] = field(default_factory=Counter)


class Membership:
    """One member: feed it notes and wake-ups, carry out what it returns."""

    def __init__(self, number: int, count: int, fleet: bytes, seed: int, now: float = 0.0) -> None:
        """`number` of `count` members; `fleet` are four bytes that all of them share."""
        if not 0 <= number < count or len(fleet) != messages.TAG_BYTES:
            raise ValueError(f"member {number} of {count}, with a tag of {len(fleet)} bytes")
        self.table = MemberTable(number, count, now)
        self.counts, self.awareness_score = MessageCounts(), 0
        self._number, self._fleet = number, fleet
        self._random = random.Random(seed)
        self._sequence = self._random.randrange(1 << 16)
        self._probes: dict[int, Probe] = {}
        self._carried: dict[int, tuple[int, int]] = {}  # our sequence: who asked, and theirs
        self._order: list[int] = []
        self._next_period, self._wake_at, self._periods = now, now, 0
        self._left = False
        self._out: list[Action] = []

    # ---- events ---------------------------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Begin, at a moment of the first period drawn by chance."""
        self._next_period = now + self._random.random() * PERIOD_MS
        return self._done(now)

    def handle_timer(self, now: float) -> list[Action]:
        """A wake-up, on time or late."""
        if self._left:
            return []
        if now - self._wake_at > LATE_MS:
            self._were_stopped(now)
        for probe in list(self._probes.values()):
            if probe.next_step <= now:
                self._step(probe, now)
        if self._next_period <= now:
            self._period(now)
        self._look_again(now)
        return self._done(now)

    def handle_message(self, sender: int, data: bytes, now: float) -> list[Action]:
        """A note from the address of a member; one that can't be used is counted and passed over."""
        try:
            note = messages.decode_message(data, self._fleet, self.table.count)
            if note.sender != sender or sender == self._number:
                raise messages.MessageDecodeError("forged")
        except messages.MessageDecodeError as reason:
            self.counts.dropped[str(reason)] += 1
            return []
        if self._left:
            return []
        self.counts.received += 1
        self._take_news(note, now)
        if note.kind == MessageKind.ACK:
            self._acked(note, now)
        elif note.kind == MessageKind.PING:
            self._tell(sender, MessageKind.ACK, note.sequence)
        elif 0 <= note.target != self._number and len(self._carried) < RELAYED_MOST:
            sequence = self._new_sequence()
            self._carried[sequence] = (sender, note.sequence)
            self._tell(note.target, MessageKind.PING, sequence)
        return self._done(now)

    def leave(self, now: float) -> list[Action]:
        """Say to some that we go on purpose, and nothing more from then on."""
        self.table.leave(now)
        others = [n for n in self.table.active_members if n != self._number]
        for to in self._random.sample(others, min(LEAVING_NOTES, len(others))):
            self._tell(to, MessageKind.PING, self._new_sequence(), about_us=True)
        self._left = True
        out, self._out = self._out, []
        return out

    # ---- probes ---------------------------------------------------------------------------------

    def _period(self, now: float) -> None:
        """Probe the next one, and now and then one of those that are gone."""
        self._next_period = now + PERIOD_MS * self._stretch()
        self._periods += 1
        self._carried = dict(list(self._carried.items())[-RELAYED_MOST // 2 :])
        if not self._order:
            self._order = [n for n in self.table.active_members if n != self._number]
            self._random.shuffle(self._order)
        while self._order:
            target = self._order.pop()
            if self.table.state(target) <= MemberState.SUSPECTED and target not in self._probes:
                self._probe(target, now)
                break
        if self._periods % TRIAL_EVERY == 0:
            gone = [n for n, b in enumerate(self.table.records) if b.state is MemberState.DEAD]
            if gone:
                self._tell(self._random.choice(gone), MessageKind.PING, self._new_sequence())

    def _probe(self, target: int, now: float) -> None:
        sequence = self._new_sequence()
        self._probes[target] = Probe(target, sequence, now + ANSWER_MS * self._stretch())
        self._tell(target, MessageKind.PING, sequence)

    def _step(self, probe: Probe, now: float) -> None:
        """A probe was not answered in time: ask others, then suspect, then give up."""
        target = probe.target
        if self.table.state(target) > MemberState.SUSPECTED:
            del self._probes[target]
            return
        if not probe.relayed:
            probe.relayed = True
            self._ask_others(probe)
            probe.next_step = now + (ROUND_MS - ANSWER_MS) * self._stretch()
            return
        probe.rounds += 1
        if probe.rounds >= ROUNDS:
            del self._probes[target]
            self.table.declare_dead(target, now)
            return
        if probe.rounds == 1:
            self.awareness_score = min(self.awareness_score + 1, HEALTH_MOST - 1)
            self.table.apply_update(
                target, MemberState.SUSPECTED, self.table.records[target].incarnation, now
            )
        self._tell(target, MessageKind.PING, probe.sequence)
        self._ask_others(probe)
        probe.next_step = now + ROUND_MS * self._stretch()

    def _ask_others(self, probe: Probe) -> None:
        others = [n for n in self.table.active_members if n not in (self._number, probe.target)]
        for other in self._random.sample(others, min(RELAYS, len(others))):
            self._tell(other, MessageKind.PING_REQUEST, probe.sequence, probe.target)

    def _acked(self, note: GossipMessage, now: float) -> None:
        """Somebody was heard, by us or for another."""
        if carried := self._carried.pop(note.sequence, None):
            asker, sequence = carried
            self._tell(asker, MessageKind.ACK, sequence, note.sender)
            return
        target = note.target if note.target >= 0 else note.sender
        probe = self._probes.get(target)
        if probe is not None and probe.sequence == note.sequence:
            del self._probes[target]
            self.awareness_score = max(self.awareness_score - 1, 0)

    def _were_stopped(self, now: float) -> None:
        """We were not there: who did not answer meanwhile has not failed."""
        self._probes.clear()
        self._next_period = now
        self.awareness_score = min(self.awareness_score + 2, HEALTH_MOST - 1)

    # ---- news -----------------------------------------------------------------------------------

    def _take_news(self, note: GossipMessage, now: float) -> None:
        sender = self.table.records[note.sender]
        sender.last_message_at_ms = now
        self.table.apply_update(note.sender, MemberState.ALIVE, note.incarnation, now)
        for number, state, incarnation in note.updates:
            if number != self._number:
                self.table.apply_update(number, MemberState(state), incarnation, now)
            elif (incarnation, state) > (self.table.incarnation, MemberState.ALIVE):
                self.table.refute(incarnation, now)

    def _look_again(self, now: float) -> None:
        """Look again at those whose suspicion nobody confirms or overrules: who raised it may be gone."""
        for number, belief in enumerate(self.table.records):
            if (
                belief.state is MemberState.SUSPECTED
                and now - belief.state_since_ms > TRUST_MS
                and number not in self._probes
            ):
                belief.state_since_ms = now
                self._probe(number, now)

    # ---- notes ----------------------------------------------------------------------------------

    def _stretch(self) -> float:
        return 1.0 + self.awareness_score

    def _new_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % (1 << 32)
        return self._sequence

    def _tell(
        self, to: int, kind: MessageKind, sequence: int, target: int = -1, about_us: bool = False
    ) -> None:
        news = self.table.select_updates(to)
        if about_us:
            own = self.table.records[self._number]
            said = (self._number, int(own.state), own.incarnation)
            news = (said, *[item for item in news if item[0] != self._number])[: messages.MAX_UPDATES]
        note = GossipMessage(self._fleet, kind, sequence, self._number, self.table.incarnation, target, news)
        data = messages.encode_message(note)
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self._out.append(SendMessage(to, data))

    def _done(self, now: float) -> list[Action]:
        """What is to be done, and when we want to be woken."""
        self._wake_at = min([self._next_period, *[p.next_step for p in self._probes.values()]])
        out, self._out = self._out, []
        return [*out, SetTimer(max(self._wake_at, now))]
