"""The revisions that an instance issues, and those that its earlier incarnations have issued.

The revision grows with each change and never decreases. After a start it is above all that any watcher can
have seen (`first_revision`). Where several instances hold the registry, each issues its own: a revision
modulo `stride` is the number of the instance that issued it, so that a watch that comes from another instance
is recognized by its revision.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

# By how much a clock may be set back between two incarnations: a day.
MAX_CLOCK_STEP_BACK_MS = 86_400_000.0


class RevisionRange(NamedTuple):
    """The first and the last revision that one incarnation of an instance has issued."""

    first: int
    last: int


def first_revision(stored: int, now_ms: float, number: int = 0, stride: int = 1) -> int:
    """Return a revision above all issued ones, as long as changes average less than one per ms."""
    return _next_own(max(stored, int(now_ms) * stride - 1), number, stride)


def _next_own(revision: int, number: int, stride: int) -> int:
    """Return the first revision above another one that the instance `number` may issue."""
    return revision + 1 + (number - revision - 1) % stride


class RevisionHistory:
    """The current revision of an instance, where it started, and the ranges of earlier incarnations."""

    __slots__ = ("_number", "_stride", "current", "oldest", "past_incarnations", "start")

    def __init__(self, start: int, number: int, stride: int) -> None:
        """Begin at `start`, which is from `first_revision`."""
        self._number = number
        self._stride = stride
        self.start = start
        self.current = start
        self.oldest = start  # a watcher that has seen less gets a full snapshot
        self.past_incarnations: list[RevisionRange] = []  # the oldest first

    def restore(self, incarnations: Sequence[RevisionRange], compaction_revision: int) -> None:
        """Continue from earlier incarnations, whose removals up to `compaction_revision` are forgotten."""
        self.past_incarnations = list(incarnations)
        self.oldest = max(compaction_revision, incarnations[0].first) if incarnations else self.start

    def advance(self) -> int:
        """Issue the next revision."""
        self.current += self._stride
        return self.current

    def is_own(self, revision: int) -> bool:
        """Return whether a revision carries this instance's number."""
        return revision % self._stride == self._number

    def was_issued(self, revision: int) -> bool:
        """Return whether a remembered incarnation has issued a revision."""
        if self.start <= revision <= self.current:
            return True
        return any(issued.first <= revision <= issued.last for issued in self.past_incarnations)

    def advance_past(self, revision: int, now: float) -> None:
        """Advance above a revision that a watcher has seen and that is higher than the current one.

        It was issued by another instance, or before the database was lost and the clock set back. One too
        high for any clock to have produced is ignored.
        """
        if revision > (now + MAX_CLOCK_STEP_BACK_MS) * self._stride:
            return
        self.current = _next_own(revision, self._number, self._stride)
        if self.is_own(revision):  # those between were issued by an incarnation that is not remembered
            self.start = self.current
            self.oldest = self.current
