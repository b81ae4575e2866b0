"""Writes that come within a few ms are made, stored in one transaction, answered and announced together.

Nothing is answered, nor seen by a watcher, that is not on the disk.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.changes import Change, WriteRejectedError
from loadbalancer.registry.store import CatalogStore, CatalogStoreError

WRITE_BATCH_S = 0.005  # writes that come within it share a transaction, and one wake of the watchers
Write = Callable[[], Change | None]


@dataclass
class PendingWrite:
    """A write in the queue."""

    write: Write
    result: asyncio.Future[Change | None]

    def fail(self, error: Exception) -> None:
        """Raise an error where the write is awaited, if it still is."""
        if not self.result.done():
            self.result.set_exception(error)

    def succeed(self, change: Change | None) -> None:
        """Return the change where the write is awaited, if it still is."""
        if not self.result.done():
            self.result.set_result(change)


class WriteQueue:
    """Makes and stores writes. All calls come from one event loop."""

    def __init__(
        self,
        catalog: Catalog,
        store: CatalogStore,
        on_changed: Callable[[], None],
        on_written: Callable[[], None],
    ) -> None:
        """Call `on_changed` when stored changes are to be announced, `on_written` after any queued write."""
        self._catalog = catalog
        self._store = store
        self._on_changed = on_changed
        self._on_written = on_written
        self._pending: list[PendingWrite] = []
        self._flush_timer: asyncio.TimerHandle | None = None

    async def write(self, write: Write) -> Change | None:
        """Make a write, and return when it is on the disk.

        Raises what the write raises, or `CatalogStoreError` if it can't be stored: then it is not made.
        """
        loop = asyncio.get_running_loop()
        pending = PendingWrite(write, loop.create_future())
        self._pending.append(pending)
        if self._flush_timer is None:
            self._flush_timer = loop.call_later(WRITE_BATCH_S, self.flush)
        return await pending.result

    def flush(self) -> None:
        """Make and store all pending writes, answer them, and announce the changes."""
        self._flush_timer = None
        pending_writes = self._pending
        self._pending = []
        made: list[tuple[PendingWrite, Change | None]] = []
        for pending in pending_writes:
            try:
                made.append((pending, pending.write()))
            except WriteRejectedError as error:
                pending.fail(error)
        changes = [change for _, change in made if change is not None]
        try:
            self._store_or_revert(changes)
        except CatalogStoreError as error:
            for pending, _ in made:
                pending.fail(error)
            return
        for pending, change in made:
            pending.succeed(change)
        if changes:
            self._on_changed()
        if made:
            self._on_written()

    def commit(self, changes: Sequence[Change]) -> None:
        """Store and announce changes that nobody here waits for; `CatalogStoreError` if none is made."""
        self._store_or_revert(changes)
        if changes:
            self._on_changed()

    def _store_or_revert(self, changes: Sequence[Change]) -> None:
        try:
            self._store.commit(changes)
        except CatalogStoreError:
            self._catalog.revert(changes)
            raise

    def close(self) -> None:
        """Make what is pending at once, and nothing later."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        self.flush()
