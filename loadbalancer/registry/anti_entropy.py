"""How instances of the list keep one another up to date: told the time and what arrives, without I/O.

    exchange = Exchange(catalog, number=0, count=3, life=1)
    question = exchange.question(2)                       # to instance 2, every so often and after a change
    answer, changes = other.heard_from(question, now)      # there; `changes` go to the disk before the answer
    changes = exchange.answered(2, answer, asked_at, now)  # here, before anybody sees them

Anti-entropy, after Demers et al. (1987): each message carries what has moved since the other one's last word,
renewals as bare counts, and a fingerprint of all else. Where two are quiet and their fingerprints differ, all
is told again. Nothing is ordered by clocks; `asked_at` and `now` are this instance's own, in ms.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from loadbalancer.registry.catalog import Catalog, Change
from loadbalancer.registry.merge import SharedEntry, share

MAX_INSTANCES = 8
MOST_TOLD = 2_000  # entries in one message; the rest follows in the next
ODD_LOOKS = 3  # quiet messages in a row with another fingerprint, after which all is told again
LOST_MS = 5_000.0  # another instance that has not answered for so long is shown as out of reach

Beat = tuple[str, float, int, int]
"""A renewal: name, start, life, beats."""


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A question or its answer."""

    sender: int
    life: int
    """Drawn at the sender's start: its counts begin anew with it."""
    after: int
    moved: int
    """The sender's counts between which this message tells all."""
    heard_life: int = 0
    heard: int = 0
    """The receiver's life and count up to which the sender knows it."""
    fingerprint: int = 0
    entries: tuple[SharedEntry, ...] = ()
    beats: tuple[Beat, ...] = ()


class InstanceMismatchError(ValueError):
    """A message from somebody who is no other instance of this list: one line."""


@dataclass
class Other:
    """What we know of another instance, and what it knows of us."""

    life: int = 0
    heard: int = 0  # its count up to which we know it
    told: int = 0  # our count up to which it knows us
    asked_at: float = -math.inf  # when the last question that it answered was asked
    up_to_date: float = -math.inf  # the same, of one whose answer held all that it knew
    odd: int = 0
    repaired: int = 0


class AntiEntropy:
    """One instance's side of it, towards all others."""

    def __init__(self, catalog: Catalog, number: int, count: int, life: int) -> None:
        """`life` is new with each start; ValueError if there are too many instances."""
        if not 0 <= number < count <= MAX_INSTANCES:
            raise ValueError(f"instance {number} of {count}: at most {MAX_INSTANCES}, from 0")
        self._catalog, self.number, self._life = catalog, number, life
        self.others = {other: Other() for other in range(count) if other != number}

    @property
    def heard(self) -> float:
        """Since when all other instances' renewals are known here: see `Catalog.lapse`."""
        return min((other.up_to_date for other in self.others.values()), default=math.inf)

    def question(self, to: int) -> Message:
        """What to tell another instance now; it answers with the same of itself."""
        return self._message(self.others[to])

    def _message(self, other: Other) -> Message:
        told = other.told
        moved = list(self._catalog.since(told))
        late = moved[:-MOST_TOLD] if len(moved) > MOST_TOLD else []
        some = moved[len(late) :]  # the oldest moves first: what follows begins where these end
        upto = self._catalog.moved if not late else self._catalog.moved_at(some[0].name)
        entries, beats = [], []
        for entry in some:
            if self._catalog.changed_at(entry.name) > told:
                entries.append(share(entry))
            else:
                beats.append((entry.name, entry.told.since_ms, entry.life, entry.beats))
        return Message(
            sender=self.number, life=self._life, after=told, moved=upto, heard_life=other.life,
            heard=other.heard, fingerprint=self._catalog.fingerprint, entries=tuple(entries),
            beats=tuple(beats),
        )  # fmt: skip

    def heard_from(self, message: Message, now: float) -> tuple[Message, list[Change]]:
        """Another instance's question: our answer, and the changes to keep before it goes out."""
        other = self._other(message.sender)
        changes = self._take(other, message, now)
        return self._message(other), changes

    def answered(self, by: int, answer: Message, asked_at: float, now: float) -> list[Change]:
        """The answer to a question that was asked at `asked_at`; the changes to keep."""
        if answer.sender != by:
            raise InstanceMismatchError(f"instance {by} answers as {answer.sender}")
        other = self.others[by]
        changes = self._take(other, answer, now)
        other.asked_at = asked_at
        if len(answer.entries) + len(answer.beats) < MOST_TOLD:
            other.up_to_date = asked_at
        return changes

    def _other(self, number: int) -> Other:
        if number not in self.others:
            raise InstanceMismatchError(f"{number} is no other instance: this is {self.number}")
        return self.others[number]

    def _take(self, other: Other, message: Message, now: float) -> list[Change]:
        """Take what is told, and note up to where each knows the other."""
        if message.life != other.life:
            other.life, other.heard = message.life, 0
        other.told = message.heard if message.heard_life == self._life else 0
        who = f"instance {message.sender}"
        changes = [self._catalog.merge(entry, now, who) for entry in message.entries]
        changes += [
            self._catalog.beat(name, (since, life), beats, now) for name, since, life, beats in message.beats
        ]
        if message.after <= other.heard:  # else something between is missing, and is asked for again
            other.heard = max(other.heard, message.moved)
        self._look_for_odds(other, message)
        return [change for change in changes if change is not None]

    def _look_for_odds(self, other: Other, message: Message) -> None:
        quiet = not message.entries and self._quiet_for(other)
        other.odd = other.odd + 1 if quiet and message.fingerprint != self._catalog.fingerprint else 0
        if other.odd >= ODD_LOOKS:
            other.odd, other.heard, other.told = 0, 0, 0  # all is told again, both ways
            other.repaired += 1

    def _quiet_for(self, other: Other) -> bool:
        """Whether we have nothing to tell it but renewals."""
        told = other.told
        return all(self._catalog.changed_at(entry.name) <= told for entry in self._catalog.since(told))

    def report(self, now: float) -> list[dict[str, object]]:
        """How it stands with each other instance, for operators; times in ms, None for never."""
        return [
            {
                "instance": number,
                "reached": now - other.asked_at < LOST_MS,
                "heard_ms_ago": round(now - other.asked_at) if math.isfinite(other.asked_at) else None,
                "agrees": not other.odd,
                "repaired": other.repaired,
            }
            for number, other in self.others.items()
        ]
