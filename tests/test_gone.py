"""Nothing begins for a caller that has gone, though the loop has not seen its end.

An attempt that begins over 0.1 s after its caller's close is a break. Here the end stays unseen for as long
as the test likes: reading is paused, and the looks that pass the time meanwhile are put off.
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

ALLOWED_S = 0.1  # after the close, for what is on its way
LOOKS_EVERY_S = downstream_flow.DISCONNECT_POLL_INTERVAL_S
LIMITS = {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 5_000.0, "mayDuplicate": True}
HEAD = b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 4000m\r\n\r\n"
may_cancel = pytest.mark.parametrize("cancel", [True, False])
leaving = pytest.mark.parametrize("how", ["closes", "ends its sending", "resets"])


class Unseen:
    """A caller whose end the loop does not see: it has sent more than is read."""

    def __init__(self, caller: HttpClient, connection: DownstreamConnection) -> None:
        self._caller, self._connection = caller, connection

    async def leave(self, how: str = "closes") -> None:
        """Go; over once the kernel knows, and what is on its way has had its time."""
        writer, transport = self._caller.writer, self._connection._transport
        if how == "ends its sending":
            writer.write_eof()
        elif how == "resets":
            writer.transport.abort()
        else:
            writer.close()
        assert transport is not None
        await wait_until(lambda: has_peer_closed(transport))
        await wait_at_least(ALLOWED_S)


async def ask_unseen(rig: ProxyHarness) -> Unseen:
    """Send a request, and so many behind it that reading is paused."""
    known = set(rig.proxy.downstream._connections)
    caller = await rig.connect()
    caller.writer.write(HEAD * 40)
    await wait_until(
        lambda: any(c.reader.control.is_paused for c in rig.proxy.downstream._connections - known)
    )
    (connection,) = rig.proxy.downstream._connections - known
    return Unseen(caller, connection)


@pytest.fixture(autouse=True)
def _nobody_looks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream_flow, "DISCONNECT_POLL_INTERVAL_S", 3_600.0)


async def all_let_go(rig: ProxyHarness) -> None:
    """Wait until nothing is kept for who has gone."""
    await wait_until(lambda: rig.proxy.downstream.connection_count() == 0)
    await wait_until(lambda: not unreleased_resources(rig.proxy))


# ---- each way in which an attempt begins --------------------------------------------------------


@leaving
@may_cancel
def test_a_dial_that_comes_up_late_begins_nothing_for_a_caller_that_has_gone(
    cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        dials, upstream = PausedConnects(monkeypatch), Upstream()
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": cancel}) as rig:
            caller = await ask_unseen(rig)
            await dials.started.wait()
            await caller.leave(how)
            await wait_at_least(0.4)
            dials.release()
            await all_let_go(rig)
            assert not upstream.requests
            assert status_of(await rig.request()) == 200
            assert len(upstream.requests) == 1

    run_scenario(scenario())


@may_cancel
def test_a_failed_attempt_is_not_repeated_for_a_caller_that_has_gone(cancel: bool) -> None:
    async def scenario() -> None:
        upstreams = Upstream(never_answer), Upstream(never_answer)
        async with ProxyHarness(*upstreams, limits=LIMITS | {"mayCancel": cancel}) as rig:
            caller = await ask_unseen(rig)
            await wait_until(lambda: any(u.requests for u in upstreams))
            await caller.leave()
            for upstream in upstreams:
                for writer in upstream.writers:
                    writer.transport.abort()
            await all_let_go(rig)
            assert sum(len(u.requests) for u in upstreams) == 1

    run_scenario(scenario())


@may_cancel
def test_no_copy_is_sent_for_a_caller_that_has_gone(cancel: bool) -> None:
    """The first server is silent, and the copy's time comes when nobody waits any more."""

    async def scenario() -> None:
        first, second = Upstream(never_answer), Upstream(never_answer)
        async with ProxyHarness(first, second, limits=LIMITS | {"mayCancel": cancel}) as rig:
            handle, due = rig.proxy.balancer.handle, list[str]()

            def copying(event: interface.Event, now: float) -> list[interface.Action]:
                if isinstance(event, interface.TimerExpired) and event.token == "copy":
                    due.append("now")
                    return [interface.SendAttempt(1, "s1", 1_000.0)]
                if getattr(event, "request_id", None) != 1:
                    return handle(event, now)
                return (
                    [interface.SendAttempt(1, "s0", 1_000.0)]
                    if isinstance(event, interface.RequestArrived)
                    else []
                )

            rig.proxy.balancer.handle = copying  # type: ignore[method-assign]
            caller = await ask_unseen(rig)
            await first.request_received.wait()
            await caller.leave()
            rig.proxy._decisions.dispatch(interface.TimerExpired("copy"))
            assert due and not any(r.is_open for r in rig.proxy.requests.by_id.values())
            first.writers[0].transport.abort()
            await wait_until(lambda: not rig.proxy.requests.by_id)
            assert (len(first.requests), len(second.requests), second.connection_count) == (1, 0, 0)

    run_scenario(scenario())


@may_cancel
def test_a_request_that_waits_for_room_is_not_sent_when_there_is_some_and_its_caller_has_gone(
    cancel: bool,
) -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": cancel}) as rig:
            rig.proxy.endpoint_list.apply(
                UpdateKind.FULL_SNAPSHOT,
                endpoint_list(rig.entries[0] | {"weight": 1.0}, is_full_snapshot=True),
            )
            others = list[HttpClient]()
            while not rig.proxy.balancer._requests.wait_queue:
                others.append(await rig.connect())
                others[-1].send_request()
                await wait_until(lambda: len(rig.proxy.requests.by_id) == len(others))
            others.pop().writer.close()
            await wait_until(lambda: not rig.proxy.balancer._requests.wait_queue)
            await wait_until(lambda: len(upstream.requests) == len(others))
            caller = await ask_unseen(rig)
            assert len(rig.proxy.balancer._requests.wait_queue) == 1
            await caller.leave()
            for writer in upstream.writers:
                writer.write(http_response())
            for other in others:
                assert status_of(await other.read_response()) == 200
                other.writer.close()
            await all_let_go(rig)
            assert len(upstream.requests) == len(others)

    run_scenario(scenario())


@may_cancel
def test_a_loop_that_was_busy_begins_nothing_for_a_caller_that_went_meanwhile(cancel: bool) -> None:
    """Its end is in the kernel by then; the loop would read it next, and the attempt comes first."""

    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": cancel}) as rig:
            handle = rig.proxy.balancer.handle
            rig.proxy.balancer.handle = lambda event, now: (  # type: ignore[method-assign]
                [interface.SendAttempt(1, "s0", 1_000.0)] if isinstance(event, interface.TimerExpired) else []
            )
            with socket.create_connection(rig.proxy.downstream.address) as caller:
                caller.sendall(HEAD)
                await wait_until(lambda: bool(rig.proxy.requests.by_id))
            time.sleep(0.3)  # the loop is busy: this is the scenario, and waits for nothing
            rig.proxy._decisions.dispatch(interface.TimerExpired("copy"))
            assert not rig.proxy.requests.by_id
            rig.proxy.balancer.handle = handle  # type: ignore[method-assign]
            await all_let_go(rig)
            assert not upstream.connection_count

    run_scenario(scenario())


def test_a_first_attempt_begins_for_nobody_when_request_and_end_are_read_late() -> None:
    """The request and the end behind it came while the loop was busy: both are there when it is read."""

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            assert status_of(await rig.request()) == 200  # its connection idles: no dial delays the next
            await wait_until(lambda: rig.proxy.downstream.connection_count() == 0)
            await wait_at_least(0.01)
            with socket.create_connection(rig.proxy.downstream.address) as caller:
                await wait_until(lambda: rig.proxy.downstream.connection_count() == 1)
                caller.sendall(HEAD)
            time.sleep(0.3)
            await all_let_go(rig)
            assert len(upstream.requests) == 1

    run_scenario(scenario())


@may_cancel
def test_the_last_byte_of_a_long_body_does_not_go_on_when_its_caller_has_gone(cancel: bool) -> None:
    """The upstream reads slowly: the rest of the body, and the end behind it, wait in the kernel."""

    async def scenario() -> None:
        size = 12_000_000
        begun, go_on, over, got = asyncio.Event(), asyncio.Event(), asyncio.Event(), list[int]()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            begun.set()
            await go_on.wait()
            read = 0
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(65_536):
                    read += len(data)
                    await asyncio.sleep(0)
            got.append(read)
            over.set()
            writer.close()

        server = await asyncio.start_server(slow, "127.0.0.1", 0, limit=4_096)
        async with ProxyHarness(Upstream(), limits=LIMITS | {"mayCancel": cancel}) as rig:
            port = server.sockets[0].getsockname()[1]
            rig.proxy.endpoint_list.apply(
                UpdateKind.FULL_SNAPSHOT,
                endpoint_list(endpoint_entry("s0", f"127.0.0.1:{port}"), is_full_snapshot=True),
            )
            caller = await rig.connect()
            caller.send_request("/pay/x", b"x" * size, deadline="60000m")
            await begun.wait()
            (connection,) = rig.proxy.downstream._connections
            await wait_until(lambda: connection.reader.control.is_paused)
            caller.writer.close()  # the kernel sends on what we still hold for it
            await wait_at_least(ALLOWED_S)
            go_on.set()
            await over.wait()
            assert got[0] < size
            await all_let_go(rig)

    run_scenario(scenario())


# ---- what must go on ----------------------------------------------------------------------------


def test_between_looks_there_is_well_under_what_is_allowed() -> None:
    """Bytes of a request that are still with us leave by themselves: there only the looks help."""
    assert LOOKS_EVERY_S <= ALLOWED_S / 2


def test_callers_that_stay_are_served_through_every_ask(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bytes that wait unread, and a connection that has long been idle, are no end."""

    async def scenario() -> None:
        dials, upstream = PausedConnects(monkeypatch), Upstream()
        async with ProxyHarness(upstream) as rig:
            caller = await rig.connect()
            caller.writer.write(HEAD * 40)
            await dials.started.wait()
            dials.release()
            for _ in range(40):
                assert status_of(await caller.read_response()) == 200
            assert len(upstream.requests) == 40
            caller.writer.close()
            await all_let_go(rig)

    run_scenario(scenario())


def test_a_caller_that_was_answered_before_its_body_was_whole_may_end_its_sending_behind_it() -> None:
    """Its answer is out, and what still comes is dropped: to let go of it then would reset the answer."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            caller = await rig.connect()
            caller.send_request("/nosuch/x", b"x" * 3_000_000)
            caller.writer.write_eof()
            assert status_of(await caller.read_response()) == 404
            assert await caller.reader.read() == b""
            caller.writer.close()
            await all_let_go(rig)

    run_scenario(scenario())


def test_what_was_written_runs_on_for_a_caller_that_has_gone_where_cancelling_is_forbidden() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": False}) as rig:
            caller = await rig.connect()
            caller.send_request("/pay/x", b"debit")
            await upstream.request_received.wait()
            caller.writer.close()
            await wait_until(lambda: rig.proxy.downstream.connection_count() == 0)
            assert not upstream.connection_ended.is_set()
            upstream.writers[0].write(http_response())
            await all_let_go(rig)
            (pool,) = rig.proxy.upstreams._pools.values()
            assert len(pool.idle_connections) == 1 and isinstance(
                pool.idle_connections[0], UpstreamConnection
            )

    run_scenario(scenario())
