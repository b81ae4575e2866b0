"""What the driver does with a real list service: looks at it, tells it, and changes what it remembers."""

from __future__ import annotations

import asyncio
import sqlite3
from contextlib import closing
from pathlib import Path

import aiohttp

from basaltspindle.directory.caller import Caller, CallError
from basaltspindle.drill.fleet import Fleet

LOOK_S = 0.02


class Listing:
    """The list service of a drill, where it has one."""

    def __init__(self, fleet: Fleet, database: Path, http: aiohttp.ClientSession) -> None:
        self._fleet, self._database, self._http = fleet, database, http
        self._old = database.with_suffix(".old")

    @property
    def is_there(self) -> bool:
        """Whether the list is the real service, and not the stand-in."""
        return "directory" in self._fleet.spots

    @property
    def _at(self) -> str:
        spot = self._fleet.spots["directory"]
        return f"{spot.host}:{spot.port}"

    async def names(self) -> set[str] | None:
        """The servers on the list; None while it does not answer."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self._http.get(f"http://{self._at}/v1/state", timeout=timeout) as answer:
                return {entry["name"] for entry in (await answer.json())["entries"]}
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def wait_for_all(self, patience_s: float) -> None:
        """Wait until all servers are on the list, and keep a copy of what it remembers."""
        wanted = {spot.name for spot in self._fleet.servers()}
        async with asyncio.timeout(patience_s):
            while (await self.names() or set()) < wanted:
                await asyncio.sleep(LOOK_S)
        _copy(self._database, self._old)

    def change_memory(self, memory: str) -> None:
        """Let the service, while it is down, forget all, or remember what it did when the load began."""
        if memory != "kept":
            for path in self._database.parent.glob(f"{self._database.name}*"):
                path.unlink()
        if memory == "old":
            _copy(self._old, self._database)

    async def tell(self, server: str, status: str) -> None:
        """Drain or remove a server; CallError if that can't be, but for one that is not listed any more."""
        caller = Caller(self._at, who="driver")
        method, what = ("POST", "/drain") if status == "terminating" else ("DELETE", "")
        try:
            await asyncio.to_thread(caller.on, method, server, what, why="the drill")
        except CallError as error:
            if error.status != 404:
                raise


def _copy(one: Path, other: Path) -> None:
    with closing(sqlite3.connect(one)) as source, closing(sqlite3.connect(other)) as target:
        source.backup(target)
