"""A member's awareness of its own health, after Lifeguard (Dadgar, Phillips, Currey, 2018).

A member that is slow, was paused or has lost its link sees all others fail. Each suspicion that it raises and
each late timer therefore extends its timeouts; each timely acknowledgement shortens them.
"""

from __future__ import annotations

MAX_TIME_MULTIPLIER = 8


class Awareness:
    """The local health score, from 0 (healthy) to `MAX_TIME_MULTIPLIER` - 1."""

    __slots__ = ("score",)

    def __init__(self) -> None:
        self.score = 0

    @property
    def time_multiplier(self) -> float:
        """The factor applied to all timeouts."""
        return 1.0 + self.score

    def worsen(self, points: int) -> None:
        """Add points for an indication that this member itself is slow."""
        self.score = min(self.score + points, MAX_TIME_MULTIPLIER - 1)

    def improve(self) -> None:
        """Lower the score by one for a timely acknowledgement."""
        self.score = max(self.score - 1, 0)
