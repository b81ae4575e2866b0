"""Attempts and connection pools on loopback sockets: the reported outcomes of races and failures."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from loadbalancer import interface
from loadbalancer.interface import Outcome
from loadbalancer.net.attempt_handler import AttemptHandler
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.message_body import BufferBudget
from loadbalancer.net.turn_queue import TurnQueue
from loadbalancer.net.upstream_attempt import Attempt
from loadbalancer.net.upstream_pool import UpstreamPools
from loadbalancer.net.upstream_response import UpstreamResponse
from tests.loopback import (
    ProxyHarness,
    Upstream,
    config_text,
    endpoint_entry,
    endpoint_list,
    http_response,
    never_answer,
    run_scenario,
    status_of,
)

REQUEST = b"GET /read HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n"


def make_pools(address: str, contract: dict[str, float] | None = None, **limits: Any) -> UpstreamPools:
    base = {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 200.0}
    more: dict[str, Any] = {"contract": contract} if contract else {}
    text = config_text("127.0.0.1:9", [], limits=base | limits, **more)
    loop = asyncio.get_running_loop()
    config = read_config(text, lambda note: None)
    upstreams = UpstreamPools(config, loop, BufferBudget(1_000_000), 500, TurnQueue(loop))
    upstreams.update_endpoints(endpoint_list(endpoint_entry("s0", address)))
    return upstreams


class IgnoredAttempt(AttemptHandler):
    """An attempt whose outcome is ignored."""

    def build_request(self) -> bytes:
        return REQUEST


class RecordedAttempt(AttemptHandler):
    """An attempt and the outcomes that were reported for it."""

    def __init__(
        self,
        upstreams: UpstreamPools,
        request: bytes = REQUEST,
        timeout_s: float = 5.0,
        write_within_s: float = math.inf,
        connect_within_s: float = math.inf,
    ) -> None:
        self.outcomes: list[Outcome] = []
        self.ended = asyncio.Event()
        self._request = request
        attempt = upstreams.start_attempt("s0", timeout_s, self, write_within_s, connect_within_s)
        assert attempt is not None
        self.attempt: Attempt = attempt

    def build_request(self) -> bytes:
        return self._request

    def on_attempt_ended(self, outcome: Outcome, answer: UpstreamResponse | None) -> None:
        self.outcomes.append(outcome)
        self.ended.set()

    async def outcome(self) -> Outcome:
        await self.ended.wait()
        (outcome,) = self.outcomes
        return outcome


@asynccontextmanager
async def full_backlog() -> AsyncIterator[str]:
    """Yield an address at which connections are never established."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        with socket.socket() as first, socket.socket() as second:
            for filler in (first, second):
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            yield f"127.0.0.1:{listener.getsockname()[1]}"


def test_a_connection_that_is_never_established_is_a_failed_connect() -> None:
    async def scenario() -> None:
        async with full_backlog() as address:
            upstreams = make_pools(address)
            assert await RecordedAttempt(upstreams).outcome() is Outcome.CONNECT_FAILED
            assert upstreams.open_connections == 0

    run_scenario(scenario())


def test_an_attempt_that_times_out_before_anything_was_written_never_ran() -> None:
    async def scenario() -> None:
        async with full_backlog() as address:
            upstreams = make_pools(address, connectTimeout=60_000.0)
            assert await RecordedAttempt(upstreams, timeout_s=0.05).outcome() is Outcome.CONNECT_FAILED

    run_scenario(scenario())


def test_an_attempt_that_breaks_before_its_last_byte_is_sent_never_ran() -> None:
    """The upstream reads the head and resets while the rest is still in our buffer."""

    async def scenario() -> None:
        accepted = asyncio.Event()

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(10)
            accepted.set()
            writer.transport.abort()

        server = await asyncio.start_server(take, "127.0.0.1", 0, limit=1024)
        port = server.sockets[0].getsockname()[1]
        attempt = RecordedAttempt(make_pools(f"127.0.0.1:{port}"), REQUEST + b"x" * 50_000_000)
        await accepted.wait()
        assert await attempt.outcome() is Outcome.CONNECT_FAILED

    run_scenario(scenario())


def test_an_attempt_ends_once_although_its_cancellation_races_its_response() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        upstreams = make_pools(await upstream.start())
        attempt = RecordedAttempt(upstreams)
        await upstream.request_received.wait()
        upstream.writers[0].write(http_response())  # already in the kernel, and not read yet
        attempt.attempt.cancel()
        attempt.attempt.cancel()
        await upstream.connection_ended.wait()
        assert attempt.outcomes == [Outcome.CANCELLED]
        assert upstreams.open_connections == 0

    run_scenario(scenario())


def test_an_attempt_that_still_connects_is_not_sent_after_the_drain_grace() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        address = await upstream.start()
        upstreams = make_pools(address)
        attempt = RecordedAttempt(upstreams)  # begins to connect
        pool = upstreams._pools["s0"]
        upstreams.update_endpoints(endpoint_list(endpoint_entry("s0", address, status="terminating")))
        assert pool.draining_since_s is not None
        pool.draining_since_s -= 0.5  # the grace has passed while it connected
        assert await attempt.outcome() is Outcome.CONNECT_FAILED
        assert not upstream.requests

    run_scenario(scenario())


def test_idle_connections_close_on_request_when_old_and_when_their_server_changes_or_is_removed() -> None:
    async def scenario() -> None:
        upstream, new_address_upstream = Upstream(), Upstream()
        address = await upstream.start()
        upstreams = make_pools(address)

        async def serve() -> None:
            assert await RecordedAttempt(upstreams).outcome() is Outcome.SERVED
            assert upstreams.open_connections == 1

        await serve()
        upstreams.close_idle("s0")
        assert upstreams.open_connections == 0
        await serve()
        upstreams._pools["s0"].idle_connections[0].idle_since_s -= (
            0.9 * 60
        )  # over our limit, but not yet the upstream's
        await serve()
        assert upstream.connection_count == 3
        upstreams._pools["s0"].idle_connections[0].idle_since_s -= 0.9 * 60
        upstreams.close_expired()
        assert upstreams.open_connections == 0
        await serve()
        upstreams.update_endpoints(endpoint_list(endpoint_entry("s0", await new_address_upstream.start())))
        assert upstreams.open_connections == 0
        await serve()
        assert len(new_address_upstream.requests) == 1
        upstreams.update_endpoints(endpoint_list(is_full_snapshot=True))
        assert upstreams.open_connections == 0
        assert upstreams.start_attempt("s0", 1.0, IgnoredAttempt()) is None

    run_scenario(scenario())


def test_a_second_response_behind_the_first_is_dropped_with_its_connection() -> None:
    """Guards against returning a stray second response to the next request on the connection."""

    async def scenario() -> None:
        upstream = Upstream(http_response() + http_response(200, b"other"), http_response())
        async with ProxyHarness(upstream) as harness:
            assert (await harness.request()).body == b"tile"
            assert (await harness.request()).body == b"tile"
            assert upstream.connection_count == 2

    run_scenario(scenario())


def test_at_the_connection_limit_the_longest_idle_closes_or_no_more_is_opened() -> None:
    async def scenario() -> None:
        upstream, other = Upstream(http_response(), never_answer), Upstream(never_answer)
        upstreams = make_pools(await upstream.start())
        upstreams.update_endpoints(endpoint_list(endpoint_entry("s1", await other.start())))
        upstreams.max_connections = 1
        assert await RecordedAttempt(upstreams).outcome() is Outcome.SERVED
        attempt = upstreams.start_attempt("s1", 5.0, IgnoredAttempt())
        assert attempt is not None
        await other.request_received.wait()
        assert upstreams.open_connections == 1
        assert await RecordedAttempt(upstreams).outcome() is Outcome.CONNECT_FAILED
        attempt.cancel()

    run_scenario(scenario())


def test_the_cached_list_is_the_first_event_and_an_attempt_after_the_response_is_not_sent() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            proxy, events = harness.proxy, list[interface.Event]()

            def answer_then_send(event: interface.Event, now: float) -> list[interface.Action]:
                events.append(event)
                if isinstance(event, interface.RequestArrived):
                    return [
                        interface.Reject(event.request_id, 250.0),
                        interface.SendAttempt(event.request_id, "s0", 100.0),
                    ]
                return []

            proxy.balancer.handle = answer_then_send  # type: ignore[method-assign]
            answer = await harness.request()
            assert (status_of(answer), answer.headers["retry-after"]) == (503, "0.250")
            assert events[1:] == [interface.AttemptEnded(1, 0, "s0", Outcome.NOT_SENT, True)]
            assert not upstream.requests and not proxy.requests.by_id

    run_scenario(scenario())


def test_the_cached_list_is_applied_before_the_first_iteration_of_the_event_loop() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            assert harness.proxy.balancer._endpoints.ready  # before the first iteration of the event loop
            assert harness.discovery.request_lines.empty()

    run_scenario(scenario())
