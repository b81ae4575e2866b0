"""The order in which entries were updated, for anti-entropy between instances.

An update is a change or a renewal of a lease. Each has a sequence number, valid for this incarnation only.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import xxhash

from loadbalancer.registry.entries import Entry
from loadbalancer.registry.merge import to_shared


class UpdateLog:
    """By entry: the sequence numbers of its last update and of its last change; a fingerprint of all."""

    def __init__(self) -> None:
        self.sequence = 0
        self.fingerprint = 0  # of all entries without their renewals: equal where instances agree
        self._updates: dict[str, int] = {}  # ordered by sequence number
        self._changes: dict[str, int] = {}  # ordered by revision
        self._hashes: dict[str, int] = {}

    def record_renewal(self, name: str) -> None:
        """Record that the lease of an entry was renewed."""
        self.sequence += 1
        self._updates.pop(name, None)
        self._updates[name] = self.sequence

    def record_change(self, entry: Entry) -> None:
        """Record that an entry has changed in more than its renewals."""
        self.record_renewal(entry.name)
        self._changes.pop(entry.name, None)
        self._changes[entry.name] = self.sequence
        without_renewals = msgspec.structs.replace(to_shared(entry), renewal_count=entry.is_expired)
        new_hash = xxhash.xxh3_64_intdigest(msgspec.json.encode(without_renewals))
        self.fingerprint ^= self._hashes.get(entry.name, 0) ^ new_hash
        self._hashes[entry.name] = new_hash

    def discard(self, name: str) -> None:
        """Forget an entry."""
        del self._updates[name]
        del self._changes[name]
        self.fingerprint ^= self._hashes.pop(name)

    def restore_order(self, entries: dict[str, Entry]) -> None:
        """Sort the changes by revision again after some entries were reverted to earlier ones."""
        by_revision = sorted(self._changes, key=lambda name: entries[name].revision)
        self._changes = {name: self._changes[name] for name in by_revision}

    def updated_since(self, sequence: int) -> Iterator[str]:
        """Yield the names of entries that were updated after a sequence number, the latest first."""
        for name in reversed(self._updates):
            if self._updates[name] <= sequence:
                return
            yield name

    def latest_changes(self) -> Iterator[str]:
        """Yield the names of all entries, the latest change first."""
        return reversed(self._changes)

    def sequence_of(self, name: str) -> int:
        """Return the sequence number of an entry's last update."""
        return self._updates[name]

    def change_sequence_of(self, name: str) -> int:
        """Return the sequence number of an entry's last change in more than its renewals."""
        return self._changes[name]
