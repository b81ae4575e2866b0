"""The messages of a hot restart, and the path of the socket that they go over.

The older process sends the listening socket with a first blank, then the state as one line of JSON; the new
one answers with `READY`; from then on the older one sends a line of descriptor counts whenever they change.
The keys are data that older and newer versions read too; they differ from the fields' names.
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
END_OF_MESSAGE = b"\n"
LISTENER_PADDING = b" "  # descriptors travel with at least one byte; blanks before JSON mean nothing


@dataclass(frozen=True)
class DescriptorCounts:
    """The descriptors that the older process still has, by use: the new one opens that many fewer."""

    downstream: int = 0
    upstream: int = 0


def encode_counts(counts: DescriptorCounts) -> bytes:
    """Return the message that holds the counts."""
    return json.dumps({"callers": counts.downstream, "upstreams": counts.upstream}).encode() + END_OF_MESSAGE


def decode_counts(line: bytes) -> DescriptorCounts:
    """Return the counts in a message; ValueError if it holds none. A count that is not there is 0."""
    counts = {str(name): int(count) for name, count in json.loads(line).items()}
    return DescriptorCounts(downstream=counts.get("callers", 0), upstream=counts.get("upstreams", 0))


def encode_state(state: dict[str, Any]) -> bytes:
    """Return the message that holds the state."""
    return json.dumps(state).encode() + END_OF_MESSAGE


def decode_state(message: bytes) -> dict[str, Any]:
    """Return the state in a message; ValueError if it is no JSON object."""
    state = json.loads(message)
    if not isinstance(state, dict):
        raise ValueError(f"the predecessor's state is no object, but {type(state).__name__}")
    return state


@contextmanager
def socket_path(folder: Path) -> Iterator[str]:
    """Give a short path to the socket: the kernel takes about a hundred bytes, and folders may be deep."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/handover"
    finally:
        os.close(descriptor)
