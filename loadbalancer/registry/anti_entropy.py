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
from loadbalancer.registry.merge import SharedEntry, to_shared

MAX_INSTANCES = 8
MAX_ENTRIES_PER_MESSAGE = 2_000  # entries in one message; the rest follows in the next
MAX_FINGERPRINT_MISMATCHES = (
    3  # quiet messages in a row with another fingerprint, after which all is told again
)
UNREACHABLE_AFTER_MS = 5_000.0  # another instance that has not answered for so long is shown as out of reach

Beat = tuple[str, float, int, int]
"""A renewal: name, start, life, beats."""


# The keys of messages on the wire, by the fields' names.
MESSAGE_KEYS = {
    "incarnation": "life",
    "after_sequence": "after",
    "sequence": "moved",
    "known_incarnation": "heard_life",
    "known_sequence": "heard",
    "renewals": "beats",
}


class SyncMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename=MESSAGE_KEYS):
    """A question or its answer."""

    sender: int
    incarnation: int
    """Drawn at the sender's start: its counts begin anew with it."""
    after_sequence: int
    sequence: int
    """The sender's counts between which this message tells all."""
    known_incarnation: int = 0
    known_sequence: int = 0
    """The receiver's life and count up to which the sender knows it."""
    fingerprint: int = 0
    entries: tuple[SharedEntry, ...] = ()
    renewals: tuple[Beat, ...] = ()


class InstanceMismatchError(ValueError):
    """A message from somebody who is no other instance of this list: one line."""


@dataclass
class PeerState:
    """What we know of another instance, and what it knows of us."""

    incarnation: int = 0
    known_sequence: int = 0  # its count up to which we know it
    acknowledged_sequence: int = 0  # our count up to which it knows us
    last_request_ms: float = -math.inf  # when the last question that it answered was asked
    complete_as_of_ms: float = -math.inf  # the same, of one whose answer held all that it knew
    mismatch_count: int = 0
    repair_count: int = 0


class AntiEntropy:
    """One instance's side of it, towards all others."""

    def __init__(self, catalog: Catalog, number: int, count: int, incarnation: int) -> None:
        """`incarnation` is new with each start; ValueError if there are too many instances."""
        if not 0 <= number < count <= MAX_INSTANCES:
            raise ValueError(f"instance {number} of {count}: at most {MAX_INSTANCES}, from 0")
        self._catalog, self.number, self._incarnation = catalog, number, incarnation
        self.peers = {other: PeerState() for other in range(count) if other != number}

    @property
    def complete_as_of_ms(self) -> float:
        """Since when all other instances' renewals are known here: see `Catalog.lapse`."""
        return min((other.complete_as_of_ms for other in self.peers.values()), default=math.inf)

    def make_request(self, to: int) -> SyncMessage:
        """What to tell another instance now; it answers with the same of itself."""
        return self._make_message(self.peers[to])

    def _make_message(self, other: PeerState) -> SyncMessage:
        told = other.acknowledged_sequence
        moved = list(self._catalog.updated_since(told))
        late = moved[:-MAX_ENTRIES_PER_MESSAGE] if len(moved) > MAX_ENTRIES_PER_MESSAGE else []
        some = moved[len(late) :]  # the oldest moves first: what follows begins where these end
        upto = self._catalog.sequence if not late else self._catalog.sequence_of(some[0].name)
        entries, beats = [], []
        for entry in some:
            if self._catalog.change_sequence_of(entry.name) > told:
                entries.append(to_shared(entry))
            else:
                beats.append(
                    (entry.name, entry.registration.since_ms, entry.incarnation, entry.renewal_count)
                )
        return SyncMessage(
            sender=self.number,
            incarnation=self._incarnation,
            after_sequence=told,
            sequence=upto,
            known_incarnation=other.incarnation,
            known_sequence=other.known_sequence,
            fingerprint=self._catalog.fingerprint,
            entries=tuple(entries),
            renewals=tuple(beats),
        )

    def handle_request(self, message: SyncMessage, now: float) -> tuple[SyncMessage, list[Change]]:
        """Another instance's question: our answer, and the changes to keep before it goes out."""
        other = self._peer(message.sender)
        changes = self._merge_message(other, message, now)
        return self._make_message(other), changes

    def handle_response(self, by: int, answer: SyncMessage, asked_at: float, now: float) -> list[Change]:
        """The answer to a question that was asked at `asked_at`; the changes to keep."""
        if answer.sender != by:
            raise InstanceMismatchError(f"instance {by} answers as {answer.sender}")
        other = self.peers[by]
        changes = self._merge_message(other, answer, now)
        other.last_request_ms = asked_at
        if len(answer.entries) + len(answer.renewals) < MAX_ENTRIES_PER_MESSAGE:
            other.complete_as_of_ms = asked_at
        return changes

    def _peer(self, number: int) -> PeerState:
        if number not in self.peers:
            raise InstanceMismatchError(f"{number} is no other instance: this is {self.number}")
        return self.peers[number]

    def _merge_message(self, other: PeerState, message: SyncMessage, now: float) -> list[Change]:
        """Take what is told, and note up to where each knows the other."""
        if message.incarnation != other.incarnation:
            other.incarnation, other.known_sequence = message.incarnation, 0
        other.acknowledged_sequence = (
            message.known_sequence if message.known_incarnation == self._incarnation else 0
        )
        who = f"instance {message.sender}"
        changes = [self._catalog.merge(entry, now, who) for entry in message.entries]
        changes += [
            self._catalog.merge_renewals(name, (since, life), beats, now)
            for name, since, life, beats in message.renewals
        ]
        if (
            message.after_sequence <= other.known_sequence
        ):  # else something between is missing, and is asked for again
            other.known_sequence = max(other.known_sequence, message.sequence)
        self._check_fingerprint(other, message)
        return [change for change in changes if change is not None]

    def _check_fingerprint(self, other: PeerState, message: SyncMessage) -> None:
        quiet = not message.entries and self._has_only_renewals_for(other)
        other.mismatch_count = (
            other.mismatch_count + 1 if quiet and message.fingerprint != self._catalog.fingerprint else 0
        )
        if other.mismatch_count >= MAX_FINGERPRINT_MISMATCHES:
            other.mismatch_count, other.known_sequence, other.acknowledged_sequence = (
                0,
                0,
                0,
            )  # all is told again, both ways
            other.repair_count += 1

    def _has_only_renewals_for(self, other: PeerState) -> bool:
        """Whether we have nothing to tell it but renewals."""
        told = other.acknowledged_sequence
        return all(
            self._catalog.change_sequence_of(entry.name) <= told
            for entry in self._catalog.updated_since(told)
        )

    def report(self, now: float) -> list[dict[str, object]]:
        """How it stands with each other instance, for operators; times in ms, None for never."""
        return [
            {
                "instance": number,
                "reached": now - other.last_request_ms < UNREACHABLE_AFTER_MS,
                "heard_ms_ago": round(now - other.last_request_ms)
                if math.isfinite(other.last_request_ms)
                else None,
                "agrees": not other.mismatch_count,
                "repaired": other.repair_count,
            }
            for number, other in self.peers.items()
        ]
