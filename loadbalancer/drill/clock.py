"""The one clock of a drill: Unix milliseconds that never go back, the same in all its processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any


def unix_offset_ms() -> float:
    """Return what is to be added to this machine's monotonic clock; taken once, by the driver."""
    return time.time() * 1_000 - time.monotonic() * 1_000


class RealClock:
    """Runs parts of the model in real time (`loadbalancer.simulation.clock.Timekeeper`); times in ms."""

    def __init__(self, offset: float) -> None:
        """Prepare a clock; `offset` is the driver's `unix_offset_ms()`."""
        self.offset = offset

    @property
    def now(self) -> float:
        """The time, in Unix ms."""
        return self.offset + time.monotonic() * 1_000

    def at(self, when: float, do: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        """Call a function at a time, at once if that has passed."""
        return self.after(when - self.now, do, *args)

    def after(self, delay: float, do: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        """Call a function after a delay."""
        return asyncio.get_running_loop().call_later(max(delay, 0.0) / 1_000, do, *args)
