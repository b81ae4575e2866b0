"""Decide which requests are admitted while responses are late: those of the highest weight first."""

from __future__ import annotations

import random

from loadbalancer import interface
from loadbalancer.policy.latency_estimates import SMOOTHING_REQUESTS, LatencyEstimates
from loadbalancer.policy.requests import Request

QUOTA_BURST_MS = 2_000.0
"""A tenant may use the quota of this much time at once."""


class Admission:
    """Sheds load by priority weight: admits a fraction of the offered work, the highest weight first."""

    def __init__(self, latencies: LatencyEstimates, rng: random.Random) -> None:
        self._latencies = latencies
        self._random = rng
        self._offered_ms: dict[float, float] = {}  # smoothed work, by priority weight

    def admits(self, request: Request, admitted_fraction: float) -> bool:
        """Return whether a request is admitted, by its effective priority weight."""
        weight = request.priority_weight
        offered = {known: work * (1 - 1 / SMOOTHING_REQUESTS) for known, work in self._offered_ms.items()}
        offered[weight] = offered.get(weight, 0.0) + self._latencies.smoothed_ms[request.request_class.name]
        self._offered_ms = offered
        above = sum(work for known, work in offered.items() if known > weight)
        available = admitted_fraction * sum(offered.values()) - above
        return self._random.random() * offered[weight] <= available


class TenantQuotas:
    """This balancer's part of each tenant's quota, as a token bucket that holds two seconds of it."""

    def __init__(self, settings: interface.Settings) -> None:
        self._over_quota_weight_factor = settings.over_quota_weight_factor
        self._rates = {t.name: t.quota_per_s / settings.balancer_count / 1000 for t in settings.tenants}
        self._buckets: dict[str, tuple[float, float]] = {}  # by tenant: tokens, and when they were counted

    def effective_weight(
        self, event: interface.RequestArrived, request_class: interface.RequestClass, now: float
    ) -> float:
        """Charge a request to its tenant, and return its priority weight: reduced if over quota."""
        factor = self._over_quota_weight_factor if self.charge(event, now) else 1.0
        return request_class.priority_weight * factor

    def charge(self, event: interface.RequestArrived, now: float) -> bool:
        """Charge a request to its tenant, and return whether that is over its quota.

        A client's retry is not charged: it is the same request, which was charged before.
        """
        tenant = event.tenant or ""
        rate = self._rates.get(tenant)
        if rate is None:
            return False
        tokens, counted_at_ms = self._buckets.get(tenant, (QUOTA_BURST_MS * rate, now))
        tokens = min(QUOTA_BURST_MS * rate, tokens + (now - counted_at_ms) * rate)
        is_over = tokens < 1
        if not is_over and not event.is_retry:
            self._buckets[tenant] = (tokens - 1, now)
        else:
            self._buckets[tenant] = (tokens, now)
        return is_over
