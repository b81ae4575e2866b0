"""Which of the orders that a predecessor has sent are news to its successor.

The message of a hot restart has no versions of orders: its form is that of earlier versions of the program.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.interface import ZoneEvacuation
from loadbalancer.net.cordons import Cordons
from loadbalancer.net.versioned_cordons import VERSION_STEP_MS, VersionedCordons


@dataclass(frozen=True)
class Adoption:
    """What came of the cordons that a predecessor has sent."""

    state: VersionedCordons
    """The state after the orders that were taken over."""
    adopted: int
    """The number of these: the files lacked them."""
    outdated: int
    """The number of those that were older than what has been saved since they were sent."""


def adopt_cordons(
    state: VersionedCordons,
    sent: Cordons,
    saved_before: VersionedCordons,
    saved: VersionedCordons,
    now_ms: float,
) -> Adoption:
    """Take over what differs from `state`, unless it has been saved since.

    `saved_before` is what was saved before the predecessor sent its cordons, `saved` what is saved now.
    """
    merge = _AdoptionMerge(state, sent, saved_before, saved, now_ms)
    for server in sorted(sent.servers ^ state.cordons.servers):
        merge.take_server(server)
    for evacuation in sent.evacuations.values():
        merge.take_evacuation(evacuation)
    return merge.result()


class _AdoptionMerge:
    """Takes over one order after another, each with the least version that it may have.

    What was ordered after it has a higher one.
    """

    def __init__(
        self,
        state: VersionedCordons,
        sent: Cordons,
        saved_before: VersionedCordons,
        saved: VersionedCordons,
        now_ms: float,
    ) -> None:
        self._state = state
        self._sent = sent
        self._saved_before = saved_before
        self._saved = saved
        self._now_ms = now_ms
        self._adopted = 0
        self._outdated = 0

    def take_server(self, server: str) -> None:
        """Take over the state of a server; an absent one tells nothing."""
        if self._is_server_saved_since(server):
            self._outdated += 1
            return
        if server not in self._sent.servers and server not in self._sent.returned_at_ms:
            return
        self._adopted += 1
        self._state = self._state.with_cordon(
            server,
            is_cordoned=server in self._sent.servers,
            now_ms=self._sent.returned_at_ms.get(server, self._now_ms),
            version=self._state.server_version(server) + VERSION_STEP_MS,
        )

    def take_evacuation(self, evacuation: ZoneEvacuation) -> None:
        """Take over the latest order for a zone."""
        if self._state.cordons.evacuations.get(evacuation.zone) == evacuation:
            return
        if self._is_zone_saved_since(evacuation.zone):
            self._outdated += 1
            return
        self._adopted += 1
        version = self._state.zone_version(evacuation.zone) + VERSION_STEP_MS
        self._state = self._state.with_evacuation(evacuation, version)

    def _is_server_saved_since(self, server: str) -> bool:
        is_cordoned = server in self._saved.cordons.servers
        if is_cordoned != (server in self._saved_before.cordons.servers):
            return True
        return self._saved.server_version(server) != self._saved_before.server_version(server)

    def _is_zone_saved_since(self, zone: str) -> bool:
        before = self._saved_before.cordons.evacuations.get(zone)
        return self._saved.cordons.evacuations.get(zone) != before

    def result(self) -> Adoption:
        """Return the state, with all returns that the predecessor remembers."""
        return Adoption(self._state.with_returns(self._sent.returned_at_ms), self._adopted, self._outdated)
