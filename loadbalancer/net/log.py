"""The log: one event with its fields per line, as text or JSON, with a limit on the lines per interval.

    log = Log("n1")
    log.event("list_failed", "the list service is unreachable", server="s-5be2a07c")

It does not use structlog, which costs every process 7 MB and 60 ms: machines have 32 MB. A caller that starts
the balancer may pass its own sink, as `irondrum serve` does.
"""

from __future__ import annotations

import errno
import json
import select
import sys
import time
import traceback
from collections.abc import Callable
from typing import TextIO

INTERVAL_S = 10.0
MAX_LINES_PER_INTERVAL = 50  # a recurring fault must not fill the disk
MAX_TEXT_CHARACTERS = 3_000  # a pipe that can be written takes a line of 4,096 bytes at once
Fields = dict[str, object]
Sink = Callable[[str, str, str, Fields], None]
"""Takes the balancer's name, the event's name, its text and its fields."""


def write_text(name: str, event: str, text: str, fields: Fields) -> None:
    """Write a line of text to standard error: the event's text, then its fields."""
    suffix = "".join(f" {key}={value}" for key, value in fields.items())
    _write_line(f"{name}: {text}{suffix}")


def write_json(name: str, event: str, text: str, fields: Fields) -> None:
    """Write a line of JSON to standard error: `time` (Unix s), `balancer`, `event`, `text` and the fields."""
    line = {"time": round(time.time(), 3), "balancer": name, "event": event, "text": text} | fields
    _write_line(json.dumps(line, default=str))


def _write_line(line: str) -> None:
    """Write a line to standard error; BlockingIOError if it is a pipe that nobody reads."""
    if not _can_write(sys.stderr):
        raise BlockingIOError(errno.EAGAIN, "standard error is full")
    print(line, file=sys.stderr, flush=True)


def _can_write(stream: TextIO) -> bool:
    """Return whether a line can be written without waiting."""
    try:
        descriptor = stream.fileno()
    except OSError:
        return True  # it is no file of the system
    poller = select.poll()
    poller.register(descriptor, select.POLLOUT)
    return bool(poller.poll(0))


SINKS: dict[str, Sink] = {"text": write_text, "json": write_json}


class Log:
    """Logs one balancer's events; counts those over the limit and reports the count in the next interval."""

    def __init__(self, name: str, sink: Sink = write_text) -> None:
        """Create the log of the balancer `name`."""
        self._name = name
        self._sink = sink
        self._interval = 0
        self._interval_lines = 0
        self._interval_dropped_lines = 0
        self.dropped_lines = 0  # since the start

    def event(self, event: str, text: str, **fields: object) -> None:
        """Write an event, or count it as dropped if the interval's limit is reached."""
        interval = int(time.monotonic() / INTERVAL_S)
        if interval != self._interval:
            self._begin_interval(interval)
        self._interval_lines += 1
        if self._interval_lines <= MAX_LINES_PER_INTERVAL:
            self._write(event, text, fields)
        else:
            self._interval_dropped_lines += 1
            self.dropped_lines += 1

    def exception(self, text: str) -> None:
        """Write the exception being handled, with its traceback."""
        self.event("exception", f"{text}\n{traceback.format_exc()}")

    def _begin_interval(self, interval: int) -> None:
        if self._interval_dropped_lines:
            text = f"{self._interval_dropped_lines} lines over the log's limit were dropped"
            self._write("lines_dropped", text, {"lines": self._interval_dropped_lines})
        self._interval = interval
        self._interval_lines = 0
        self._interval_dropped_lines = 0

    def _write(self, event: str, text: str, fields: Fields) -> None:
        try:
            self._sink(self._name, event, text[:MAX_TEXT_CHARACTERS], fields)
        except OSError:  # a log that can't be written must neither end nor hold up the balancer
            self.dropped_lines += 1
