"""A snapshot's files: written aside, synced, then put in place, with the one before it kept.

At any moment one of the two generations is complete: a process that dies in the middle of a save leaves a
draft, which the next save overwrites, or one generation less.
"""

from __future__ import annotations

import os
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from loadbalancer.snapshots.codec import MAX_SNAPSHOT_BYTES, Snapshot, SnapshotDecodeError, decode_snapshot


@dataclass(frozen=True)
class LoadResult:
    """The newest snapshot that can be read, and a line on each file that can't."""

    snapshot: Snapshot | None
    errors: tuple[str, ...]


class SnapshotStore:
    """The snapshots of one balancer in a folder."""

    def __init__(self, folder: Path, name: str) -> None:
        """`name` may be any text; what no file name can hold is replaced."""
        file_name = "".join(c if c.isalnum() or c in "-_." else "_" for c in name) or "balancer"
        self._folder = folder
        self._newest = folder / f"{file_name}.snapshot"
        self._previous = folder / f"{file_name}.snapshot.old"
        self._draft = folder / f"{file_name}.snapshot.draft"

    def save(self, data: bytes) -> None:
        """Make this the newest generation; OSError if it can't be, and both older ones stand."""
        self._write_draft(data)
        with suppress(FileNotFoundError):
            os.replace(self._newest, self._previous)
        os.replace(self._draft, self._newest)
        self._sync_folder()

    def load(self) -> LoadResult:
        """Return the newest generation that can be read. Nothing raises: a start must not fail by it."""
        errors: list[str] = []
        for path in (self._newest, self._previous):
            try:
                if path.stat().st_size > MAX_SNAPSHOT_BYTES:
                    raise SnapshotDecodeError("it is too large")
                return LoadResult(decode_snapshot(path.read_bytes()), tuple(errors))
            except FileNotFoundError:
                continue
            except (OSError, SnapshotDecodeError) as error:
                errors.append(f"{path.name} is passed over: {error}")
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
