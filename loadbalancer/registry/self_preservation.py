"""What lapses must leave of each zone and each group of a tier, counted once for a whole look at the leases.

    floors = Floors(entries_of_the_tier, rules, now)
    if floors.spare(entry): ...          # without it, its zone or its group would have too few
    floors.take(entry)                   # it lapses, or stays marked: from now on it is not well

Counting anew for each lease that has run out cost the square of the servers while a zone was silent: no
entry of it lapses then, so that all of them are looked at again, four times a second.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from loadbalancer.registry.entries import Entry, Rules, Status

Place = tuple[str, str | int]


class SelfPreservation:
    """The servers of one tier by zone and by group: how many count there, and how many of these are well.

    Those that lapsed within `floor_ms` count, too. Times are Unix ms.
    """

    def __init__(self, entries: Iterable[Entry], rules: Rules, now: float) -> None:
        """`entries` are all that are remembered of the tier, as they are before anything is taken."""
        self._part, lately = rules.floor_part, now - rules.floor_ms
        self._all: dict[Place, int] = {}
        self._well: dict[Place, int] = {}
        for entry in entries:
            if not (entry.is_listed or (entry.by_lapse and _lapsed_ms(entry) > lately)):
                continue
            is_well = _is_well(entry)
            for place in _places(entry):
                self._all[place] = self._all.get(place, 0) + 1
                self._well[place] = self._well.get(place, 0) + is_well

    def spare(self, entry: Entry) -> bool:
        """Whether one of its places has others and would be left with too few that are well."""
        itself = _is_well(entry)
        return any(
            (count := self._all[place]) > 1 and self._well[place] - itself < self._part * count
            for place in _places(entry)
        )

    def take(self, entry: Entry) -> None:
        """An entry, as it still is, is to lapse or to be marked: it counts on, and is well no more."""
        if _is_well(entry):
            for place in _places(entry):
                self._well[place] -= 1


def _places(entry: Entry) -> Iterator[Place]:
    yield "zone", entry.told.zone
    yield "group", entry.told.group


def _lapsed_ms(entry: Entry) -> float:
    """When it lapsed; one of which another instance told only that it has, when its lease ran out here."""
    return entry.lapses_ms[-1] if entry.lapses_ms else entry.lease_end_ms


def _is_well(entry: Entry) -> bool:
    return entry.status is Status.IN_SERVICE and not entry.lapsed
