"""A member's awareness of its own health, after Lifeguard (Dadgar, Phillips, Currey, 2018).

A member that is itself slow, was paused or has lost its link sees all others fail. So each suspicion that it
raises, and each timer that comes late, stretches its timeouts, and each acknowledgement in time shrinks them.
"""

from __future__ import annotations

MAX_TIME_MULTIPLIER = 8


class Awareness:
    """A score from 0, healthy, to one below `MAX_TIME_MULTIPLIER`."""

    __slots__ = ("score",)

    def __init__(self) -> None:
        self.score = 0

    @property
    def time_multiplier(self) -> float:
        """The factor by which all timeouts are stretched."""
        return 1.0 + self.score

    def worsen(self, points: int) -> None:
        """Count a sign that we are the one that is slow."""
        self.score = min(self.score + points, MAX_TIME_MULTIPLIER - 1)

    def improve(self) -> None:
        """Count an acknowledgement in time."""
        self.score = max(self.score - 1, 0)
