"""One instance of the registry: the catalog in memory, its database, its watchers and its peers.

The parts are assembled here, and run as long as the application is served.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import AsyncIterator, Sequence
from contextlib import suppress

from aiohttp import web

from loadbalancer.registry.anti_entropy import MAX_INSTANCES, AntiEntropy
from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.clock import unix_ms
from loadbalancer.registry.entries import Rules
from loadbalancer.registry.http_api import HttpApi
from loadbalancer.registry.peer_sync import PeerSync
from loadbalancer.registry.query_evaluation import QueryEvaluator
from loadbalancer.registry.revisions import first_revision
from loadbalancer.registry.store import CatalogStore, CatalogStoreError
from loadbalancer.registry.write_queue import WriteQueue

EXPIRY_CHECK_INTERVAL_S = 0.25


class RegistryService:
    """One instance, served over HTTP with aiohttp."""

    def __init__(
        self, store: CatalogStore, rules: Rules, instances: Sequence[str] = (), instance: int = 0
    ) -> None:
        """Load the database; `instances` are the addresses of all instances of the registry.

        `CatalogStoreError` if the database can't be read.
        """
        now = unix_ms()
        start_revision = first_revision(store.last_revision(), now, instance, MAX_INSTANCES)
        learning_until_ms = now + rules.learning_ms if not store.last_revision() else now
        catalog = Catalog(rules, start_revision, instance, MAX_INSTANCES)
        catalog.restore(store.entries(), now, store.incarnations(), *store.compaction_revisions())
        incarnation = secrets.randbits(48) + 1
        self.anti_entropy = AntiEntropy(catalog, instance, max(len(instances), 1), incarnation)
        store.begin_incarnation(
            catalog.revision,
            catalog.revisions.oldest,
            catalog.entries,
            catalog.change_index.compaction_revisions,
        )
        self._store = store
        self.catalog = catalog
        self.evaluator = QueryEvaluator(catalog, store)
        self._writes = WriteQueue(catalog, store, self.evaluator.notify_watchers, self._notify_peers)
        self._peer_sync = PeerSync(self.anti_entropy, instances, self._writes)
        self.api = HttpApi(
            catalog,
            store,
            self._writes,
            self.evaluator,
            self.anti_entropy,
            self._peer_sync,
            learning_until_ms,
        )

    def create_application(self) -> web.Application:
        """Return the aiohttp application that serves this instance."""
        app = self.api.create_application()
        app.cleanup_ctx.append(self._run_expiry)
        if self.anti_entropy.peers:
            app.cleanup_ctx.append(self._run_peer_sync)
        return app

    def _notify_peers(self) -> None:
        if self.anti_entropy.peers:
            self._peer_sync.notify()

    async def _run_expiry(self, app: web.Application) -> AsyncIterator[None]:
        task = asyncio.get_running_loop().create_task(self._expire_leases())
        yield
        task.cancel()
        self._writes.close()
        self.evaluator.close()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            with suppress(CatalogStoreError):  # the next check expires them again
                changes = self.catalog.expire_leases(unix_ms(), self.anti_entropy.complete_as_of_ms)
                self._writes.commit(changes)

    async def _run_peer_sync(self, app: web.Application) -> AsyncIterator[None]:
        async with self._peer_sync.running():
            yield
