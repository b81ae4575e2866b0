"""How far a response that is being streamed to its client has come."""

from __future__ import annotations


class ResponseProgress:
    """The bytes of one streamed response, and the pauses between them. Times are of the monotonic clock."""

    __slots__ = ("last_received_s", "length", "longest_pause_s", "received_bytes", "started_s")

    def __init__(self, length: int | None, received_bytes: int, now_s: float) -> None:
        """`length` is what the head announces, None if nothing; `received_bytes` have arrived by now."""
        self.length = length
        self.received_bytes = received_bytes
        self.started_s = now_s
        self.last_received_s = now_s
        self.longest_pause_s = 0.0

    def record(self, size_bytes: int, now_s: float) -> None:
        """Record that a part of the body has arrived."""
        self.received_bytes += size_bytes
        self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_received_s)
        self.last_received_s = now_s
