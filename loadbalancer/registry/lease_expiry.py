"""Decides which leases that ran out take their servers off the list.

A lease that ran out is a guess. Where many run out together the registry takes the fault for its own and
suspends expiry (`Rules.mass_expiry_ratio`); otherwise self-preservation keeps enough of each zone and group.
"""

from __future__ import annotations

from collections import deque

from loadbalancer.registry.changes import Change, ChangeKind
from loadbalancer.registry.entries import Entry, Rules
from loadbalancer.registry.entry_table import EntryTable
from loadbalancer.registry.self_preservation import SelfPreservation

REGISTRY_ACTOR = "the list"  # who made a change that nobody asked for, in the history


def is_lease_over(entry: Entry, now: float) -> bool:
    """Return whether a listed entry's lease has run out."""
    return entry.is_listed and now > entry.lease_expiry_ms


class LeaseExpiry:
    """Expires leases of one table. Times are Unix ms."""

    def __init__(self, table: EntryTable, rules: Rules) -> None:
        self._table = table
        self._rules = rules
        self._recent_expirations: dict[str, deque[float]] = {}  # by tier: when leases ran out
        self.suspended_until_ms: dict[str, float] = {}  # by tier

    def expire(self, now: float, peers_complete_as_of_ms: float) -> list[Change]:
        """Remove servers whose leases have run out, or mark those that must stay as preserved.

        All renewals at other instances up to `peers_complete_as_of_ms` are known here. While one is
        unreachable, a server whose lease ran out later may have renewed there: it is preserved.
        """
        over = self._leases_over(now, peers_complete_as_of_ms)
        for entry in over:
            if not entry.is_preserved:
                self._recent_expirations.setdefault(entry.registration.tier, deque()).append(now)
        for tier in {entry.registration.tier for entry in over}:
            self._detect_mass_expiry(tier, now)
        self_preservations: dict[str, SelfPreservation] = {}
        changes: list[Change] = []
        for entry in over:
            tier = entry.registration.tier
            if tier not in self_preservations:
                entries = self._table.entries_of(tier)
                self_preservations[tier] = SelfPreservation(entries, self._rules, now)
            must_stay = self._must_stay(entry, self_preservations[tier], now)
            self_preservations[tier].record_expiry(entry)
            if must_stay:
                entry.is_preserved = True
            else:
                changes.append(self._remove(entry, now))
        return changes

    def _leases_over(self, now: float, peers_complete_as_of_ms: float) -> list[Entry]:
        entries = self._table.entries.values()
        over = [entry for entry in entries if is_lease_over(entry, now) and not entry.is_pinned]
        for entry in over:
            entry.is_preserved = entry.is_preserved or entry.lease_expiry_ms >= peers_complete_as_of_ms
        return [entry for entry in over if entry.lease_expiry_ms < peers_complete_as_of_ms]

    def _detect_mass_expiry(self, tier: str, now: float) -> None:
        """Suspend expiry in a tier where too many leases have run out within the window."""
        rules = self._rules
        recent = self._recent_expirations.setdefault(tier, deque())
        while recent and recent[0] < now - rules.mass_expiry_window_ms:
            recent.popleft()
        listed_count = len(self._table.listed_entries(tier))
        if len(recent) > max(rules.mass_expiry_ratio * listed_count, 1.0):
            self.suspended_until_ms[tier] = now + rules.mass_expiry_window_ms

    def _must_stay(self, entry: Entry, self_preservation: SelfPreservation, now: float) -> bool:
        is_settling = now <= entry.lease_expiry_ms + self._rules.settle_ms
        is_suspended = self.suspended_until_ms.get(entry.registration.tier, 0.0) > now
        return is_settling or is_suspended or self_preservation.must_keep(entry)

    def _remove(self, entry: Entry, now: float) -> Change:
        entry.is_preserved = False
        entry.expired_at_renewal = entry.renewal_count
        earliest_ms = now - self._rules.flapping_window_ms
        entry.expirations_ms = [*(at_ms for at_ms in entry.expirations_ms if at_ms > earliest_ms), now]
        if len(entry.expirations_ms) >= self._rules.max_expirations:
            entry.damped_until_ms = now + self._rules.damping_ms
        return self._table.commit(entry, now, ChangeKind.EXPIRED, REGISTRY_ACTOR, "its lease has run out")
