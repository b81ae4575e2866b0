"""Codec for the discovery JSON format of the endpoint list, also used by hot restarts and the configuration.

Keys and status values follow the platform's API and differ from the field names.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from loadbalancer.interface import Endpoint, Readiness
from loadbalancer.net.address import parse_address
from loadbalancer.net.config import AddressedEndpoint, EndpointList

_READINESS_BY_STATUS = {
    "in_service": Readiness.READY,
    "terminating": Readiness.DRAINING,
    "terminated": Readiness.DEAD,
}
_STATUS_BY_READINESS = {readiness: status for status, readiness in _READINESS_BY_STATUS.items()}


def decode_endpoint_list(response: Mapping[str, Any]) -> EndpointList:
    """Decode the list in a discovery response; ValueError if it is invalid."""
    try:
        endpoints = tuple([_decode_endpoint(entry) for entry in response["endpoints"]])
        if len({endpoint.endpoint.server for endpoint in endpoints}) < len(endpoints):
            raise ValueError("duplicate server in the endpoint list")
        return EndpointList(int(response["index"]), bool(response["snapshot"]), endpoints)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"invalid endpoint list: {type(error).__name__}: {error}") from error


def encode_endpoint_list(endpoint_list: EndpointList) -> dict[str, Any]:
    """Encode a list in the format that `decode_endpoint_list` reads."""
    return {
        "index": endpoint_list.index,
        "snapshot": endpoint_list.is_full_snapshot,
        "endpoints": [_encode_endpoint(endpoint) for endpoint in endpoint_list.endpoints],
    }


def _decode_endpoint(entry: Mapping[str, Any]) -> AddressedEndpoint:
    name = entry["name"]
    if not isinstance(name, str) or not name or name != "".join(name.split()):
        raise ValueError(f"{name!r} is not a valid server name")
    weight = float(entry.get("weight") or 1.0)
    started_at_ms = float(entry.get("since_ms") or 0.0)
    if not (math.isfinite(weight) and math.isfinite(started_at_ms)):
        raise ValueError(f"entry {name!r} has a weight or start time that is not finite")
    endpoint = Endpoint(
        server=name,
        readiness=_READINESS_BY_STATUS[entry["status"]],
        zone=str(entry.get("zone", "")),
        cell=int(entry.get("group") or 0),
        registered_capacity=weight,
        started_at_ms=started_at_ms,
    )
    return AddressedEndpoint(endpoint, parse_address(entry["address"]))


def _encode_endpoint(addressed: AddressedEndpoint) -> dict[str, Any]:
    endpoint = addressed.endpoint
    host, port = addressed.address
    return {
        "name": endpoint.server,
        "address": f"{host}:{port}",
        "zone": endpoint.zone,
        "group": endpoint.cell,
        "status": _STATUS_BY_READINESS[endpoint.readiness],
        "weight": endpoint.registered_capacity,
        "since_ms": endpoint.started_at_ms,
    }
