"""Operators' cordons and zone evacuations, applied to connection pools and the decision module."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loadbalancer import interface
from loadbalancer.net.clock import Clock
from loadbalancer.net.cordon_file import CordonFile
from loadbalancer.net.endpoint_list import EndpointListFollower
from loadbalancer.net.hot_restart.state_exchange import OtherProcess
from loadbalancer.net.log import Log
from loadbalancer.net.upstream_pool import UpstreamPools
from loadbalancer.net.versioned_cordons import VersionedCordons
from loadbalancer.policy import Balancer
from loadbalancer.policy.zones import ZoneStatus

CORDON_FILE_POLL_INTERVAL_S = 0.1  # operators may call the other process during a hot restart


class ZoneEvacuationError(Exception):
    """A zone evacuation or return was refused; the text gives the reason in one line."""


class UnknownZoneError(ZoneEvacuationError):
    """No server is in that zone."""


class InsufficientCapacityError(ZoneEvacuationError):
    """The other zones can't take the requests in flight."""


class CordonController:
    """Applies the operators' cordons and evacuations, including those that another process received."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        balancer: Balancer,
        upstreams: UpstreamPools,
        endpoint_list: EndpointListFollower,
        cordon_file: CordonFile,
        log: Log,
        dispatch: Callable[[interface.Event], None],
    ) -> None:
        """Create a controller without cordons; `start` reads them from the file."""
        self._loop = loop
        self._clock = clock
        self._balancer = balancer
        self._upstreams = upstreams
        self._endpoint_list = endpoint_list
        self._file = cordon_file
        self._log = log
        self._dispatch = dispatch
        self._others: list[OtherProcess] = []
        self._applied_state = cordon_file.state
        self._applied_returns: dict[str, float] = {}  # by server, Unix ms
        self._applied_zones: dict[str, interface.ZoneEvacuation] = {}

    def start(self) -> None:
        """Apply the cordons in the file, now and whenever it has changed."""
        self._loop.call_later(CORDON_FILE_POLL_INTERVAL_S, self.start)
        self._file.refresh()
        if self._file.save_pending():
            self._log.event("cordons_saved", "cordons that could not be saved before are saved now")
        if self._file.state is not self._applied_state:
            self._apply()

    def restore_cordons(self, cordons: object, saved_before: VersionedCordons) -> None:
        """Apply the predecessor's cordons; if they are malformed, apply the file's and raise ValueError.

        `saved_before` is what was in the file before the predecessor sent them.
        """
        try:
            adoption = self._file.adopt(cordons, saved_before)
        finally:
            self._apply()
        if adoption.adopted or adoption.outdated:
            self._log.event(
                "cordons_merged",
                "the predecessor's cordons differ from those in the file",
                adopted=adoption.adopted,
                outdated=adoption.outdated,
            )

    def handover_state(self) -> dict[str, object]:
        """Return the cordons as the next process reads them."""
        return self._file.encode()

    def attach(self, other: OtherProcess) -> None:
        """Exchange orders with another process from now on: it gets all that are known first."""
        self._others.append(other)
        other.report_orders(self._file.state)

    def detach(self, other: OtherProcess) -> None:
        """Exchange no more orders with a process that has ended."""
        if other in self._others:
            self._others.remove(other)

    def merge_orders(self, orders: VersionedCordons, source: OtherProcess) -> None:
        """Apply the orders that a process has sent, and pass them on if any of them is new."""
        if self._file.merge(orders):
            self._apply()
            self._report(orders, source)

    def _report(self, orders: VersionedCordons, source: OtherProcess | None = None) -> None:
        for other in tuple(self._others):
            if other is not source:
                other.report_orders(orders)

    def set_cordon(self, server: str, *, is_cordoned: bool) -> bool:
        """Cordon or uncordon a server; return False if it was never listed."""
        if not self._endpoint_list.was_ever_listed(server) and server not in self._file.cordons.servers:
            return False
        if problem := self._file.set_cordon(server, is_cordoned=is_cordoned):
            self._report_unsaved(problem)
        self._report(self._file.state.of_server(server))
        self._apply()
        return True

    def zones(self) -> dict[str, ZoneStatus]:
        """Return the status of each zone."""
        return self._balancer.zone_statuses(self._clock.now())

    def evacuate_zone(self, zone: str, *, is_evacuating: bool, duration_ms: float, is_forced: bool) -> None:
        """Evacuate a zone or return to it, gradually over a duration.

        Raises UnknownZoneError, or InsufficientCapacityError if an evacuation is not forced and the
        requests in flight exceed the capacity of the other zones.
        """
        zones, now = self.zones(), self._clock.now()
        if zone not in zones and zone not in self._applied_zones:
            known = ", ".join(zones) or "none"
            raise UnknownZoneError(f"no server is of that zone; there are {known}")
        if is_evacuating and not is_forced:
            _check_remaining_capacity(zone, zones)
        initial_fraction = self._balancer.zone_traffic_fraction(zone, now)
        evacuation = interface.ZoneEvacuation(zone, is_evacuating, now, duration_ms, initial_fraction)
        if problem := self._file.set_evacuation(evacuation):
            self._report_unsaved(problem)
        self._report(self._file.state.of_zone(zone))
        self._apply()
        if is_evacuating:
            self._log.event("zone_evacuation_started", "evacuation of the zone was ordered", zone=zone)
        else:
            self._log.event("zone_return_started", "return to the zone was ordered", zone=zone)

    def _report_unsaved(self, problem: str) -> None:
        self._log.event("cordons_unsaved", problem)

    def _apply(self) -> None:
        """Apply the changes since the last call."""
        self._applied_state = self._file.state
        cordons = self._file.cordons
        applied = self._upstreams.cordoned
        for server in sorted(cordons.servers - applied):
            self._upstreams.cordon(server)
            self._dispatch(interface.CordonChanged(server, is_cordoned=True))
        for server in sorted(applied - cordons.servers):
            applied.discard(server)
            self._dispatch_return(server, cordons.returned_at_ms.get(server, self._clock.now()))
        for server, returned_at_ms in cordons.returned_at_ms.items():
            if self._applied_returns.get(server, 0.0) < returned_at_ms:
                self._dispatch_return(server, returned_at_ms)
        self._applied_returns = cordons.returned_at_ms
        for zone, evacuation in cordons.evacuations.items():
            if self._applied_zones.get(zone) != evacuation:
                self._dispatch(evacuation)
        self._applied_zones = dict(cordons.evacuations)

    def _dispatch_return(self, server: str, returned_at_ms: float) -> None:
        self._dispatch(interface.CordonChanged(server, is_cordoned=False, returned_at_ms=returned_at_ms))


def _check_remaining_capacity(zone: str, zones: dict[str, ZoneStatus]) -> None:
    """Raise InsufficientCapacityError if the requests in flight exceed the other zones' capacity."""
    if not any(name != zone and status.traffic_fraction > 0 for name, status in zones.items()):
        raise InsufficientCapacityError(
            f"there is no other zone to go to: {', '.join(zones)}; `force` goes on"
        )
    in_flight = sum(status.calls_in_flight for status in zones.values())
    capacity = sum(
        status.call_capacity * status.traffic_fraction for name, status in zones.items() if name != zone
    )
    if in_flight > capacity:
        raise InsufficientCapacityError(
            f"{in_flight:.1f} calls are out on average, and there is room for {capacity:.1f} elsewhere; "
            "`force` goes on"
        )
