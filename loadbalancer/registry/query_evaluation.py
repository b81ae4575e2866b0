"""Answers to list queries, evaluated and encoded once for all watchers with the same query.

evaluator = QueryEvaluator(catalog, store)
body = await evaluator.answer(query)   # a full snapshot, or a delta as soon as something has changed
evaluator.notify_watchers()            # after changes were stored; rate-limited
"""

from __future__ import annotations

import asyncio
from collections.abc import Hashable
from typing import Any, NamedTuple

import msgspec

from loadbalancer.registry.admission_queue import (
    CALL_COST_S,
    ENTRY_COST_S,
    AdmissionQueue,
    ScheduledRetry,
)
from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.clock import unix_ms
from loadbalancer.registry.entries import Entry
from loadbalancer.registry.interest import SubsetView, complete_levels, encode_levels
from loadbalancer.registry.interest_changes import changes_for
from loadbalancer.registry.list_query import NO_REVISION, ListQuery
from loadbalancer.registry.rate_limiter import WakeRateLimiter
from loadbalancer.registry.store import CatalogStore
from loadbalancer.registry.subset_cache import SubsetCache
from loadbalancer.registry.watcher_index import AffectedWatchers, WatcherIndex

MAX_CACHED_ANSWERS = 64  # shared by watchers


class AnswerKey(NamedTuple):
    """Everything that an answer depends on: watchers with equal keys share one."""

    services: tuple[str, ...]
    """The requested ones, which may be fewer than those held: a full snapshot drops none that is held."""
    is_single_tier: bool
    has_known_levels: bool
    """Whether the watcher reports what it holds; otherwise it gets a full snapshot."""
    previous: Hashable
    view: Hashable
    after_revision: int
    revision: int


class QueryEvaluator:
    """Answers the list queries of one instance."""

    def __init__(self, catalog: Catalog, store: CatalogStore) -> None:
        """`store` records jumps of the revision, which a watcher from another instance may cause."""
        self._catalog = catalog
        self._store = store
        self._subsets = SubsetCache(catalog)
        self.watcher_index = WatcherIndex(self._subsets)
        self._wake_timer: asyncio.TimerHandle | None = None
        self._notified_revision = catalog.revision  # as of the last wake
        self.wake_rate_limiter = WakeRateLimiter()
        self.admission_queue = AdmissionQueue()
        self._answers: dict[AnswerKey, bytes | None] = {}
        self.serialization_count = 0
        self.answer_count = 0
        self.waiting_count = 0

    def has_history_for(self, query: ListQuery) -> bool:
        """Return whether the history since the revision that a watcher has seen is complete here."""
        return self._catalog.has_history_since(query.after_revision, _services_of(query))

    def schedule_retry(self, query: ListQuery) -> ScheduledRetry | None:
        """Return when a call above the admitted rate is to be retried; None for one that is admitted.

        Only watchers that return after a failed call and full snapshots by interest are limited.
        """
        if query.is_single_tier or (query.after_revision >= 0 and not query.waited_ms):
            return None
        size = 0
        if query.after_revision < 0:
            size = self._subsets.estimate_size(self._views(query, is_snapshot=True)[1])
        cost_s = CALL_COST_S + ENTRY_COST_S * size
        now = asyncio.get_running_loop().time()
        return self.admission_queue.schedule_retry(now, cost_s, query.waited_ms / 1_000, query.ticket)

    async def answer(self, query: ListQuery) -> bytes:
        """Return a full snapshot, or a delta as soon as something has changed."""
        self.waiting_count += 1
        try:
            body = await self._wait_for_answer(query)
        finally:
            self.waiting_count -= 1
        self.answer_count += 1
        return body

    async def _wait_for_answer(self, query: ListQuery) -> bytes:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + query.wait_ms / 1_000
        while True:
            remaining_s = deadline - loop.time()
            body, view = self.evaluate(query, may_wait=remaining_s > 0)
            if body is not None:
                return body
            with self.watcher_index.subscribe(view, query.interest.subset) as woken:
                await asyncio.wait((woken,), timeout=remaining_s)

    def evaluate(self, query: ListQuery, *, may_wait: bool) -> tuple[bytes | None, SubsetView]:
        """Return the current answer and the view held with it; no body if it may wait for a change."""
        previous, view = self._views(query, is_snapshot=False)
        waits = may_wait and previous.key == view.key and self._is_up_to_date(query)
        body = None if waits else self._cached_changes(query, previous, view)
        if body is None and not may_wait:
            body = self._encode(query, query.after_revision, view, [])
        return body, view

    def _views(self, query: ListQuery, *, is_snapshot: bool) -> tuple[SubsetView, SubsetView]:
        """Return what a watcher holds at its revision, and what it is to hold from now on.

        A plain tuple, like that of `evaluate`, as both are made for each call and each wake.
        """
        interest = query.interest
        known_levels = complete_levels(interest.services) if query.is_single_tier else query.known_levels
        levels = self._subsets.choose_levels(interest, known_levels, is_snapshot=is_snapshot)
        view = SubsetView(levels, interest.position)
        previous = view if known_levels is None else SubsetView(known_levels, interest.position)
        return previous, view

    def _is_up_to_date(self, query: ListQuery) -> bool:
        """Return whether a watcher has seen all that was announced at the last wake.

        Later changes are announced at the next one: otherwise each would cause a call by each watch.
        """
        is_current = self._notified_revision <= query.after_revision <= self._catalog.revision
        return is_current and query.has_known_levels and self.has_history_for(query)

    def _cached_changes(self, query: ListQuery, previous: SubsetView, view: SubsetView) -> bytes | None:
        """Return the answer that watchers with an equal key share; None if nothing has changed."""
        key = self._answer_key(query, previous, view, query.after_revision)
        if query.after_revision >= 0 and key in self._answers:
            return self._answers[key]
        body = self._encode_changes(query, previous, view)
        while len(self._answers) >= MAX_CACHED_ANSWERS:
            del self._answers[next(iter(self._answers))]
        self._answers[key] = body
        return body

    def _answer_key(self, query: ListQuery, previous: SubsetView, view: SubsetView, after: int) -> AnswerKey:
        return AnswerKey(
            query.interest.services,
            query.is_single_tier,
            # A snapshot is the same whether or not a watcher reports what it holds.
            after >= 0 and query.has_known_levels,
            previous.key,
            view.key,
            after,
            self._catalog.revision,
        )

    def _encode_changes(self, query: ListQuery, previous: SubsetView, view: SubsetView) -> bytes | None:
        if query.after_revision < 0 or not query.has_known_levels or not self._can_resume(query):
            return self._encode_snapshot(query)
        changes = changes_for(self._catalog, previous, view, query.after_revision)
        if not changes and previous.key == view.key:
            return None
        return self._encode(query, query.after_revision, view, changes)

    def _can_resume(self, query: ListQuery) -> bool:
        start = self._catalog.revisions.start
        can_resume = self._catalog.resume_watch(_services_of(query), query.after_revision, unix_ms())
        if self._catalog.revisions.start != start:
            self._store.record_revision_jump(self._catalog.revisions.start)
        return can_resume

    def _encode_snapshot(self, query: ListQuery) -> bytes:
        """Return the full snapshot, encoded once for all watchers with an equal key."""
        _, view = self._views(query, is_snapshot=True)
        key = self._answer_key(query, view, view, NO_REVISION)
        body = self._answers.get(key)
        if body is None:
            body = self._encode(query, NO_REVISION, view, self._subsets.entries_in(view))
            self._answers[key] = body
        return body

    def _encode(self, query: ListQuery, after: int, view: SubsetView, entries: list[Entry]) -> bytes:
        self.serialization_count += 1
        answer: dict[str, Any] = {
            "index": self._catalog.revision,
            "snapshot": after < 0,
            "endpoints": [entry.to_endpoint() for entry in entries],
        }
        if not query.is_single_tier:
            for entry, endpoint in zip(entries, answer["endpoints"], strict=True):
                endpoint["service"] = entry.registration.tier
            answer |= {"services": query.interest.services, "held": encode_levels(view.levels)}
        return msgspec.json.encode(answer)

    # ---- wakes ----------------------------------------------------------------------------------

    def notify_watchers(self) -> None:
        """Wake watchers whose interest includes a change, now or as soon as the rate limit allows."""
        if self._wake_timer is not None:
            return
        loop = asyncio.get_running_loop()
        affected = self._find_affected()
        next_wake_s = self.wake_rate_limiter.next_wake_s(len(affected.futures))
        if next_wake_s > loop.time():
            self._wake_timer = loop.call_at(next_wake_s, self._notify_delayed)
        else:
            self._notify(affected)

    def _notify_delayed(self) -> None:
        self._wake_timer = None
        self._notify(self._find_affected())

    def _find_affected(self) -> AffectedWatchers:
        since = self._notified_revision
        return self.watcher_index.find_affected(self._catalog.changed_since(since), since)

    def _notify(self, affected: AffectedWatchers) -> None:
        self._notified_revision = self._catalog.revision
        woken_count = self.watcher_index.wake(affected)
        self.wake_rate_limiter.record_wake(asyncio.get_running_loop().time(), woken_count)

    def close(self) -> None:
        """Cancel a delayed wake."""
        if self._wake_timer is not None:
            self._wake_timer.cancel()


def _services_of(query: ListQuery) -> tuple[str, ...]:
    """Return all services whose changes concern a watcher: those requested and those reported held."""
    return tuple(dict.fromkeys((*query.interest.services, *(query.known_levels or ()))))
