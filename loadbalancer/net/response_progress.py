"""How far a response that is being streamed to its client has come, and how long its rest is waited for.

A client gets its response, or the end of it, within half a second of its deadline. Only a long response, of
which the first bytes are timed, may go on after that, for as long as its server sends more of it.
"""

from __future__ import annotations

import math

from loadbalancer.net.message_body import MAX_BUFFERED_BODY_BYTES

# The rest of a response that is not long may come so long after the deadline, at the most.
LATE_BODY_GRACE_S = 0.25
# A long response is given up after such a pause; servers write large bodies in pieces, up to 2 s apart.
MAX_LONG_RESPONSE_PAUSE_S = 2.25
# One whose length is not known, and that may become long, is given up after this pause, or after one that is
# longer than its earlier ones by this factor.
MIN_UNKNOWN_RESPONSE_PAUSE_S = 0.45
PAUSE_FACTOR = 1.5
# A response that comes more slowly does not become long in any time that a client waits.
MIN_LONG_RESPONSE_BYTES_PER_S = 2_048
# After the shutdown deadline one that is not long is given up after this pause: the process is soon killed.
MAX_SHUTDOWN_PAUSE_S = 0.1


class ResponseProgress:
    """The bytes of one streamed response, and the pauses between them. Times are of the monotonic clock."""

    __slots__ = (
        "_shutdown_deadline_s",
        "last_received_s",
        "length",
        "longest_pause_s",
        "received_bytes",
        "started_s",
    )

    def __init__(self, length: int | None, received_bytes: int, now_s: float) -> None:
        """`length` is what the head announces, None if nothing; `received_bytes` have arrived by now."""
        self.length = length
        self.received_bytes = received_bytes
        self.started_s = now_s
        self.last_received_s = now_s
        self.longest_pause_s = 0.0
        self._shutdown_deadline_s = math.inf

    def record(self, size_bytes: int, now_s: float) -> None:
        """Record that a part of the body has arrived."""
        self.received_bytes += size_bytes
        self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_received_s)
        self.last_received_s = now_s

    def resume(self, now_s: float) -> None:
        """Record that the response is read on, after a time in which nothing of it was read."""
        self.last_received_s = now_s

    def end_at_shutdown(self, now_s: float) -> None:
        """Record that the time for the shutdown is over: only what still arrives is waited for."""
        self._shutdown_deadline_s = now_s

    def is_long(self) -> bool:
        """Return whether the response is too long to be timed as a whole."""
        return max(self.received_bytes, self.length or 0) > MAX_BUFFERED_BODY_BYTES

    def due_s(self, deadline_s: float) -> float:
        """Return when the response is given up if no more of it arrives; `deadline_s` is its client's."""
        grace_ends_s = deadline_s + LATE_BODY_GRACE_S
        if self.is_long():
            return max(grace_ends_s, self.last_received_s + MAX_LONG_RESPONSE_PAUSE_S)
        due_s = (
            grace_ends_s if self.length is not None else max(grace_ends_s, self._may_become_long_until_s())
        )
        shutdown_due_s = max(self._shutdown_deadline_s, self.last_received_s + MAX_SHUTDOWN_PAUSE_S)
        return min(due_s, shutdown_due_s)

    def _may_become_long_until_s(self) -> float:
        """Return until when a response of unknown length counts as one that its server still sends."""
        pause_s = max(MIN_UNKNOWN_RESPONSE_PAUSE_S, PAUSE_FACTOR * self.longest_pause_s)
        paused_until_s = self.last_received_s + min(pause_s, MAX_LONG_RESPONSE_PAUSE_S)
        too_slow_at_s = self.started_s + self.received_bytes / MIN_LONG_RESPONSE_BYTES_PER_S
        return min(paused_until_s, too_slow_at_s)
