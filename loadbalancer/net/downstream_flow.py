"""Pauses reading from a client, and detects its disconnect meanwhile."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from loadbalancer.net.downstream_read_lag import ReadLag
from loadbalancer.net.sockets import receive_buffer_bytes, received_segment_bytes, unread_bytes

# Between disconnect checks while reading is paused: no attempt may begin 0.1 s after a disconnect.
DISCONNECT_POLL_INTERVAL_S = 0.02
# A pause that holds no client up: most end as soon as the kernel has taken a part of a body.
SHORT_PAUSE_S = 0.001


class ReadingControl:
    """Pauses and resumes reading; while it is paused it polls for the client's disconnect.

    Otherwise a disconnect would go unnoticed, since the end of the stream comes after unread bytes.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, lag: ReadLag, is_disconnected: Callable[[], bool]
    ) -> None:
        """`lag` is told of each pause."""
        self._loop = loop
        self._lag = lag
        self._is_disconnected = is_disconnected
        self._paused_at_s = 0.0
        self._poll_handle: asyncio.TimerHandle | None = None
        self.is_paused = False

    def pause(self, transport: asyncio.Transport) -> None:
        """Stop reading for now."""
        self.is_paused = True
        self._paused_at_s = time.monotonic()
        transport.pause_reading()
        self._lag.on_paused()
        self._poll_handle = self._loop.call_later(DISCONNECT_POLL_INTERVAL_S, self._poll)

    def resume(self, transport: asyncio.Transport) -> float:
        """Resume reading; return for how many seconds it was paused."""
        self.is_paused = False
        paused_s = time.monotonic() - self._paused_at_s
        if paused_s < SHORT_PAUSE_S:
            self._lag.on_resumed_at_once()
        else:
            self._lag.on_resumed(
                unread_bytes(transport),
                receive_buffer_bytes(transport),
                received_segment_bytes(transport),
            )
        transport.resume_reading()
        self.stop_polling()
        return paused_s

    def stop_polling(self) -> None:
        """Stop polling: reading goes on, or the client is known to have left."""
        if self._poll_handle is not None:
            self._poll_handle.cancel()
            self._poll_handle = None

    def _poll(self) -> None:
        if not self._is_disconnected():
            self._poll_handle = self._loop.call_later(DISCONNECT_POLL_INTERVAL_S, self._poll)
