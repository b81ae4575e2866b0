"""Several instances of the list: accounts join, cuts drop nobody, and all agree again by themselves."""

from __future__ import annotations

import json
import sqlite3
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from loadbalancer.registry import Catalog, Registration, Rules, Status, WriteRejectedError, first_revision
from loadbalancer.registry.anti_entropy import (
    MAX_FINGERPRINT_MISMATCHES,
    MAX_INSTANCES,
    AntiEntropy,
    InstanceMismatchError,
)
from loadbalancer.registry.merge import STATUS_ORDER, SharedEntry, is_conflict, join
from loadbalancer.registry.server import RegistryServerError, read_configuration
from loadbalancer.registry.store import CatalogStore

LEASE_MS = 1_000.0
RULES = Rules(mass_expiry_ratio=1.0, self_preservation_threshold=0.0, max_expirations=1_000, settle_ms=0.0)


def told(**more: Any) -> Registration:
    base: dict[str, Any] = {"address": "127.0.0.1:5000", "zone": "a", "lease_ms": LEASE_MS}
    return Registration(**(base | more))


class Instances:
    """So many instances whose messages arrive at once, or not at all."""

    def __init__(self, count: int = 2) -> None:
        self.now = 0.0
        self.cut: set[tuple[int, int]] = set()
        self.catalogs: list[Catalog] = []
        self.exchanges: list[AntiEntropy] = []
        for number in range(count):
            self.catalogs.append(self.catalog(number))
            self.exchanges.append(AntiEntropy(self.catalogs[number], number, count, incarnation=number + 1))

    def catalog(self, number: int) -> Catalog:
        first = first_revision(0, 1_000.0 + number, number, MAX_INSTANCES)
        return Catalog(RULES, first, number, MAX_INSTANCES)

    def restart(self, number: int) -> None:
        """It comes back without its memory."""
        self.catalogs[number] = self.catalog(number)
        life = 100 + int(self.now) + number
        self.exchanges[number] = AntiEntropy(self.catalogs[number], number, len(self.catalogs), life)

    def ask(self, one: int, other: int) -> None:
        if (one, other) in self.cut:
            return
        question = self.exchanges[one].make_request(other)
        answer, _ = self.exchanges[other].handle_request(passed_on(question), self.now)
        if (other, one) not in self.cut:
            self.exchanges[one].handle_response(other, passed_on(answer), self.now, self.now)

    def ask_all(self) -> None:
        for one in range(len(self.catalogs)):
            for other in self.exchanges[one].peers:
                self.ask(one, other)

    def pass_by(self, span_ms: float, *renewing: tuple[int, str]) -> None:
        """Time passes; servers renew at an instance, all lapse what they may."""
        for _ in range(round(span_ms / 100)):
            self.now += 100.0
            for number, name in renewing:
                self.catalogs[number].renew(name, 0.0, self.now)
            self.ask_all()
            for catalog, exchange in zip(self.catalogs, self.exchanges, strict=True):
                catalog.expire_leases(self.now, exchange.complete_as_of_ms)

    def split(self) -> None:
        self.cut = {(0, 1), (1, 0)}

    def listed(self, number: int) -> dict[str, str]:
        return {e.name: e.status.value for e in self.catalogs[number].listed_entries("first")}


def passed_on(message: Any) -> Any:
    """As it arrives on the wire."""
    return msgspec.json.decode(msgspec.json.encode(message), type=type(message))


def two(*names: str) -> Instances:
    made = Instances()
    for name in names:
        made.catalogs[0].register(name, told(), 0.0)
    made.ask_all()
    return made


# ---- two accounts of a server --------------------------------------------------------------------


accounts = st.builds(
    SharedEntry,
    st.just("s0"),
    st.builds(told, since_ms=st.sampled_from([0.0, 5.0]), weight=st.sampled_from([1.0, 2.0])),
    st.sampled_from(STATUS_ORDER),
    st.integers(0, 1),
    st.integers(0, 2),
    st.integers(0, 3),
    st.integers(-1, 3),
    st.booleans(),
)


@given(accounts, accounts, accounts)
def test_accounts_join_alike_in_any_order_and_however_often(
    one: SharedEntry, two: SharedEntry, three: SharedEntry
) -> None:
    assert join(one, two) == join(two, one)
    assert join(join(one, two), three) == join(one, join(two, three))
    assert join(one, one) == one
    assert is_conflict(one, two) == is_conflict(two, one)


@given(accounts, accounts)
def test_a_drain_is_never_lost_but_to_a_later_server(one: SharedEntry, two: SharedEntry) -> None:
    joined = join(one, two)
    for account in (one, two):
        if account.generation == joined.generation:
            assert STATUS_ORDER.index(joined.reported_status) >= STATUS_ORDER.index(account.reported_status)
        else:
            assert account.generation < joined.generation


# ---- instances -----------------------------------------------------------------------------------


def test_a_write_at_any_instance_is_known_at_all_and_an_echo_changes_nothing() -> None:
    made = two("s0", "s1")
    made.catalogs[1].drain("s0", 1.0)
    made.ask_all()
    assert made.listed(0) == made.listed(1) == {"s0": "terminating", "s1": "in_service"}
    before = [catalog.revision for catalog in made.catalogs]
    made.ask_all()
    assert [catalog.revision for catalog in made.catalogs] == before
    assert made.exchanges[0].make_request(1).entries == ()


def test_a_cut_drops_no_server_that_renews_at_either_side() -> None:
    made = two("s0", "s1")
    made.split()
    made.pass_by(20 * LEASE_MS, (0, "s0"), (1, "s1"))
    assert made.listed(0) == made.listed(1) == {"s0": "in_service", "s1": "in_service"}
    assert [made.catalogs[0].entries[name].is_preserved for name in ("s0", "s1")] == [False, True]
    made.cut = set()
    made.pass_by(3 * LEASE_MS, (0, "s0"), (1, "s1"))
    assert made.listed(0) == made.listed(1) == {"s0": "in_service", "s1": "in_service"}


def test_a_server_that_died_in_the_cut_goes_when_it_is_healed() -> None:
    made = two("s0", "s1")
    made.split()
    made.pass_by(5 * LEASE_MS, (0, "s0"))
    assert "s1" in made.listed(0), "it may be renewing at the other side"
    made.cut = set()
    made.pass_by(LEASE_MS, (0, "s0"))
    assert made.listed(0) == made.listed(1) == {"s0": "in_service"}


def test_letting_go_of_a_pinned_server_gives_it_a_lease_at_every_instance() -> None:
    """Only the instance that was told let its lease run anew; the others took the server off at once."""
    made = two("s0")
    made.catalogs[0].set_pinned("s0", 0.0, is_pinned=True)
    made.pass_by(5 * LEASE_MS)
    made.catalogs[0].set_pinned("s0", made.now, is_pinned=False)
    made.pass_by(LEASE_MS / 2)
    assert made.listed(0) == made.listed(1) == {"s0": "in_service"}
    made.pass_by(LEASE_MS)
    assert made.listed(0) == made.listed(1) == {}


def test_a_lapse_does_not_stand_against_a_renewal_that_it_had_not_heard_of() -> None:
    made = two("s0")
    made.now = 2 * LEASE_MS
    made.catalogs[1].renew("s0", 0.0, made.now)
    assert [c.what for c in made.catalogs[0].expire_leases(made.now)] == ["lapsed"]  # as one that is alone
    made.ask_all()
    assert made.listed(0) == made.listed(1) == {"s0": "in_service"}


def test_both_sides_of_a_cut_may_write_and_what_was_lost_is_shown() -> None:
    made = two("s0", "s1")
    made.split()
    made.catalogs[0].register("s0", told(weight=2.0), 1.0)
    made.catalogs[1].register("s0", told(weight=3.0), 1.0)
    made.catalogs[0].drain("s1", 1.0)
    made.catalogs[1].register("s1", told(weight=4.0), 1.0)
    made.cut = set()
    for _ in range(2):
        made.ask_all()
    weights = {c.entries["s0"].registration.weight for c in made.catalogs}
    assert len(weights) == 1 and weights <= {2.0, 3.0}
    assert made.listed(0)["s1"] == made.listed(1)["s1"] == "terminating"
    assert sum(c.conflict_counts["s0"] for c in made.catalogs) >= 1
    assert made.catalogs[0].updates.fingerprint == made.catalogs[1].updates.fingerprint


def test_one_that_lost_its_memory_has_it_back_from_the_others() -> None:
    made = two("s0", "s1")
    made.catalogs[0].drain("s0", 1.0)
    made.ask_all()
    made.restart(1)
    made.ask_all()
    assert made.listed(1) == {"s0": "terminating", "s1": "in_service"}


def test_an_entry_that_a_fault_has_altered_is_told_again() -> None:
    made = two("s0", "s1")
    catalog = made.catalogs[1]
    catalog.entries["s0"].reported_status = Status.TERMINATING
    catalog._record_change(catalog.entries["s0"])
    catalog.updates._changes["s0"] = catalog.updates._updates["s0"] = 1  # and nobody knows that it moved
    for _ in range(2 * MAX_FINGERPRINT_MISMATCHES + 2):
        made.ask_all()
    assert made.listed(0) == made.listed(1) == {"s0": "terminating", "s1": "in_service"}
    assert sum(o.repair_count for e in made.exchanges for o in e.peers.values()) >= 1


def test_a_large_list_goes_over_in_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.registry.anti_entropy.MAX_ENTRIES_PER_MESSAGE", 3)
    made = Instances()
    for number in range(10):
        made.catalogs[0].register(f"s{number}", told(), 0.0)
    assert made.exchanges[1].complete_as_of_ms == float("-inf")
    for _ in range(5):
        made.ask(1, 0)
    assert len(made.listed(1)) == 10
    assert made.exchanges[1].complete_as_of_ms == 0.0


def test_a_watch_that_comes_from_another_instance_gets_the_whole_list_at_a_higher_version() -> None:
    made = two("s0", "s1")
    one, other = made.catalogs
    for _ in range(20):
        one.set_pinned("s0", 1.0, is_pinned=True)
    seen = one.revision
    assert seen > other.revision and one.changes_since("first", seen, 1.0) == []
    stayed = other.revision
    assert other.changes_since("first", seen, 1_000.0) is None
    assert other.revision > seen and other.revision % MAX_INSTANCES == 1
    changes = other.changes_since("first", stayed, 1_000.0)
    assert changes == [], "whoever stayed goes on from where it was"


def test_a_message_from_somebody_else_is_refused_and_changes_nothing() -> None:
    made = two("s0")
    question = made.exchanges[0].make_request(1)
    for sender in (1, 5):
        with pytest.raises(InstanceMismatchError):
            made.exchanges[1].handle_request(msgspec.structs.replace(question, sender=sender), 0.0)
    with pytest.raises(InstanceMismatchError):
        made.exchanges[1].handle_response(0, msgspec.structs.replace(question, sender=1), 0.0, 0.0)


class Anything(RuleBasedStateMachine):
    """Writes, renewals, cuts, restarts and lapses in any order at three instances."""

    names = st.sampled_from(["s0", "s1", "s2"])
    numbers = st.integers(0, 2)

    @initialize()
    def begin(self) -> None:
        self.made = Instances(3)

    @rule(number=numbers, name=names, since=st.sampled_from([0.0, 0.0, 7.0]), weight=st.integers(1, 3))
    def register(self, number: int, name: str, since: float, weight: int) -> None:
        self._try(
            lambda c: c.register(name, told(since_ms=since, weight=float(weight)), self.made.now), number
        )

    @rule(number=numbers, name=names)
    def renew(self, number: int, name: str) -> None:
        entry = self.made.catalogs[number].entries.get(name)
        since = entry.registration.since_ms if entry else 0.0
        self._try(lambda c: c.renew(name, since, self.made.now), number)

    @rule(number=numbers, name=names, remove=st.booleans())
    def drain_or_remove(self, number: int, name: str, remove: bool) -> None:
        self._try(lambda c: (c.remove if remove else c.drain)(name, self.made.now), number)

    @rule(one=numbers, other=numbers)
    def ask(self, one: int, other: int) -> None:
        if one != other:
            self.made.ask(one, other)

    @rule(one=numbers, other=numbers)
    def cut(self, one: int, other: int) -> None:
        self.made.cut ^= {(one, other)}

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        self.made.restart(number)

    @rule(number=numbers, span=st.sampled_from([100.0, 2 * LEASE_MS]))
    def lapse(self, number: int, span: float) -> None:
        self.made.now += span
        self.made.catalogs[number].expire_leases(self.made.now, self.made.exchanges[number].complete_as_of_ms)

    @invariant()
    def versions_are_the_instances_own(self) -> None:
        for number, catalog in enumerate(getattr(self, "made", Instances(0)).catalogs):
            assert catalog.revision % MAX_INSTANCES == number

    def teardown(self) -> None:
        """Without further faults all agree within a few rounds."""
        if not hasattr(self, "made"):
            return
        self.made.cut = set()
        for _ in range(3 * MAX_FINGERPRINT_MISMATCHES + 4):
            self.made.ask_all()
        lists = [self.made.listed(number) for number in range(3)]
        assert lists[0] == lists[1] == lists[2]
        assert len({catalog.updates.fingerprint for catalog in self.made.catalogs}) == 1

    def _try(self, write: Any, number: int) -> None:
        with suppress(WriteRejectedError):
            write(self.made.catalogs[number])


Anything.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestAnything = Anything.TestCase


# ---- files ---------------------------------------------------------------------------------------


def test_a_change_that_could_not_be_kept_takes_back_no_renewal() -> None:
    """A drain that met a full disk left the lease as it was at the change before, and the server lapsed."""
    made = two("s0", "s1")
    one = made.catalogs[0]
    one.renew("s0", 0.0, 900.0)
    change = one.drain("s0", 950.0)
    assert change is not None
    one.revert([change])
    assert made.listed(0)["s0"] == "in_service"
    assert not one.expire_leases(1_500.0) or "s0" in made.listed(0)
    assert "s0" in made.listed(0)


def test_a_file_of_the_version_before_is_read_and_sound(tmp_path: Path) -> None:
    path = tmp_path / "list.sqlite"
    store = CatalogStore(path)
    one = Catalog(RULES, 100)
    store.commit([c for name in ("s0", "s1", "s2") if (c := one.register(name, told(), 0.0))])
    store.commit([c for c in [one.drain("s1", 1.0), one.remove("s2", 1.0)] if c])
    store.commit(one.expire_leases(5_000.0))
    store.close()
    with sqlite3.connect(path) as old:  # as the program before this one wrote it
        for table, key in (("entries", "name"), ("history", "version")):
            for row, data in old.execute(f"select {key}, entry from {table}").fetchall():
                entry = json.loads(data)
                lapsed = entry["lapsed_at"] >= entry["beats"]
                said = "terminated" if lapsed else entry["said"]
                entry |= {"status": said, "by_lapse": lapsed}
                for new in ("said", "life", "rev", "beats", "lapsed_at"):
                    del entry[new]
                old.execute(f"update {table} set entry = ? where {key} = ?", (json.dumps(entry), row))
        old.execute("update meta set value = 1 where key = 'form'")
    again = CatalogStore(path)
    assert list(again.verify()) == []
    found = {e.name: (e.is_expired, e.is_listed) for e in again.entries()}
    assert found == {"s0": (True, False), "s1": (True, False), "s2": (False, False)}


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        ('instances = ["127.0.0.1:1", "127.0.0.1:1"]', "instances: 2; allowed: 8 at most, each once"),
        ('instances = ["127.0.0.1:1"]\ninstance = 1', "instance: 1; allowed: 0 to 0"),
        ('instances = ["nowhere"]', "matching regex"),
    ],
)
def test_instances_that_cannot_be_are_a_line(tmp_path: Path, line: str, fault: str) -> None:
    path = tmp_path / "directory.toml"
    path.write_text(f'listen = "127.0.0.1:1"\ndatabase = "x"\n{line}\n')
    with pytest.raises(RegistryServerError, match=fault):
        read_configuration(path)
