"""What is known of each server, and the capacity learned from it: c of the design."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from loadbalancer import interface

EVIDENCE_DECAY_MS = (
    6_000.0  # evidence fades by 1/e over this; long enough for a few calls, short enough to recover
)
PRIOR_WEIGHT_CALLS = (
    2.0  # calls' worth of belief in the median, so that one slow answer does not ruin an estimate
)
ESTIMATE_INTERVAL_MS = (
    20.0  # estimates and the level are brought up to date in steps of this; it only saves work
)
PEAK_RATE_DECAY_MS = (
    60_000.0  # the best rate fades over this: longer than a release, in which many servers are cold
)
MEDIAN_INTERVAL_MS = 500.0  # the median is taken anew after this; it only saves work


class Server:
    """One server: its list entry, our calls there and the evidence on its capacity."""

    __slots__ = (
        "endpoint",
        "idle_since_ms",
        "in_flight",
        "in_flight_ms",
        "is_listed",
        "is_ready",
        "rank",
        "registered_capacity",
        "remaining_strikes",
        "rounding_chance",
        "rounding_chance_until_ms",
        "served_calls",
        "slow_start_sends",
        "started_at_ms",
        "updated_at_ms",
    )

    def __init__(self, member: interface.Endpoint, now: float, rank: float) -> None:
        self.endpoint, self.rank = member, rank
        self.is_listed, self.is_ready, self.registered_capacity, self.idle_since_ms = (
            False,
            False,
            1.0,
            math.inf,
        )
        self.started_at_ms = member.started_at_ms  # or when operators put it back, if that was later
        self.remaining_strikes = (
            0  # if a list that is not believed has left it out: what it takes to prove it dead
        )
        self.in_flight = 0  # m of the design
        self.slow_start_sends: deque[float] = deque()
        self.rounding_chance, self.rounding_chance_until_ms = (
            0.0,
            -math.inf,
        )  # of one call more where a cold budget is a fraction
        self.reset_evidence(now)

    def reset_evidence(self, now: float) -> None:
        """Drop the evidence: the process behind the name is a new one."""
        self.served_calls, self.in_flight_ms, self.updated_at_ms = 0.0, 0.0, now

    def advance_to(self, now: float) -> None:
        """Bring the evidence to `now`: calls in flight add time, and all of it fades."""
        fade = math.exp((self.updated_at_ms - now) / EVIDENCE_DECAY_MS)
        self.served_calls *= fade
        self.in_flight_ms = self.in_flight_ms * fade + self.in_flight * (now - self.updated_at_ms)
        self.updated_at_ms = now


class CapacityEstimates:
    """The median that unknown servers start from, and the best rate of each zone."""

    def __init__(self) -> None:
        self.median_capacity, self.refreshed_at_ms = 0.0, -math.inf
        self.peak_rates: dict[str, float] = {}  # in each zone, calls a ms by unit of size, at its best
        self.recent_requests_at_peak: dict[
            str, float
        ] = {}  # the requests that we got of late as a zone was at its best

    def is_refresh_due(self, now: float) -> bool:
        """Whether it is time to take the median anew."""
        return now - self.refreshed_at_ms >= MEDIAN_INTERVAL_MS

    def current_rate(self, zone: str, asked: float) -> float:
        """A zone's best rate for us, less as we get fewer requests: other balancers have them now."""
        return self.peak_rates.get(zone, 0.0) * min(
            asked / (self.recent_requests_at_peak.get(zone) or asked or 1.0), 1.0
        )

    def refresh(self, ready: Iterable[Server], near: list[Server], now: float, asked: float) -> None:
        """Take the median of the known estimates for each unit of registered size, and the zones' rates.

        Both may be samples of what is ready and of what is kept to.
        """
        fade = math.exp((self.refreshed_at_ms - now) / PEAK_RATE_DECAY_MS)
        self.refreshed_at_ms = now
        known = sorted(
            s.served_calls / (s.in_flight_ms * s.registered_capacity)
            for s in ready
            if s.served_calls > 0.5 and s.in_flight_ms > 0
        )
        self.median_capacity = known[len(known) // 2] if known else self.median_capacity
        zones: dict[str, list[Server]] = {}
        for server in near:
            zones.setdefault(server.endpoint.zone, []).append(server)
        for zone, own in zones.items():
            # A lost zone comes back cold, and whoever called it may be new, or in the other zone.
            parts = [
                sum(s.served_calls for s in part) / sum(s.registered_capacity for s in part)
                for part in (own, near)
            ]
            rate = max(parts) / EVIDENCE_DECAY_MS
            past = self.peak_rates.get(zone, 0.0) * fade, self.recent_requests_at_peak.get(zone, 0.0) * fade
            self.peak_rates[zone], self.recent_requests_at_peak[zone] = max((rate, asked), past)

    def estimate(self, server: Server, warmth: float, now: float) -> float:
        """Served calls over our time in flight there, leaning on the median; a cold server has no more."""
        if now - server.updated_at_ms >= ESTIMATE_INTERVAL_MS:
            server.advance_to(now)
        median = (
            self.median_capacity or 1.0
        ) * server.registered_capacity  # hundreds are called too seldom to learn their sizes
        estimate = (server.served_calls + PRIOR_WEIGHT_CALLS) / (
            server.in_flight_ms + PRIOR_WEIGHT_CALLS / median
        )
        return min(estimate, median * warmth) if warmth < 1 else estimate
