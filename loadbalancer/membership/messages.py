"""The gossip message: MessagePack (https://msgpack.org), at most 256 bytes as PROTOCOL allows.

An array: the fleet's tag, the kind, a sequence number, the sender's number and incarnation, the target of an
indirect ping (or -1), and updates about members as (number, state, incarnation). The field order is part of
the wire format; the field names are not.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

MAX_MESSAGE_BYTES = 256
MAX_UPDATE_BYTES = 12  # maximum encoded size of one update
MAX_HEADER_BYTES = 40  # maximum encoded size of all other fields
MAX_UPDATES = (MAX_MESSAGE_BYTES - MAX_HEADER_BYTES) // MAX_UPDATE_BYTES
FLEET_TAG_BYTES = 4
MAX_MEMBER_STATE = 3
# Bounds on received numbers, so that relayed updates stay within `MAX_UPDATE_BYTES`.
_MEMBER_NUMBER_LIMIT = 1 << 20
_COUNTER_LIMIT = 1 << 32


class MessageKind(enum.IntEnum):
    """The message kinds of SWIM."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2  # asks the recipient to ping the target (SWIM's ping-req)


class MemberUpdate(NamedTuple):
    """A claim about a member's state; encoded as an array."""

    number: int
    state: int
    incarnation: int


class GossipMessage(msgspec.Struct, array_like=True, frozen=True):
    """A gossip message; encoded as an array."""

    fleet_tag: bytes
    kind: int
    sequence: int
    sender: int
    incarnation: int
    target: int
    updates: tuple[MemberUpdate, ...]


class MessageDecodeError(ValueError):
    """A received message is dropped; the text is the one-word reason under which it is counted."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(GossipMessage)


def encode_message(message: GossipMessage) -> bytes:
    """Encode a message; ValueError if it is too long, which `MAX_UPDATES` rules out."""
    data = _encoder.encode(message)
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"message has {len(data)} bytes; at most {MAX_MESSAGE_BYTES} are allowed")
    return data


def decode_message(data: bytes, fleet_tag: bytes, count: int) -> GossipMessage:
    """Decode a message of a fleet of `count` members; MessageDecodeError names the reason."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageDecodeError("long")
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageDecodeError("garbled") from error
    if message.fleet_tag != fleet_tag:
        raise MessageDecodeError("foreign")
    if not _is_within_bounds(message, count):
        raise MessageDecodeError("garbled")
    return message


def _is_within_bounds(message: GossipMessage, count: int) -> bool:
    updates = message.updates
    numbers = (message.sender, message.target + 1, *(update.number for update in updates))
    counters = (message.sequence, message.incarnation, *(update.incarnation for update in updates))
    if message.kind not in tuple(MessageKind) or not 0 <= message.sender < count or message.target >= count:
        return False
    if not all(0 <= number < _MEMBER_NUMBER_LIMIT for number in numbers):
        return False
    if not all(0 <= counter < _COUNTER_LIMIT for counter in counters):
        return False
    return all(update.number < count and 0 <= update.state <= MAX_MEMBER_STATE for update in updates)
