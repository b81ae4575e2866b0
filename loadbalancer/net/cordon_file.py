"""The cordons of this process, kept in step with the files that keep them across restarts.

Both processes of a hot restart may write the files. What one of them could not write or read is merged order
by order, so that no state as a whole takes the place of a newer one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from loadbalancer.interface import ZoneEvacuation
from loadbalancer.net.clock import Clock
from loadbalancer.net.cordon_adoption import Adoption, adopt_cordons
from loadbalancer.net.cordon_storage import MAX_LOCK_ATTEMPTS, CordonStorage, FileIdentity, StoredCordons
from loadbalancer.net.cordons import Cordons, decode_cordons, encode_cordons
from loadbalancer.net.versioned_cordons import VERSION_STEP_MS, VersionedCordons

Order = Callable[[VersionedCordons, float], VersionedCordons]
"""Returns the state after an order, given the state before and the version of the order."""


class CordonFile:
    """The cordons, kept in files; only in memory without a folder, or until writing succeeds."""

    def __init__(self, folder: Path | None, clock: Clock | None = None) -> None:
        self._storage = CordonStorage(folder) if folder else None
        self._clock = clock or Clock()
        self._identity: FileIdentity | None = None  # of the content that was read or written last
        self._saved = VersionedCordons()  # that content
        self._is_unsaved = False  # whether there may be orders that the files lack
        self.state = VersionedCordons()

    @property
    def cordons(self) -> Cordons:
        """The cordons and evacuations in force."""
        return self.state.cordons

    def encode(self) -> dict[str, object]:
        """Return the cordons as they are stored in the file and sent to the next process."""
        return encode_cordons(self.cordons)

    # ---- the files --------------------------------------------------------------------------

    def refresh(self) -> bool:
        """Read the files if they have changed; return whether the cordons may have changed."""
        try:
            if self._storage is None or self._storage.identity() == self._identity:
                return False
            return self._read()
        except OSError:
            return False

    def _read(self) -> bool:
        """Read files that have changed; raises OSError if that is not possible."""
        assert self._storage is not None
        max_attempts = MAX_LOCK_ATTEMPTS if self._identity is None else 1  # nothing is known at first
        try:
            with self._storage.locked(max_attempts):
                return self._merge_stored(is_locked=True)
        except BlockingIOError:
            raise  # another process is writing: its content is read when it has done so
        except OSError:
            return self._merge_stored(is_locked=False)

    def _merge_stored(self, *, is_locked: bool) -> bool:
        """Merge the content of the files, if it has changed; return whether it has and is valid.

        Raises OSError if it can't be read, except if there is none.
        """
        assert self._storage is not None
        try:
            if self._storage.identity() == self._identity:
                return False
            stored = self._storage.read()
        except (FileNotFoundError, ValueError):
            return False
        is_first = self._identity is None
        if not (stored.is_versioned or is_locked or is_first):
            return False  # it may be half written
        saved = stored.state if stored.is_versioned or is_first else self._with_versions(stored)
        self._identity = stored.identity
        self._saved = saved
        self.state = self.state.merged(saved, self._clock.now())
        self._is_unsaved = self.state.has_later_orders_than(saved)
        return True

    def _with_versions(self, stored: StoredCordons) -> VersionedCordons:
        """Return what a process without versions has stored: what it has changed is later than before.

        The versions depend on the content alone, so that all processes that read it agree on them.
        """
        cordons = stored.state.cordons
        before = self._saved
        state = VersionedCordons(cordons, before.versions)
        for server in before.cordons.servers ^ cordons.servers:
            version = before.server_version(server) + VERSION_STEP_MS
            version = max(version, cordons.returned_at_ms.get(server, 0.0))
            state = state.with_server_version(server, version)
        for zone, evacuation in cordons.evacuations.items():
            if before.cordons.evacuations.get(zone) != evacuation:
                version = before.zone_version(zone) + VERSION_STEP_MS
                state = state.with_zone_version(zone, max(version, evacuation.started_at_ms))
        return state

    def save_pending(self) -> bool:
        """Write what could not be written before, if there is any; return whether that succeeded."""
        if self._storage is None or not self._is_unsaved:
            return False
        try:
            with self._storage.locked(max_attempts=1):
                self._merge_stored(is_locked=True)
                if not self._is_unsaved:  # the other process has saved it
                    return False
                self._write()
        except OSError:
            return False
        return True

    def _write(self) -> None:
        if self._storage is not None:
            state = self.state.without_old_versions(self._clock.now())
            self._storage.write(state)
            self._identity = self._storage.identity()
            self._saved = state
            self.state = state
        self._is_unsaved = False

    # ---- orders -----------------------------------------------------------------------------

    def set_cordon(self, server: str, *, is_cordoned: bool) -> str:
        """Cordon or uncordon a server; return the error of writing the files, or an empty string."""
        now_ms = self._clock.now()
        return self._change(
            lambda state, version: state.with_cordon(
                server, is_cordoned=is_cordoned, now_ms=now_ms, version=version
            )
        )

    def set_evacuation(self, evacuation: ZoneEvacuation) -> str:
        """Evacuate a zone or return to it; return the error of writing the files, or an empty string."""
        return self._change(lambda state, version: state.with_evacuation(evacuation, version))

    def _change(self, order: Order) -> str:
        is_given = False
        try:
            with self._locked():
                self._apply(order)
                is_given = True
                self._write()
        except OSError as error:
            if not is_given:
                self.refresh()
                self._apply(order)
            self._is_unsaved = True
            return f"cordons could not be saved and are kept only in memory until they can: {error}"
        return ""

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Hold the lock, with the files read; raises OSError if that is not possible."""
        if self._storage is None:
            yield
            return
        with self._storage.locked():
            self._merge_stored(is_locked=True)
            yield

    def _apply(self, order: Order) -> None:
        self.state = order(self.state, self._next_version())

    def _next_version(self) -> float:
        return max(self._clock.now(), self.state.last_version() + VERSION_STEP_MS)

    def merge(self, orders: VersionedCordons) -> bool:
        """Take over later orders of another process; return whether there are any."""
        if not orders.has_later_orders_than(self.state):
            return False
        self.state = self.state.merged(orders, self._clock.now())
        self._is_unsaved = self.state.has_later_orders_than(self._saved)
        return True

    # ---- the predecessor --------------------------------------------------------------------

    def adopt(self, raw: object, saved_before: VersionedCordons | None = None) -> Adoption:
        """Take over the orders that the predecessor could not save, for example on a full disk.

        `saved_before` is what was in the files before the predecessor sent its cordons; by default, what was
        read last. What has been saved since then is newer than what it sent. Raises ValueError, and changes
        nothing, if what it sent is malformed.
        """
        sent = decode_cordons(raw)
        before = self._saved if saved_before is None else saved_before
        self.refresh()
        if self._identity is None:  # there is no content, or it can't be read now
            before = self._saved
        adoption = adopt_cordons(self.state, sent, before, self._saved, self._clock.now())
        self.state = adoption.state
        self._is_unsaved = self._is_unsaved or adoption.adopted > 0
        return adoption
