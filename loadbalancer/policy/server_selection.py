"""Select the server of an attempt: from those that may get it and have free capacity."""

from __future__ import annotations

import random
from collections import deque

from loadbalancer.interface import Settings
from loadbalancer.policy.deduplication import can_retry_anywhere, deduplicating_servers
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.policy.estimates import Estimates
from loadbalancer.policy.limits import ConcurrencyLimits
from loadbalancer.policy.requests import Request
from loadbalancer.policy.selection import draw_by_capacity, least_loaded
from loadbalancer.policy.servers import Server
from loadbalancer.policy.weighted_sampling import Sampler
from loadbalancer.policy.zones import ZoneEvacuations

MAX_SCANNED_SERVERS = 64
"""Servers that one selection examines one by one at the most; a larger subset is sampled."""
MAX_SAMPLING_DRAWS = 24
"""Draws from a larger subset until one finds a server that may get the attempt."""
MAX_FREED_SERVERS = 16
"""Servers where a call has just ended that are examined where sampling finds none."""
MEDIAN_SAMPLE_SERVERS = 100
"""Servers of a larger subset that the median capacity is taken from."""


class ServerSelector:
    """Selects servers by estimated capacity and calls in flight, within all rules on who may get what.

    Only ready servers are candidates: those that the endpoint list names as ready and that operators have not
    cordoned, so that a draining server gets no new requests (see `ReadyServers`).
    """

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointSet,
        zones: ZoneEvacuations,
        limits: ConcurrencyLimits,
        estimates: Estimates,
        chance: random.Random,
    ) -> None:
        self._settings = settings
        self._endpoints = endpoints
        self._ready = endpoints.ready
        self._zones = zones
        self._limits = limits
        self._capacities = estimates.capacities
        self._latencies = estimates.latencies
        self._slow_start = estimates.slow_start
        self._random = chance
        self._sampler = Sampler()  # in use for a subset of more than MAX_SCANNED_SERVERS
        self._scan_from = 0
        self._freed: deque[Server] = deque(maxlen=MAX_FREED_SERVERS)
        self.is_taken_over = False
        """Whether another process has taken over, and this one only drains."""

    def select(self, request: Request, now: float) -> Server | None:
        """Return the server for a request's next attempt; None if no server can accept it."""
        ready = self._ready
        if self._capacities.is_refresh_due(now):
            self._refresh_estimates(now)
        if not can_retry_anywhere(request):
            servers = deduplicating_servers(request, ready.by_name.values(), self._settings, now)
            return self._choose(request, servers, now)
        for server in self._endpoints.awaiting_first_call.values():
            # Operators watch for its first call, and while it is warming up it would seldom be drawn.
            is_zone_in_use = self._zones.traffic_fraction(server.endpoint.zone, now) >= 1
            if is_zone_in_use and ready.is_in_subset(server) and self._may_get(request, server, now):
                return server
        if self._settings.tier and not self._zones.reduced_fractions(now):
            # Many balancers call each server, and each sees its own calls alone: few others call ours.
            nearby = [s for s in ready.nearby() if not s.in_flight and self._may_get(request, s, now)]
            if nearby:
                return self._choose(request, nearby, now)
        if ready.subset_size <= MAX_SCANNED_SERVERS:
            return self._choose(request, ready.subset(0, MAX_SCANNED_SERVERS), now)
        return self._sample(request, now)

    def record_call_ended(self, server: Server, now: float) -> None:
        """Take note that a call of ours has ended at a server, whose weight has changed."""
        if self._sampler:
            self._update_weight(server, now)
            self._freed.append(server)

    def handle_endpoints_changed(self, now: float) -> None:
        """Bring the sampler up to date with the subset, also by names that are no longer known."""
        changed = self._ready.take_changed_names()
        if self._ready.subset_size <= MAX_SCANNED_SERVERS:
            self._sampler.clear()
            return
        if not self._sampler:
            for server in self._ready.subset(0, self._ready.subset_size):
                self._update_weight(server, now)
            return
        for name in changed:
            known = self._ready.by_name.get(name)
            if known is not None and self._ready.is_in_subset(known):
                self._update_weight(known, now)
            else:
                self._sampler.remove(name)

    def _may_get(self, request: Request, server: Server, now: float) -> bool:
        """Return whether a server can accept the next attempt, and has had none of this request."""
        if request.attempts and any(a.server is server for a in request.attempts):
            return False
        if not self._limits.can_accept(request, server):
            return False
        return not self._slow_start.is_any_warming_up(now) or self._is_within_slow_start(server, now)

    def _is_within_slow_start(self, server: Server, now: float) -> bool:
        recent_requests = self._slow_start.recent_requests(now)
        peak_rate = self._capacities.current_rate(server.endpoint.zone, recent_requests)
        slowest_ms = max(self._latencies.smoothed_ms.values())
        return self._slow_start.can_accept(server, peak_rate, slowest_ms, now)

    def _choose(self, request: Request, servers: list[Server], now: float) -> Server | None:
        """Return the best server of a short list."""
        slow_start = self._slow_start
        if slow_start.is_any_warming_up(now):
            servers = self._within_slow_start(servers, now)
        if can_retry_anywhere(request):
            evacuated = self._zones.fully_evacuated(self._ready.names_by_zone, now)
            if evacuated:
                servers = [s for s in servers if s.endpoint.zone not in evacuated]
        if request.attempts:
            servers = [s for s in servers if all(a.server is not s for a in request.attempts)] or servers
        servers = [s for s in servers if self._limits.can_accept(request, s)]
        if not servers:
            return None
        capacities = [self._capacities.estimate(s, slow_start.warm_up_fraction(s, now), now) for s in servers]
        reduced_zones = self._zones.reduced_fractions(now)
        drawn = draw_by_capacity(servers, capacities, self._settings.zone, reduced_zones, self._random)
        return least_loaded(drawn, self._random)

    def _within_slow_start(self, servers: list[Server], now: float) -> list[Server]:
        """Return the servers that slow start lets accept one more call."""
        if self.is_taken_over:
            # The two processes share one budget for warming servers: the one that drains uses it last.
            warm = [s for s in servers if self._slow_start.warm_up_fraction(s, now) >= 1]
            if warm:
                return warm
        return [s for s in servers if self._is_within_slow_start(s, now)]

    def _sample(self, request: Request, now: float) -> Server | None:
        """Return a server of a large subset; where sampling finds none, examine some one by one."""
        reduced_zones = self._zones.reduced_fractions(now)
        drawn = self._sampler.draw(self._settings.zone, reduced_zones, self._random, MAX_SAMPLING_DRAWS)
        candidates = ((s, self._update_weight(s, now)) for s in drawn if self._may_get(request, s, now))
        server = least_loaded(candidates, self._random)
        if server is not None:
            return server
        self._scan_from = (self._scan_from + MAX_SCANNED_SERVERS) % self._ready.subset_size
        freed = [s for s in self._freed if self._ready.is_in_subset(s)]
        return self._choose(request, freed + self._ready.subset(self._scan_from, MAX_SCANNED_SERVERS), now)

    def _update_weight(self, server: Server, now: float) -> float:
        """Return the estimated capacity of a server, which becomes its weight in the sampler."""
        warm_up_fraction = self._slow_start.warm_up_fraction(server, now)
        capacity = self._capacities.estimate(server, warm_up_fraction, now)
        if self._ready.is_in_subset(server):
            self._sampler.set_weight(server, capacity)
        return capacity

    def _refresh_estimates(self, now: float) -> None:
        """Compute the median capacity and the peak rates anew, from a sample of a large subset."""
        ready = self._ready
        if ready.subset_size <= MAX_SCANNED_SERVERS:
            subset = ready.subset(0, MAX_SCANNED_SERVERS)
            recent_requests = self._slow_start.recent_requests(now)
            self._capacities.refresh(ready.by_name.values(), subset, now, recent_requests)
            return
        sample = [
            ready.subset(self._random.randrange(ready.subset_size), 1)[0]
            for _ in range(MEDIAN_SAMPLE_SERVERS)
        ]
        for server in sample:
            server.advance_to(now)
            self._update_weight(server, now)  # its evidence may have decayed since, or it may have warmed up
        self._capacities.refresh(sample, sample, now, self._slow_start.recent_requests(now))
