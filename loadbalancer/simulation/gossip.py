"""The gossip of a tier's balancers in virtual time, run by `loadbalancer.membership`.

tier = SimulatedTier(count=50, seed=1, loss_rate=0.05)
tier.run(10_000)
tier.kill(7)
tier.run(3_000)
print(tier.fraction_aware_of_death(7))
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loadbalancer.membership import Action, Membership, MemberState, SendMessage, SetTimer
from loadbalancer.simulation.clock import Clock, ScheduledCall

FLEET_TAG = b"lab0"
PAUSED_RETRY_MS = 10.0  # between attempts to deliver to a paused member


@dataclass
class Node:
    """One member of the tier: its running process, if any."""

    member: Membership | None = None
    timer: ScheduledCall | None = None
    is_paused: bool = False
    start_count: int = 0


@dataclass(frozen=True)
class DeathReport:
    """A member was declared dead by another that probed it."""

    at_ms: float
    reporter: int
    member: int


class SimulatedTier:
    """Members, and the datagrams between them: delayed, lost, duplicated or cut off."""

    def __init__(
        self,
        count: int,
        seed: int,
        *,
        delay_ms: tuple[float, float] = (1.0, 35.0),
        loss_rate: float = 0.0,
        duplicate_rate: float = 0.0,
    ) -> None:
        """All start at once; `delay_ms` is the least and the most that a datagram takes."""
        self.clock = Clock()
        self.count = count
        self.loss_rate = loss_rate
        self.duplicate_rate = duplicate_rate
        self.is_link_cut: Callable[[int, int], bool] = lambda sender, recipient: False
        self.message_count = 0
        self.byte_count = 0
        self.death_reports: list[DeathReport] = []
        self.nodes = [Node() for _ in range(count)]
        self._delay_ms = delay_ms
        self._seed = seed
        self._random = random.Random(f"{seed}/network")
        for number in range(count):
            self.start(number)

    # ---- member lifecycle -----------------------------------------------------------------------

    def start(self, number: int) -> None:
        """Start a member's process without state."""
        node = self.nodes[number]
        node.start_count += 1
        seed = random.Random(f"{self._seed}/{number}/{node.start_count}").getrandbits(32)
        node.member = Membership(number, self.count, FLEET_TAG, seed, self.clock.now)
        self._carry_out(number, node.member.start(self.clock.now))

    def kill(self, number: int) -> None:
        """End a member's process at once and silently."""
        node = self.nodes[number]
        node.member = None
        if node.timer is not None:
            node.timer.cancel()

    def leave(self, number: int) -> None:
        """End a member's process after it has announced that it leaves."""
        node = self.nodes[number]
        if node.member is not None:
            self._carry_out(number, node.member.leave(self.clock.now))
        self.kill(number)

    def pause(self, number: int, span_ms: float) -> None:
        """Stop a member's process for a while: datagrams for it wait."""
        self.nodes[number].is_paused = True
        self.clock.after(span_ms, self._resume, number)

    def _resume(self, number: int) -> None:
        node = self.nodes[number]
        node.is_paused = False
        if node.member is not None:
            self._handle_timer(number)

    def run(self, span_ms: float) -> None:
        """Run the tier for a span of virtual time."""
        self.clock.run(self.clock.now + span_ms)

    # ---- observed state -------------------------------------------------------------------------

    def running_members(self) -> list[int]:
        """Return the members whose process runs."""
        return [number for number, node in enumerate(self.nodes) if node.member is not None]

    def view(self, number: int) -> tuple[MemberState, ...]:
        """Return the states of all members as a running one sees them."""
        member = self.nodes[number].member
        assert member is not None
        return tuple(record.state for record in member.table.records)

    def fraction_aware_of_death(self, dead: int) -> float:
        """Return the fraction of the running members that consider a member dead or left."""
        others = [number for number in self.running_members() if number != dead]
        return sum(self.view(number)[dead] >= MemberState.DEAD for number in others) / max(len(others), 1)

    def has_converged(self) -> bool:
        """Return whether all running members consider exactly the running members alive."""
        running = set(self.running_members())
        return all(
            (state is MemberState.ALIVE) == (number in running) and state is not MemberState.SUSPECTED
            for viewer in running
            for number, state in enumerate(self.view(viewer))
        )

    # ---- messages -------------------------------------------------------------------------------

    def _carry_out(self, number: int, actions: Iterable[Action]) -> None:
        node = self.nodes[number]
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(number, action)
            elif isinstance(action, SetTimer):
                if node.timer is not None:
                    node.timer.cancel()
                node.timer = self.clock.at(action.at_ms, self._handle_timer, number)

    def _send(self, sender: int, message: SendMessage) -> None:
        self.message_count += 1
        self.byte_count += len(message.payload)
        for _ in range(2 if self._random.random() < self.duplicate_rate else 1):
            if self._random.random() >= self.loss_rate and not self.is_link_cut(sender, message.recipient):
                delay_ms = self._random.uniform(*self._delay_ms)
                self.clock.after(delay_ms, self._deliver, sender, message.recipient, message.payload)

    def _deliver(self, sender: int, recipient: int, payload: bytes) -> None:
        node = self.nodes[recipient]
        if node.is_paused:
            self.clock.after(PAUSED_RETRY_MS, self._deliver, sender, recipient, payload)
        elif node.member is not None:
            self._handle(recipient, lambda member: member.handle_message(sender, payload, self.clock.now))

    def _handle_timer(self, number: int) -> None:
        if self.nodes[number].member is not None and not self.nodes[number].is_paused:
            self._handle(number, lambda member: member.handle_timer(self.clock.now))

    def _handle(self, number: int, event: Callable[[Membership], list[Action]]) -> None:
        member = self.nodes[number].member
        assert member is not None
        declared_before = member.table.declared_dead_count
        self._carry_out(number, event(member))
        if member.table.declared_dead_count > declared_before:
            self.death_reports.append(DeathReport(self.clock.now, number, member.table.last_declared_dead))
