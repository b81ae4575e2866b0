"""No attempt begins for a client that has disconnected, even if the event loop has not noticed.

An attempt that begins over 0.1 s after its client's close is a violation. Here the disconnect goes unnoticed
for as long as a test needs: reading is paused, and the polls for disconnects are put off.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

import pytest

from loadbalancer import interface
from loadbalancer.interface import UpdateKind
from loadbalancer.net import downstream_flow
from loadbalancer.net.downstream_connection import DownstreamConnection
from loadbalancer.net.sockets import has_peer_closed
from loadbalancer.net.upstream_connection import UpstreamConnection
from tests.loopback import (
    HttpClient,
    PausedConnects,
    ProxyHarness,
    Upstream,
    endpoint_entry,
    endpoint_list,
    http_response,
    never_answer,
    run_scenario,
    status_of,
    unreleased_resources,
    wait_at_least,
    wait_until,
)

MAX_LATE_START_S = 0.1  # after the close, for attempts under way
POLL_INTERVAL_S = downstream_flow.DISCONNECT_POLL_INTERVAL_S
LIMITS = {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 5_000.0, "mayDuplicate": True}
HEAD = b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 4000m\r\n\r\n"
may_cancel = pytest.mark.parametrize("cancel", [True, False])
by_each_way_of_disconnecting = pytest.mark.parametrize("how", ["closes", "ends its sending", "resets"])


class PausedReadClient:
    """A client whose disconnect the loop does not see: it has sent more than is read."""

    def __init__(self, client: HttpClient, connection: DownstreamConnection) -> None:
        self._client, self._connection = client, connection

    async def disconnect(self, how: str = "closes") -> None:
        """Disconnect; return once the kernel knows, and attempts under way have had their time."""
        writer, transport = self._client.writer, self._connection._transport
        if how == "ends its sending":
            writer.write_eof()
        elif how == "resets":
            writer.transport.abort()
        else:
            writer.close()
        assert transport is not None
        await wait_until(lambda: has_peer_closed(transport))
        await wait_at_least(MAX_LATE_START_S)


async def send_request_and_pause_reading(harness: ProxyHarness) -> PausedReadClient:
    """Send a request, and so many after it that reading is paused."""
    known = set(harness.proxy.downstream._connections)
    client = await harness.connect()
    client.writer.write(HEAD * 40)
    await wait_until(
        lambda: any(c.reader.control.is_paused for c in harness.proxy.downstream._connections - known)
    )
    (connection,) = harness.proxy.downstream._connections - known
    return PausedReadClient(client, connection)


@pytest.fixture(autouse=True)
def _no_disconnect_polls(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream_flow, "DISCONNECT_POLL_INTERVAL_S", 3_600.0)


async def wait_until_released(harness: ProxyHarness) -> None:
    """Wait until all resources of disconnected clients are released."""
    await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
    await wait_until(lambda: not unreleased_resources(harness.proxy))


# ---- each way in which an attempt begins --------------------------------------------------------


@by_each_way_of_disconnecting
@may_cancel
def test_a_connection_that_comes_up_late_sends_nothing_for_a_disconnected_client(
    cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        connects, upstream = PausedConnects(monkeypatch), Upstream()
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": cancel}) as harness:
            client = await send_request_and_pause_reading(harness)
            await connects.started.wait()
            await client.disconnect(how)
            await wait_at_least(0.4)
            connects.release()
            await wait_until_released(harness)
            assert not upstream.requests
            assert status_of(await harness.request()) == 200
            assert len(upstream.requests) == 1

    run_scenario(scenario())


@may_cancel
def test_a_failed_attempt_is_not_retried_for_a_disconnected_client(cancel: bool) -> None:
    async def scenario() -> None:
        upstreams = Upstream(never_answer), Upstream(never_answer)
        async with ProxyHarness(*upstreams, limits=LIMITS | {"mayCancel": cancel}) as harness:
            client = await send_request_and_pause_reading(harness)
            await wait_until(lambda: any(u.requests for u in upstreams))
            await client.disconnect()
            for upstream in upstreams:
                for writer in upstream.writers:
                    writer.transport.abort()
            await wait_until_released(harness)
            assert sum(len(u.requests) for u in upstreams) == 1

    run_scenario(scenario())


@may_cancel
def test_no_hedged_request_is_sent_for_a_disconnected_client(cancel: bool) -> None:
    """The first server is silent, and the hedged request is due when nobody waits any more."""

    async def scenario() -> None:
        first, second = Upstream(never_answer), Upstream(never_answer)
        async with ProxyHarness(first, second, limits=LIMITS | {"mayCancel": cancel}) as harness:
            handle, due = harness.proxy.balancer.handle, list[str]()

            def hedging(event: interface.Event, now: float) -> list[interface.Action]:
                if isinstance(event, interface.TimerExpired) and event.token == "hedge":
                    due.append("now")
                    return [interface.SendAttempt(1, "s1", 1_000.0)]
                if getattr(event, "request_id", None) != 1:
                    return handle(event, now)
                return (
                    [interface.SendAttempt(1, "s0", 1_000.0)]
                    if isinstance(event, interface.RequestArrived)
                    else []
                )

            harness.proxy.balancer.handle = hedging  # type: ignore[method-assign]
            client = await send_request_and_pause_reading(harness)
            await first.request_received.wait()
            await client.disconnect()
            harness.proxy._decisions.dispatch(interface.TimerExpired("hedge"))
            assert due and not any(r.is_open for r in harness.proxy.requests.by_id.values())
            first.writers[0].transport.abort()
            await wait_until(lambda: not harness.proxy.requests.by_id)
            assert (len(first.requests), len(second.requests), second.connection_count) == (1, 0, 0)

    run_scenario(scenario())


@may_cancel
def test_a_queued_request_is_not_sent_when_there_is_capacity_and_its_client_has_disconnected(
    cancel: bool,
) -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": cancel}) as harness:
            harness.proxy.endpoint_list.apply(
                UpdateKind.FULL_SNAPSHOT,
                endpoint_list(harness.entries[0] | {"weight": 1.0}, is_full_snapshot=True),
            )
            others = list[HttpClient]()
            while not harness.proxy.balancer._requests.wait_queue:
                others.append(await harness.connect())
                others[-1].send_request()
                await wait_until(lambda: len(harness.proxy.requests.by_id) == len(others))
            others.pop().writer.close()
            await wait_until(lambda: not harness.proxy.balancer._requests.wait_queue)
            await wait_until(lambda: len(upstream.requests) == len(others))
            client = await send_request_and_pause_reading(harness)
            assert len(harness.proxy.balancer._requests.wait_queue) == 1
            await client.disconnect()
            for writer in upstream.writers:
                writer.write(http_response())
            for other in others:
                assert status_of(await other.read_response()) == 200
                other.writer.close()
            await wait_until_released(harness)
            assert len(upstream.requests) == len(others)

    run_scenario(scenario())


@may_cancel
def test_a_loop_that_was_busy_sends_nothing_for_a_client_that_disconnected_meanwhile(cancel: bool) -> None:
    """The kernel knows of the disconnect; the loop would read it next, but the attempt comes first."""

    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": cancel}) as harness:
            handle = harness.proxy.balancer.handle
            harness.proxy.balancer.handle = lambda event, now: (  # type: ignore[method-assign]
                [interface.SendAttempt(1, "s0", 1_000.0)] if isinstance(event, interface.TimerExpired) else []
            )
            with socket.create_connection(harness.proxy.downstream.address) as client:
                client.sendall(HEAD)
                await wait_until(lambda: bool(harness.proxy.requests.by_id))
            time.sleep(0.3)  # keeps the loop busy, which is the scenario
            harness.proxy._decisions.dispatch(interface.TimerExpired("hedge"))
            assert not harness.proxy.requests.by_id
            harness.proxy.balancer.handle = handle  # type: ignore[method-assign]
            await wait_until_released(harness)
            assert not upstream.connection_count

    run_scenario(scenario())


def test_a_first_attempt_is_not_sent_when_request_and_disconnect_are_read_late() -> None:
    """Both arrive while the loop is busy, and are there when the socket is read."""

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            assert status_of(await harness.request()) == 200  # leaves an idle connection: no connect delay
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            await wait_at_least(0.01)
            with socket.create_connection(harness.proxy.downstream.address) as client:
                await wait_until(lambda: harness.proxy.downstream.connection_count() == 1)
                client.sendall(HEAD)
            time.sleep(0.3)
            await wait_until_released(harness)
            assert len(upstream.requests) == 1

    run_scenario(scenario())


@may_cancel
def test_the_last_byte_of_a_long_body_is_not_forwarded_for_a_disconnected_client(cancel: bool) -> None:
    """The upstream reads slowly: the rest of the body, and the disconnect after it, wait in the kernel."""

    async def scenario() -> None:
        size = 12_000_000
        begun, may_read, done, received = asyncio.Event(), asyncio.Event(), asyncio.Event(), list[int]()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            begun.set()
            await may_read.wait()
            read = 0
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(65_536):
                    read += len(data)
                    await asyncio.sleep(0)
            received.append(read)
            done.set()
            writer.close()

        server = await asyncio.start_server(slow, "127.0.0.1", 0, limit=4_096)
        async with ProxyHarness(Upstream(), limits=LIMITS | {"mayCancel": cancel}) as harness:
            port = server.sockets[0].getsockname()[1]
            harness.proxy.endpoint_list.apply(
                UpdateKind.FULL_SNAPSHOT,
                endpoint_list(endpoint_entry("s0", f"127.0.0.1:{port}"), is_full_snapshot=True),
            )
            client = await harness.connect()
            client.send_request("/pay/x", b"x" * size, deadline="60000m")
            await begun.wait()
            (connection,) = harness.proxy.downstream._connections
            await wait_until(lambda: connection.reader.control.is_paused)
            client.writer.close()  # data buffered on the client's side is still sent
            await wait_at_least(MAX_LATE_START_S)
            may_read.set()
            await done.wait()
            assert received[0] < size
            await wait_until_released(harness)

    run_scenario(scenario())


# ---- what is not affected -----------------------------------------------------------------------


def test_the_disconnect_poll_interval_is_well_under_what_is_allowed() -> None:
    """Buffered bytes of a request are sent without another check: there only the polls help."""
    assert POLL_INTERVAL_S <= MAX_LATE_START_S / 2


def test_clients_that_stay_are_served_through_every_disconnect_check(monkeypatch: pytest.MonkeyPatch) -> None:
    """Unread bytes, and a connection that has long been idle, must not count as a disconnect."""

    async def scenario() -> None:
        connects, upstream = PausedConnects(monkeypatch), Upstream()
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.writer.write(HEAD * 40)
            await connects.started.wait()
            connects.release()
            for _ in range(40):
                assert status_of(await client.read_response()) == 200
            assert len(upstream.requests) == 40
            client.writer.close()
            await wait_until_released(harness)

    run_scenario(scenario())


def test_a_client_that_was_answered_before_its_body_was_complete_may_end_its_sending_behind_it() -> None:
    """Its response is sent and its body is dropped: aborting the connection then would reset the response."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            client.send_request("/nosuch/x", b"x" * 3_000_000)
            client.writer.write_eof()
            assert status_of(await client.read_response()) == 404
            assert await client.reader.read() == b""
            client.writer.close()
            await wait_until_released(harness)

    run_scenario(scenario())


def test_a_written_attempt_runs_on_for_a_disconnected_client_where_cancelling_is_forbidden() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": False}) as harness:
            client = await harness.connect()
            client.send_request("/pay/x", b"debit")
            await upstream.request_received.wait()
            client.writer.close()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            assert not upstream.connection_ended.is_set()
            upstream.writers[0].write(http_response())
            await wait_until_released(harness)
            (pool,) = harness.proxy.upstreams._pools.values()
            assert len(pool.idle_connections) == 1 and isinstance(
                pool.idle_connections[0], UpstreamConnection
            )

    run_scenario(scenario())
