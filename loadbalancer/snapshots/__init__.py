"""Snapshots of a balancer's learned state, which persist across restarts in two generations.

    store = SnapshotStore(Path("/var/lib/irondrum"), "front-1")
    store.save(encode_snapshot(state, written_at_ms=now))
    result = store.load()                 # the newest readable generation
    if result.snapshot: use(result.snapshot.state, age_ms=now - result.snapshot.written_at_ms)

Uses only the standard library, since every balancer may load it: JSON, and a BLAKE2 digest from hashlib.
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
