"""The registry against recordings of d282128: answers to calls, database, export and messages.

Ports, times, remaining leases and random identifiers of a start are masked; revisions count from the first.
"""

from __future__ import annotations

import json
import shutil
import sqlite3
import sys
from collections.abc import Iterator
from contextlib import closing, contextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest

from loadbalancer.registry.anti_entropy import SyncMessage
from loadbalancer.registry.entries import Registration
from loadbalancer.registry.store import CatalogStore
from tests.golden import replay

GOLDEN = Path(__file__).parent / "golden"
PROGRAM = replay.Program(sys.executable, "loadbalancer", Path(__file__).parent.parent)


def rows(path: Path, statement: str) -> list[tuple[Any, ...]]:
    with closing(sqlite3.connect(path)) as database:
        return database.execute(statement).fetchall()


@pytest.fixture
def database(tmp_path: Path) -> Path:
    return Path(shutil.copy(GOLDEN / "registry.sqlite", tmp_path / "list.sqlite"))


@contextmanager
def open_store(path: Path) -> Iterator[CatalogStore]:
    store = CatalogStore(path)
    try:
        yield store
    finally:
        store.close()


def test_registry_answers_every_call_as_recorded(tmp_path: Path) -> None:
    session = replay.play_registry(PROGRAM, tmp_path)
    recorded = replay.as_text(replay.read_answers(GOLDEN / "registry.jsonl"))
    assert replay.mask_registry(replay.as_text(session.answers)) == replay.mask_registry(recorded)
    assert session.export == (GOLDEN / "registry-export.jsonl").read_text(encoding="utf-8")


def test_instances_exchange_the_recorded_messages(tmp_path: Path) -> None:
    session = replay.play_exchange(PROGRAM, tmp_path)
    recorded = replay.as_text(replay.read_answers(GOLDEN / "registry-instances.jsonl"))
    assert replay.mask_registry(replay.as_text(session.answers)) == replay.mask_registry(recorded)
    request = (GOLDEN / "registry-exchange.json").read_text(encoding="utf-8").strip()
    assert replay.mask_registry(session.question) == replay.mask_registry(request)


def test_message_between_instances_is_reencoded_byte_for_byte() -> None:
    data = (GOLDEN / "registry-exchange.json").read_bytes().strip()
    assert msgspec.json.encode(msgspec.json.decode(data, type=SyncMessage)) == data


def test_database_is_valid_and_its_entries_are_rewritten_byte_for_byte(
    database: Path, tmp_path: Path
) -> None:
    recorded = rows(GOLDEN / "registry.sqlite", "select name, entry from entries order by name")
    history = rows(GOLDEN / "registry.sqlite", "select * from history order by version")
    with open_store(database) as store:
        assert list(store.verify()) == []
        changes = list(reversed(store.history()))
        assert len(changes) == len(history) == 9
        assert {entry.name: msgspec.json.encode(entry) for entry in store.entries()} == dict(recorded)
    with open_store(tmp_path / "anew.sqlite") as new_store:
        new_store.begin_incarnation(1, 0, {})
        new_store.commit(changes)
    assert rows(tmp_path / "anew.sqlite", "select name, entry from entries order by name") == recorded
    assert rows(tmp_path / "anew.sqlite", "select * from history order by version") == history


def test_opening_the_database_changes_nothing_in_it(database: Path) -> None:
    with open_store(database) as store:
        revision, incarnation_ranges, compaction_bounds = (
            store.last_revision(),
            store.incarnations(),
            store.compaction_revisions(),
        )
    for table in ("meta", "entries", "history", "lives"):
        statement = f"select * from {table} order by 1"
        assert rows(database, statement) == rows(GOLDEN / "registry.sqlite", statement)
    assert dict(rows(database, "select key, value from meta"))["index"] == revision
    assert rows(database, "select first, last from lives order by first") == incarnation_ranges
    assert compaction_bounds == (incarnation_ranges[0][0], {})


def test_new_database_has_the_recorded_tables(tmp_path: Path) -> None:
    with open_store(tmp_path / "anew.sqlite"):
        pass
    statement = "select type, name, sql from sqlite_master order by name"
    assert rows(tmp_path / "anew.sqlite", statement) == rows(GOLDEN / "registry.sqlite", statement)


def test_registry_that_starts_on_the_recorded_database_lists_what_it_held(
    database: Path, tmp_path: Path
) -> None:
    address = f"{replay.HOST}:{replay.free_port()}"
    path = tmp_path / "registry.toml"
    path.write_text(f'listen = "{address}"\ndatabase = "{database}"\n')
    with replay.started(PROGRAM.command_line("directory", "serve", str(path)), PROGRAM.cwd, {}):
        replay.await_status(address, "GET /healthz")
        state = json.loads(replay.call(address, "GET /v1/state").body)
        history = json.loads(replay.call(address, "GET /v1/history").body)
        export = replay.command_output(PROGRAM, "directory", "export", "--at", address)
    answers = replay.read_answers(GOLDEN / "registry.jsonl")
    by_call = {answer.call: answer.body for answer in answers}
    assert history == json.loads(by_call["GET /v1/history"])
    assert state["index"] > json.loads(by_call["GET /v1/state"])["index"]
    assert export == (GOLDEN / "registry-export.jsonl").read_text(encoding="utf-8")


def test_export_is_imported_and_exported_again_byte_for_byte(tmp_path: Path) -> None:
    address = f"{replay.HOST}:{replay.free_port()}"
    path = tmp_path / "registry.toml"
    path.write_text(f'listen = "{address}"\ndatabase = "{tmp_path}/list.sqlite"\n')
    with replay.started(PROGRAM.command_line("directory", "serve", str(path)), PROGRAM.cwd, {}):
        replay.await_status(address, "GET /healthz")
        exported = GOLDEN / "registry-export.jsonl"
        output = replay.command_output(PROGRAM, "directory", "import", str(exported), "--at", address)
        assert output == "3 servers\n"
        exported_again = replay.command_output(PROGRAM, "directory", "export", "--at", address)
    assert exported_again == exported.read_text(encoding="utf-8")


@pytest.mark.parametrize("line", (GOLDEN / "registry-export.jsonl").read_text(encoding="utf-8").splitlines())
def test_line_of_the_export_is_a_registration(line: str) -> None:
    entry = json.loads(line)
    entry.pop("name")
    registration = msgspec.convert(entry, type=Registration)
    assert msgspec.to_builtins(registration) | entry == msgspec.to_builtins(registration)
