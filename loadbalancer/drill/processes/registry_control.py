"""What the driver does with a real list service: looks at it, tells it, and changes what it remembers."""

from __future__ import annotations

import asyncio
import sqlite3
from contextlib import closing
from pathlib import Path

import aiohttp

from loadbalancer.drill.processes.placement import Fleet, Spot
from loadbalancer.drill.processes.process_files import Papers
from loadbalancer.registry.client import RegistryCallError, RegistryClient

LOOK_S = 0.02


class Listing:
    """The list service of a drill, where it has one."""

    def __init__(self, fleet: Fleet, papers: Papers, http: aiohttp.ClientSession) -> None:
        self._fleet, self._papers, self._http = fleet, papers, http

    @property
    def is_there(self) -> bool:
        """Whether the list is the real service, and not the stand-in."""
        return bool(self._fleet.instances())

    def _files(self, spot: Spot) -> tuple[Path, Path]:
        database = self._papers.database(spot.name)
        return database, database.with_suffix(".old")

    async def names(self, spot: Spot) -> set[str] | None:
        """The servers on the list of an instance; None while it does not answer."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            url = f"http://{spot.host}:{spot.port}/v1/state"
            async with self._http.get(url, timeout=timeout) as answer:
                return {entry["name"] for entry in (await answer.json())["entries"]}
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def wait_for_all(self, patience_s: float) -> None:
        """Wait until all servers are on the list of each instance, and keep copies of what they remember."""
        wanted = {spot.name for spot in self._fleet.servers()}
        async with asyncio.timeout(patience_s):
            for spot in self._fleet.instances():
                while (await self.names(spot) or set()) < wanted:
                    await asyncio.sleep(LOOK_S)
                _copy(*self._files(spot))

    def change_memory(self, spot: Spot, memory: str) -> None:
        """Let an instance, while it is down, forget all, or remember what it did when the load began."""
        database, old = self._files(spot)
        if memory != "kept":
            for path in database.parent.glob(f"{database.name}*"):
                path.unlink()
        if memory == "old":
            _copy(old, database)

    async def tell(self, server: str, status: str) -> None:
        """Drain or remove a server; CallError if that can't be, but for one that is not listed any more."""
        at = ",".join(f"{spot.host}:{spot.port}" for spot in self._fleet.instances())
        caller = RegistryClient(at, who="driver")
        method, what = ("POST", "/drain") if status == "terminating" else ("DELETE", "")
        try:
            await asyncio.to_thread(caller.call_server, method, server, what, why="the drill")
        except RegistryCallError as error:
            if error.status != 404:
                raise

    async def pin(self, spot: Spot, server: str) -> None:
        """Pin a server at one instance."""
        caller = RegistryClient(f"{spot.host}:{spot.port}", who="driver")
        await asyncio.to_thread(caller.call_server, "POST", server, "/pin", why="the drill")


def _copy(one: Path, other: Path) -> None:
    with closing(sqlite3.connect(one)) as source, closing(sqlite3.connect(other)) as target:
        source.backup(target)
