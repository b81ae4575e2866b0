"""The form: a line that says what follows, then the state as JSON.

The first line holds the form's number, when it was written (Unix ms), how many bytes follow and their digest.
A later form may add fields to it; another number is for one that older programs must not read.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

FORMAT_VERSION = 1
MAX_SNAPSHOT_BYTES = 32_000_000
DIGEST_BYTES = 16
State = dict[str, Any]


class SnapshotDecodeError(ValueError):
    """No snapshot that we can use: one line that says why."""


@dataclass(frozen=True)
class Snapshot:
    """What was learned, and when that was written."""

    state: State
    written_at_ms: float


def _digest(body: bytes) -> str:
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def encode_snapshot(state: State, written_ms: float) -> bytes:
    """The bytes of a state."""
    body = json.dumps(state, separators=(",", ":")).encode()
    head = {"form": FORMAT_VERSION, "written_ms": written_ms, "bytes": len(body), "digest": _digest(body)}
    return json.dumps(head).encode() + b"\n" + body


def decode_snapshot(data: bytes) -> Snapshot:
    """The state in some bytes; Unreadable if they are cut short, garbled, or of a newer form."""
    first, _, body = data.partition(b"\n")
    try:
        head = json.loads(first)
        form, size = head["form"], head["bytes"]
        written, digest = float(head["written_ms"]), head["digest"]
    except (ValueError, KeyError, TypeError, RecursionError):
        raise SnapshotDecodeError("its first line is none of ours") from None
    if form != FORMAT_VERSION:
        raise SnapshotDecodeError(f"it is of form {form!r}; this program reads form {FORMAT_VERSION}")
    if len(body) != size:
        raise SnapshotDecodeError(f"it holds {len(body)} of {size} bytes")
    if _digest(body) != digest:
        raise SnapshotDecodeError("its digest is another")
    try:
        state = json.loads(body)
    except (ValueError, RecursionError):
        raise SnapshotDecodeError("it is no JSON") from None
    if not isinstance(state, dict):
        raise SnapshotDecodeError("it is no object")
    return Snapshot(state, written)
