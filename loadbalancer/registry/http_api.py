"""The registry's HTTP interface: the platform's list with its watches, and writes as plain JSON."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from loadbalancer.registry.anti_entropy import AntiEntropy
from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.changes import WriteRejectedError
from loadbalancer.registry.clock import unix_ms
from loadbalancer.registry.entries import Entry, Registration
from loadbalancer.registry.http_messages import (
    answer_errors_as_json,
    json_response,
    read_body,
    read_server_name,
    read_write_context,
)
from loadbalancer.registry.list_query import parse_list_query, read_number
from loadbalancer.registry.peer_sync import PeerSync
from loadbalancer.registry.query_evaluation import QueryEvaluator
from loadbalancer.registry.store import CatalogStore
from loadbalancer.registry.write_queue import Write, WriteQueue

MAX_BODY_BYTES = 64 * 1024
RESPONSE_CHUNK_BYTES = 64 * 1024  # of a long response, written at once
STALLED_READER_TIMEOUT_S = 10.0  # a client that takes no chunk for this long is disconnected
EXCHANGE_CHUNK_BYTES = 64 * 1024
MAX_EXCHANGE_BYTES = 16 * 1024 * 1024  # of one message between instances
MAX_HISTORY_CHANGES = 10_000  # in one answer
DEFAULT_HISTORY_CHANGES = 100.0


class Renewal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a renewal: the start of the server that holds the lease."""

    since_ms: float = 0.0


class HttpApi:
    """The handlers of all paths; each responds when what it reports is on the disk."""

    def __init__(
        self,
        catalog: Catalog,
        store: CatalogStore,
        writes: WriteQueue,
        evaluator: QueryEvaluator,
        anti_entropy: AntiEntropy,
        peer_sync: PeerSync,
        learning_until_ms: float,
    ) -> None:
        """Until `learning_until_ms`, watchers with unknown revisions are told to keep their list."""
        self._catalog = catalog
        self._store = store
        self._writes = writes
        self._evaluator = evaluator
        self._anti_entropy = anti_entropy
        self._peer_sync = peer_sync
        self._learning_until_ms = learning_until_ms
        self.stalled_reader_count = 0
        self.stalled_reader_timeout_s = STALLED_READER_TIMEOUT_S

    def create_application(self) -> web.Application:
        """Return an application that serves all paths."""
        app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[answer_errors_as_json])
        app.router.add_get("/v1/servers", self._handle_list)
        app.router.add_put("/v1/servers/{name}", self._handle_register)
        app.router.add_delete("/v1/servers/{name}", self._handle_remove)
        app.router.add_post("/v1/servers/{name}/renew", self._handle_renew)
        app.router.add_post("/v1/servers/{name}/drain", self._handle_drain)
        app.router.add_post("/v1/servers/{name}/pin", self._handle_pin)
        app.router.add_post("/v1/servers/{name}/unpin", self._handle_pin)
        app.router.add_post("/v1/exchange", self._handle_exchange)
        app.router.add_get("/v1/history", self._handle_history)
        app.router.add_get("/v1/state", self._handle_state)
        app.router.add_get("/healthz", self._handle_health_check)
        return app

    # ---- reads ----------------------------------------------------------------------------------

    async def _handle_list(self, request: web.Request) -> web.StreamResponse:
        query = parse_list_query(request.query)
        if not self._peer_sync.is_synchronized:
            raise WriteRejectedError(503, "this instance has just started, and has not heard the others yet")
        is_learning = query.after_revision >= 0 and unix_ms() < self._learning_until_ms
        if is_learning and not self._evaluator.has_history_for(query):
            raise WriteRejectedError(
                503, "this service has lost its memory, or is new: keep the list that you have"
            )
        if (retry := self._evaluator.schedule_retry(query)) is not None:
            error = {
                "error": "too many come back at once",
                "retry_ms": round(retry.delay_s * 1_000),
                "ticket": retry.ticket,
            }
            return json_response(error, 503, {"Retry-After": f"{retry.delay_s:.3f}"})
        body = await self._evaluator.answer(query)
        if len(body) <= RESPONSE_CHUNK_BYTES:
            return web.Response(body=body, content_type="application/json")
        return await self._send_in_chunks(request, body)

    async def _send_in_chunks(self, request: web.Request, body: bytes) -> web.StreamResponse:
        """Send a long response: a slow client holds one or two chunks, a stalled one is disconnected."""
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        response.content_type = "application/json"
        await response.prepare(request)
        try:
            for start in range(0, len(body), RESPONSE_CHUNK_BYTES):
                async with asyncio.timeout(self.stalled_reader_timeout_s):
                    await response.write(body[start : start + RESPONSE_CHUNK_BYTES])
        except TimeoutError:
            self.stalled_reader_count += 1
            if request.transport is not None:
                request.transport.abort()
        return response

    async def _handle_history(self, request: web.Request) -> web.Response:
        limit = min(int(read_number(request.query, "most", DEFAULT_HISTORY_CHANGES)), MAX_HISTORY_CHANGES)
        changes = self._store.history(request.query.get("name", ""), limit)
        return json_response([msgspec.to_builtins(change) for change in changes])

    async def _handle_state(self, request: web.Request) -> web.Response:
        """Answer the state for operators: preserved and pinned entries, suspended expiry, counters."""
        now = unix_ms()
        catalog = self._catalog
        suspended = catalog.expiry_suspended_until_ms.items()
        state = {
            "index": catalog.revision,
            "floor": catalog.compaction_revision,
            "entries": [_entry_state(entry, now) for entry in catalog.entries.values() if entry.is_listed],
            "doubts": {tier: round(until_ms - now) for tier, until_ms in suspended if until_ms > now},
            "refused": dict(catalog.rejection_counts),
            "watching": self._evaluator.waiting_count,
            "told": self._evaluator.answer_count,
            "serialized": self._evaluator.serialization_count,
            "paced": self._evaluator.admission_queue.rejected_count,
            "instance": self._anti_entropy.number,
            "cut_off": self.stalled_reader_count,
            "others": self._anti_entropy.report(now),
            "disagreed": dict(catalog.conflict_counts),
        }
        return json_response(state)

    async def _handle_health_check(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    # ---- writes ---------------------------------------------------------------------------------

    async def _handle_register(self, request: web.Request) -> web.Response:
        name = read_server_name(request)
        registration = await read_body(request, Registration)
        who, why, if_match = read_write_context(request)
        return await self._write(
            lambda: self._catalog.register(name, registration, unix_ms(), who=who, why=why, if_match=if_match)
        )

    async def _handle_renew(self, request: web.Request) -> web.Response:
        name = read_server_name(request)
        renewal = await read_body(request, Renewal)
        return await self._write(lambda: self._catalog.renew(name, renewal.since_ms, unix_ms()))

    async def _handle_drain(self, request: web.Request) -> web.Response:
        name = read_server_name(request)
        who, why, if_match = read_write_context(request)
        return await self._write(
            lambda: self._catalog.drain(name, unix_ms(), who=who, why=why, if_match=if_match)
        )

    async def _handle_remove(self, request: web.Request) -> web.Response:
        name = read_server_name(request)
        who, why, if_match = read_write_context(request)
        return await self._write(
            lambda: self._catalog.remove(name, unix_ms(), who=who, why=why, if_match=if_match)
        )

    async def _handle_pin(self, request: web.Request) -> web.Response:
        name = read_server_name(request)
        is_pinned = request.path.endswith("/pin")
        who, why, _ = read_write_context(request)
        return await self._write(
            lambda: self._catalog.set_pinned(name, unix_ms(), is_pinned=is_pinned, who=who, why=why)
        )

    async def _write(self, write: Write) -> web.Response:
        """Queue a write, and respond when it is on the disk."""
        change = await self._writes.write(write)
        revision = change.revision if change else self._catalog.revision
        answer = {"index": revision, "changed": change is not None}
        return json_response(answer, headers={"ETag": f'"{revision}"'})

    # ---- other instances ------------------------------------------------------------------------

    async def _handle_exchange(self, request: web.Request) -> web.Response:
        data = bytearray()
        async for chunk in request.content.iter_chunked(EXCHANGE_CHUNK_BYTES):
            data += chunk
            if len(data) > MAX_EXCHANGE_BYTES:
                raise WriteRejectedError(413, "a message of another instance is too long")
        return web.Response(body=self._peer_sync.handle_request(data), content_type="application/json")


def _entry_state(entry: Entry, now: float) -> dict[str, object]:
    registration = entry.registration
    return entry.to_endpoint() | {
        "version": registration.version,
        "owner": registration.owner,
        "tier": registration.tier,
        "index": entry.revision,
        "lapsed": entry.is_preserved,
        "pinned": entry.is_pinned,
        "lease_left_ms": round(entry.last_renewal_ms + registration.lease_ms - now),
    }
