"""Defects that scale runs must flag by a figure over its allowance."""

from __future__ import annotations

from dataclasses import replace

from loadbalancer import interface
from loadbalancer.endpoint_watch import ListRequest, Watch
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.registry.query_evaluation import QueryEvaluator

POLL_WAIT_MS = 100.0  # the longest wait of a poll
RETRY_INTERVAL_S = 0.05  # between calls of a caller that never backs off


def polls() -> None:
    """Poll repeatedly, instead of waiting for changes with a watch."""
    real = Watch.next_request

    def _next_request(self: Watch, now: float = 0.0) -> ListRequest:
        request = real(self, now)
        return replace(request, wait_ms=min(request.wait_ms, POLL_WAIT_MS))

    Watch.next_request = _next_request  # type: ignore[method-assign]


def quadratic_fan_out() -> None:
    """Send each watch a full snapshot for each change."""
    QueryEvaluator._can_resume = lambda self, query: False  # type: ignore[method-assign]


def never_backs_off() -> None:
    """Repeat a call that has failed at once, without backoff."""
    real_failed = EndpointSet.handle_list_failure
    real_watch = Watch.record_failure

    def _failed(self: EndpointSet, now: float, retry_within_ms: float) -> list[interface.Action]:
        actions = real_failed(self, now, retry_within_ms)
        retry_at_ms = now + RETRY_INTERVAL_S * 1_000
        return [replace(a, at_ms=retry_at_ms) if isinstance(a, interface.SetTimer) else a for a in actions]

    def _record_failure(
        self: Watch, duration_s: float, response_timed_out: bool, rejected: bool = False
    ) -> float | None:
        pause_s = real_watch(self, duration_s, response_timed_out, rejected)
        return None if pause_s is None else RETRY_INTERVAL_S

    EndpointSet.handle_list_failure = _failed  # type: ignore[method-assign]
    Watch.record_failure = _record_failure  # type: ignore[method-assign]
