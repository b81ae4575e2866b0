"""What a balancer has learned, kept over a restart: one serialization, for the next process and for a file.

    store = Store(Path("/var/lib/irondrum"), "front-1")
    store.save(encode(state, written_ms=now))
    found = store.load()                 # the newest that can be read, of two generations
    if found.snapshot: use(found.snapshot.state, age_ms=now - found.snapshot.written_ms)

By the standard library alone, since every balancer may use it: JSON, and a digest by hashlib's BLAKE2.
"""

from loadbalancer.snapshots.codec import Snapshot, Unreadable, decode, encode
from loadbalancer.snapshots.store import Found, Store

__all__ = ["Found", "Snapshot", "Store", "Unreadable", "decode", "encode"]
