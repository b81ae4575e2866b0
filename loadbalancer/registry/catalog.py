"""The registry's state machine: writes by servers and operators, lease expiry and other instances' accounts.

It does no I/O and is given the time with each call. What all writes share, and all reads, are in
`entry_table`; which leases expire is decided in `lease_expiry`.
"""

from __future__ import annotations

import math
from collections import Counter

import msgspec

from loadbalancer.registry.changes import Change, ChangeKind, RejectionCause
from loadbalancer.registry.entries import Entry, Registration, Rules, Status
from loadbalancer.registry.entry_table import EntryTable
from loadbalancer.registry.lease_expiry import REGISTRY_ACTOR, LeaseExpiry
from loadbalancer.registry.merge import Generation, SharedEntry, is_conflict, join, to_shared
from loadbalancer.registry.write_checks import WriteChecks


class Catalog(EntryTable):
    """All servers of all tiers. Times are Unix ms.

    Writes raise `WriteRejectedError` and change nothing if they can't be made. `who` and `why` go into the
    history; with `if_match` a write is made only if the entry is still at that revision (0: not there).
    """

    def __init__(self, rules: Rules, start_revision: int, number: int = 0, stride: int = 1) -> None:
        """Begin without entries; `start_revision` is from `first_revision`, earlier entries by `restore`."""
        super().__init__(rules, start_revision, number, stride)
        self._lease_expiry = LeaseExpiry(self, rules)
        self._checks = WriteChecks()
        self.conflict_counts: Counter[str] = Counter()  # by server: accounts that were lost in a join

    @property
    def expiry_suspended_until_ms(self) -> dict[str, float]:
        """By tier: until when no lease expires, since too many ran out at once."""
        return self._lease_expiry.suspended_until_ms

    @property
    def rejection_counts(self) -> Counter[RejectionCause]:
        """By cause: how many writes were rejected."""
        return self._checks.rejection_counts

    # ---- writes of servers and operators --------------------------------------------------------

    def register(
        self,
        name: str,
        registration: Registration,
        now: float,
        *,
        who: str = "",
        why: str = "",
        if_match: int | None = None,
    ) -> Change | None:
        """Register a server, a new start or a changed one; None if it only renewed its lease."""
        entry = self.entries.get(name)
        self._checks.check_revision(entry, if_match)
        if entry is None or not entry.is_listed:
            return self.commit(
                self._new_entry(name, registration, entry, now), now, ChangeKind.REGISTERED, who, why
            )
        self._checks.check_may_replace(entry, registration, now)
        if registration == entry.registration and entry.status is Status.IN_SERVICE:
            self.renew_lease(entry, now)
            return None
        is_new_start = registration.since_ms > entry.registration.since_ms
        if entry.status is Status.TERMINATING and not is_new_start:
            raise self._checks.rejection(
                409, RejectionCause.DRAINING, f"{name} drains; only a new start serves again"
            )
        if is_new_start:
            entry.reported_status = Status.IN_SERVICE
            entry.incarnation = 0
            entry.expired_at_renewal = -1
        entry.registration = registration
        self.renew_lease(entry, now)
        return self.commit(entry, now, ChangeKind.RESTARTED if is_new_start else ChangeKind.UPDATED, who, why)

    def _new_entry(self, name: str, registration: Registration, former: Entry | None, now: float) -> Entry:
        """Return an entry for a server that is not listed; `former` is what is remembered of it."""
        entry = Entry(name=name, registration=registration, last_renewal_ms=now, renewal_count=1)
        if former is None:
            return entry
        self._checks.check_not_older(former, registration)
        damped_ms = former.damped_until_ms - now
        if damped_ms > 0:
            raise self._checks.rejection(
                429,
                RejectionCause.FLAPPING,
                f"{name} has come and gone too often; {damped_ms / 1_000:.0f} s more",
            )
        entry.expirations_ms = former.expirations_ms
        entry.change_count = former.change_count
        if former.registration.since_ms == registration.since_ms:
            entry.incarnation = former.incarnation + (former.reported_status is not Status.IN_SERVICE)
            entry.renewal_count = former.renewal_count + 1
            entry.expired_at_renewal = former.expired_at_renewal
        return entry

    def renew(self, name: str, since_ms: float, now: float) -> Change | None:
        """Renew the lease of a server's start; always None, since balancers see no difference."""
        entry = self._checks.require_listed(self.entries.get(name), name)
        if since_ms != entry.registration.since_ms:
            raise self._checks.rejection(
                409,
                RejectionCause.STALE_LEASE,
                f"{name} started at {entry.registration.since_ms:.0f}, not {since_ms:.0f}",
            )
        self.renew_lease(entry, now)
        return None

    def drain(
        self, name: str, now: float, *, who: str = "", why: str = "", if_match: int | None = None
    ) -> Change | None:
        """Let a server end the requests that it has; None if it drains already."""
        entry = self._checks.require_listed(self.entries.get(name), name)
        self._checks.check_revision(entry, if_match)
        if entry.status is Status.TERMINATING:
            return None
        entry.reported_status = Status.TERMINATING
        return self.commit(entry, now, ChangeKind.DRAINED, who, why)

    def remove(
        self, name: str, now: float, *, who: str = "", why: str = "", if_match: int | None = None
    ) -> Change:
        """Take a server off the list."""
        entry = self._checks.require_listed(self.entries.get(name), name)
        self._checks.check_revision(entry, if_match)
        entry.reported_status = Status.TERMINATED
        return self.commit(entry, now, ChangeKind.REMOVED, who, why)

    def set_pinned(self, name: str, now: float, *, is_pinned: bool, who: str = "", why: str = "") -> Change:
        """Keep a server on the list whatever becomes of its lease, or end that; balancers see nothing."""
        entry = self._checks.require_listed(self.entries.get(name), name)
        entry.is_pinned = is_pinned
        self.renew_lease(entry, now)
        return self.commit(entry, now, ChangeKind.PINNED if is_pinned else ChangeKind.UNPINNED, who, why)

    def expire_leases(self, now: float, peers_complete_as_of_ms: float = math.inf) -> list[Change]:
        """Take servers off the list whose leases have run out: see `LeaseExpiry.expire`."""
        return self._lease_expiry.expire(now, peers_complete_as_of_ms)

    # ---- accounts of other instances ------------------------------------------------------------

    def merge_renewals(
        self, name: str, generation: Generation, renewal_count: int, now: float
    ) -> Change | None:
        """Take renewals that another instance has heard; a change if an expired server is listed again.

        Those of a server that is not known, or of another start of it, are ignored: its whole entry comes.
        """
        entry = self.entries.get(name)
        if entry is None or renewal_count <= entry.renewal_count:
            return None
        if (entry.registration.since_ms, entry.incarnation) != generation:
            return None
        was_expired = entry.is_expired
        self.renew_lease(entry, now, renewal_count)
        if not was_expired:
            return None
        return self.commit(entry, now, ChangeKind.RENEWED_AT_PEER, REGISTRY_ACTOR, "")

    def merge(self, theirs: SharedEntry, now: float, who: str) -> Change | None:
        """Join another instance's account of a server; a change if balancers, or the file, must know."""
        entry = self.entries.get(theirs.name)
        if entry is None:
            entry = Entry(name=theirs.name, registration=theirs.registration, last_renewal_ms=now)
            return self._adopt(entry, theirs, now, who)
        ours = to_shared(entry)
        if is_conflict(ours, theirs):
            self.conflict_counts[theirs.name] += 1
        joined = join(ours, theirs)
        if joined == ours:
            return None
        is_renewed = joined.generation != ours.generation or joined.renewal_count > ours.renewal_count
        only_renewed = joined == msgspec.structs.replace(ours, renewal_count=joined.renewal_count)
        if only_renewed and not entry.is_expired:
            self.renew_lease(entry, now, joined.renewal_count)
            return None
        if is_renewed:
            entry.last_renewal_ms = now
            entry.is_preserved = False
        return self._adopt(entry, joined, now, who)

    def _adopt(self, entry: Entry, account: SharedEntry, now: float, who: str) -> Change:
        entry.registration = account.registration
        entry.reported_status = account.reported_status
        entry.incarnation = account.incarnation
        entry.renewal_count = account.renewal_count
        entry.expired_at_renewal = account.expired_at_renewal
        entry.is_pinned = account.is_pinned
        return self.commit(
            entry, now, ChangeKind.MERGED_FROM_PEER, who, "", change_count=account.change_count
        )
