"""Spreads over turns of the event loop what connections have to do beyond one request at a time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

TURN_S = 0.002  # of deferred work in one turn of the loop, for all connections together


class TurnQueue:
    """Deferred work of connections, one piece after another: no connection takes a turn for itself."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: dict[Callable[[], None], None] = {}  # in the order of their turns
        self._is_scheduled = False

    def add(self, work: Callable[[], None]) -> None:
        """Call `work` in a later turn; does nothing if it waits already."""
        self._waiting.setdefault(work)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

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
