"""Maintain the set of known servers from the endpoint list and operators' cordons."""

from __future__ import annotations

import math
import random

from loadbalancer import interface
from loadbalancer.interface import Outcome, Readiness, Settings, UpdateKind
from loadbalancer.policy.list_backoff import ListBackoff
from loadbalancer.policy.list_validation import validate_update
from loadbalancer.policy.ready_servers import ReadyServers
from loadbalancer.policy.servers import Server
from loadbalancer.policy.timers import LIST_TOKEN

CONNECT_FAILURES_TO_REMOVE = 2
"""Consecutive failed connections that remove a suspected server; one may be due to loss or congestion."""


class EndpointSet:
    """The known servers; `ready` holds those that may get new requests."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self.servers: dict[str, Server] = {}
        """By server ID: listed servers, and those that still have attempts in flight."""
        self.ready = ReadyServers(settings)
        self.awaiting_first_call: dict[str, Server] = {}
        """Uncordoned servers that have had no call since."""
        self.last_started_at_ms = 0.0
        self._cordoned: set[str] = set()
        self._uncordoned_at_ms: dict[str, float] = {}
        self._backoff = ListBackoff(settings, rng)

    def handle_list_failure(self, now: float, retry_within_ms: float) -> list[interface.Action]:
        """Keep the previous list, and schedule the next request after at most `retry_within_ms`."""
        actions: list[interface.Action] = []
        if not self._backoff.has_failed:
            actions.append(interface.LogMessage("endpoint list unreachable: keeping the last one"))
        delay_ms = self._backoff.next_delay_ms(retry_within_ms)
        actions.append(interface.SetTimer(now + delay_ms, LIST_TOKEN))
        return actions

    def validate(self, update: interface.EndpointListUpdate) -> interface.EndpointListUpdate:
        """Return the update to apply in place of a received one."""
        return validate_update(update, self._settings, self.servers, self.ready.by_name)

    def apply_update(self, update: interface.EndpointListUpdate, now: float) -> list[interface.Action]:
        """Apply a full snapshot or a delta."""
        actions: list[interface.Action] = []
        if update.suspected_stale:
            part = f"{len(update.suspected_stale)} of {len(self.ready)}"
            actions.append(
                interface.LogMessage(
                    f"endpoint list omits {part} ready servers: suspected stale, kept for now"
                )
            )
        if self._backoff.has_failed and update.kind is not UpdateKind.CACHED:
            self._backoff.reset()
            actions.append(interface.LogMessage("endpoint list reachable again"))
        if update.kind is not UpdateKind.DELTA:
            listed = {endpoint.server for endpoint in update.endpoints}
            for server in [s for name, s in self.servers.items() if name not in listed]:
                self._remove(server)
        for endpoint in update.endpoints:
            self._apply_endpoint(endpoint, now, is_suspected=endpoint.server in update.suspected_stale)
        return actions

    def apply_cordon(self, event: interface.CordonChanged, now: float) -> None:
        """Cordon or uncordon a server, overriding the list; an uncordoned one warms up again."""
        server = self.servers.get(event.server)
        if event.is_cordoned:
            self._cordoned.add(event.server)
        else:
            self._cordoned.discard(event.server)
            self._forget_old_uncordons(now)
            self._uncordoned_at_ms[event.server] = event.returned_at_ms
            if server:
                server.reset_evidence(now)
                if server.is_listed:
                    self.awaiting_first_call[event.server] = server
        if server:
            self._update(server, server.endpoint)

    def record_outcome(self, server: Server, outcome: Outcome) -> bool:
        """Remove a suspected server if its connections keep failing, and return whether it was removed."""
        if not server.remaining_strikes:
            return False
        if outcome is Outcome.CONNECT_FAILED:
            server.remaining_strikes -= 1
            if not server.remaining_strikes:
                self._remove(server)
                return True
        elif outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED):
            server.remaining_strikes = CONNECT_FAILURES_TO_REMOVE
        return False

    def suspected_stale_servers(self) -> list[str]:
        """Return the ready servers that a list has omitted and that were not found dead."""
        return sorted(name for name, server in self.ready.by_name.items() if server.remaining_strikes)

    def excluded_servers(self) -> list[str]:
        """Return the listed servers that get no new requests: cordoned, or ready but outside the subset."""
        unused = self.ready.names_outside_subset()
        if self._settings.tier:
            unused -= {server.endpoint.server for server in self.ready.nearby()}
        return [
            name
            for name, server in self.servers.items()
            if server.is_listed and (name in self._cordoned or name in unused)
        ]

    def forget_if_unused(self, server: Server) -> None:
        """Forget a server that is no longer listed and has no attempt in flight."""
        if not server.is_listed and not server.in_flight:
            self.servers.pop(server.endpoint.server, None)

    def _forget_old_uncordons(self, now: float) -> None:
        oldest_ms = now - self._settings.slow_start_ms
        self._uncordoned_at_ms = {
            name: at_ms for name, at_ms in self._uncordoned_at_ms.items() if at_ms > oldest_ms
        }

    def _apply_endpoint(self, endpoint: interface.Endpoint, now: float, *, is_suspected: bool) -> None:
        server = self.servers.get(endpoint.server)
        if server is None:
            server = Server(endpoint, now, self._rng.random())
            self.servers[endpoint.server] = server
        if endpoint.started_at_ms > server.endpoint.started_at_ms:
            server.reset_evidence(now)  # a new incarnation of the same name
        server.is_listed = endpoint.readiness is not Readiness.DEAD
        if is_suspected:
            server.remaining_strikes = server.remaining_strikes or CONNECT_FAILURES_TO_REMOVE
        else:
            server.remaining_strikes = 0
        self._update(server, endpoint)
        if not server.is_listed:
            self._remove(server)

    def _remove(self, server: Server) -> None:
        """Exclude a server from new requests, since it is dead or omitted from the list."""
        server.is_listed = False
        server.remaining_strikes = 0
        self._update(server, server.endpoint)
        self.awaiting_first_call.pop(server.endpoint.server, None)
        self.forget_if_unused(server)

    def _update(self, server: Server, endpoint: interface.Endpoint) -> None:
        """Set a server's endpoint, and add it to or remove it from the ready servers."""
        name = endpoint.server
        self.ready.mark_changed(name)
        is_ready = server.is_listed and endpoint.readiness is Readiness.READY and name not in self._cordoned
        stays = is_ready and server.is_ready and endpoint.zone == server.endpoint.zone
        if server.is_ready and not stays:
            self.ready.remove(server)
        previous_capacity = server.registered_capacity
        server.endpoint = endpoint
        server.is_ready = is_ready
        server.registered_capacity = _valid_capacity(endpoint)
        server.started_at_ms = max(endpoint.started_at_ms, self._uncordoned_at_ms.get(name, 0.0))
        if is_ready:
            self.last_started_at_ms = max(self.last_started_at_ms, server.started_at_ms)
        if stays:
            self.ready.replace_capacity(previous_capacity, server.registered_capacity)
        elif is_ready:
            self.ready.add(server)


def _valid_capacity(endpoint: interface.Endpoint) -> float:
    """Return the registered capacity; 1 if the list gives an invalid value."""
    capacity = endpoint.registered_capacity
    return capacity if 0 < capacity < math.inf else 1.0
