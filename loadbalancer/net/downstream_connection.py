"""A client's connection: its reader and pipeline, disconnect detection, and closing without data loss."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from typing import Protocol, cast

from loadbalancer.net.attempt_timers import STALL_TIMEOUT_S
from loadbalancer.net.descriptors import NEW_CONNECTION_GRACE_S
from loadbalancer.net.downstream_pipeline import PipelineListener, RequestPipeline
from loadbalancer.net.downstream_presence import ClientPresence
from loadbalancer.net.downstream_read_lag import NOTICEABLE_LAG_S
from loadbalancer.net.downstream_reader import RequestReader
from loadbalancer.net.loop_delay import LoopDelay
from loadbalancer.net.message_body import BufferBudget
from loadbalancer.net.sockets import (
    has_peer_closed,
    peek_socket,
    set_no_delay,
    unread_bytes,
)
from loadbalancer.net.turn_queue import TurnQueue

# How long to read on after a half-close, so that no reset overtakes the response.
LINGERING_CLOSE_S = 0.5


class ConnectionListener(PipelineListener, Protocol):
    """The listener that accepted a connection."""

    loop: asyncio.AbstractEventLoop
    buffers: BufferBudget
    turns: TurnQueue
    delay: LoopDelay

    def on_connection_closed(self, connection: DownstreamConnection) -> None:
        """Remove a closed connection."""

    def shed_heads(self) -> None:
        """Reject heads that are still coming in, as the buffers are full."""


class DownstreamConnection(asyncio.BufferedProtocol):
    """One client's connection: its reader feeds its pipeline, which answers requests in turn."""

    def __init__(self, listener: ConnectionListener, queued_since_s: float = math.inf) -> None:
        """`queued_since_s` is since when it may have waited to be accepted (monotonic clock)."""
        self._listener = listener
        self._queued_since_s = queued_since_s  # and so may what is read first
        self._loop = listener.loop
        self.buffers = listener.buffers
        self._transport: asyncio.Transport | None = None
        self.pipeline = RequestPipeline(self, listener)
        self.reader = RequestReader(self, self.pipeline, self._loop)
        self._presence = ClientPresence(self._loop, self.reader)
        self.closes_after_body = False  # the response was sent before the body was complete
        self._is_half_closed = False  # by us
        self._linger_timer: asyncio.TimerHandle | None = None
        self._offered_bytes = 0  # for the next read
        self._unsent_at_last_check = 0  # bytes, in a lingering close
        self.is_lost = False
        self.idle_since_s = time.monotonic()

    # ---- the transport's callbacks ----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the write buffer limits to 0: any byte that stays in the buffer pauses writing."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0, low=0)
        set_no_delay(transport)
        self._presence.connect(self._transport)
        self.pipeline.connect(self._transport)
        self.reader.connect(self._transport)
        if time.monotonic() < self._queued_since_s + NOTICEABLE_LAG_S or not unread_bytes(transport):
            self._queued_since_s = math.inf

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        buffer = self.buffers.receive_buffer()
        self._offered_bytes = len(buffer)
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse requests; input after an invalid one is dropped, so that the response arrives."""
        if self.reader.is_stopped:
            return
        has_open_request = self.reader.has_open_request() and not self.closes_after_body
        if has_open_request and not self.is_client_connected():
            return  # these bytes may complete a request whose client has disconnected right after them
        is_drained = nbytes < self._offered_bytes
        if not is_drained:
            self._listener.turns.begin_long_read()
        self.reader.feed(self.buffers.received(nbytes), is_drained=is_drained)
        self._queued_since_s = math.inf  # what comes now was sent after it was accepted
        if not is_drained and self._listener.turns.is_turn_over():
            self._read_on_later()

    def _read_on_later(self) -> None:
        """Leave what else has arrived to a later turn: the transport would read buffer after buffer."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()
            self._listener.turns.add(self._read_on)

    def _read_on(self) -> None:
        if self._transport is None or self.is_lost or self._transport.is_closing():
            return
        if not self.reader.control.is_paused:
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        """Pause the upstream: the client reads too slowly."""
        self.pipeline.pause_writing()

    def resume_writing(self) -> None:
        """Resume the upstream: the client has caught up."""
        self.pipeline.resume_writing()

    def eof_received(self) -> None:
        """Treat the end as a disconnect; the transport closes once written data has been sent."""
        self._release_requests()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release all requests and buffers of the closed connection."""
        self.is_lost = True
        self.pipeline.unsent.resize(0)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._release_requests()
        self._listener.on_connection_closed(self)

    # ---- events of the pipeline and the upstream --------------------------------------------

    def on_pipeline_advanced(self) -> None:
        """Resume reading, if it waited for a response."""
        self.reader.on_pipeline_advanced()

    def continue_later(self) -> None:
        """Go on in a later turn of the loop with what has been received."""
        self._listener.turns.add(self._continue)

    def unread_since_s(self) -> float:
        """Return since when what is read now may have been waiting, at the worst (monotonic clock)."""
        return min(self._listener.delay.unread_since_s(), self._queued_since_s)

    def shed_heads(self) -> None:
        """Reject heads that are still coming in, as the buffers are full."""
        self._listener.shed_heads()

    def _continue(self) -> None:
        if not self.is_lost:
            self.reader.continue_parsing()
            self.pipeline.advance()

    def has_unparsed(self) -> bool:
        """Return whether received bytes wait for a later turn."""
        return self.reader.has_unparsed()

    def unread_bytes(self) -> int:
        """Return how many bytes from the client the kernel has and the loop has not read."""
        if self._transport is None or self._transport.is_closing():
            return 0
        return unread_bytes(self._transport)

    def written_after_s(self) -> float:
        """Return when the next byte to be read can have been written at the earliest (monotonic clock)."""
        return self.reader.lag.written_after_s()

    def on_body_sink_ready(self) -> None:
        """Resume reading, if it waited for the upstream."""
        self.reader.update()

    # ---- clients that disconnect ------------------------------------------------------------

    def is_client_connected(self) -> bool:
        """Return whether the kernel sees the client connected: the loop may be late, or not be reading."""
        return not (self.is_lost or self.close_if_disconnected())

    def close_if_disconnected(self) -> bool:
        """Close and return True if the client has ended its side, even if unread bytes come first."""
        if self._transport is None or not has_peer_closed(self._transport):
            return False
        self._release_requests()
        self._transport.abort()
        return True

    def check_presence(self) -> bool:
        """Close and return True if the client has disconnected; begin nothing more if it may have."""
        if self.close_if_disconnected():
            return True
        if self.pipeline.is_serving() and self.may_have_disconnected():
            self.pipeline.give_up_untaken()
        return False

    def may_have_disconnected(self) -> bool:
        """Return whether the client may have disconnected unseen, too long ago for a request to begin."""
        return self._presence.may_have_disconnected(self.idle_since_s)

    def wait_for_end(self, on_known: Callable[[], None]) -> bool:
        """Call `on_known` once the client's end would have come, if it may follow; return whether it may."""
        return self._presence.wait_for_end(on_known)

    def probe_after_response(self, on_probed: Callable[[], None]) -> bool:
        """Call `on_probed` once a reset would have come, if the end may be hidden; return whether it may."""
        return self._presence.probe_after_response(on_probed)

    def _release_requests(self) -> None:
        """Abandon all requests, as nobody waits for the responses, and accept no more."""
        self.pipeline.abandon(self.reader.stop())

    # ---- closing ----------------------------------------------------------------------------

    def has_received_request(self) -> bool:
        """Return whether a complete request has ever been received."""
        return self.reader.has_received_request

    def is_idle(self) -> bool:
        """Return whether no request is being served, queued or received."""
        is_received = self.reader.is_receiving() or self.reader.has_unparsed()
        return self.pipeline.is_empty() and not is_received

    def can_close(self) -> bool:
        """Return whether it can close with nothing lost: idle, and no unread request in the kernel."""
        if self._transport is None or self.is_lost or self._is_half_closed or not self.is_idle():
            return False
        return self.reader.is_stopped or not peek_socket(self._transport)

    def evict(self) -> None:
        """Close to make room; without a request so far, no reset can overtake a response."""
        self.half_close(LINGERING_CLOSE_S if self.reader.has_received_request else NEW_CONNECTION_GRACE_S)

    def close_after_body(self) -> None:
        """Close now, or after the body being received: few clients read before they have sent."""
        if self.reader.is_stopped or not self.reader.has_open_request():
            self.half_close()
            return
        self.closes_after_body = True
        self.reader.discard_body()

    def half_close(self, linger_s: float = LINGERING_CLOSE_S) -> None:
        """Shut down our sending side, and read on for a moment (lingering close).

        A reset could overtake the last response, or hit a request in transit. With a clean end between
        requests, the client sends that request again on another connection.
        """
        if self._transport is None or self.is_lost or self._is_half_closed or self._transport.is_closing():
            return
        self.reader.is_stopped = True
        self._is_half_closed = True
        self._transport.write_eof()
        self._linger_timer = self._loop.call_later(linger_s, self._end_lingering_close)

    def _end_lingering_close(self) -> None:
        """Close, once a slow client has read the whole response, or has read nothing for too long."""
        if self._transport is None or self.is_lost:
            return
        unsent = self._transport.get_write_buffer_size()
        has_progress = unsent != self._unsent_at_last_check
        if unsent and (has_progress or time.monotonic() < self.idle_since_s + STALL_TIMEOUT_S):
            self._unsent_at_last_check = unsent
            self._linger_timer = self._loop.call_later(LINGERING_CLOSE_S, self._end_lingering_close)
        else:
            self._transport.abort()

    def close_at_shutdown(self) -> bool:
        """Accept no more requests, as the process exits; return whether a response is still being sent."""
        if self._transport is None or self.is_lost:
            return False
        if self.pipeline.is_streaming or self.pipeline.has_waiting():
            return True
        is_answered = self.reader.is_stopped or self.closes_after_body
        is_unread = self.reader.has_unparsed() or bool(peek_socket(self._transport))
        if not is_answered and not self.pipeline.is_serving() and is_unread:
            return False  # the unread request is read next, and gets its response
        self.half_close()
        return self._transport.get_write_buffer_size() > 0

    def progress(self) -> tuple[int, int]:
        """Return how many parts of responses were written, and how many bytes have not been sent yet."""
        unsent = 0 if self._transport is None or self.is_lost else self._transport.get_write_buffer_size()
        return self.pipeline.written_parts, unsent

    def abort_unfinished_response(self) -> None:
        """Abort an unfinished response at exit, so that the client sees that it is incomplete."""
        if self.pipeline.is_streaming:
            self.pipeline.abort()
