"""Limit the rate of calls to a server that has just started and is warming up."""

from __future__ import annotations

import math
import random

from loadbalancer.interface import Settings
from loadbalancer.policy.servers import Server

BUDGET_SAFETY_FACTOR = 0.5
"""Fraction of a warming server's budget that is used, as a margin for other balancers and heavy calls."""


class SlowStart:
    """Tracks which servers are warming up and whether they can accept another call.

    The platform sets the duration, the initial fraction and the factor by which a warming server may be
    overloaded within a window; see the `slow_start_*` fields of `Settings`.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._last_ends_at_ms = 0.0
        self._recent_requests = 0.0
        self._counted_at_ms = 0.0

    def set_last_start(self, started_at_ms: float) -> None:
        """Set the time of the latest start of a ready server."""
        self._last_ends_at_ms = started_at_ms + self._settings.slow_start_ms

    def add_requests(self, now: float, count: float) -> float:
        """Count received requests, and return the decayed number of recent ones."""
        decay = math.exp(min(self._counted_at_ms - now, 0.0) / self._settings.slow_start_window_ms)
        self._recent_requests = self._recent_requests * decay + count
        self._counted_at_ms = now
        return self._recent_requests

    def recent_requests(self, now: float) -> float:
        """Return the number of requests received, decayed by 1/e over the slow-start window."""
        return self.add_requests(now, 0.0)

    def reset_recent_requests(self, now: float) -> None:
        """Reset the count of requests: another process of this balancer counts them from now on."""
        self._recent_requests = 0.0
        self._counted_at_ms = now

    def is_any_warming_up(self, now: float) -> bool:
        """Return whether any server may be warming up."""
        return now < self._last_ends_at_ms

    def warm_up_fraction(self, server: Server, now: float) -> float:
        """Return the minimum fraction of its capacity that a server has at its age; 1 if warmed up."""
        duration_ms = self._settings.slow_start_ms
        age_ms = now - server.started_at_ms
        if now >= self._last_ends_at_ms or server.started_at_ms <= 0 or age_ms >= duration_ms:
            return 1.0
        if not duration_ms:
            return 1.0
        initial = self._settings.slow_start_initial_fraction
        return initial + (1 - initial) * max(age_ms, 0.0) / duration_ms

    def record_send(self, server: Server, now: float) -> None:
        """Count an attempt against the budget of a server that is warming up."""
        if self.warm_up_fraction(server, now) < 1:
            server.slow_start_sends.append(now)

    def can_accept(self, server: Server, peak_rate: float, latency_ms: float, now: float) -> bool:
        """Return whether a server can accept another call in the current window.

        `peak_rate` is the peak rate of this balancer per unit of capacity in the server's zone, scaled to the
        requests that it still receives, in calls per millisecond; `latency_ms` is that of the slowest class.

        Each balancer may send its part of overload factor x warm-up fraction x that rate; the parts add up to
        the load of a warmed-up server wherever requests go. If many balancers have a fraction of a call each,
        it is rounded randomly, once per window: if all rounded up, they would overload the server; if all
        rounded down, they would leave it unused. A balancer that knows no rate yet sends its part of one call
        at a time.
        """
        warm_up_fraction = self.warm_up_fraction(server, now)
        if warm_up_fraction >= 1:
            return True
        window_ms = self._settings.slow_start_window_ms
        while server.slow_start_sends and server.slow_start_sends[0] < now - window_ms:
            server.slow_start_sends.popleft()
        if now >= server.rounding_offset_until_ms:
            server.rounding_offset = self._rng.random()
            server.rounding_offset_until_ms = now + window_ms
        server_peak_rate = peak_rate * server.registered_capacity
        min_rate = 1 / (latency_ms * self._settings.balancer_count)
        limit_ms = self._settings.slow_start_overload_factor * warm_up_fraction * window_ms
        budget = BUDGET_SAFETY_FACTOR * limit_ms * max(server_peak_rate, min_rate) + server.rounding_offset
        return len(server.slow_start_sends) + 1 <= min(budget, max(limit_ms * server_peak_rate, 1.0))
