"""Decide when a hedged request is sent: a second attempt while the first is still in flight."""

from __future__ import annotations

from loadbalancer.interface import Idempotency
from loadbalancer.policy.requests import Request

MAX_HEDGE_DELAY_LATENCIES = 4.0
"""A hedged request is sent after at most this many usual latencies."""
MIN_HEDGE_DELAY_LATENCIES = 2.5
"""None is sent if it would be due before this many usual latencies: a usual response is awaited."""


def hedge_delay_ms(request: Request, latency_ms: float, timeout_ms: float) -> float:
    """Return after how many milliseconds a first attempt is hedged; 0 for never.

    A hedged request guards against silent and slow servers and dropped connections, whatever the cause. It
    adds to congestion, so a usual response is awaited first, and none is sent too late to be of use.
    """
    if request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return 0.0
    if not request.is_complete or request.attempts:
        return 0.0
    usual_ms = request.work_factor * latency_ms
    delay_ms = min(MAX_HEDGE_DELAY_LATENCIES * usual_ms, timeout_ms - usual_ms)
    return delay_ms if delay_ms >= MIN_HEDGE_DELAY_LATENCIES * usual_ms else 0.0
