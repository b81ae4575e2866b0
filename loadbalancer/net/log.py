"""The log: one event name with fields a line, as text or as JSON, bounded in each span of time.

    log = Log("n1")
    log.event("list_failed", "server list out of reach", server="s-5be2a07c")

By hand and not by structlog: that costs every process 7 MB and 60 ms, and machines have 32 MB. Who starts
the balancer may pass a sink of their own, as `irondrum serve` does.
"""

from __future__ import annotations

import contextlib
import json
import sys
import time
import traceback
from collections.abc import Callable

SPAN_S = 10.0
MAX_LINES_PER_SPAN = 50  # a fault that repeats must not fill the disk
Fields = dict[str, object]
Sink = Callable[[str, str, str, Fields], None]
"""Takes the balancer's name, the event's name, its text and its fields."""


def write_text(name: str, event: str, text: str, fields: Fields) -> None:
    """Write a line for people to standard error: the text, then the fields."""
    suffix = "".join(f" {key}={value}" for key, value in fields.items())
    print(f"{name}: {text}{suffix}", file=sys.stderr, flush=True)


def write_json(name: str, event: str, text: str, fields: Fields) -> None:
    """Write a line of JSON to standard error: `time` (Unix s), `balancer`, `event`, `text`, the fields."""
    line = {"time": round(time.time(), 3), "balancer": name, "event": event, "text": text} | fields
    print(json.dumps(line, default=str), file=sys.stderr, flush=True)


SINKS: dict[str, Sink] = {"text": write_text, "json": write_json}


class Log:
    """Events of one balancer; past the bound they are counted, and the next span begins with the count."""

    def __init__(self, name: str, sink: Sink = write_text) -> None:
        """Create the log of the balancer `name`."""
        self._name = name
        self._sink = sink
        self._span = 0
        self._span_lines = 0
        self._span_dropped_lines = 0
        self.dropped_lines = 0  # since the start

    def event(self, event: str, text: str, **fields: object) -> None:
        """Write an event unless the span is full."""
        span = int(time.monotonic() / SPAN_S)
        if span != self._span:
            self._begin_span(span)
        self._span_lines += 1
        if self._span_lines <= MAX_LINES_PER_SPAN:
            self._write(event, text, fields)
        else:
            self._span_dropped_lines += 1
            self.dropped_lines += 1

    def exception(self, text: str) -> None:
        """Write the exception that is being handled, with its traceback."""
        self.event("exception", f"{text}\n{traceback.format_exc()}")

    def _begin_span(self, span: int) -> None:
        if self._span_dropped_lines:
            text = f"{self._span_dropped_lines} lines were dropped"
            self._write("lines_dropped", text, {"lines": self._span_dropped_lines})
        self._span = span
        self._span_lines = 0
        self._span_dropped_lines = 0

    def _write(self, event: str, text: str, fields: Fields) -> None:
        with contextlib.suppress(OSError):  # a log that nobody reads must not end the balancer
            self._sink(self._name, event, text, fields)
