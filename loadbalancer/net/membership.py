"""Membership on UDP: hosts the core of `loadbalancer.membership`, and decides nothing.

Off unless the configuration says `membership` and the settings allow notes; nothing is then bound or sent.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import zlib
from collections.abc import Callable, Iterable

from loadbalancer.membership import MAX_MESSAGE_BYTES, Action, Membership, MemberState, SendMessage, SetTimer
from loadbalancer.net.config import Address, Config
from loadbalancer.net.reports import GossipCounts, MemberReport, MembershipReport

READ_MOST = 64  # notes that are read before others on the loop have their turn

STATE_LABELS = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECTED: "suspected",
    MemberState.DEAD: "gone",
    MemberState.LEFT: "left",
}
"""What operators read for a state, on the console, in Prometheus' labels and in drills."""


def fleet_tag(config: Config) -> bytes:
    """Four bytes that all balancers of one tier share."""
    settings = config.settings
    text = f"{settings.tier}/{len(config.peers)}/{','.join(c.name for c in settings.classes)}"
    return zlib.crc32(text.encode()).to_bytes(4, "big")


class MembershipHost:
    """Our socket for notes, and the member behind it."""

    def __init__(
        self, config: Config, listen: Address, loop: asyncio.AbstractEventLoop, now: Callable[[], float]
    ) -> None:
        """`now` tells ms; the member starts from nothing at each `start`."""
        self._config, self._listen, self._loop, self._now = config, listen, loop, now
        self._numbers = {address: number for number, address in enumerate(config.peers)}
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._starts = 0
        self.unknown_sender_count = 0  # notes from addresses that are no member's
        self.member = self._new_member()

    def _new_member(self) -> Membership:
        self._starts += 1
        number, count = self._config.settings.balancer_index, len(self._config.peers)
        seed = self._config.seed + self._starts
        return Membership(number, count, fleet_tag(self._config), seed, self._now())

    def start(self) -> str:
        """Take part from now on; a line on what went wrong, if we can't."""
        if self._socket is not None:
            return ""
        family = socket.AF_INET6 if ":" in self._listen[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            sock.bind(self._listen)
        except OSError as error:
            sock.close()
            return f"we take no part among the peers: {error}"
        self._socket = sock
        self._loop.add_reader(sock, self._read)
        self.member = self._new_member()
        self._do(self.member.start(self._now()))
        return ""

    def leave(self) -> None:
        """Tell the others that we end on purpose."""
        if self._socket is not None:
            self._do(self.member.leave(self._now()))
        self.stop()

    def stop(self) -> None:
        """Fall silent: another process speaks in our name, or we end."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _read(self) -> None:
        for _ in range(READ_MOST):
            if self._socket is None:
                return
            try:
                data, sender = self._socket.recvfrom(MAX_MESSAGE_BYTES + 1)
            except OSError:  # nothing more is there, or a note of ours was refused
                return
            number = self._numbers.get((sender[0], sender[1]))
            if number is None:
                self.unknown_sender_count += 1
            else:
                self._do(self.member.handle_message(number, data, self._now()))

    def _due(self) -> None:
        self._do(self.member.handle_timer(self._now()))

    def _do(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(to, note):
                    if self._socket is not None:
                        with contextlib.suppress(OSError):  # a note that can't go out is one that is lost
                            self._socket.sendto(note, self._config.peers[to])
                case SetTimer(at):
                    if self._timer is not None:
                        self._timer.cancel()
                    self._timer = self._loop.call_later(max(at - self._now(), 0.0) / 1_000, self._due)

    def report(self) -> MembershipReport:
        """Return what is believed of each member since when, and the messages sent, received and dropped."""
        now, member = self._now(), self.member
        members = tuple(
            MemberReport(
                index=index,
                state=STATE_LABELS[record.state],
                state_age_s=round((now - record.state_since_ms) / 1_000, 3),
                incarnation=record.incarnation,
                last_message_age_s=round((now - record.last_message_at_ms) / 1_000, 3)
                if record.last_message_at_ms > 0
                else None,
            )
            for index, record in enumerate(member.table.records)
        )
        counts = member.counts
        return MembershipReport(
            own_index=self._config.settings.balancer_index,
            active_members=len(member.table.active_members),
            is_participating=self._socket is not None,
            awareness_score=member.awareness_score,
            members=members,
            messages=GossipCounts(
                sent=counts.sent,
                sent_bytes=counts.sent_bytes,
                received=counts.received,
                dropped={**counts.dropped, "stranger": self.unknown_sender_count},
            ),
        )

    def count_by_state(self) -> dict[str, int]:
        """How many members are believed to be in each state."""
        found = dict.fromkeys((STATE_LABELS[state] for state in MemberState), 0)
        for belief in self.member.table.records:
            found[STATE_LABELS[belief.state]] += 1
        return found
