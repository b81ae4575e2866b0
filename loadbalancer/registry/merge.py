"""The record of a server that instances exchange, and the join of two such records.

    ours, theirs = to_shared(entry), SharedEntry(...)
    joined = join(ours, theirs)          # commutative, associative and idempotent

No instance's clock decides. A later start of the server wins over an earlier one, and a registration after a
removal (`incarnation`) over that removal. Within one generation each field joins by itself: the reported
status only advances from serving to draining to removed; of two registrations, that of the entry with more
changes wins; renewals are counted, and expiry takes a server off the list only if no instance has had its
lease renewed since.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from loadbalancer.registry.entries import Entry, Registration, Status

# Each supersedes those before it.
STATUS_ORDER = (Status.IN_SERVICE, Status.TERMINATING, Status.TERMINATED)


class Generation(NamedTuple):
    """The order of two records of a server: the later one wins, whatever the earlier one says."""

    since_ms: float
    incarnation: int


class SharedEntry(msgspec.Struct, frozen=True, array_like=True):
    """One server as instances exchange it; leases, marks and revisions are local to each instance."""

    name: str
    registration: Registration
    reported_status: Status
    incarnation: int
    change_count: int
    renewal_count: int
    expired_at_renewal: int
    is_pinned: bool

    @property
    def generation(self) -> Generation:
        """The start and the incarnation that this is a record of."""
        return Generation(self.registration.since_ms, self.incarnation)


def to_shared(entry: Entry) -> SharedEntry:
    """Return the record of an entry for other instances."""
    return SharedEntry(
        entry.name,
        entry.registration,
        entry.reported_status,
        entry.incarnation,
        entry.change_count,
        entry.renewal_count,
        entry.expired_at_renewal,
        entry.is_pinned,
    )


def _precedence(record: SharedEntry) -> tuple[int, bytes]:
    return record.change_count, msgspec.json.encode((record.registration, record.is_pinned))


def join(one: SharedEntry, other: SharedEntry) -> SharedEntry:
    """Join two records of a server."""
    if one.generation != other.generation:
        return max(one, other, key=lambda record: record.generation)
    later = max(one, other, key=_precedence)
    return SharedEntry(
        one.name,
        later.registration,
        max(one.reported_status, other.reported_status, key=STATUS_ORDER.index),
        one.incarnation,
        later.change_count,
        max(one.renewal_count, other.renewal_count),
        max(one.expired_at_renewal, other.expired_at_renewal),
        later.is_pinned,
    )


def is_conflict(one: SharedEntry, other: SharedEntry) -> bool:
    """Return whether two records come from concurrent changes, of which a join loses one."""
    is_same_version = one.generation == other.generation and one.change_count == other.change_count
    return is_same_version and _precedence(one) != _precedence(other)
