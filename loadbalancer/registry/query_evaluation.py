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
from loadbalancer.registry.admission_queue import CALL_S, ENTRY_S, AdmissionQueue, ScheduledRetry
from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.entries import Entry
from loadbalancer.registry.interests import SubsetCache, SubsetView
from loadbalancer.registry.list_query import WHOLE, ListQuery
from loadbalancer.registry.rate_limiter import WakeRateLimiter
from loadbalancer.registry.store import CatalogStore
from loadbalancer.registry.watcher_index import AffectedWatchers, WatcherIndex

ANSWERS_KEPT = 64  # that watchers share


class QueryEvaluator:
    """The watches of one instance."""

    def __init__(self, catalog: Catalog, store: CatalogStore) -> None:
        """`store` keeps the beginning of a life that a version from elsewhere may bring about."""
        self._catalog, self._store = catalog, store
        self._parts = SubsetCache(catalog)
        self.waits = WatcherIndex(self._parts)
        self._waking: asyncio.TimerHandle | None = None
        self._told_up_to = catalog.index  # when watches were woken last
        self.pace, self.gate = WakeRateLimiter(), AdmissionQueue()
        self._answers: dict[Hashable, bytes | None] = {}
        self.serialized = self.told = self.watching = 0

    def knows(self, asked: ListQuery) -> bool:
        """Whether all since the version that a watcher has seen is remembered here."""
        return self._catalog.knows(asked.after, _services(asked))

    def turn(self, asked: ListQuery) -> ScheduledRetry | None:
        """When a call is to come again that would be one too many now; None for one that may come in.

        Asked of those who return after a failed call and of those who ask for the whole, by interests.
        """
        if asked.is_old or (asked.after >= 0 and not asked.waited_ms):
            return None
        size = self._parts.size(self._views(asked, whole=True)[1]) if asked.after < 0 else 0
        cost_s = CALL_S + ENTRY_S * size
        now = asyncio.get_running_loop().time()
        return self.gate.ask(now, cost_s, asked.waited_ms / 1_000, asked.ticket)

    async def answer(self, asked: ListQuery) -> bytes:
        """The whole list, or what changed since, as soon as something has."""
        self.watching += 1
        try:
            body = await self._answer(asked)
        finally:
            self.watching -= 1
        self.told += 1
        return body

    async def _answer(self, asked: ListQuery) -> bytes:
        loop = asyncio.get_running_loop()
        until = loop.time() + asked.wait_ms / 1_000
        while True:
            left = until - loop.time()
            data, view = self.find(asked, may_wait=left > 0)
            if data is not None:
                return data
            with self.waits.waiting(view, asked.interest.shape) as woken:
                await asyncio.wait((woken,), timeout=left)

    def find(self, asked: ListQuery, may_wait: bool) -> tuple[bytes | None, SubsetView]:
        """The answer as it is now, and what is held with it; None for one that may wait and has no news."""
        held, view = self._views(asked, whole=False)
        waits = may_wait and held.key == view.key and self._is_told(asked)
        data = None if waits else self._news_since(asked, held, view)
        if data is None and not may_wait:
            data = self._write(asked, asked.after, view, [])
        return data, view

    def _views(self, asked: ListQuery, whole: bool) -> tuple[SubsetView, SubsetView]:
        """What a watcher holds at its version, and what it is to hold from now on."""
        interest = asked.interest
        held = interests.all_of(interest.services) if asked.is_old else asked.held
        view = SubsetView(self._parts.levels(interest, held, whole), interest.place)
        return (view if held is None else SubsetView(held, interest.place)), view

    def _is_told(self, asked: ListQuery) -> bool:
        """Whether who has seen a version knows all that was told at the last wake.

        What came since is told at the next one: else each watch would ask again for each change.
        """
        goes_on = self._told_up_to <= asked.after <= self._catalog.index
        return goes_on and (asked.is_old or asked.held is not None) and self.knows(asked)

    def _news_since(self, asked: ListQuery, held: SubsetView, view: SubsetView) -> bytes | None:
        """What all get who have seen a version of the same: None if nothing has changed."""
        key = asked.is_old, held.key, view.key, asked.after, self._catalog.index
        if asked.after >= 0 and key in self._answers:
            return self._answers[key]
        data = self._find_news(asked, held, view)
        while len(self._answers) >= ANSWERS_KEPT:
            del self._answers[next(iter(self._answers))]
        self._answers[key] = data
        return data

    def _find_news(self, asked: ListQuery, held: SubsetView, view: SubsetView) -> bytes | None:
        knows_what = asked.is_old or asked.held is not None
        if asked.after < 0 or not knows_what or not self._goes_on(asked):
            return self._whole(asked)
        changed = interests.news(self._catalog, held, view, asked.after)
        if not changed and held.key == view.key:
            return None
        return self._write(asked, asked.after, view, changed)

    def _goes_on(self, asked: ListQuery) -> bool:
        first, now = self._catalog.first, time.time() * 1_000
        goes_on = self._catalog.goes_on(_services(asked), asked.after, now)
        if self._catalog.first != first:
            self._store.begin_again(self._catalog.first)
        return goes_on

    def _whole(self, asked: ListQuery) -> bytes:
        """All of it, once for all who hold the same."""
        _, view = self._views(asked, whole=True)
        key = asked.is_old, view.key, WHOLE, self._catalog.index
        data = self._answers.get(key)
        if data is None:
            data = self._answers[key] = self._write(asked, WHOLE, view, self._parts.whole(view))
        return data

    def _write(self, asked: ListQuery, after: int, view: SubsetView, entries: list[Entry]) -> bytes:
        self.serialized += 1
        told: dict[str, Any] = {
            "index": self._catalog.index,
            "snapshot": after < 0,
            "endpoints": [entry.public() for entry in entries],
        }
        if not asked.is_old:
            for entry, public in zip(entries, told["endpoints"], strict=True):
                public["service"] = entry.told.tier
            told |= {"services": asked.interest.services, "held": interests.encode(view.levels)}
        return msgspec.json.encode(told)

    # ---- wakes ----------------------------------------------------------------------------------

    def wake(self) -> None:
        """Wake those whose interest holds what has changed, at their pace."""
        if self._waking is not None:
            return
        loop, found = asyncio.get_running_loop(), self._find_woken()
        due = self.pace.due(len(found.waiting))
        if due > loop.time():
            self._waking = loop.call_at(due, self._wake_late)
        else:
            self._tell(found)

    def _wake_late(self) -> None:
        self._waking = None
        self._tell(self._find_woken())

    def _find_woken(self) -> AffectedWatchers:
        since = self._told_up_to
        return self.waits.find(self._catalog.changed_since(since), since)

    def _tell(self, found: AffectedWatchers) -> None:
        self._told_up_to = self._catalog.index
        self.pace.woke(asyncio.get_running_loop().time(), self.waits.tell(found))

    def close(self) -> None:
        """Wake nobody from now on."""
        if self._waking is not None:
            self._waking.cancel()


def _services(asked: ListQuery) -> tuple[str, ...]:
    """All of which a watcher must have heard: what it wants and what it says it holds."""
    return tuple(dict.fromkeys((*asked.interest.services, *(asked.held or ()))))
