"""Spreads over turns of the event loop what connections have to do beyond one request at a time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

TURN_S = 0.002  # of deferred work in one turn of the loop, and of long reads, for all connections together


class TurnQueue:
    """Deferred work of connections, one piece after another: no connection takes a turn for itself."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: dict[Callable[[], None], None] = {}  # in the order of their turns
        self._is_scheduled = False
        self._reading_since_s: float | None = None  # in this turn

    def add(self, work: Callable[[], None]) -> None:
        """Call `work` in a later turn; does nothing if it waits already."""
        self._waiting.setdefault(work)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def begin_long_read(self) -> None:
        """Record that a connection has more to read than one buffer holds, before that is handled."""
        if self._reading_since_s is None:
            self._reading_since_s = time.monotonic()
            self._loop.call_soon(self._end_turn)

    def is_turn_over(self) -> bool:
        """Return whether such reads have taken so much of this turn that others should get theirs."""
        return self._reading_since_s is not None and time.monotonic() >= self._reading_since_s + TURN_S

    def _end_turn(self) -> None:
        self._reading_since_s = None

    def _run(self) -> None:
        """Do some work; what it adds waits for the next turn."""
        self._is_scheduled = False
        ends_s = time.monotonic() + TURN_S
        for work in list(self._waiting):
            del self._waiting[work]
            work()
            if time.monotonic() >= ends_s:
                break
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)
