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

Partition = tuple[str, str | int]


class SelfPreservation:
    """The servers of one tier by zone and by group: how many count there, and how many of these are well.

    Those that lapsed within `floor_ms` count, too. Times are Unix ms.
    """

    def __init__(self, entries: Iterable[Entry], rules: Rules, now: float) -> None:
        """`entries` are all that are remembered of the tier, as they are before anything is taken."""
        self._threshold, lately = rules.self_preservation_threshold, now - rules.self_preservation_window_ms
        self._counts: dict[Partition, int] = {}
        self._healthy_counts: dict[Partition, int] = {}
        for entry in entries:
            if not (entry.is_listed or (entry.is_expired and _lapsed_ms(entry) > lately)):
                continue
            is_well = _is_well(entry)
            for place in _partitions(entry):
                self._counts[place] = self._counts.get(place, 0) + 1
                self._healthy_counts[place] = self._healthy_counts.get(place, 0) + is_well

    def must_keep(self, entry: Entry) -> bool:
        """Whether one of its places has others and would be left with too few that are well."""
        itself = _is_well(entry)
        return any(
            (count := self._counts[place]) > 1
            and self._healthy_counts[place] - itself < self._threshold * count
            for place in _partitions(entry)
        )

    def record_expiry(self, entry: Entry) -> None:
        """An entry, as it still is, is to lapse or to be marked: it counts on, and is well no more."""
        if _is_well(entry):
            for place in _partitions(entry):
                self._healthy_counts[place] -= 1


def _partitions(entry: Entry) -> Iterator[Partition]:
    yield "zone", entry.registration.zone
    yield "group", entry.registration.group


def _lapsed_ms(entry: Entry) -> float:
    """When it lapsed; one of which another instance told only that it has, when its lease ran out here."""
    return entry.expirations_ms[-1] if entry.expirations_ms else entry.lease_expiry_ms


def _is_well(entry: Entry) -> bool:
    return entry.status is Status.IN_SERVICE and not entry.is_preserved
