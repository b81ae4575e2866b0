"""How long the rest of a streamed response is waited for, on a clock of the test's own."""

from __future__ import annotations

import pytest

from loadbalancer.net.response_progress import ResponseProgress

DEADLINE_S = 10.0
LONG_BYTES = 65_537


@pytest.mark.parametrize(
    ("length", "received_bytes", "last_received_s", "due_s"),
    [
        (LONG_BYTES - 1, 60_000, 9.9, 10.25),
        (LONG_BYTES, 0, 5.0, 10.25),
        (LONG_BYTES, 0, 9.9, 12.15),
        (None, LONG_BYTES, 9.9, 12.15),
        (None, LONG_BYTES - 1, 9.9, 10.35),
        (None, LONG_BYTES - 1, 9.0, 10.25),
        (None, 20, 9.9, 10.25),
        (None, 0, 9.9, 10.25),
    ],
)
def test_only_a_response_that_may_be_long_is_waited_for_after_its_deadline(
    length: int | None, received_bytes: int, last_received_s: float, due_s: float
) -> None:
    """Guards against a limit that moves to the other side of 64 KiB, or that forgets the deadline."""
    progress = ResponseProgress(length, 0, 0.0)
    for number in range(1, 101):
        size_bytes = received_bytes // 100 + (received_bytes % 100 if number == 1 else 0)
        progress.record(size_bytes, last_received_s * number / 100)
    assert progress.due_s(DEADLINE_S) == pytest.approx(due_s)


def test_a_response_that_has_paused_before_may_pause_for_somewhat_longer() -> None:
    """Guards against cutting off a server that writes a piece a second."""
    progress = ResponseProgress(None, 1, 8.0)
    progress.record(20_000, 9.0)
    progress.record(20_000, 10.0)
    assert progress.due_s(DEADLINE_S) == pytest.approx(11.5)


def test_a_response_that_comes_too_slowly_to_become_long_ends_with_its_grace() -> None:
    """Guards against drops that keep a request open without end."""
    progress = ResponseProgress(None, 0, 0.0)
    for number in range(1, 100):
        progress.record(200, number / 10)
    assert progress.due_s(DEADLINE_S) == pytest.approx(10.25)


def test_a_time_in_which_nothing_was_read_is_no_pause_of_the_server() -> None:
    """Guards against cutting off a server whose client was behind for seconds."""
    progress = ResponseProgress(None, LONG_BYTES, 0.0)
    progress.resume(20.0)
    assert progress.due_s(DEADLINE_S) == pytest.approx(22.25)


@pytest.mark.parametrize(("length", "due_s"), [(None, 5.1), (100, 5.1), (LONG_BYTES, 10.25)])
def test_at_the_shutdown_deadline_only_a_long_response_may_pause(length: int | None, due_s: float) -> None:
    """Guards against a process that waits for a silent server until it is killed."""
    progress = ResponseProgress(length, 10, 5.0)
    progress.end_at_shutdown(4.9)
    assert progress.due_s(DEADLINE_S) == pytest.approx(due_s)
