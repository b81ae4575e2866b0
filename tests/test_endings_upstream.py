"""Races at the end of an attempt, while its connection is established or its request written."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from loadbalancer import interface
from loadbalancer.interface import OUTCOMES_WITHOUT_EFFECT, Outcome, UpdateKind
from loadbalancer.net.upstream_pool import UpstreamPools
from tests.loopback import (
    PausedConnects,
    ProxyHarness,
    Upstream,
    endpoint_entry,
    endpoint_list,
    http_response,
    never_answer,
    reset_connection,
    run_scenario,
    status_of,
    unreleased_resources,
    wait_at_least,
    wait_until,
)
from tests.test_upstream_attempts import RecordedAttempt, make_pools

LIMITS = {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 5_000.0, "mayDuplicate": True}
DEDUPLICATED_CLASS = {
    "name": "book", "target": 2_000.0, "deadline": 5_000.0, "effect": "dedup", "keyScope": "all",
    "repeatWindow": 300.0, "worth": 1.0,
}  # fmt: skip


# ---- connects -----------------------------------------------------------------------------------

Ending = Callable[[UpstreamPools, str, RecordedAttempt], Any]
ENDINGS: dict[str, tuple[Ending, Outcome]] = {
    "cancelled": (lambda upstreams, address, attempt: attempt.attempt.cancel(), Outcome.CANCELLED),
    "withdrawn": (
        lambda upstreams, address, attempt: attempt.attempt.cancel_if_unwritten(),
        Outcome.NOT_SENT,
    ),
    "timed out": (lambda upstreams, address, attempt: attempt.attempt._on_timeout(), Outcome.CONNECT_FAILED),
    "drained": (
        lambda upstreams, address, attempt: upstreams.update_endpoints(
            endpoint_list(endpoint_entry("s0", address, status="terminating"))
        ),
        Outcome.CONNECT_FAILED,
    ),
    "removed": (
        lambda upstreams, address, attempt: upstreams.update_endpoints(endpoint_list(is_full_snapshot=True)),
        Outcome.CONNECT_FAILED,
    ),
    "restarted": (
        lambda upstreams, address, attempt: upstreams.update_endpoints(
            endpoint_list(endpoint_entry("s0", address, since_ms=9))
        ),
        Outcome.CONNECT_FAILED,
    ),
    "cordoned": (lambda upstreams, address, attempt: upstreams.cordon("s0"), Outcome.CONNECT_FAILED),
}


@pytest.mark.parametrize("order", ["before it is up", "right when it is up"])
@pytest.mark.parametrize("ending", ENDINGS)
def test_a_connection_established_as_its_attempt_ends_is_closed_and_sends_nothing(
    ending: str, order: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request sent to the new process of a restarted server, and a late connection count."""
    end, wanted = ENDINGS[ending]

    async def scenario() -> None:
        connects, upstream = PausedConnects(monkeypatch), Upstream()
        address = await upstream.start()
        grace_ms = 0.0 if ending == "drained" else 60_000.0
        upstreams = make_pools(address, connectTimeout=60_000.0, contract={"drainGrace": grace_ms})
        attempt = RecordedAttempt(upstreams)
        assert upstreams.open_connections == 1, "it counts from the start of the connect on"
        await connects.started.wait()
        if order == "before it is up":
            end(upstreams, address, attempt)
        else:
            connects.on_connected = lambda: end(upstreams, address, attempt)
        connects.release()
        assert await attempt.outcome() is wanted
        assert wanted in OUTCOMES_WITHOUT_EFFECT or wanted is Outcome.CANCELLED
        if upstream.connection_count:
            await upstream.connection_ended.wait()
        assert not upstream.requests
        assert upstreams.open_connections == 0

    run_scenario(scenario())


def test_many_connects_at_once_keep_to_the_limit_on_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against counting connections only in a later loop iteration: a burst exceeded the limit."""

    async def scenario() -> None:
        connects = PausedConnects(monkeypatch)
        upstreams = make_pools(await Upstream().start())
        upstreams.max_connections = 3
        attempts = [RecordedAttempt(upstreams) for _ in range(10)]
        assert upstreams.open_connections == 3
        await wait_until(lambda: sum(item.ended.is_set() for item in attempts) == 7)
        assert connects.count == 3
        connects.release()
        for attempt in attempts:
            await attempt.outcome()

    run_scenario(scenario())


def test_a_connect_and_its_timeout_in_one_loop_iteration_end_the_attempt_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        connects, upstream = PausedConnects(monkeypatch), Upstream()
        upstreams = make_pools(await upstream.start(), connectTimeout=1.0)
        attempt = RecordedAttempt(upstreams)
        connects.on_connected = lambda: attempt.attempt._on_timeout()
        connects.release()
        assert await attempt.outcome() is Outcome.CONNECT_FAILED
        await wait_until(lambda: upstreams.open_connections == 0)
        assert not upstream.requests

    run_scenario(scenario())


# ---- clients that disconnect --------------------------------------------------------------------


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
def test_a_client_that_disconnects_during_the_connect_has_nothing_forwarded(
    may_cancel: bool, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without permission to cancel, the connect went on and the request was sent once it was established."""

    async def scenario() -> None:
        connects, upstream = PausedConnects(monkeypatch), Upstream()
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": may_cancel}) as harness:
            for _ in range(20):
                client = await harness.connect()
                client.send_request(path, b"debit")
                await connects.started.wait()
                client.writer.close()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            assert not unreleased_resources(harness.proxy)
            connects.release()
            assert status_of(await harness.request()) == 200
            assert [asked.start_line for asked in upstream.requests] == ["GET /read/x?y=1 HTTP/1.1"]

    run_scenario(scenario())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_client_that_disconnects_after_half_a_body_frees_the_upstream_at_once(may_cancel: bool) -> None:
    """Without permission to cancel, the attempt stayed open until its stall timeout of 20 s."""

    async def scenario() -> None:
        arrived, ended = asyncio.Event(), asyncio.Event()

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(50_000)
            arrived.set()
            with pytest.raises(asyncio.IncompleteReadError):
                await reader.readexactly(200_000)
            ended.set()
            writer.close()

        server = await asyncio.start_server(take, "127.0.0.1", 0)
        async with ProxyHarness(Upstream(), limits=LIMITS | {"mayCancel": may_cancel}) as harness:
            port = server.sockets[0].getsockname()[1]
            harness.proxy.endpoint_list.apply(
                UpdateKind.FULL_SNAPSHOT,
                endpoint_list(endpoint_entry("s0", f"127.0.0.1:{port}"), is_full_snapshot=True),
            )
            client = await harness.connect()
            client.send_request("/pay/x", b"x" * 200_000)
            await arrived.wait()
            client.send_request("/pay/x", b"")  # bytes after it that are never read
            partial = await harness.connect()
            partial.writer.write(
                b"POST /pay/x HTTP/1.1\r\nX-Class: pay\r\nX-Request-Id: 2\r\nX-Deadline: 900m\r\n"
                b"Content-Length: 200000\r\n\r\n" + b"x" * 100_000
            )
            client.writer.close()
            partial.writer.transport.abort()
            await ended.wait()
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


def test_the_hedge_of_an_answered_request_is_not_written_once_its_connection_is_established(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without permission to cancel, a second attempt was sent after the final response."""

    async def scenario() -> None:
        first, second = Upstream(), Upstream()
        async with ProxyHarness(first, second, limits=LIMITS | {"mayCancel": False}) as harness:
            events = list[interface.Event]()

            def send_both(event: interface.Event, now: float) -> list[interface.Action]:
                events.append(event)
                if not isinstance(event, interface.RequestArrived):
                    return []
                return [interface.SendAttempt(event.request_id, name, 1_000.0) for name in ("s0", "s1")]

            harness.proxy.balancer.handle = send_both  # type: ignore[method-assign]
            connects = PausedConnects(monkeypatch, "s1")
            assert status_of(await harness.request()) == 200
            await wait_until(lambda: not harness.proxy.requests.by_id)
            connects.release()
            ends = [
                (e.attempt_index, e.outcome, e.is_final)
                for e in events
                if isinstance(e, interface.AttemptEnded)
            ]
            assert ends == [(0, Outcome.SERVED, True), (1, Outcome.NOT_SENT, True)]
            assert not second.requests and not second.connection_count

    run_scenario(scenario())


# ---- late retries -------------------------------------------------------------------------------


def test_a_retry_whose_connection_is_established_after_its_window_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A retry within its window when decided was sent after the servers had forgotten the first attempt."""

    async def scenario() -> None:
        upstreams = Upstream(reset_connection), Upstream(reset_connection)
        classes = [DEDUPLICATED_CLASS | {"repeatWindow": 150.0}]
        async with ProxyHarness(*upstreams, classes=classes, limits=LIMITS) as harness:
            client = await harness.connect()
            client.send_request("/book/x", b"seat")
            await wait_until(lambda: any(u.requests for u in upstreams))
            connects = PausedConnects(monkeypatch)
            await connects.started.wait()  # the retry
            await wait_at_least(0.2)
            connects.release()
            assert status_of(await client.read_response()) == 502
            assert not unreleased_resources(harness.proxy)
            assert sum(len(u.requests) for u in upstreams) == 1

    run_scenario(scenario())


def test_the_last_byte_of_a_retry_is_sent_within_its_window_or_never() -> None:
    """The upstream reads nothing: most of the request is still in our buffer when the window ends."""

    async def scenario() -> None:
        ended, accepted = asyncio.Event(), asyncio.Event()

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            accepted.set()
            await ended.wait()
            writer.close()

        server = await asyncio.start_server(take, "127.0.0.1", 0, limit=1024)
        upstreams = make_pools(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        attempt = RecordedAttempt(upstreams, b"x" * 50_000_000, timeout_s=60.0, write_within_s=0.05)
        await accepted.wait()
        assert await attempt.outcome() is Outcome.CONNECT_FAILED, "it can't have run"
        assert upstreams.open_connections == 0
        ended.set()

    run_scenario(scenario())


def test_a_retry_that_was_written_in_time_is_waited_for() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        upstreams = make_pools(await upstream.start())
        attempt = RecordedAttempt(upstreams, timeout_s=60.0, write_within_s=0.02)
        await upstream.request_received.wait()
        await wait_at_least(0.03)  # until the timer of the limit has fired
        assert not attempt.outcomes
        upstream.writers[0].write(http_response())
        assert await attempt.outcome() is Outcome.SERVED

    run_scenario(scenario())
