"""The timeout for receiving a client's request."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

# A client that sends no request is disconnected after this time; a request may take as long from its first
# byte, plus the time that its body takes at the minimum rate.
REQUEST_TIMEOUT_S = 2.6
MIN_BODY_BYTES_PER_S = 64_000


class RequestTimer:
    """Runs while a request, or its rest, is awaited; each received body byte extends the time.

    Without it, clients that send nothing, or no complete request, would hold their connections for ever.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_timeout: Callable[[], None]) -> None:
        """`on_timeout` must check `is_due`, as bytes may have arrived since the timer was set."""
        self._loop = loop
        self._on_timeout = on_timeout
        self.started_s = time.monotonic()
        self._handle: asyncio.TimerHandle | None = None

    def restart(self) -> None:
        """Count from now on; a timer already set fires at its old time, and finds that it is not due."""
        self.started_s = time.monotonic()

    def extend(self, duration_s: float) -> None:
        """Exclude a period in which nothing was read."""
        self.started_s += duration_s

    def is_due(self, received_bytes: int) -> bool:
        """Return whether the time is over, given the bytes of the body received so far."""
        return time.monotonic() >= self._due_s(received_bytes)

    def update(self, *, is_running: bool, received_bytes: int) -> None:
        """Set the timer, or cancel it."""
        if is_running and self._handle is None:
            remaining_s = max(self._due_s(received_bytes) - time.monotonic(), 0.0)
            self._handle = self._loop.call_later(remaining_s, self._fire)
        elif not is_running and self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _due_s(self, received_bytes: int) -> float:
        return self.started_s + REQUEST_TIMEOUT_S + received_bytes / MIN_BODY_BYTES_PER_S

    def _fire(self) -> None:
        self._handle = None
        self._on_timeout()
