"""The clock shared by all processes of a drill: monotonic time, in Unix milliseconds."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any


def unix_offset_ms() -> float:
    """Return the offset from this machine's monotonic clock to Unix time; the driver takes it once."""
    return time.time() * 1_000 - time.monotonic() * 1_000


class RealClock:
    """Runs parts of the simulation in real time, as a `loadbalancer.simulation.clock.Timekeeper`, in ms."""

    def __init__(self, offset: float) -> None:
        """Create a clock; `offset` is the driver's `unix_offset_ms()`."""
        self.offset = offset

    @property
    def now(self) -> float:
        """The current time, in Unix ms."""
        return self.offset + time.monotonic() * 1_000

    def at(self, when: float, do: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        """Schedule a call at a time; immediately if that has passed."""
        return self.after(when - self.now, do, *args)

    def after(self, delay: float, do: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        """Schedule a call after a delay."""
        return asyncio.get_running_loop().call_later(max(delay, 0.0) / 1_000, do, *args)
