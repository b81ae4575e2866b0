"""What a look for lapses leaves in each zone and group, and what it costs while a zone is silent."""

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


def told(zone: str, group: int, lease_ms: float = 1_000.0) -> Registration:
    return Registration(address="127.0.0.1:5000", zone=zone, group=group, lease_ms=lease_ms)


def has_too_few(entry: Entry, entries: list[Entry], now: float) -> bool:
    """The rule as it reads: of each place's servers, as they were lately, the floor's part stays well."""
    for field in ("zone", "group"):
        mine = [e for e in entries if getattr(e.registration, field) == getattr(entry.registration, field)]
        mine = [
            e
            for e in mine
            if e.is_listed
            or (e.is_expired and e.expirations_ms[-1] > now - RULES.self_preservation_window_ms)
        ]
        well = [e for e in mine if e is not entry and e.status is Status.IN_SERVICE and not e.is_preserved]
        if len(mine) > 1 and len(well) < RULES.self_preservation_threshold * len(mine):
            return True
    return False


SERVERS = st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 2)), min_size=1, max_size=14)
LOOKS = st.lists(
    st.tuples(st.floats(100.0, 40_000.0), st.sets(st.integers(0, 13)), st.sets(st.integers(0, 13))),
    min_size=1,
    max_size=8,
)


@settings(deadline=None, derandomize=True, max_examples=300)
@given(servers=SERVERS, looks=LOOKS)
def test_a_look_takes_those_that_the_rule_lets_it_take_one_after_another(
    servers: list[tuple[str, int]], looks: list[tuple[float, set[int], set[int]]]
) -> None:
    """Any servers renew and any drain between looks; each is judged by the rule, in their order."""
    one, twin, now = Catalog(RULES, 100), Catalog(RULES, 100), 0.0
    for made in (one, twin):
        for n, place in enumerate(servers):
            made.register(f"s{n}", told(*place), now)
    for span, renewing, draining in looks:
        now += span
        for made in (one, twin):
            listed = [n for n in range(len(servers)) if made.entries[f"s{n}"].is_listed]
            for n in listed:
                if n in renewing:
                    made.renew(f"s{n}", 0.0, now)
                if n in draining and n not in renewing:
                    made.drain(f"s{n}", now)
        taken = []
        for entry in [e for e in twin.entries.values() if e.is_listed and now > e.lease_expiry_ms]:
            if has_too_few(entry, list(twin.entries.values()), now):
                entry.is_preserved = True
            else:
                entry.is_preserved, entry.expired_at_renewal, entry.expirations_ms = (
                    False,
                    entry.renewal_count,
                    [*entry.expirations_ms, now],
                )
                taken.append(entry.name)
        assert [change.name for change in one.expire_leases(now)] == taken
        assert {e.name: (e.status, e.is_preserved) for e in one.entries.values()} == {
            e.name: (e.status, e.is_preserved) for e in twin.entries.values()
        }


class Counted(Catalog):
    """Counts the entries that are gone over by tier."""

    visits = 0

    def entries_of(self, tier: str) -> Iterator[Entry]:
        for entry in super().entries_of(tier):
            self.visits += 1
            yield entry


@pytest.mark.parametrize("silent", [1, 10, 100])
def test_a_look_goes_over_a_tier_as_often_however_many_of_it_are_silent(silent: int) -> None:
    """All were gone over twice for each that was silent: 2.5 s at 8,000 servers, four times a second."""
    one = Counted(RULES, 100)
    for n in range(200):
        is_silent = n < silent
        one.register(f"s{n}", told("a" if is_silent else "b", 1, 1_000.0 if is_silent else 1e6), 0.0)
    one.expire_leases(5_000.0)
    one.visits = 0
    one.expire_leases(5_250.0)
    assert one.visits <= 2 * 200


def test_servers_of_which_another_instance_told_that_they_lapsed_count_with_their_lease_here() -> None:
    """The look ended in an IndexError: of those there is no time of a lapse."""
    here, there = Catalog(RULES, 100, 0, 8), Catalog(RULES, 101, 1, 8)
    for n in range(8):
        here.register(f"s{n}", told("a", 1), 0.0)
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
    assert [change.name for change in there.expire_leases(now)] == ["s2", "s3"], "4 of 8 are well: the floor"
    there.renew("s4", 0.0, 21_500.0)
    assert there.expire_leases(21_500.0) == []
