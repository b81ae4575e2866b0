"""Defects of the gossip between balancers."""

from __future__ import annotations

from typing import Any

from loadbalancer.membership import Membership, MemberState, MemberTable


def deaf_to_peers() -> None:
    """Drop all gossip, and answer none."""

    def _heard(self: Membership, sender: int, data: bytes, now: float) -> list[Any]:
        return []

    Membership.heard = _heard  # type: ignore[method-assign]


def never_gives_up() -> None:
    """Suspect a balancer that is silent for ever."""

    def _give_up(self: MemberTable, number: int, now: float) -> None:
        return None

    MemberTable.give_up = _give_up  # type: ignore[method-assign]


def forgets_returns() -> None:
    """Hold whoever was dead once for dead, whatever it says of itself."""
    real = MemberTable.learn

    def _learn(self: MemberTable, number: int, state: MemberState, incarnation: int, now: float) -> bool:
        if self.state(number) is MemberState.GONE:
            return False
        return real(self, number, state, incarnation, now)

    MemberTable.learn = _learn  # type: ignore[method-assign]
