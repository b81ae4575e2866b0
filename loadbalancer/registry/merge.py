"""What instances tell one another of a server, and how two accounts of it become one.

    ours, theirs = to_shared(entry), SharedEntry(...)
    joined = join(ours, theirs)          # the same whatever the order, and however often

Neither clock decides. A later start of the server goes before an earlier one, and a registration after a
removal (`incarnation`) before that removal. Within one generation each field joins by itself: the reported
status only goes on from serving to draining to removed; of two registrations the one of the entry that was
changed more often stands; renewals are counted, and expiry takes off the list only a server whose lease
nobody has renewed since.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from loadbalancer.registry.entries import Entry, Registration, Status

# In the order in which they replace one another.
STATUS_ORDER = (Status.IN_SERVICE, Status.TERMINATING, Status.TERMINATED)


class Generation(NamedTuple):
    """What orders two accounts of a server: the later one stands, whatever the earlier one says."""

    since_ms: float
    incarnation: int


class SharedEntry(msgspec.Struct, frozen=True, array_like=True):
    """One server as instances tell it; leases, marks and revisions are each instance's own."""

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
        """The start and the incarnation that this is an account of."""
        return Generation(self.registration.since_ms, self.incarnation)


def to_shared(entry: Entry) -> SharedEntry:
    """Return what other instances are told of an entry."""
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


def _order(account: SharedEntry) -> tuple[int, bytes]:
    return account.change_count, msgspec.json.encode((account.registration, account.is_pinned))


def join(one: SharedEntry, other: SharedEntry) -> SharedEntry:
    """Return both accounts of a server as one."""
    if one.generation != other.generation:
        return max(one, other, key=lambda account: account.generation)
    later = max(one, other, key=_order)
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
    """Return whether two accounts were made without knowing of one another: a join loses one of them."""
    is_same_age = one.generation == other.generation and one.change_count == other.change_count
    return is_same_age and _order(one) != _order(other)
