"""Shares of the memory limit: how many connections a process may have, and how much they may buffer."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

BUFFER_FRACTION = 0.1  # of the limit
PROCESSES_IN_HOT_RESTART = 2  # which share the limit
# Of what the process leaves of its limit at its start; the rest is for copies and for the allocator.
BUFFER_HEADROOM_FRACTION = 0.15
CONNECTIONS_HEADROOM_FRACTION = 0.25  # on each side
CONNECTION_BYTES = 6_144  # of a connection that buffers nothing
MIN_HEADROOM_FRACTION = 0.05  # of the limit, however much the process takes
MIN_DESCRIPTOR_FRACTION = 1 / 3  # what clients may hold for their requests
# What a request's head may take although the buffers are full, and what a client may send of it.
MAX_UNSHED_HEAD_BYTES = 4_096
MAX_UNSHED_RESPONSE_HEAD_BYTES = 2_048  # the same of a response


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """The bounds that keep a process within its memory limit."""

    buffer_bytes: int
    max_connections_per_side: int


def divide_memory(
    limit_mb: float, max_sockets: int, resident_bytes: int, *, may_hot_restart: bool = False
) -> MemoryLimits:
    """Share out a limit, of which the process has `resident_bytes` at its start; 0 if that is unknown.

    Where another process may take over, it gets an equal part.
    """
    limit_bytes = limit_mb * 1_000_000
    own_bytes = limit_bytes / PROCESSES_IN_HOT_RESTART if may_hot_restart else limit_bytes
    headroom_bytes = max(own_bytes - resident_bytes, MIN_HEADROOM_FRACTION * limit_bytes)
    buffer_bytes = min(BUFFER_FRACTION * limit_bytes, BUFFER_HEADROOM_FRACTION * headroom_bytes)
    connections = CONNECTIONS_HEADROOM_FRACTION * headroom_bytes / CONNECTION_BYTES
    return MemoryLimits(int(buffer_bytes), int(max(connections, MIN_DESCRIPTOR_FRACTION * max_sockets)))


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the kernel does not tell."""
    try:
        pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0
