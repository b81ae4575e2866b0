"""The snapshot format: a header line that describes the body, then the state as JSON.

The header holds the format version (`form`), the time of writing (`written_ms`, Unix ms), and the length and
digest of the body. Later versions may add header fields; the version number changes only for a format that
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
    """The data is not a usable snapshot; the message is a single line."""


@dataclass(frozen=True)
class Snapshot:
    """The learned state, and when it was written (Unix ms)."""

    state: State
    written_at_ms: float


@dataclass(frozen=True)
class _Header:
    format_version: object
    written_at_ms: float
    body_bytes: object
    digest: object


def encode_snapshot(state: State, written_at_ms: float) -> bytes:
    """Encode a snapshot."""
    body = json.dumps(state, separators=(",", ":")).encode()
    header = {
        "form": FORMAT_VERSION,
        "written_ms": written_at_ms,
        "bytes": len(body),
        "digest": _digest(body),
    }
    return json.dumps(header).encode() + b"\n" + body


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot.

    SnapshotDecodeError if it is truncated, corrupted, or of another format version.
    """
    first_line, _, body = data.partition(b"\n")
    header = _decode_header(first_line)
    if header.format_version != FORMAT_VERSION:
        raise SnapshotDecodeError(
            f"unsupported format version {header.format_version!r}; expected {FORMAT_VERSION}"
        )
    if len(body) != header.body_bytes:
        raise SnapshotDecodeError(f"body has {len(body)} of {header.body_bytes} bytes")
    if _digest(body) != header.digest:
        raise SnapshotDecodeError("body does not match its digest")
    try:
        state = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise SnapshotDecodeError("body is not valid JSON") from error
    if not isinstance(state, dict):
        raise SnapshotDecodeError("body is not a JSON object")
    return Snapshot(state, header.written_at_ms)


def _decode_header(line: bytes) -> _Header:
    try:
        raw = json.loads(line)
        return _Header(raw["form"], float(raw["written_ms"]), raw["bytes"], raw["digest"])
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise SnapshotDecodeError("invalid header line") from error


def _digest(body: bytes) -> str:
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
