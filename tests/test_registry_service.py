"""The registry service: leases, mass expiry, revisions, durability after a kill, and watches over HTTP."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sqlite3
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import pytest
from aiohttp import web

from loadbalancer.drill.processes.addresses import find_free_port
from loadbalancer.net.endpoint_list_codec import decode_endpoint_list
from loadbalancer.registry import (
    Catalog,
    Change,
    Registration,
    Rules,
    Status,
    WriteRejectedError,
    first_revision,
    write_queue,
)
from loadbalancer.registry.agent import Agent
from loadbalancer.registry.client import RegistryCallError, RegistryClient
from loadbalancer.registry.rate_limiter import ANSWER_COST_S, MAX_WAKE_CPU_FRACTION, WakeRateLimiter
from loadbalancer.registry.service import RegistryService
from loadbalancer.registry.store import CatalogStore, CatalogStoreError
from tests.loopback import ProxyHarness, Upstream, run_scenario, status_of

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"
RULES = Rules(
    mass_expiry_window_ms=5_000.0,
    flapping_window_ms=60_000.0,
    damping_ms=30_000.0,
    settle_ms=0.0,
    learning_ms=0.0,
)


def make_registration(**overrides: Any) -> Registration:
    base: dict[str, Any] = {"address": "127.0.0.1:5000", "zone": "a", "lease_ms": 1_000.0}
    return Registration(**(base | overrides))


def make_catalog(*names: str, now: float = 0.0, **overrides: Any) -> Catalog:
    catalog = Catalog(RULES, start_revision=100)
    for name in names:
        catalog.register(name, make_registration(**overrides), now)
    return catalog


def statuses(catalog: Catalog) -> dict[str, str]:
    return {e.name: e.status.value for e in catalog.listed_entries("first")}


# ---- the catalog --------------------------------------------------------------------------------


def test_every_change_has_a_revision_of_its_own_and_a_renewal_has_none() -> None:
    catalog = make_catalog("s0", "s1")
    assert catalog.revision == 102
    assert (
        catalog.register("s0", make_registration(), 10.0) is None and catalog.renew("s1", 0.0, 10.0) is None
    )
    assert catalog.revision == 102
    changed = catalog.changes_since("first", 101, 10.0)
    assert changed is not None and [e.name for e in changed] == ["s1"]
    assert catalog.changes_since("first", 99, 10.0) is None  # before this incarnation: a full snapshot
    assert catalog.changes_since("second", 100, 10.0) == []


def test_restart_registers_a_new_start_and_older_starts_are_rejected() -> None:
    catalog = make_catalog("s0", since_ms=50.0)
    change = catalog.register("s0", make_registration(since_ms=60.0), 1.0)
    assert change is not None and change.what == "started anew"
    with pytest.raises(WriteRejectedError, match="earlier") as caught:
        catalog.register("s0", make_registration(since_ms=50.0), 2.0)
    assert caught.value.status == 409
    with pytest.raises(WriteRejectedError, match="started at 60"):
        catalog.renew("s0", 50.0, 2.0)
    catalog.remove("s0", 3.0)
    with pytest.raises(WriteRejectedError, match="earlier"):
        catalog.register("s0", make_registration(since_ms=50.0), 4.0)


def test_draining_server_serves_again_only_by_a_new_start() -> None:
    catalog = make_catalog("s0")
    catalog.drain("s0", 1.0)
    assert statuses(catalog) == {"s0": "terminating"} and catalog.drain("s0", 2.0) is None
    with pytest.raises(WriteRejectedError, match="drains"):
        catalog.register("s0", make_registration(), 3.0)
    catalog.register("s0", make_registration(since_ms=5.0), 5.0)
    assert statuses(catalog) == {"s0": "in_service"}


def test_other_owner_is_rejected_until_the_lease_is_over() -> None:
    catalog = make_catalog("s0", owner="a")
    with pytest.raises(WriteRejectedError, match="held by 'a'"):
        catalog.register("s0", make_registration(owner="b"), 500.0)
    assert catalog.register("s0", make_registration(owner="b"), 1_500.0) is not None


def test_write_at_another_revision_is_rejected() -> None:
    catalog = make_catalog("s0", "s1")
    with pytest.raises(WriteRejectedError, match="at version 101, not 100") as caught:
        catalog.drain("s0", 1.0, if_match=100)
    assert caught.value.status == 412
    assert catalog.drain("s0", 1.0, if_match=101) is not None
    assert catalog.register("s2", make_registration(), 1.0, if_match=0) is not None


def renew(catalog: Catalog, now: float, *names: str) -> None:
    for name in names:
        catalog.renew(name, 0.0, now)


def test_single_lease_that_expires_takes_its_server_off_the_list() -> None:
    catalog = make_catalog("s0", "s1", "s2", "s3")
    renew(catalog, 900.0, "s1", "s2", "s3")
    assert [c.name for c in catalog.expire_leases(1_100.0)] == ["s0"]
    assert sorted(statuses(catalog)) == ["s1", "s2", "s3"]


def test_mass_expiry_suspends_expiry_and_marks_the_servers() -> None:
    names = [f"s{i}" for i in range(10)]
    catalog = make_catalog(*names)
    renew(catalog, 900.0, *names[6:])
    assert catalog.expire_leases(1_100.0) == [] and len(statuses(catalog)) == 10
    assert [n for n in names if catalog.entries[n].is_preserved] == names[:6]
    assert catalog.expiry_suspended_until_ms["first"] > 1_100.0
    renew(catalog, 1_200.0, *names)
    assert not any(e.is_preserved for e in catalog.entries.values())


def test_first_of_many_expirations_waits_until_the_others_are_seen() -> None:
    """The first lease to run out in a mass expiry was taken for the failure of a single server."""
    rules = msgspec.structs.replace(RULES, settle_ms=500.0)
    catalog = Catalog(rules, start_revision=100)
    for at, name in enumerate(("s0", "s1", "s2", "s3")):
        catalog.register(name, make_registration(), 100.0 * at)
    assert catalog.expire_leases(1_050.0) == [] and catalog.entries["s0"].is_preserved
    assert catalog.expire_leases(1_350.0) == []
    assert catalog.expire_leases(1_600.0) == [], "by now the others have run out, too: a mass expiry"
    assert len(statuses(catalog)) == 4


def test_expiry_leaves_the_self_preservation_threshold_in_each_zone() -> None:
    catalog = make_catalog("s0", "s1", "s2", "s3")
    now = 0.0
    for name in ("s0", "s1", "s2", "s3"):  # one after another: no mass expiry
        now += 20_000.0
        renew(catalog, now - 500.0, *[n for n in statuses(catalog) if n > name])
        catalog.expire_leases(now)
    assert sorted(statuses(catalog)) == ["s2", "s3"] and catalog.entries["s2"].is_preserved


def test_flapping_server_is_rejected_for_a_while_and_a_pinned_one_stays() -> None:
    catalog = make_catalog("s0", "s1", "s2", "s3", "s4", "s5", lease_ms=100.0)
    now = 0.0
    for _ in range(RULES.max_expirations):
        now += 10_000.0
        renew(catalog, now, "s1", "s2", "s3", "s4", "s5")
        catalog.expire_leases(now)
        if len(catalog.entries["s0"].expirations_ms) < RULES.max_expirations:
            catalog.register("s0", make_registration(lease_ms=100.0), now)
    with pytest.raises(WriteRejectedError, match="come and gone too often"):
        catalog.register("s0", make_registration(), now + 1_000.0)
    assert catalog.register("s0", make_registration(), now + RULES.damping_ms) is not None
    catalog.set_pinned("s1", now, is_pinned=True)
    later = now + RULES.damping_ms + 5_000.0
    renew(catalog, later, "s2", "s3", "s4", "s5")
    assert [c.name for c in catalog.expire_leases(later)] == ["s0"]


def test_change_that_could_not_be_stored_is_reverted() -> None:
    catalog = make_catalog("s0")
    revision_before = catalog.revision
    changes = [catalog.drain("s0", 1.0), catalog.register("s1", make_registration(), 1.0)]
    catalog.revert([c for c in changes if c is not None])
    assert statuses(catalog) == {"s0": "in_service"}
    change = catalog.drain("s0", 2.0)
    assert change is not None and change.revision == revision_before + 3  # a revision is never used twice


def test_after_a_reverted_write_watches_still_get_what_came_before_it() -> None:
    """The entry moved to the end of the change order with its old revision, and hid all later changes."""
    catalog = make_catalog("s0", "s1", "s2")
    seen = catalog.revision - 2
    change = catalog.drain("s0", 1.0)
    assert change is not None
    catalog.revert([change])
    changed = catalog.changes_since("first", seen, 1.0)
    assert changed is not None and sorted(e.name for e in changed) == ["s1", "s2"]


def test_watcher_from_before_a_lost_database_gets_a_full_snapshot_at_a_higher_revision() -> None:
    catalog = Catalog(RULES, first_revision(0, 1_000_000.0))
    catalog.register("s0", make_registration(), 1_000_000.0)
    assert catalog.changes_since("first", 1_000_500, 1_000_100.0) is None and catalog.revision == 1_000_501
    assert (
        catalog.changes_since("first", 10**15, 1_000_100.0) is None and catalog.revision == 1_000_501
    )  # higher than any clock could issue


# ---- the store ----------------------------------------------------------------------------------


def make_changes(store: CatalogStore, count: int) -> list[Change]:
    catalog = Catalog(RULES, first_revision(store.last_revision(), 0.0))
    changes = [
        catalog.register(f"s{i}", make_registration(), 0.0, who="me", why="test") for i in range(count)
    ]
    return [c for c in changes if c is not None]


def test_stored_entries_are_read_again_and_history_has_who_and_why(tmp_path: Path) -> None:
    path = tmp_path / "list.sqlite"
    store = CatalogStore(path)
    changes = make_changes(store, 3)
    store.commit(changes)
    store.close()
    reopened = CatalogStore(path)
    assert [e.name for e in reopened.entries()] == ["s0", "s1", "s2"] and reopened.last_revision() == changes[
        -1
    ].revision
    newest = reopened.history("s1")[0]
    assert (newest.what, newest.who, newest.why) == ("registered", "me", "test")
    assert list(reopened.verify()) == []


def test_after_a_restart_watches_resume_and_those_of_a_lost_incarnation_get_a_full_snapshot(
    tmp_path: Path,
) -> None:
    """After each start all watches got full snapshots at once: 1.5 MB each for 10,000 servers."""
    store = CatalogStore(tmp_path / "a")

    def begin(store: CatalogStore, now: float) -> Catalog:
        catalog = Catalog(RULES, first_revision(store.last_revision(), now))
        catalog.restore(store.entries(), now, store.incarnations(), store.compaction_revision())
        store.begin_incarnation(catalog.revision, catalog.compaction_revision, catalog.entries)
        return catalog

    def put(catalog: Catalog, name: str) -> int:
        change = catalog.register(name, make_registration(), 0.0)
        assert change is not None
        store.commit([change])
        return catalog.revision

    catalog = begin(store, 1_000.0)
    seen = put(catalog, "s0")
    put(catalog, "s1")
    restarted = begin(store, 5_000.0)
    missed = restarted.changes_since("first", seen, 5_000.0)
    assert missed is not None and [e.name for e in missed] == ["s1"]
    store.close()
    shutil.copy(tmp_path / "a", tmp_path / "old")
    store = CatalogStore(tmp_path / "a")
    lost = put(begin(store, 9_000.0), "s2")
    store.close()
    store = CatalogStore(tmp_path / "old")  # this copy lacks the incarnation that registered s2
    from_old_copy = begin(store, 20_000.0)
    assert from_old_copy.has_history_since(seen) and not from_old_copy.has_history_since(lost)
    assert from_old_copy.changes_since("first", lost, 20_000.0) is None
    put(from_old_copy, "s3")
    assert begin(store, 30_000.0).changes_since("first", lost, 30_000.0) is None, "nor after the next start"
    assert list(store.verify()) == []


def test_compacted_removals_are_forgotten_on_the_disk_too(tmp_path: Path) -> None:
    store = CatalogStore(tmp_path / "a")
    rules = msgspec.structs.replace(RULES, max_tombstones=2)
    catalog = Catalog(rules, 100)
    names = [f"s{i}" for i in range(6)]
    for name in names:
        store.commit(
            [c for c in (catalog.register(name, make_registration(), 0.0), catalog.remove(name, 0.0)) if c]
        )
    restarted = Catalog(rules, 500)
    restarted.restore(store.entries(), 0.0, store.incarnations(), store.compaction_revision())
    store.begin_incarnation(restarted.revision, restarted.compaction_revision, restarted.entries)
    assert [e.name for e in store.entries()] == ["s4", "s5"]
    assert list(store.verify()) == []


def test_watches_between_two_calls_count_for_the_wake_rate() -> None:
    """Watches that had just been answered did not count: a thousand took 0.78 of a core instead of half."""
    limiter = WakeRateLimiter()
    assert limiter.next_wake_s(1_000) == float("-inf")
    limiter.record_wake(10.0, 1_000)
    assert limiter.next_wake_s(5) == pytest.approx(10.0 + 1_000 * ANSWER_COST_S / MAX_WAKE_CPU_FRACTION)
    assert limiter.next_wake_s(2_000) == pytest.approx(10.0 + 2_000 * ANSWER_COST_S / MAX_WAKE_CPU_FRACTION)


def test_a_stream_of_changes_wakes_watches_no_more_often_than_they_can_be_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("loadbalancer.registry.rate_limiter.ANSWER_COST_S", 0.1)

    async def scenario() -> None:
        async with serving() as (service, at), aiohttp.ClientSession() as http:
            url = f"http://{at}/v1/servers?after={service.catalog.revision}&wait_ms=60000"
            watch = asyncio.create_task(http.get(url))
            while not service.evaluator.waiting_count:
                await asyncio.sleep(0.005)
            service.evaluator.wake_rate_limiter.record_wake(asyncio.get_running_loop().time(), 1)
            for number in range(3):
                body = registration_body(f"127.0.0.1:{number + 1}")
                async with http.put(f"http://{at}/v1/servers/s{number}", json=body) as answer:
                    assert answer.status == 200
            async with await watch as answer:
                body = await answer.json()
            assert len(body["endpoints"]) == 3, "all changes at once"

    run_scenario(scenario())


def test_verify_finds_a_rewound_entry_and_a_lost_revision(tmp_path: Path) -> None:
    path = tmp_path / "list.sqlite"
    store = CatalogStore(path)
    store.commit(make_changes(store, 3))
    store.close()
    with sqlite3.connect(path) as db:
        db.execute(
            "update entries set entry = (select entry from entries where name = 's0') where name = 's1'"
        )
        db.execute("update meta set value = 1 where key = 'index'")
    faults = list(CatalogStore(path).verify())
    assert len(faults) == 2 and "history reaches" in faults[0] and faults[1].startswith("s1: ")


def test_invalid_or_newer_database_raises_a_one_line_error(tmp_path: Path) -> None:
    garbled = tmp_path / "garbled"
    garbled.write_bytes(b"no database" * 100)
    newer = tmp_path / "newer"
    CatalogStore(newer).close()
    with sqlite3.connect(newer) as db:
        db.execute("update meta set value = 99 where key = 'form'")
    for path, why in (
        (garbled, "not a database"),
        (newer, "schema version 99"),
        (tmp_path / "no" / "x", "unable"),
    ):
        with pytest.raises(CatalogStoreError, match=why) as caught:
            CatalogStore(path)
        assert "\n" not in str(caught.value)


# ---- the service --------------------------------------------------------------------------------


@asynccontextmanager
async def serving(
    path: Path | str = ":memory:", rules: Rules = RULES
) -> AsyncIterator[tuple[RegistryService, str]]:
    service = RegistryService(CatalogStore(path), rules)
    runner = web.AppRunner(service.create_application(), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    try:
        yield service, f"{host}:{port}"
    finally:
        await runner.cleanup()


def registration_body(address: str, **overrides: Any) -> dict[str, Any]:
    return {"address": address, "zone": "a", "weight": 40.0, "lease_ms": 60_000.0} | overrides


def test_invalid_input_gets_a_4xx_with_one_line_and_changes_nothing() -> None:
    async def scenario() -> None:
        async with serving() as (service, at), aiohttp.ClientSession() as http:
            revision_before = service.catalog.revision
            valid = registration_body("127.0.0.1:1")
            for method, path, body, expected in (
                ("PUT", "/v1/servers/s0", valid | {"wieght": 1}, 400),
                ("PUT", "/v1/servers/s0", valid | {"weight": -1}, 400),
                ("PUT", "/v1/servers/s0", valid | {"address": "here"}, 400),
                ("PUT", "/v1/servers/s%200", valid, 400),
                ("PUT", "/v1/servers/s0", valid | {"zone": "x" * 70_000}, 413),
                ("POST", "/v1/servers/s0/renew", {"since_ms": 0}, 404),
                ("POST", "/v1/servers/s0/drain", None, 404),
                ("DELETE", "/v1/servers/s0", None, 404),
                ("GET", "/v1/servers?after=x", None, 400),
                ("GET", "/v1/nothing", None, 404),
            ):
                async with http.request(method, f"http://{at}{path}", json=body) as answer:
                    response = await answer.json()
                    assert (answer.status, list(response)) == (expected, ["error"]), (path, response)
                    assert "\n" not in response["error"]
            assert service.catalog.revision == revision_before and not service.catalog.entries

    run_scenario(scenario())


def test_service_with_an_empty_database_has_watchers_keep_their_list_for_a_while() -> None:
    """It answered an empty list, and watchers dropped every server until all had registered again."""

    async def scenario() -> None:
        rules = msgspec.structs.replace(RULES, learning_ms=60_000.0)
        async with serving(rules=rules) as (_, at), aiohttp.ClientSession() as http:
            async with http.get(f"http://{at}/v1/servers?after=7") as answer:
                assert answer.status == 503
            async with http.get(f"http://{at}/v1/servers") as answer:
                assert answer.status == 200, "a first request is answered"
                seen = (await answer.json())["index"]
            async with http.get(f"http://{at}/v1/servers?after={seen}&wait_ms=1") as answer:
                assert answer.status == 200, "and so is the watch that follows"

    run_scenario(scenario())


def test_one_change_wakes_all_watches_with_one_serialization(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(write_queue, "WRITE_BATCH_S", 0.2)  # both writes fall into it on a busy machine, too

    async def scenario() -> None:
        async with (
            serving() as (service, at),
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http,
        ):
            after = service.catalog.revision

            async def watch() -> dict[str, Any]:
                async with http.get(f"http://{at}/v1/servers?after={after}&wait_ms=9000") as answer:
                    delta: dict[str, Any] = await answer.json()
                    return delta

            watches = [asyncio.create_task(watch()) for _ in range(200)]
            while service.evaluator.waiting_count < 200:
                await asyncio.sleep(0.01)
            await asyncio.gather(
                *(
                    http.put(f"http://{at}/v1/servers/{n}", json=registration_body("127.0.0.1:1"))
                    for n in ("s0", "s1")
                )
            )
            deltas = await asyncio.gather(*watches)
            assert {len(d["endpoints"]) for d in deltas} == {2} and not any(d["snapshot"] for d in deltas)
            assert service.evaluator.serialization_count == 1 and service.evaluator.answer_count == 200
            assert decode_endpoint_list(deltas[0]).index == service.catalog.revision

    run_scenario(scenario())


def test_stalled_reader_of_a_long_list_is_cut_off() -> None:
    async def scenario() -> None:
        async with serving() as (service, at), aiohttp.ClientSession() as http:
            service.api.stalled_reader_timeout_s = 0.2
            for number in range(20_000):
                service.catalog.register(f"server-{number}", make_registration(zone="z" * 150), 0.0)
            host, port = at.split(":")
            with socket.socket() as reader:
                reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                reader.connect((host, int(port)))
                reader.sendall(b"GET /v1/servers HTTP/1.1\r\nHost: h\r\n\r\n")
                while not service.api.stalled_reader_count:
                    await asyncio.sleep(0.02)
            async with http.get(f"http://{at}/v1/servers") as answer:
                assert len((await answer.json())["endpoints"]) == 20_000, "a client that reads gets all of it"

    run_scenario(scenario())


def test_full_disk_rejects_writes_in_one_line_and_reads_go_on(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with serving() as (service, at), aiohttp.ClientSession() as http:
            await http.put(f"http://{at}/v1/servers/s0", json=registration_body("127.0.0.1:1"))
            service._store._db.execute("pragma max_page_count = 1")  # as many pages as there are
            answers = []
            for number in range(200):
                async with http.put(
                    f"http://{at}/v1/servers/n{number}", json=registration_body("127.0.0.1:1", zone="z" * 200)
                ) as answer:
                    answers.append((answer.status, (await answer.json()).get("error", "")))
            stored_count = sum(status == 200 for status, _ in answers)
            assert answers[-1] == (503, "nothing was kept: database or disk is full")
            async with http.get(f"http://{at}/v1/servers") as answer:
                assert len((await answer.json())["endpoints"]) == 1 + stored_count

    run_scenario(scenario())


def test_balancer_follows_the_service_through_a_restart_and_a_lost_database(tmp_path: Path) -> None:
    async def scenario() -> None:
        first, second = Upstream(), Upstream()
        addresses = [await first.start(), await second.start()]
        port = find_free_port(HOST)

        async def start_service(name: str) -> web.AppRunner:
            runner = web.AppRunner(
                RegistryService(CatalogStore(tmp_path / name), RULES).create_application(),
                shutdown_timeout=0.05,
            )
            await runner.setup()
            await web.TCPSite(runner, HOST, port).start()
            return runner

        async with aiohttp.ClientSession() as http, ProxyHarness(console="") as harness:
            harness.proxy.endpoint_list.discovery.reconfigure((HOST, port))

            async def put(name: str, address: str) -> None:
                async with http.put(
                    f"http://{HOST}:{port}/v1/servers/{name}", json=registration_body(address)
                ) as answer:
                    assert answer.status == 200

            async def wait_until_listed(*names: str) -> None:
                while sorted(harness.proxy.endpoint_list.endpoints) != sorted(names):
                    await asyncio.sleep(0.01)
                assert status_of(await harness.request()) == 200

            runner = await start_service("a")
            await put("s0", addresses[0])
            await wait_until_listed("s0")
            await runner.cleanup()
            runner = await start_service("a")  # with the same database
            await put("s1", addresses[1])
            await wait_until_listed("s0", "s1")
            await runner.cleanup()
            runner = await start_service("b")  # with an empty database
            await put("s1", addresses[1])
            await wait_until_listed("s1")
            await runner.cleanup()

    run_scenario(scenario())


# ---- the process --------------------------------------------------------------------------------


def command_line(*args: str) -> list[str]:
    return [sys.executable, "-c", "from loadbalancer.cli import main; main()", "directory", *args]


def start_registry(path: Path, port: int) -> subprocess.Popen[bytes]:
    path.write_text(f'listen = "{HOST}:{port}"\ndatabase = "{path.with_suffix(".sqlite")}"\n')
    process = subprocess.Popen(command_line("serve", str(path)), cwd=ROOT, stderr=subprocess.DEVNULL)
    while True:
        assert process.poll() is None
        try:
            RegistryClient(f"{HOST}:{port}").call("GET", "/v1/state")
            return process
        except RegistryCallError:
            continue


def test_answered_writes_survive_kills_and_revisions_only_grow(tmp_path: Path) -> None:
    path, port = tmp_path / "list.toml", find_free_port(HOST)
    client, revisions = RegistryClient(f"{HOST}:{port}", who="test"), [0]
    answered: list[str] = []
    for incarnation in range(3):
        process = start_registry(path, port)
        try:
            state = client.call("GET", "/v1/state")
            assert state["index"] > revisions[-1]
            assert {e["name"] for e in state["entries"]} >= set(answered)
            for number in range(20):
                name = f"s-{incarnation}-{number}"
                revisions.append(
                    client.call_server("PUT", name, body=registration_body("127.0.0.1:1"))["index"]
                )
                answered.append(name)
        finally:
            os.kill(process.pid, signal.SIGKILL)
            process.wait()
    assert revisions == sorted(set(revisions))
    result = subprocess.run(
        command_line("verify", str(path.with_suffix(".sqlite"))), cwd=ROOT, capture_output=True, check=False
    )
    assert result.returncode == 0, result.stderr


def test_commands_show_and_change_the_list(tmp_path: Path) -> None:
    path, port = tmp_path / "list.toml", find_free_port(HOST)
    process, at = start_registry(path, port), f"{HOST}:{port}"

    def run_command(*args: str, status: int = 0) -> str:
        result = subprocess.run(
            [*command_line(*args), "--at", at], cwd=ROOT, capture_output=True, text=True, check=False
        )
        assert result.returncode == status, result.stderr
        return result.stdout + result.stderr

    try:
        assert run_command("register", "s-1", "--address", "127.0.0.1:5001", "--weight", "4").startswith(
            "version "
        )
        assert run_command("drain", "s-1", "--why", "new kernel").startswith("version ")
        assert "terminating" in run_command("list") and "new kernel" in run_command("history", "s-1")
        assert json.loads(run_command("watch", "--looks", "1"))["endpoints"][0]["status"] == "terminating"
        copy = tmp_path / "copy.jsonl"
        copy.write_text(run_command("export"))
        run_command("remove", "s-1")
        assert json.loads(copy.read_text())["name"] == "s-1"
        assert run_command("drain", "s-1", status=2) == "irondrum: no server 's-1' is listed\n"
        assert run_command("drain", "s-1", "--if-match", "7", status=2).count("\n") == 1
        assert run_command("import", str(copy)) == "1 servers\n" and "s-1" in run_command("list")
        copy.write_text('{"name": "s-2", "address": "x"}')
        assert "line 1" in run_command("import", str(copy), status=2)
    finally:
        process.terminate()
        assert process.wait(30) == 0


def test_agent_registers_renews_and_deregisters_by_its_health_checks() -> None:
    calls: list[tuple[str, str]] = []
    is_healthy, now, is_lease_lost = [True], [0.0], [False]

    class FakeRegistryClient(RegistryClient):
        def call_server(
            self, method: str, name: str, action: str = "", body: object = None, **options: Any
        ) -> Any:
            calls.append((method, action))
            if action == "/renew" and is_lease_lost[0]:
                is_lease_lost[0] = False
                raise RegistryCallError(404, "no such server")

    agent = Agent(
        "s0",
        make_registration(),
        FakeRegistryClient(f"{HOST}:1"),
        lambda: is_healthy[0],
        lambda text: None,
        lambda: now[0],
    )

    def run_steps(count: int) -> list[tuple[str, str]]:
        calls.clear()
        for _ in range(count):
            now[0] += 1_000.0 * agent.step()
        return list(calls)

    assert run_steps(2) == [("PUT", "")]
    assert run_steps(3) == [("POST", "/renew")] * 3
    is_lease_lost[0] = True
    assert run_steps(2) == [("POST", "/renew"), ("PUT", "")]
    is_healthy[0] = False
    assert run_steps(3) == [("POST", "/renew")] * 2 + [("DELETE", "")]
    assert run_steps(2) == []
    is_healthy[0] = True
    assert run_steps(2) == [("PUT", "")]
    calls.clear()
    agent.drain()
    agent.deregister()
    assert calls == [("POST", "/drain"), ("DELETE", "")]


def test_statuses_are_those_of_the_protocol() -> None:
    assert {s.value for s in Status} == {"in_service", "terminating", "terminated"}
