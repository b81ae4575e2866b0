"""What a balancer has learned, kept over a restart: one serialization, for the next process and for a file.

    store = Store(Path("/var/lib/irondrum"), "front-1")
    store.save(encode(state, written_ms=now))
    found = store.load()                 # the newest that can be read, of two generations
    if found.snapshot: use(found.snapshot.state, age_ms=now - found.snapshot.written_ms)

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
