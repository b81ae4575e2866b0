"""Snapshot files: written to a draft, synced, then renamed into place, keeping the previous generation.

At least one of the two generations is complete at any time: a process that dies during a save leaves a draft,
which the next save overwrites, or one generation less.
"""

from __future__ import annotations

import os
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from loadbalancer.snapshots.codec import MAX_SNAPSHOT_BYTES, Snapshot, SnapshotDecodeError, decode_snapshot


@dataclass(frozen=True)
class LoadResult:
    """The newest readable snapshot, and an error line for each unreadable file."""

    snapshot: Snapshot | None
    errors: tuple[str, ...]


class SnapshotStore:
    """Stores the snapshots of one balancer in a folder."""

    def __init__(self, folder: Path, name: str) -> None:
        """`name` may be any text; characters unsafe in file names are replaced."""
        file_name = "".join(c if c.isalnum() or c in "-_." else "_" for c in name) or "balancer"
        self._folder = folder
        self._newest = folder / f"{file_name}.snapshot"
        self._previous = folder / f"{file_name}.snapshot.old"
        self._draft = folder / f"{file_name}.snapshot.draft"

    def save(self, data: bytes) -> None:
        """Store data as the newest generation; OSError if writing fails, which keeps both older ones."""
        self._write_draft(data)
        with suppress(FileNotFoundError):
            os.replace(self._newest, self._previous)
        os.replace(self._draft, self._newest)
        self._sync_folder()

    def load(self) -> LoadResult:
        """Return the newest readable generation; never raises, since errors must not prevent a start."""
        errors: list[str] = []
        for path in (self._newest, self._previous):
            try:
                if path.stat().st_size > MAX_SNAPSHOT_BYTES:
                    raise SnapshotDecodeError("file is too large")
                return LoadResult(decode_snapshot(path.read_bytes()), tuple(errors))
            except FileNotFoundError:
                continue
            except (OSError, SnapshotDecodeError) as error:
                errors.append(f"{path.name} skipped: {error}")
        return LoadResult(None, tuple(errors))

    def _write_draft(self, data: bytes) -> None:
        try:
            with open(self._draft, "wb") as draft:
                draft.write(data)
                draft.flush()
                os.fsync(draft.fileno())
        except OSError:
            with suppress(OSError):
                self._draft.unlink()
            raise

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
