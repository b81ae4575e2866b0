"""A tier's balancers that tell one another who is there, by `loadbalancer.membership` in virtual time.

tier = Tier(count=50, seed=1, loss=0.05)
tier.run(10_000)
tier.kill(7)
tier.run(3_000)
print(tier.knowing(7))         # the share of the others that hold it for gone
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loadbalancer.membership import Action, Membership, MemberState, SendMessage, SetTimer
from loadbalancer.simulation.clock import Clock, Due

FLEET = b"lab0"


@dataclass
class Seat:
    """One member's place: the process that holds it, or none."""

    member: Membership | None
    due: Due | None = None
    paused: bool = False
    start: int = 0


class Tier:
    """Members, and the datagrams between them: delayed, lost, doubled, cut."""

    def __init__(
        self, count: int, seed: int, *, delay_ms: tuple[float, float] = (1.0, 35.0), loss: float = 0.0,
        doubled: float = 0.0,
    ) -> None:  # fmt: skip
        """All start at once; `delay_ms` is the least and the most that a datagram takes."""
        self.clock, self.count = Clock(), count
        self.loss, self.doubled = loss, doubled
        self._delay, self._seed = delay_ms, seed
        self._random = random.Random(f"{seed}/network")
        self.cut: Callable[[int, int], bool] = lambda one, other: False
        self.notes = self.bytes = 0
        self.deaths: list[tuple[float, int, int]] = []  # when, who said so, of whom
        self.seats = [Seat(None) for _ in range(count)]
        for number in range(count):
            self.start(number)

    # ---- what happens to members ----------------------------------------------------------------

    def start(self, number: int) -> None:
        """A process begins, and knows nothing."""
        seat = self.seats[number]
        seat.start += 1
        seed = random.Random(f"{self._seed}/{number}/{seat.start}").getrandbits(32)
        seat.member = Membership(number, self.count, FLEET, seed, self.clock.now)
        self._do(number, seat.member.start(self.clock.now))

    def kill(self, number: int) -> None:
        """A process is gone, at once and silently."""
        seat = self.seats[number]
        seat.member = None
        if seat.due is not None:
            seat.due.cancel()

    def leave(self, number: int) -> None:
        """A process ends on purpose."""
        seat = self.seats[number]
        if seat.member is not None:
            self._do(number, seat.member.leave(self.clock.now))
        self.kill(number)

    def pause(self, number: int, span_ms: float) -> None:
        """A process is there and does nothing for a while: what comes meanwhile waits for it."""
        self.seats[number].paused = True
        self.clock.after(span_ms, self._go_on, number)

    def _go_on(self, number: int) -> None:
        seat = self.seats[number]
        seat.paused = False
        if seat.member is not None:
            self._wake(number)

    def run(self, span_ms: float) -> None:
        """Let time pass."""
        self.clock.run(self.clock.now + span_ms)

    # ---- what is seen ---------------------------------------------------------------------------

    def living(self) -> list[int]:
        """Members whose process is there."""
        return [n for n, seat in enumerate(self.seats) if seat.member is not None]

    def view(self, number: int) -> tuple[MemberState, ...]:
        """What a living member believes of all."""
        member = self.seats[number].member
        assert member is not None
        return tuple(b.state for b in member.table.records)

    def knowing(self, dead: int) -> float:
        """The share of the living that hold a member for gone, or for one that has left."""
        others = [n for n in self.living() if n != dead]
        return sum(self.view(n)[dead] >= MemberState.DEAD for n in others) / max(len(others), 1)

    def agree(self) -> bool:
        """Whether all who live hold all who live for alive, and nobody else."""
        living = set(self.living())
        return all(
            (state is MemberState.ALIVE) == (n in living) and state is not MemberState.SUSPECTED
            for one in living
            for n, state in enumerate(self.view(one))
        )

    # ---- notes ----------------------------------------------------------------------------------

    def _do(self, number: int, actions: Iterable[Action]) -> None:
        seat = self.seats[number]
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(number, action)
            elif isinstance(action, SetTimer):
                if seat.due is not None:
                    seat.due.cancel()
                seat.due = self.clock.at(action.at_ms, self._wake, number)

    def _send(self, number: int, tell: SendMessage) -> None:
        self.notes += 1
        self.bytes += len(tell.payload)
        for _ in range(2 if self._random.random() < self.doubled else 1):
            if self._random.random() >= self.loss and not self.cut(number, tell.recipient):
                delay = self._random.uniform(*self._delay)
                self.clock.after(delay, self._arrive, number, tell.recipient, tell.payload)

    def _arrive(self, sender: int, to: int, data: bytes) -> None:
        seat = self.seats[to]
        if seat.paused:
            self.clock.after(10.0, self._arrive, sender, to, data)
        elif seat.member is not None:
            self._take(to, lambda member: member.handle_message(sender, data, self.clock.now))

    def _wake(self, number: int) -> None:
        if self.seats[number].member is not None and not self.seats[number].paused:
            self._take(number, lambda member: member.handle_timer(self.clock.now))

    def _take(self, number: int, event: Callable[[Membership], list[Action]]) -> None:
        member = self.seats[number].member
        assert member is not None
        before = member.table.declared_dead_count
        self._do(number, event(member))
        if member.table.declared_dead_count > before:
            self.deaths.append((self.clock.now, number, member.table.last_declared_dead))
