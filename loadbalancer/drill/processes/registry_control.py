"""The driver's access to a real registry: reading and changing its list, and replacing its database."""

from __future__ import annotations

import asyncio
import sqlite3
from contextlib import closing
from pathlib import Path

import aiohttp

from loadbalancer.drill.processes.placement import Placement, format_address
from loadbalancer.drill.processes.process_files import ProcessFiles
from loadbalancer.drill.processes.topology import Topology
from loadbalancer.registry.client import RegistryCallError, RegistryClient

LIST_POLL_INTERVAL_S = 0.02
LIST_TIMEOUT_S = 1.0
CALLER = "driver"  # marks the drill's calls in the registry's history
REASON = "the drill"


class RegistryControl:
    """Controls a drill's registry, where it has one."""

    def __init__(self, topology: Topology, files: ProcessFiles, http: aiohttp.ClientSession) -> None:
        self._topology = topology
        self._files = files
        self._http = http

    @property
    def is_used(self) -> bool:
        """Whether the list comes from the real registry, not from the test server."""
        return bool(self._topology.registry_instances())

    def _database_paths(self, instance: Placement) -> tuple[Path, Path]:
        """Return an instance's database, and its copy from when the load began."""
        database = self._files.database_path(instance.name)
        return database, database.with_suffix(".old")

    async def listed_servers(self, instance: Placement) -> set[str] | None:
        """Return the servers on an instance's list; None while it does not answer."""
        timeout = aiohttp.ClientTimeout(total=LIST_TIMEOUT_S)
        try:
            url = f"http://{format_address(instance.address)}/v1/state"
            async with self._http.get(url, timeout=timeout) as response:
                return {entry["name"] for entry in (await response.json())["entries"]}
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def wait_for_all(self, timeout_s: float) -> None:
        """Wait until all servers are on each instance's list, and copy the databases."""
        expected = {server.name for server in self._topology.servers()}
        async with asyncio.timeout(timeout_s):
            for instance in self._topology.registry_instances():
                while (await self.listed_servers(instance) or set()) < expected:
                    await asyncio.sleep(LIST_POLL_INTERVAL_S)
                _copy_database(*self._database_paths(instance))

    def restore_database(self, instance: Placement, database_state: str) -> None:
        """Keep (`kept`) or remove (`lost`) a stopped instance's database, or restore its copy (`old`)."""
        database, old = self._database_paths(instance)
        if database_state != "kept":
            for path in database.parent.glob(f"{database.name}*"):
                path.unlink()
        if database_state == "old":
            _copy_database(old, database)

    async def set_status(self, server: str, status: str) -> None:
        """Drain or remove a server; RegistryCallError if that fails, except for an unlisted one."""
        instances = self._topology.registry_instances()
        client = RegistryClient(",".join(format_address(i.address) for i in instances), who=CALLER)
        method, subpath = ("POST", "/drain") if status == "terminating" else ("DELETE", "")
        try:
            await asyncio.to_thread(client.call_server, method, server, subpath, why=REASON)
        except RegistryCallError as error:
            if error.status != 404:
                raise

    async def pin(self, instance: Placement, server: str) -> None:
        """Pin a server at one instance."""
        client = RegistryClient(format_address(instance.address), who=CALLER)
        await asyncio.to_thread(client.call_server, "POST", server, "/pin", why=REASON)


def _copy_database(source_path: Path, target_path: Path) -> None:
    with closing(sqlite3.connect(source_path)) as source, closing(sqlite3.connect(target_path)) as target:
        source.backup(target)
