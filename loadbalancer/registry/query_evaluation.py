"""What watches are told, and when: found and written once for all who ask the same.

reads = Reads(catalog, store)
body = await reads.answer(asked)     # the whole, or what changed since, as soon as something has
reads.wake()                         # after changes that were kept; watches are woken at their pace
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Hashable
from typing import Any

import msgspec

from loadbalancer.registry import interests
from loadbalancer.registry.admission_queue import CALL_COST_S, ENTRY_COST_S, AdmissionQueue, ScheduledRetry
from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.entries import Entry
from loadbalancer.registry.interests import SubsetCache, SubsetView
from loadbalancer.registry.list_query import NO_REVISION, ListQuery
from loadbalancer.registry.rate_limiter import WakeRateLimiter
from loadbalancer.registry.store import CatalogStore
from loadbalancer.registry.watcher_index import AffectedWatchers, WatcherIndex

MAX_CACHED_ANSWERS = 64  # that watchers share


class QueryEvaluator:
    """The watches of one instance."""

    def __init__(self, catalog: Catalog, store: CatalogStore) -> None:
        """`store` keeps the beginning of a life that a version from elsewhere may bring about."""
        self._catalog, self._store = catalog, store
        self._subsets = SubsetCache(catalog)
        self.watcher_index = WatcherIndex(self._subsets)
        self._wake_timer: asyncio.TimerHandle | None = None
        self._notified_revision = catalog.revision  # when watches were woken last
        self.wake_rate_limiter, self.admission_queue = WakeRateLimiter(), AdmissionQueue()
        self._answers: dict[Hashable, bytes | None] = {}
        self.serialization_count = self.answer_count = self.waiting_count = 0

    def has_history_for(self, asked: ListQuery) -> bool:
        """Whether all since the version that a watcher has seen is remembered here."""
        return self._catalog.has_history_since(asked.after_revision, _services(asked))

    def schedule_retry(self, asked: ListQuery) -> ScheduledRetry | None:
        """When a call is to come again that would be one too many now; None for one that may come in.

        Asked of those who return after a failed call and of those who ask for the whole, by interests.
        """
        if asked.is_single_tier or (asked.after_revision >= 0 and not asked.waited_ms):
            return None
        size = (
            self._subsets.estimate_size(self._views(asked, whole=True)[1]) if asked.after_revision < 0 else 0
        )
        cost_s = CALL_COST_S + ENTRY_COST_S * size
        now = asyncio.get_running_loop().time()
        return self.admission_queue.schedule_retry(now, cost_s, asked.waited_ms / 1_000, asked.ticket)

    async def answer(self, asked: ListQuery) -> bytes:
        """The whole list, or what changed since, as soon as something has."""
        self.waiting_count += 1
        try:
            body = await self._wait_for_answer(asked)
        finally:
            self.waiting_count -= 1
        self.answer_count += 1
        return body

    async def _wait_for_answer(self, asked: ListQuery) -> bytes:
        loop = asyncio.get_running_loop()
        until = loop.time() + asked.wait_ms / 1_000
        while True:
            left = until - loop.time()
            data, view = self.evaluate(asked, may_wait=left > 0)
            if data is not None:
                return data
            with self.watcher_index.subscribe(view, asked.interest.subset) as woken:
                await asyncio.wait((woken,), timeout=left)

    def evaluate(self, asked: ListQuery, may_wait: bool) -> tuple[bytes | None, SubsetView]:
        """The answer as it is now, and what is held with it; None for one that may wait and has no news."""
        held, view = self._views(asked, whole=False)
        waits = may_wait and held.key == view.key and self._is_up_to_date(asked)
        data = None if waits else self._cached_changes(asked, held, view)
        if data is None and not may_wait:
            data = self._encode(asked, asked.after_revision, view, [])
        return data, view

    def _views(self, asked: ListQuery, whole: bool) -> tuple[SubsetView, SubsetView]:
        """What a watcher holds at its version, and what it is to hold from now on."""
        interest = asked.interest
        held = interests.complete_levels(interest.services) if asked.is_single_tier else asked.held_levels
        view = SubsetView(self._subsets.choose_levels(interest, held, whole), interest.position)
        return (view if held is None else SubsetView(held, interest.position)), view

    def _is_up_to_date(self, asked: ListQuery) -> bool:
        """Whether who has seen a version knows all that was told at the last wake.

        What came since is told at the next one: else each watch would ask again for each change.
        """
        goes_on = self._notified_revision <= asked.after_revision <= self._catalog.revision
        return (
            goes_on
            and (asked.is_single_tier or asked.held_levels is not None)
            and self.has_history_for(asked)
        )

    def _cached_changes(self, asked: ListQuery, held: SubsetView, view: SubsetView) -> bytes | None:
        """What all get who have seen a version of the same: None if nothing has changed."""
        key = asked.is_single_tier, held.key, view.key, asked.after_revision, self._catalog.revision
        if asked.after_revision >= 0 and key in self._answers:
            return self._answers[key]
        data = self._encode_changes(asked, held, view)
        while len(self._answers) >= MAX_CACHED_ANSWERS:
            del self._answers[next(iter(self._answers))]
        self._answers[key] = data
        return data

    def _encode_changes(self, asked: ListQuery, held: SubsetView, view: SubsetView) -> bytes | None:
        knows_what = asked.is_single_tier or asked.held_levels is not None
        if asked.after_revision < 0 or not knows_what or not self._can_resume(asked):
            return self._encode_snapshot(asked)
        changed = interests.changes_for(self._catalog, held, view, asked.after_revision)
        if not changed and held.key == view.key:
            return None
        return self._encode(asked, asked.after_revision, view, changed)

    def _can_resume(self, asked: ListQuery) -> bool:
        first, now = self._catalog.start_revision, time.time() * 1_000
        goes_on = self._catalog.resume_watch(_services(asked), asked.after_revision, now)
        if self._catalog.start_revision != first:
            self._store.record_revision_jump(self._catalog.start_revision)
        return goes_on

    def _encode_snapshot(self, asked: ListQuery) -> bytes:
        """All of it, once for all who hold the same."""
        _, view = self._views(asked, whole=True)
        key = asked.is_single_tier, view.key, NO_REVISION, self._catalog.revision
        data = self._answers.get(key)
        if data is None:
            data = self._answers[key] = self._encode(asked, NO_REVISION, view, self._subsets.entries_in(view))
        return data

    def _encode(self, asked: ListQuery, after: int, view: SubsetView, entries: list[Entry]) -> bytes:
        self.serialization_count += 1
        told: dict[str, Any] = {
            "index": self._catalog.revision,
            "snapshot": after < 0,
            "endpoints": [entry.to_endpoint() for entry in entries],
        }
        if not asked.is_single_tier:
            for entry, public in zip(entries, told["endpoints"], strict=True):
                public["service"] = entry.registration.tier
            told |= {"services": asked.interest.services, "held": interests.encode_levels(view.levels)}
        return msgspec.json.encode(told)

    # ---- wakes ----------------------------------------------------------------------------------

    def notify_watchers(self) -> None:
        """Wake those whose interest holds what has changed, at their pace."""
        if self._wake_timer is not None:
            return
        loop, found = asyncio.get_running_loop(), self._find_affected()
        due = self.wake_rate_limiter.next_wake_s(len(found.futures))
        if due > loop.time():
            self._wake_timer = loop.call_at(due, self._notify_delayed)
        else:
            self._notify(found)

    def _notify_delayed(self) -> None:
        self._wake_timer = None
        self._notify(self._find_affected())

    def _find_affected(self) -> AffectedWatchers:
        since = self._notified_revision
        return self.watcher_index.find_affected(self._catalog.changed_since(since), since)

    def _notify(self, found: AffectedWatchers) -> None:
        self._notified_revision = self._catalog.revision
        self.wake_rate_limiter.record_wake(asyncio.get_running_loop().time(), self.watcher_index.wake(found))

    def close(self) -> None:
        """Wake nobody from now on."""
        if self._wake_timer is not None:
            self._wake_timer.cancel()


def _services(asked: ListQuery) -> tuple[str, ...]:
    """All of which a watcher must have heard: what it wants and what it says it holds."""
    return tuple(dict.fromkeys((*asked.interest.services, *(asked.held_levels or ()))))
