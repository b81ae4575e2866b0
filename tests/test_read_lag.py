"""How far reading from a client is behind what it may have written, on a clock that the test sets."""

from __future__ import annotations

import pytest

from loadbalancer.net import downstream_read_lag
from loadbalancer.net.downstream_read_lag import (
    MAX_SEND_BUFFER_BYTES,
    OPEN_WINDOW_FRACTION,
    WINDOW_UPDATE_S,
    ReadLag,
    is_unwritten,
    may_have_closed_window,
)

RECEIVE_BUFFER_BYTES = 131_072
OPEN_UNREAD_BYTES = int(OPEN_WINDOW_FRACTION * RECEIVE_BUFFER_BYTES)


class ManualClock:
    """A monotonic clock that a test sets."""

    now_s = 1_000.0

    def monotonic(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    manual = ManualClock()
    monkeypatch.setattr(downstream_read_lag, "time", manual)
    return manual


def test_bytes_read_as_they_come_were_written_just_now(clock: ManualClock) -> None:
    lag = ReadLag()
    lag.on_read(is_drained=True)
    clock.now_s += 60.0
    assert lag.written_after_s() == clock.now_s


def test_bytes_that_wait_were_written_since_reading_paused(clock: ManualClock) -> None:
    lag = ReadLag()
    paused_s = clock.now_s
    lag.on_paused()
    clock.now_s += 3.0
    assert lag.written_after_s() == paused_s
    lag.on_resumed(OPEN_UNREAD_BYTES, RECEIVE_BUFFER_BYTES)
    lag.on_read(is_drained=False)
    assert lag.written_after_s() == paused_s
    lag.on_read(is_drained=True)  # the window has stayed open: this was all
    assert lag.written_after_s() == clock.now_s


@pytest.mark.parametrize("pauses", [1, 5])
def test_bytes_that_a_closed_window_held_back_come_after_the_drained_ones(
    pauses: int, clock: ManualClock
) -> None:
    """Guards against a lag that is forgotten between two stalls, with the rest on the client's machine."""
    lag = ReadLag()
    paused_s = clock.now_s
    for _ in range(pauses):
        lag.on_paused()
        clock.now_s += 1.0
        lag.on_resumed(OPEN_UNREAD_BYTES + 1, RECEIVE_BUFFER_BYTES)
        lag.on_read(is_drained=True)
        clock.now_s += 0.9 * WINDOW_UPDATE_S
        assert lag.written_after_s() == paused_s
    clock.now_s += WINDOW_UPDATE_S
    assert lag.written_after_s() == clock.now_s


def test_a_byte_that_no_kernel_can_hold_yet_is_not_written(clock: ManualClock) -> None:
    lag = ReadLag()
    lag.on_paused()
    clock.now_s += 5.0
    lag.on_resumed(1_000_000, RECEIVE_BUFFER_BYTES)
    lag.restart()
    assert lag.written_after_s() == clock.now_s
    assert is_unwritten(MAX_SEND_BUFFER_BYTES + 1)
    assert not is_unwritten(MAX_SEND_BUFFER_BYTES)


def test_a_pause_too_short_to_hold_a_client_up_leaves_no_lag(clock: ManualClock) -> None:
    """Guards against a next request on the connection that has lost the time since the last pause."""
    lag = ReadLag()
    lag.on_paused()
    clock.now_s += 0.0005
    lag.on_resumed_at_once()
    clock.now_s += 60.0
    assert lag.written_after_s() == clock.now_s


def test_a_short_pause_does_not_end_the_lag_of_a_long_one(clock: ManualClock) -> None:
    lag = ReadLag()
    paused_s = clock.now_s
    lag.on_paused()
    clock.now_s += 1.0
    lag.on_resumed(OPEN_UNREAD_BYTES, RECEIVE_BUFFER_BYTES)
    lag.on_paused()
    lag.on_resumed_at_once()
    assert lag.written_after_s() == paused_s


@pytest.mark.parametrize(
    ("unread_bytes", "segment_bytes", "is_closed"),
    [(0, 65_483, False), (2_000, 1_448, False), (2_000, 65_483, True), (60_000, 1_448, True)],
)
def test_a_window_of_less_than_a_segment_is_closed(
    unread_bytes: int, segment_bytes: int, *, is_closed: bool
) -> None:
    """Guards against a new deadline for a request whose rest waits on its client's machine."""
    assert may_have_closed_window(unread_bytes, RECEIVE_BUFFER_BYTES, segment_bytes) == is_closed
