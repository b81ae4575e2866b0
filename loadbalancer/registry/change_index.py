"""Which servers each service has, and has had, in the order in which its watches must hear of them.

    places = Places()
    places.put(entry)                    # after each change; also where it has left one service for another
    for name, version in places.latest("orders"): ...

A service is what a registration calls its `tier`. A change of one service costs the others nothing.
"""

from __future__ import annotations

from collections.abc import Iterator

from loadbalancer.registry.entries import Entry

LEFT_MOST = 8  # services that a server is remembered to have left; who has seen it in others gets the whole


class ChangeIndex:
    """By service: its servers' names, with the version at which each changed there last."""

    def __init__(self) -> None:
        self._by: dict[str, dict[str, int]] = {}
        self.floors: dict[str, int] = {}  # by service: up to where removals are forgotten
        self.stamps: dict[str, int] = {}  # by service: grows with each change of it

    def put(self, entry: Entry) -> None:
        """A server has changed; the oldest of too many places that it left are forgotten."""
        while len(entry.left) > LEFT_MOST:
            service = min(entry.left, key=lambda left: max(entry.left[left].values()))
            self.floors[service] = max(self.floors.get(service, 0), *entry.left.pop(service).values())
            self._by.get(service, {}).pop(entry.name, None)
        self._note(entry.told.tier, entry.name, entry.index)
        for service, zones in entry.left.items():
            if service != entry.told.tier:
                self._note(service, entry.name, max(zones.values()))

    def _note(self, service: str, name: str, version: int) -> None:
        known = self._by.setdefault(service, {})
        if known.get(name) != version:
            known.pop(name, None)
            known[name] = version
            self.stamps[service] = self.stamps.get(service, 0) + 1

    def forget(self, entry: Entry, *, buried: bool = False) -> None:
        """A server is not remembered any more; if it is `buried`, watches that are behind get the whole."""
        for service in {entry.told.tier, *entry.left}:
            known = self._by.get(service, {})
            version = known.pop(entry.name, 0)
            self.stamps[service] = self.stamps.get(service, 0) + 1
            if buried:
                self.floors[service] = max(self.floors.get(service, 0), version)
            if not known:
                self._by.pop(service, None)

    def sort(self) -> None:
        """Put all in the order of versions again, after some have gone back."""
        for service, known in self._by.items():
            self._by[service] = dict(sorted(known.items(), key=lambda item: item[1]))

    def latest(self, service: str) -> Iterator[tuple[str, int]]:
        """Names and versions, the latest change first."""
        return reversed(self._by.get(service, {}).items())

    def names(self, service: str) -> Iterator[str]:
        """All that the service has or has had and that are remembered."""
        return iter(self._by.get(service, ()))

    def floor(self, services: tuple[str, ...] | None) -> int:
        """The version up to which removals of some services, or of any, are forgotten."""
        if services is None:
            return max(self.floors.values(), default=0)
        return max((self.floors.get(service, 0) for service in services), default=0)


def left_by(before: Entry | None, entry: Entry) -> dict[str, dict[str, int]]:
    """Where a server has been, by service and zone, and the version at which it was there last.

    `before` is the entry as it was at its last change, None for a new one; `entry` bears its new version.
    """
    if before is None:
        return entry.left
    old, new = (before.told.tier, before.told.zone), (entry.told.tier, entry.told.zone)
    if old == new:
        return before.left
    left = {service: dict(zones) for service, zones in before.left.items()}
    # One that had ended there was told as ended at its own version.
    left.setdefault(old[0], {})[old[1]] = entry.index if before.is_listed else before.index
    left.get(new[0], {}).pop(new[1], None)
    return {service: zones for service, zones in left.items() if zones}
