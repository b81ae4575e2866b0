"""The proxy's clock: Unix milliseconds that never go back."""

from __future__ import annotations

import time


class Clock:
    """Unix milliseconds at the start plus the monotonic time since then.

    It does not jump when the system clock is set, and its values compare with the `since_ms` of servers.
    """

    def __init__(self, offset_ms: float | None = None) -> None:
        """`offset_ms` is that of another process of this machine, whose times are to compare with these."""
        if offset_ms is None:
            offset_ms = time.time() * 1000 - time.monotonic() * 1000
        self.offset_ms = offset_ms

    def now(self) -> float:
        """Return the current time in Unix milliseconds."""
        return self.offset_ms + time.monotonic() * 1000
