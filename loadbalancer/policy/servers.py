"""What is known of each server, and the capacity learned from it: c of the design."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from loadbalancer import interface

MEMORY_MS = 6_000.0  # evidence fades by 1/e over this; long enough for a few calls, short enough to recover
PRIOR_CALLS = 2.0  # calls' worth of belief in the median, so that one slow answer does not ruin an estimate
STEP_MS = 20.0  # estimates and the level are brought up to date in steps of this; it only saves work
USUAL_MS = 60_000.0  # the best rate fades over this: longer than a release, in which many servers are cold
MEDIAN_STEP_MS = 500.0  # the median is taken anew after this; it only saves work


class Server:
    """One server: its list entry, our calls there and the evidence on its capacity."""

    __slots__ = (
        *"busy chance chance_until doubted in_flight listed member rank".split(),
        *"ready seen sends served size started used".split(),
    )

    def __init__(self, member: interface.Endpoint, now: float, rank: float) -> None:
        self.member, self.rank = member, rank
        self.listed, self.ready, self.size, self.used = False, False, 1.0, math.inf
        self.started = member.started_at_ms  # or when operators put it back, if that was later
        self.doubted = 0  # if a list that is not believed has left it out: what it takes to prove it dead
        self.in_flight = 0  # m of the design
        self.sends: deque[float] = deque()
        self.chance, self.chance_until = 0.0, -math.inf  # of one call more where a cold budget is a fraction
        self.forget(now)

    def forget(self, now: float) -> None:
        """Drop the evidence: the process behind the name is a new one."""
        self.served, self.busy, self.seen = 0.0, 0.0, now

    def catch_up(self, now: float) -> None:
        """Bring the evidence to `now`: calls in flight add time, and all of it fades."""
        fade = math.exp((self.seen - now) / MEMORY_MS)
        self.served *= fade
        self.busy = self.busy * fade + self.in_flight * (now - self.seen)
        self.seen = now


class CapacityEstimates:
    """The median that unknown servers start from, and the best rate of each zone."""

    def __init__(self) -> None:
        self.median, self.taken = 0.0, -math.inf
        self.usual: dict[str, float] = {}  # in each zone, calls a ms by unit of size, at its best
        self.asked_then: dict[str, float] = {}  # the requests that we got of late as a zone was at its best

    def is_due(self, now: float) -> bool:
        """Whether it is time to take the median anew."""
        return now - self.taken >= MEDIAN_STEP_MS

    def present(self, zone: str, asked: float) -> float:
        """A zone's best rate for us, less as we get fewer requests: other balancers have them now."""
        return self.usual.get(zone, 0.0) * min(asked / (self.asked_then.get(zone) or asked or 1.0), 1.0)

    def refresh(self, ready: Iterable[Server], near: list[Server], now: float, asked: float) -> None:
        """Take the median of the known estimates for each unit of registered size, and the zones' rates.

        Both may be samples of what is ready and of what is kept to.
        """
        fade = math.exp((self.taken - now) / USUAL_MS)
        self.taken = now
        known = sorted(s.served / (s.busy * s.size) for s in ready if s.served > 0.5 and s.busy > 0)
        self.median = known[len(known) // 2] if known else self.median
        zones: dict[str, list[Server]] = {}
        for server in near:
            zones.setdefault(server.member.zone, []).append(server)
        for zone, own in zones.items():
            # A lost zone comes back cold, and whoever called it may be new, or in the other zone.
            parts = [sum(s.served for s in part) / sum(s.size for s in part) for part in (own, near)]
            rate = max(parts) / MEMORY_MS
            past = self.usual.get(zone, 0.0) * fade, self.asked_then.get(zone, 0.0) * fade
            self.usual[zone], self.asked_then[zone] = max((rate, asked), past)

    def estimate(self, server: Server, warmth: float, now: float) -> float:
        """Served calls over our time in flight there, leaning on the median; a cold server has no more."""
        if now - server.seen >= STEP_MS:
            server.catch_up(now)
        median = (self.median or 1.0) * server.size  # hundreds are called too seldom to learn their sizes
        estimate = (server.served + PRIOR_CALLS) / (server.busy + PRIOR_CALLS / median)
        return min(estimate, median * warmth) if warmth < 1 else estimate
