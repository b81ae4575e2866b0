"""A test server for discovery as a process: PROTOCOL's endpoint list and watches, and their faults.

python -m loadbalancer.drill.servers.endpoint_list SPEC.json
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiohttp import web

from loadbalancer.drill.servers.specification import (
    ProcessSpecification,
    read_specification,
    receive_commands,
    send_message,
)

Entry = dict[str, Any]
MAX_WAIT_MS = 60_000.0
FAULTY_STATES = ("stale", "empty", "halved", "garbled", "frozen", "failing")
FAULTY_RESPONSE_DELAY_S = 0.2  # prevents a storm of watches, which a faulty server answers at once
SHUTDOWN_TIMEOUT_S = 0.1
GARBLED = b'{"index": 7, "snapshot"'


class EndpointListSpecification(
    ProcessSpecification, kw_only=True, frozen=True,
    rename={"balancer_tiers": "askers", "registry": "service"},
):  # fmt: skip
    """The specification of the endpoint list: the balancers that may poll it, and what is listed for them."""

    balancer_tiers: dict[str, str]
    """By a balancer's address: the name of its tier."""
    tiers: dict[str, list[Entry]]
    """Entries without addresses."""
    addresses: dict[str, dict[str, str]]
    """By a balancer's address and a server's name: where the balancer reaches the server."""
    registry: str = ""
    """host:port of a real registry, whose responses are forwarded."""


@dataclass(frozen=True, slots=True)
class ListResponse:
    """The content of a response to a balancer; entries are without addresses."""

    index: int
    is_snapshot: bool
    entries: list[Entry]


class EndpointListServer:
    """Serves one list for each tier, with one index for all."""

    def __init__(self, spec: EndpointListSpecification, session: aiohttp.ClientSession) -> None:
        self._spec = spec
        self._session = session
        self.history = spec.open_history()
        self._index = 1
        self._tiers = {tier: {e["name"]: e for e in entries} for tier, entries in spec.tiers.items()}
        self._initial_tiers = {tier: dict(entries) for tier, entries in self._tiers.items()}
        self._changed_at_index = {e["name"]: 1 for entries in spec.tiers.values() for e in entries}
        self._changed = asyncio.Event()
        self._state = "fresh"
        self._last_responses: dict[tuple[str, str], ListResponse] = {}  # full snapshots by address and tier

    def handle_command(self, command: dict[str, Any]) -> None:
        """Change an entry, or set the list's fault."""
        if "state" in command:
            self._state = command["state"]
        else:
            entry = command["entry"]
            self._index += 1
            self._tiers[command["tier"]][entry["name"]] = entry
            self._changed_at_index[entry["name"]] = self._index
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    @property
    def _is_faulty(self) -> bool:
        return self._state in FAULTY_STATES

    async def handle_list_request(self, request: web.Request) -> web.Response:
        """Respond with the full list, or to a watch."""
        peer = request.transport.get_extra_info("peername")[0] if request.transport else ""
        tier = self._spec.balancer_tiers.get(peer)
        if tier is None:
            return web.json_response({"error": f"no balancer has the address {peer}"}, status=404)
        after = int(request.query.get("after", "-1"))
        if self._is_faulty:
            return await self._respond_faulty(request, peer, tier, after)
        if self._spec.registry:
            return await self._forward(request, peer, tier)
        if not 0 < after <= self._index:
            return self._respond(peer, ListResponse(self._index, True, self._live_entries(tier)))
        changes = await self._wait_for_changes(request, tier, after)
        if self._is_faulty:
            return await self._respond_faulty(request, peer, tier, after)
        return self._respond(peer, ListResponse(self._index, False, changes))

    async def _wait_for_changes(self, request: web.Request, tier: str, after: int) -> list[Entry]:
        """Return the entries that changed after an index, as soon as there are some or the wait is over."""
        wait_ms = min(float(request.query.get("wait_ms", "0")), MAX_WAIT_MS)
        changes = self._changes_after(tier, after)
        if changes:
            return changes
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                while not changes and not self._is_faulty:
                    await self._changed.wait()
                    changes = self._changes_after(tier, after)
        except TimeoutError:
            pass
        return changes

    def _changes_after(self, tier: str, after: int) -> list[Entry]:
        return [e for name, e in self._tiers[tier].items() if self._changed_at_index[name] > after]

    def _live_entries(self, tier: str) -> list[Entry]:
        return [e for e in self._tiers[tier].values() if e["status"] != "terminated"]

    # ---- faults ---------------------------------------------------------------------------------

    async def _respond_faulty(self, request: web.Request, peer: str, tier: str, after: int) -> web.Response:
        """Respond as the fault that is set demands."""
        if self._state == "failing":
            self.history.write("turned_away", to=peer)
            return web.Response(status=503)
        await asyncio.sleep(FAULTY_RESPONSE_DELAY_S)
        match self._state:
            case "garbled":
                return web.Response(body=GARBLED, content_type="application/json")
            case "stale":
                entries = list(self._initial_tiers[tier].values())
                return self._respond(peer, ListResponse(1, True, entries))
            case "frozen":
                return await self._respond_frozen(request, peer, tier, after)
            case state:
                return await self._respond_incomplete(peer, tier, is_empty=state == "empty")

    async def _respond_frozen(self, request: web.Request, peer: str, tier: str, after: int) -> web.Response:
        """Respond without changes to a watch, and with the last snapshot to a new caller."""
        last = self._last_responses.get((peer, tier))
        if after >= 0:
            await asyncio.sleep(float(request.query.get("wait_ms", "0")) / 1_000)
            return self._respond(peer, ListResponse(after, False, []))
        return self._respond(peer, last) if last else web.Response(status=503)

    async def _respond_incomplete(self, peer: str, tier: str, *, is_empty: bool) -> web.Response:
        """Respond with a full snapshot that leaves out all servers, or every other one."""
        if self._spec.registry:
            snapshot = await self._request_registry(tier, {})
            if snapshot is None:
                return web.Response(status=503)
            index, entries = snapshot["index"], snapshot["endpoints"]
        else:
            self._index += 1
            index, entries = self._index, self._live_entries(tier)
        half = set(sorted(self._initial_tiers[tier])[::2])
        listed = [] if is_empty else [e for e in entries if e["name"] in half]
        return self._respond(peer, ListResponse(index, True, listed), is_complete=False)

    # ---- a real registry ------------------------------------------------------------------------

    async def _forward(self, request: web.Request, peer: str, tier: str) -> web.Response:
        """Query the real registry, and respond with the addresses that this balancer uses."""
        response = await self._request_registry(tier, dict(request.query))
        if response is None:
            return web.Response(status=503)
        if self._is_faulty:
            return await self._respond_faulty(request, peer, tier, int(request.query.get("after", "-1")))
        addresses = self._spec.addresses[peer]
        entries = [e for e in response["endpoints"] if e["name"] in addresses]
        update = ListResponse(response["index"], response["snapshot"], entries)
        self._remember(peer, tier, update)
        extra = {key: response[key] for key in ("services", "held") if key in response}
        return self._respond(peer, update, extra=extra)

    def _remember(self, peer: str, tier: str, update: ListResponse) -> None:
        """Store the list as the balancer has it now: a frozen server keeps responding with that."""
        last = self._last_responses.get((peer, tier))
        entries = {} if update.is_snapshot or last is None else {e["name"]: e for e in last.entries}
        entries |= {e["name"]: e for e in update.entries}
        live = [e for e in entries.values() if e["status"] != "terminated"]
        self._last_responses[peer, tier] = ListResponse(update.index, True, live)

    async def _request_registry(self, tier: str, query: dict[str, str]) -> Any:
        """Return the body of the real registry's response; None if there is none."""
        query = query | {"tier": tier}
        try:
            url = f"http://{self._spec.registry}/v1/servers"
            async with self._session.get(url, params=query) as response:
                return await response.json() if response.status == 200 else None
        except (aiohttp.ClientError, OSError, ValueError):
            return None

    def _respond(
        self,
        peer: str,
        response: ListResponse,
        *,
        is_complete: bool = True,
        extra: dict[str, Any] | None = None,
    ) -> web.Response:
        """Respond to a balancer and record it; what an incomplete list omits is not recorded as removed."""
        addresses = self._spec.addresses[peer]
        states = {e["name"]: e["status"] for e in response.entries}
        is_full = response.is_snapshot and is_complete
        self.history.write("told", to=peer, index=response.index, snapshot=is_full, entries=states)
        listed = [e | {"address": addresses[e["name"]]} for e in response.entries]
        body = {"index": response.index, "snapshot": response.is_snapshot, "endpoints": listed}
        return web.json_response(body | (extra or {}))


async def main() -> None:
    """Serve until the driver closes standard input."""
    spec = read_specification(EndpointListSpecification)
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        server = EndpointListServer(spec, session)
        app = web.Application()
        app.router.add_get("/v1/servers", server.handle_list_request)
        runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await runner.setup()
        await web.TCPSite(runner, spec.listen, spec.port).start()
        send_message(ready=list(runner.addresses[0][:2]))
        await receive_commands(server.handle_command)
    await runner.cleanup()
    server.history.close()


if __name__ == "__main__":
    asyncio.run(main())
