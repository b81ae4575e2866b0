"""Synchronization between instances of the registry, sans-I/O: driven by the time and what arrives.

    anti_entropy = AntiEntropy(catalog, number=0, count=3, incarnation=1)
    request = anti_entropy.make_request(2)                # to instance 2, regularly and after a change
    answer, changes = other.handle_request(request, now)  # there; `changes` are stored before the answer
    changes = anti_entropy.handle_response(2, answer, requested_ms, now)  # here, before anyone sees them

Anti-entropy after Demers et al. (1987): each message has what was updated since the peer's last
acknowledgement, renewals as bare counts, and a fingerprint of all else. Where two instances have nothing else
to send and their fingerprints differ, all is sent again. Clocks order nothing; `requested_ms` and `now` are
this instance's own, in ms.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.changes import Change, RegistryError
from loadbalancer.registry.merge import Generation, SharedEntry, to_shared

MAX_INSTANCES = 8
MAX_ENTRIES_PER_MESSAGE = 2_000  # the rest follows in the next message
# Consecutive messages without changes but with differing fingerprints, after which all is sent again: one or
# two differ while an update is in flight.
MAX_FINGERPRINT_MISMATCHES = 3
UNREACHABLE_AFTER_MS = 5_000.0  # without an answer, in the report to operators


class RenewalCount(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """How often the lease of one server's generation was renewed."""

    name: str
    since_ms: float
    incarnation: int
    renewal_count: int

    @property
    def generation(self) -> Generation:
        """The start and the incarnation that the count belongs to."""
        return Generation(self.since_ms, self.incarnation)


# Keys of messages on the wire, by field name.
MESSAGE_KEYS = {
    "incarnation": "life",
    "after_sequence": "after",
    "sequence": "moved",
    "known_incarnation": "heard_life",
    "known_sequence": "heard",
    "renewals": "beats",
}


class SyncMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename=MESSAGE_KEYS):
    """A request or its answer."""

    sender: int
    incarnation: int
    """Random, new at each start of the sender, which restarts its sequence numbers."""
    after_sequence: int
    sequence: int
    """The message has all updates of the sender after `after_sequence` and up to this one."""
    known_incarnation: int = 0
    known_sequence: int = 0
    """The receiver's incarnation and sequence number up to which the sender knows its updates."""
    fingerprint: int = 0
    entries: tuple[SharedEntry, ...] = ()
    renewals: tuple[RenewalCount, ...] = ()


class InstanceMismatchError(RegistryError, ValueError):
    """A message that is not from another instance of this registry; its text is one line."""


@dataclass
class PeerState:
    """What we know of another instance, and what it knows of us."""

    incarnation: int = 0
    known_sequence: int = 0  # its sequence number up to which we know its updates
    acknowledged_sequence: int = 0  # our sequence number up to which it knows ours
    last_request_ms: float = -math.inf  # when the last request that it answered was made
    complete_as_of_ms: float = -math.inf  # the same, of one whose answer was complete
    mismatch_count: int = 0
    repair_count: int = 0


class AntiEntropy:
    """One instance's side of the synchronization with all peers."""

    def __init__(self, catalog: Catalog, number: int, count: int, incarnation: int) -> None:
        """`incarnation` is new with each start; ValueError if there are too many instances."""
        if not 0 <= number < count <= MAX_INSTANCES:
            raise ValueError(f"instance {number} of {count}: at most {MAX_INSTANCES}, numbered from 0")
        self.number = number
        self.peers = {peer: PeerState() for peer in range(count) if peer != number}
        self._catalog = catalog
        self._updates = catalog.updates
        self._incarnation = incarnation

    @property
    def complete_as_of_ms(self) -> float:
        """The time up to which all peers' renewals are known here: see `Catalog.expire_leases`."""
        return min((peer.complete_as_of_ms for peer in self.peers.values()), default=math.inf)

    def make_request(self, to: int) -> SyncMessage:
        """Return the request for a peer; it answers with a message of its own."""
        return self._make_message(self.peers[to])

    def _make_message(self, peer: PeerState) -> SyncMessage:
        after = peer.acknowledged_sequence
        updated = list(self._catalog.updated_since(after))  # the latest first
        sequence = self._updates.sequence
        if len(updated) > MAX_ENTRIES_PER_MESSAGE:  # the oldest first: the next message begins where they end
            updated = updated[-MAX_ENTRIES_PER_MESSAGE:]
            sequence = self._updates.sequence_of(updated[0].name)
        entries = []
        renewals = []
        for entry in updated:
            if self._updates.change_sequence_of(entry.name) > after:
                entries.append(to_shared(entry))
            else:
                since_ms = entry.registration.since_ms
                renewals.append(RenewalCount(entry.name, since_ms, entry.incarnation, entry.renewal_count))
        return SyncMessage(
            sender=self.number,
            incarnation=self._incarnation,
            after_sequence=after,
            sequence=sequence,
            known_incarnation=peer.incarnation,
            known_sequence=peer.known_sequence,
            fingerprint=self._updates.fingerprint,
            entries=tuple(entries),
            renewals=tuple(renewals),
        )

    def handle_request(self, message: SyncMessage, now: float) -> tuple[SyncMessage, list[Change]]:
        """Return the answer to a peer's request, and the changes to store before it goes out."""
        peer = self._peer(message.sender)
        changes = self._merge_message(peer, message, now)
        return self._make_message(peer), changes

    def handle_response(
        self, sender: int, answer: SyncMessage, requested_ms: float, now: float
    ) -> list[Change]:
        """Merge a peer's answer to the request made at `requested_ms`; return the changes to store."""
        if answer.sender != sender:
            raise InstanceMismatchError(f"instance {sender} answers as {answer.sender}")
        peer = self.peers[sender]
        changes = self._merge_message(peer, answer, now)
        peer.last_request_ms = requested_ms
        if len(answer.entries) + len(answer.renewals) < MAX_ENTRIES_PER_MESSAGE:
            peer.complete_as_of_ms = requested_ms
        return changes

    def _peer(self, number: int) -> PeerState:
        if number not in self.peers:
            raise InstanceMismatchError(f"{number} is no other instance: this is {self.number}")
        return self.peers[number]

    def _merge_message(self, peer: PeerState, message: SyncMessage, now: float) -> list[Change]:
        """Merge a peer's message, and record up to where each knows the other's updates."""
        if message.incarnation != peer.incarnation:
            peer.incarnation = message.incarnation
            peer.known_sequence = 0
        knows_this_incarnation = message.known_incarnation == self._incarnation
        peer.acknowledged_sequence = message.known_sequence if knows_this_incarnation else 0
        source = f"instance {message.sender}"
        changes = [self._catalog.merge(entry, now, source) for entry in message.entries]
        changes += [
            self._catalog.merge_renewals(renewal.name, renewal.generation, renewal.renewal_count, now)
            for renewal in message.renewals
        ]
        if message.after_sequence <= peer.known_sequence:  # else updates are missing between: they come again
            peer.known_sequence = max(peer.known_sequence, message.sequence)
        self._check_fingerprint(peer, message)
        return [change for change in changes if change is not None]

    def _check_fingerprint(self, peer: PeerState, message: SyncMessage) -> None:
        is_quiet = not message.entries and self._has_only_renewals_for(peer)
        is_mismatch = is_quiet and message.fingerprint != self._updates.fingerprint
        peer.mismatch_count = peer.mismatch_count + 1 if is_mismatch else 0
        if peer.mismatch_count >= MAX_FINGERPRINT_MISMATCHES:
            peer.mismatch_count = 0
            peer.known_sequence = 0  # all is sent again, in both directions
            peer.acknowledged_sequence = 0
            peer.repair_count += 1

    def _has_only_renewals_for(self, peer: PeerState) -> bool:
        after = peer.acknowledged_sequence
        updated = self._updates.updated_since(after)
        return all(self._updates.change_sequence_of(name) <= after for name in updated)

    def report(self, now: float) -> list[dict[str, object]]:
        """Return the state of each peer as operators see it; times in ms, None for never."""
        return [_peer_report(number, peer, now) for number, peer in self.peers.items()]


def _peer_report(number: int, peer: PeerState, now: float) -> dict[str, object]:
    since_request_ms = now - peer.last_request_ms
    return {
        "instance": number,
        "reached": since_request_ms < UNREACHABLE_AFTER_MS,
        "heard_ms_ago": round(since_request_ms) if math.isfinite(since_request_ms) else None,
        "agrees": not peer.mismatch_count,
        "repaired": peer.repair_count,
    }
