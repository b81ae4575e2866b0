"""Since when the event loop may not have looked at its sockets, as the process was held up."""

from __future__ import annotations

import asyncio
import time

HEARTBEAT_INTERVAL_S = 0.05
MAX_HEARTBEAT_LATENESS_S = 0.02  # of a loop that is not held up


class LoopDelay:
    """A heartbeat of the event loop: while it is late, what is read may have waited since the last one."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._last_s = time.monotonic()
        self._held_up_since_s: float | None = None  # before the last heartbeat

    def start(self) -> None:
        """Begin the heartbeat."""
        self._last_s = time.monotonic()
        self._loop.call_later(HEARTBEAT_INTERVAL_S, self._beat)

    def _beat(self) -> None:
        now = time.monotonic()
        self._held_up_since_s = self._last_s if self._is_late(now) else None
        self._last_s = now
        self._loop.call_later(HEARTBEAT_INTERVAL_S, self._beat)

    def _is_late(self, now: float) -> bool:
        return now > self._last_s + HEARTBEAT_INTERVAL_S + MAX_HEARTBEAT_LATENESS_S

    def unread_since_s(self) -> float:
        """Return since when what is read now may have been waiting, at the worst, on the monotonic clock."""
        now = time.monotonic()
        if self._is_late(now):
            return self._last_s
        return now if self._held_up_since_s is None else self._held_up_since_s
