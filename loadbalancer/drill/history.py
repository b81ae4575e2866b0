"""Event history as JSON lines: one file of bounded size for each process, with one clock for all.

Each line is written immediately by one unbuffered call, so that events before a SIGKILL are recorded. Every
line has `t` (Unix ms), `who` (the process that observed it) and `what`, which determines the other fields:

| what | written by | fields |
| --- | --- | --- |
| `asked` | clients | an attempt: `wish` (the logical request), `id`, `try`, `cls`, `to`, `deadline` (ms) |
| `answered` | clients | `id`, `status`, `took` (ms), `run` (the execution that the answer names) |
| `lost` | clients | `id`, `how`, `sent` (whether the balancer may have accepted it) |
| `left` | clients | `id`: the client stopped waiting |
| `done` | clients | `wish`, `cls`, `ending`, `took` (ms), `tries` (attempts), `first` (time of the first) |
| `arrived` | servers | `id`, `cls`, `from` (an address), `work` (ms of a standard core) |
| `began`, `ended` | servers | `id`, `cls`; `status`, `run` |
| `up` | servers | `cores`, `speed`, `cold_from`, `cold_ms` (duration of the warm-up), `since` |
| `told` | the endpoint list | `to` (an address), `index`, `snapshot`, `entries` (name to status) |
| `turned_away` | the endpoint list | `to` (an address): a call answered with an error |
| `place` | the driver | `name`, `host`, `zone`, `tier` |
| `process` | the driver | `name`, `state`: `started`, `ready`, `ended`; `code` and `wanted` |
| `fault` | the driver | `kind`, `on`, `targets`, and parameters of the fault |
| `call` | the driver | an operator's call: `to`, `call`, `body`, `status` |
| `view` | the driver | `of`, `wanted`, `said` (by each balancer), `took_s`, `held` |
| `notes` | the driver | gossip datagrams of the whole drill: `link`, `passed`, `lost` |
| `knock` | the driver | `link`: a new connection to a process that was removed from the list |
| `over` | the driver | the drill was completed |
| `left_out` | any | `lines` that were dropped at the size limit |
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from loadbalancer.drill.clock import RealClock

Event = dict[str, Any]
MAX_FILE_BYTES = 64 * 1024 * 1024  # of one process's file
LAST_LINE_BYTES = 1_000  # allowed past the limit, for the line with the number of dropped lines
SUFFIX = ".history.jsonl"


class HistoryWriter:
    """Writes the history file of one process."""

    def __init__(self, folder: Path, who: str, clock: RealClock, max_bytes: int = MAX_FILE_BYTES) -> None:
        """Append to the file of an earlier process of that name; OSError if the folder can't be written."""
        self._who = who
        self._clock = clock
        self._max_bytes = max_bytes
        path = folder / f"{who}{SUFFIX}"
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self._size_bytes = os.fstat(self._file).st_size
        self._dropped_lines = 0

    def write(self, what: str, **fields: Any) -> None:
        """Write an event with the current time; past the size limit, only count it."""
        line = json.dumps({"t": round(self._clock.now, 3), "who": self._who, "what": what} | fields)
        if self._size_bytes + len(line) > self._max_bytes:
            self._dropped_lines += 1
            return
        self._size_bytes += os.write(self._file, line.encode() + b"\n")

    def close(self) -> None:
        """Write the number of dropped lines, if any, and close the file."""
        if self._dropped_lines:
            self._max_bytes += LAST_LINE_BYTES
            self.write("left_out", lines=self._dropped_lines)
        os.close(self._file)


def read_history(folder: Path) -> list[Event]:
    """Return all events of a drill in order of time.

    ValueError names the file and line that can't be parsed; a last line truncated by a kill is skipped.
    """
    events = [event for path in sorted(folder.glob(f"*{SUFFIX}")) for event in _read_file(path)]
    return sorted(events, key=lambda event: event["t"])


def _read_file(path: Path) -> Iterator[Event]:
    lines = path.read_bytes().split(b"\n")
    for number, line in enumerate(lines, 1):
        if not line:
            continue
        try:
            event = json.loads(line)
            event["t"], event["what"], event["who"]
        except (ValueError, KeyError, TypeError) as error:
            if number == len(lines):
                return
            raise ValueError(f"{path.name}: line {number} is not a valid event") from error
        yield event
