"""Reading from a transport no faster than what is read can be handled: over turns, and by demand."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loadbalancer.net.turn_queue import TurnQueue


class PacedReading:
    """Whether a connection reads now, and what it has read and not parsed yet."""

    def __init__(self, turns: TurnQueue, parse: Callable[[memoryview], None]) -> None:
        """`parse` handles what one turn has time for; it calls `keep` with the rest."""
        self._turns = turns
        self._parse = parse
        self._transport: asyncio.Transport | None = None
        self._is_consumer_behind = False
        self._is_turn_over = False  # whether reading waits for a later turn
        self.unparsed = b""

    def connect(self, transport: asyncio.Transport) -> None:
        """Read from `transport` from now on."""
        self._transport = transport

    def keep(self, rest: memoryview | bytes) -> None:
        """Keep what was read for a later turn."""
        self.unparsed = bytes(rest)

    def on_read(self, data: memoryview, *, is_quickly_parsed: bool, is_buffer_full: bool) -> None:
        """Parse what was read, or leave it to a later turn if it takes long and this one is over."""
        if not is_quickly_parsed:
            self._turns.begin_long_read()
        if is_quickly_parsed or not self._turns.is_turn_over():
            self._parse(data)
        else:
            self.keep(data)
        # The transport would read buffer after buffer.
        self._is_turn_over = is_buffer_full and self._turns.is_turn_over()
        self._update()

    def pause(self) -> None:
        """Read no more until `resume`: the consumer of what is read is behind."""
        self._is_consumer_behind = True
        self._update()

    def resume(self) -> None:
        """Read on, if reading was paused."""
        if self._is_consumer_behind:
            self._is_consumer_behind = False
            self._update()

    def _update(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        is_deferred = bool(self.unparsed) or self._is_turn_over
        if is_deferred or self._is_consumer_behind:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
        if is_deferred and not self._is_consumer_behind:
            self._turns.add(self._continue)

    def _continue(self) -> None:
        """Go on in a later turn with what has been read, then read on."""
        self._is_turn_over = False
        if self.unparsed and not self._is_consumer_behind:
            self._parse(memoryview(self.unparsed))
        self._update()
