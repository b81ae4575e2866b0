"""The timers of an attempt at an upstream."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

STALL_TIMEOUT_S = 20.0  # without a byte in either direction for this long, the other end is taken for dead


class AttemptTimers:
    """The timers of an attempt: for its end, and for the last byte of its request."""

    __slots__ = ("_due_s", "_last_progress_s", "_loop", "_timer", "_write_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._last_progress_s = 0.0
        self._due_s = math.inf  # when the timer fires
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None

    def on_progress(self) -> None:
        """Record that bytes were sent or received."""
        self._last_progress_s = time.monotonic()

    def _on_stall(self) -> None:
        """Handle that no byte was sent or received for too long, or that the time is over."""
        raise NotImplementedError

    def _set_timer(self, after_s: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._due_s = time.monotonic() + after_s
        self._timer = self._loop.call_later(after_s, callback)

    def _remaining_s(self) -> float:
        """Return the time that is left in all; it may move."""
        return math.inf

    def _watch_progress(self) -> None:
        """Limit the time without progress, and the total where `_remaining_s` does."""
        self.on_progress()
        self._set_timer(self._until_check_s(), self._check_progress)

    def _until_check_s(self) -> float:
        stalls_in_s = self._last_progress_s + STALL_TIMEOUT_S - time.monotonic()
        return max(min(stalls_in_s, self._remaining_s()), 0.0)

    def _check_progress(self) -> None:
        until_check_s = self._until_check_s()
        if until_check_s:
            self._set_timer(until_check_s, self._check_progress)
        else:
            self._on_stall()

    def _cancel_timers(self) -> None:
        for timer in (self._timer, self._write_timer):
            if timer is not None:
                timer.cancel()
