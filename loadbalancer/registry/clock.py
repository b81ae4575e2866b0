"""The registry's clock: Unix time that goes on in real time when the system's clock is set."""

from __future__ import annotations

import time

_OFFSET_MS = (time.time() - time.monotonic()) * 1_000


def unix_ms() -> float:
    """Return the time in Unix ms; it compares with the start times of servers."""
    return _OFFSET_MS + time.monotonic() * 1_000
