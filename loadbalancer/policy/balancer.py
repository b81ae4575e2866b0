"""Dispatch events to the objects that make the decisions, and answer a host's queries."""

from __future__ import annotations

import random

from loadbalancer import interface
from loadbalancer.interface import UpdateKind
from loadbalancer.policy.attempts import AttemptSender
from loadbalancer.policy.endpoint_membership import EndpointMembership
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.policy.estimates import Estimates
from loadbalancer.policy.learned_state import export_learned_state, restore_learned_state
from loadbalancer.policy.limits import ConcurrencyLimits
from loadbalancer.policy.outcomes import OutcomeRecorder
from loadbalancer.policy.request_lifecycle import RequestLifecycle
from loadbalancer.policy.server_selection import ServerSelector
from loadbalancer.policy.servers import EVIDENCE_DECAY_MS
from loadbalancer.policy.timers import LIST_TOKEN, parse_request_timer
from loadbalancer.policy.zones import ZoneEvacuations, ZoneStatus


class Balancer:
    """The decisions of one balancer instance: pass it events in order, carry out the actions it returns.

    It does no I/O; time and randomness are passed in. Times are milliseconds on one clock that never goes
    backwards.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        rng = random.Random(seed)
        self._actions: list[interface.Action] = []  # shared with the objects that append to it
        if settings.polls_endpoint_list:
            self._actions.append(interface.WatchEndpointList())
        self._endpoints = EndpointSet(settings, rng)
        self._estimates = Estimates(settings, rng)
        self._zones = ZoneEvacuations()
        self._limits = ConcurrencyLimits(settings)
        self._selector = ServerSelector(
            settings, self._endpoints, self._zones, self._limits, self._estimates, rng
        )
        self._membership = EndpointMembership(
            self._endpoints, self._estimates.slow_start, self._limits, self._selector
        )
        self._requests = RequestLifecycle(
            settings,
            self._estimates,
            self._limits,
            self._membership,
            AttemptSender(settings, self._endpoints, self._estimates, self._selector, self._actions),
            OutcomeRecorder(self._endpoints, self._estimates, self._selector),
            rng,
            self._actions,
        )

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """Handle one event at time `now` (ms), and return the actions to carry out, in order.

        Raises ValueError for an impossible event: a request that has arrived before or is of an unknown
        class, or an attempt that was never made.
        """
        try:
            self._dispatch(event, now)
            return self._actions.copy()
        finally:
            self._actions.clear()

    def validate(self, event: interface.EndpointListUpdate) -> interface.EndpointListUpdate:
        """Return the update to pass to `handle`, and to apply to connections, in place of a received one."""
        return self._endpoints.validate(event)

    def suspected_stale_servers(self) -> list[str]:
        """Return the servers in use that a list has omitted and that are not proven dead."""
        return self._endpoints.suspected_stale_servers()

    def excluded_servers(self, now: float) -> list[str]:
        """Return the listed servers that get no new work.

        They are cordoned, outside this balancer's subset, or in a zone that is fully evacuated.
        """
        excluded = set(self._endpoints.excluded_servers())
        ready = self._endpoints.ready
        evacuated = self._zones.fully_evacuated(ready.names_by_zone, now)
        if evacuated:
            excluded |= {name for name, s in ready.by_name.items() if s.endpoint.zone in evacuated}
        return sorted(excluded)

    def zone_traffic_fraction(self, zone: str, now: float) -> float:
        """Return the fraction of a zone's capacity that is in use, 0 to 1."""
        return self._zones.traffic_fraction(zone, now)

    def zone_statuses(self, now: float) -> dict[str, ZoneStatus]:
        """Return the status of each zone that has ready servers."""
        statuses: dict[str, ZoneStatus] = {}
        for server in self._endpoints.ready.by_name.values():
            server.advance_to(now)
            zone = server.endpoint.zone
            if zone not in statuses:
                statuses[zone] = ZoneStatus(self._zones.traffic_fraction(zone, now))
            status = statuses[zone]
            status.ready_servers += 1
            # `in_flight_ms` sums time in flight with decay, so this is a mean over about EVIDENCE_DECAY_MS.
            status.calls_in_flight += server.in_flight_ms / EVIDENCE_DECAY_MS
            status.call_capacity += self._limits.calls_per_capacity_unit * server.registered_capacity
        return statuses

    def learned_state(self, now: float) -> interface.LearnedState:
        """Return what was learned, for the process that takes over."""
        return export_learned_state(self._endpoints, self._estimates, now)

    def restore(self, state: interface.LearnedState, now: float, age_ms: float = 0.0) -> None:
        """Restore what another process had learned `age_ms` ago."""
        restore_learned_state(state, self._endpoints, self._estimates, now, age_ms)

    def _dispatch(self, event: interface.Event, now: float) -> None:
        match event:
            case interface.AttemptEnded():
                self._requests.handle_attempt_end(event, now)
            case interface.RequestArrived():
                self._requests.handle_arrival(event, now)
            case interface.TimerExpired():
                self._handle_timer(event.token, now)
            case interface.EndpointListUpdate(kind=UpdateKind.FAILED):
                self._actions.extend(self._endpoints.handle_list_failure(now, event.retry_within_ms))
            case interface.EndpointListUpdate():
                self._actions.extend(self._membership.apply_update(event, now))
                self._requests.release_waiting(now)
            case interface.CordonChanged():
                self._membership.apply_cordon(event, now)
                self._requests.release_waiting(now)
            case interface.ZoneEvacuation():
                self._zones.apply(event)
            case interface.TakeoverChanged():
                self._selector.is_taken_over = event.is_taken_over
                # The process that stays in service counts the requests from now on.
                self._estimates.slow_start.reset_recent_requests(now)
            case interface.ClientDisconnected():
                self._requests.handle_disconnect(event)
            case interface.ResponseStarted():
                self._requests.handle_response_start(event, now)
            case interface.RequestCompleted():
                self._requests.handle_completion(event, now)

    def _handle_timer(self, token: str, now: float) -> None:
        if token == LIST_TOKEN:
            self._actions.append(interface.WatchEndpointList())
            return
        timer = parse_request_timer(token)
        if timer is not None:
            self._requests.handle_timer(timer, now)
