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
from dataclasses import dataclass

import msgspec
import xxhash

from loadbalancer.registry.change_index import ChangeIndex, left_by
from loadbalancer.registry.entries import Entry, Registration, Rules, Status
from loadbalancer.registry.merge import SharedEntry, disagree, join, share
from loadbalancer.registry.self_preservation import SelfPreservation

CLOCKS_DIFFER_MS = 86_400_000.0  # by so much a clock may have gone back between two lives


class WriteRejectedError(ValueError):
    """A write that changes nothing: an HTTP status, and one line that says why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class Change:
    """One change, as history has it."""

    index: int
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


def ended(entry: Entry) -> Entry:
    """An entry as those see it who hold it no longer."""
    gone = copy(entry)
    gone.said = Status.TERMINATED
    return gone


def _above(index: int, number: int, stride: int) -> int:
    """The first index above another one that is this instance's."""
    return index + 1 + (number - index - 1) % stride


class Catalog:
    """All servers of all tiers. Times are Unix ms."""

    def __init__(self, rules: Rules, start_index: int, number: int = 0, stride: int = 1) -> None:
        """`start_index` is from `first_revision`; entries of an earlier life come by `restore`."""
        self._rules, self._number, self._stride = rules, number, stride
        self.index = self.base = start_index  # who has seen less than the base gets the whole list
        self.places = ChangeIndex()  # and who has seen less than a service's own floor, of that service
        self.lives: list[tuple[int, int]] = []  # first and last version of those before, the oldest first
        self.first = start_index
        self.entries: dict[str, Entry] = {}
        self._kept: dict[str, Entry] = {}  # each as it was at its last change
        self._lapses: dict[str, deque[float]] = {}  # by tier: when leases ran out
        self.doubts: dict[str, float] = {}  # by tier: until when we doubt ourselves
        self.refused: Counter[str] = Counter()
        self.disagreed: Counter[str] = Counter()  # by server: accounts that were lost in a join
        self.moved = 0  # grows with each change, renewals included
        self._moves: dict[str, int] = {}  # when each entry moved last, in that order
        self._changed: dict[str, int] = {}  # and when in more than its beats, in the order of versions
        self._prints: dict[str, int] = {}
        self.fingerprint = 0  # of all entries but for their beats: alike where instances agree

    @property
    def floor(self) -> int:
        """The highest of the versions up to which removals of some service are forgotten."""
        return max(self.base, self.places.floor(None))

    def restore(
        self, entries: Iterable[Entry], now: float, lives: Sequence[tuple[int, int]] = (), floor: int = 0,
        floors: Mapping[str, int] = {},
    ) -> None:  # fmt: skip
        """Go on with the entries of earlier lives; all leases run anew, for we were not there to hear.

        `floor` and, by service, `floors` are what they were: removals before them are not remembered.
        """
        for entry in sorted(entries, key=lambda e: e.index):
            entry.renewed_ms = now
            self.entries[entry.name], self._kept[entry.name] = entry, copy(entry)
            self._touch(entry)
        self.places.sort()
        self.places.floors |= floors
        self.lives = list(lives)
        self.base = max(floor, lives[0][0]) if lives else self.first
        self._bury()

    def knows(self, version: int, services: tuple[str, ...] | None = None) -> bool:
        """Whether a version was given out in a life that is remembered, and all since of some services is.

        Without `services`, of all.
        """
        if version < max(self.base, self.places.floor(services)):
            return False
        if self.first <= version <= self.index:
            return True
        return any(first <= version <= last for first, last in self.lives)

    # ---- writes ---------------------------------------------------------------------------------

    def register(
        self, name: str, told: Registration, now: float, *, who: str = "", why: str = "",
        if_match: int | None = None,
    ) -> Change | None:  # fmt: skip
        """A server says what it is: a new one, a new start, or the same again, which renews its lease."""
        entry = self.entries.get(name)
        if entry is None or not entry.is_listed:
            self._match(entry, if_match)
            if entry is not None:
                self._not_older(entry, told)
            damped = entry.damped_until_ms if entry else 0.0
            if now < damped:
                raise self._refuse(
                    429, "damped", f"{name} has come and gone too often; {(damped - now) / 1_000:.0f} s more"
                )
            fresh = Entry(name=name, told=told, renewed_ms=now, beats=1)
            if entry is not None:
                fresh.lapses_ms, fresh.rev = entry.lapses_ms, entry.rev
                if entry.told.since_ms == told.since_ms:
                    fresh.life = entry.life + (entry.said is not Status.IN_SERVICE)
                    fresh.beats, fresh.lapsed_at = entry.beats + 1, entry.lapsed_at
            return self._put(fresh, now, "registered", who, why)
        self._match(entry, if_match)
        if entry.told.owner != told.owner and not self._is_over(entry, now):
            raise self._refuse(409, "foreign", f"{name} is held by {entry.told.owner or 'nobody named'!r}")
        self._not_older(entry, told)
        if told.tier != entry.told.tier:
            raise self._refuse(409, "moved", f"{name} is of tier {entry.told.tier!r}; remove it there first")
        if told == entry.told and entry.status is Status.IN_SERVICE:
            self._beat(entry, now)
            return None
        is_new = told.since_ms > entry.told.since_ms
        if entry.status is Status.TERMINATING and not is_new:
            raise self._refuse(409, "draining", f"{name} drains; only a new start serves again")
        if is_new:
            entry.said, entry.life, entry.lapsed_at = Status.IN_SERVICE, 0, -1
        entry.told = told
        self._beat(entry, now)
        return self._put(entry, now, "started anew" if is_new else "changed", who, why)

    def renew(self, name: str, since_ms: float, now: float) -> Change | None:
        """A server is still there; Refused if it is not listed, or another start of it is."""
        entry = self._listed(name)
        if since_ms != entry.told.since_ms:
            raise self._refuse(
                409, "stale", f"{name} started at {entry.told.since_ms:.0f}, not {since_ms:.0f}"
            )
        self._beat(entry, now)
        return None  # balancers see no difference

    def drain(
        self, name: str, now: float, *, who: str = "", why: str = "", if_match: int | None = None
    ) -> Change | None:
        """A server is to end what it has; None if it drains already."""
        entry = self._listed(name)
        self._match(entry, if_match)
        if entry.status is Status.TERMINATING:
            return None
        entry.said = Status.TERMINATING
        return self._put(entry, now, "drained", who, why)

    def remove(
        self, name: str, now: float, *, who: str = "", why: str = "", if_match: int | None = None
    ) -> Change:
        """A server is gone."""
        entry = self._listed(name)
        self._match(entry, if_match)
        entry.said = Status.TERMINATED
        return self._put(entry, now, "removed", who, why)

    def pin(self, name: str, pinned: bool, now: float, *, who: str = "", why: str = "") -> Change:
        """Operators hold a server on the list, or let go of it; balancers see no difference."""
        entry = self._listed(name)
        entry.pinned = pinned
        self._beat(entry, now)
        return self._put(entry, now, "pinned" if pinned else "unpinned", who, why)

    # ---- leases ---------------------------------------------------------------------------------

    def lapse(self, now: float, heard: float = math.inf) -> list[Change]:
        """Look for leases that have run out, and take off the list those that we do not doubt.

        `heard` is since when all other instances' renewals are known here. While one is out of reach, whose
        lease ran out after that may have renewed there: it stays, marked.
        """
        over = [e for e in self.entries.values() if self._is_over(e, now) and not e.pinned]
        for entry in over:
            entry.lapsed = entry.lapsed or entry.lease_end_ms >= heard
        over = [e for e in over if e.lease_end_ms < heard]
        changes: list[Change] = []
        for entry in over:
            if not entry.lapsed:
                self._lapses.setdefault(entry.told.tier, deque()).append(now)
        for tier in {e.told.tier for e in over}:
            self._see_whether_to_doubt(tier, now)
        floors: dict[str, SelfPreservation] = {}
        for entry in over:
            tier = entry.told.tier
            settles = now <= entry.lease_end_ms + self._rules.settle_ms
            if tier not in floors:
                floors[tier] = SelfPreservation(self._all_of(tier), self._rules, now)
            stays = settles or self.doubts.get(tier, 0.0) > now or floors[tier].spare(entry)
            floors[tier].take(entry)
            if stays:
                entry.lapsed = True
                continue
            entry.lapsed, entry.lapsed_at = False, entry.beats
            entry.lapses_ms = [at for at in entry.lapses_ms if at > now - self._rules.flap_ms] + [now]
            if len(entry.lapses_ms) >= self._rules.flaps:
                entry.damped_until_ms = now + self._rules.damp_ms
            changes.append(self._put(entry, now, "lapsed", "the list", "its lease has run out"))
        return changes

    def _see_whether_to_doubt(self, tier: str, now: float) -> None:
        rules, recent = self._rules, self._lapses.setdefault(tier, deque())
        while recent and recent[0] < now - rules.doubt_ms:
            recent.popleft()
        count = len(self.whole(tier))
        if len(recent) > max(rules.doubt_part * count, 1.0):
            self.doubts[tier] = now + rules.doubt_ms

    def _is_over(self, entry: Entry, now: float) -> bool:
        return entry.is_listed and now > entry.lease_end_ms

    # ---- reads ----------------------------------------------------------------------------------

    def whole(self, tier: str) -> list[Entry]:
        """All that are listed of a tier."""
        return [e for e in self._all_of(tier) if e.is_listed]

    def _all_of(self, tier: str) -> Iterator[Entry]:
        entries = (self.entries[name] for name in self.places.names(tier))
        return (e for e in entries if e.told.tier == tier)

    def changes(self, tier: str, after: int, now: float) -> list[Entry] | None:
        """What has changed since a version, a server that has left the tier for another as ended.

        None if only the whole list can tell.
        """
        if not self.goes_on((tier,), after, now):
            return None
        changed = []
        for name, version in self.places.latest(tier):
            if version <= after:
                break
            entry = self.entries[name]
            changed.append(entry if entry.told.tier == tier else ended(entry))
        return changed

    def goes_on(self, services: tuple[str, ...], after: int, now: float) -> bool:
        """Whether who has seen a version of some services can be told what changed since.

        A watcher that has seen more than there is comes from another instance, or from before a memory was
        lost and a clock that went back: the index goes above it, if any index of ours could be so high.
        """
        foreign = after % self._stride != self._number
        if after > self.index:
            if after <= (now + CLOCKS_DIFFER_MS) * self._stride:
                self.index = _above(after, self._number, self._stride)
                if not foreign:  # what is between was given out by nobody we know
                    self.base = self.first = self.index
            return False
        return not foreign and self.knows(after, services)

    def changed_since(self, index: int) -> Iterator[Entry]:
        """All that have changed since a version, the latest first."""
        for name in reversed(self._changed):
            entry = self.entries[name]
            if entry.index <= index:
                return
            yield entry

    # ---- other instances ------------------------------------------------------------------------

    def since(self, moved: int) -> Iterator[Entry]:
        """The entries that have moved since, the latest first."""
        for name in reversed(self._moves):
            if self._moves[name] <= moved:
                return
            yield self.entries[name]

    def moved_at(self, name: str) -> int:
        """The count at which an entry moved last."""
        return self._moves[name]

    def changed_at(self, name: str) -> int:
        """The count at which an entry changed last in more than its beats."""
        return self._changed[name]

    def beat(self, name: str, start: tuple[float, int], beats: int, now: float) -> Change | None:
        """Another instance has heard renewals of a server that we know, too; else its whole entry comes."""
        entry = self.entries.get(name)
        if entry is None or (entry.told.since_ms, entry.life) != start or beats <= entry.beats:
            return None
        was_lapsed = entry.by_lapse
        self._beat(entry, now, beats)
        return self._put(entry, now, "renewed elsewhere", "the list", "") if was_lapsed else None

    def merge(self, theirs: SharedEntry, now: float, who: str) -> Change | None:
        """Take another instance's account of a server; a change if balancers, or the file, must know."""
        entry = self.entries.get(theirs.name)
        if entry is None:
            entry = Entry(name=theirs.name, told=theirs.told, renewed_ms=now)
            return self._adopt(entry, theirs, now, who)
        ours = share(entry)
        if disagree(ours, theirs):
            self.disagreed[theirs.name] += 1
        joined = join(ours, theirs)
        if joined == ours:
            return None
        is_renewed = joined.start != ours.start or joined.beats > ours.beats
        if joined == msgspec.structs.replace(ours, beats=joined.beats) and not entry.by_lapse:
            self._beat(entry, now, joined.beats)
            return None
        if is_renewed:
            entry.renewed_ms, entry.lapsed = now, False
        return self._adopt(entry, joined, now, who)

    def _adopt(self, entry: Entry, account: SharedEntry, now: float, who: str) -> Change:
        entry.told, entry.said, entry.life = account.told, account.said, account.life
        entry.beats, entry.lapsed_at, entry.pinned = account.beats, account.lapsed_at, account.pinned
        return self._put(entry, now, "told by another instance", who, "", rev=account.rev)

    # ---- what writes have in common -------------------------------------------------------------

    def _beat(self, entry: Entry, now: float, beats: int | None = None) -> None:
        """Its lease was renewed, here or elsewhere."""
        entry.renewed_ms, entry.lapsed = now, False
        entry.beats = entry.beats + 1 if beats is None else beats
        self._move(entry.name)

    def _move(self, name: str) -> None:
        self.moved += 1
        self._moves.pop(name, None)
        self._moves[name] = self.moved

    def _touch(self, entry: Entry) -> None:
        """An entry has changed in more than its beats."""
        self._move(entry.name)
        self._changed.pop(entry.name, None)
        self._changed[entry.name] = self.moved
        self.places.put(entry)
        plain = msgspec.structs.replace(share(entry), beats=entry.by_lapse)
        new = xxhash.xxh3_64_intdigest(msgspec.json.encode(plain))
        self.fingerprint ^= self._prints.get(entry.name, 0) ^ new
        self._prints[entry.name] = new

    def _forget(self, name: str, *, buried: bool = False) -> None:
        self.places.forget(self.entries[name], buried=buried)
        for known in (self.entries, self._kept, self._moves, self._changed):
            del known[name]
        self.fingerprint ^= self._prints.pop(name)

    def _put(self, entry: Entry, now: float, what: str, who: str, why: str, rev: int | None = None) -> Change:
        self.index += self._stride
        entry.index, entry.rev = self.index, entry.rev + 1 if rev is None else rev
        before = self._kept.get(entry.name)
        entry.left = left_by(before, entry)
        self.entries[entry.name] = entry
        self._kept[entry.name] = kept = copy(entry)
        self._touch(entry)
        if not entry.is_listed:
            self._bury()
        return Change(self.index, now, entry.name, what, who, why, kept, before)

    def undo(self, changes: Sequence[Change]) -> None:
        """Changes that could not be kept have not been made; their versions stay unused."""
        for change in reversed(changes):
            if change.before is not None:
                renewed = self.entries[change.name].renewed_ms  # that it was renewed remains true
                self.places.forget(self.entries[change.name])
                self.entries[change.name] = before = copy(change.before)
                before.renewed_ms = max(before.renewed_ms, renewed)
                self._kept[change.name] = change.before
                self._touch(before)
            elif change.name in self.entries:
                self._forget(change.name)
        by_version = sorted(self._changed, key=lambda name: self.entries[name].index)
        self._changed = {name: self._changed[name] for name in by_version}  # old versions are back
        self.places.sort()

    def _bury(self) -> None:
        """Forget the removed that are too many; who has not heard of them gets the whole list."""
        gone = [e for e in self.entries.values() if not e.is_listed]
        for entry in sorted(gone, key=lambda e: e.index)[: max(len(gone) - self._rules.tombstones, 0)]:
            self._forget(entry.name, buried=True)

    def _listed(self, name: str) -> Entry:
        entry = self.entries.get(name)
        if entry is None or not entry.is_listed:
            raise self._refuse(404, "unknown", f"no server {name!r} is listed")
        return entry

    def _match(self, entry: Entry | None, if_match: int | None) -> None:
        index = entry.index if entry else 0
        if if_match is not None and if_match != index:
            raise self._refuse(412, "overrun", f"it is at version {index}, not {if_match}: read it again")

    def _not_older(self, entry: Entry, told: Registration) -> None:
        if told.since_ms < entry.told.since_ms:
            raise self._refuse(
                409,
                "older",
                f"{entry.name} started at {entry.told.since_ms:.0f}; {told.since_ms:.0f} is earlier",
            )

    def _refuse(self, status: int, cause: str, why: str) -> WriteRejectedError:
        self.refused[cause] += 1
        return WriteRejectedError(status, why)
