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

LINES, SPAN_S = 50, 10.0  # at most so many lines in each span: a log is no leak
Fields = dict[str, object]
Sink = Callable[[str, str, str, Fields], None]
"""Gets the balancer's name, the event's name, its text and its fields."""


def write_text(name: str, event: str, text: str, fields: Fields) -> None:
    """A line for people: the text, then the fields."""
    told = "".join(f" {key}={value}" for key, value in fields.items())
    print(f"{name}: {text}{told}", file=sys.stderr, flush=True)


def write_json(name: str, event: str, text: str, fields: Fields) -> None:
    """A line for machines: `time` (Unix s), `balancer`, `event`, `text` and the fields."""
    line = {"time": round(time.time(), 3), "balancer": name, "event": event, "text": text} | fields
    print(json.dumps(line, default=str), file=sys.stderr, flush=True)


SINKS: dict[str, Sink] = {"text": write_text, "json": write_json}


class Log:
    """Events of one balancer; past the bound they are counted, and the next span begins with the count."""

    def __init__(self, name: str, sink: Sink = write_text) -> None:
        self._name, self._sink = name, sink
        self._span = self._lines = self._left = 0
        self.dropped_lines = 0  # since the start

    def event(self, event: str, text: str, **fields: object) -> None:
        """Write an event unless the span is full."""
        span = int(time.monotonic() / SPAN_S)
        if span != self._span:
            if self._left:
                self._write("left_out", f"{self._left} lines were left out", {"lines": self._left})
            self._span, self._lines, self._left = span, 0, 0
        self._lines += 1
        if self._lines <= LINES:
            self._write(event, text, fields)
        else:
            self._left += 1
            self.dropped_lines += 1

    def exception(self, what: str) -> None:
        """Write the exception being handled with its traceback."""
        self.event("exception", f"{what}\n{traceback.format_exc()}")

    def _write(self, event: str, text: str, fields: Fields) -> None:
        with contextlib.suppress(OSError):  # a log that nobody reads must not end the balancer
            self._sink(self._name, event, text, fields)
