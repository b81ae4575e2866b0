"""What a look for lapses leaves in each zone and group, and what it costs while a zone is silent."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.registry import Catalog, Entry, Registration, Rules, Status
from loadbalancer.registry.merge import share

RULES = Rules(doubt_part=1.0, doubt_ms=0.001, settle_ms=0.0, floor_ms=50_000.0, flaps=100)


def told(zone: str, group: int, lease_ms: float = 1_000.0) -> Registration:
    return Registration(address="127.0.0.1:5000", zone=zone, group=group, lease_ms=lease_ms)


def has_too_few(entry: Entry, entries: list[Entry], now: float) -> bool:
    """The rule as it reads: of each place's servers, as they were lately, the floor's part stays well."""
    for field in ("zone", "group"):
        mine = [e for e in entries if getattr(e.told, field) == getattr(entry.told, field)]
        mine = [e for e in mine if e.is_listed or (e.by_lapse and e.lapses_ms[-1] > now - RULES.floor_ms)]
        well = [e for e in mine if e is not entry and e.status is Status.IN_SERVICE and not e.lapsed]
        if len(mine) > 1 and len(well) < RULES.floor_part * len(mine):
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
        for entry in [e for e in twin.entries.values() if e.is_listed and now > e.lease_end_ms]:
            if has_too_few(entry, list(twin.entries.values()), now):
                entry.lapsed = True
            else:
                entry.lapsed, entry.lapsed_at, entry.lapses_ms = False, entry.beats, [*entry.lapses_ms, now]
                taken.append(entry.name)
        assert [change.name for change in one.lapse(now)] == taken
        assert {e.name: (e.status, e.lapsed) for e in one.entries.values()} == {
            e.name: (e.status, e.lapsed) for e in twin.entries.values()
        }


class Counted(Catalog):
    """Counts the entries that are gone over by tier."""

    visits = 0

    def _all_of(self, tier: str) -> Iterator[Entry]:
        for entry in super()._all_of(tier):
            self.visits += 1
            yield entry


@pytest.mark.parametrize("silent", [1, 10, 100])
def test_a_look_goes_over_a_tier_as_often_however_many_of_it_are_silent(silent: int) -> None:
    """All were gone over twice for each that was silent: 2.5 s at 8,000 servers, four times a second."""
    one = Counted(RULES, 100)
    for n in range(200):
        is_silent = n < silent
        one.register(f"s{n}", told("a" if is_silent else "b", 1, 1_000.0 if is_silent else 1e6), 0.0)
    one.lapse(5_000.0)
    one.visits = 0
    one.lapse(5_250.0)
    assert one.visits <= 2 * 200


def test_servers_of_which_another_instance_told_that_they_lapsed_count_with_their_lease_here() -> None:
    """The look ended in an IndexError: of those there is no time of a lapse."""
    here, there = Catalog(RULES, 100, 0, 8), Catalog(RULES, 101, 1, 8)
    for n in range(8):
        here.register(f"s{n}", told("a", 1), 0.0)
    for entry in here.entries.values():
        there.merge(share(entry), 0.0, "0")
    for n in range(2, 8):
        here.renew(f"s{n}", 0.0, 9_000.0)
        there.beat(f"s{n}", (0.0, 0), here.entries[f"s{n}"].beats, 9_000.0)
    assert [change.name for change in here.lapse(9_500.0)] == ["s0", "s1"]
    for name in ("s0", "s1"):
        there.merge(share(here.entries[name]), 9_600.0, "0")
    assert there.entries["s0"].by_lapse and not there.entries["s0"].lapses_ms
    now = 20_000.0
    for n in range(4, 8):
        there.renew(f"s{n}", 0.0, now)
    assert [change.name for change in there.lapse(now)] == ["s2", "s3"], "4 of 8 are well: the floor"
    there.renew("s4", 0.0, 21_500.0)
    assert there.lapse(21_500.0) == []
