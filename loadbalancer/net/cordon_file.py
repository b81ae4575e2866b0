"""The file in which cordons outlast the process; both processes of a hot restart may write it.

It is changed under a lock and replaced in one step, so that two processes can serve operators at once, and a
reader never sees half of it. Content that can't be read is passed over.
"""

from __future__ import annotations

import fcntl
import json
import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from loadbalancer.interface import ZoneEvacuation
from loadbalancer.net.cordons import Cordons, decode_cordons, encode_cordons

# The lock is held for one small write; a process that is stuck with it is not waited for.
MAX_LOCK_ATTEMPTS = 20
LOCK_RETRY_INTERVAL_S = 0.005
MAX_CORDON_FILE_BYTES = 1_000_000


class CordonFile:
    """The cordons as the file has them; without a folder, or with one that fails, in memory alone."""

    def __init__(self, folder: Path | None) -> None:
        self._path = folder / "cordons.json" if folder else None
        self._last_stat: tuple[int, int, int] | None = None
        self.cordons = Cordons()

    def refresh(self) -> bool:
        """Read the file if it was replaced; return whether the cordons may have changed."""
        if self._path is None:
            return False
        try:
            stat = os.stat(self._path)
            identity = stat.st_ino, stat.st_mtime_ns, stat.st_size
            if identity == self._last_stat or stat.st_size > MAX_CORDON_FILE_BYTES:
                return False
            self._last_stat = identity
            self.cordons = decode_cordons(json.loads(self._path.read_bytes()))
        except (OSError, ValueError):
            return False
        return True

    def set_cordon(self, server: str, *, is_cordoned: bool) -> str:
        """Cordon a server or return it; return a line on what went wrong with the file, or nothing."""
        return self._change(
            lambda cordons: cordons.with_cordon(server, is_cordoned=is_cordoned, now_ms=time.time() * 1000)
        )

    def set_evacuation(self, evacuation: ZoneEvacuation) -> str:
        """Evacuate a zone or return to it; return a line on what went wrong with the file, or nothing."""
        return self._change(lambda cordons: cordons.with_evacuation(evacuation))

    def adopt(self, raw: object) -> None:
        """Go on from the predecessor's cordons: the file may be behind them, where a disk is full.

        ValueError if they can't be read; those of the file then stand. Later changes of the file
        are followed.
        """
        self.cordons = decode_cordons(raw)

    def encode(self) -> dict[str, object]:
        """Return the cordons as the file has them, and as the next process is sent them."""
        return encode_cordons(self.cordons)

    def _change(self, change: Callable[[Cordons], Cordons]) -> str:
        try:
            with self._locked():
                self.refresh()
                self.cordons = change(self.cordons)
                self._write()
        except OSError as error:
            self.cordons = change(self.cordons)
            return f"cordons are kept in memory alone: {error}"
        return ""

    @contextmanager
    def _locked(self) -> Iterator[None]:
        if self._path is None:
            yield
            return
        with open(self._path.with_suffix(".lock"), "wb") as lock:
            for attempt in range(MAX_LOCK_ATTEMPTS):
                try:
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if attempt == MAX_LOCK_ATTEMPTS - 1:
                        raise
                    time.sleep(LOCK_RETRY_INTERVAL_S)
            yield

    def _write(self) -> None:
        if self._path is None:
            return
        draft = self._path.with_suffix(f".{os.getpid()}")
        try:
            draft.write_text(json.dumps(self.encode()))
            os.replace(draft, self._path)
        except OSError:
            draft.unlink(missing_ok=True)
            raise
