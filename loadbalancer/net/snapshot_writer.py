"""Keeps what was learned in a folder, where the configuration names one: now and then, and at the end."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from loadbalancer.net.log import Log
from loadbalancer.snapshots import Snapshot, SnapshotStore, encode_snapshot


class SnapshotWriter:
    """The snapshots of one balancer. A save that fails is told once; it costs nothing but itself."""

    def __init__(self, folder: Path, name: str, every_ms: float, log: Log) -> None:
        self._store = SnapshotStore(folder, name)
        self._every_s, self._log = every_ms / 1_000, log
        self._state: Callable[[], dict[str, object]] = dict
        self._told = ""
        self._task: asyncio.Task[None] | None = None

    def load(self) -> Snapshot | None:
        """What was kept, if any of it can be read; a line in the log on each file that can't."""
        found = self._store.load()
        for trouble in found.errors:
            self._log.event("snapshot_unreadable", trouble)
        if found.snapshot is not None:
            age_s = max(time.time() - found.snapshot.written_at_ms / 1_000, 0.0)
            self._log.event("snapshot_taken", f"we go on from a snapshot, {age_s:.1f} s old")
        return found.snapshot

    def start(self, state: Callable[[], dict[str, object]]) -> None:
        """Save what `state` tells from now on."""
        self._state = state
        self._task = asyncio.get_running_loop().create_task(self._keep())

    async def _keep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._every_s)
            data = encode_snapshot(self._state(), time.time() * 1_000)
            await loop.run_in_executor(None, self._save, data)  # a disk that is slow holds up nobody

    def _save(self, data: bytes) -> None:
        try:
            self._store.save(data)
            self._told = ""
        except OSError as error:
            text = f"no snapshot is kept: {error}"
            if text != self._told:
                self._log.event("snapshot_failed", text)
            self._told = text

    def close(self) -> None:
        """Save for the last time."""
        if self._task is not None:
            self._task.cancel()
            self._save(encode_snapshot(self._state(), time.time() * 1_000))
