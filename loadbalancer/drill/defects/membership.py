"""Defects of the gossip between balancers."""

from __future__ import annotations

from typing import Any

from loadbalancer.membership import Membership, MemberState, MemberTable


def deaf_to_peers() -> None:
    """Drop all gossip without a response."""

    def _handle_message(self: Membership, sender: int, data: bytes, now: float) -> list[Any]:
        return []

    Membership.handle_message = _handle_message  # type: ignore[method-assign]


def never_gives_up() -> None:
    """Suspect a silent balancer for ever, and never declare it dead."""

    def _declare_dead(self: MemberTable, number: int, now: float) -> None:
        return None

    MemberTable.declare_dead = _declare_dead  # type: ignore[method-assign]


def forgets_returns() -> None:
    """Never revive a member that was dead once, whatever incarnation it announces."""
    real = MemberTable.apply_update

    def _apply_update(
        self: MemberTable, number: int, state: MemberState, incarnation: int, now: float
    ) -> bool:
        if self.state(number) is MemberState.DEAD:
            return False
        return real(self, number, state, incarnation, now)

    MemberTable.apply_update = _apply_update  # type: ignore[method-assign]
