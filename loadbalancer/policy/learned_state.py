"""Transfer what one process has learned to the process that takes over from it."""

from __future__ import annotations

from loadbalancer.interface import LearnedState
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.policy.estimates import Estimates


def export_learned_state(endpoints: EndpointSet, estimates: Estimates, now: float) -> LearnedState:
    """Return what was learned about listed servers, latencies, rates and load, as of `now`."""
    for server in endpoints.servers.values():
        server.advance_to(now)
    capacities = estimates.capacities
    return LearnedState(
        servers={name: s.evidence() for name, s in endpoints.servers.items() if s.is_listed},
        latencies=estimates.latencies.smoothed_ms,
        uncongested_latencies=estimates.latencies.uncongested_ms,
        peak_rates=capacities.peak_rates,
        overload=estimates.overload.evidence(),
        median_capacity=capacities.median_capacity,
        recent_requests=estimates.slow_start.recent_requests(now),
        recent_requests_at_peak=capacities.recent_requests_at_peak,
    )


def restore_learned_state(
    state: LearnedState, endpoints: EndpointSet, estimates: Estimates, now: float, age_ms: float
) -> None:
    """Restore what another process had learned `age_ms` ago; the evidence decays by that time.

    Evidence about servers that are unknown, or that have restarted since, is dropped.
    """
    learned_at_ms = now - age_ms
    for name, evidence in state.servers.items():
        server = endpoints.servers.get(name)
        if server is not None and server.endpoint.started_at_ms == evidence.started_at_ms:
            server.restore(evidence, learned_at_ms)
    estimates.latencies.smoothed_ms = dict(state.latencies)
    estimates.latencies.uncongested_ms = dict(state.uncongested_latencies)
    estimates.slow_start.add_requests(learned_at_ms, state.recent_requests)
    capacities = estimates.capacities
    capacities.peak_rates = dict(state.peak_rates)
    capacities.recent_requests_at_peak = dict(state.recent_requests_at_peak)
    capacities.median_capacity = state.median_capacity
    capacities.refreshed_at_ms = learned_at_ms
    estimates.overload.restore(state.overload, now)
