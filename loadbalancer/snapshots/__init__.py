"""Snapshots of what a balancer has learned, which outlast its process: one serialization, two generations.

    store = SnapshotStore(Path("/var/lib/irondrum"), "front-1")
    store.save(encode_snapshot(state, written_at_ms=now))
    result = store.load()                 # the newest that can be read, of two generations
    if result.snapshot: use(result.snapshot.state, age_ms=now - result.snapshot.written_at_ms)

By the standard library alone, since every balancer may use it: JSON, and a digest by hashlib's BLAKE2.
"""

from loadbalancer.snapshots.codec import Snapshot, SnapshotDecodeError, decode_snapshot, encode_snapshot
from loadbalancer.snapshots.store import LoadResult, SnapshotStore

__all__ = [
    "LoadResult",
    "Snapshot",
    "SnapshotDecodeError",
    "SnapshotStore",
    "decode_snapshot",
    "encode_snapshot",
]
