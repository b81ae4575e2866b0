"""Several registry instances: records join, partitions drop no live server, and all instances converge."""

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


def make_registration(**more: Any) -> Registration:
    base: dict[str, Any] = {"address": "127.0.0.1:5000", "zone": "a", "lease_ms": LEASE_MS}
    return Registration(**(base | more))


class Instances:
    """Instances whose messages arrive at once, or not at all on a cut link."""

    def __init__(self, count: int = 2) -> None:
        self.now = 0.0
        self.cut_links: set[tuple[int, int]] = set()
        self.catalogs: list[Catalog] = []
        self.anti_entropies: list[AntiEntropy] = []
        for number in range(count):
            self.catalogs.append(self.make_catalog(number))
            self.anti_entropies.append(
                AntiEntropy(self.catalogs[number], number, count, incarnation=number + 1)
            )

    def make_catalog(self, number: int) -> Catalog:
        first = first_revision(0, 1_000.0 + number, number, MAX_INSTANCES)
        return Catalog(RULES, first, number, MAX_INSTANCES)

    def restart(self, number: int) -> None:
        """Restart an instance without its database."""
        self.catalogs[number] = self.make_catalog(number)
        new_incarnation = 100 + int(self.now) + number
        self.anti_entropies[number] = AntiEntropy(
            self.catalogs[number], number, len(self.catalogs), new_incarnation
        )

    def synchronize(self, one: int, other: int) -> None:
        if (one, other) in self.cut_links:
            return
        request = self.anti_entropies[one].make_request(other)
        answer, _ = self.anti_entropies[other].handle_request(round_trip(request), self.now)
        if (other, one) not in self.cut_links:
            self.anti_entropies[one].handle_response(other, round_trip(answer), self.now, self.now)

    def synchronize_all(self) -> None:
        for one in range(len(self.catalogs)):
            for other in self.anti_entropies[one].peers:
                self.synchronize(one, other)

    def advance(self, duration_ms: float, *renewing: tuple[int, str]) -> None:
        """Advance the time; servers renew at an instance, and all instances expire leases."""
        for _ in range(round(duration_ms / 100)):
            self.now += 100.0
            for number, name in renewing:
                self.catalogs[number].renew(name, 0.0, self.now)
            self.synchronize_all()
            for catalog, anti_entropy in zip(self.catalogs, self.anti_entropies, strict=True):
                catalog.expire_leases(self.now, anti_entropy.complete_as_of_ms)

    def partition(self) -> None:
        self.cut_links = {(0, 1), (1, 0)}

    def listed(self, number: int) -> dict[str, str]:
        return {e.name: e.status.value for e in self.catalogs[number].listed_entries("first")}


def round_trip(message: Any) -> Any:
    """Return a message as decoded from the wire."""
    return msgspec.json.decode(msgspec.json.encode(message), type=type(message))


def make_pair(*names: str) -> Instances:
    instances = Instances()
    for name in names:
        instances.catalogs[0].register(name, make_registration(), 0.0)
    instances.synchronize_all()
    return instances


# ---- two records of a server ---------------------------------------------------------------------


records = st.builds(
    SharedEntry,
    st.just("s0"),
    st.builds(make_registration, since_ms=st.sampled_from([0.0, 5.0]), weight=st.sampled_from([1.0, 2.0])),
    st.sampled_from(STATUS_ORDER),
    st.integers(0, 1),
    st.integers(0, 2),
    st.integers(0, 3),
    st.integers(-1, 3),
    st.booleans(),
)


@given(records, records, records)
def test_join_is_commutative_associative_and_idempotent(
    one: SharedEntry, two: SharedEntry, three: SharedEntry
) -> None:
    assert join(one, two) == join(two, one)
    assert join(join(one, two), three) == join(one, join(two, three))
    assert join(one, one) == one
    assert is_conflict(one, two) == is_conflict(two, one)


@given(records, records)
def test_a_drain_is_never_lost_except_to_a_later_generation(one: SharedEntry, two: SharedEntry) -> None:
    joined = join(one, two)
    for record in (one, two):
        if record.generation == joined.generation:
            assert STATUS_ORDER.index(joined.reported_status) >= STATUS_ORDER.index(record.reported_status)
        else:
            assert record.generation < joined.generation


# ---- instances -----------------------------------------------------------------------------------


def test_write_at_any_instance_reaches_all_and_an_echo_changes_nothing() -> None:
    instances = make_pair("s0", "s1")
    instances.catalogs[1].drain("s0", 1.0)
    instances.synchronize_all()
    assert instances.listed(0) == instances.listed(1) == {"s0": "terminating", "s1": "in_service"}
    before = [catalog.revision for catalog in instances.catalogs]
    instances.synchronize_all()
    assert [catalog.revision for catalog in instances.catalogs] == before
    assert instances.anti_entropies[0].make_request(1).entries == ()


def test_partition_drops_no_server_that_renews_at_either_side() -> None:
    instances = make_pair("s0", "s1")
    instances.partition()
    instances.advance(20 * LEASE_MS, (0, "s0"), (1, "s1"))
    assert instances.listed(0) == instances.listed(1) == {"s0": "in_service", "s1": "in_service"}
    assert [instances.catalogs[0].entries[name].is_preserved for name in ("s0", "s1")] == [False, True]
    instances.cut_links = set()
    instances.advance(3 * LEASE_MS, (0, "s0"), (1, "s1"))
    assert instances.listed(0) == instances.listed(1) == {"s0": "in_service", "s1": "in_service"}


def test_server_that_died_in_a_partition_expires_when_it_is_healed() -> None:
    instances = make_pair("s0", "s1")
    instances.partition()
    instances.advance(5 * LEASE_MS, (0, "s0"))
    assert "s1" in instances.listed(0), "it may be renewing at the other instance"
    instances.cut_links = set()
    instances.advance(LEASE_MS, (0, "s0"))
    assert instances.listed(0) == instances.listed(1) == {"s0": "in_service"}


def test_unpinned_server_gets_a_new_lease_at_every_instance() -> None:
    """Only the instance that handled the unpin renewed the lease; the others removed the server at once."""
    instances = make_pair("s0")
    instances.catalogs[0].set_pinned("s0", 0.0, is_pinned=True)
    instances.advance(5 * LEASE_MS)
    instances.catalogs[0].set_pinned("s0", instances.now, is_pinned=False)
    instances.advance(LEASE_MS / 2)
    assert instances.listed(0) == instances.listed(1) == {"s0": "in_service"}
    instances.advance(LEASE_MS)
    assert instances.listed(0) == instances.listed(1) == {}


def test_renewal_at_another_instance_overrules_an_expiry_that_did_not_know_it() -> None:
    instances = make_pair("s0")
    instances.now = 2 * LEASE_MS
    instances.catalogs[1].renew("s0", 0.0, instances.now)
    assert [c.what for c in instances.catalogs[0].expire_leases(instances.now)] == ["lapsed"]  # without peers
    instances.synchronize_all()
    assert instances.listed(0) == instances.listed(1) == {"s0": "in_service"}


def test_both_sides_of_a_partition_may_write_and_conflicts_are_counted() -> None:
    instances = make_pair("s0", "s1")
    instances.partition()
    instances.catalogs[0].register("s0", make_registration(weight=2.0), 1.0)
    instances.catalogs[1].register("s0", make_registration(weight=3.0), 1.0)
    instances.catalogs[0].drain("s1", 1.0)
    instances.catalogs[1].register("s1", make_registration(weight=4.0), 1.0)
    instances.cut_links = set()
    for _ in range(2):
        instances.synchronize_all()
    weights = {c.entries["s0"].registration.weight for c in instances.catalogs}
    assert len(weights) == 1 and weights <= {2.0, 3.0}
    assert instances.listed(0)["s1"] == instances.listed(1)["s1"] == "terminating"
    assert sum(c.conflict_counts["s0"] for c in instances.catalogs) >= 1
    assert instances.catalogs[0].updates.fingerprint == instances.catalogs[1].updates.fingerprint


def test_instance_that_lost_its_database_gets_the_entries_from_its_peers() -> None:
    instances = make_pair("s0", "s1")
    instances.catalogs[0].drain("s0", 1.0)
    instances.synchronize_all()
    instances.restart(1)
    instances.synchronize_all()
    assert instances.listed(1) == {"s0": "terminating", "s1": "in_service"}


def test_entry_altered_by_a_fault_is_repaired_by_fingerprint() -> None:
    instances = make_pair("s0", "s1")
    catalog = instances.catalogs[1]
    catalog.entries["s0"].reported_status = Status.TERMINATING
    catalog._record_change(catalog.entries["s0"])
    catalog.updates._changes["s0"] = catalog.updates._updates["s0"] = 1  # no peer learns of the change
    for _ in range(2 * MAX_FINGERPRINT_MISMATCHES + 2):
        instances.synchronize_all()
    assert instances.listed(0) == instances.listed(1) == {"s0": "terminating", "s1": "in_service"}
    assert sum(o.repair_count for e in instances.anti_entropies for o in e.peers.values()) >= 1


def test_large_list_is_sent_in_several_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.registry.anti_entropy.MAX_ENTRIES_PER_MESSAGE", 3)
    instances = Instances()
    for number in range(10):
        instances.catalogs[0].register(f"s{number}", make_registration(), 0.0)
    assert instances.anti_entropies[1].complete_as_of_ms == float("-inf")
    for _ in range(5):
        instances.synchronize(1, 0)
    assert len(instances.listed(1)) == 10
    assert instances.anti_entropies[1].complete_as_of_ms == 0.0


def test_watch_from_another_instance_gets_a_full_snapshot_at_a_higher_revision() -> None:
    instances = make_pair("s0", "s1")
    one, other = instances.catalogs
    for _ in range(20):
        one.set_pinned("s0", 1.0, is_pinned=True)
    seen = one.revision
    assert seen > other.revision and one.changes_since("first", seen, 1.0) == []
    stayed = other.revision
    assert other.changes_since("first", seen, 1_000.0) is None
    assert other.revision > seen and other.revision % MAX_INSTANCES == 1
    changes = other.changes_since("first", stayed, 1_000.0)
    assert changes == [], "a watch that stayed resumes from its revision"


def test_message_from_an_unknown_instance_is_rejected_and_changes_nothing() -> None:
    instances = make_pair("s0")
    request = instances.anti_entropies[0].make_request(1)
    for sender in (1, 5):
        with pytest.raises(InstanceMismatchError):
            instances.anti_entropies[1].handle_request(msgspec.structs.replace(request, sender=sender), 0.0)
    with pytest.raises(InstanceMismatchError):
        instances.anti_entropies[1].handle_response(0, msgspec.structs.replace(request, sender=1), 0.0, 0.0)


class InstanceMachine(RuleBasedStateMachine):
    """Writes, renewals, cut links, restarts and expiries in random order at three instances."""

    names = st.sampled_from(["s0", "s1", "s2"])
    numbers = st.integers(0, 2)

    @initialize()
    def begin(self) -> None:
        self.instances = Instances(3)

    @rule(number=numbers, name=names, since=st.sampled_from([0.0, 0.0, 7.0]), weight=st.integers(1, 3))
    def register(self, number: int, name: str, since: float, weight: int) -> None:
        self._try(
            lambda c: c.register(
                name, make_registration(since_ms=since, weight=float(weight)), self.instances.now
            ),
            number,
        )

    @rule(number=numbers, name=names)
    def renew(self, number: int, name: str) -> None:
        entry = self.instances.catalogs[number].entries.get(name)
        since = entry.registration.since_ms if entry else 0.0
        self._try(lambda c: c.renew(name, since, self.instances.now), number)

    @rule(number=numbers, name=names, remove=st.booleans())
    def drain_or_remove(self, number: int, name: str, remove: bool) -> None:
        self._try(lambda c: (c.remove if remove else c.drain)(name, self.instances.now), number)

    @rule(one=numbers, other=numbers)
    def synchronize(self, one: int, other: int) -> None:
        if one != other:
            self.instances.synchronize(one, other)

    @rule(one=numbers, other=numbers)
    def toggle_link(self, one: int, other: int) -> None:
        self.instances.cut_links ^= {(one, other)}

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        self.instances.restart(number)

    @rule(number=numbers, span=st.sampled_from([100.0, 2 * LEASE_MS]))
    def expire_due_leases(self, number: int, span: float) -> None:
        self.instances.now += span
        self.instances.catalogs[number].expire_leases(
            self.instances.now, self.instances.anti_entropies[number].complete_as_of_ms
        )

    @invariant()
    def each_instance_issues_its_own_revisions(self) -> None:
        for number, catalog in enumerate(getattr(self, "instances", Instances(0)).catalogs):
            assert catalog.revision % MAX_INSTANCES == number

    def teardown(self) -> None:
        """Check that, without further faults, all agree within a few rounds."""
        if not hasattr(self, "instances"):
            return
        self.instances.cut_links = set()
        for _ in range(3 * MAX_FINGERPRINT_MISMATCHES + 4):
            self.instances.synchronize_all()
        lists = [self.instances.listed(number) for number in range(3)]
        assert lists[0] == lists[1] == lists[2]
        assert len({catalog.updates.fingerprint for catalog in self.instances.catalogs}) == 1

    def _try(self, write: Any, number: int) -> None:
        with suppress(WriteRejectedError):
            write(self.instances.catalogs[number])


InstanceMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestInstanceMachine = InstanceMachine.TestCase


# ---- databases -----------------------------------------------------------------------------------


def test_reverted_change_takes_back_no_renewal() -> None:
    """A drain reverted on a full disk reset the lease to the previous change, and the server expired."""
    instances = make_pair("s0", "s1")
    first_catalog = instances.catalogs[0]
    first_catalog.renew("s0", 0.0, 900.0)
    change = first_catalog.drain("s0", 950.0)
    assert change is not None
    first_catalog.revert([change])
    assert instances.listed(0)["s0"] == "in_service"
    assert not first_catalog.expire_leases(1_500.0) or "s0" in instances.listed(0)
    assert "s0" in instances.listed(0)


def test_database_of_the_previous_schema_is_upgraded_and_sound(tmp_path: Path) -> None:
    path = tmp_path / "list.sqlite"
    store = CatalogStore(path)
    old_catalog = Catalog(RULES, 100)
    store.commit(
        [c for name in ("s0", "s1", "s2") if (c := old_catalog.register(name, make_registration(), 0.0))]
    )
    store.commit([c for c in [old_catalog.drain("s1", 1.0), old_catalog.remove("s2", 1.0)] if c])
    store.commit(old_catalog.expire_leases(5_000.0))
    store.close()
    with sqlite3.connect(path) as database:  # as the previous version wrote it
        for table, key in (("entries", "name"), ("history", "version")):
            for row, data in database.execute(f"select {key}, entry from {table}").fetchall():
                entry = json.loads(data)
                lapsed = entry["lapsed_at"] >= entry["beats"]
                said = "terminated" if lapsed else entry["said"]
                entry |= {"status": said, "by_lapse": lapsed}
                for new in ("said", "life", "rev", "beats", "lapsed_at"):
                    del entry[new]
                database.execute(f"update {table} set entry = ? where {key} = ?", (json.dumps(entry), row))
        database.execute("update meta set value = 1 where key = 'form'")
    reopened = CatalogStore(path)
    assert list(reopened.verify()) == []
    found = {e.name: (e.is_expired, e.is_listed) for e in reopened.entries()}
    assert found == {"s0": (True, False), "s1": (True, False), "s2": (False, False)}


@pytest.mark.parametrize(
    ("line", "error_line"),
    [
        ('instances = ["127.0.0.1:1", "127.0.0.1:1"]', "instances: 2; allowed: 8 at most, each once"),
        ('instances = ["127.0.0.1:1"]\ninstance = 1', "instance: 1; allowed: 0 to 0"),
        ('instances = ["nowhere"]', "matching regex"),
    ],
)
def test_invalid_instances_are_a_one_line_error(tmp_path: Path, line: str, error_line: str) -> None:
    path = tmp_path / "directory.toml"
    path.write_text(f'listen = "127.0.0.1:1"\ndatabase = "x"\n{line}\n')
    with pytest.raises(RegistryServerError, match=error_line):
        read_configuration(path)
