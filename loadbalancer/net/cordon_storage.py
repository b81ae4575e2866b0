"""The files of the cordons, in the folder that the processes of a hot restart share.

`cordons.json` has the cordons and evacuations, in a form that older versions of the program read and write,
too. `cordons.versions` has the versions of the orders, and a checksum of the content of the other file that
they belong to. Both are written under a lock, the versions first, and each is replaced atomically. If the
checksum differs, the cordons are those of a process that writes no versions, or of one killed in between.
"""

from __future__ import annotations

import fcntl
import json
import os
import time
import zlib
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

from loadbalancer.net.cordons import decode_cordons, encode_cordons
from loadbalancer.net.versioned_cordons import OrderVersions, VersionedCordons, decode_versions

# The lock is held for two small writes; a process that hangs while holding it must not block this one.
MAX_LOCK_ATTEMPTS = 20
LOCK_RETRY_INTERVAL_S = 0.005
MAX_CORDON_FILE_BYTES = 1_000_000

FileIdentity = tuple[int, int, int]


@dataclass(frozen=True)
class StoredCordons:
    """The content of the files."""

    state: VersionedCordons
    is_versioned: bool
    """Whether the versions are those of the orders that led to these cordons."""
    identity: FileIdentity


class CordonStorage:
    """Reads and writes the files."""

    def __init__(self, folder: Path) -> None:
        self._cordons_path = folder / "cordons.json"
        self._versions_path = folder / "cordons.versions"
        self._lock_path = folder / "cordons.lock"

    def identity(self) -> FileIdentity:
        """Return what differs between any two contents that are read; raises OSError."""
        stat = self._cordons_path.stat()
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def read(self) -> StoredCordons:
        """Return the stored cordons; OSError if they can't be read, ValueError if they are malformed."""
        identity = self.identity()
        if identity[2] > MAX_CORDON_FILE_BYTES:
            raise ValueError(f"{identity[2]} bytes are too many for cordons")
        data = self._cordons_path.read_bytes()
        cordons = decode_cordons(json.loads(data))
        versions = self._read_versions(data)
        state = VersionedCordons(cordons, versions or OrderVersions())
        return StoredCordons(state, versions is not None, identity)

    def _read_versions(self, cordons: bytes) -> OrderVersions | None:
        """Return the versions that belong to a content of the other file; None if there are none."""
        try:
            raw = json.loads(self._versions_path.read_bytes())
            if not isinstance(raw, dict) or raw.get("checksum") != zlib.crc32(cordons):
                return None
            return decode_versions(raw)
        except (FileNotFoundError, ValueError):
            return None

    def write(self, state: VersionedCordons) -> None:
        """Replace the content of both files; raises OSError."""
        cordons = json.dumps(encode_cordons(state.cordons))
        versions = {"checksum": zlib.crc32(cordons.encode())} | state.versions.encode()
        self._replace(self._versions_path, json.dumps(versions))
        self._replace(self._cordons_path, cordons)

    def _replace(self, path: Path, text: str) -> None:
        temporary_path = path.with_name(f"{path.name}.{os.getpid()}")
        try:
            temporary_path.write_text(text)
            temporary_path.replace(path)
        except OSError:
            temporary_path.unlink(missing_ok=True)
            raise

    @contextmanager
    def locked(self, max_attempts: int = MAX_LOCK_ATTEMPTS) -> Iterator[None]:
        """Keep other processes from writing; BlockingIOError if one is, OSError if that is not possible."""
        with self._lock_path.open("wb") as lock:
            for attempt in range(max_attempts):
                try:
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if attempt == max_attempts - 1:
                        raise
                    time.sleep(LOCK_RETRY_INTERVAL_S)
            yield


def read_saved_cordons(folder: Path | None) -> VersionedCordons:
    """Return the cordons in a folder; none if there are none, or they can't be read."""
    if folder is None:
        return VersionedCordons()
    storage = CordonStorage(folder)
    with ExitStack() as opened, suppress(OSError, ValueError):
        with suppress(OSError):
            opened.enter_context(storage.locked())
        return storage.read().state
    return VersionedCordons()
