"""The messages of a hot restart, and the path of its socket.

The old process sends the listening socket with a leading space, then the state as one line of JSON; the new
one answers with `READY`; from then on the old one sends a line of descriptor counts whenever they change.
Older and newer versions read the keys too: they are fixed, and differ from the fields' names.

On a second connection the new process answers the state with `EXCHANGE`, and gets the offset of the clock
that the times in the state are of; then IDs are exchanged, see `state_exchange`. With `EXCHANGE_ALL`, orders
are exchanged, too. Versions that don't know a command close the connection.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

READY = b"ready\n"
EXCHANGE = b"ids  \n"  # as long as READY, which older versions expect
EXCHANGE_ALL = b"all  \n"
CLOCK_MESSAGE_BYTES = 32
END_OF_MESSAGE = b"\n"
LISTENER_PADDING = b" "  # descriptors need at least one byte of data; JSON ignores leading spaces


@dataclass(frozen=True)
class DescriptorCounts:
    """The descriptors that the old process still holds, by use: the new one opens that many fewer."""

    downstream: int = 0
    upstream: int = 0


def encode_counts(counts: DescriptorCounts) -> bytes:
    """Encode the counts as a message."""
    return json.dumps({"callers": counts.downstream, "upstreams": counts.upstream}).encode() + END_OF_MESSAGE


def decode_counts(line: bytes) -> DescriptorCounts:
    """Decode the counts of a message; ValueError if it is malformed. A missing count is 0."""
    counts = {str(name): int(count) for name, count in json.loads(line).items()}
    return DescriptorCounts(downstream=counts.get("callers", 0), upstream=counts.get("upstreams", 0))


def encode_clock(offset_ms: float) -> bytes:
    """Encode the offset of a process's clock as a message of a fixed length."""
    return b"%*.3f\n" % (CLOCK_MESSAGE_BYTES - 1, offset_ms)


def decode_clock(message: bytes) -> float:
    """Decode the offset of a process's clock; ValueError if it is malformed."""
    return float(message)


def encode_state(state: dict[str, Any]) -> bytes:
    """Encode the state as a message."""
    return json.dumps(state).encode() + END_OF_MESSAGE


def decode_state(message: bytes) -> dict[str, Any]:
    """Decode the state of a message; ValueError if it is not a JSON object."""
    state = json.loads(message)
    if not isinstance(state, dict):
        raise ValueError(f"the predecessor's state is not a JSON object, but {type(state).__name__}")
    return state


@contextmanager
def socket_path(folder: Path) -> Iterator[str]:
    """Yield a short path to the socket: the kernel allows about 100 bytes, and folders may be deep."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/handover"
    finally:
        os.close(descriptor)
