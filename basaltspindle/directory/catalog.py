"""The list and its versions, as a state machine that is told the time: what may change, and who is told what.

One index grows with each change and never goes back. After a start it is above all that any watcher can have
seen (`first_index`), and everybody gets the whole list once: so neither a lost nor a restored memory looks to
today's clients like an older list.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Sequence
from copy import copy
from dataclasses import dataclass

from basaltspindle.directory.entries import Entry, Registration, Rules, Status

CLOCKS_DIFFER_MS = 86_400_000.0  # by so much a clock may have gone back between two lives


class Refused(ValueError):
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


def first_index(stored: int, now_ms: float) -> int:
    """An index above all that were given out: changes come at less than one a millisecond on average."""
    return max(stored + 1, int(now_ms))


class Catalog:
    """All servers of all tiers. Times are Unix ms."""

    def __init__(self, rules: Rules, start_index: int) -> None:
        """`start_index` is from `first_index`; entries of an earlier life come by `restore`."""
        self._rules = rules
        self.index = self.floor = start_index  # who has seen less than the floor gets the whole list
        self.entries: dict[str, Entry] = {}
        self._kept: dict[str, Entry] = {}  # each as it was at its last change
        self._lapses: dict[str, deque[float]] = {}  # by tier: when leases ran out
        self.doubts: dict[str, float] = {}  # by tier: until when we doubt ourselves
        self.refused: Counter[str] = Counter()

    def restore(self, entries: Iterable[Entry], now: float) -> None:
        """Go on with the entries of an earlier life; all leases run anew, for we were not there to hear."""
        for entry in entries:
            entry.renewed_ms = now
            self.entries[entry.name], self._kept[entry.name] = entry, copy(entry)

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
            lapses = entry.lapses_ms if entry else []
            if now < damped:
                raise self._refuse(
                    429, "damped", f"{name} has come and gone too often; {(damped - now) / 1_000:.0f} s more"
                )
            fresh = Entry(name=name, told=told, renewed_ms=now, lapses_ms=lapses)
            return self._put(fresh, now, "registered", who, why)
        self._match(entry, if_match)
        if entry.told.owner != told.owner and not self._is_over(entry, now):
            raise self._refuse(409, "foreign", f"{name} is held by {entry.told.owner or 'nobody named'!r}")
        self._not_older(entry, told)
        if told.tier != entry.told.tier:
            raise self._refuse(409, "moved", f"{name} is of tier {entry.told.tier!r}; remove it there first")
        entry.renewed_ms = now
        if told == entry.told and entry.status is Status.IN_SERVICE:
            entry.lapsed = False  # a mark that balancers don't see
            return None
        is_new = told.since_ms > entry.told.since_ms
        if entry.status is Status.TERMINATING and not is_new:
            raise self._refuse(409, "draining", f"{name} drains; only a new start serves again")
        entry.told, entry.status, entry.lapsed = told, Status.IN_SERVICE, False
        return self._put(entry, now, "started anew" if is_new else "changed", who, why)

    def renew(self, name: str, since_ms: float, now: float) -> Change | None:
        """A server is still there; Refused if it is not listed, or another start of it is."""
        entry = self._listed(name)
        if since_ms != entry.told.since_ms:
            raise self._refuse(
                409, "stale", f"{name} started at {entry.told.since_ms:.0f}, not {since_ms:.0f}"
            )
        entry.renewed_ms, entry.lapsed = now, False
        return None  # balancers see no difference

    def drain(
        self, name: str, now: float, *, who: str = "", why: str = "", if_match: int | None = None
    ) -> Change | None:
        """A server is to end what it has; None if it drains already."""
        entry = self._listed(name)
        self._match(entry, if_match)
        if entry.status is Status.TERMINATING:
            return None
        entry.status = Status.TERMINATING
        return self._put(entry, now, "drained", who, why)

    def remove(
        self, name: str, now: float, *, who: str = "", why: str = "", if_match: int | None = None
    ) -> Change:
        """A server is gone."""
        entry = self._listed(name)
        self._match(entry, if_match)
        entry.status = Status.TERMINATED
        return self._put(entry, now, "removed", who, why)

    def pin(self, name: str, pinned: bool, now: float, *, who: str = "", why: str = "") -> Change:
        """Operators hold a server on the list, or let go of it; balancers see no difference."""
        entry = self._listed(name)
        entry.pinned, entry.renewed_ms = pinned, now
        return self._put(entry, now, "pinned" if pinned else "unpinned", who, why)

    # ---- leases ---------------------------------------------------------------------------------

    def lapse(self, now: float) -> list[Change]:
        """Look for leases that have run out, and take off the list those that we do not doubt."""
        over = [e for e in self.entries.values() if self._is_over(e, now) and not e.pinned]
        changes: list[Change] = []
        for entry in over:
            if not entry.lapsed:
                self._lapses.setdefault(entry.told.tier, deque()).append(now)
        for tier in {e.told.tier for e in over}:
            self._see_whether_to_doubt(tier, now)
        for entry in over:
            if self.doubts.get(entry.told.tier, 0.0) > now or self._is_spared(entry, now):
                entry.lapsed = True
                continue
            entry.status, entry.lapsed, entry.by_lapse = Status.TERMINATED, False, True
            entry.lapses_ms = [at for at in entry.lapses_ms if at > now - self._rules.flap_ms] + [now]
            if len(entry.lapses_ms) >= self._rules.flaps:
                entry.damped_until_ms = now + self._rules.damp_ms
            changes.append(self._put(entry, now, "lapsed", "the list", "its lease has run out"))
        return changes

    def _see_whether_to_doubt(self, tier: str, now: float) -> None:
        rules, recent = self._rules, self._lapses.setdefault(tier, deque())
        while recent and recent[0] < now - rules.doubt_ms:
            recent.popleft()
        count = sum(e.is_listed and e.told.tier == tier for e in self.entries.values())
        if len(recent) > max(rules.doubt_part * count, 1.0):
            self.doubts[tier] = now + rules.doubt_ms

    def _is_spared(self, entry: Entry, now: float) -> bool:
        """Whether its zone or its group would be left with too few, counted with those that lapsed lately."""
        for field in ("zone", "group"):
            place = getattr(entry.told, field)
            mine = [
                e
                for e in self.entries.values()
                if e.told.tier == entry.told.tier and getattr(e.told, field) == place and self._counts(e, now)
            ]
            well = sum(e.status is Status.IN_SERVICE and not e.lapsed for e in mine if e is not entry)
            if len(mine) > 1 and well < self._rules.floor_part * len(mine):
                return True
        return False

    def _counts(self, entry: Entry, now: float) -> bool:
        lately = now - self._rules.floor_ms
        return entry.is_listed or (entry.by_lapse and entry.lapses_ms[-1] > lately)

    def _is_over(self, entry: Entry, now: float) -> bool:
        return entry.is_listed and now > entry.renewed_ms + entry.told.lease_ms

    # ---- reads ----------------------------------------------------------------------------------

    def whole(self, tier: str) -> list[Entry]:
        """All that are listed of a tier."""
        return [e for e in self.entries.values() if e.told.tier == tier and e.is_listed]

    def changes(self, tier: str, after: int, now: float) -> list[Entry] | None:
        """What has changed since a version; None if only the whole list can tell.

        A watcher that has seen more than there is comes from before a memory was lost, and a clock that went
        back: the index goes above it, if any index of ours could be so high.
        """
        if after > self.index:
            if after <= now + CLOCKS_DIFFER_MS:
                self.index = self.floor = after + 1
            return None
        if after < self.floor:
            return None
        return [e for e in self.entries.values() if e.index > after and e.told.tier == tier]

    # ---- what writes have in common -------------------------------------------------------------

    def _put(self, entry: Entry, now: float, what: str, who: str, why: str) -> Change:
        self.index += 1
        entry.index = self.index
        before = self._kept.get(entry.name)
        self.entries[entry.name] = entry
        self._kept[entry.name] = kept = copy(entry)
        if not entry.is_listed:
            self._bury()
        return Change(self.index, now, entry.name, what, who, why, kept, before)

    def undo(self, changes: Sequence[Change]) -> None:
        """Changes that could not be kept have not been made; their versions stay unused."""
        for change in reversed(changes):
            if change.before is None:
                self.entries.pop(change.name, None)
                self._kept.pop(change.name, None)
            else:
                self.entries[change.name] = copy(change.before)
                self._kept[change.name] = change.before

    def _bury(self) -> None:
        """Forget the removed that are too many; who has not heard of them gets the whole list."""
        gone = [e for e in self.entries.values() if not e.is_listed]
        for entry in sorted(gone, key=lambda e: e.index)[: max(len(gone) - self._rules.tombstones, 0)]:
            del self.entries[entry.name], self._kept[entry.name]
            self.floor = max(self.floor, entry.index)

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

    def _refuse(self, status: int, cause: str, why: str) -> Refused:
        self.refused[cause] += 1
        return Refused(status, why)
