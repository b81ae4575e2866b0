"""The catalog and its store on HTTP by aiohttp: PROTOCOL's list and watches, and writes as plain JSON.

Writes wait for a few ms in a queue; then all are made, kept on the disk in one transaction, answered and told
to watches together. Nothing is answered, nor seen by anybody, that is not on the disk.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from loadbalancer.registry.anti_entropy import MAX_INSTANCES, AntiEntropy, InstanceMismatchError, SyncMessage
from loadbalancer.registry.catalog import Catalog, Change, WriteRejectedError, first_revision
from loadbalancer.registry.entries import Name, Registration, Rules
from loadbalancer.registry.list_query import parse_list_query, read_number
from loadbalancer.registry.query_evaluation import QueryEvaluator
from loadbalancer.registry.store import CatalogStore, CatalogStoreError

WRITE_BATCH_S = 0.005  # writes that come within it share a transaction, and watches are told of them at once
EXPIRY_CHECK_INTERVAL_S = 0.25
MAX_BODY_BYTES = 64 * 1024
RESPONSE_CHUNK_BYTES = 64 * 1024  # of a long answer, written at once
STALLED_READER_TIMEOUT_S = 10.0  # a reader that takes no part for so long is cut off
EXCHANGE_INTERVAL_S = 0.25  # between questions to another instance
EXCHANGE_TIMEOUT_S = 2.0
EXCHANGE_CHUNK_BYTES, MAX_EXCHANGE_BYTES = 64 * 1024, 16 * 1024 * 1024
MAX_INITIAL_SYNC_MS = 3_000.0  # after a start, until the others have been heard
MAX_HISTORY_ENTRIES = 10_000
WHO_HEADER, WHY_HEADER = "X-Who", "X-Why"
Write = Callable[[], Change | None]


class Renewal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a server tells to renew its lease: which start of it speaks."""

    since_ms: float = 0.0


@dataclass
class PendingWrite:
    """A write in the queue."""

    write: Write
    result: asyncio.Future[Change | None]


def now_ms() -> float:
    """Unix ms."""
    return time.time() * 1_000


class RegistryService:
    """One instance: the catalog in memory, its file, and those who watch."""

    def __init__(
        self, store: CatalogStore, rules: Rules, instances: Sequence[str] = (), instance: int = 0
    ) -> None:
        """`instances` are the addresses of all that hold the list; StoreError if the file can't be read."""
        self._store, now = store, now_ms()
        first = first_revision(store.last_revision(), now, instance, MAX_INSTANCES)
        self.catalog = Catalog(rules, first, instance, MAX_INSTANCES)
        self.catalog.restore(store.entries(), now, store.incarnations(), *store.compaction_revisions())
        self.anti_entropy = AntiEntropy(
            self.catalog, instance, max(len(instances), 1), secrets.randbits(48) + 1
        )
        self._addresses = instances
        self._has_updates = asyncio.Event()  # something is to be told to the other instances at once
        self._is_synchronized = not self.anti_entropy.peers
        self._learning_until_ms = now + rules.learning_ms if not store.last_revision() else now
        store.begin_incarnation(
            self.catalog.revision,
            self.catalog.oldest_revision,
            self.catalog.entries,
            self.catalog.change_index.compaction_revisions,
        )
        self._queue: list[PendingWrite] = []
        self._flushing: asyncio.TimerHandle | None = None
        self.evaluator = QueryEvaluator(self.catalog, store)
        self.stalled_reader_count = 0
        self.stalled_reader_timeout_s = STALLED_READER_TIMEOUT_S

    def create_application(self) -> web.Application:
        """The service as aiohttp hosts it."""
        app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[_plain_errors])
        app.router.add_get("/v1/servers", self._list)
        app.router.add_put("/v1/servers/{name}", self._register)
        app.router.add_delete("/v1/servers/{name}", self._remove)
        app.router.add_post("/v1/servers/{name}/renew", self._renew)
        app.router.add_post("/v1/servers/{name}/drain", self._drain)
        app.router.add_post("/v1/servers/{name}/pin", self._pin)
        app.router.add_post("/v1/servers/{name}/unpin", self._pin)
        app.router.add_post("/v1/exchange", self._exchange)
        app.router.add_get("/v1/history", self._history)
        app.router.add_get("/v1/state", self._state)
        app.router.add_get("/healthz", self._health)
        app.cleanup_ctx.append(self._lapses)
        if self.anti_entropy.peers:
            app.cleanup_ctx.append(self._exchanges)
        return app

    # ---- reads ----------------------------------------------------------------------------------

    async def _list(self, request: web.Request) -> web.StreamResponse:
        asked = parse_list_query(request.query)
        if not self._is_synchronized:
            raise WriteRejectedError(503, "this instance has just started, and has not heard the others yet")
        if (
            asked.after_revision >= 0
            and now_ms() < self._learning_until_ms
            and not self.evaluator.has_history_for(asked)
        ):
            raise WriteRejectedError(
                503, "this service has lost its memory, or is new: keep the list that you have"
            )
        if (turn := self.evaluator.schedule_retry(asked)) is not None:
            retry_ms = round(turn.delay_s * 1_000)
            told = {"error": "too many come back at once", "retry_ms": retry_ms, "ticket": turn.ticket}
            return _json(told, 503, {"Retry-After": f"{turn.delay_s:.3f}"})
        body = await self.evaluator.answer(asked)
        if len(body) <= RESPONSE_CHUNK_BYTES:
            return web.Response(body=body, content_type="application/json")
        return await self._tell_slowly(request, body)

    async def _tell_slowly(self, request: web.Request, body: bytes) -> web.StreamResponse:
        """A long answer in parts: who reads slowly holds one or two, who reads nothing is cut off."""
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        response.content_type = "application/json"
        await response.prepare(request)
        try:
            for at in range(0, len(body), RESPONSE_CHUNK_BYTES):
                async with asyncio.timeout(self.stalled_reader_timeout_s):
                    await response.write(body[at : at + RESPONSE_CHUNK_BYTES])
        except TimeoutError:
            self.stalled_reader_count += 1
            if request.transport is not None:
                request.transport.abort()
        return response

    async def _history(self, request: web.Request) -> web.Response:
        most = min(int(read_number(request.query, "most", 100.0)), MAX_HISTORY_ENTRIES)
        changes = self._store.history(request.query.get("name", ""), most)
        return _json([msgspec.to_builtins(change) for change in changes])

    async def _state(self, request: web.Request) -> web.Response:
        """What operators see beside the list: marks, pins, doubts, counts."""
        now, catalog = now_ms(), self.catalog
        entries = [
            entry.to_endpoint()
            | {
                "version": entry.registration.version,
                "owner": entry.registration.owner,
                "tier": entry.registration.tier,
                "index": entry.revision,
                "lapsed": entry.is_preserved,
                "pinned": entry.is_pinned,
                "lease_left_ms": round(entry.last_renewal_ms + entry.registration.lease_ms - now),
            }
            for entry in catalog.entries.values()
            if entry.is_listed
        ]
        return _json(
            {
                "index": catalog.revision,
                "floor": catalog.compaction_revision,
                "entries": entries,
                "doubts": {
                    tier: round(until - now)
                    for tier, until in catalog.expiry_suspended_until_ms.items()
                    if until > now
                },
                "refused": dict(catalog.rejection_counts),
                "watching": self.evaluator.waiting_count,
                "told": self.evaluator.answer_count,
                "serialized": self.evaluator.serialization_count,
                "paced": self.evaluator.admission_queue.rejected_count,
                "instance": self.anti_entropy.number,
                "cut_off": self.stalled_reader_count,
                "others": self.anti_entropy.report(now),
                "disagreed": dict(catalog.conflict_counts),
            }
        )

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    # ---- writes ---------------------------------------------------------------------------------

    async def _register(self, request: web.Request) -> web.Response:
        name, told = _name(request), await _body(request, Registration)
        who, why, match = _said(request)
        return await self._write(
            lambda: self.catalog.register(name, told, now_ms(), who=who, why=why, if_match=match)
        )

    async def _renew(self, request: web.Request) -> web.Response:
        name, told = _name(request), await _body(request, Renewal)
        return await self._write(lambda: self.catalog.renew(name, told.since_ms, now_ms()))

    async def _drain(self, request: web.Request) -> web.Response:
        name = _name(request)
        who, why, match = _said(request)
        return await self._write(lambda: self.catalog.drain(name, now_ms(), who=who, why=why, if_match=match))

    async def _remove(self, request: web.Request) -> web.Response:
        name = _name(request)
        who, why, match = _said(request)
        return await self._write(
            lambda: self.catalog.remove(name, now_ms(), who=who, why=why, if_match=match)
        )

    async def _pin(self, request: web.Request) -> web.Response:
        name, pinned = _name(request), request.path.endswith("/pin")
        who, why, _ = _said(request)
        return await self._write(lambda: self.catalog.set_pinned(name, pinned, now_ms(), who=who, why=why))

    async def _write(self, write: Write) -> web.Response:
        """Queue a write, and answer when it is on the disk."""
        loop = asyncio.get_running_loop()
        waiting = PendingWrite(write, loop.create_future())
        self._queue.append(waiting)
        if self._flushing is None:
            self._flushing = loop.call_later(WRITE_BATCH_S, self.flush)
        change = await waiting.result
        index = change.revision if change else self.catalog.revision
        return _json({"index": index, "changed": change is not None}, headers={"ETag": f'"{index}"'})

    def flush(self) -> None:
        """Make all writes that wait, keep them, answer, and wake the watches."""
        self._flushing = None
        queue, self._queue = self._queue, []
        done: list[tuple[PendingWrite, Change | None]] = []
        for waiting in queue:
            try:
                done.append((waiting, waiting.write()))
            except WriteRejectedError as refused:
                _fail(waiting, refused)
        changes = [change for _, change in done if change is not None]
        try:
            self._store.commit(changes)
        except CatalogStoreError as error:
            self.catalog.revert(changes)
            for waiting, _ in done:
                _fail(waiting, error)
            return
        for waiting, change in done:
            if not waiting.result.done():
                waiting.result.set_result(change)
        if changes:
            self.evaluator.notify_watchers()
        if done and self.anti_entropy.peers:
            self._has_updates.set()

    async def _lapses(self, app: web.Application) -> Any:
        task = asyncio.get_running_loop().create_task(self._look_for_lapses())
        yield
        task.cancel()
        if self._flushing is not None:
            self._flushing.cancel()
        self.flush()
        self.evaluator.close()

    async def _look_for_lapses(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            with suppress(CatalogStoreError):  # they lapse again when the disk takes them
                self._keep(self.catalog.expire_leases(now_ms(), self.anti_entropy.complete_as_of_ms))

    def _keep(self, changes: list[Change]) -> None:
        """Keep changes that nobody here waits for; StoreError, and none is made, if that can't be."""
        try:
            self._store.commit(changes)
        except CatalogStoreError:
            self.catalog.revert(changes)
            raise
        if changes:
            self.evaluator.notify_watchers()

    # ---- other instances ------------------------------------------------------------------------

    async def _exchange(self, request: web.Request) -> web.Response:
        """Another instance's question."""
        data = bytearray()
        async for part in request.content.iter_chunked(EXCHANGE_CHUNK_BYTES):
            data += part
            if len(data) > MAX_EXCHANGE_BYTES:
                raise WriteRejectedError(413, "a message of another instance is too long")
        try:
            question = msgspec.json.decode(data, type=SyncMessage)
            answer, changes = self.anti_entropy.handle_request(question, now_ms())
        except (msgspec.DecodeError, InstanceMismatchError) as error:
            raise WriteRejectedError(
                400, f"no message of another instance: {' '.join(str(error).split())}"
            ) from None
        self._keep_heard(question.sender, changes)
        return web.Response(body=msgspec.json.encode(answer), content_type="application/json")

    def _keep_heard(self, sender: int, changes: list[Change]) -> None:
        try:
            self._keep(changes)
        except CatalogStoreError:
            self.anti_entropy.peers[sender].known_sequence = 0  # all is to be told again
            raise

    async def _exchanges(self, app: web.Application) -> Any:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=EXCHANGE_TIMEOUT_S)) as http:
            tasks = [asyncio.create_task(self._ask_on(http, other)) for other in self.anti_entropy.peers]
            tasks.append(asyncio.create_task(self._begin()))
            yield
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _begin(self) -> None:
        """Answer nobody until the others have been heard, or are seen to be out of reach."""
        began = now_ms()
        while not self._is_synchronized and now_ms() < began + MAX_INITIAL_SYNC_MS:
            await asyncio.sleep(EXCHANGE_INTERVAL_S / 10)
            self._is_synchronized = self._is_synchronized or self.anti_entropy.complete_as_of_ms >= began
        self._is_synchronized = True

    async def _ask_on(self, http: aiohttp.ClientSession, other: int) -> None:
        """Ask another instance every so often, and at once when something is to be told."""
        while True:
            with suppress(aiohttp.ClientError, OSError, ValueError, CatalogStoreError):
                await self._ask(http, other)
            with suppress(TimeoutError):
                async with asyncio.timeout(EXCHANGE_INTERVAL_S):
                    await self._has_updates.wait()
            self._has_updates.clear()

    async def _ask(self, http: aiohttp.ClientSession, other: int) -> None:
        asked_at, question = now_ms(), self.anti_entropy.make_request(other)
        url = f"http://{self._addresses[other]}/v1/exchange"
        async with http.post(url, data=msgspec.json.encode(question)) as response:
            if response.status != 200:
                return
            answer = msgspec.json.decode(await response.read(), type=SyncMessage)
        self._keep_heard(other, self.anti_entropy.handle_response(other, answer, asked_at, now_ms()))


def _fail(waiting: PendingWrite, error: Exception) -> None:
    if not waiting.result.done():
        waiting.result.set_exception(error)


@web.middleware
async def _plain_errors(request: web.Request, handler: Callable[[web.Request], Any]) -> web.StreamResponse:
    """What can't be done is one clear line in JSON."""
    try:
        response: web.StreamResponse = await handler(request)
        return response
    except WriteRejectedError as refused:
        return _json({"error": str(refused)}, status=refused.status)
    except CatalogStoreError as error:
        return _json({"error": str(error)}, status=503)
    except web.HTTPException as error:
        if error.status >= 400:
            return _json({"error": error.reason}, status=error.status)
        raise


def _json(value: object, status: int = 200, headers: dict[str, str] | None = None) -> web.Response:
    body = json.dumps(value, default=str).encode() + b"\n"
    return web.Response(body=body, status=status, headers=headers, content_type="application/json")


def _name(request: web.Request) -> str:
    name = request.match_info["name"]
    try:
        return msgspec.convert(name, type=Name)
    except msgspec.ValidationError:
        raise WriteRejectedError(
            400, f"{name[:80]!r} is no name of a server: letters, digits, . _ : -"
        ) from None


def _said(request: web.Request) -> tuple[str, str, int | None]:
    """Who writes and why, and at which version."""
    match = request.headers.get("If-Match", "").strip().strip('"')
    if match and not match.isdigit():
        raise WriteRejectedError(400, f"If-Match {match[:40]!r} is no version")
    who, why = (request.headers.get(key, "")[:200] for key in (WHO_HEADER, WHY_HEADER))
    return who, why, int(match) if match else None


async def _body(request: web.Request, kind: type[msgspec.Struct]) -> Any:
    try:
        return msgspec.json.decode(await request.read() or b"{}", type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        allowed = ", ".join(f.name for f in msgspec.structs.fields(kind))
        raise WriteRejectedError(400, f"{' '.join(str(error).split())}; allowed: {allowed}") from None
