"""How far reading from a client is behind what the client may have written.

The time of a request counts from the writing of its last byte, which the balancer sees only when it reads
it. While it does not read, since an upstream takes nothing, that byte may already wait in the kernel, here or
on the client's machine. So the time counts from the last moment at which everything written is known to have
been read.
"""

from __future__ import annotations

import math
import time

# With no more of the receive buffer in use, its window has stayed open, so that the client could send.
OPEN_WINDOW_FRACTION = 0.25  # the rest may be taken up by what the kernel adds to each segment
WINDOW_FRACTION = 0.5  # of the receive buffer that the kernel offers at the most, by default
# After a closed window has opened, a client with more to send has sent some of it within this time.
WINDOW_UPDATE_S = 0.1
# A request may be answered later than its deadline by far more than this.
NOTICEABLE_LAG_S = 0.05
# The most that a sender's kernel holds by default (the last value of Linux' net.ipv4.tcp_wmem).
MAX_SEND_BUFFER_BYTES = 4_194_304


def is_unwritten(missing_bytes: int) -> bool:
    """Return whether a request's last byte can't have been written, with so many missing on this machine."""
    return missing_bytes > MAX_SEND_BUFFER_BYTES


def may_have_closed_window(unread_bytes: int, receive_buffer_bytes: int, segment_bytes: int) -> bool:
    """Return whether so many unread bytes may have kept a client from sending more.

    A window that is smaller than a segment is offered as none (RFC 9293, 3.8.6.2.2).
    """
    if not unread_bytes:
        return False
    window_bytes = WINDOW_FRACTION * receive_buffer_bytes - unread_bytes
    return unread_bytes > OPEN_WINDOW_FRACTION * receive_buffer_bytes or window_bytes < segment_bytes


class ReadLag:
    """Since when bytes that a client has written may have been waiting to be read, on one connection."""

    __slots__ = ("_behind_since_s", "_paused_s", "_window_opened_s", "is_drained")

    def __init__(self) -> None:
        self._behind_since_s: float | None = None
        self.is_drained = True  # whether the kernel had nothing to read at the last look
        self._paused_s: float | None = None  # since when reading is paused
        self._window_opened_s = -math.inf  # it may have been closed until then

    def written_after_s(self) -> float:
        """Return when the next byte to be read can have been written at the earliest (monotonic clock)."""
        self._catch_up()
        if self._behind_since_s is not None:
            return self._behind_since_s
        return time.monotonic() if self._paused_s is None else self._paused_s

    def is_noticeable(self) -> bool:
        """Return whether bytes may have been waiting for long enough to matter."""
        return time.monotonic() >= self.written_after_s() + NOTICEABLE_LAG_S

    def on_paused(self) -> None:
        """Handle that nothing is read from now on."""
        self._catch_up()
        self._paused_s = time.monotonic()

    def on_resumed_at_once(self) -> None:
        """Handle that reading resumes after too short a pause to matter."""
        self._paused_s = None

    def on_resumed(self, unread_bytes: int, receive_buffer_bytes: int, segment_bytes: int = 0) -> None:
        """Handle that reading resumes, with so many bytes in the kernel's receive buffer.

        `segment_bytes` is the size of the client's segments.
        """
        if self._behind_since_s is None:
            self._behind_since_s = self._paused_s
        self._paused_s = None
        self.is_drained = unread_bytes == 0
        if may_have_closed_window(unread_bytes, receive_buffer_bytes, segment_bytes):
            self._window_opened_s = time.monotonic()

    def on_held_up(
        self, since_s: float, unread_bytes: int, receive_buffer_bytes: int, segment_bytes: int
    ) -> None:
        """Handle that nothing was read since then, with so many bytes in the kernel's buffer by now."""
        self._catch_up()
        self._paused_s = since_s
        self.on_resumed(unread_bytes, receive_buffer_bytes, segment_bytes)

    def may_hide_end(self) -> bool:
        """Return whether the end of the client's stream may still follow, as the window opened just now."""
        return self.until_end_is_known_s() > 0

    def until_end_is_known_s(self) -> float:
        """Return for how long the end may still follow."""
        return max(self._window_opened_s + WINDOW_UPDATE_S - time.monotonic(), 0.0)

    def on_read(self, *, is_drained: bool) -> None:
        """Handle a read, after which the kernel had nothing more (`is_drained`), or may have."""
        if is_drained and self._behind_since_s is None:
            return
        self._catch_up()
        self.is_drained = is_drained
        if not is_drained and self._behind_since_s is None:
            self._behind_since_s = time.monotonic()

    def restart(self) -> None:
        """Count from now on, as the last byte of the request being read is not written yet."""
        if self._behind_since_s is not None:
            self._behind_since_s = time.monotonic()

    def _catch_up(self) -> None:
        """Forget the lag once everything is read, and the client had the time to send what it held back."""
        if self._paused_s is not None or not self.is_drained:
            return
        if time.monotonic() >= self._window_opened_s + WINDOW_UPDATE_S:
            self._behind_since_s = None
