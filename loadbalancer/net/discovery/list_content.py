"""What the watched instance's list holds, to be compared with another instance's."""

from __future__ import annotations

import math
from typing import NamedTuple

from loadbalancer.endpoint_watch import ListVersion
from loadbalancer.interface import Readiness
from loadbalancer.net.address import Address
from loadbalancer.net.config import AddressedEndpoint, EndpointList


class ListedState(NamedTuple):
    """A server's state as the list has it: what two instances have to agree on."""

    server: str
    readiness: Readiness
    started_at_ms: float
    address: Address


class ListContent:
    """Holds the listed servers' states, and when they last changed."""

    def __init__(self) -> None:
        self._states: dict[str, ListedState] = {}
        self.changed_at_s = -math.inf
        """On the loop's clock."""

    def apply(self, update: EndpointList, now: float) -> None:
        """Take over an update of the watched list."""
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
    """Return the state that an entry of the list says."""
    endpoint = entry.endpoint
    return ListedState(endpoint.server, endpoint.readiness, endpoint.started_at_ms, entry.address)
