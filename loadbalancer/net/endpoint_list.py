"""The balancer's current endpoint list: the endpoints received, their revision, and their source."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import replace

from loadbalancer import interface
from loadbalancer.endpoint_watch import ListRequest
from loadbalancer.interface import Outcome, Readiness, UpdateKind
from loadbalancer.net.clock import Clock
from loadbalancer.net.config import AddressedEndpoint, Config, EndpointList
from loadbalancer.net.discovery import DiscoveryClient
from loadbalancer.net.log import Log
from loadbalancer.net.reports import EndpointListReport
from loadbalancer.net.start_times import StartTimes
from loadbalancer.net.upstream_pool import UpstreamPools
from loadbalancer.policy import Balancer

MAX_REMEMBERED_SERVERS = (
    20_000  # servers ever listed, because operators may cordon a server that is no longer listed
)
FIRST_RESPONSE_TIMEOUT_S = 1.5  # after a takeover; then the predecessor's list is used


class EndpointListFollower:
    """Owns the endpoints and the discovery watch that updates them."""

    def __init__(
        self,
        config: Config,
        balancer: Balancer,
        upstreams: UpstreamPools,
        log: Log,
        dispatch: Callable[[interface.Event], None],
        *,
        clock: Clock,
        needs_full_list: bool,
        snapshot_written_ms: float | None,
    ) -> None:
        """Start with an empty list.

        `needs_full_list` makes the watch begin with a full list even if the configuration has one;
        `snapshot_written_ms` is when the snapshot from which this process resumes, if any, was written.
        """
        self._config = config
        self._balancer = balancer
        self._upstreams = upstreams
        self._log = log
        self._dispatch = dispatch
        self._snapshot_written_ms = snapshot_written_ms
        self.endpoints: dict[str, AddressedEndpoint] = {}
        self.revision = 0
        self._remembered_servers: dict[str, None] = {}  # servers ever listed, most recent last
        self._start_times = StartTimes(clock.now, _system_ms)
        self._first_response = asyncio.Event()  # set after the first response or failure of the watch
        self.discovery = DiscoveryClient(
            config,
            self.on_watch_update,
            self.on_watch_failed,
            needs_full_list,
            lambda text: log.event("interest_subscription_failed", text),
        )
        self.discovery.on_request_failed = self.on_request_failed

    def start(self) -> None:
        """Start the watch if the list is pushed."""
        self.discovery.start()

    def watch(self) -> None:
        """Start the watch, or restart it after a failure."""
        self.discovery.subscribe()

    def apply_configuration(self, config: Config) -> None:
        """Apply a new configuration to the watch."""
        self._config = config
        self.discovery.reconfigure(config.discovery, config.registry)

    async def wait_for_first_response(self) -> None:
        """Wait for the first response or failure of the watch, for at most `FIRST_RESPONSE_TIMEOUT_S`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_RESPONSE_TIMEOUT_S):
                await self._first_response.wait()

    def on_watch_update(self, update: EndpointList) -> bool:
        """Handle an update from the watch; return False if it is suspected to be stale."""
        self._first_response.set()
        return self.apply(UpdateKind.FULL_SNAPSHOT if update.is_full_snapshot else UpdateKind.DELTA, update)

    def on_watch_failed(self) -> None:
        """Handle a failure of the watch."""
        self._first_response.set()
        self._dispatch(self.discovery.failure_update())

    def on_request_failed(self, request: ListRequest, duration_s: float, error: Exception) -> None:
        """Log a failed request with its kind and duration, which distinguish congestion from an outage."""
        self._log.event(
            "list_request_failed",
            "a request for the endpoint list failed",
            request=request.kind.value,
            duration_ms=round(duration_s * 1_000),
            error=f"{type(error).__name__}: {error}",
        )

    def apply_cached(self, known: EndpointList) -> None:
        """Apply the list of another process or a snapshot, unless the configured list is newer."""
        if known.endpoints and known.index >= self._config.initial_list.index:
            self.apply(UpdateKind.CACHED, known)

    def apply(self, kind: UpdateKind, update: EndpointList) -> bool:
        """Apply an update to this list, the connection pools and the decision module.

        Return False if it is suspected to be stale: the decision module then keeps servers that it omits.
        """
        update = self._start_times.convert(update)
        event = self._balancer.validate(
            interface.EndpointListUpdate(
                kind, tuple([e.endpoint for e in update.endpoints]), update.is_rewound
            )
        )
        if event.suspected_stale or update.is_rewound:
            update = replace(update, endpoints=self._with_addresses(event, update))
        self._upstreams.update_endpoints(update)
        self.revision = update.index
        if update.is_full_snapshot:
            self.endpoints.clear()
        for endpoint in update.endpoints:
            server = endpoint.endpoint.server
            self.endpoints[server] = endpoint
            if endpoint.endpoint.readiness is Readiness.DEAD:
                del self.endpoints[server]
            self._remember(server)
        while len(self._remembered_servers) > MAX_REMEMBERED_SERVERS:
            del self._remembered_servers[next(iter(self._remembered_servers))]
        self._dispatch(event)
        return not event.suspected_stale

    def _with_addresses(
        self, event: interface.EndpointListUpdate, update: EndpointList
    ) -> tuple[AddressedEndpoint, ...]:
        """Return the endpoints of an event from the decision module, each with its address."""
        addresses = {
            endpoint.endpoint.server: endpoint.address
            for endpoint in (*self.endpoints.values(), *update.endpoints)
        }
        return tuple(
            [AddressedEndpoint(endpoint, addresses[endpoint.server]) for endpoint in event.endpoints]
        )

    def _remember(self, server: str) -> None:
        self._remembered_servers.pop(server, None)
        self._remembered_servers[server] = None

    def was_ever_listed(self, server: str) -> bool:
        """Return whether any list named this server, among the last `MAX_REMEMBERED_SERVERS`."""
        return server in self._remembered_servers

    def current(self) -> EndpointList:
        """Return the current list as a full snapshot."""
        return EndpointList(self.revision, True, tuple(self.endpoints.values()))

    def record_outcome(self, server: str, outcome: Outcome) -> None:
        """Record the outcome of an attempt, which may contradict the listed state of the server."""
        if self._config.registry is not None:
            self.discovery.contradictions.record_outcome(server, outcome, asyncio.get_running_loop().time())

    def report(self) -> EndpointListReport:
        """Return the list's source and age, and the servers in use that it omits."""
        watch = self.discovery.status()
        host, port = watch.address
        source = f"{host}:{port}"
        response_age_ms = watch.response_age_ms
        suspected_servers: list[str] = []
        if response_age_ms is not None:
            suspected_servers = self._balancer.suspected_stale_servers()
        elif self._snapshot_written_ms is not None:
            source = "snapshot"
            response_age_ms = round(max(_system_ms() - self._snapshot_written_ms, 0.0))
        else:
            source = "configuration"
        return EndpointListReport(
            source=source,
            revision=watch.index,
            last_response_age_ms=response_age_ms,
            last_change_age_ms=watch.change_age_ms,
            source_changes=watch.switch_count,
            rewinds=watch.rewind_count,
            stalls=watch.stale_instance_count,
            contradicted_servers=watch.contradicting_servers,
            suspected_servers=suspected_servers,
        )


def _system_ms() -> float:
    """Return the time of the system's clock, in Unix ms."""
    return time.time() * 1_000
