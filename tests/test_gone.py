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
from loadbalancer.net import downstream
from loadbalancer.net.downstream import DownstreamConnection
from loadbalancer.net.http_framing import has_peer_closed
from loadbalancer.net.upstream import UpstreamConnection
from tests.loopback import (
    Caller,
    Dials,
    Rig,
    Upstream,
    at_least,
    entry,
    left_behind,
    response,
    run,
    silent,
    status,
    until,
)
from tests.test_upstreams import told_list

ALLOWED_S = 0.1  # after the close, for what is on its way
LOOKS_EVERY_S = downstream.DISCONNECT_POLL_INTERVAL_S
LIMITS = {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 5_000.0, "mayDuplicate": True}
HEAD = b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 4000m\r\n\r\n"
may_cancel = pytest.mark.parametrize("cancel", [True, False])
leaving = pytest.mark.parametrize("how", ["closes", "ends its sending", "resets"])


class Unseen:
    """A caller whose end the loop does not see: it has sent more than is read."""

    def __init__(self, caller: Caller, connection: DownstreamConnection) -> None:
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
        await until(lambda: has_peer_closed(transport))
        await at_least(ALLOWED_S)


async def ask_unseen(rig: Rig) -> Unseen:
    """Send a request, and so many behind it that reading is paused."""
    known = set(rig.driver.callers._connections)
    caller = await rig.caller()
    caller.writer.write(HEAD * 40)
    await until(lambda: any(c._is_reading_paused for c in rig.driver.callers._connections - known))
    (connection,) = rig.driver.callers._connections - known
    return Unseen(caller, connection)


@pytest.fixture(autouse=True)
def _nobody_looks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "DISCONNECT_POLL_INTERVAL_S", 3_600.0)


async def all_let_go(rig: Rig) -> None:
    """Wait until nothing is kept for who has gone."""
    await until(lambda: rig.driver.callers.connection_count() == 0)
    await until(lambda: not left_behind(rig.driver))


# ---- each way in which an attempt begins --------------------------------------------------------


@leaving
@may_cancel
def test_a_dial_that_comes_up_late_begins_nothing_for_a_caller_that_has_gone(
    cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        dials, upstream = Dials(monkeypatch), Upstream()
        async with Rig(upstream, limits=LIMITS | {"mayCancel": cancel}) as rig:
            caller = await ask_unseen(rig)
            await dials.begun.wait()
            await caller.leave(how)
            await at_least(0.4)
            dials.let_up()
            await all_let_go(rig)
            assert not upstream.asked
            assert status(await rig.ask()) == 200
            assert len(upstream.asked) == 1

    run(scenario())


@may_cancel
def test_a_failed_attempt_is_not_repeated_for_a_caller_that_has_gone(cancel: bool) -> None:
    async def scenario() -> None:
        upstreams = Upstream(silent), Upstream(silent)
        async with Rig(*upstreams, limits=LIMITS | {"mayCancel": cancel}) as rig:
            caller = await ask_unseen(rig)
            await until(lambda: any(u.asked for u in upstreams))
            await caller.leave()
            for upstream in upstreams:
                for writer in upstream.writers:
                    writer.transport.abort()
            await all_let_go(rig)
            assert sum(len(u.asked) for u in upstreams) == 1

    run(scenario())


@may_cancel
def test_no_copy_is_sent_for_a_caller_that_has_gone(cancel: bool) -> None:
    """The first server is silent, and the copy's time comes when nobody waits any more."""

    async def scenario() -> None:
        first, second = Upstream(silent), Upstream(silent)
        async with Rig(first, second, limits=LIMITS | {"mayCancel": cancel}) as rig:
            handle, due = rig.driver.balancer.handle, list[str]()

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

            rig.driver.balancer.handle = copying  # type: ignore[method-assign]
            caller = await ask_unseen(rig)
            await first.seen.wait()
            await caller.leave()
            rig.driver._tell(interface.TimerExpired("copy"))
            assert due and not any(r.open for r in rig.driver._requests.values())
            first.writers[0].transport.abort()
            await until(lambda: not rig.driver._requests)
            assert (len(first.asked), len(second.asked), second.connections) == (1, 0, 0)

    run(scenario())


@may_cancel
def test_a_request_that_waits_for_room_is_not_sent_when_there_is_some_and_its_caller_has_gone(
    cancel: bool,
) -> None:
    async def scenario() -> None:
        upstream = Upstream(silent)
        async with Rig(upstream, limits=LIMITS | {"mayCancel": cancel}) as rig:
            rig.driver._listed(
                UpdateKind.FULL_SNAPSHOT, told_list(rig.entries[0] | {"weight": 1.0}, whole=True)
            )
            others = list[Caller]()
            while not rig.driver.balancer._queue:
                others.append(await rig.caller())
                others[-1].send()
                await until(lambda: len(rig.driver._requests) == len(others))
            others.pop().writer.close()
            await until(lambda: not rig.driver.balancer._queue)
            await until(lambda: len(upstream.asked) == len(others))
            caller = await ask_unseen(rig)
            assert len(rig.driver.balancer._queue) == 1
            await caller.leave()
            for writer in upstream.writers:
                writer.write(response())
            for other in others:
                assert status(await other.answer()) == 200
                other.writer.close()
            await all_let_go(rig)
            assert len(upstream.asked) == len(others)

    run(scenario())


@may_cancel
def test_a_loop_that_was_busy_begins_nothing_for_a_caller_that_went_meanwhile(cancel: bool) -> None:
    """Its end is in the kernel by then; the loop would read it next, and the attempt comes first."""

    async def scenario() -> None:
        upstream = Upstream(silent)
        async with Rig(upstream, limits=LIMITS | {"mayCancel": cancel}) as rig:
            handle = rig.driver.balancer.handle
            rig.driver.balancer.handle = lambda event, now: (  # type: ignore[method-assign]
                [interface.SendAttempt(1, "s0", 1_000.0)] if isinstance(event, interface.TimerExpired) else []
            )
            with socket.create_connection(rig.driver.callers.address) as caller:
                caller.sendall(HEAD)
                await until(lambda: bool(rig.driver._requests))
            time.sleep(0.3)  # the loop is busy: this is the scenario, and waits for nothing
            rig.driver._tell(interface.TimerExpired("copy"))
            assert not rig.driver._requests
            rig.driver.balancer.handle = handle  # type: ignore[method-assign]
            await all_let_go(rig)
            assert not upstream.connections

    run(scenario())


def test_a_first_attempt_begins_for_nobody_when_request_and_end_are_read_late() -> None:
    """The request and the end behind it came while the loop was busy: both are there when it is read."""

    async def scenario() -> None:
        upstream = Upstream()
        async with Rig(upstream) as rig:
            assert status(await rig.ask()) == 200  # its connection idles: no dial delays the next
            await until(lambda: rig.driver.callers.connection_count() == 0)
            await at_least(0.01)
            with socket.create_connection(rig.driver.callers.address) as caller:
                await until(lambda: rig.driver.callers.connection_count() == 1)
                caller.sendall(HEAD)
            time.sleep(0.3)
            await all_let_go(rig)
            assert len(upstream.asked) == 1

    run(scenario())


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
        async with Rig(Upstream(), limits=LIMITS | {"mayCancel": cancel}) as rig:
            port = server.sockets[0].getsockname()[1]
            rig.driver._listed(
                UpdateKind.FULL_SNAPSHOT, told_list(entry("s0", f"127.0.0.1:{port}"), whole=True)
            )
            caller = await rig.caller()
            caller.send("/pay/x", b"x" * size, deadline="60000m")
            await begun.wait()
            (connection,) = rig.driver.callers._connections
            await until(lambda: connection._is_reading_paused)
            caller.writer.close()  # the kernel sends on what we still hold for it
            await at_least(ALLOWED_S)
            go_on.set()
            await over.wait()
            assert got[0] < size
            await all_let_go(rig)

    run(scenario())


# ---- what must go on ----------------------------------------------------------------------------


def test_between_looks_there_is_well_under_what_is_allowed() -> None:
    """Bytes of a request that are still with us leave by themselves: there only the looks help."""
    assert LOOKS_EVERY_S <= ALLOWED_S / 2


def test_callers_that_stay_are_served_through_every_ask(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bytes that wait unread, and a connection that has long been idle, are no end."""

    async def scenario() -> None:
        dials, upstream = Dials(monkeypatch), Upstream()
        async with Rig(upstream) as rig:
            caller = await rig.caller()
            caller.writer.write(HEAD * 40)
            await dials.begun.wait()
            dials.let_up()
            for _ in range(40):
                assert status(await caller.answer()) == 200
            assert len(upstream.asked) == 40
            caller.writer.close()
            await all_let_go(rig)

    run(scenario())


def test_a_caller_that_was_answered_before_its_body_was_whole_may_end_its_sending_behind_it() -> None:
    """Its answer is out, and what still comes is dropped: to let go of it then would reset the answer."""

    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            caller = await rig.caller()
            caller.send("/nosuch/x", b"x" * 3_000_000)
            caller.writer.write_eof()
            assert status(await caller.answer()) == 404
            assert await caller.reader.read() == b""
            caller.writer.close()
            await all_let_go(rig)

    run(scenario())


def test_what_was_written_runs_on_for_a_caller_that_has_gone_where_cancelling_is_forbidden() -> None:
    async def scenario() -> None:
        upstream = Upstream(silent)
        async with Rig(upstream, limits=LIMITS | {"mayCancel": False}) as rig:
            caller = await rig.caller()
            caller.send("/pay/x", b"debit")
            await upstream.seen.wait()
            caller.writer.close()
            await until(lambda: rig.driver.callers.connection_count() == 0)
            assert not upstream.ended.is_set()
            upstream.writers[0].write(response())
            await all_let_go(rig)
            (pool,) = rig.driver.upstreams._pools.values()
            assert len(pool.idle_connections) == 1 and isinstance(
                pool.idle_connections[0], UpstreamConnection
            )

    run(scenario())
