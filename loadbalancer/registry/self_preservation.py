"""Decides which servers stay listed so that expiry leaves enough of each zone and group of a tier.

    self_preservation = SelfPreservation(entries_of_the_tier, rules, now)
    if self_preservation.must_keep(entry): ...   # without it, its zone or group would have too few
    self_preservation.record_expiry(entry)       # it expires or is preserved: it is no longer healthy

Servers are counted once per check of the leases. Counting again for each overdue lease took quadratic time
while a zone was silent: its entries don't expire then, so all of them are checked again four times a second.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from loadbalancer.registry.entries import Entry, Rules, Status

Partition = tuple[str, str | int]
"""A zone or a group: the kind, and its name or number."""


class SelfPreservation:
    """The numbers of all servers and of healthy ones in each zone and group of a tier.

    Servers that expired within `Rules.self_preservation_window_ms` are counted, too. Times are Unix ms.
    """

    def __init__(self, entries: Iterable[Entry], rules: Rules, now: float) -> None:
        """Count `entries`: all remembered entries of the tier, before any of them expires."""
        self._threshold = rules.self_preservation_threshold
        self._counts: dict[Partition, int] = {}
        self._healthy_counts: dict[Partition, int] = {}
        window_start_ms = now - rules.self_preservation_window_ms
        for entry in entries:
            expired_recently = entry.is_expired and _expired_ms(entry) > window_start_ms
            if not (entry.is_listed or expired_recently):
                continue
            is_healthy = _is_healthy(entry)
            for partition in _partitions(entry):
                self._counts[partition] = self._counts.get(partition, 0) + 1
                self._healthy_counts[partition] = self._healthy_counts.get(partition, 0) + is_healthy

    def must_keep(self, entry: Entry) -> bool:
        """Return whether its zone or group has others, and without it would have too few healthy ones."""
        own_contribution = _is_healthy(entry)
        return any(
            (count := self._counts[partition]) > 1
            and self._healthy_counts[partition] - own_contribution < self._threshold * count
            for partition in _partitions(entry)
        )

    def record_expiry(self, entry: Entry) -> None:
        """Stop counting an entry as healthy; call this before it expires or is marked as preserved."""
        if _is_healthy(entry):
            for partition in _partitions(entry):
                self._healthy_counts[partition] -= 1


def _partitions(entry: Entry) -> Iterator[Partition]:
    yield "zone", entry.registration.zone
    yield "group", entry.registration.group


def _expired_ms(entry: Entry) -> float:
    """Return when a lease expired; if that is only known from another instance, when it ran out here."""
    return entry.expirations_ms[-1] if entry.expirations_ms else entry.lease_expiry_ms


def _is_healthy(entry: Entry) -> bool:
    return entry.status is Status.IN_SERVICE and not entry.is_preserved
