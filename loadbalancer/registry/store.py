"""The registry's SQLite database: every write that was answered is on the disk.

Tables, columns and keys keep the names of existing files: a version is a revision, a life an incarnation, a
floor a compaction revision, and the form is the schema version.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Container, Iterator, Mapping, Sequence
from contextlib import closing
from pathlib import Path
from typing import NamedTuple

import msgspec

from loadbalancer.registry.changes import Change, RegistryError
from loadbalancer.registry.entries import Entry
from loadbalancer.registry.revisions import RevisionRange

SCHEMA_VERSION = 2
MAX_STORED_CHANGES = 100_000  # in the history
TRIM_INTERVAL_CHANGES = 1_000  # between two trims of the history
MAX_INCARNATIONS = 100  # remembered; a watcher of an earlier one gets a full snapshot
_TABLES = """
create table if not exists meta (key text primary key, value integer not null);
create table if not exists entries (name text primary key, entry blob not null);
create table if not exists history (
    version integer primary key, at_ms real not null, name text not null, what text not null,
    who text not null, why text not null, entry blob not null
);
create table if not exists lives (first integer primary key, last integer not null);
create index if not exists by_name on history (name, version);
"""


class CatalogStoreError(RegistryError, RuntimeError):
    """The database can't be read or written; the message is one line."""


class CompactionRevisions(NamedTuple):
    """Up to which revisions removals are forgotten: of all services, and higher ones of single services."""

    all_services: int
    by_service: dict[str, int]


class _Statement(NamedTuple):
    sql: str
    values: tuple[object, ...] = ()


def _set_meta(key: str, value: int) -> _Statement:
    return _Statement("insert or replace into meta values (?, ?)", (key, value))


class CatalogStore:
    """One database file. All calls come from one thread."""

    def __init__(self, path: Path | str) -> None:
        """Open or create the file; `CatalogStoreError` if it can't be used."""
        self._changes_since_trim = 0
        try:
            self._db = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
            self._db.execute("pragma journal_mode = wal")
            self._db.execute("pragma synchronous = full")  # durable before it is answered
            self._db.executescript(_TABLES)
            schema_version = self._meta("form")
            if schema_version == 1:
                self._upgrade_schema()
            elif schema_version not in (0, SCHEMA_VERSION):
                raise CatalogStoreError(
                    f"{path}: schema version {schema_version} is not supported; expected {SCHEMA_VERSION}"
                )
            self._db.execute("insert or replace into meta values ('form', ?)", (SCHEMA_VERSION,))
        except sqlite3.Error as error:
            raise CatalogStoreError(f"{path}: can't open the database: {error}") from error

    def _meta(self, key: str) -> int:
        row = self._db.execute("select value from meta where key = ?", (key,)).fetchone()
        return int(row[0]) if row else 0

    def _upgrade_schema(self) -> None:
        """Rewrite entries of schema version 1, for a single instance, which stored expiry as a status."""
        statements: list[_Statement] = []
        for table, key in (("entries", "name"), ("history", "version")):
            for row, data in self._db.execute(f"select {key}, entry from {table}").fetchall():
                old = msgspec.json.decode(data)
                is_expired = old.pop("by_lapse", False)
                old["said"] = "in_service" if is_expired else old["status"]
                old["lapsed_at"] = 0 if is_expired else -1
                new = msgspec.json.encode(msgspec.convert(old, type=Entry))
                statements.append(_Statement(f"update {table} set entry = ? where {key} = ?", (new, row)))
        self._execute(statements)

    # ---- reads ----------------------------------------------------------------------------------

    def last_revision(self) -> int:
        """Return the highest revision that was ever issued."""
        return self._meta("index")

    def entries(self) -> list[Entry]:
        """Return all stored entries; `CatalogStoreError` if one can't be read."""
        try:
            rows = self._db.execute("select entry from entries").fetchall()
            return [msgspec.json.decode(row[0], type=Entry) for row in rows]
        except (sqlite3.Error, msgspec.DecodeError) as error:
            raise CatalogStoreError(f"can't read an entry: {error}") from error

    def compaction_revision(self) -> int:
        """Return the highest revision up to which a removal may be forgotten."""
        return self._meta("floor")

    def compaction_revisions(self) -> CompactionRevisions:
        """Return up to which revisions removals are forgotten, of all services and of single ones."""
        highest = self.compaction_revision()
        if self._meta("split") != highest:  # last written by an older version, which knew only the highest
            return CompactionRevisions(highest, {})
        rows = self._db.execute("select key, value from meta where key like 'floor:%'").fetchall()
        by_service = {key.removeprefix("floor:"): value for key, value in rows}
        return CompactionRevisions(self._meta("base"), by_service)

    def incarnations(self) -> list[RevisionRange]:
        """Return the range of revisions of each remembered incarnation, the oldest first."""
        rows = self._db.execute("select first, last from lives order by first").fetchall()
        return [RevisionRange(first, last) for first, last in rows]

    def history(self, name: str = "", limit: int = 100) -> list[Change]:
        """Return the newest changes first, of one server or of all."""
        where, values = ("where name = ?", (name,)) if name else ("", ())
        rows = self._db.execute(
            f"select * from history {where} order by version desc limit ?", (*values, limit)
        ).fetchall()
        return [
            Change(revision, at_ms, server, what, who, why, msgspec.json.decode(data, type=Entry))
            for revision, at_ms, server, what, who, why, data in rows
        ]

    # ---- writes ---------------------------------------------------------------------------------

    def begin_incarnation(
        self,
        revision: int,
        compaction_revision: int,
        remembered: Container[str],
        compaction_revisions: Mapping[str, int] | None = None,
    ) -> None:
        """Record the revision at which a new incarnation starts, before it is given to anyone.

        Entries that are not `remembered` are deleted; the history is kept. Removals are forgotten
        up to `compaction_revision`, and of single services up to `compaction_revisions`.
        """
        by_service = compaction_revisions or {}
        highest = max(compaction_revision, *by_service.values()) if by_service else compaction_revision
        names = [row[0] for row in self._db.execute("select name from entries").fetchall()]
        self._execute(
            [
                *[
                    _Statement("delete from entries where name = ?", (name,))
                    for name in names
                    if name not in remembered
                ],
                _set_meta("index", revision),
                _Statement("delete from meta where key like 'floor:%'"),
                _set_meta("floor", highest),
                _set_meta("split", highest),
                _set_meta("base", compaction_revision),
                *[_set_meta(f"floor:{service}", floor) for service, floor in by_service.items()],
                _Statement("insert into lives values (?, ?)", (revision, revision)),
                _Statement(
                    "delete from lives where first <="
                    " (select first from lives order by first desc limit 1 offset ?)",
                    (MAX_INCARNATIONS,),
                ),
            ]
        )

    def record_revision_jump(self, revision: int) -> None:
        """Record, as for a new incarnation, that revisions continue above one that a watcher has seen."""
        self._execute([_Statement("insert or replace into lives values (?, ?)", (revision, revision))])

    def commit(self, changes: Sequence[Change]) -> None:
        """Store all changes on the disk in one transaction; `CatalogStoreError` if none is stored."""
        if not changes:
            return
        statements: list[_Statement] = []
        for change in changes:
            data = msgspec.json.encode(change.entry)
            row = (change.revision, change.at_ms, change.name, change.what, change.who, change.why, data)
            statements.append(_Statement("insert or replace into entries values (?, ?)", (change.name, data)))
            statements.append(_Statement("insert into history values (?, ?, ?, ?, ?, ?, ?)", row))
        last = max(change.revision for change in changes)
        statements.append(_set_meta("index", last))
        statements.append(
            _Statement(
                "update lives set last = ? where first = (select max(first) from lives where first <= ?)",
                (last, last),
            )
        )
        self._changes_since_trim += len(changes)
        if self._changes_since_trim >= TRIM_INTERVAL_CHANGES:
            self._changes_since_trim = 0
            statements.append(
                _Statement(
                    "delete from history where version <= (select version from history"
                    " order by version desc limit 1 offset ?)",
                    (MAX_STORED_CHANGES,),
                )
            )
        self._execute(statements)

    def _execute(self, statements: Sequence[_Statement]) -> None:
        try:
            self._db.execute("begin immediate")
            for statement in statements:
                self._db.execute(statement.sql, statement.values)
            self._db.execute("commit")
        except sqlite3.Error as error:
            if self._db.in_transaction:
                self._db.execute("rollback")
            raise CatalogStoreError(f"nothing was kept: {error}") from error

    # ---- checks ---------------------------------------------------------------------------------

    def verify(self) -> Iterator[str]:
        """Yield one line for each fault found in the file."""
        for (result,) in self._db.execute("pragma integrity_check").fetchall():
            if result != "ok":
                yield str(result)
        revisions = [row[0] for row in self._db.execute("select version from history order by version")]
        if revisions and revisions[-1] > self.last_revision():
            yield f"history reaches version {revisions[-1]}, the list only {self.last_revision()}"
        entries = {entry.name: entry for entry in self.entries()}
        with closing(self._db.execute("select name, max(version), entry from history group by name")) as rows:
            for name, revision, data in rows:
                entry = entries.get(name)
                if entry is None and not msgspec.json.decode(data, type=Entry).is_listed:
                    continue  # an old removal, which only the history still has
                if entry is None or entry.revision != revision or msgspec.json.encode(entry) != data:
                    yield f"{name}: its entry differs from the history at version {revision}"

    def close(self) -> None:
        """Close the file."""
        self._db.close()
