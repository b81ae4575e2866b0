"""The balancer on loopback sockets, against short fixed scripts."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from typing import Any

import pytest

from loadbalancer import interface
from loadbalancer.endpoint_watch import watch
from loadbalancer.interface import Outcome, UpdateKind
from loadbalancer.net import downstream, upstream
from loadbalancer.policy import endpoints
from tests.loopback import (
    SCENARIO_TIMEOUT_S,
    HttpMessage,
    ListServer,
    ProxyHarness,
    Upstream,
    config_text,
    endpoint_entry,
    http_response,
    never_answer,
    reset_connection,
    run_scenario,
    running_program,
    status_of,
)


def listen_to(rig: ProxyHarness) -> list[Any]:
    """All events that the module is told from now on."""
    told: list[Any] = []
    handle = rig.proxy.balancer.handle

    def spy(event: interface.Event, now: float) -> list[interface.Action]:
        told.append(event)
        return handle(event, now)

    rig.proxy.balancer.handle = spy  # type: ignore[method-assign]
    return told


def outcomes(told: list[Any]) -> list[Outcome]:
    return [e.outcome for e in told if isinstance(e, interface.AttemptEnded)]


def test_a_request_goes_on_unchanged_and_the_answer_comes_back_unchanged() -> None:
    async def scenario() -> None:
        upstream = Upstream(http_response(200, b"\x00tile", "Content-Type: image/x", "X-Load: inflight=7"))
        async with ProxyHarness(upstream) as rig:
            answer = await rig.request(
                "/pay/a?b=c", b"debit", idempotency_key="5c0f", connection="keep-alive"
            )
            assert (status_of(answer), answer.body) == (200, b"\x00tile")
            assert answer.headers["content-type"] == "image/x"
            asked = upstream.requests[0]
            assert (asked.start_line, asked.body) == ("POST /pay/a?b=c HTTP/1.1", b"debit")
            assert asked.headers["x-request-id"] == "9b1f03aa"
            assert asked.headers["idempotency-key"] == "5c0f"
            assert asked.headers["x-class"] == "pay"
            left = asked.headers["x-deadline"]
            assert left.endswith("u") and 0 < int(left[:-1]) <= 2_000_000  # its aim is 2 s

    run_scenario(scenario())


def test_microseconds_are_read_as_such() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            assert status_of(await rig.request(deadline="900000u")) == 200
            assert 0 < int(upstream.requests[0].headers["x-deadline"][:-1]) <= 900_000

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("script", "outcome", "final"),
    [
        (http_response(503, b"", "X-Not-Run: 1"), Outcome.REJECTED, 503),
        (http_response(504, b"", "X-Not-Run: 1"), Outcome.REJECTED, 503),
        (http_response(503, b""), Outcome.ERROR, 502),
        (http_response(500, b""), Outcome.ERROR, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", Outcome.RESET, 502),
        (b"nonsense\r\n\r\n", Outcome.RESET, 502),
        (reset_connection, Outcome.RESET, 502),
    ],
)
def test_what_an_ending_means(script: Any, outcome: Outcome, final: int) -> None:
    async def cut(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
        if isinstance(script, bytes):
            writer.write(script)
            if b"cut" in script:
                writer.close()
        else:
            await script(asked, writer)

    async def scenario() -> None:
        upstream = Upstream(cut)
        async with ProxyHarness(upstream) as rig:
            told = listen_to(rig)
            assert status_of(await rig.request("/pay/x", b"debit")) == final
            # Turned away means never run, so the module may ask again; anything else must not.
            assert set(outcomes(told)) == {outcome}
            assert len(upstream.requests) == (3 if outcome is Outcome.REJECTED else 1)

    run_scenario(scenario())


def test_a_refused_connection_is_a_failed_connect_and_another_server_is_asked() -> None:
    async def scenario() -> None:
        gone, upstream = Upstream(), Upstream()
        async with ProxyHarness(gone, upstream) as rig:
            gone.server.close()
            await gone.server.wait_closed()
            told = listen_to(rig)
            answers = [await rig.request("/pay/x", b"debit") for _ in range(8)]
            assert {status_of(a) for a in answers} == {200}
            assert Outcome.CONNECT_FAILED in outcomes(told)
            assert outcomes(told).count(Outcome.SERVED) == len(upstream.requests) == 8

    run_scenario(scenario())


def test_silence_times_out_and_is_answered_before_the_deadline() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream) as rig:
            told = listen_to(rig)
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert status_of(await rig.request("/pay/x", b"debit", deadline="300m")) == 502
            assert loop.time() - began < 0.3 + 0.05
            assert outcomes(told) == [Outcome.TIMED_OUT]
            await upstream.connection_ended.wait()  # giving up closes the connection

    run_scenario(scenario())


def test_a_served_answer_calls_off_the_copy_and_each_send_ends_once() -> None:
    async def scenario() -> None:
        first, second = Upstream(never_answer), Upstream(never_answer)
        async with ProxyHarness(first, second) as rig:
            told = listen_to(rig)
            rig.proxy.balancer._latencies.smoothed_ms["read"] = (
                100.0  # a usual answer, long overdue when the copy goes out
            )
            caller = await rig.connect()
            caller.send_request(deadline="1200m")
            await asyncio.gather(first.request_received.wait(), second.request_received.wait())
            second.writers[0].write(http_response(200, b"second"))
            assert (await caller.read_response()).body == b"second"
            await first.connection_ended.wait()
            assert sorted(o.value for o in outcomes(told)) == ["cancelled", "served"]
            assert not rig.proxy.requests.by_id

    run_scenario(scenario())


def test_a_client_that_goes_is_told_and_its_attempt_called_off() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream) as rig:
            told = listen_to(rig)
            caller = await rig.connect()
            caller.send_request()
            await upstream.request_received.wait()
            caller.writer.close()
            await upstream.connection_ended.wait()
            assert any(isinstance(e, interface.ClientDisconnected) for e in told)
            assert outcomes(told) == [Outcome.CANCELLED]
            assert not rig.proxy.requests.by_id

    run_scenario(scenario())


def test_a_fault_in_the_module_fails_that_request_and_no_more(capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            handle = rig.proxy.balancer.handle

            def faulty(event: interface.Event, now: float) -> list[interface.Action]:
                if isinstance(event, interface.RequestArrived) and event.request_id == 1:
                    raise RuntimeError("a fault of the module")
                return handle(event, now)

            rig.proxy.balancer.handle = faulty  # type: ignore[method-assign]
            assert status_of(await rig.request()) == 503
            assert status_of(await rig.request()) == 200

    run_scenario(scenario())
    assert "a fault of the module" in capsys.readouterr().err


def test_a_module_that_says_nothing_is_answered_for_before_the_deadline() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            rig.proxy.balancer.handle = lambda event, now: []  # type: ignore[method-assign]
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert status_of(await rig.request(deadline="200m")) == 503
            assert 0.1 < loop.time() - began < 0.25

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("raw", "wanted"),
    [
        (b"GET /load HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        (b"GET /other HTTP/1.1\r\nHost: h\r\nX-Class: other\r\n\r\n", 404),
        (b"GET /read HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Deadline: 9m\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nHost: h\r\nX-Class: read\r\nX-Request-Id: 1\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: nanm\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: -5m\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 5s\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Deadline: 90m\r\n\r\n", 400),
        (b"DELETE /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 90m\r\n\r\n", 405),
        (b"\x16\x03\x01 not http\r\n\r\n", 400),
        (b"POST /read HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n" + b"x" * 70_000, 413),
        (b"GET /read HTTP/1.1\r\nX-Long: " + b"x" * 70_000 + b"\r\n\r\n", 431),
    ],
)
def test_bad_input_is_turned_away_and_reaches_no_upstream(raw: bytes, wanted: int) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            caller = await rig.connect()
            caller.writer.write(raw)
            assert status_of(await caller.read_response()) == wanted
            assert not upstream.requests and upstream.connection_count == 0

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("raw", "wanted"),
    [
        (b"", b""),
        (b"\r\n", b""),
        (b"GET /read HTTP/1.1\r\nHost: h\r\n", b"HTTP/1.1 408 Request Timeout"),
        (b"POST /pay HTTP/1.1\r\nContent-Length: 9\r\n\r\nshort", b"HTTP/1.1 408 Request Timeout"),
    ],
)
def test_a_peer_that_sends_no_whole_request_is_sent_off(
    raw: bytes, wanted: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each held its place for ever, and callers with requests waited in the queue for one."""
    monkeypatch.setattr(downstream, "REQUEST_TIMEOUT_S", 0.01)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            caller = await rig.connect()
            caller.writer.write(raw)
            assert (await caller.reader.read()).partition(b"\r\n")[0] == wanted

    run_scenario(scenario())


def test_a_caller_between_requests_is_not_sent_off() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            caller = await rig.connect()
            caller.send_request()
            assert status_of(await caller.read_response()) == 200
            (connection,) = rig.proxy.downstream._connections
            assert connection._patience is None

    run_scenario(scenario())


def test_health_is_answered_at_once() -> None:
    async def scenario() -> None:
        async with ProxyHarness() as rig:
            caller = await rig.connect()
            caller.writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            assert status_of(await caller.read_response()) == 200

    run_scenario(scenario())


def test_requests_sent_together_are_answered_in_turn() -> None:
    async def echo(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, asked.start_line.encode()))

    async def scenario() -> None:
        async with ProxyHarness(Upstream(echo)) as rig:
            caller = await rig.connect()
            for i in range(40):
                caller.send_request(f"/read/{i}")
            for i in range(40):
                assert (await caller.read_response()).body == f"GET /read/{i} HTTP/1.1".encode()

    run_scenario(scenario())


def test_connections_are_used_again_but_never_a_dead_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "REUSE_DELAY_S", 0.0)  # else the next request is too soon for it

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            for _ in range(3):
                assert status_of(await rig.request("/pay/x", b"debit")) == 200
            assert upstream.connection_count == 1
            upstream.writers[0].close()
            await upstream.writers[0].wait_closed()
            told = listen_to(rig)
            assert status_of(await rig.request("/pay/x", b"debit")) == 200
            assert outcomes(told) == [Outcome.SERVED]
            assert upstream.connection_count == 2

    run_scenario(scenario())


def test_both_sides_send_small_messages_at_once() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            caller = await rig.connect()
            caller.send_request()
            await caller.read_response()
            (taken,) = rig.proxy.downstream._connections
            for transport in (
                rig.proxy.upstreams._pools["s0"].idle_connections[0]._transport,
                taken._transport,
            ):
                assert transport is not None
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run_scenario(scenario())


def test_the_list_is_watched_and_a_restart_drops_connections() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            told = listen_to(rig)
            assert status_of(await rig.request()) == 200
            line = await rig.discovery.request_lines.get()
            assert line.startswith("GET /v1/servers?after=7&wait_ms=")
            address = rig.entries[0]["address"]
            rig.discovery.publish(8, endpoint_entry("s0", address, since_ms=5))
            assert "after=8&" in await rig.discovery.request_lines.get()  # the watch goes on at once
            await upstream.connection_ended.wait()
            rig.discovery.publish(9, endpoint_entry("s0", address, since_ms=5), snapshot=True)
            await rig.discovery.request_lines.get()
            rig.discovery.responses.put_nowait(http_response(503, b""))
            await rig.discovery.request_lines.get()  # asked again when the module's timer says so
            kinds = [e.kind for e in told if isinstance(e, interface.EndpointListUpdate)]
            assert kinds == [UpdateKind.DELTA, UpdateKind.FULL_SNAPSHOT, UpdateKind.FAILED]

    run_scenario(scenario())


def test_nothing_new_goes_to_a_server_that_drains() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            assert status_of(await rig.request("/pay/x", b"debit")) == 200
            await rig.discovery.request_lines.get()
            rig.discovery.publish(8, endpoint_entry("s0", rig.entries[0]["address"], status="terminating"))
            await upstream.connection_ended.wait()  # the idle connection goes
            assert status_of(await rig.request("/pay/x", b"debit")) == 503
            assert len(upstream.requests) == 1

    run_scenario(scenario())


def test_the_end_answers_what_was_taken_and_takes_what_still_comes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Callers were sent away at once, and found the other balancer restarting as well."""
    monkeypatch.setattr(downstream, "SHUTDOWN_KEEP_ALIVE_FRACTION", 0.0)
    monkeypatch.setattr(downstream, "SHUTDOWN_ACCEPT_S", 1.0)

    async def scenario() -> None:
        upstream = Upstream(http_response(), never_answer, http_response())
        async with ProxyHarness(upstream) as rig:
            idle, busy = await rig.connect(), await rig.connect()
            idle.send_request()
            assert status_of(await idle.read_response()) == 200
            upstream.request_received.clear()
            busy.send_request("/pay/x", b"debit")
            await upstream.request_received.wait()
            ending = asyncio.ensure_future(rig.proxy.downstream.shut_down())
            await asyncio.sleep(0)
            late = await rig.request()
            assert status_of(late) == 200 and "connection" not in late.headers
            idle.send_request()
            assert status_of(await idle.read_response()) == 200  # it goes on with the connection it has
            assert await idle.reader.read() == b""  # then a clean end, no reset
            upstream.writers[-1].write(b"")
            for writer in upstream.writers:
                writer.write(http_response(200, b"at last"))
            answer = await busy.read_response()
            assert (status_of(answer), answer.body) == (200, b"at last")
            assert answer.headers["connection"] == "close"
            busy.writer.close()
            idle.writer.close()
            await ending

    run_scenario(scenario())


def test_the_clock_compares_with_unix_time_and_never_goes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    import time

    from loadbalancer.net.clock import Clock

    clock = Clock()
    first = clock.now()
    assert abs(first - time.time() * 1000) < 1000
    monkeypatch.setattr(time, "time", lambda: 0.0)  # the wall clock is set back
    assert clock.now() >= first


def test_config_errors_are_one_line_and_an_exit_code(tmp_path: Any) -> None:
    import subprocess

    path = tmp_path / "config.json"
    environment = {n: v for n, v in os.environ.items() if not n.startswith("LB_")}
    for text in (None, "", "{}", "[]", config_text("nowhere", [])):
        if text is not None:
            path.write_text(text)
            environment["LB_CONFIG"] = str(path)
        done = subprocess.run(
            [sys.executable, "-m", "loadbalancer"], env=environment, capture_output=True, text=True
        )
        assert done.returncode != 0
        assert len(done.stderr.splitlines()) == 1, done.stderr


def test_a_request_in_the_accept_queue_at_the_end_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """It was taken with its last byte, though nobody had accepted its connection yet."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.net.downstream.SHUTDOWN_ACCEPT_S", 0.0)
        async with ProxyHarness(Upstream()) as rig:
            listener = rig.proxy.downstream
            clients: list[socket.socket] = []
            accept = listener._accept

            def at_the_last_moment() -> bool:
                clients.append(socket.create_connection(listener.address))
                clients[0].sendall(
                    b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 900m\r\n\r\n"
                )
                return accept()

            monkeypatch.setattr(listener, "_accept", at_the_last_moment)
            ending = asyncio.ensure_future(listener.shut_down())
            while not clients:
                await asyncio.sleep(0)
            clients[0].setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(clients[0], 100)
            assert answer.startswith(b"HTTP/1.1 200")
            clients[0].close()
            await ending

    run_scenario(scenario())


def test_the_end_does_not_wait_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is still open when the time is up gets its answer, before the platform kills us."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.net.downstream.SHUTDOWN_ACCEPT_S", 0.0)
        monkeypatch.setattr("loadbalancer.net.downstream.MAX_SHUTDOWN_S", 0.2)
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream) as rig:
            caller = await rig.connect()
            caller.send_request("/pay/x", b"debit")
            await upstream.request_received.wait()
            told = listen_to(rig)
            ending = asyncio.ensure_future(rig.proxy.downstream.shut_down())
            assert status_of(await caller.read_response()) == 502
            await ending
            assert outcomes(told) == [Outcome.CANCELLED]  # its own time-out had not come

    run_scenario(scenario())


def test_callers_past_the_cap_wait_and_idle_ones_make_way() -> None:
    """Idle callers held all places, and nobody looked again once they had become idle."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            rig.proxy.downstream.max_connections = 2
            first, second = await rig.connect(), await rig.connect()
            for caller in (first, second):
                caller.send_request()
                assert status_of(await caller.read_response()) == 200
            assert status_of(await rig.request()) == 200  # once one has been idle for a second
            assert await first.reader.read() == b""

    run_scenario(scenario())


def test_running_out_of_sockets_is_survived(tmp_path: Any) -> None:
    """With fewer descriptors than the configuration says, accepting fails; it must go on later."""
    import http.client
    import resource
    import signal
    import subprocess
    import time

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", []).replace("127.0.0.1:0", f"127.0.0.1:{port}"))
    node = subprocess.Popen(
        [sys.executable, "-m", "loadbalancer"],
        env=os.environ | {"LB_CONFIG": str(path)},
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40)),
    )

    def health() -> int:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=SCENARIO_TIMEOUT_S)
        try:
            connection.request("GET", "/healthz")
            return connection.getresponse().status
        finally:
            connection.close()

    try:
        until = time.monotonic() + SCENARIO_TIMEOUT_S
        while True:
            try:
                assert health() == 200
                break
            except ConnectionRefusedError:
                assert time.monotonic() < until
                time.sleep(0.02)
        crowd = [socket.create_connection(("127.0.0.1", port)) for _ in range(60)]
        for client in crowd:
            client.close()
        assert health() == 200
        node.send_signal(signal.SIGTERM)
        assert node.wait(SCENARIO_TIMEOUT_S) == 0
    finally:
        node.kill()


def test_a_request_that_crosses_the_end_of_an_idle_connection_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It lay in the kernel, unread, when the connection was ended as an idle one."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.net.downstream.SHUTDOWN_ACCEPT_S", 0.0)
        async with ProxyHarness(Upstream()) as rig:
            caller = await rig.connect()
            caller.send_request()
            assert status_of(await caller.read_response()) == 200
            (connection,) = rig.proxy.downstream._connections
            is_idle, crossed = connection.is_idle, list[int]()

            def crossing() -> bool:
                if not crossed:
                    crossed.append(1)
                    caller.send_request()  # written at once, and not read before the question is answered
                return is_idle()

            monkeypatch.setattr(connection, "is_idle", crossing)
            ending = asyncio.ensure_future(rig.proxy.downstream.shut_down())
            answer = await caller.read_response()
            assert status_of(answer) == 200 and answer.headers["connection"] == "close"
            caller.writer.close()
            await ending

    run_scenario(scenario())


def test_a_replaced_configuration_moves_the_watch_and_ends_nothing(tmp_path: Any) -> None:
    """SIGHUP ended the balancer, as it does a program that does not handle it."""

    async def scenario() -> None:
        old, new, path = ListServer(), ListServer(), tmp_path / "config.json"
        path.write_text(config_text(await old.start(), []))
        async with running_program(path) as process:
            await old.request_lines.get()
            for text in ("no configuration", config_text(await new.start(), [])):
                path.write_text(text)
                process.send_signal(signal.SIGHUP)
            assert await new.request_lines.get() == "GET /v1/servers HTTP/1.1"
            new.publish(9, snapshot=True)
            assert (await new.request_lines.get()).startswith("GET /v1/servers?after=9&")

    run_scenario(scenario())


def test_a_watch_with_no_answer_fails_before_its_news_counts_as_told(monkeypatch: pytest.MonkeyPatch) -> None:
    """All changes count as told 2 s after a watch's wait, and a silent one was kept for 5 s."""
    assert watch.OVERDUE_S < 2.0
    monkeypatch.setattr(watch, "MAX_WAIT_MS", 10)
    monkeypatch.setattr(watch, "OVERDUE_S", 0.01)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            told = listen_to(rig)
            await rig.discovery.request_lines.get()
            assert "after=7" in await rig.discovery.request_lines.get(), "asked anew"
            assert any(
                e.kind is UpdateKind.FAILED for e in told if isinstance(e, interface.EndpointListUpdate)
            )

    run_scenario(scenario())


@pytest.mark.parametrize("balancers", [2, 40, 400])
def test_watches_wait_as_short_as_the_drain_grace_and_the_fleet_allow(balancers: int) -> None:
    """A watch that fell silent kept its balancer on the old list for half a minute: a whole release."""
    contract = {"drainGrace": 3_000.0, "askWithin": 10_000.0}

    async def scenario() -> None:
        async with ProxyHarness(Upstream(), balancers=balancers, contract=contract) as rig:
            line = await rig.discovery.request_lines.get()
            waits = float(line.partition("wait_ms=")[2].split()[0])
            assert waits <= max(3_000, watch.CALL_MS * balancers)
            assert balancers / waits < 1.3 / watch.CALL_MS, "all together call too often"

    run_scenario(scenario())


def test_a_list_that_is_old_or_names_a_server_oddly_leaves_the_last_one_standing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Any name and address was taken, a name twice as well, and an older list in place of a newer one."""
    monkeypatch.setattr(endpoints, "LIST_RETRY_INITIAL_BACKOFF_MS", 1.0)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            told = listen_to(rig)
            good = rig.entries[0]["address"]
            nameless = endpoint_entry("s9", good) | {"name": 7}
            bad = [
                endpoint_entry("", good),
                endpoint_entry("a b", good),
                endpoint_entry("s9", "no-such.host:1"),
                nameless,
            ]
            for odd in bad:
                await rig.discovery.request_lines.get()
                rig.discovery.publish(9, odd, snapshot=True)
            await rig.discovery.request_lines.get()
            rig.discovery.publish(9, endpoint_entry("s9", good), endpoint_entry("s9", good), snapshot=True)
            await rig.discovery.request_lines.get()
            rig.discovery.publish(6, snapshot=True)  # older than the one the configuration brought
            line = await rig.discovery.request_lines.get()
            assert "after=7&" in line
            kinds = [e.kind for e in told if isinstance(e, interface.EndpointListUpdate)]
            assert kinds == [UpdateKind.FAILED] * 6
            assert status_of(await rig.request()) == 200

    run_scenario(scenario())


def test_the_watch_survives_any_answer() -> None:
    """An answer that broke the reader in an unforeseen way ended the watch, and nobody asked again."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            told = listen_to(rig)
            assert status_of(await rig.request()) == 200
            for body in (b"[" * 100_000, b"[]"):
                await rig.discovery.request_lines.get()
                rig.discovery.responses.put_nowait(http_response(200, body))
            await rig.discovery.request_lines.get()
            kinds = [e.kind for e in told if isinstance(e, interface.EndpointListUpdate)]
            assert kinds == [UpdateKind.FAILED] * 2

    run_scenario(scenario())


def test_whoever_asks_for_no_service_gets_a_close_with_the_answer() -> None:
    """Hundreds asked once and stayed, and callers with requests waited for their places."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            for path in (b"/healthz", b"/nosuch"):
                caller = await rig.connect()
                caller.writer.write(b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % path)
                assert (await caller.read_response()).headers["connection"] == "close"
                assert await caller.reader.read() == b""

    run_scenario(scenario())


def test_what_is_refused_with_a_timer_or_for_another_request_leaves_nothing_behind() -> None:
    """A balancer grew by 50 MB in half an hour: whoever had waited in vain was kept for good."""

    async def scenario() -> None:
        gate = asyncio.Event()

        async def gated(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(http_response())

        upstream = Upstream(gated)
        async with ProxyHarness(upstream) as rig:
            address = rig.entries[0]["address"]
            await rig.discovery.request_lines.get()
            rig.discovery.publish(8, endpoint_entry("s0", address, weight=0.4), snapshot=True)
            while rig.proxy.balancer._endpoints.total_capacity != 0.4:
                await asyncio.sleep(0)
            callers = [await rig.connect() for _ in range(4)]
            for caller in callers:
                caller.send_request()
            answers = [status_of(await caller.read_response()) for caller in callers[1:]]
            assert answers == [503, 503, 503], "one is with the server, one waits in vain, two find no place"
            assert len(rig.proxy.requests.by_id) == 1
            gate.set()
            assert status_of(await callers[0].read_response()) == 200
            assert not rig.proxy.requests.by_id

    run_scenario(scenario())
