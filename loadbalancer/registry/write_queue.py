"""Batches writes: those within a few ms are applied, stored in one transaction, answered and announced.

No write is answered, or visible to watchers, before it is on the disk.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.changes import Change, WriteRejectedError
from loadbalancer.registry.store import CatalogStore, CatalogStoreError

WRITE_BATCH_S = 0.005  # writes within it share a transaction, and one wake-up of the watchers
Write = Callable[[], Change | None]


@dataclass
class PendingWrite:
    """A queued write and its future result."""

    write: Write
    result: asyncio.Future[Change | None]

    def fail(self, error: Exception) -> None:
        """Raise an error in the caller that awaits the write, if any still does."""
        if not self.result.done():
            self.result.set_exception(error)

    def succeed(self, change: Change | None) -> None:
        """Return the change to the caller that awaits the write, if any still does."""
        if not self.result.done():
            self.result.set_result(change)


class WriteQueue:
    """Applies and stores writes. All calls come from one event loop."""

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
        """Apply a write, and return when it is on the disk.

        Raises what the write raises, or `CatalogStoreError` if it can't be stored: then it is reverted.
        """
        loop = asyncio.get_running_loop()
        pending = PendingWrite(write, loop.create_future())
        self._pending.append(pending)
        if self._flush_timer is None:
            self._flush_timer = loop.call_later(WRITE_BATCH_S, self.flush)
        return await pending.result

    def flush(self) -> None:
        """Apply and store all pending writes, answer them, and announce the changes."""
        self._flush_timer = None
        pending_writes = self._pending
        self._pending = []
        applied: list[tuple[PendingWrite, Change | None]] = []
        for pending in pending_writes:
            try:
                applied.append((pending, pending.write()))
            except WriteRejectedError as error:
                pending.fail(error)
        changes = [change for _, change in applied if change is not None]
        try:
            self._store_or_revert(changes)
        except CatalogStoreError as error:
            for pending, _ in applied:
                pending.fail(error)
            return
        for pending, change in applied:
            pending.succeed(change)
        if changes:
            self._on_changed()
        if applied:
            self._on_written()

    def commit(self, changes: Sequence[Change]) -> None:
        """Store and announce changes outside the queue; `CatalogStoreError` if they had to be reverted."""
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
        """Flush the pending writes now, and cancel the timer."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        self.flush()
