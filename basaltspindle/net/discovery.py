"""Discovery's list: the watch that keeps it fresh."""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections.abc import Callable
from dataclasses import replace
from typing import cast

from basaltspindle.interface import Readiness
from basaltspindle.net.config import Address, Config, Endpoint, ServerList, read_list
from basaltspindle.net.sources import Look, Sources, Witnesses
from basaltspindle.net.upstreams import UNREADABLE, Answer, ResponseReader

WAIT_MS = 30_000  # of one watch call at the most: each costs discovery work, and news ends it at once
CALL_MS = 50  # of wait for each balancer of the tier: all together call about once in so long
SPREAD = 0.2  # part by which waits differ, so that balancers that started together do not call together
ANSWER_S = 5.0  # a call that is not answered by then has failed; discovery itself gives up sooner
OVERDUE_S = 1.5  # so long past its wait a watch has failed: 2 s past it, all changes count as told
PUSH_PAUSE_S = 0.5  # before the agent on this machine is called again, where lists are pushed
WHOLE_S = 2.0  # the same, where another instance can be asked instead
FAILOVER_MS = 5.0  # for each balancer of the tier: the watches of an instance that dies go on within so long
DOUBT_S = 1.0  # before a list that is not believed is asked for again, or CALL_MS for each balancer
COMPARE_S, COMPARE_MS = 30.0, 100.0  # between looks at another instance, and for each balancer of the tier
LOOK_S = 1.0
LIST_MAX = 4 * 1024 * 1024


class _Link(asyncio.Protocol):
    """One connection to discovery, with one call at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseReader()
        self._answer: asyncio.Future[Answer] | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Read on."""
        try:
            whole = self._reader.feed(data)
            if self._reader.held > LIST_MAX:
                raise ValueError("too long")
        except (*UNREADABLE, ValueError) as error:
            self._fail(ValueError(f"not an answer: {error!r}"))
            self.close()
            return
        if whole:
            self._answered()

    def eof_received(self) -> None:
        """Discovery ends, which may be the end of its answer; the transport closes by itself."""
        if self._reader.end():
            self._answered()

    def _answered(self) -> None:
        self.closed = self.closed or not self._reader.may_reuse
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(self._reader.answer())

    def connection_lost(self, exc: Exception | None) -> None:
        """A call that is out has failed."""
        self.closed = True
        self._fail(exc or ConnectionResetError("the connection ended"))

    def _fail(self, error: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)

    async def call(self, request: bytes) -> Answer:
        """Send a call and wait for its answer."""
        assert self._transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self._reader.next()
        self._transport.write(request)
        return await self._answer

    def close(self) -> None:
        """Close at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


class Discovery:
    """Watches the list from `subscribe` on until a call fails.

    Where the list is a service of one's own (`config.lists`), a failed call goes on to the service's next
    instance, and only when all have failed in turn has the list failed. Versions of instances do not compare:
    whoever changes asks for the whole list.
    """

    def __init__(
        self,
        config: Config,
        on_news: Callable[[ServerList], bool],
        on_failed: Callable[[], None],
        fresh: bool = False,
    ) -> None:
        """`on_news` says whether it believes a list; one that it does not is asked for again, whole.

        `fresh` asks for the whole list first, which is answered at once, whatever is known.
        """
        self._on_news, self._on_failed = on_news, on_failed
        self._asked = config.settings.list_is_asked
        self._own, self._number = config.lists, config.settings.number
        self._index = config.known.index if config.known.endpoints and not fresh else -1
        # A watch can fall silent, and only its overdue answer tells: news is then as late as its wait
        # is long.
        afforded = CALL_MS * config.settings.balancers
        self._wait_ms = min(max(config.drain_grace_ms or WAIT_MS, afforded), WAIT_MS)
        self._spread_s = min(FAILOVER_MS * config.settings.balancers / 1_000, ANSWER_S)
        self._doubt_s = max(DOUBT_S, CALL_MS * config.settings.balancers / 1_000)
        self._compare_s = max(COMPARE_S, COMPARE_MS * config.settings.balancers / 1_000)
        self._random = random.Random(config.seed)
        self._home = config.discovery
        self._sources = self._make_sources(config.discovery)
        self._task: asyncio.Task[None] | None = None
        self._comparing: asyncio.Task[None] | None = None
        self._link: _Link | None = None
        self._content: dict[str, tuple[object, ...]] = {}
        self._heard = self._changed = -math.inf
        self._rewound = self._doubted_watch = self._stood_still = 0
        self.witnesses = Witnesses()

    def _make_sources(self, address: Address) -> Sources:
        others = self._own.others if self._own else ()
        addresses = (address, *(other for other in others if other != address))
        return Sources(addresses, self._number, self._random)

    def start(self) -> None:
        """Where lists are pushed, listen from the start: nobody subscribes there."""
        if not self._asked:
            self.subscribe()

    def subscribe(self) -> None:
        """Begin the watch; a second subscription while one stands changes nothing."""
        loop = asyncio.get_running_loop()
        if self._task is None or self._task.done():
            self._task = loop.create_task(self._watch())
        if self._sources.others and self._comparing is None:
            self._comparing = loop.create_task(self._compare())

    def move(self, address: Address) -> None:
        """Discovery is elsewhere from now on: ask there at once, for the whole list."""
        if address == self._home:
            return
        self._home = address
        self._sources = self._make_sources(address)
        self._start_anew()

    def _start_anew(self) -> None:
        self._index = -1
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.close()
        self._task = self._link = None
        self.subscribe()

    def report(self) -> dict[str, object]:
        """Where the list is from and how old it is, for operators; times in ms, None for never."""
        now, (host, port) = asyncio.get_running_loop().time(), self._sources.address
        return {
            "from": f"{host}:{port}",
            "index": self._index,
            "heard_ms_ago": _ms(now - self._heard),
            "changed_ms_ago": _ms(now - self._changed),
            "moves": self._sources.moves,
            "rewound": self._rewound,
            "stood_still": self._stood_still,
            "contradicted": self.witnesses.against(now),
        }

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                news = await self._call()
            except Exception:
                # Guards against a watch that ends unseen: whatever was wrong with a call, it has failed.
                if self._link is not None:
                    self._link.close()
                if self._own is not None:
                    at, goes_on = self._sources.address, self._sources.failed()
                    if self._sources.address != at or self._doubted_watch:
                        self._index = -1
                    if goes_on:
                        await asyncio.sleep(self._spread_s * self._random.random())
                        continue
                if self._asked:
                    self._task = None
                    self._on_failed()  # when to ask again is the module's to say
                    return
                await asyncio.sleep(PUSH_PAUSE_S)
                continue
            if not self._take(news, loop.time()):
                self._index = -1  # what comes after it would not tell whom it has left out
                self._sources.failed()  # a second opinion, where there is another instance
                self._close_link()
                await asyncio.sleep(self._doubt_s * (0.5 + self._random.random()))
            elif self._own is not None and self._sources.may_go_home(loop.time()):
                self._index = -1
                self._close_link()

    def _take(self, news: ServerList, now: float) -> bool:
        """Pass news on; whether they are believed."""
        if self._sources.answered(news.index, now, self._index >= 0) and self._own is not None:
            self._rewound += 1
            news = replace(news, rewound=True)
        self._index, self._heard, self._doubted_watch = news.index, now, 0
        if self._own is not None:
            self._note(news, now)
        return self._on_news(news)

    def _note(self, news: ServerList, now: float) -> None:
        before = dict(self._content)
        if news.whole:
            self._content.clear()
        for endpoint in news.endpoints:
            name = endpoint.member.server
            self._content[name] = _entry(endpoint)
            if endpoint.member.readiness is Readiness.GONE:
                del self._content[name]
            self.witnesses.forget(name)
        if self._content != before:
            self._changed = now

    async def _call(self) -> ServerList:
        if self._link is None or self._link.closed:
            self._link = None
        query = []
        limit_s = WHOLE_S if self._sources.others else ANSWER_S
        if self._own is not None and self._own.tier:
            query.append(f"tier={self._own.tier}")
        if self._index >= 0:
            wait_s = self._wait_ms / 1000 * (1 - SPREAD * self._random.random())
            limit_s = wait_s + OVERDUE_S
            query.append(f"after={self._index}&wait_ms={wait_s * 1000:.0f}")
        async with asyncio.timeout(limit_s):
            if self._link is None:
                self._link = await _connect(self._sources.address)
            news = await _ask(self._link, self._sources.address, query)
        if news.index < self._index:
            self._doubted_watch = 1
            raise ValueError(f"list {news.index} is older than the one we hold")
        return news

    def _close_link(self) -> None:
        if self._link is not None:
            self._link.close()
        self._link = None

    # ---- a service that answers and never changes ------------------------------------------------

    async def _compare(self) -> None:
        """Look now and then at another instance's list, sooner when servers contradict ours."""
        loop = asyncio.get_running_loop()
        due = loop.time() + self._compare_s * (0.5 + self._random.random())
        while True:
            await asyncio.sleep(LOOK_S * (0.5 + self._random.random()))
            contradicted = bool(self.witnesses.against(loop.time()))
            is_due = loop.time() >= due or contradicted
            if self._index < 0 or not self._sources.others or not is_due:
                continue
            due = loop.time() + self._compare_s * (0.5 + self._random.random())
            other = await self._look(self._sources.any_other())
            ours = Look(self._sources.address, self._index, frozenset(self._content.values()))
            if other is None or other.address == ours.address:
                continue
            if self._sources.stands_still(ours, other, contradicted):
                self._stood_still += 1
                self._start_anew()

    async def _look(self, address: Address) -> Look | None:
        """Another instance's list; None if it does not tell."""
        query = [f"tier={self._own.tier}"] if self._own and self._own.tier else []
        link: _Link | None = None
        try:
            async with asyncio.timeout(WHOLE_S):
                link = await _connect(address)
                news = await _ask(link, address, query)
        except (OSError, ValueError, TimeoutError):
            return None
        finally:
            if link is not None:
                link.close()
        return Look(address, news.index, frozenset(_entry(e) for e in news.endpoints))


async def _connect(address: Address) -> _Link:
    _, link = await asyncio.get_running_loop().create_connection(_Link, *address)
    return link


async def _ask(link: _Link, address: Address, query: list[str]) -> ServerList:
    """One call; ValueError if its answer is no list."""
    path, (host, port) = "/v1/servers" + ("?" + "&".join(query) if query else ""), address
    answer = await link.call(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
    if answer.status != 200:
        raise ValueError(f"discovery answered {answer.status}")
    return read_list(json.loads(answer.body))


def _entry(endpoint: Endpoint) -> tuple[object, ...]:
    member = endpoint.member
    return member.server, member.readiness, member.up_since_ms, endpoint.address


def _ms(span_s: float) -> float | None:
    return round(span_s * 1_000) if math.isfinite(span_s) else None
