"""Heads and trailers of responses that are still coming in: too many long ones may not fill the memory."""

from __future__ import annotations

from typing import Protocol

from loadbalancer.net.memory_limits import MAX_UNSHED_RESPONSE_HEAD_BYTES
from loadbalancer.net.message_body import BufferBudget


class HeadHolder(Protocol):
    """A connection on which a response is coming in."""

    def shed(self) -> None:
        """Give up the response, and release what it takes."""


class LongHeads:
    """The long heads and trailers that are incomplete; the oldest are shed while the buffers are full."""

    def __init__(self, buffers: BufferBudget) -> None:
        self._buffers = buffers
        self._holders: dict[HeadHolder, None] = {}  # the oldest first
        self.shed_count = 0  # since the start

    def update(self, holder: HeadHolder, size_bytes: int) -> None:
        """Record how much of a head or trailer a connection holds; this may shed its own response."""
        if size_bytes <= MAX_UNSHED_RESPONSE_HEAD_BYTES:
            self._holders.pop(holder, None)
            return
        self._holders.setdefault(holder)
        while self._holders and self._buffers.is_full():
            oldest = next(iter(self._holders))
            del self._holders[oldest]
            self.shed_count += 1
            oldest.shed()
