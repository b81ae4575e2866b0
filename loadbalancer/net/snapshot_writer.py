"""Saves learned state periodically and at shutdown if the configuration names a folder."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from loadbalancer.net.log import Log
from loadbalancer.snapshots import Snapshot, SnapshotStore, encode_snapshot


class SnapshotWriter:
    """Writes one balancer's snapshots. A failed save is logged once and has no other effect."""

    def __init__(self, folder: Path, name: str, interval_ms: float, log: Log) -> None:
        self._store = SnapshotStore(folder, name)
        self._interval_s = interval_ms / 1_000
        self._log = log
        self._read_state: Callable[[], dict[str, object]] = dict
        self._logged_error = ""
        self._task: asyncio.Task[None] | None = None

    def load(self) -> Snapshot | None:
        """Return the newest readable snapshot, if any; log each unreadable file."""
        result = self._store.load()
        for error in result.errors:
            self._log.event("snapshot_unreadable", error)
        if result.snapshot is not None:
            age_s = max(time.time() - result.snapshot.written_at_ms / 1_000, 0.0)
            self._log.event("snapshot_loaded", f"resuming from a snapshot, {age_s:.1f} s old")
        return result.snapshot

    def start(self, read_state: Callable[[], dict[str, object]]) -> None:
        """Start to save what `read_state` returns, at intervals."""
        self._read_state = read_state
        self._task = asyncio.get_running_loop().create_task(self._save_at_intervals())

    def close(self) -> None:
        """Stop, and save a last time."""
        if self._task is not None:
            self._task.cancel()
            self._save(self._encode())

    async def _save_at_intervals(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._interval_s)
            data = self._encode()
            await loop.run_in_executor(None, self._save, data)  # a slow disk must not block the event loop

    def _encode(self) -> bytes:
        return encode_snapshot(self._read_state(), time.time() * 1_000)

    def _save(self, data: bytes) -> None:
        try:
            self._store.save(data)
            self._logged_error = ""
        except OSError as error:
            text = f"failed to save a snapshot: {error}"
            if text != self._logged_error:
                self._log.event("snapshot_failed", text)
            self._logged_error = text
