"""Defects in the state that a balancer stores across restarts."""

from __future__ import annotations

from loadbalancer.drill.patching import replace_global
from loadbalancer.net import cordons
from loadbalancer.snapshots import LoadResult, SnapshotStore


def forgets_snapshot() -> None:
    """Load no snapshot after a restart."""

    def _load(self: SnapshotStore) -> LoadResult:
        return LoadResult(None, ())

    SnapshotStore.load = _load  # type: ignore[method-assign]


def forgets_zones() -> None:
    """Lose zone evacuations when the process is replaced."""
    replace_global(cordons, "_decode_evacuations", lambda raw: {})
