"""Decide where and until when another attempt of a request cannot execute it twice."""

from __future__ import annotations

import math
from collections.abc import Iterable

from loadbalancer.interface import DeduplicationScope, Idempotency, Settings
from loadbalancer.policy.requests import Attempt, Request
from loadbalancer.policy.servers import Server


def can_retry_anywhere(request: Request) -> bool:
    """Return whether any server may get the next attempt: no earlier one ran, or the class is idempotent."""
    return request.request_class.idempotency is Idempotency.IDEMPOTENT or not request.may_have_run()


def deduplicated_until_ms(request: Request, settings: Settings) -> float:
    """Return until when servers drop a repeat of what may have run; infinite if any server may get it."""
    if can_retry_anywhere(request):
        return math.inf
    first = _first_that_may_have_run(request)
    return first.sent_at_ms + request.request_class.deduplication_window_ms - settings.tick_ms


def deduplicating_servers(
    request: Request, ready: Iterable[Server], settings: Settings, now: float
) -> list[Server]:
    """Return the ready servers that drop a repeat of what may have run.

    Empty for a class that must not run twice, and when the deduplication window is over.
    """
    request_class = request.request_class
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return []
    if now >= deduplicated_until_ms(request, settings):
        return []
    first = _first_that_may_have_run(request)
    # A server that has restarted since may have lost its record of the idempotency key.
    candidates = [s for s in ready if s.started_at_ms <= first.sent_at_ms]
    match request_class.deduplication_scope:
        case DeduplicationScope.ALL:
            return candidates
        case DeduplicationScope.ZONE:
            return [s for s in candidates if s.endpoint.zone == first.server.endpoint.zone]
        case DeduplicationScope.CELL:
            return [s for s in candidates if s.endpoint.cell == first.server.endpoint.cell]


def _first_that_may_have_run(request: Request) -> Attempt:
    return next(a for a in request.attempts if a.may_have_run)
