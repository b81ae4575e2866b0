"""How often watches are woken: no more often than half of the service's time suffices to answer them."""

from __future__ import annotations

ANSWER_S = 30e-6  # that it takes to answer a watch with shared bytes (benchmarks/directory.py)
WAKES_PART = 0.5  # of the service's time that may go into answering watches


class Pace:
    """Under a stream of changes each watch gets several at once, and the service has time for writes.

    Times are seconds of a clock that never goes back.
    """

    def __init__(self) -> None:
        self._woken = float("-inf")

    def due(self, watching: int) -> float:
        """When so many watches may be woken next: not before they can have been answered."""
        return self._woken + ANSWER_S * watching / WAKES_PART

    def woke(self, now: float) -> None:
        """All were woken."""
        self._woken = now
