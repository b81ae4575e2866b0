"""What one member knows of all others: states by incarnation, and the updates that it disseminates."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

from loadbalancer.membership.messages import MAX_UPDATES, MemberUpdate

RETRANSMIT_MULTIPLIER = 3.0  # an update is sent this many times log2 of the fleet's size


class MemberState(enum.IntEnum):
    """The state of a member; of one incarnation, the higher one wins. The numbers are the wire's."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3  # on purpose


@dataclass(slots=True)
class MemberRecord:
    """One member, as it is seen here; times in ms."""

    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    state_since_ms: float = 0.0
    last_message_at_ms: float = -math.inf


class MemberTable:
    """The records of all members of a fleet, ourselves included.

    At the start all that the settings name are alive at incarnation 0: that is what is known.
    """

    def __init__(self, number: int, count: int, now: float) -> None:
        self.number = number
        self.count = count
        self.records = [MemberRecord(state_since_ms=now) for _ in range(count)]
        self.declared_dead_count = 0  # by ourselves, not by what others say
        self.last_declared_dead = -1
        self._transmissions: dict[int, int] = {}  # how often the update on a member has been sent
        self._max_transmissions = math.ceil(RETRANSMIT_MULTIPLIER * math.log2(count + 1))

    @property
    def incarnation(self) -> int:
        """Our own incarnation."""
        return self.records[self.number].incarnation

    @property
    def active_members(self) -> list[int]:
        """Members that are alive or suspected, ourselves included."""
        return [number for number, record in enumerate(self.records) if record.state <= MemberState.SUSPECTED]

    def state(self, number: int) -> MemberState:
        """Return the state of a member."""
        return self.records[number].state

    def members_in_state(self, state: MemberState) -> list[int]:
        """Return the numbers of the members in a state."""
        return [number for number, record in enumerate(self.records) if record.state is state]

    def apply_update(self, number: int, state: MemberState, incarnation: int, now: float) -> bool:
        """Take an update on another member; return whether it was new.

        A higher incarnation wins, and at the same one the worse state: only the member itself can refute
        what is said of it, by a higher incarnation.
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
        """Declare a member dead that no probe has reached."""
        if self.apply_update(number, MemberState.DEAD, self.records[number].incarnation, now):
            self.declared_dead_count += 1
            self.last_declared_dead = number

    def refute(self, incarnation: int, now: float) -> None:
        """Announce that we are alive, above an incarnation at which something else is claimed."""
        own = self.records[self.number]
        self._announce(MemberState.ALIVE, max(own.incarnation, incarnation) + 1, now)

    def leave(self, now: float) -> None:
        """Announce that we leave on purpose."""
        self._announce(MemberState.LEFT, self.incarnation + 1, now)

    def select_updates(self, recipient: int) -> tuple[MemberUpdate, ...]:
        """Return the updates for a message: the one against its recipient, then those sent least often."""
        chosen = []
        if self.records[recipient].state is not MemberState.ALIVE:
            chosen.append(recipient)  # so that it can refute it
        for number in sorted(self._transmissions, key=lambda n: (self._transmissions[n], n)):
            if len(chosen) >= MAX_UPDATES:
                break
            if number != recipient:
                chosen.append(number)
                self._transmissions[number] += 1
        self._transmissions = {
            number: sent for number, sent in self._transmissions.items() if sent < self._max_transmissions
        }
        records = self.records
        return tuple([MemberUpdate(n, int(records[n].state), records[n].incarnation) for n in chosen])

    def update_of(self, number: int) -> MemberUpdate:
        """Return what we know of a member, as an update."""
        record = self.records[number]
        return MemberUpdate(number, int(record.state), record.incarnation)

    def _announce(self, state: MemberState, incarnation: int, now: float) -> None:
        own = self.records[self.number]
        own.state = state
        own.incarnation = incarnation
        own.state_since_ms = now
        self._transmissions[self.number] = 0
