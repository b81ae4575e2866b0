"""Virtual time: what is due is done in order, first come first where it is due at once."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Protocol


class Pending(Protocol):
    """Something that is due."""

    def cancel(self) -> object:
        """Let it not happen; nothing if it has."""


class Timekeeper(Protocol):
    """What parts of the model ask of a clock, so that sockets can host them as virtual time does."""

    @property
    def now(self) -> float:
        """The time, in ms."""

    def at(self, when: float, do: Callable[..., Any], *args: Any) -> Pending:
        """Do something at a time, at once if that has passed."""

    def after(self, delay: float, do: Callable[..., Any], *args: Any) -> Pending:
        """Do something so many ms from now."""


class Due:
    """Something that will be done, unless it is called off."""

    __slots__ = ("args", "do", "when")

    def __init__(self, when: float, do: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.when, self.args = when, args
        self.do: Callable[..., Any] | None = do

    def cancel(self) -> None:
        """Let it not happen; nothing if it has."""
        self.do = None


class Clock:
    """The time, in ms, and what is still due."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self._due: list[tuple[float, int, Due]] = []
        self._order = 0
        self.steps = 0

    def at(self, when: float, do: Callable[..., Any], *args: Any) -> Due:
        """Do something at a time; at once, but after what is due before, if that has passed."""
        due = Due(max(when, self.now), do, args)
        self._order += 1
        heapq.heappush(self._due, (due.when, self._order, due))
        return due

    def after(self, delay: float, do: Callable[..., Any], *args: Any) -> Due:
        """Do something so many ms from now."""
        return self.at(self.now + delay, do, *args)

    def run(self, until: float) -> None:
        """Let time pass up to a moment; what is due then is done."""
        due, pop = self._due, heapq.heappop
        while due and due[0][0] <= until:
            self.now, _, item = pop(due)
            if item.do is not None:
                self.steps += 1
                item.do(*item.args)
        self.now = max(self.now, until)
