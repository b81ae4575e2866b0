"""Which servers self-preservation keeps in each zone and group, and its cost while a zone is silent."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.registry import Catalog, Entry, Registration, Rules, Status
from loadbalancer.registry.merge import Generation, to_shared

RULES = Rules(
    mass_expiry_ratio=1.0,
    mass_expiry_window_ms=0.001,
    settle_ms=0.0,
    self_preservation_window_ms=50_000.0,
    max_expirations=100,
)


def make_registration(zone: str, group: int, lease_ms: float = 1_000.0) -> Registration:
    return Registration(address="127.0.0.1:5000", zone=zone, group=group, lease_ms=lease_ms)


def has_too_few(entry: Entry, entries: list[Entry], now: float) -> bool:
    """A naive reference for the rule: whether its zone or group would have too few healthy servers."""
    for field in ("zone", "group"):
        members = [e for e in entries if getattr(e.registration, field) == getattr(entry.registration, field)]
        members = [
            e
            for e in members
            if e.is_listed
            or (e.is_expired and e.expirations_ms[-1] > now - RULES.self_preservation_window_ms)
        ]
        healthy = [
            e for e in members if e is not entry and e.status is Status.IN_SERVICE and not e.is_preserved
        ]
        if len(members) > 1 and len(healthy) < RULES.self_preservation_threshold * len(members):
            return True
    return False


SERVERS = st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 2)), min_size=1, max_size=14)
CHECKS = st.lists(
    st.tuples(st.floats(100.0, 40_000.0), st.sets(st.integers(0, 13)), st.sets(st.integers(0, 13))),
    min_size=1,
    max_size=8,
)


@settings(deadline=None, derandomize=True, max_examples=300)
@given(servers=SERVERS, checks=CHECKS)
def test_expiry_removes_what_self_preservation_allows_one_after_another(
    servers: list[tuple[str, int]], checks: list[tuple[float, set[int], set[int]]]
) -> None:
    """Any servers renew and any drain between checks; the rule decides on each in their order."""
    catalog, reference, now = Catalog(RULES, 100), Catalog(RULES, 100), 0.0
    for target in (catalog, reference):
        for n, zone_and_group in enumerate(servers):
            target.register(f"s{n}", make_registration(*zone_and_group), now)
    for elapsed_ms, renewing, draining in checks:
        now += elapsed_ms
        for target in (catalog, reference):
            listed = [n for n in range(len(servers)) if target.entries[f"s{n}"].is_listed]
            for n in listed:
                if n in renewing:
                    target.renew(f"s{n}", 0.0, now)
                if n in draining and n not in renewing:
                    target.drain(f"s{n}", now)
        removed = []
        for entry in [e for e in reference.entries.values() if e.is_listed and now > e.lease_expiry_ms]:
            if has_too_few(entry, list(reference.entries.values()), now):
                entry.is_preserved = True
            else:
                entry.is_preserved, entry.expired_at_renewal, entry.expirations_ms = (
                    False,
                    entry.renewal_count,
                    [*entry.expirations_ms, now],
                )
                removed.append(entry.name)
        assert [change.name for change in catalog.expire_leases(now)] == removed
        assert {e.name: (e.status, e.is_preserved) for e in catalog.entries.values()} == {
            e.name: (e.status, e.is_preserved) for e in reference.entries.values()
        }


class CountingCatalog(Catalog):
    """Counts the entries that `entries_of` yields."""

    visits = 0

    def entries_of(self, tier: str) -> Iterator[Entry]:
        for entry in super().entries_of(tier):
            self.visits += 1
            yield entry


@pytest.mark.parametrize("silent_count", [1, 10, 100])
def test_expiry_visits_a_tier_at_most_twice_however_many_servers_are_silent(silent_count: int) -> None:
    """All servers were visited twice for each silent server: 2.5 s at 8,000 servers, four times a second."""
    catalog = CountingCatalog(RULES, 100)
    for n in range(200):
        is_silent = n < silent_count
        catalog.register(
            f"s{n}", make_registration("a" if is_silent else "b", 1, 1_000.0 if is_silent else 1e6), 0.0
        )
    catalog.expire_leases(5_000.0)
    catalog.visits = 0
    catalog.expire_leases(5_250.0)
    assert catalog.visits <= 2 * 200


def test_servers_expired_at_another_instance_count_by_their_lease_here() -> None:
    """The check raised an IndexError: the time of their expiry is not known here."""
    here, there = Catalog(RULES, 100, 0, 8), Catalog(RULES, 101, 1, 8)
    for n in range(8):
        here.register(f"s{n}", make_registration("a", 1), 0.0)
    for entry in here.entries.values():
        there.merge(to_shared(entry), 0.0, "0")
    for n in range(2, 8):
        here.renew(f"s{n}", 0.0, 9_000.0)
        there.merge_renewals(f"s{n}", Generation(0.0, 0), here.entries[f"s{n}"].renewal_count, 9_000.0)
    assert [change.name for change in here.expire_leases(9_500.0)] == ["s0", "s1"]
    for name in ("s0", "s1"):
        there.merge(to_shared(here.entries[name]), 9_600.0, "0")
    assert there.entries["s0"].is_expired and not there.entries["s0"].expirations_ms
    now = 20_000.0
    for n in range(4, 8):
        there.renew(f"s{n}", 0.0, now)
    assert [change.name for change in there.expire_leases(now)] == ["s2", "s3"], "4 of 8 must stay healthy"
    there.renew("s4", 0.0, 21_500.0)
    assert there.expire_leases(21_500.0) == []
