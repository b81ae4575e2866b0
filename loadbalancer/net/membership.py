"""Membership on UDP: hosts the core of `loadbalancer.membership`, and decides nothing.

Off unless the configuration says `membership` and the settings allow gossip; nothing is then bound or sent.
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

MAX_DATAGRAMS_PER_READ = 64  # then others on the loop have their turn


def fleet_tag(config: Config) -> bytes:
    """Return four bytes that all balancers of one tier share, and those of another kind do not."""
    settings = config.settings
    text = f"{settings.tier}/{len(config.peers)}/{','.join(c.name for c in settings.classes)}"
    return zlib.crc32(text.encode()).to_bytes(4, "big")


class MembershipHost:
    """Our UDP socket, our timer, and the member behind them."""

    def __init__(
        self, config: Config, listen: Address, loop: asyncio.AbstractEventLoop, now: Callable[[], float]
    ) -> None:
        """`now` returns ms; the member knows nothing at each `start`."""
        self._config = config
        self._listen = listen
        self._loop = loop
        self._now = now
        self._numbers = {address: number for number, address in enumerate(config.peers)}
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._start_count = 0
        self.unknown_sender_count = 0  # datagrams from addresses that are no member's
        self.member = self._new_member()

    def start(self) -> str:
        """Take part from now on; return a line on what went wrong, if we can't."""
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
        self._loop.add_reader(sock, self._receive)
        self.member = self._new_member()
        self._carry_out(self.member.start(self._now()))
        return ""

    def leave(self) -> None:
        """Tell the others that we leave on purpose, and stop."""
        if self._socket is not None:
            self._carry_out(self.member.leave(self._now()))
        self.stop()

    def stop(self) -> None:
        """Send nothing more: another process speaks in our name, or we end."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def report(self) -> MembershipReport:
        """Return what is known of each member, and the messages sent, received and dropped."""
        return membership_report.report_membership(
            self.member,
            self._now(),
            is_participating=self._socket is not None,
            unknown_sender_count=self.unknown_sender_count,
        )

    def count_by_state(self) -> dict[str, int]:
        """Return how many members are in each state, by the words that operators read."""
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
            except OSError:  # nothing more is there, or a datagram of ours was refused
                return
            number = self._numbers.get((sender[0], sender[1]))
            if number is None:
                self.unknown_sender_count += 1
            else:
                self._carry_out(self.member.handle_message(number, data, self._now()))

    def _handle_timer(self) -> None:
        self._carry_out(self.member.handle_timer(self._now()))

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(recipient, payload):
                    if self._socket is not None:
                        with contextlib.suppress(OSError):  # a datagram that can't be sent is a lost one
                            self._socket.sendto(payload, self._config.peers[recipient])
                case SetTimer(at_ms):
                    if self._timer is not None:
                        self._timer.cancel()
                    delay_s = max(at_ms - self._now(), 0.0) / 1_000
                    self._timer = self._loop.call_later(delay_s, self._handle_timer)
