"""Discovery's list: the watch that keeps it fresh."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from dataclasses import replace
from typing import cast

from loadbalancer.endpoint_watch import (
    ContradictionDetector,
    ListRequest,
    ListVersion,
    RateLimitedError,
    Watch,
)
from loadbalancer.endpoint_watch.watch import FULL_SNAPSHOT
from loadbalancer.interface import EndpointListUpdate, Readiness, UpdateKind
from loadbalancer.net.address import Address
from loadbalancer.net.config import AddressedEndpoint, Config, EndpointList, RegistryConfig
from loadbalancer.net.endpoint_list_codec import decode_endpoint_list
from loadbalancer.net.interest_subscription import Held, Wants
from loadbalancer.net.upstream_response import RESPONSE_ERRORS, ResponseReader, UpstreamResponse

PUSH_PAUSE_S = 0.5  # before the agent on this machine is called again, where lists are pushed
WHOLE_S = 2.0  # for a look at another instance
LOOK_S = 1.0  # between looks whether another instance is to be looked at
LATE_S = 2.0  # after the end of its time, a call's answer is still taken: what is written counts as told
CONNECT_S = 1.0  # for a connection to come up: the wait of a call is for its answer
LIST_MAX = 4 * 1024 * 1024


class SilentError(Exception):
    """A call that was taken has had no answer in its time, nor an end."""


class TurnedAwayError(ValueError):
    """The service has answered that it does not tell."""


class _Link(asyncio.Protocol):
    """One connection to discovery, with one call at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseReader()
        self._answer: asyncio.Future[UpstreamResponse] | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Read on."""
        try:
            whole = self._reader.feed(data)
            if self._reader.buffered_bytes > LIST_MAX:
                raise ValueError("too long")
        except (*RESPONSE_ERRORS, ValueError) as error:
            self._fail(ValueError(f"not an answer: {error!r}"))
            self.close()
            return
        if whole:
            self._answered()

    def eof_received(self) -> None:
        """Discovery ends, which may be the end of its answer; the transport closes by itself."""
        if self._reader.feed_eof():
            self._answered()

    def _answered(self) -> None:
        self.closed = self.closed or not self._reader.is_reusable
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(self._reader.response())

    def connection_lost(self, exc: Exception | None) -> None:
        """A call that is out has failed."""
        self.closed = True
        self._fail(exc or ConnectionResetError("the connection ended"))

    def _fail(self, error: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)

    async def call(self, request: bytes) -> UpstreamResponse:
        """Send a call and wait for its answer."""
        assert self._transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self._reader.reset()
        self._transport.write(request)
        return await self._answer

    async def late(self) -> UpstreamResponse:
        """Wait on for the answer to a call that was given up."""
        self._answer = asyncio.get_running_loop().create_future()
        return await self._answer

    def close(self) -> None:
        """Close at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


class _Late:
    """The last call that was given up: links may be slow, and its answer may be the next one to come."""

    def __init__(self, take: Callable[[ListRequest, UpstreamResponse], None]) -> None:
        """`take` may raise ValueError for an answer that can't be read."""
        self._take = take
        self._link: _Link | None = None
        self._task: asyncio.Task[None] | None = None

    def listen(self, link: _Link, ask: ListRequest) -> None:
        """Wait for this one's answer, and for no earlier one's."""
        self.drop()
        self._link, self._task = link, asyncio.get_running_loop().create_task(self._hear(link, ask))

    def drop(self) -> None:
        """Take none any more."""
        if self._task is not None and self._link is not None:
            self._task.cancel()
            self._link.close()
        self._link = self._task = None

    async def _hear(self, link: _Link, ask: ListRequest) -> None:
        try:
            async with asyncio.timeout(LATE_S):
                self._take(ask, await link.late())
        except (OSError, ValueError, TimeoutError, RecursionError):
            pass  # it has failed already
        finally:
            link.close()


class Discovery:
    """Watches the list from `subscribe` on until a call fails: the host of `loadbalancer.endpoint_watch`."""

    def __init__(
        self,
        config: Config,
        on_news: Callable[[EndpointList], bool],
        on_failed: Callable[[], None],
        fresh: bool = False,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        """`on_news` says whether it believes a list; one that it does not is asked for again, whole.

        `fresh` asks for the whole list first, which is answered at once, whatever is known. `log` takes a
        line where a service can't tell what it is asked for.
        """
        self._on_news, self._on_failed = on_news, on_failed
        self._asked = config.settings.polls_endpoint_list
        self._own, self._home = config.registry, config.discovery
        self._wants = Wants(config, fresh, log)
        is_known = config.initial_list.endpoints and not fresh and not self._wants.by_interest
        self._watch = Watch(
            _addresses(config.discovery, self._own),
            number=config.settings.balancer_index,
            balancers=config.settings.balancer_count,
            grace_ms=config.drain_grace_ms,
            own=self._own is not None,
            seed=config.seed,
            index=config.initial_list.index if is_known else FULL_SNAPSHOT,
        )
        self._task: asyncio.Task[None] | None = None
        self._comparing: asyncio.Task[None] | None = None
        self._link: _Link | None = None
        self._linked_to: Address | None = None
        self._late = _Late(self._late_answer)
        self._reopened = False  # and no answer since
        self._content: dict[str, tuple[object, ...]] = {}
        self._heard = self._changed = -math.inf
        self.witnesses = ContradictionDetector()

    def start(self) -> None:
        """Where lists are pushed, listen from the start: nobody subscribes there."""
        if not self._asked:
            self.subscribe()

    def subscribe(self) -> None:
        """Begin the watch; a second subscription while one stands changes nothing."""
        loop = asyncio.get_running_loop()
        if self._task is None or self._task.done():
            self._task = loop.create_task(self._follow())
        if self._own is not None and self._comparing is None:
            self._comparing = loop.create_task(self._compare())

    def move(self, address: Address, lists: RegistryConfig | None = None) -> None:
        """Discovery is elsewhere from now on, or something else is wanted of it: ask at once.

        A call that waits is abandoned. What is held is told with what is wanted now, and the answer says
        outright what has left it; elsewhere, and of a service that knows no interests, it is the whole list.
        """
        has_moved = address != self._home
        if not self._wants.move(lists) and not has_moved:
            return
        self._home = address
        if has_moved or not self._wants.is_known:
            self._watch.move(_addresses(address, self._own))
        self._start_anew()

    def _start_anew(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._close_link()
        self._late.drop()
        self._task = None
        self.subscribe()

    def failure(self) -> EndpointListUpdate:
        """A failed call, as the module has to know it: the next one has to begin in time."""
        return EndpointListUpdate(UpdateKind.FAILED, retry_within_ms=self._watch.again_s * 1_000)

    def report(self) -> dict[str, object]:
        """Where the list is from and how old it is, for operators; times in ms, None for never."""
        now, watch = asyncio.get_running_loop().time(), self._watch
        host, port = watch.sources.address
        return {
            "from": f"{host}:{port}",
            "index": watch.index,
            "heard_ms_ago": _ms(now - self._heard),
            "changed_ms_ago": _ms(now - self._changed),
            "moves": watch.sources.moves,
            "rewound": watch.rewound,
            "stood_still": watch.stood_still,
            "contradicted": self.witnesses.against(now),
        }

    async def _follow(self) -> None:
        loop, watch = asyncio.get_running_loop(), self._watch
        while True:
            began = loop.time()
            ask = watch.ask(began)
            try:
                news = await self._call(ask)
            except RateLimitedError as paced:
                self._wants.paced(paced)
                await asyncio.sleep(paced.after_s)
                continue
            except Exception as error:
                # Guards against a watch that ends unseen: whatever was wrong with a call, it has failed.
                if self._link and isinstance(error, SilentError) and self._wants.may_be_late(ask):
                    self._late.listen(self._link, ask)
                    self._link = None
                self._wants.failed(ask.address, began, error)
                self._close_link()
                pause_s = watch.failed(
                    loop.time() - began,
                    fell_silent=isinstance(error, SilentError),
                    turned_away=isinstance(error, TurnedAwayError | ConnectionResetError),
                )
                if pause_s is None and (pause_s := self._pause(ask, error)) is None:
                    return
                await asyncio.sleep(pause_s)
                continue
            self._reopened = False
            self._late.drop()
            if not self._on_news(news):
                watch.disbelieved(loop.time())
            elif watch.went_home(loop.time()):
                self._close_link()

    def _pause(self, ask: ListRequest, error: Exception) -> float | None:
        """Seconds until a platform's list is asked again after a call has failed; None if others say when.

        A watch that breaks is opened anew at once, for what it misses counts as told; but not twice with no
        answer between. Where lists are asked that is so only for one that fell silent: after a reset all
        balancers would call together, while the waits of watches end one by one.
        """
        is_broken_watch = ask.after >= 0 and (not self._asked or isinstance(error, SilentError))
        at_once, self._reopened = is_broken_watch and not self._reopened, True
        if self._asked:
            if not at_once:
                self._task = None
            self._on_failed()  # when to ask again is the module's to say, unless we do at once
        return 0.0 if at_once else None if self._asked else min(PUSH_PAUSE_S, self._watch.again_s)

    async def _call(self, ask: ListRequest) -> EndpointList:
        loop = asyncio.get_running_loop()
        until = loop.time() + ask.limit_s
        if self._link is None or self._link.closed or self._linked_to != ask.address:
            self._close_link()
            async with asyncio.timeout(min(CONNECT_S, ask.limit_s)):
                self._link = await _connect(ask.address)
            self._linked_to = ask.address
            until = loop.time() + ask.limit_s if ask.waits else until
        try:
            async with asyncio.timeout_at(until):
                news, held = await _ask(self._link, ask, self._wants)
        except TimeoutError:
            raise SilentError from None
        now = asyncio.get_running_loop().time()
        if self._watch.answered(news.index, now):
            news = replace(news, is_rewound=True)
        self._heard = now
        self._wants.heard(held)
        if self._own is not None:
            self._note(news, now)
        return news

    def _late_answer(self, ask: ListRequest, answer: UpstreamResponse) -> None:
        """Take it as it is, and leave the watch where it is: the next answer tells the same, and more."""
        news, _ = _read(answer, self._wants)
        if self._watch.is_news(ask, news.index):
            self._heard = asyncio.get_running_loop().time()
            if self._own is not None:
                self._note(news, self._heard)
            self._on_news(news)

    def _note(self, news: EndpointList, now: float) -> None:
        """What the list holds, to be held against another instance's."""
        before = dict(self._content)
        if news.is_full_snapshot:
            self._content.clear()
        for endpoint in news.endpoints:
            name = endpoint.endpoint.server
            self._content[name] = _entry(endpoint)
            if endpoint.endpoint.readiness is Readiness.DEAD:
                del self._content[name]
            self.witnesses.forget(name)
        if self._content != before:
            self._changed = now

    def _close_link(self) -> None:
        if self._link is not None:
            self._link.close()
        self._link = None

    async def _compare(self) -> None:
        """Look now and then at another instance's list."""
        loop, watch = asyncio.get_running_loop(), self._watch
        while True:
            await asyncio.sleep(LOOK_S)
            contradicted = bool(self.witnesses.against(loop.time()))
            if (address := watch.look_at(loop.time(), contradicted)) is None:
                continue
            other = await _look(address, self._wants)
            ours = ListVersion(watch.sources.address, watch.index, frozenset(self._content.values()))
            if other is not None and watch.looked(ours, other, contradicted):
                self._start_anew()


def _addresses(first: Address, own: RegistryConfig | None) -> tuple[Address, ...]:
    others = own.other_instances if own else ()
    return (first, *(other for other in others if other != first))


async def _connect(address: Address) -> _Link:
    _, link = await asyncio.get_running_loop().create_connection(_Link, *address)
    return link


async def _ask(link: _Link, ask: ListRequest, wants: Wants) -> tuple[EndpointList, Held]:
    """One call: the list, and what is held with it; ValueError if its answer is no list."""
    query = wants.query(asyncio.get_running_loop().time())
    if ask.after >= 0:
        query.append(f"after={ask.after}&wait_ms={ask.wait_ms:.0f}")
    path, (host, port) = "/v1/servers" + ("?" + "&".join(query) if query else ""), ask.address
    answer = await link.call(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
    return _read(answer, wants)


def _read(answer: UpstreamResponse, wants: Wants) -> tuple[EndpointList, Held]:
    """What an answer tells; ValueError if it is no list, Paced if it says when to come again."""
    if answer.status != 200:
        wants.look_for_pace(answer.status, answer.body)
        raise TurnedAwayError(f"discovery answered {answer.status}")
    told = json.loads(answer.body)
    return decode_endpoint_list(told), wants.read(told)


async def _look(address: Address, wants: Wants) -> ListVersion | None:
    """Another instance's list; None if it does not tell."""
    link: _Link | None = None
    try:
        async with asyncio.timeout(WHOLE_S):
            link = await _connect(address)
            news, _ = await _ask(link, ListRequest(address, FULL_SNAPSHOT, 0.0, WHOLE_S), wants)
    except (OSError, ValueError, TimeoutError, RateLimitedError):
        return None
    finally:
        if link is not None:
            link.close()
    return ListVersion(address, news.index, frozenset(_entry(e) for e in news.endpoints))


def _entry(endpoint: AddressedEndpoint) -> tuple[object, ...]:
    member = endpoint.endpoint
    return member.server, member.readiness, member.started_at_ms, endpoint.address


def _ms(span_s: float) -> float | None:
    return round(span_s * 1_000) if math.isfinite(span_s) else None
