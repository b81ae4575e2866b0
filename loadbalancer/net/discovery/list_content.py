"""Content of the watched instance's list, for comparison with another instance's."""

from __future__ import annotations

import math
from typing import NamedTuple

from loadbalancer.endpoint_watch import ListVersion
from loadbalancer.interface import Readiness
from loadbalancer.net.address import Address
from loadbalancer.net.config import AddressedEndpoint, EndpointList


class ListedState(NamedTuple):
    """A server's state in the list, on which two instances must agree."""

    server: str
    readiness: Readiness
    started_at_ms: float
    address: Address


class ListContent:
    """Tracks the states of the listed servers, and when they last changed."""

    def __init__(self) -> None:
        self._states: dict[str, ListedState] = {}
        self.changed_at_s = -math.inf
        """Time of the last change, on the event loop's clock."""

    def apply(self, update: EndpointList, now: float) -> None:
        """Apply an update of the watched list."""
        before = dict(self._states)
        if update.is_full_snapshot:
            self._states.clear()
        for entry in update.endpoints:
            server = entry.endpoint.server
            self._states[server] = listed_state(entry)
            if entry.endpoint.readiness is Readiness.DEAD:
                del self._states[server]
        if self._states != before:
            self.changed_at_s = now

    def version(self, address: Address, index: int) -> ListVersion:
        """Return the content as the version `index` of the instance at `address`."""
        return ListVersion(address, index, frozenset(self._states.values()))


def listed_state(entry: AddressedEndpoint) -> ListedState:
    """Return the state in an entry of the list."""
    endpoint = entry.endpoint
    return ListedState(endpoint.server, endpoint.readiness, endpoint.started_at_ms, entry.address)
