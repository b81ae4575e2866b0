"""The current and former servers of each service, in the order in which watchers must learn of them.

    change_index = ChangeIndex()
    change_index.put(entry)      # after each change, also a move to another service
    for name, revision in change_index.latest_changes("orders"): ...

A service is what a registration calls its `tier`. A change of one service costs the others nothing.
"""

from __future__ import annotations

from collections.abc import Iterator

from loadbalancer.registry.entries import Entry

# Former services remembered of a server; a watcher that saw it in others gets a full snapshot.
MAX_FORMER_SERVICES = 8


class ChangeIndex:
    """By service: its servers' names, with the revision of each one's last change there."""

    def __init__(self) -> None:
        self._revisions_by_service: dict[str, dict[str, int]] = {}
        self.compaction_revisions: dict[str, int] = {}  # by service: up to where removals are forgotten
        self.change_counts: dict[str, int] = {}  # by service

    def put(self, entry: Entry) -> None:
        """Record a server's change; its oldest former services above the maximum are forgotten."""
        while len(entry.former_zones) > MAX_FORMER_SERVICES:
            service = min(entry.former_zones, key=lambda former: max(entry.former_zones[former].values()))
            self._compact_up_to(service, max(entry.former_zones.pop(service).values()))
            self._revisions_by_service.get(service, {}).pop(entry.name, None)
        self._record(entry.registration.tier, entry.name, entry.revision)
        for service, zones in entry.former_zones.items():
            if service != entry.registration.tier:
                self._record(service, entry.name, max(zones.values()))

    def _record(self, service: str, name: str, revision: int) -> None:
        revisions = self._revisions_by_service.setdefault(service, {})
        if revisions.get(name) != revision:
            revisions.pop(name, None)
            revisions[name] = revision
            self._count_change(service)

    def _count_change(self, service: str) -> None:
        self.change_counts[service] = self.change_counts.get(service, 0) + 1

    def _compact_up_to(self, service: str, revision: int) -> None:
        self.compaction_revisions[service] = max(self.compaction_revisions.get(service, 0), revision)

    def discard(self, entry: Entry, *, is_compaction: bool = False) -> None:
        """Forget a server; after a compaction, watchers that are behind get a full snapshot."""
        for service in {entry.registration.tier, *entry.former_zones}:
            revisions = self._revisions_by_service.get(service, {})
            revision = revisions.pop(entry.name, 0)
            self._count_change(service)
            if is_compaction:
                self._compact_up_to(service, revision)
            if not revisions:
                self._revisions_by_service.pop(service, None)

    def restore_order(self) -> None:
        """Sort all by revision again after some were reverted to earlier ones."""
        for service, revisions in self._revisions_by_service.items():
            self._revisions_by_service[service] = dict(sorted(revisions.items(), key=lambda item: item[1]))

    def latest_changes(self, service: str) -> Iterator[tuple[str, int]]:
        """Yield names and revisions of a service's servers, the latest change first."""
        return reversed(self._revisions_by_service.get(service, {}).items())

    def server_names(self, service: str) -> Iterator[str]:
        """Yield the names of all current and remembered former servers of a service."""
        return iter(self._revisions_by_service.get(service, ()))

    def compaction_revision(self, services: tuple[str, ...] | None) -> int:
        """Return the revision up to which removals of some services, or of any (None), are forgotten."""
        if services is None:
            return max(self.compaction_revisions.values(), default=0)
        return max((self.compaction_revisions.get(service, 0) for service in services), default=0)


def former_zones_after(before: Entry | None, entry: Entry) -> dict[str, dict[str, int]]:
    """Return where a server has been, by service and zone, with the revision at which it was there last.

    `before` is the entry as it was at its last change, None for a new one; `entry` has its new revision.
    """
    if before is None:
        return entry.former_zones
    old_service, old_zone = before.registration.tier, before.registration.zone
    new_service, new_zone = entry.registration.tier, entry.registration.zone
    if (old_service, old_zone) == (new_service, new_zone):
        return before.former_zones
    former = {service: dict(zones) for service, zones in before.former_zones.items()}
    # One that was already off the list there was announced as terminated at its own revision.
    former.setdefault(old_service, {})[old_zone] = entry.revision if before.is_listed else before.revision
    former.get(new_service, {}).pop(new_zone, None)
    return {service: zones for service, zones in former.items() if zones}
