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

from loadbalancer.registry.anti_entropy import MAX_INSTANCES, AntiEntropy, InstanceMismatchError, Message
from loadbalancer.registry.catalog import Catalog, Change, WriteRejectedError, first_revision
from loadbalancer.registry.entries import Name, Registration, Rules
from loadbalancer.registry.list_query import number, parse_list_query
from loadbalancer.registry.query_evaluation import QueryEvaluator
from loadbalancer.registry.store import CatalogStore, CatalogStoreError

BATCH_S = 0.005  # writes that come within it share a transaction, and watches are told of them at once
LAPSE_S = 0.25
BODY_MOST = 64 * 1024
PART = 64 * 1024  # of a long answer, written at once
SLOW_S = 10.0  # a reader that takes no part for so long is cut off
EXCHANGE_S = 0.25  # between questions to another instance
EXCHANGE_PATIENCE_S = 2.0
EXCHANGE_PART, EXCHANGE_MOST = 64 * 1024, 16 * 1024 * 1024
SYNC_MS = 3_000.0  # after a start, until the others have been heard
HISTORY_MOST = 10_000
WHO, WHY = "X-Who", "X-Why"
Write = Callable[[], Change | None]


class Renewal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a server tells to renew its lease: which start of it speaks."""

    since_ms: float = 0.0


@dataclass
class Waiting:
    """A write in the queue."""

    write: Write
    answer: asyncio.Future[Change | None]


def now_ms() -> float:
    """Unix ms."""
    return time.time() * 1_000


class Service:
    """One instance: the catalog in memory, its file, and those who watch."""

    def __init__(
        self, store: CatalogStore, rules: Rules, instances: Sequence[str] = (), instance: int = 0
    ) -> None:
        """`instances` are the addresses of all that hold the list; StoreError if the file can't be read."""
        self._store, now = store, now_ms()
        first = first_revision(store.index(), now, instance, MAX_INSTANCES)
        self.catalog = Catalog(rules, first, instance, MAX_INSTANCES)
        self.catalog.restore(store.entries(), now, store.lives(), *store.floors())
        self.exchange = AntiEntropy(self.catalog, instance, max(len(instances), 1), secrets.randbits(48) + 1)
        self._addresses = instances
        self._moved = asyncio.Event()  # something is to be told to the other instances at once
        self._synced = not self.exchange.others
        self._learns_until = now + rules.learn_ms if not store.index() else now
        store.begin(self.catalog.index, self.catalog.base, self.catalog.entries, self.catalog.places.floors)
        self._queue: list[Waiting] = []
        self._flushing: asyncio.TimerHandle | None = None
        self.reads = QueryEvaluator(self.catalog, store)
        self.cut_off = 0
        self.slow_s = SLOW_S

    def app(self) -> web.Application:
        """The service as aiohttp hosts it."""
        app = web.Application(client_max_size=BODY_MOST, middlewares=[_plain_errors])
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
        if self.exchange.others:
            app.cleanup_ctx.append(self._exchanges)
        return app

    # ---- reads ----------------------------------------------------------------------------------

    async def _list(self, request: web.Request) -> web.StreamResponse:
        asked = parse_list_query(request.query)
        if not self._synced:
            raise WriteRejectedError(503, "this instance has just started, and has not heard the others yet")
        if asked.after >= 0 and now_ms() < self._learns_until and not self.reads.knows(asked):
            raise WriteRejectedError(
                503, "this service has lost its memory, or is new: keep the list that you have"
            )
        if (turn := self.reads.turn(asked)) is not None:
            retry_ms = round(turn.after_s * 1_000)
            told = {"error": "too many come back at once", "retry_ms": retry_ms, "ticket": turn.ticket}
            return _json(told, 503, {"Retry-After": f"{turn.after_s:.3f}"})
        body = await self.reads.answer(asked)
        if len(body) <= PART:
            return web.Response(body=body, content_type="application/json")
        return await self._tell_slowly(request, body)

    async def _tell_slowly(self, request: web.Request, body: bytes) -> web.StreamResponse:
        """A long answer in parts: who reads slowly holds one or two, who reads nothing is cut off."""
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        response.content_type = "application/json"
        await response.prepare(request)
        try:
            for at in range(0, len(body), PART):
                async with asyncio.timeout(self.slow_s):
                    await response.write(body[at : at + PART])
        except TimeoutError:
            self.cut_off += 1
            if request.transport is not None:
                request.transport.abort()
        return response

    async def _history(self, request: web.Request) -> web.Response:
        most = min(int(number(request.query, "most", 100.0)), HISTORY_MOST)
        changes = self._store.history(request.query.get("name", ""), most)
        return _json([msgspec.to_builtins(change) for change in changes])

    async def _state(self, request: web.Request) -> web.Response:
        """What operators see beside the list: marks, pins, doubts, counts."""
        now, catalog = now_ms(), self.catalog
        entries = [
            entry.public()
            | {
                "version": entry.told.version, "owner": entry.told.owner, "tier": entry.told.tier,
                "index": entry.index, "lapsed": entry.lapsed, "pinned": entry.pinned,
                "lease_left_ms": round(entry.renewed_ms + entry.told.lease_ms - now),
            }
            for entry in catalog.entries.values()
            if entry.is_listed
        ]  # fmt: skip
        return _json(
            {
                "index": catalog.index, "floor": catalog.floor, "entries": entries,
                "doubts": {tier: round(until - now) for tier, until in catalog.doubts.items() if until > now},
                "refused": dict(catalog.refused), "watching": self.reads.watching, "told": self.reads.told,
                "serialized": self.reads.serialized, "paced": self.reads.gate.turned_away,
                "instance": self.exchange.number, "cut_off": self.cut_off,
                "others": self.exchange.report(now), "disagreed": dict(catalog.disagreed),
            }
        )  # fmt: skip

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
        return await self._write(lambda: self.catalog.pin(name, pinned, now_ms(), who=who, why=why))

    async def _write(self, write: Write) -> web.Response:
        """Queue a write, and answer when it is on the disk."""
        loop = asyncio.get_running_loop()
        waiting = Waiting(write, loop.create_future())
        self._queue.append(waiting)
        if self._flushing is None:
            self._flushing = loop.call_later(BATCH_S, self.flush)
        change = await waiting.answer
        index = change.index if change else self.catalog.index
        return _json({"index": index, "changed": change is not None}, headers={"ETag": f'"{index}"'})

    def flush(self) -> None:
        """Make all writes that wait, keep them, answer, and wake the watches."""
        self._flushing = None
        queue, self._queue = self._queue, []
        done: list[tuple[Waiting, Change | None]] = []
        for waiting in queue:
            try:
                done.append((waiting, waiting.write()))
            except WriteRejectedError as refused:
                _fail(waiting, refused)
        changes = [change for _, change in done if change is not None]
        try:
            self._store.keep(changes)
        except CatalogStoreError as error:
            self.catalog.undo(changes)
            for waiting, _ in done:
                _fail(waiting, error)
            return
        for waiting, change in done:
            if not waiting.answer.done():
                waiting.answer.set_result(change)
        if changes:
            self.reads.wake()
        if done and self.exchange.others:
            self._moved.set()

    async def _lapses(self, app: web.Application) -> Any:
        task = asyncio.get_running_loop().create_task(self._look_for_lapses())
        yield
        task.cancel()
        if self._flushing is not None:
            self._flushing.cancel()
        self.flush()
        self.reads.close()

    async def _look_for_lapses(self) -> None:
        while True:
            await asyncio.sleep(LAPSE_S)
            with suppress(CatalogStoreError):  # they lapse again when the disk takes them
                self._keep(self.catalog.lapse(now_ms(), self.exchange.heard))

    def _keep(self, changes: list[Change]) -> None:
        """Keep changes that nobody here waits for; StoreError, and none is made, if that can't be."""
        try:
            self._store.keep(changes)
        except CatalogStoreError:
            self.catalog.undo(changes)
            raise
        if changes:
            self.reads.wake()

    # ---- other instances ------------------------------------------------------------------------

    async def _exchange(self, request: web.Request) -> web.Response:
        """Another instance's question."""
        data = bytearray()
        async for part in request.content.iter_chunked(EXCHANGE_PART):
            data += part
            if len(data) > EXCHANGE_MOST:
                raise WriteRejectedError(413, "a message of another instance is too long")
        try:
            question = msgspec.json.decode(data, type=Message)
            answer, changes = self.exchange.heard_from(question, now_ms())
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
            self.exchange.others[sender].heard = 0  # all is to be told again
            raise

    async def _exchanges(self, app: web.Application) -> Any:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=EXCHANGE_PATIENCE_S)) as http:
            tasks = [asyncio.create_task(self._ask_on(http, other)) for other in self.exchange.others]
            tasks.append(asyncio.create_task(self._begin()))
            yield
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _begin(self) -> None:
        """Answer nobody until the others have been heard, or are seen to be out of reach."""
        began = now_ms()
        while not self._synced and now_ms() < began + SYNC_MS:
            await asyncio.sleep(EXCHANGE_S / 10)
            self._synced = self._synced or self.exchange.heard >= began
        self._synced = True

    async def _ask_on(self, http: aiohttp.ClientSession, other: int) -> None:
        """Ask another instance every so often, and at once when something is to be told."""
        while True:
            with suppress(aiohttp.ClientError, OSError, ValueError, CatalogStoreError):
                await self._ask(http, other)
            with suppress(TimeoutError):
                async with asyncio.timeout(EXCHANGE_S):
                    await self._moved.wait()
            self._moved.clear()

    async def _ask(self, http: aiohttp.ClientSession, other: int) -> None:
        asked_at, question = now_ms(), self.exchange.question(other)
        url = f"http://{self._addresses[other]}/v1/exchange"
        async with http.post(url, data=msgspec.json.encode(question)) as response:
            if response.status != 200:
                return
            answer = msgspec.json.decode(await response.read(), type=Message)
        self._keep_heard(other, self.exchange.answered(other, answer, asked_at, now_ms()))


def _fail(waiting: Waiting, error: Exception) -> None:
    if not waiting.answer.done():
        waiting.answer.set_exception(error)


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
    who, why = (request.headers.get(key, "")[:200] for key in (WHO, WHY))
    return who, why, int(match) if match else None


async def _body(request: web.Request, kind: type[msgspec.Struct]) -> Any:
    try:
        return msgspec.json.decode(await request.read() or b"{}", type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        allowed = ", ".join(f.name for f in msgspec.structs.fields(kind))
        raise WriteRejectedError(400, f"{' '.join(str(error).split())}; allowed: {allowed}") from None
