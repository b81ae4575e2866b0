"""Estimate the capacity of each server from the calls that it served and their time in flight."""

from __future__ import annotations

import math
from collections.abc import Iterable

from loadbalancer.policy.servers import EVIDENCE_DECAY_MS, Server

PRIOR_WEIGHT_CALLS = 2.0
"""Weight of the median as a prior, in calls, so that one slow response does not ruin an estimate."""
MIN_MEDIAN_CALLS = 0.5
"""Decayed number of served calls above which a server's estimate counts in the median."""
UPDATE_INTERVAL_MS = 20.0
"""Minimum interval between updates of a server's evidence by estimates; only saves CPU time."""
REFRESH_INTERVAL_MS = 500.0
"""Interval at which the median and the peak rates are recomputed; only saves CPU time."""
PEAK_RATE_DECAY_MS = 60_000.0
"""Time constant (1/e) of peak rates: longer than a release, in which many servers are warming up."""


class CapacityEstimates:
    """Each server's capacity estimate, the median that unknown servers start from, and zones' peak rates."""

    def __init__(self) -> None:
        self.median_capacity = 0.0
        """Median estimate per unit of registered capacity; 0 while nothing is known."""
        self.refreshed_at_ms = -math.inf
        self.peak_rates: dict[str, float] = {}
        """By zone: highest rate served to this balancer per unit of registered capacity, in calls per ms."""
        self.recent_requests_at_peak: dict[str, float] = {}
        """By zone: `recent_requests` at that peak."""

    def is_refresh_due(self, now: float) -> bool:
        """Return whether `refresh` is due."""
        return now - self.refreshed_at_ms >= REFRESH_INTERVAL_MS

    def current_rate(self, zone: str, recent_requests: float) -> float:
        """Return a zone's peak rate, scaled down if this balancer gets fewer requests than at that peak.

        The rest of the requests then goes to other balancers.
        """
        at_peak = self.recent_requests_at_peak.get(zone) or recent_requests or 1.0
        return self.peak_rates.get(zone, 0.0) * min(recent_requests / at_peak, 1.0)

    def refresh(
        self, ready: Iterable[Server], subset: list[Server], now: float, recent_requests: float
    ) -> None:
        """Recompute the median of the known estimates and the peak rates of the zones.

        `ready` and `subset` may be samples of the ready servers and of this balancer's subset of them.
        """
        decay = math.exp((self.refreshed_at_ms - now) / PEAK_RATE_DECAY_MS)
        self.refreshed_at_ms = now
        known = sorted(
            s.served_calls / (s.in_flight_ms * s.registered_capacity)
            for s in ready
            if s.served_calls > MIN_MEDIAN_CALLS and s.in_flight_ms > 0
        )
        if known:
            self.median_capacity = known[len(known) // 2]
        servers_by_zone: dict[str, list[Server]] = {}
        for server in subset:
            servers_by_zone.setdefault(server.endpoint.zone, []).append(server)
        for zone, in_zone in servers_by_zone.items():
            # All servers of a lost zone return warming up, and their callers may be new or in another zone.
            rate = max(_calls_per_unit(in_zone), _calls_per_unit(subset)) / EVIDENCE_DECAY_MS
            past_rate = self.peak_rates.get(zone, 0.0) * decay
            past_requests = self.recent_requests_at_peak.get(zone, 0.0) * decay
            peak = max((rate, recent_requests), (past_rate, past_requests))
            self.peak_rates[zone], self.recent_requests_at_peak[zone] = peak

    def estimate(self, server: Server, warm_up_fraction: float, now: float) -> float:
        """Return a server's capacity: served calls over their time in flight, shrunk towards the median.

        A server that is warming up has at most that fraction of the median.
        """
        if now - server.updated_at_ms >= UPDATE_INTERVAL_MS:
            server.advance_to(now)
        # One of hundreds of servers is called too seldom to learn its capacity: use the registered one.
        median = (self.median_capacity or 1.0) * server.registered_capacity
        estimate = (server.served_calls + PRIOR_WEIGHT_CALLS) / (
            server.in_flight_ms + PRIOR_WEIGHT_CALLS / median
        )
        return min(estimate, median * warm_up_fraction) if warm_up_fraction < 1 else estimate


def _calls_per_unit(servers: list[Server]) -> float:
    return sum(s.served_calls for s in servers) / sum(s.registered_capacity for s in servers)
