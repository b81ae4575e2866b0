"""What one member believes of all: states by incarnation, and the news that it passes on."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

from loadbalancer.membership.messages import MAX_UPDATES

RETRANSMIT_MULTIPLIER = 3.0  # an item of news goes out this many times log2 of the fleet's size
MemberUpdate = tuple[int, int, int]


class MemberState(enum.IntEnum):
    """What is believed of a member; of one incarnation, the higher one wins."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3  # on purpose


@dataclass(slots=True)
class MemberRecord:
    """One member, as it is seen here."""

    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    state_since_ms: float = 0.0
    last_message_at_ms: float = -math.inf  # when a note of its own last came


class MemberTable:
    """The beliefs on all members of a fleet, ourselves included.

    At the start all that the settings name pass for alive at incarnation 0: that is what is known.
    """

    def __init__(self, number: int, count: int, now: float) -> None:
        self.number, self.count = number, count
        self.records = [MemberRecord(state_since_ms=now) for _ in range(count)]
        self._sent: dict[int, int] = {}  # how often news of a member has gone out
        self.declared_dead_count, self.last_declared_dead = (
            0,
            -1,
        )  # how many we gave up ourselves, and whom last
        self._sends_most = math.ceil(RETRANSMIT_MULTIPLIER * math.log2(count + 1))

    @property
    def incarnation(self) -> int:
        """Our own."""
        return self.records[self.number].incarnation

    @property
    def active_members(self) -> list[int]:
        """Members that are not known to be gone, ourselves included."""
        return [n for n, b in enumerate(self.records) if b.state <= MemberState.SUSPECTED]

    def state(self, number: int) -> MemberState:
        """What is believed of a member."""
        return self.records[number].state

    def apply_update(self, number: int, state: MemberState, incarnation: int, now: float) -> bool:
        """Take news of another member; whether it was any.

        A higher incarnation wins, and at the same one the worse state: only the member itself can overrule
        what is said of it, by a higher incarnation.
        """
        belief = self.records[number]
        if (incarnation, state) <= (belief.incarnation, belief.state):
            return False
        if state is not belief.state:
            belief.state_since_ms = now
        belief.state, belief.incarnation = state, incarnation
        self._sent[number] = 0
        return True

    def declare_dead(self, number: int, now: float) -> None:
        """We have failed to reach a member, whatever we tried."""
        if self.apply_update(number, MemberState.DEAD, self.records[number].incarnation, now):
            self.declared_dead_count, self.last_declared_dead = self.declared_dead_count + 1, number

    def refute(self, incarnation: int, now: float) -> None:
        """Say that we are alive, above an incarnation at which another thing is said of us."""
        own = self.records[self.number]
        own.incarnation = max(own.incarnation, incarnation) + 1
        own.state, own.state_since_ms = MemberState.ALIVE, now
        self._sent[self.number] = 0

    def leave(self, now: float) -> None:
        """Say that we go, on purpose."""
        own = self.records[self.number]
        own.incarnation += 1
        own.state, own.state_since_ms = MemberState.LEFT, now
        self._sent[self.number] = 0

    def select_updates(self, to: int) -> tuple[MemberUpdate, ...]:
        """What goes with a note: what we hold against its receiver first, then what has gone out least."""
        chosen = []
        if self.records[to].state is not MemberState.ALIVE:
            chosen.append(to)  # so that it can overrule it
        for number in sorted(self._sent, key=lambda n: (self._sent[n], n)):
            if len(chosen) >= MAX_UPDATES:
                break
            if number != to:
                chosen.append(number)
                self._sent[number] += 1
        self._sent = {number: sent for number, sent in self._sent.items() if sent < self._sends_most}
        return tuple((n, int(self.records[n].state), self.records[n].incarnation) for n in chosen)
