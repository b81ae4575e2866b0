"""A stand-in for discovery as a process: PROTOCOL's list and watches, and what may be wrong with them.

python -m loadbalancer.drill.servers.endpoint_list SPEC.json
"""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from aiohttp import web

from loadbalancer.drill.servers.specification import Place, follow, read_spec, say

Entry = dict[str, Any]
WAIT_MOST_MS = 60_000.0
ODD = ("stale", "empty", "halved", "garbled", "frozen", "failing")
ODD_PAUSE_S = 0.2  # such a service answers each watch at once: that must not become a storm of its own


class Spec(Place, kw_only=True, frozen=True):
    """What the list is told: who may ask, by address, and what it lists for them."""

    askers: dict[str, str]  # the address of a balancer: the name of its tier
    tiers: dict[str, list[Entry]]  # entries without addresses
    addresses: dict[str, dict[str, str]]  # the address of a balancer: for each server, where it reaches it
    service: str = ""  # host:port of a real list service, whose answers are passed on


class Lists:
    """One list for each tier, one index for all."""

    def __init__(self, spec: Spec) -> None:
        self.spec = spec
        self.history = spec.writer()
        self.index = 1
        self.tiers = {tier: {e["name"]: e for e in entries} for tier, entries in spec.tiers.items()}
        self.changed: dict[str, int] = {e["name"]: 1 for entries in spec.tiers.values() for e in entries}
        self.news = asyncio.Event()
        self.state = "fresh"
        self.session: aiohttp.ClientSession | None = None
        self.last: dict[tuple[str, str], tuple[int, bool, list[Entry]]] = {}
        self._first = {tier: dict(entries) for tier, entries in self.tiers.items()}

    def command(self, line: dict[str, Any]) -> None:
        """Change an entry, or what is wrong with the list."""
        if "state" in line:
            self.state = line["state"]
        else:
            entry = line["entry"]
            self.index += 1
            self.tiers[line["tier"]][entry["name"]] = entry
            self.changed[entry["name"]] = self.index
        waiting, self.news = self.news, asyncio.Event()
        waiting.set()

    async def servers(self, request: web.Request) -> web.Response:
        """The whole list, or a watch."""
        peer = request.transport.get_extra_info("peername")[0] if request.transport else ""
        tier = self.spec.askers.get(peer)
        if tier is None:
            return web.json_response({"error": f"no balancer has the address {peer}"}, status=404)
        after = int(request.query.get("after", "-1"))
        if self.state in ODD:
            return await self._odd(request, peer, tier, after)
        if self.spec.service:
            return await self._pass_on(request, peer, tier)
        if not 0 < after <= self.index:
            live = [e for e in self.tiers[tier].values() if e["status"] != "terminated"]
            return self._answer(peer, self.index, True, live)
        wait_ms = min(float(request.query.get("wait_ms", "0")), WAIT_MOST_MS)
        changes = self._since(tier, after)
        if not changes:
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    while not changes and self.state not in ODD:
                        await self.news.wait()
                        changes = self._since(tier, after)
            except TimeoutError:
                pass
        if self.state in ODD:
            return await self._odd(request, peer, tier, after)
        return self._answer(peer, self.index, False, changes)

    async def _odd(self, request: web.Request, peer: str, tier: str, after: int) -> web.Response:
        """What a service tells that is out of order."""
        if self.state == "failing":
            self.history.write("turned_away", to=peer)
            return web.Response(status=503)
        await asyncio.sleep(ODD_PAUSE_S)
        if self.state == "garbled":
            return web.Response(body=b'{"index": 7, "snapshot"', content_type="application/json")
        if self.state == "stale":
            return self._answer(peer, 1, True, list(self._first[tier].values()))
        if self.state == "frozen":
            last = self.last.get((peer, tier))
            if after >= 0:
                await asyncio.sleep(float(request.query.get("wait_ms", "0")) / 1_000)
                return self._answer(peer, after, False, [])
            return self._answer(peer, *last) if last else web.Response(status=503)
        if self.spec.service:
            whole = await self._ask_service(tier, {})
            if whole is None:
                return web.Response(status=503)
            index, entries = whole["index"], whole["endpoints"]
        else:
            self.index += 1
            index = self.index
            entries = [e for e in self.tiers[tier].values() if e["status"] != "terminated"]
        kept = [] if self.state == "empty" else [e for e in entries if e["name"] in self._half(tier)]
        return self._answer(peer, index, True, kept, is_true=False)

    def _half(self, tier: str) -> set[str]:
        return set(sorted(self._first[tier])[::2])

    async def _pass_on(self, request: web.Request, peer: str, tier: str) -> web.Response:
        """Ask the real service, and give its answer with the addresses that this balancer uses."""
        news = await self._ask_service(tier, dict(request.query))
        if news is None:
            return web.Response(status=503)
        if self.state in ODD:
            return await self._odd(request, peer, tier, int(request.query.get("after", "-1")))
        known = self.spec.addresses[peer]
        entries = [e for e in news["endpoints"] if e["name"] in known]
        self._remember(peer, tier, news["index"], news["snapshot"], entries)
        told = {key: news[key] for key in ("services", "held") if key in news}
        return self._answer(peer, news["index"], news["snapshot"], entries, told=told)

    def _remember(self, peer: str, tier: str, index: int, whole: bool, entries: list[Entry]) -> None:
        """What was told last, as a whole: a frozen service goes on telling that."""
        known = self.last.get((peer, tier))
        before = {} if whole or known is None else {e["name"]: e for e in known[2]}
        now = before | {e["name"]: e for e in entries}
        self.last[peer, tier] = index, True, [e for e in now.values() if e["status"] != "terminated"]

    async def _ask_service(self, tier: str, query: dict[str, str]) -> Any:
        """The real service's answer; None if there is none."""
        assert self.session is not None
        query = query | {"tier": tier}
        try:
            async with self.session.get(f"http://{self.spec.service}/v1/servers", params=query) as answer:
                return await answer.json() if answer.status == 200 else None
        except (aiohttp.ClientError, OSError, ValueError):
            return None

    def _since(self, tier: str, after: int) -> list[Entry]:
        return [e for name, e in self.tiers[tier].items() if self.changed[name] > after]

    def _answer(
        self, peer: str, index: int, snapshot: bool, entries: list[Entry], is_true: bool = True,
        told: dict[str, Any] | None = None,
    ) -> web.Response:  # fmt: skip
        ways = self.spec.addresses[peer]
        listed = [e | {"address": ways[e["name"]]} for e in entries]
        states = {e["name"]: e["status"] for e in entries}
        whole = snapshot and is_true  # what an untrue list leaves out, nobody has said
        self.history.write("told", to=peer, index=index, snapshot=whole, entries=states)
        return web.json_response({"index": index, "snapshot": snapshot, "endpoints": listed} | (told or {}))


async def main() -> None:
    """Serve until the driver closes our input."""
    lists = Lists(spec := read_spec(Spec))
    app = web.Application()
    app.router.add_get("/v1/servers", lists.servers)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, spec.listen, spec.port).start()
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as lists.session:
        say(ready=list(runner.addresses[0][:2]))
        await follow(lists.command)
    await runner.cleanup()
    lists.history.close()


if __name__ == "__main__":
    asyncio.run(main())
