"""What happened, as JSON lines: one file for each process, one clock for all, bounded in size.

A line is written in one call and at once, so that what a process did before it was killed is on record. Every
line holds `t` (Unix ms), `who` (the process that saw it) and `what`; the other fields belong to its kind:

| what | written by | fields |
| --- | --- | --- |
| `asked` | clients | an attempt: `wish`, `id`, `try`, `cls`, `to`, `deadline` (ms) |
| `answered` | clients | `id`, `status`, `took` (ms), `run` (the execution that made the answer, as it says) |
| `lost` | clients | `id`, `how`, `sent` (whether the balancer may have accepted it) |
| `left` | clients | `id`: the client no longer waits |
| `done` | clients | `wish`, `cls`, `ending`, `took` (ms), `tries` (attempts), `first` (its time) |
| `arrived` | servers | `id`, `cls`, `from` (an address), `work` (ms of a standard core) |
| `began`, `ended` | servers | `id`, `cls`; `status`, `run` |
| `up` | servers | `cores`, `speed`, `cold_from`, `cold_ms` (its warm-up), `since` |
| `told` | the endpoint list | `to` (an address), `index`, `snapshot`, `entries` (name to status) |
| `turned_away` | the endpoint list | `to` (an address): a call that it failed |
| `place` | the driver | `name`, `host`, `zone`, `tier` |
| `process` | the driver | `name`, `state`: `started`, `ready`, `ended`; `code` and `wanted` |
| `fault` | the driver | `kind`, `on`, `targets`, and what it was |
| `call` | the driver | an operator's call: `to`, `call`, `body`, `status` |
| `view` | the driver | `of`, `wanted`, `said` (by each balancer), `took_s`, `held` |
| `notes` | the driver | gossip over the whole drill: `link`, `passed`, `lost` |
| `knock` | the driver | `link`: a new connection to a process that no list names any more |
| `over` | the driver | the drill was played to its end |
| `left_out` | any | `lines` that were dropped at the bound |
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
LAST_LINE_BYTES = 1_000  # past the bound, for the line that says how many were dropped
SUFFIX = ".history.jsonl"


class HistoryWriter:
    """The lines of one process."""

    def __init__(self, folder: Path, who: str, clock: RealClock, max_bytes: int = MAX_FILE_BYTES) -> None:
        """Go on where an earlier process of that name stopped; OSError if the folder can't be written."""
        self._who = who
        self._clock = clock
        self._max_bytes = max_bytes
        path = folder / f"{who}{SUFFIX}"
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self._size_bytes = os.fstat(self._file).st_size
        self._dropped_lines = 0

    def write(self, what: str, **fields: Any) -> None:
        """Write an event that happens now; past the bound it is counted only."""
        line = json.dumps({"t": round(self._clock.now, 3), "who": self._who, "what": what} | fields)
        if self._size_bytes + len(line) > self._max_bytes:
            self._dropped_lines += 1
            return
        self._size_bytes += os.write(self._file, line.encode() + b"\n")

    def close(self) -> None:
        """Write how many lines were dropped, and close."""
        if self._dropped_lines:
            self._max_bytes += LAST_LINE_BYTES
            self.write("left_out", lines=self._dropped_lines)
        os.close(self._file)


def read_history(folder: Path) -> list[Event]:
    """Return all events of a drill in the order of time.

    ValueError names the file and line that can't be read; a last line that was cut off by a kill is skipped.
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
            raise ValueError(f"{path.name}: line {number} is no event") from error
        yield event
