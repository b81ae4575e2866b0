"""The list and its versions, as a state machine that is told the time: what may change, and who is told what.

One index grows with each change and never goes back. After a start it is above all that any watcher can have
seen (`first_revision`). Who has seen a version of a life that is remembered (`lives`) goes on from there; who
has seen another one, of a memory that was lost, gets the whole list: so neither a lost nor a restored memory
looks to today's clients like an older list. Where several instances hold the list, each counts for itself:
an index leaves the instance's number when divided by `stride`, so that a watch that comes from another
instance is known by its version, and gets the whole list at a higher one.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from copy import copy

import msgspec
import xxhash

from loadbalancer.registry.change_index import ChangeIndex, former_zones_after
from loadbalancer.registry.entries import Entry, Registration, Rules, Status
from loadbalancer.registry.merge import SharedEntry, is_conflict, join, to_shared
from loadbalancer.registry.self_preservation import SelfPreservation

MAX_CLOCK_STEP_BACK_MS = 86_400_000.0  # by so much a clock may have gone back between two lives


class WriteRejectedError(ValueError):
    """A write that changes nothing: an HTTP status, and one line that says why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Change(msgspec.Struct, frozen=True, rename={"revision": "index"}):
    """One change, as history has it."""

    revision: int
    at_ms: float
    name: str
    what: str
    who: str
    why: str
    entry: Entry
    before: Entry | None = None


def first_revision(stored: int, now_ms: float, number: int = 0, stride: int = 1) -> int:
    """An index above all that were given out: changes come at less than one a millisecond on average."""
    return _above(max(stored, int(now_ms) * stride - 1), number, stride)


def as_terminated(entry: Entry) -> Entry:
    """An entry as those see it who hold it no longer."""
    gone = copy(entry)
    gone.reported_status = Status.TERMINATED
    return gone


def _above(index: int, number: int, stride: int) -> int:
    """The first index above another one that is this instance's."""
    return index + 1 + (number - index - 1) % stride


class Catalog:
    """All servers of all tiers. Times are Unix ms."""

    def __init__(self, rules: Rules, start_index: int, number: int = 0, stride: int = 1) -> None:
        """`start_index` is from `first_revision`; entries of an earlier life come by `restore`."""
        self._rules, self._number, self._stride = rules, number, stride
        self.revision = self.oldest_revision = (
            start_index  # who has seen less than the base gets the whole list
        )
        self.change_index = ChangeIndex()  # and who has seen less than a service's own floor, of that service
        self.past_incarnations: list[
            tuple[int, int]
        ] = []  # first and last version of those before, the oldest first
        self.start_revision = start_index
        self.entries: dict[str, Entry] = {}
        self._committed: dict[str, Entry] = {}  # each as it was at its last change
        self._recent_expirations: dict[str, deque[float]] = {}  # by tier: when leases ran out
        self.expiry_suspended_until_ms: dict[str, float] = {}  # by tier: until when we doubt ourselves
        self.rejection_counts: Counter[str] = Counter()
        self.conflict_counts: Counter[str] = Counter()  # by server: accounts that were lost in a join
        self.sequence = 0  # grows with each change, renewals included
        self._sequences: dict[str, int] = {}  # when each entry moved last, in that order
        self._change_sequences: dict[
            str, int
        ] = {}  # and when in more than its beats, in the order of versions
        self._entry_hashes: dict[str, int] = {}
        self.fingerprint = 0  # of all entries but for their beats: alike where instances agree

    @property
    def compaction_revision(self) -> int:
        """The highest of the versions up to which removals of some service are forgotten."""
        return max(self.oldest_revision, self.change_index.compaction_revision(None))

    def restore(
        self,
        entries: Iterable[Entry],
        now: float,
        lives: Sequence[tuple[int, int]] = (),
        floor: int = 0,
        floors: Mapping[str, int] = {},
    ) -> None:
        """Go on with the entries of earlier lives; all leases run anew, for we were not there to hear.

        `floor` and, by service, `floors` are what they were: removals before them are not remembered.
        """
        for entry in sorted(entries, key=lambda e: e.revision):
            entry.last_renewal_ms = now
            self.entries[entry.name], self._committed[entry.name] = entry, copy(entry)
            self._record_change(entry)
        self.change_index.restore_order()
        self.change_index.compaction_revisions |= floors
        self.past_incarnations = list(lives)
        self.oldest_revision = max(floor, lives[0][0]) if lives else self.start_revision
        self._compact()

    def has_history_since(self, version: int, services: tuple[str, ...] | None = None) -> bool:
        """Whether a version was given out in a life that is remembered, and all since of some services is.

        Without `services`, of all.
        """
        if version < max(self.oldest_revision, self.change_index.compaction_revision(services)):
            return False
        if self.start_revision <= version <= self.revision:
            return True
        return any(first <= version <= last for first, last in self.past_incarnations)

    # ---- writes ---------------------------------------------------------------------------------

    def register(
        self,
        name: str,
        told: Registration,
        now: float,
        *,
        who: str = "",
        why: str = "",
        if_match: int | None = None,
    ) -> Change | None:
        """A server says what it is: a new one, a new start, or the same again, which renews its lease."""
        entry = self.entries.get(name)
        if entry is None or not entry.is_listed:
            self._check_revision(entry, if_match)
            if entry is not None:
                self._check_not_older(entry, told)
            damped = entry.damped_until_ms if entry else 0.0
            if now < damped:
                raise self._reject(
                    429, "damped", f"{name} has come and gone too often; {(damped - now) / 1_000:.0f} s more"
                )
            fresh = Entry(name=name, registration=told, last_renewal_ms=now, renewal_count=1)
            if entry is not None:
                fresh.expirations_ms, fresh.change_count = entry.expirations_ms, entry.change_count
                if entry.registration.since_ms == told.since_ms:
                    fresh.incarnation = entry.incarnation + (entry.reported_status is not Status.IN_SERVICE)
                    fresh.renewal_count, fresh.expired_at_renewal = (
                        entry.renewal_count + 1,
                        entry.expired_at_renewal,
                    )
            return self._commit(fresh, now, "registered", who, why)
        self._check_revision(entry, if_match)
        if entry.registration.owner != told.owner and not self._is_lease_over(entry, now):
            raise self._reject(
                409, "foreign", f"{name} is held by {entry.registration.owner or 'nobody named'!r}"
            )
        self._check_not_older(entry, told)
        if told.tier != entry.registration.tier:
            raise self._reject(
                409, "moved", f"{name} is of tier {entry.registration.tier!r}; remove it there first"
            )
        if told == entry.registration and entry.status is Status.IN_SERVICE:
            self._renew(entry, now)
            return None
        is_new = told.since_ms > entry.registration.since_ms
        if entry.status is Status.TERMINATING and not is_new:
            raise self._reject(409, "draining", f"{name} drains; only a new start serves again")
        if is_new:
            entry.reported_status, entry.incarnation, entry.expired_at_renewal = Status.IN_SERVICE, 0, -1
        entry.registration = told
        self._renew(entry, now)
        return self._commit(entry, now, "started anew" if is_new else "changed", who, why)

    def renew(self, name: str, since_ms: float, now: float) -> Change | None:
        """A server is still there; Refused if it is not listed, or another start of it is."""
        entry = self._require_listed(name)
        if since_ms != entry.registration.since_ms:
            raise self._reject(
                409, "stale", f"{name} started at {entry.registration.since_ms:.0f}, not {since_ms:.0f}"
            )
        self._renew(entry, now)
        return None  # balancers see no difference

    def drain(
        self, name: str, now: float, *, who: str = "", why: str = "", if_match: int | None = None
    ) -> Change | None:
        """A server is to end what it has; None if it drains already."""
        entry = self._require_listed(name)
        self._check_revision(entry, if_match)
        if entry.status is Status.TERMINATING:
            return None
        entry.reported_status = Status.TERMINATING
        return self._commit(entry, now, "drained", who, why)

    def remove(
        self, name: str, now: float, *, who: str = "", why: str = "", if_match: int | None = None
    ) -> Change:
        """A server is gone."""
        entry = self._require_listed(name)
        self._check_revision(entry, if_match)
        entry.reported_status = Status.TERMINATED
        return self._commit(entry, now, "removed", who, why)

    def set_pinned(self, name: str, pinned: bool, now: float, *, who: str = "", why: str = "") -> Change:
        """Operators hold a server on the list, or let go of it; balancers see no difference."""
        entry = self._require_listed(name)
        entry.is_pinned = pinned
        self._renew(entry, now)
        return self._commit(entry, now, "pinned" if pinned else "unpinned", who, why)

    # ---- leases ---------------------------------------------------------------------------------

    def expire_leases(self, now: float, heard: float = math.inf) -> list[Change]:
        """Look for leases that have run out, and take off the list those that we do not doubt.

        `heard` is since when all other instances' renewals are known here. While one is out of reach, whose
        lease ran out after that may have renewed there: it stays, marked.
        """
        over = [e for e in self.entries.values() if self._is_lease_over(e, now) and not e.is_pinned]
        for entry in over:
            entry.is_preserved = entry.is_preserved or entry.lease_expiry_ms >= heard
        over = [e for e in over if e.lease_expiry_ms < heard]
        changes: list[Change] = []
        for entry in over:
            if not entry.is_preserved:
                self._recent_expirations.setdefault(entry.registration.tier, deque()).append(now)
        for tier in {e.registration.tier for e in over}:
            self._detect_mass_expiry(tier, now)
        floors: dict[str, SelfPreservation] = {}
        for entry in over:
            tier = entry.registration.tier
            settles = now <= entry.lease_expiry_ms + self._rules.settle_ms
            if tier not in floors:
                floors[tier] = SelfPreservation(self.entries_of(tier), self._rules, now)
            stays = (
                settles
                or self.expiry_suspended_until_ms.get(tier, 0.0) > now
                or floors[tier].must_keep(entry)
            )
            floors[tier].record_expiry(entry)
            if stays:
                entry.is_preserved = True
                continue
            entry.is_preserved, entry.expired_at_renewal = False, entry.renewal_count
            entry.expirations_ms = [
                at for at in entry.expirations_ms if at > now - self._rules.flapping_window_ms
            ] + [now]
            if len(entry.expirations_ms) >= self._rules.max_expirations:
                entry.damped_until_ms = now + self._rules.damping_ms
            changes.append(self._commit(entry, now, "lapsed", "the list", "its lease has run out"))
        return changes

    def _detect_mass_expiry(self, tier: str, now: float) -> None:
        rules, recent = self._rules, self._recent_expirations.setdefault(tier, deque())
        while recent and recent[0] < now - rules.mass_expiry_window_ms:
            recent.popleft()
        count = len(self.listed_entries(tier))
        if len(recent) > max(rules.mass_expiry_ratio * count, 1.0):
            self.expiry_suspended_until_ms[tier] = now + rules.mass_expiry_window_ms

    def _is_lease_over(self, entry: Entry, now: float) -> bool:
        return entry.is_listed and now > entry.lease_expiry_ms

    # ---- reads ----------------------------------------------------------------------------------

    def listed_entries(self, tier: str) -> list[Entry]:
        """All that are listed of a tier."""
        return [e for e in self.entries_of(tier) if e.is_listed]

    def entries_of(self, tier: str) -> Iterator[Entry]:
        """Yield all remembered entries of a tier, terminated ones too."""
        entries = (self.entries[name] for name in self.change_index.server_names(tier))
        return (e for e in entries if e.registration.tier == tier)

    def changes_since(self, tier: str, after: int, now: float) -> list[Entry] | None:
        """What has changed since a version, a server that has left the tier for another as ended.

        None if only the whole list can tell.
        """
        if not self.resume_watch((tier,), after, now):
            return None
        changed = []
        for name, version in self.change_index.latest_changes(tier):
            if version <= after:
                break
            entry = self.entries[name]
            changed.append(entry if entry.registration.tier == tier else as_terminated(entry))
        return changed

    def resume_watch(self, services: tuple[str, ...], after: int, now: float) -> bool:
        """Whether who has seen a version of some services can be told what changed since.

        A watcher that has seen more than there is comes from another instance, or from before a memory was
        lost and a clock that went back: the index goes above it, if any index of ours could be so high.
        """
        foreign = after % self._stride != self._number
        if after > self.revision:
            if after <= (now + MAX_CLOCK_STEP_BACK_MS) * self._stride:
                self.revision = _above(after, self._number, self._stride)
                if not foreign:  # what is between was given out by nobody we know
                    self.oldest_revision = self.start_revision = self.revision
            return False
        return not foreign and self.has_history_since(after, services)

    def changed_since(self, index: int) -> Iterator[Entry]:
        """All that have changed since a version, the latest first."""
        for name in reversed(self._change_sequences):
            entry = self.entries[name]
            if entry.revision <= index:
                return
            yield entry

    # ---- other instances ------------------------------------------------------------------------

    def updated_since(self, moved: int) -> Iterator[Entry]:
        """The entries that have moved since, the latest first."""
        for name in reversed(self._sequences):
            if self._sequences[name] <= moved:
                return
            yield self.entries[name]

    def sequence_of(self, name: str) -> int:
        """The count at which an entry moved last."""
        return self._sequences[name]

    def change_sequence_of(self, name: str) -> int:
        """The count at which an entry changed last in more than its beats."""
        return self._change_sequences[name]

    def merge_renewals(self, name: str, start: tuple[float, int], beats: int, now: float) -> Change | None:
        """Another instance has heard renewals of a server that we know, too; else its whole entry comes."""
        entry = self.entries.get(name)
        if (
            entry is None
            or (entry.registration.since_ms, entry.incarnation) != start
            or beats <= entry.renewal_count
        ):
            return None
        was_lapsed = entry.is_expired
        self._renew(entry, now, beats)
        return self._commit(entry, now, "renewed elsewhere", "the list", "") if was_lapsed else None

    def merge(self, theirs: SharedEntry, now: float, who: str) -> Change | None:
        """Take another instance's account of a server; a change if balancers, or the file, must know."""
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
        if (
            joined == msgspec.structs.replace(ours, renewal_count=joined.renewal_count)
            and not entry.is_expired
        ):
            self._renew(entry, now, joined.renewal_count)
            return None
        if is_renewed:
            entry.last_renewal_ms, entry.is_preserved = now, False
        return self._adopt(entry, joined, now, who)

    def _adopt(self, entry: Entry, account: SharedEntry, now: float, who: str) -> Change:
        entry.registration, entry.reported_status, entry.incarnation = (
            account.registration,
            account.reported_status,
            account.incarnation,
        )
        entry.renewal_count, entry.expired_at_renewal, entry.is_pinned = (
            account.renewal_count,
            account.expired_at_renewal,
            account.is_pinned,
        )
        return self._commit(entry, now, "told by another instance", who, "", rev=account.change_count)

    # ---- what writes have in common -------------------------------------------------------------

    def _renew(self, entry: Entry, now: float, beats: int | None = None) -> None:
        """Its lease was renewed, here or elsewhere."""
        entry.last_renewal_ms, entry.is_preserved = now, False
        entry.renewal_count = entry.renewal_count + 1 if beats is None else beats
        self._record_update(entry.name)

    def _record_update(self, name: str) -> None:
        self.sequence += 1
        self._sequences.pop(name, None)
        self._sequences[name] = self.sequence

    def _record_change(self, entry: Entry) -> None:
        """An entry has changed in more than its beats."""
        self._record_update(entry.name)
        self._change_sequences.pop(entry.name, None)
        self._change_sequences[entry.name] = self.sequence
        self.change_index.put(entry)
        plain = msgspec.structs.replace(to_shared(entry), renewal_count=entry.is_expired)
        new = xxhash.xxh3_64_intdigest(msgspec.json.encode(plain))
        self.fingerprint ^= self._entry_hashes.get(entry.name, 0) ^ new
        self._entry_hashes[entry.name] = new

    def _discard(self, name: str, *, buried: bool = False) -> None:
        self.change_index.discard(self.entries[name], buried=buried)
        for known in (self.entries, self._committed, self._sequences, self._change_sequences):
            del known[name]
        self.fingerprint ^= self._entry_hashes.pop(name)

    def _commit(
        self, entry: Entry, now: float, what: str, who: str, why: str, rev: int | None = None
    ) -> Change:
        self.revision += self._stride
        entry.revision, entry.change_count = self.revision, entry.change_count + 1 if rev is None else rev
        before = self._committed.get(entry.name)
        entry.former_zones = former_zones_after(before, entry)
        self.entries[entry.name] = entry
        self._committed[entry.name] = kept = copy(entry)
        self._record_change(entry)
        if not entry.is_listed:
            self._compact()
        return Change(self.revision, now, entry.name, what, who, why, kept, before)

    def revert(self, changes: Sequence[Change]) -> None:
        """Changes that could not be kept have not been made; their versions stay unused."""
        for change in reversed(changes):
            if change.before is not None:
                renewed = self.entries[change.name].last_renewal_ms  # that it was renewed remains true
                self.change_index.discard(self.entries[change.name])
                self.entries[change.name] = before = copy(change.before)
                before.last_renewal_ms = max(before.last_renewal_ms, renewed)
                self._committed[change.name] = change.before
                self._record_change(before)
            elif change.name in self.entries:
                self._discard(change.name)
        by_version = sorted(self._change_sequences, key=lambda name: self.entries[name].revision)
        self._change_sequences = {
            name: self._change_sequences[name] for name in by_version
        }  # old versions are back
        self.change_index.restore_order()

    def _compact(self) -> None:
        """Forget the removed that are too many; who has not heard of them gets the whole list."""
        gone = [e for e in self.entries.values() if not e.is_listed]
        for entry in sorted(gone, key=lambda e: e.revision)[: max(len(gone) - self._rules.max_tombstones, 0)]:
            self._discard(entry.name, buried=True)

    def _require_listed(self, name: str) -> Entry:
        entry = self.entries.get(name)
        if entry is None or not entry.is_listed:
            raise self._reject(404, "unknown", f"no server {name!r} is listed")
        return entry

    def _check_revision(self, entry: Entry | None, if_match: int | None) -> None:
        index = entry.revision if entry else 0
        if if_match is not None and if_match != index:
            raise self._reject(412, "overrun", f"it is at version {index}, not {if_match}: read it again")

    def _check_not_older(self, entry: Entry, told: Registration) -> None:
        if told.since_ms < entry.registration.since_ms:
            raise self._reject(
                409,
                "older",
                f"{entry.name} started at {entry.registration.since_ms:.0f}; {told.since_ms:.0f} is earlier",
            )

    def _reject(self, status: int, cause: str, why: str) -> WriteRejectedError:
        self.rejection_counts[cause] += 1
        return WriteRejectedError(status, why)
