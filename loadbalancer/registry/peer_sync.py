"""Calls between instances: changes are sent to the peers at once, renewals every quarter of a second."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress

import aiohttp
import msgspec

from loadbalancer.registry.anti_entropy import AntiEntropy, InstanceMismatchError, SyncMessage
from loadbalancer.registry.changes import Change, WriteRejectedError
from loadbalancer.registry.clock import unix_ms
from loadbalancer.registry.store import CatalogStoreError
from loadbalancer.registry.write_queue import WriteQueue

EXCHANGE_INTERVAL_S = 0.25  # between requests to one peer, if nothing has changed
EXCHANGE_TIMEOUT_S = 2.0
MAX_INITIAL_SYNC_MS = 3_000.0  # wait after a start for the peers' answers


class PeerSync:
    """Synchronizes one instance with its peers over HTTP."""

    def __init__(self, anti_entropy: AntiEntropy, addresses: Sequence[str], writes: WriteQueue) -> None:
        """`addresses` are those of all instances, by their numbers."""
        self._anti_entropy = anti_entropy
        self._addresses = addresses
        self._writes = writes
        self._has_updates = asyncio.Event()
        self.is_synchronized = not anti_entropy.peers

    def notify(self) -> None:
        """Send updates to the peers at once."""
        self._has_updates.set()

    def handle_request(self, data: bytes | bytearray) -> bytes:
        """Return the answer to a peer's message; an invalid one is rejected with 400.

        Raises `CatalogStoreError` if its changes can't be stored.
        """
        try:
            message = msgspec.json.decode(data, type=SyncMessage)
            answer, changes = self._anti_entropy.handle_request(message, unix_ms())
        except (msgspec.DecodeError, InstanceMismatchError) as error:
            raise WriteRejectedError(
                400, f"no message of another instance: {' '.join(str(error).split())}"
            ) from error
        self._commit(message.sender, changes)
        return msgspec.json.encode(answer)

    def _commit(self, sender: int, changes: list[Change]) -> None:
        try:
            self._writes.commit(changes)
        except CatalogStoreError:
            self._anti_entropy.peers[sender].known_sequence = 0  # so that the peer sends all again
            raise

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Call the peers until the block ends."""
        timeout = aiohttp.ClientTimeout(total=EXCHANGE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            tasks = [asyncio.create_task(self._sync_with(http, peer)) for peer in self._anti_entropy.peers]
            tasks.append(asyncio.create_task(self._wait_for_peers()))
            try:
                yield
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_for_peers(self) -> None:
        """Set `is_synchronized` when the peers have answered, or after `MAX_INITIAL_SYNC_MS`."""
        started_ms = unix_ms()
        while not self.is_synchronized and unix_ms() < started_ms + MAX_INITIAL_SYNC_MS:
            await asyncio.sleep(EXCHANGE_INTERVAL_S / 10)
            self.is_synchronized = self.is_synchronized or self._anti_entropy.complete_as_of_ms >= started_ms
        self.is_synchronized = True

    async def _sync_with(self, http: aiohttp.ClientSession, peer: int) -> None:
        while True:
            with suppress(aiohttp.ClientError, OSError, ValueError, CatalogStoreError):
                await self._call(http, peer)
            with suppress(TimeoutError):
                async with asyncio.timeout(EXCHANGE_INTERVAL_S):
                    await self._has_updates.wait()
            self._has_updates.clear()

    async def _call(self, http: aiohttp.ClientSession, peer: int) -> None:
        requested_ms = unix_ms()
        message = self._anti_entropy.make_request(peer)
        url = f"http://{self._addresses[peer]}/v1/exchange"
        async with http.post(url, data=msgspec.json.encode(message)) as response:
            if response.status != 200:
                return
            answer = msgspec.json.decode(await response.read(), type=SyncMessage)
        changes = self._anti_entropy.handle_response(peer, answer, requested_ms, unix_ms())
        self._commit(peer, changes)
