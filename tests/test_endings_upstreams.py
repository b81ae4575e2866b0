"""What is owed in the instant in which an attempt, a dial or a connection to an upstream ends."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from loadbalancer import interface
from loadbalancer.interface import OUTCOMES_WITHOUT_EFFECT, Outcome, UpdateKind
from loadbalancer.net import upstream_pool, upstream_response
from loadbalancer.net.upstream_pool import UpstreamPools
from tests.loopback import (
    HttpMessage,
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
from tests.test_upstreams import IgnoredAttempt, RecordedAttempt, make_pools

LIMITS = {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 5_000.0, "mayDuplicate": True}
KEYED = {
    "name": "book", "target": 2_000.0, "deadline": 5_000.0, "effect": "dedup", "keyScope": "all",
    "repeatWindow": 300.0, "worth": 1.0,
}  # fmt: skip


# ---- dials --------------------------------------------------------------------------------------

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
    "held": (lambda upstreams, address, attempt: upstreams.cordon("s0"), Outcome.CONNECT_FAILED),
}


@pytest.mark.parametrize("order", ["before it is up", "right when it is up"])
@pytest.mark.parametrize("ending", ENDINGS)
def test_a_dial_that_comes_up_as_its_attempt_ends_leaves_no_connection_and_sends_nothing(
    ending: str, order: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A dial for a server that had started anew meanwhile went to the new process; `open` counted late."""
    end, wanted = ENDINGS[ending]

    async def scenario() -> None:
        dials, upstream = PausedConnects(monkeypatch), Upstream()
        address = await upstream.start()
        grace_ms = 0.0 if ending == "drained" else 60_000.0
        upstreams = make_pools(address, connectTimeout=60_000.0, contract={"drainGrace": grace_ms})
        attempt = RecordedAttempt(upstreams)
        assert upstreams.open_connections == 1, "it counts from the dial on"
        await dials.started.wait()
        if order == "before it is up":
            end(upstreams, address, attempt)
        else:
            dials.on_connected = lambda: end(upstreams, address, attempt)
        dials.release()
        assert await attempt.outcome() is wanted
        assert wanted in OUTCOMES_WITHOUT_EFFECT or wanted is Outcome.CANCELLED
        if upstream.connection_count:
            await upstream.connection_ended.wait()
        assert not upstream.requests
        assert upstreams.open_connections == 0

    run_scenario(scenario())


def test_many_dials_at_once_keep_to_the_bound_on_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each was counted when it began to connect, in a later turn of the loop: a burst went over the bound."""

    async def scenario() -> None:
        dials = PausedConnects(monkeypatch)
        upstreams = make_pools(await Upstream().start())
        upstreams.max_connections = 3
        tries = [RecordedAttempt(upstreams) for _ in range(10)]
        assert upstreams.open_connections == 3
        await wait_until(lambda: sum(t.ended.is_set() for t in tries) == 7)
        assert dials.count == 3
        dials.release()
        for attempt in tries:
            await attempt.outcome()

    run_scenario(scenario())


def test_a_time_out_of_the_dial_and_the_dial_in_one_turn_end_the_attempt_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        dials, upstream = PausedConnects(monkeypatch), Upstream()
        upstreams = make_pools(await upstream.start(), connectTimeout=1.0)
        attempt = RecordedAttempt(upstreams)
        dials.on_connected = lambda: attempt.attempt._on_timeout()
        dials.release()
        assert await attempt.outcome() is Outcome.CONNECT_FAILED
        await wait_until(lambda: upstreams.open_connections == 0)
        assert not upstream.requests

    run_scenario(scenario())


# ---- clients that leave -------------------------------------------------------------------------


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
def test_a_client_that_leaves_while_its_connection_is_dialled_is_not_sent_on(
    may_cancel: bool, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where the settings forbid cancelling the dial went on, and the request was sent when it was up."""

    async def scenario() -> None:
        dials, upstream = PausedConnects(monkeypatch), Upstream()
        async with ProxyHarness(upstream, limits=LIMITS | {"mayCancel": may_cancel}) as rig:
            for _ in range(20):
                caller = await rig.connect()
                caller.send_request(path, b"debit")
                await dials.started.wait()
                caller.writer.close()
            await wait_until(lambda: rig.proxy.downstream.connection_count() == 0)
            assert not unreleased_resources(rig.proxy)
            dials.release()
            assert status_of(await rig.request()) == 200
            assert [asked.start_line for asked in upstream.requests] == ["GET /read/x?y=1 HTTP/1.1"]

    run_scenario(scenario())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_client_that_leaves_behind_half_a_body_frees_the_upstream_at_once(may_cancel: bool) -> None:
    """Where the settings forbid cancelling, the attempt stayed out until nothing had moved for 20 s."""

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
        async with ProxyHarness(Upstream(), limits=LIMITS | {"mayCancel": may_cancel}) as rig:
            port = server.sockets[0].getsockname()[1]
            rig.proxy.endpoint_list.apply(
                UpdateKind.FULL_SNAPSHOT,
                endpoint_list(endpoint_entry("s0", f"127.0.0.1:{port}"), is_full_snapshot=True),
            )
            caller = await rig.connect()
            caller.send_request("/pay/x", b"x" * 200_000)
            await arrived.wait()
            caller.send_request("/pay/x", b"")  # bytes behind it that nobody will read
            partial = await rig.connect()
            partial.writer.write(
                b"POST /pay/x HTTP/1.1\r\nX-Class: pay\r\nX-Request-Id: 2\r\nX-Deadline: 900m\r\n"
                b"Content-Length: 200000\r\n\r\n" + b"x" * 100_000
            )
            caller.writer.close()
            partial.writer.transport.abort()
            await ended.wait()
            await wait_until(lambda: not unreleased_resources(rig.proxy))

    run_scenario(scenario())


def test_the_copy_of_an_answered_request_is_not_written_when_its_dial_comes_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Where the settings forbid cancelling, a second attempt was sent after the final answer had gone out."""

    async def scenario() -> None:
        first, second = Upstream(), Upstream()
        async with ProxyHarness(first, second, limits=LIMITS | {"mayCancel": False}) as rig:
            told = list[interface.Event]()

            def send_both(event: interface.Event, now: float) -> list[interface.Action]:
                told.append(event)
                if not isinstance(event, interface.RequestArrived):
                    return []
                return [interface.SendAttempt(event.request_id, name, 1_000.0) for name in ("s0", "s1")]

            rig.proxy.balancer.handle = send_both  # type: ignore[method-assign]
            dials = PausedConnects(monkeypatch, "s1")
            assert status_of(await rig.request()) == 200
            await wait_until(lambda: not rig.proxy.requests.by_id)
            dials.release()
            ends = [
                (e.attempt_index, e.outcome, e.is_final)
                for e in told
                if isinstance(e, interface.AttemptEnded)
            ]
            assert ends == [(0, Outcome.SERVED, True), (1, Outcome.NOT_SENT, True)]
            assert not second.requests and not second.connection_count

    run_scenario(scenario())


# ---- repeats that are late ----------------------------------------------------------------------


def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was allowed when it was decided, and was sent when the servers had forgotten the first attempt."""

    async def scenario() -> None:
        upstreams = Upstream(reset_connection), Upstream(reset_connection)
        classes = [KEYED | {"repeatWindow": 150.0}]
        async with ProxyHarness(*upstreams, classes=classes, limits=LIMITS) as rig:
            caller = await rig.connect()
            caller.send_request("/book/x", b"seat")
            await wait_until(lambda: any(u.requests for u in upstreams))
            dials = PausedConnects(monkeypatch)
            await dials.started.wait()  # the repeat
            await wait_at_least(0.2)
            dials.release()
            assert status_of(await caller.read_response()) == 502
            assert not unreleased_resources(rig.proxy)
            assert sum(len(u.requests) for u in upstreams) == 1

    run_scenario(scenario())


def test_the_last_byte_of_a_repeat_leaves_within_its_window_or_never() -> None:
    """The upstream reads nothing: most of the request is still with us when the time is over."""

    async def scenario() -> None:
        ended, begun = asyncio.Event(), asyncio.Event()

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            begun.set()
            await ended.wait()
            writer.close()

        server = await asyncio.start_server(take, "127.0.0.1", 0, limit=1024)
        upstreams = make_pools(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        attempt = RecordedAttempt(upstreams, b"x" * 50_000_000, timeout_s=60.0, within_s=0.05)
        await begun.wait()
        assert await attempt.outcome() is Outcome.CONNECT_FAILED, "it can't have run"
        assert upstreams.open_connections == 0
        ended.set()

    run_scenario(scenario())


def test_a_repeat_that_was_written_in_time_is_waited_for() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        upstreams = make_pools(await upstream.start())
        attempt = RecordedAttempt(upstreams, timeout_s=60.0, within_s=0.02)
        await upstream.request_received.wait()
        await wait_at_least(0.03)  # behind the limit's timer in the loop's order
        assert not attempt.outcomes
        upstream.writers[0].write(http_response())
        assert await attempt.outcome() is Outcome.SERVED

    run_scenario(scenario())


# ---- answers that cross -------------------------------------------------------------------------


def test_an_answer_before_the_last_byte_of_its_request_is_none() -> None:
    """Nobody begins before the last byte has come: it is for what was asked on this connection before."""

    async def scenario() -> None:
        async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(http_response(200, b"another's"))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(early, "127.0.0.1", 0, limit=1024)
        upstreams = make_pools(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        attempt = RecordedAttempt(upstreams, b"x" * 50_000_000)
        assert await attempt.outcome() is Outcome.CONNECT_FAILED
        assert upstreams.open_connections == 0

    run_scenario(scenario())


def test_a_second_answer_that_comes_late_meets_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """It came when its connection had just been taken again, and was passed on as the next one's answer."""
    monkeypatch.setattr(upstream_pool, "REUSE_DELAY_S", 3_600.0)  # however slow the machine is

    async def scenario() -> None:
        async def late(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
            for earlier in upstream.writers[-2:]:  # its own, if there was no rest
                if len(upstream.requests) > 1:
                    earlier.write(http_response(200, b"another's"))
                    break
            writer.write(http_response(200, b"mine"))

        upstream = Upstream(late)
        async with ProxyHarness(upstream) as rig:
            for _ in range(5):
                assert (await rig.request()).body == b"mine"
            assert upstream.connection_count == 5, "none is taken again before it has rested"
            await wait_until(lambda: rig.proxy.upstreams.open_connections == 1)

    run_scenario(scenario())


def test_a_rested_connection_is_taken_again_and_a_resting_one_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        upstreams = make_pools(await upstream.start())
        for _ in range(3):
            await RecordedAttempt(upstreams).outcome()
        pool = upstreams._pools["s0"]
        assert len(pool.idle_connections) == upstream.connection_count == 3
        pool.idle_connections[0].idle_since_s -= 1.0
        pool.idle_connections[1].idle_since_s -= 0.5
        rested = pool.idle_connections[1]
        assert pool.take_idle() is rested
        assert len(pool.idle_connections) == 2
        rested.close()

    run_scenario(scenario())


NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"


@pytest.mark.parametrize("begun", [b"HTTP/1.1 20", b"HTTP/1.1 200 OK\r\nContent-Le"])
def test_half_a_line_and_then_nothing_times_out_and_closes(begun: bytes) -> None:
    async def scenario() -> None:
        async def half(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(begun)

        upstream = Upstream(half)
        async with ProxyHarness(upstream) as rig:
            assert status_of(await rig.request("/pay/x", b"debit", deadline="150m")) == 502
            await upstream.connection_ended.wait()
            assert len(upstream.requests) == 1
            await wait_until(lambda: not unreleased_resources(rig.proxy))

    run_scenario(scenario())


@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
def test_an_answer_with_no_length_that_is_reset_has_no_end(path: str) -> None:
    """A reset is no end: what is safe is asked for again, and nobody is given the part that came."""

    async def scenario() -> None:
        async def cut(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(NO_LENGTH + b"par")
            await writer.drain()
            end_with_reset(writer)

        upstream = Upstream(cut, http_response(200, b"whole"))
        async with ProxyHarness(upstream) as rig:
            answer = await rig.request(path, b"" if path == "/read/x" else b"debit")
            assert (status_of(answer), answer.body) == ((200, b"whole") if path == "/read/x" else (502, b""))
            await wait_until(lambda: not unreleased_resources(rig.proxy))

    run_scenario(scenario())


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_a_caller_can_tell_that_an_answer_with_no_length_broke_off(version: bytes) -> None:
    """To one of HTTP/1.0 a proper end of the connection is the end of the answer: it took a part for all."""

    async def scenario() -> None:
        gone_on = asyncio.Event()

        async def cut(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(NO_LENGTH + b"part")
            await gone_on.wait()
            end_with_reset(writer)

        async with ProxyHarness(Upstream(cut)) as rig:
            caller = await rig.connect()
            caller.writer.write(
                b"GET /read/x HTTP/" + version + b"\r\nX-Class: read\r\nX-Request-Id: 1\r\n"
                b"X-Deadline: 4000m\r\n\r\n"
            )
            assert b"200" in await caller.reader.readuntil(b"\r\n\r\n")
            assert b"part" in await caller.reader.readuntil(b"part")
            gone_on.set()
            if version == b"1.0":
                with pytest.raises(ConnectionResetError):
                    await caller.reader.read()
            else:
                assert not (await caller.reader.read()).endswith(b"0\r\n\r\n")
            await wait_until(lambda: not unreleased_resources(rig.proxy))

    run_scenario(scenario())


def end_with_reset(writer: asyncio.StreamWriter) -> None:
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
def test_an_answer_that_claims_more_than_there_can_be_is_none(path: str) -> None:
    """Its beginning was passed on, so nobody else could be asked, and its caller waited for the rest."""

    async def scenario() -> None:
        async def endless(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100_000)

        upstream = Upstream(endless, http_response(200, b"whole"))
        async with ProxyHarness(upstream) as rig:
            answer = await rig.request(path, b"" if path == "/read/x" else b"debit")
            assert (status_of(answer), answer.body) == ((200, b"whole") if path == "/read/x" else (502, b""))
            await upstream.connection_ended.wait()
            await wait_until(lambda: not unreleased_resources(rig.proxy))

    run_scenario(scenario())


def test_an_answer_that_grows_past_all_bounds_is_broken_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_response, "MAX_BODY_BYTES", 200_000)

    async def scenario() -> None:
        async def endless(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"3e8\r\n" + b"x" * 1_000 + b"\r\n")
                await writer.drain()

        upstream = Upstream(endless)
        async with ProxyHarness(upstream) as rig:
            caller = await rig.connect()
            caller.send_request()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await caller.read_response()
            await upstream.connection_ended.wait()
            await wait_until(lambda: not unreleased_resources(rig.proxy))

    run_scenario(scenario())


def test_an_answer_that_never_ends_ends_with_its_caller() -> None:
    async def scenario() -> None:
        async def endless(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(NO_LENGTH)
            while True:
                writer.write(b"x" * 1_000)
                await writer.drain()
                await asyncio.sleep(0)

        upstream = Upstream(endless)
        async with ProxyHarness(upstream) as rig:
            caller = await rig.connect()
            caller.send_request()
            await caller.reader.readexactly(100_000)
            caller.writer.transport.abort()
            await upstream.connection_ended.wait()
            await wait_until(lambda: not unreleased_resources(rig.proxy))

    run_scenario(scenario())


@pytest.mark.parametrize("what", [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore", b"\r\n", b""])
@pytest.mark.parametrize("read", ["before its reuse", "at its reuse"])
def test_bytes_or_an_end_that_nobody_asked_for_are_no_answer_to_the_next(what: bytes, read: str) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        upstreams = make_pools(await upstream.start())
        assert await RecordedAttempt(upstreams).outcome() is Outcome.SERVED
        (connection,) = upstreams._pools["s0"].idle_connections
        connection.idle_since_s -= 1.0  # rested
        writer = upstream.writers[0]
        if what:
            os.write(writer.get_extra_info("socket").fileno(), what)
        else:
            shut = writer.get_extra_info("socket")
            socket.socket(fileno=os.dup(shut.fileno())).shutdown(socket.SHUT_WR)
        if read == "before its reuse":
            await wait_until(lambda: upstreams.open_connections == 0)
        assert await RecordedAttempt(upstreams).outcome() is Outcome.SERVED
        assert upstream.connection_count == 2
        assert upstreams.open_connections == 1

    run_scenario(scenario())


@pytest.mark.parametrize("first", ["we", "they"])
def test_idle_time_outs_of_both_sides_at_once_close_a_connection_once(first: str) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        upstreams = make_pools(await upstream.start(), connIdle=1_000.0)
        assert await RecordedAttempt(upstreams).outcome() is Outcome.SERVED
        upstreams._pools["s0"].idle_connections[0].idle_since_s -= 10.0
        ends: list[Callable[[], object]] = [upstreams.close_expired, upstream.writers[0].transport.abort]
        for end in ends if first == "we" else reversed(ends):
            end()
        assert await RecordedAttempt(upstreams).outcome() is Outcome.SERVED
        await wait_until(lambda: upstreams.open_connections == 1)
        assert upstream.connection_count == 2

    run_scenario(scenario())


def test_no_connection_is_left_when_attempts_are_quiet_and_the_server_goes() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        upstreams = make_pools(await upstream.start())
        assert upstreams.start_attempt("s0", 1.0, IgnoredAttempt()) is not None
        await wait_until(lambda: bool(upstreams._pools["s0"].idle_connections))
        upstreams.update_endpoints(endpoint_list(is_full_snapshot=True))
        assert upstreams.open_connections == 0

    run_scenario(scenario())
