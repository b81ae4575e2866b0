"""Decide whether a request may run although its ID has come before.

A client that has left may come again under the same ID, on another connection or at the other process of a
hot restart. If its class must not run twice, and the first request may have run, the second must not.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

KEPT_MS = 60_000.0
"""For how long an ID is remembered: many times the longest wait of a client."""
MAX_REMEMBERED = 4_096
"""IDs at the same time; the oldest is forgotten first."""
MAX_ID_BYTES = 64
"""A longer ID is remembered by its ends and its length."""


class ExecutedRequest(NamedTuple):
    """The ID of a request that may have run, and how long ago it was sent."""

    client_id: bytes
    age_ms: float


class ExecutedRequests:
    """The IDs of requests that must not run twice, and may have run once."""

    def __init__(self) -> None:
        self._sent_at_ms: dict[bytes, float] = {}  # the oldest first

    def __len__(self) -> int:
        return len(self._sent_at_ms)

    def may_have_run(self, client_id: bytes, now: float) -> bool:
        """Return whether a request of this ID may have run; `now` in milliseconds."""
        sent_at_ms = self._sent_at_ms.get(_shortened(client_id))
        return sent_at_ms is not None and now - sent_at_ms < KEPT_MS

    def record_sent(self, client_id: bytes, now: float) -> list[ExecutedRequest]:
        """Remember an ID from its first attempt on; return it, for other processes."""
        key = _shortened(client_id)
        self._remember(key, now)
        return [ExecutedRequest(key, 0.0)]

    def record_not_run(self, client_id: bytes) -> None:
        """Forget an ID: none of its attempts has run, so that its client may send it again."""
        self._sent_at_ms.pop(_shortened(client_id), None)

    def export(self, now: float) -> list[ExecutedRequest]:
        """Return all IDs, for another process."""
        return [ExecutedRequest(key, now - sent_at_ms) for key, sent_at_ms in self._sent_at_ms.items()]

    def restore(self, requests: Iterable[ExecutedRequest], now: float) -> list[ExecutedRequest]:
        """Remember IDs that another process has sent; return those that were not known, or as older ones."""
        added: list[ExecutedRequest] = []
        for request in requests:
            key = _shortened(request.client_id)
            sent_at_ms = now - request.age_ms
            if sent_at_ms > self._sent_at_ms.get(key, -math.inf):
                self._remember(key, sent_at_ms)
                added.append(request)
        return added

    def _remember(self, key: bytes, sent_at_ms: float) -> None:
        self._sent_at_ms.pop(key, None)
        self._sent_at_ms[key] = sent_at_ms
        if len(self._sent_at_ms) > MAX_REMEMBERED:
            del self._sent_at_ms[next(iter(self._sent_at_ms))]


def _shortened(client_id: bytes) -> bytes:
    if len(client_id) <= MAX_ID_BYTES:
        return client_id
    half = MAX_ID_BYTES // 2
    return b"%b%b:%d" % (client_id[:half], client_id[-half:], len(client_id))
