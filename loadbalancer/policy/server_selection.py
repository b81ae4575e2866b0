"""Select the server for an attempt, among those that are eligible and have free capacity."""

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
"""Maximum number of servers that a selection scans; a larger subset is sampled instead."""
MAX_SAMPLING_DRAWS = 24
"""Maximum number of draws from a sampled subset in search of eligible servers."""
MAX_FREED_SERVERS = 16
"""Number of servers with recently ended calls that are scanned if sampling finds none."""
MEDIAN_SAMPLE_SERVERS = 100
"""Sample size for the median capacity of a subset that is too large to scan."""


class ServerSelector:
    """Selects servers by estimated capacity and calls in flight, among those that the other rules allow.

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
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._endpoints = endpoints
        self._ready = endpoints.ready
        self._zones = zones
        self._limits = limits
        self._capacities = estimates.capacities
        self._latencies = estimates.latencies
        self._slow_start = estimates.slow_start
        self._rng = rng
        self._sampler = Sampler()  # empty unless the subset exceeds MAX_SCANNED_SERVERS
        self._scan_start = 0
        self._recently_freed: deque[Server] = deque(maxlen=MAX_FREED_SERVERS)
        self.is_taken_over = False
        """Whether another process has taken over and this one is draining."""

    def select(self, request: Request, now: float) -> Server | None:
        """Return the server for a request's next attempt; None if no server can accept it."""
        ready = self._ready
        if self._capacities.is_refresh_due(now):
            self._refresh_estimates(now)
        if not can_retry_anywhere(request):
            servers = deduplicating_servers(request, ready.by_name.values(), self._settings, now)
            return self._choose(request, servers, now)
        for server in self._endpoints.awaiting_first_call.values():
            # Just uncordoned: operators wait for its first call, but while it warms up it is seldom drawn.
            is_zone_in_use = self._zones.traffic_fraction(server.endpoint.zone, now) >= 1
            if is_zone_in_use and ready.is_in_subset(server) and self._can_accept(request, server, now):
                return server
        if self._settings.tier and not self._zones.reduced_fractions(now):
            # This balancer does not see the calls of other balancers. Few of them call the servers near it on
            # the ring, so one of these without its own calls is likely to be idle.
            nearby = [s for s in ready.nearby() if not s.in_flight and self._can_accept(request, s, now)]
            if nearby:
                return self._choose(request, nearby, now)
        if ready.subset_size <= MAX_SCANNED_SERVERS:
            return self._choose(request, ready.subset(0, MAX_SCANNED_SERVERS), now)
        return self._sample(request, now)

    def record_call_ended(self, server: Server, now: float) -> None:
        """Update the weight of a server at which a call from this balancer has ended."""
        if self._sampler:
            self._update_weight(server, now)
            self._recently_freed.append(server)

    def handle_endpoints_changed(self, now: float) -> None:
        """Update the sampler to match the subset, also for servers that have been forgotten."""
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

    def _can_accept(self, request: Request, server: Server, now: float) -> bool:
        """Return whether a server can accept the next attempt and has had no attempt of this request."""
        if request.attempts and any(a.server is server for a in request.attempts):
            return False
        if not self._limits.can_accept(request, server):
            return False
        return not self._slow_start.is_any_warming_up(now) or self._slow_start_permits(server, now)

    def _slow_start_permits(self, server: Server, now: float) -> bool:
        """Return whether slow start lets a server accept one more call."""
        recent_requests = self._slow_start.recent_requests(now)
        peak_rate = self._capacities.current_rate(server.endpoint.zone, recent_requests)
        slowest_ms = max(self._latencies.smoothed_ms.values())
        return self._slow_start.can_accept(server, peak_rate, slowest_ms, now)

    def _choose(self, request: Request, servers: list[Server], now: float) -> Server | None:
        """Return the server for the next attempt out of a short list; None if none is eligible."""
        slow_start = self._slow_start
        if slow_start.is_any_warming_up(now):
            servers = self._permitted_by_slow_start(servers, now)
        if can_retry_anywhere(request):
            evacuated = self._zones.fully_evacuated(self._ready.names_by_zone, now)
            if evacuated:
                servers = [s for s in servers if s.endpoint.zone not in evacuated]
        if request.attempts:
            # Avoid servers that this request has tried already, unless it has tried all of them.
            servers = [s for s in servers if all(a.server is not s for a in request.attempts)] or servers
        servers = [s for s in servers if self._limits.can_accept(request, s)]
        if not servers:
            return None
        capacities = [self._capacities.estimate(s, slow_start.warm_up_fraction(s, now), now) for s in servers]
        reduced_zones = self._zones.reduced_fractions(now)
        drawn = draw_by_capacity(servers, capacities, self._settings.zone, reduced_zones, self._rng)
        return least_loaded(drawn, self._rng)

    def _permitted_by_slow_start(self, servers: list[Server], now: float) -> list[Server]:
        """Return the servers that slow start lets accept one more call."""
        if self.is_taken_over:
            # Both processes share one slow-start budget; the draining one uses it only as a last resort.
            warm = [s for s in servers if self._slow_start.warm_up_fraction(s, now) >= 1]
            if warm:
                return warm
        return [s for s in servers if self._slow_start_permits(s, now)]

    def _sample(self, request: Request, now: float) -> Server | None:
        """Return a server from a large subset by sampling; if that finds none, scan a part of it."""
        reduced_zones = self._zones.reduced_fractions(now)
        drawn = self._sampler.draw(self._settings.zone, reduced_zones, self._rng, MAX_SAMPLING_DRAWS)
        candidates = ((s, self._update_weight(s, now)) for s in drawn if self._can_accept(request, s, now))
        server = least_loaded(candidates, self._rng)
        if server is not None:
            return server
        self._scan_start = (self._scan_start + MAX_SCANNED_SERVERS) % self._ready.subset_size
        freed = [s for s in self._recently_freed if self._ready.is_in_subset(s)]
        return self._choose(request, freed + self._ready.subset(self._scan_start, MAX_SCANNED_SERVERS), now)

    def _update_weight(self, server: Server, now: float) -> float:
        """Return the estimated capacity of a server, and set it as its weight in the sampler."""
        warm_up_fraction = self._slow_start.warm_up_fraction(server, now)
        capacity = self._capacities.estimate(server, warm_up_fraction, now)
        if self._ready.is_in_subset(server):
            self._sampler.set_weight(server, capacity)
        return capacity

    def _refresh_estimates(self, now: float) -> None:
        """Recompute the median capacity and the peak rates, for a large subset from a sample."""
        ready = self._ready
        if ready.subset_size <= MAX_SCANNED_SERVERS:
            subset = ready.subset(0, MAX_SCANNED_SERVERS)
            recent_requests = self._slow_start.recent_requests(now)
            self._capacities.refresh(ready.by_name.values(), subset, now, recent_requests)
            return
        sample = [
            ready.subset(self._rng.randrange(ready.subset_size), 1)[0] for _ in range(MEDIAN_SAMPLE_SERVERS)
        ]
        for server in sample:
            server.advance_to(now)
            self._update_weight(server, now)  # its evidence may have decayed, or it may have warmed up
        self._capacities.refresh(sample, sample, now, self._slow_start.recent_requests(now))
