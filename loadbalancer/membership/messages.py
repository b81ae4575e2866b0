"""One note: MessagePack (https://msgpack.org) in at most 256 bytes, as PROTOCOL allows between balancers.

An array: the fleet's tag, the kind, a sequence number, the sender's number and incarnation, whom a relayed
probe is meant for (or -1), and news of members as (number, state, incarnation).
"""

from __future__ import annotations

import enum

import msgspec

MAX_MESSAGE_BYTES = 256
MAX_UPDATE_BYTES = 12  # the most that one item of news takes
MAX_HEADER_BYTES = 40  # the most that all the rest takes
MAX_UPDATES = (MAX_MESSAGE_BYTES - MAX_HEADER_BYTES) // MAX_UPDATE_BYTES
TAG_BYTES = 4
_MOST_NUMBER = 1 << 20
_MOST_COUNT = 1 << 32


class MessageKind(enum.IntEnum):
    """What a note asks or answers."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2  # ask somebody else for me


class GossipMessage(msgspec.Struct, array_like=True, frozen=True):
    """A note as it goes out."""

    fleet_tag: bytes
    kind: int
    sequence: int
    sender: int
    incarnation: int
    target: int
    updates: tuple[tuple[int, int, int], ...]


class MessageDecodeError(ValueError):
    """A note that is passed over, and the one word under which it is counted."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(GossipMessage)


def encode_message(note: GossipMessage) -> bytes:
    """The bytes of a note; ValueError if they are too many, which no note of ours is."""
    data = _encoder.encode(note)
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"a note of {len(data)} bytes; {MAX_MESSAGE_BYTES} are allowed")
    return data


def decode_message(data: bytes, fleet: bytes, count: int) -> GossipMessage:
    """A note of a fleet of so many members; Unreadable says why it is none."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageDecodeError("long")
    try:
        note = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        raise MessageDecodeError("garbled") from None
    if note.fleet_tag != fleet:
        raise MessageDecodeError("foreign")
    numbers = (note.sender, note.target + 1, *(number for number, _, _ in note.updates))
    figures = (note.sequence, note.incarnation, *(incarnation for _, _, incarnation in note.updates))
    if note.kind not in tuple(MessageKind) or not 0 <= note.sender < count or note.target >= count:
        raise MessageDecodeError("garbled")
    if not all(0 <= n < _MOST_NUMBER for n in numbers) or not all(0 <= f < _MOST_COUNT for f in figures):
        raise MessageDecodeError("garbled")
    if any(number >= count or not 0 <= state <= 3 for number, state, _ in note.updates):
        raise MessageDecodeError("garbled")
    return note
