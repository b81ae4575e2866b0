"""Which servers must stay listed so that expiry leaves enough of each zone and each group of a tier.

    self_preservation = SelfPreservation(entries_of_the_tier, rules, now)
    if self_preservation.must_keep(entry): ...   # without it, its zone or its group would have too few
    self_preservation.record_expiry(entry)       # it expires, or stays marked: it is healthy no more

All are counted once for one check of the leases. Counting anew for each lease that has run out cost the
square of the servers while a zone was silent: no entry of it expires then, so that all of them are checked
again, four times a second.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from loadbalancer.registry.entries import Entry, Rules, Status

Partition = tuple[str, str | int]
"""A zone or a group: which of the two, and its name or number."""


class SelfPreservation:
    """The servers of one tier by zone and by group: how many count there, and how many are healthy.

    Those that expired within `Rules.self_preservation_window_ms` count, too. Times are Unix ms.
    """

    def __init__(self, entries: Iterable[Entry], rules: Rules, now: float) -> None:
        """`entries` are all that are remembered of the tier, as they are before any expires."""
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
        """Return whether a zone or group of it has others, and would be left with too few healthy ones."""
        itself = _is_healthy(entry)
        return any(
            (count := self._counts[partition]) > 1
            and self._healthy_counts[partition] - itself < self._threshold * count
            for partition in _partitions(entry)
        )

    def record_expiry(self, entry: Entry) -> None:
        """Count an entry, as it still is, as healthy no more: it is to expire or to be marked."""
        if _is_healthy(entry):
            for partition in _partitions(entry):
                self._healthy_counts[partition] -= 1


def _partitions(entry: Entry) -> Iterator[Partition]:
    yield "zone", entry.registration.zone
    yield "group", entry.registration.group


def _expired_ms(entry: Entry) -> float:
    """Return when a lease expired; if another instance only told that it has, when it ran out here."""
    return entry.expirations_ms[-1] if entry.expirations_ms else entry.lease_expiry_ms


def _is_healthy(entry: Entry) -> bool:
    return entry.status is Status.IN_SERVICE and not entry.is_preserved
