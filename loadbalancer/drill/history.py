"""What happened, as JSON lines: one file for each process, one clock for all, bounded in size.

A line is written whole and at once, so that what a process did before it was killed is on record. Every
line holds `t` (Unix ms), `who` (the process that saw it) and `what`; the other fields belong to its kind:

| what | told by | fields |
| --- | --- | --- |
| `asked` | clients | `wish`, `id`, `try`, `cls`, `to`, `deadline` (ms) |
| `answered` | clients | `id`, `status`, `took` (ms), `run` (who made the answer, by its own word) |
| `lost` | clients | `id`, `how`, `sent` (whether the balancer may have taken it) |
| `left` | clients | `id`: nobody waits any more |
| `done` | clients | `wish`, `cls`, `ending`, `took` (ms), `tries`, `first` (when it was first asked) |
| `arrived` | servers | `id`, `cls`, `from` (an address), `work` (ms of a standard core) |
| `began`, `ended` | servers | `id`, `cls`; `status`, `run` |
| `up` | servers | `cores`, `speed`, `cold_from`, `cold_ms`, `since` |
| `told` | the list | `to` (an address), `index`, `snapshot`, `entries` (name to status) |
| `turned_away` | the list | `to` (an address): a call that it failed |
| `process` | the driver | `name`, `state`: `started`, `ready`, `ended`; `code` and `wanted` |
| `fault` | the driver | `kind`, `on`, `targets`, and what it was |
| `call` | the driver | `to`, `call`, `body`, `status` |
| `view` | the driver | `of`, `wanted`, `said` (by whom), `took_s`, `held` |
| `notes` | the driver | `link`, `passed`, `lost`: counts of the whole drill |
| `knock` | links | `link`: a new connection to a process that no list names any more |
| `left_out` | any | `lines` that found no room |
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
SUFFIX = ".history.jsonl"


class HistoryWriter:
    """The lines of one process."""

    def __init__(self, folder: Path, who: str, clock: RealClock, most: int = MAX_FILE_BYTES) -> None:
        """Goes on where an earlier process of that name stopped; OSError if the folder can't be written."""
        self._who, self._clock, self._max_bytes = who, clock, most
        path = folder / f"{who}{SUFFIX}"
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self._size = os.fstat(self._file).st_size
        self.dropped_lines = 0

    def write(self, what: str, **fields: Any) -> None:
        """Write an event that happens now; past the bound it is counted only."""
        line = json.dumps({"t": round(self._clock.now, 3), "who": self._who, "what": what} | fields)
        if self._size + len(line) > self._max_bytes:
            self.dropped_lines += 1
            return
        self._size += os.write(self._file, line.encode() + b"\n")

    def close(self) -> None:
        """Say what was left out, and close."""
        if self.dropped_lines:
            self._max_bytes += 1_000
            self.write("left_out", lines=self.dropped_lines)
        os.close(self._file)


def read_history(folder: Path) -> list[Event]:
    """All events of a drill in the order of time.

    ValueError names the file and line that can't be read; a last line that was cut off by a kill is passed
    over.
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
        except (ValueError, KeyError, TypeError):
            if number == len(lines):
                return
            raise ValueError(f"{path.name}: line {number} is no event") from None
        yield event
