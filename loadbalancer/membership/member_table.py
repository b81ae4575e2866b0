"""One member's view of the tier: states by incarnation, and the updates to disseminate."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

from loadbalancer.membership.messages import MAX_UPDATES, MemberUpdate

RETRANSMIT_MULTIPLIER = 3.0  # transmissions of an update, as a multiple of log2 of the fleet's size


class MemberState(enum.IntEnum):
    """A member's state; the higher one wins within an incarnation. The values are the wire format."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3  # intentionally


@dataclass(slots=True)
class MemberRecord:
    """The local view of one member; times in ms."""

    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    state_since_ms: float = 0.0
    last_message_at_ms: float = -math.inf


class MemberTable:
    """The records of all members of a fleet, including this one.

    Initially all configured members are assumed alive at incarnation 0.
    """

    def __init__(self, number: int, count: int, now: float) -> None:
        self.number = number
        self.count = count
        self.records = [MemberRecord(state_since_ms=now) for _ in range(count)]
        self.declared_dead_count = 0  # by this member, not learned from others
        self.last_declared_dead = -1
        self._transmissions: dict[int, int] = {}  # how often the update about a member has been sent
        self._max_transmissions = math.ceil(RETRANSMIT_MULTIPLIER * math.log2(count + 1))

    @property
    def incarnation(self) -> int:
        """The incarnation of this member."""
        return self.records[self.number].incarnation

    @property
    def active_members(self) -> list[int]:
        """Members that are alive or suspected, including this one."""
        return [number for number, record in enumerate(self.records) if record.state <= MemberState.SUSPECTED]

    def state(self, number: int) -> MemberState:
        """Return the state of a member."""
        return self.records[number].state

    def members_in_state(self, state: MemberState) -> list[int]:
        """Return the numbers of the members in a state."""
        return [number for number, record in enumerate(self.records) if record.state is state]

    def apply_update(self, number: int, state: MemberState, incarnation: int, now: float) -> bool:
        """Apply an update about another member; return whether it was new.

        A higher incarnation wins, then the worse state: only the member itself can refute a claim about it,
        by a higher incarnation.
        """
        record = self.records[number]
        if (incarnation, state) <= (record.incarnation, record.state):
            return False
        if state is not record.state:
            record.state_since_ms = now
        record.state = state
        record.incarnation = incarnation
        self._transmissions[number] = 0
        return True

    def declare_dead(self, number: int, now: float) -> None:
        """Declare a member dead after its probes have failed."""
        if self.apply_update(number, MemberState.DEAD, self.records[number].incarnation, now):
            self.declared_dead_count += 1
            self.last_declared_dead = number

    def refute(self, incarnation: int, now: float) -> None:
        """Announce that this member is alive, at an incarnation above that of a claim to the contrary."""
        own = self.records[self.number]
        self._announce(MemberState.ALIVE, max(own.incarnation, incarnation) + 1, now)

    def leave(self, now: float) -> None:
        """Announce that this member leaves intentionally."""
        self._announce(MemberState.LEFT, self.incarnation + 1, now)

    def select_updates(self, recipient: int) -> tuple[MemberUpdate, ...]:
        """Return the updates for a message: any claim against the recipient, then the least often sent."""
        selected = []
        if self.records[recipient].state is not MemberState.ALIVE:
            selected.append(recipient)  # lets the recipient refute the claim
        for number in sorted(self._transmissions, key=lambda n: (self._transmissions[n], n)):
            if len(selected) >= MAX_UPDATES:
                break
            if number != recipient:
                selected.append(number)
                self._transmissions[number] += 1
        self._transmissions = {
            number: sent for number, sent in self._transmissions.items() if sent < self._max_transmissions
        }
        records = self.records
        return tuple([MemberUpdate(n, int(records[n].state), records[n].incarnation) for n in selected])

    def update_of(self, number: int) -> MemberUpdate:
        """Return the record of a member as an update."""
        record = self.records[number]
        return MemberUpdate(number, int(record.state), record.incarnation)

    def _announce(self, state: MemberState, incarnation: int, now: float) -> None:
        own = self.records[self.number]
        own.state = state
        own.incarnation = incarnation
        own.state_since_ms = now
        self._transmissions[self.number] = 0
