"""Virtual time: scheduled calls run in order of time, and in order of scheduling at the same time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Protocol


class Cancellable(Protocol):
    """A scheduled call."""

    def cancel(self) -> object:
        """Cancel the call, unless it has run."""


class Timekeeper(Protocol):
    """The clock that a model needs, so that it runs in virtual time as well as in real time on sockets."""

    @property
    def now(self) -> float:
        """The current time, in ms."""

    def at(self, when: float, callback: Callable[..., Any], *args: Any) -> Cancellable:
        """Call a function at a time, at once if that has passed."""

    def after(self, delay: float, callback: Callable[..., Any], *args: Any) -> Cancellable:
        """Call a function after a delay in ms."""


class ScheduledCall:
    """A scheduled call in virtual time."""

    __slots__ = ("args", "callback", "when")

    def __init__(self, when: float, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.when, self.args = when, args
        self.callback: Callable[..., Any] | None = callback

    def cancel(self) -> None:
        """Cancel the call, unless it has run."""
        self.callback = None


class Clock:
    """The virtual time, in ms, and the calls scheduled in it."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self._due: list[tuple[float, int, ScheduledCall]] = []
        self._order = 0
        self.steps = 0

    def at(self, when: float, callback: Callable[..., Any], *args: Any) -> ScheduledCall:
        """Call a function at a time; if that has passed, at once, but after calls scheduled earlier."""
        due = ScheduledCall(max(when, self.now), callback, args)
        self._order += 1
        heapq.heappush(self._due, (due.when, self._order, due))
        return due

    def after(self, delay: float, callback: Callable[..., Any], *args: Any) -> ScheduledCall:
        """Call a function after a delay in ms."""
        return self.at(self.now + delay, callback, *args)

    def run(self, until: float) -> None:
        """Run all calls due up to a time, that time included."""
        due, pop = self._due, heapq.heappop
        while due and due[0][0] <= until:
            self.now, _, item = pop(due)
            if item.callback is not None:
                self.steps += 1
                item.callback(*item.args)
        self.now = max(self.now, until)
