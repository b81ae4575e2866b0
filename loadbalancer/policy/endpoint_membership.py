"""Propagate endpoint list and cordon changes to everything that depends on the ready servers."""

from __future__ import annotations

from loadbalancer import interface
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.policy.limits import ConcurrencyLimits
from loadbalancer.policy.server_selection import ServerSelector
from loadbalancer.policy.servers import Server
from loadbalancer.policy.slow_start import SlowStart


class EndpointMembership:
    """Changes the endpoint set, and updates slow start, limits and the sampler to match."""

    def __init__(
        self,
        endpoints: EndpointSet,
        slow_start: SlowStart,
        limits: ConcurrencyLimits,
        selector: ServerSelector,
    ) -> None:
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._limits = limits
        self._selector = selector

    def apply_update(self, update: interface.EndpointListUpdate, now: float) -> list[interface.Action]:
        """Apply a full snapshot or a delta."""
        actions = self._endpoints.apply_update(update, now)
        self._handle_change(now)
        return actions

    def apply_cordon(self, event: interface.CordonChanged, now: float) -> None:
        """Cordon or uncordon a server."""
        self._endpoints.apply_cordon(event, now)
        self._handle_change(now)

    def record_outcome(self, server: Server, outcome: interface.Outcome, now: float) -> bool:
        """Remove a suspected server if the outcome shows that it is dead; return whether it was removed."""
        is_removed = self._endpoints.record_outcome(server, outcome)
        if is_removed:
            self._handle_change(now)
        return is_removed

    def _handle_change(self, now: float) -> None:
        ready = self._endpoints.ready
        self._slow_start.set_last_start(self._endpoints.last_started_at_ms)
        self._limits.update(len(ready), ready.subset_size, ready.total_capacity)
        self._selector.handle_endpoints_changed(now)
