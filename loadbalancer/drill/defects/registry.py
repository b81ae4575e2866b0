"""Defects of the registry's instances."""

from __future__ import annotations

from loadbalancer.drill.patching import replace_global
from loadbalancer.registry import Catalog, catalog, service
from loadbalancer.registry.lease_expiry import LeaseExpiry
from loadbalancer.registry.merge import SharedEntry
from loadbalancer.registry.self_preservation import SelfPreservation


def believes_lapses() -> None:
    """Remove every server whose lease expires: no self-preservation."""
    LeaseExpiry._detect_mass_expiry = lambda self, tier, now: None  # type: ignore[method-assign]
    SelfPreservation.must_keep = lambda self, entry: False  # type: ignore[method-assign]


def reuses_versions() -> None:
    """Begin at revision 1 without a database, and give who has seen more no full snapshot."""
    real = Catalog.resume_watch

    def _first_revision(stored: int, now_ms: float, number: int, stride: int) -> int:
        return (stored // stride + 1) * stride + number

    replace_global(service, "first_revision", _first_revision)

    def _resume_watch(self: Catalog, services: tuple[str, ...], after: int, now: float) -> bool:
        return real(self, services, min(after, self.revision), now)

    Catalog.resume_watch = _resume_watch  # type: ignore[assignment, method-assign]


def lapses_unheard() -> None:
    """Let a lease expire though another instance, out of reach, may have renewed it."""
    real = Catalog.expire_leases
    Catalog.expire_leases = lambda self, now, peers_complete_as_of_ms=0.0: real(self, now)  # type: ignore[method-assign]


def takes_drains_back() -> None:
    """Merge two entries of a server by taking the one with more changes, whatever the other says."""

    def _join(one: SharedEntry, other: SharedEntry) -> SharedEntry:
        return max(
            one, other, key=lambda account: (account.generation, account.change_count, account.renewal_count)
        )

    replace_global(catalog, "join", _join)


def keeps_old_starts() -> None:
    """Merge two entries of a server by taking the earlier start."""

    def _join(one: SharedEntry, other: SharedEntry) -> SharedEntry:
        joined: SharedEntry = real(one, other)
        return joined if one.generation == other.generation else min(one, other, key=lambda a: a.generation)

    real = replace_global(catalog, "join", _join)
