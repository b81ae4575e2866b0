"""The proxy's clock: Unix milliseconds that never go back."""

from __future__ import annotations

import time


class Clock:
    """Unix milliseconds at the start plus the monotonic time since then.

    It is not stepped when the machine's clock is set, and its values compare with the `since_ms` of servers.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000 - time.monotonic() * 1000

    def now(self) -> float:
        """Return the current time in Unix milliseconds."""
        return self._offset_ms + time.monotonic() * 1000
