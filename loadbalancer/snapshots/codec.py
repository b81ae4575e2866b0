"""The format of a snapshot: a header line that says what follows, then the state as JSON.

The header holds the format's version (`form`), when the snapshot was written (`written_ms`, Unix ms), how
many bytes follow and their digest. A later version may add fields to it; another number is for a format that
older programs must not read.
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
    """Bytes that are no snapshot that we can use; one line says why."""


@dataclass(frozen=True)
class Snapshot:
    """What was learned, and when that was written (Unix ms)."""

    state: State
    written_at_ms: float


@dataclass(frozen=True)
class _Header:
    format_version: object
    written_at_ms: float
    body_bytes: object
    digest: object


def encode_snapshot(state: State, written_at_ms: float) -> bytes:
    """Return the bytes of a snapshot."""
    body = json.dumps(state, separators=(",", ":")).encode()
    header = {
        "form": FORMAT_VERSION,
        "written_ms": written_at_ms,
        "bytes": len(body),
        "digest": _digest(body),
    }
    return json.dumps(header).encode() + b"\n" + body


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot in some bytes.

    SnapshotDecodeError if they are cut short, garbled, or of another format version.
    """
    first_line, _, body = data.partition(b"\n")
    header = _decode_header(first_line)
    if header.format_version != FORMAT_VERSION:
        raise SnapshotDecodeError(
            f"it is of form {header.format_version!r}; this program reads form {FORMAT_VERSION}"
        )
    if len(body) != header.body_bytes:
        raise SnapshotDecodeError(f"it holds {len(body)} of {header.body_bytes} bytes")
    if _digest(body) != header.digest:
        raise SnapshotDecodeError("its digest is another")
    try:
        state = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise SnapshotDecodeError("it is no JSON") from error
    if not isinstance(state, dict):
        raise SnapshotDecodeError("it is no object")
    return Snapshot(state, header.written_at_ms)


def _decode_header(line: bytes) -> _Header:
    try:
        raw = json.loads(line)
        return _Header(raw["form"], float(raw["written_ms"]), raw["bytes"], raw["digest"])
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise SnapshotDecodeError("its first line is none of ours") from error


def _digest(body: bytes) -> str:
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
