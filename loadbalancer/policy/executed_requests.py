"""Decide whether a request may run although its ID has come before.

A client that has left may come again under the same ID, on another connection or at the other process of a
hot restart. If its class must not run twice, and the first request may have run, the second must not.
"""

from __future__ import annotations

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
        self._unreported: list[bytes] = []

    def __len__(self) -> int:
        return len(self._sent_at_ms)

    def may_have_run(self, client_id: bytes, now: float) -> bool:
        """Return whether a request of this ID may have run; `now` in milliseconds."""
        sent_at_ms = self._sent_at_ms.get(_shortened(client_id))
        return sent_at_ms is not None and now - sent_at_ms < KEPT_MS

    def record_sent(self, client_id: bytes, now: float) -> None:
        """Remember an ID from its first attempt on."""
        key = _shortened(client_id)
        self._remember(key, now)
        self._unreported.append(key)
        del self._unreported[:-MAX_REMEMBERED]

    def record_not_run(self, client_id: bytes) -> None:
        """Forget an ID: none of its attempts has run, so that its client may send it again."""
        self._sent_at_ms.pop(_shortened(client_id), None)

    def export(self, now: float) -> list[ExecutedRequest]:
        """Return all IDs, for another process."""
        self._unreported.clear()
        return [ExecutedRequest(key, now - sent_at_ms) for key, sent_at_ms in self._sent_at_ms.items()]

    def take_unreported(self, now: float) -> list[ExecutedRequest]:
        """Return the IDs that were recorded since the last call, or since the last export."""
        keys, self._unreported = self._unreported, []
        return [ExecutedRequest(key, now - self._sent_at_ms[key]) for key in keys if key in self._sent_at_ms]

    def restore(self, requests: Iterable[ExecutedRequest], now: float) -> None:
        """Remember IDs that another process has sent."""
        for request in requests:
            self._remember(_shortened(request.client_id), now - request.age_ms)

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
