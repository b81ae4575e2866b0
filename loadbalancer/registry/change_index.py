"""Which servers each service has, and has had, in the order in which its watches must hear of them.

    places = Places()
    places.put(entry)                    # after each change; also where it has left one service for another
    for name, version in places.latest("orders"): ...

A service is what a registration calls its `tier`. A change of one service costs the others nothing.
"""

from __future__ import annotations

from collections.abc import Iterator

from loadbalancer.registry.entries import Entry

MAX_FORMER_SERVICES = (
    8  # services that a server is remembered to have left; who has seen it in others gets the whole
)


class ChangeIndex:
    """By service: its servers' names, with the version at which each changed there last."""

    def __init__(self) -> None:
        self._revisions_by_service: dict[str, dict[str, int]] = {}
        self.compaction_revisions: dict[str, int] = {}  # by service: up to where removals are forgotten
        self.change_counts: dict[str, int] = {}  # by service: grows with each change of it

    def put(self, entry: Entry) -> None:
        """A server has changed; the oldest of too many places that it left are forgotten."""
        while len(entry.former_zones) > MAX_FORMER_SERVICES:
            service = min(entry.former_zones, key=lambda left: max(entry.former_zones[left].values()))
            self.compaction_revisions[service] = max(
                self.compaction_revisions.get(service, 0), *entry.former_zones.pop(service).values()
            )
            self._revisions_by_service.get(service, {}).pop(entry.name, None)
        self._record(entry.registration.tier, entry.name, entry.revision)
        for service, zones in entry.former_zones.items():
            if service != entry.registration.tier:
                self._record(service, entry.name, max(zones.values()))

    def _record(self, service: str, name: str, version: int) -> None:
        known = self._revisions_by_service.setdefault(service, {})
        if known.get(name) != version:
            known.pop(name, None)
            known[name] = version
            self.change_counts[service] = self.change_counts.get(service, 0) + 1

    def discard(self, entry: Entry, *, buried: bool = False) -> None:
        """A server is not remembered any more; if it is `buried`, watches that are behind get the whole."""
        for service in {entry.registration.tier, *entry.former_zones}:
            known = self._revisions_by_service.get(service, {})
            version = known.pop(entry.name, 0)
            self.change_counts[service] = self.change_counts.get(service, 0) + 1
            if buried:
                self.compaction_revisions[service] = max(self.compaction_revisions.get(service, 0), version)
            if not known:
                self._revisions_by_service.pop(service, None)

    def restore_order(self) -> None:
        """Put all in the order of versions again, after some have gone back."""
        for service, known in self._revisions_by_service.items():
            self._revisions_by_service[service] = dict(sorted(known.items(), key=lambda item: item[1]))

    def latest_changes(self, service: str) -> Iterator[tuple[str, int]]:
        """Names and versions, the latest change first."""
        return reversed(self._revisions_by_service.get(service, {}).items())

    def server_names(self, service: str) -> Iterator[str]:
        """All that the service has or has had and that are remembered."""
        return iter(self._revisions_by_service.get(service, ()))

    def compaction_revision(self, services: tuple[str, ...] | None) -> int:
        """The version up to which removals of some services, or of any, are forgotten."""
        if services is None:
            return max(self.compaction_revisions.values(), default=0)
        return max((self.compaction_revisions.get(service, 0) for service in services), default=0)


def former_zones_after(before: Entry | None, entry: Entry) -> dict[str, dict[str, int]]:
    """Where a server has been, by service and zone, and the version at which it was there last.

    `before` is the entry as it was at its last change, None for a new one; `entry` bears its new version.
    """
    if before is None:
        return entry.former_zones
    old, new = (
        (before.registration.tier, before.registration.zone),
        (entry.registration.tier, entry.registration.zone),
    )
    if old == new:
        return before.former_zones
    left = {service: dict(zones) for service, zones in before.former_zones.items()}
    # One that had ended there was told as ended at its own version.
    left.setdefault(old[0], {})[old[1]] = entry.revision if before.is_listed else before.revision
    left.get(new[0], {}).pop(new[1], None)
    return {service: zones for service, zones in left.items() if zones}
