"""The entries of all servers with their revisions and change order: all reads, and the base of all writes.

A watcher at a revision of a remembered incarnation resumes with a delta; a watcher at any other revision, as
of a lost database, gets a full snapshot. So a balancer never takes the list of a lost or restored database
for an older one.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from copy import copy

from loadbalancer.registry.change_index import ChangeIndex, former_zones_after
from loadbalancer.registry.changes import Change, ChangeKind
from loadbalancer.registry.entries import Entry, Rules, Status
from loadbalancer.registry.revisions import RevisionHistory, RevisionRange
from loadbalancer.registry.update_log import UpdateLog


def as_terminated(entry: Entry) -> Entry:
    """Return a terminated copy of an entry for watchers that no longer get it."""
    terminated = copy(entry)
    terminated.reported_status = Status.TERMINATED
    return terminated


class EntryTable:
    """The entries by server name. Times are Unix ms."""

    def __init__(self, rules: Rules, start_revision: int, number: int = 0, stride: int = 1) -> None:
        """Create an empty table; `start_revision` comes from `first_revision`, entries from `restore`."""
        self._rules = rules
        self.revisions = RevisionHistory(start_revision, number, stride)
        self.updates = UpdateLog()
        self.change_index = ChangeIndex()
        self.entries: dict[str, Entry] = {}
        self._committed: dict[str, Entry] = {}  # copies as of the last change

    @property
    def revision(self) -> int:
        """The revision of the latest change."""
        return self.revisions.current

    @property
    def compaction_revision(self) -> int:
        """The highest revision up to which removals of any service are forgotten."""
        return max(self.revisions.oldest, self.change_index.compaction_revision(None))

    def restore(
        self,
        entries: Iterable[Entry],
        now: float,
        incarnations: Sequence[RevisionRange] = (),
        compaction_revision: int = 0,
        compaction_revisions: Mapping[str, int] | None = None,
    ) -> None:
        """Load the entries of earlier incarnations.

        All leases start again, since renewals sent in the meantime were missed. Removals up to
        `compaction_revision`, and by service up to `compaction_revisions`, are not remembered.
        """
        for entry in sorted(entries, key=lambda entry: entry.revision):
            entry.last_renewal_ms = now
            self.entries[entry.name] = entry
            self._committed[entry.name] = copy(entry)
            self._record_change(entry)
        self.change_index.restore_order()
        self.change_index.compaction_revisions |= compaction_revisions or {}
        self.revisions.restore(incarnations, compaction_revision)
        self._compact()

    # ---- reads ----------------------------------------------------------------------------------

    def entries_of(self, tier: str) -> Iterator[Entry]:
        """Yield all remembered entries of a tier, including terminated ones."""
        entries = (self.entries[name] for name in self.change_index.server_names(tier))
        return (entry for entry in entries if entry.registration.tier == tier)

    def listed_entries(self, tier: str) -> list[Entry]:
        """Return the entries of a tier that balancers see."""
        return [entry for entry in self.entries_of(tier) if entry.is_listed]

    def has_history_since(self, revision: int, services: tuple[str, ...] | None = None) -> bool:
        """Return whether a revision was issued and all later changes of the services are remembered.

        Without `services`, check all services.
        """
        if revision < max(self.revisions.oldest, self.change_index.compaction_revision(services)):
            return False
        return self.revisions.was_issued(revision)

    def resume_watch(self, services: tuple[str, ...], after: int, now: float) -> bool:
        """Return whether a watcher of some services can resume from a revision with a delta.

        A plausible revision above the current one advances the current one past it.
        """
        if after > self.revision:
            self.revisions.advance_past(after, now)
            return False
        return self.revisions.is_own(after) and self.has_history_since(after, services)

    def changes_since(self, tier: str, after: int, now: float) -> list[Entry] | None:
        """Return the entries changed since a revision; a server that left the tier is terminated.

        Return None if a full snapshot is needed.
        """
        if not self.resume_watch((tier,), after, now):
            return None
        changed = []
        for name, revision in self.change_index.latest_changes(tier):
            if revision <= after:
                break
            entry = self.entries[name]
            changed.append(entry if entry.registration.tier == tier else as_terminated(entry))
        return changed

    def changed_since(self, revision: int) -> Iterator[Entry]:
        """Yield all entries that have changed since a revision, the latest first."""
        for name in self.updates.latest_changes():
            entry = self.entries[name]
            if entry.revision <= revision:
                return
            yield entry

    def updated_since(self, sequence: int) -> Iterator[Entry]:
        """Yield the entries that were changed or renewed since a sequence number."""
        return (self.entries[name] for name in self.updates.updated_since(sequence))

    # ---- writes ---------------------------------------------------------------------------------

    def renew_lease(self, entry: Entry, now: float, renewal_count: int | None = None) -> None:
        """Restart an entry's lease; `renewal_count` is given for a renewal at another instance."""
        entry.last_renewal_ms = now
        entry.is_preserved = False
        entry.renewal_count = entry.renewal_count + 1 if renewal_count is None else renewal_count
        self.updates.record_renewal(entry.name)

    def commit(
        self,
        entry: Entry,
        now: float,
        kind: ChangeKind,
        who: str,
        why: str,
        change_count: int | None = None,
    ) -> Change:
        """Assign the next revision to a new or changed entry; return the change for the history."""
        entry.revision = self.revisions.advance()
        entry.change_count = entry.change_count + 1 if change_count is None else change_count
        before = self._committed.get(entry.name)
        entry.former_zones = former_zones_after(before, entry)
        committed = copy(entry)
        self.entries[entry.name] = entry
        self._committed[entry.name] = committed
        self._record_change(entry)
        if not entry.is_listed:
            self._compact()
        return Change(entry.revision, now, entry.name, kind.value, who, why, committed, before)

    def revert(self, changes: Sequence[Change]) -> None:
        """Undo changes that could not be stored; their revisions are not used again."""
        for change in reversed(changes):
            if change.before is not None:
                renewed_ms = self.entries[change.name].last_renewal_ms  # a renewal is not undone
                self.change_index.discard(self.entries[change.name])
                before = copy(change.before)
                before.last_renewal_ms = max(before.last_renewal_ms, renewed_ms)
                self.entries[change.name] = before
                self._committed[change.name] = change.before
                self._record_change(before)
            elif change.name in self.entries:
                self._discard(change.name)
        self.updates.restore_order(self.entries)
        self.change_index.restore_order()

    def _record_change(self, entry: Entry) -> None:
        self.updates.record_change(entry)
        self.change_index.put(entry)

    def _compact(self) -> None:
        """Forget the oldest removed servers above the limit; watchers behind them get a full snapshot."""
        removed = [entry for entry in self.entries.values() if not entry.is_listed]
        excess = max(len(removed) - self._rules.max_tombstones, 0)
        for entry in sorted(removed, key=lambda entry: entry.revision)[:excess]:
            self._discard(entry.name, is_compaction=True)

    def _discard(self, name: str, *, is_compaction: bool = False) -> None:
        self.change_index.discard(self.entries[name], is_compaction=is_compaction)
        del self.entries[name]
        del self._committed[name]
        self.updates.discard(name)
