"""Membership on UDP: hosts the sans-I/O core of `loadbalancer.membership`.

Disabled, without a bound socket, unless the configuration sets `membership` and the settings allow gossip.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import zlib
from collections.abc import Callable, Iterable

from loadbalancer.membership import MAX_MESSAGE_BYTES, Action, Membership, SendMessage, SetTimer
from loadbalancer.net import membership_report
from loadbalancer.net.address import Address
from loadbalancer.net.config import Config
from loadbalancer.net.reports import MembershipReport

MAX_DATAGRAMS_PER_READ = 64  # then yields to other handlers on the event loop


def fleet_tag(config: Config) -> bytes:
    """Return four bytes that identify the tier by its index, size and request classes."""
    settings = config.settings
    text = f"{settings.tier}/{len(config.peers)}/{','.join(c.name for c in settings.classes)}"
    return zlib.crc32(text.encode()).to_bytes(4, "big")


class MembershipHost:
    """The UDP socket and the timer of one member."""

    def __init__(
        self, config: Config, listen: Address, loop: asyncio.AbstractEventLoop, now: Callable[[], float]
    ) -> None:
        """`now` returns ms; each `start` begins with a new member without state."""
        self._config = config
        self._listen = listen
        self._loop = loop
        self._now = now
        self._numbers = {address: number for number, address in enumerate(config.peers)}
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._start_count = 0
        self.unknown_sender_count = 0  # datagrams from addresses other than the members'
        self.member = self._new_member()

    def start(self) -> str:
        """Join the tier; return an error message if the address cannot be bound, else an empty string."""
        if self._socket is not None:
            return ""
        family = socket.AF_INET6 if ":" in self._listen[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            sock.bind(self._listen)
        except OSError as error:
            sock.close()
            return f"cannot bind the gossip address: {error}"
        self._socket = sock
        self._loop.add_reader(sock, self._receive)
        self.member = self._new_member()
        self._execute(self.member.start(self._now()))
        return ""

    def leave(self) -> None:
        """Notify the other members of an intentional leave, and stop."""
        if self._socket is not None:
            self._execute(self.member.leave(self._now()))
        self.stop()

    def stop(self) -> None:
        """Stop without a notification: a successor process takes over, or this one ends."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def report(self) -> MembershipReport:
        """Return the view of each member, and the counts of messages sent, received and dropped."""
        return membership_report.report_membership(
            self.member,
            self._now(),
            is_participating=self._socket is not None,
            unknown_sender_count=self.unknown_sender_count,
        )

    def count_by_state(self) -> dict[str, int]:
        """Return the number of members in each state, by state label."""
        return membership_report.count_by_state(self.member.table)

    def _new_member(self) -> Membership:
        self._start_count += 1
        return Membership(
            number=self._config.settings.balancer_index,
            count=len(self._config.peers),
            fleet_tag=fleet_tag(self._config),
            seed=self._config.seed + self._start_count,
            now=self._now(),
        )

    def _receive(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            if self._socket is None:
                return
            try:
                data, sender = self._socket.recvfrom(MAX_MESSAGE_BYTES + 1)
            except OSError:  # nothing left to read, or an ICMP error for a datagram that we sent
                return
            number = self._numbers.get((sender[0], sender[1]))
            if number is None:
                self.unknown_sender_count += 1
            else:
                self._execute(self.member.handle_message(number, data, self._now()))

    def _handle_timer(self) -> None:
        self._execute(self.member.handle_timer(self._now()))

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(recipient, payload):
                    if self._socket is not None:
                        with contextlib.suppress(OSError):  # an unsendable datagram counts as lost
                            self._socket.sendto(payload, self._config.peers[recipient])
                case SetTimer(at_ms):
                    if self._timer is not None:
                        self._timer.cancel()
                    delay_s = max(at_ms - self._now(), 0.0) / 1_000
                    self._timer = self._loop.call_later(delay_s, self._handle_timer)
