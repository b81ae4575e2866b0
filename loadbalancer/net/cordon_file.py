"""The file that keeps cordons across restarts; both processes of a hot restart may write it.

It is changed under a lock and replaced atomically, so that two processes can serve operators at once and a
reader never sees a partial file. Malformed content is ignored.
"""

from __future__ import annotations

import fcntl
import json
import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

from loadbalancer.interface import ZoneEvacuation
from loadbalancer.net.clock import Clock
from loadbalancer.net.cordons import Cordons, decode_cordons, encode_cordons

# The lock is held for one small write; a process that hangs while holding it must not block this one.
MAX_LOCK_ATTEMPTS = 20
LOCK_RETRY_INTERVAL_S = 0.005
MAX_CORDON_FILE_BYTES = 1_000_000


class CordonFile:
    """The cordons, kept in a file; only in memory without a folder, or until writing succeeds."""

    def __init__(self, folder: Path | None, clock: Clock | None = None) -> None:
        self._path = folder / "cordons.json" if folder else None
        self._clock = clock or Clock()
        self._last_stat: tuple[int, int, int] | None = None
        self._unsaved: list[Callable[[Cordons], Cordons]] = []  # changes that could not be written, in order
        self.cordons = Cordons()

    def refresh(self) -> bool:
        """Read the file if it has changed; return whether the cordons may have changed."""
        if self._path is None:
            return False
        try:
            stat = os.stat(self._path)
            identity = stat.st_ino, stat.st_mtime_ns, stat.st_size
            if identity == self._last_stat or stat.st_size > MAX_CORDON_FILE_BYTES:
                return False
            self.cordons = self._with_unsaved(decode_cordons(json.loads(self._path.read_bytes())))
            self._last_stat = identity
        except (OSError, ValueError):
            return False
        return True

    def _with_unsaved(self, cordons: Cordons) -> Cordons:
        for change in self._unsaved:
            cordons = change(cordons)
        return cordons

    def save_pending(self) -> bool:
        """Write what could not be written before, if there is any; return whether that succeeded."""
        if not self._unsaved:
            return False
        try:
            with self._locked():
                self.refresh()
                self._write()
        except OSError:
            return False
        self._unsaved.clear()
        return True

    def set_cordon(self, server: str, *, is_cordoned: bool) -> str:
        """Cordon or uncordon a server; return the error of writing the file, or an empty string."""
        now_ms = self._clock.now()
        return self._change(
            lambda cordons: cordons.with_cordon(server, is_cordoned=is_cordoned, now_ms=now_ms)
        )

    def set_evacuation(self, evacuation: ZoneEvacuation) -> str:
        """Evacuate a zone or return to it; return the error of writing the file, or an empty string."""
        return self._change(lambda cordons: cordons.with_evacuation(evacuation))

    def adopt(self, raw: object) -> None:
        """Replace the cordons by the predecessor's: the file may be outdated, for example on a full disk.

        Raises ValueError and keeps the file's cordons if they are malformed. Later changes of the file still
        apply. What the file lacks is saved as soon as it can be.
        """
        adopted = decode_cordons(raw)
        if self._path is not None:
            self._unsaved += self._changes_to(adopted)
        self.cordons = adopted

    def _changes_to(self, adopted: Cordons) -> Iterator[Callable[[Cordons], Cordons]]:
        """Yield the changes that lead from the file's cordons to others."""
        for server in sorted(adopted.servers ^ self.cordons.servers):
            now_ms = adopted.returned_at_ms.get(server, self._clock.now())
            yield partial(
                Cordons.with_cordon, server=server, is_cordoned=server in adopted.servers, now_ms=now_ms
            )
        for zone, evacuation in adopted.evacuations.items():
            if self.cordons.evacuations.get(zone) != evacuation:
                yield partial(Cordons.with_evacuation, evacuation=evacuation)

    def encode(self) -> dict[str, object]:
        """Return the cordons as they are stored in the file and sent to the next process."""
        return encode_cordons(self.cordons)

    def _change(self, change: Callable[[Cordons], Cordons]) -> str:
        try:
            with self._locked():
                self.refresh()
                self.cordons = change(self.cordons)
                self._write()
        except OSError as error:
            self.cordons = change(self.cordons)
            self._unsaved.append(change)
            return f"cordons could not be saved and are kept only in memory until they can: {error}"
        self._unsaved.clear()
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
        temporary_path = self._path.with_suffix(f".{os.getpid()}")
        try:
            temporary_path.write_text(json.dumps(self.encode()))
            os.replace(temporary_path, self._path)
        except OSError:
            temporary_path.unlink(missing_ok=True)
            raise
