"""Actions that a member returns for its host to execute."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a datagram to a member."""

    recipient: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `Membership.handle_timer` at a time (ms); replaces any earlier timer."""

    at_ms: float


Action = SendMessage | SetTimer
