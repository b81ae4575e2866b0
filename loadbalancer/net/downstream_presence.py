"""Whether a client may have disconnected without the kernel's seeing it.

While reading is paused, the end of a client's stream may lie behind bytes for which the receive buffer has no
room: it then stays on the client's machine, and asking the kernel does not show it.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

from loadbalancer.net.downstream_read_lag import may_have_closed_window
from loadbalancer.net.downstream_reader import RequestReader
from loadbalancer.net.sockets import receive_buffer_bytes, received_segment_bytes, unread_bytes

# After a response, the machine of a client that has closed answers with a reset within this time.
PROBE_S = 0.02
# No request begins for a client that was not known to be there for so long: it may have left in between.
MAX_UNSEEN_S = 0.05


class ClientPresence:
    """Tells of one connection whether its client may have disconnected unseen."""

    def __init__(self, loop: asyncio.AbstractEventLoop, reader: RequestReader) -> None:
        self._loop = loop
        self._reader = reader
        self._transport: asyncio.Transport | None = None
        self._seen_s = -math.inf  # when the end was last known not to be hidden

    def connect(self, transport: asyncio.Transport) -> None:
        """Ask the kernel about this connection from now on."""
        self._transport = transport

    def is_end_hidden(self) -> bool:
        """Return whether the end of the client's stream may lie behind unread bytes."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        is_hidden = self._may_hide_end(transport)
        if not is_hidden:
            self._seen_s = time.monotonic()
        return is_hidden

    def _may_hide_end(self, transport: asyncio.Transport) -> bool:
        reader = self._reader
        if reader.control.is_paused:
            unread = unread_bytes(transport)
        elif reader.has_more_behind():
            if reader.lag.may_hide_end():
                return True
            unread = unread_bytes(transport) + reader.last_read_bytes  # it was as full before that read
        else:
            return False
        return may_have_closed_window(
            unread, receive_buffer_bytes(transport), received_segment_bytes(transport)
        )

    def may_have_disconnected(self, responded_s: float) -> bool:
        """Return whether it may have disconnected, and for longer than a request may still begin.

        `responded_s` is when the last response was written, on the monotonic clock.
        """
        if not self.is_end_hidden():
            return False
        now = time.monotonic()
        seen_s = max(self._reader.lag.written_after_s(), self._seen_s)
        if now >= responded_s + PROBE_S:
            seen_s = max(seen_s, responded_s)  # it took the last response without a reset
        return now - seen_s > MAX_UNSEEN_S

    def wait_for_end(self, on_known: Callable[[], None]) -> bool:
        """Call `on_known` once the end would have come behind a window that opened just now, if it may.

        Return whether it may: nothing more has come yet, and the client was not seen for too long.
        """
        lag = self._reader.lag
        if self._reader.control.is_paused or not lag.may_hide_end() or self._reader.has_more_behind():
            return False
        if time.monotonic() - max(lag.written_after_s(), self._seen_s) <= MAX_UNSEEN_S:
            return False
        self._loop.call_later(lag.until_end_is_known_s(), on_known)
        return True

    def probe_after_response(self, on_probed: Callable[[], None]) -> bool:
        """Call `on_probed` once a reset would have come, if the end may be hidden; return whether it may."""
        if not self.is_end_hidden():
            return False
        self._loop.call_later(PROBE_S, on_probed)
        return True
