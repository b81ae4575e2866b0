"""The catalog in SQLite: what was answered is on the disk, and what can't be read is told in a line."""

from __future__ import annotations

import sqlite3
from collections.abc import Container, Iterator, Mapping, Sequence
from contextlib import closing
from pathlib import Path

import msgspec

from loadbalancer.registry.catalog import Change
from loadbalancer.registry.entries import Entry

SCHEMA_VERSION = 2
MAX_HISTORY_CHANGES = 100_000  # changes that are remembered
TRIM_INTERVAL_CHANGES = 1_000
MAX_INCARNATIONS = 100  # that are remembered; who has seen an earlier one gets the whole list
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


class CatalogStoreError(RuntimeError):
    """A file that can't be used: one line."""


class CatalogStore:
    """One file. All calls come from one thread."""

    def __init__(self, path: Path | str) -> None:
        """Open or make the file; StoreError if it can't be used."""
        self._writes = 0
        try:
            self._db = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
            self._db.execute("pragma journal_mode = wal")
            self._db.execute("pragma synchronous = full")  # durable before it is answered
            self._db.executescript(_TABLES)
            form = self._meta("form")
            if form == 1:
                self._upgrade_schema()
            elif form not in (0, SCHEMA_VERSION):
                raise CatalogStoreError(
                    f"{path}: it is of form {form}; this program reads form {SCHEMA_VERSION}"
                )
            self._db.execute("insert or replace into meta values ('form', ?)", (SCHEMA_VERSION,))
        except sqlite3.Error as error:
            raise CatalogStoreError(f"{path}: can't be used: {error}") from None

    def _meta(self, key: str) -> int:
        row = self._db.execute("select value from meta where key = ?", (key,)).fetchone()
        return int(row[0]) if row else 0

    def _upgrade_schema(self) -> None:
        """Entries of form 1 as form 2 has them: one instance's list, whose lapses were a status."""
        steps: list[tuple[str, tuple[object, ...]]] = []
        for table, key in (("entries", "name"), ("history", "version")):
            for row, data in self._db.execute(f"select {key}, entry from {table}").fetchall():
                old = msgspec.json.decode(data)
                lapsed = old.pop("by_lapse", False)
                old |= {"said": "in_service" if lapsed else old.pop("status"), "lapsed_at": int(lapsed) - 1}
                new = msgspec.json.encode(msgspec.convert(old, type=Entry))
                steps.append((f"update {table} set entry = ? where {key} = ?", (new, row)))
        self._execute(steps)

    def last_revision(self) -> int:
        """The highest version that was ever given out."""
        return self._meta("index")

    def entries(self) -> list[Entry]:
        """All that were kept; StoreError if one can't be read."""
        try:
            rows = self._db.execute("select entry from entries").fetchall()
            return [msgspec.json.decode(row[0], type=Entry) for row in rows]
        except (sqlite3.Error, msgspec.DecodeError, msgspec.ValidationError) as error:
            raise CatalogStoreError(f"an entry can't be read: {error}") from None

    def compaction_revision(self) -> int:
        """The highest version up to which a removal may be forgotten."""
        return self._meta("floor")

    def compaction_revisions(self) -> tuple[int, dict[str, int]]:
        """The version before which no removal is remembered, and later ones of single services."""
        if self._meta("split") != (
            floor := self.compaction_revision()
        ):  # a version before this one has kept the file
            return floor, {}
        rows = self._db.execute("select key, value from meta where key like 'floor:%'").fetchall()
        return self._meta("base"), {key.removeprefix("floor:"): value for key, value in rows}

    def incarnations(self) -> list[tuple[int, int]]:
        """First and last version of each life of this file, the oldest first."""
        return self._db.execute("select first, last from lives order by first").fetchall()

    def begin_incarnation(
        self, index: int, floor: int, kept: Container[str], floors: Mapping[str, int] | None = None
    ) -> None:
        """Take note of the version that a new life starts at, before anybody gets it.

        Of the entries only those `kept` are remembered; history stays as it is. `floor` is the version
        before which no removal is remembered, `floors` later ones of single services.
        """
        floors = floors or {}
        highest = max(floor, *floors.values()) if floors else floor
        names = [row[0] for row in self._db.execute("select name from entries").fetchall()]
        steps: list[tuple[str, tuple[object, ...]]] = [
            ("delete from entries where name = ?", (name,)) for name in names if name not in kept
        ]
        steps += [
            ("insert or replace into meta values ('index', ?)", (index,)),
            ("delete from meta where key like 'floor:%'", ()),
            ("insert or replace into meta values ('floor', ?)", (highest,)),
            ("insert or replace into meta values ('split', ?)", (highest,)),
            ("insert or replace into meta values ('base', ?)", (floor,)),
            *[
                ("insert or replace into meta values (?, ?)", (f"floor:{service}", version))
                for service, version in floors.items()
            ],
            ("insert into lives values (?, ?)", (index, index)),
            (
                "delete from lives where first <="
                " (select first from lives order by first desc limit 1 offset ?)",
                (MAX_INCARNATIONS,),
            ),
        ]
        self._execute(steps)

    def record_revision_jump(self, index: int) -> None:
        """The versions given out go on above others that somebody has seen: as if a new life had begun."""
        self._execute([("insert or replace into lives values (?, ?)", (index, index))])

    def commit(self, changes: Sequence[Change]) -> None:
        """Keep changes, all or none, on the disk when this returns; StoreError if that can't be done."""
        if not changes:
            return
        steps: list[tuple[str, tuple[object, ...]]] = []
        for change in changes:
            data = msgspec.json.encode(change.entry)
            steps.append(("insert or replace into entries values (?, ?)", (change.name, data)))
            row = (change.revision, change.at_ms, change.name, change.what, change.who, change.why, data)
            steps.append(("insert into history values (?, ?, ?, ?, ?, ?, ?)", row))
        last = max(change.revision for change in changes)
        steps.append(("insert or replace into meta values ('index', ?)", (last,)))
        steps.append(
            (
                "update lives set last = ? where first = (select max(first) from lives where first <= ?)",
                (last, last),
            )
        )
        self._writes += len(changes)
        if self._writes >= TRIM_INTERVAL_CHANGES:
            self._writes = 0
            steps.append(
                (
                    "delete from history where version <= (select version from history"
                    " order by version desc limit 1 offset ?)",
                    (MAX_HISTORY_CHANGES,),
                )
            )
        self._execute(steps)

    def _execute(self, steps: Sequence[tuple[str, tuple[object, ...]]]) -> None:
        try:
            self._db.execute("begin immediate")
            for statement, values in steps:
                self._db.execute(statement, values)
            self._db.execute("commit")
        except sqlite3.Error as error:
            if self._db.in_transaction:
                self._db.execute("rollback")
            raise CatalogStoreError(f"nothing was kept: {error}") from None

    def history(self, name: str = "", most: int = 100) -> list[Change]:
        """The newest changes first, of one server or of all."""
        where, values = ("where name = ?", (name,)) if name else ("", ())
        rows = self._db.execute(
            f"select * from history {where} order by version desc limit ?", (*values, most)
        ).fetchall()
        return [
            Change(version, at_ms, server, what, who, why, msgspec.json.decode(data, type=Entry))
            for version, at_ms, server, what, who, why, data in rows
        ]

    def verify(self) -> Iterator[str]:
        """What is wrong with the file, a line each; nothing if all is well."""
        for (told,) in self._db.execute("pragma integrity_check").fetchall():
            if told != "ok":
                yield str(told)
        versions = [row[0] for row in self._db.execute("select version from history order by version")]
        if versions and versions[-1] > self.last_revision():
            yield f"history reaches version {versions[-1]}, the list {self.last_revision()}"
        kept = {e.name: e for e in self.entries()}
        with closing(self._db.execute("select name, max(version), entry from history group by name")) as rows:
            for name, version, data in rows:
                entry = kept.get(name)
                if entry is None and not msgspec.json.decode(data, type=Entry).is_listed:
                    continue  # a removal of long ago, which only history remembers
                if entry is None or entry.revision != version or msgspec.json.encode(entry) != data:
                    yield f"{name}: its entry is not what history says of version {version}"

    def close(self) -> None:
        """Close the file."""
        self._db.close()
