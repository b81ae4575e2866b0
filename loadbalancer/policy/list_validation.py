"""Validate endpoint list updates, which can be stale, incomplete or rolled back."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from loadbalancer.interface import Endpoint, EndpointListUpdate, Readiness, Settings, UpdateKind
from loadbalancer.policy.servers import Server


def validate_update(
    update: EndpointListUpdate,
    settings: Settings,
    servers: Mapping[str, Server],
    ready: Mapping[str, Server],
) -> EndpointListUpdate:
    """Return the update to apply in place of a received one.

    Ready servers that a full snapshot omits are kept as suspected stale if they are more than
    `suspect_stale_fraction` of the ready ones (never at 1.0), and more than one unless the list is empty.
    A rollback to an older revision does not end the draining of a server.
    """
    endpoints = update.endpoints
    suspected = _suspected_stale(update, settings, ready)
    endpoints += tuple(ready[name].endpoint for name in sorted(suspected))
    if update.is_rolled_back:
        endpoints = tuple(_keep_draining(endpoint, servers) for endpoint in endpoints)
    return replace(update, endpoints=endpoints, suspected_stale=suspected)


def _suspected_stale(
    update: EndpointListUpdate, settings: Settings, ready: Mapping[str, Server]
) -> frozenset[str]:
    if update.kind is not UpdateKind.FULL_SNAPSHOT:
        return frozenset()
    listed = {endpoint.server for endpoint in update.endpoints}
    omitted = ready.keys() - listed
    # A sole omitted server is not suspected while the list names others: `bool(listed)` is 1 or 0.
    if len(omitted) <= max(settings.suspect_stale_fraction * len(ready), bool(listed)):
        return frozenset()
    return frozenset(omitted)


def _keep_draining(endpoint: Endpoint, servers: Mapping[str, Server]) -> Endpoint:
    """Return the endpoint, as draining if the same incarnation was draining before."""
    server = servers.get(endpoint.server)
    if server is None or server.endpoint.readiness is not Readiness.DRAINING:
        return endpoint
    if endpoint.started_at_ms > server.endpoint.started_at_ms:
        return endpoint
    return replace(endpoint, readiness=Readiness.DRAINING)
