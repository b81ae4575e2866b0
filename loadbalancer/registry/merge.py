"""What instances tell one another of a server, and how two accounts of it become one.

    ours, theirs = share(entry), Shared(...)
    joined = join(ours, theirs)          # the same whatever the order, and however often

Neither clock decides. A later start of the server goes before an earlier one, and a registration after a
removal (`life`) before that removal. Within one life each field joins by itself: what was said only goes on
from serving to draining to removed; of two entries the one that was changed more often stands; renewals are
counted (`beats`), and a lapse takes off the list only a server whose lease nobody has renewed since.
"""

from __future__ import annotations

import msgspec

from loadbalancer.registry.entries import Entry, Registration, Status

STATUS_ORDER = (
    Status.IN_SERVICE,
    Status.TERMINATING,
    Status.TERMINATED,
)  # in the order in which they replace


class SharedEntry(msgspec.Struct, frozen=True, array_like=True):
    """One server as instances tell it; leases, marks and versions are each instance's own."""

    name: str
    registration: Registration
    reported_status: Status
    incarnation: int
    change_count: int
    renewal_count: int
    expired_at_renewal: int
    is_pinned: bool

    @property
    def generation(self) -> tuple[float, int]:
        """Which of two accounts is of a later server."""
        return self.registration.since_ms, self.incarnation


def to_shared(entry: Entry) -> SharedEntry:
    """What others are told of an entry."""
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


def _order(one: SharedEntry) -> tuple[int, bytes]:
    return one.change_count, msgspec.json.encode((one.registration, one.is_pinned))


def join(one: SharedEntry, other: SharedEntry) -> SharedEntry:
    """Both accounts of a server as one."""
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
    """Whether two accounts were made without knowing of one another: one of them is lost in the join."""
    return (
        one.generation == other.generation
        and one.change_count == other.change_count
        and _order(one) != _order(other)
    )
