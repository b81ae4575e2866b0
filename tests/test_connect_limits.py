"""Limits on the connect time, and the retry of requests whose connection is late."""

from __future__ import annotations

import asyncio
import math

import pytest

from loadbalancer.interface import (
    AttemptEnded,
    CloseIdleConnections,
    EndpointListUpdate,
    Outcome,
    RequestArrived,
    SendAttempt,
    UpdateKind,
)
from tests.helpers import PAY, BalancerHost, actions_of, make_endpoints, sent_attempts
from tests.loopback import (
    PausedConnects,
    ProxyHarness,
    Upstream,
    never_answer,
    run_scenario,
    status_of,
    wait_until,
)
from tests.test_upstream_attempts import RecordedAttempt, full_backlog, make_pools

MAX_WAIT_MS = 0.1 * PAY.latency_objective_ms  # the longest wait of a request of this class before it is sent


def serve_request(host: BalancerHost, connect_ms: float | None) -> SendAttempt:
    """Serve a request on a new connection that took `connect_ms`, or on a pooled one if None."""
    request, actions = host.receive_request(PAY)
    (send,) = sent_attempts(actions)
    host.now += 20.0
    host.handle(AttemptEnded(request, 0, send.server, Outcome.SERVED, True, connect_duration_ms=connect_ms))
    return send


def serve_on_pooled_connection(host: BalancerHost) -> SendAttempt:
    return serve_request(host, None)


# ---- the decisions ------------------------------------------------------------------------------


def test_connect_time_is_unlimited_while_none_of_the_zone_is_known() -> None:
    host = BalancerHost(1)
    assert serve_request(host, None).connect_within_ms == math.inf
    assert serve_on_pooled_connection(host).connect_within_ms == math.inf


def test_connect_limit_is_the_maximum_wait_where_connections_are_fast() -> None:
    host = BalancerHost(4)
    for _ in range(30):
        serve_request(host, 1.0)
    assert serve_on_pooled_connection(host).connect_within_ms == MAX_WAIT_MS


def test_connect_limit_follows_slow_connections() -> None:
    """Covers a zone that is far away, and one whose connections have all become slow."""
    host = BalancerHost(1)
    for _ in range(30):
        serve_request(host, 1.0)
    for _ in range(30):
        serve_request(host, 400.0)
        assert serve_on_pooled_connection(host).connect_within_ms > 400.0, "from the first slow connect on"
    host = BalancerHost(1)
    for _ in range(300):
        serve_request(host, 400.0)
    assert 400.0 <= serve_on_pooled_connection(host).connect_within_ms < 420.0, (
        "and not much above their connect time"
    )


def test_each_zone_has_its_own_connect_limit() -> None:
    host = BalancerHost(2)  # of two zones
    for _ in range(40):
        request, actions = host.receive_request(PAY)
        (send,) = sent_attempts(actions)
        host.now += 20.0
        duration_ms = {"s0": 1.0, "s1": 400.0}[send.server]
        host.handle(
            AttemptEnded(request, 0, send.server, Outcome.SERVED, True, connect_duration_ms=duration_ms)
        )
    limits = {
        send.server: send.connect_within_ms for send in (serve_on_pooled_connection(host) for _ in range(40))
    }
    assert limits["s0"] == MAX_WAIT_MS and limits["s1"] >= 400.0


def test_request_with_a_late_connection_is_retried_and_its_last_attempt_has_no_limit() -> None:
    host = BalancerHost(4, max_attempts=3)
    for _ in range(30):
        serve_request(host, 1.0)
    request, actions = host.receive_request(PAY)
    sends = sent_attempts(actions)
    for number in range(2):
        host.now += MAX_WAIT_MS
        sends += sent_attempts(host.end_attempt(request, number, sends[-1].server, Outcome.CONNECT_FAILED))
    assert [send.connect_within_ms for send in sends] == [MAX_WAIT_MS, MAX_WAIT_MS, math.inf]
    assert len({send.server for send in sends}) == 3


def test_late_connection_sheds_nothing() -> None:
    """The request was never written: its time is evidence of slow connects, not of overload."""
    host = BalancerHost(4)
    for _ in range(30):
        serve_request(host, 1.0)
    for _ in range(20):
        request, actions = host.receive_request(PAY)
        host.now += MAX_WAIT_MS
        retry = sent_attempts(
            host.end_attempt(request, 0, sent_attempts(actions)[0].server, Outcome.CONNECT_FAILED)
        )
        host.now += 20.0
        host.end_attempt(request, 1, retry[0].server, Outcome.SERVED)
        assert host.balancer._requests.admitted_fraction(host.now) == 1.0


def test_suspected_server_has_no_connect_limit() -> None:
    """With a limit, a late connection would count as evidence that the server is dead."""
    host = BalancerHost(6, suspect_stale_fraction=0.5)
    for _ in range(30):
        serve_request(host, 1.0)
    event = EndpointListUpdate(UpdateKind.FULL_SNAPSHOT, make_endpoints(2))
    host.handle(host.balancer.validate(event))
    suspected = set(host.balancer.suspected_stale_servers())
    assert suspected
    sends = [serve_on_pooled_connection(host) for _ in range(60)]
    assert {send.server for send in sends} > suspected
    assert {send.server for send in sends if send.connect_within_ms == math.inf} == suspected


def test_failed_connection_closes_no_idle_connections() -> None:
    """A failed connect concerns a new connection: it is no evidence against those already open."""

    def closes_after(outcome: Outcome) -> bool:
        host = BalancerHost(2)
        for _ in range(30):
            serve_request(host, None)
        request = 1_000
        actions = host.handle(RequestArrived(request, "read", 3_000))
        host.now += 20.0
        retry = host.end_attempt(request, 0, sent_attempts(actions)[0].server, outcome)
        assert sent_attempts(retry)
        return bool(actions_of(retry, CloseIdleConnections))

    assert not closes_after(Outcome.CONNECT_FAILED)
    assert closes_after(Outcome.TIMED_OUT) and closes_after(Outcome.RESET)


# ---- on sockets ---------------------------------------------------------------------------------


def test_late_connection_is_abandoned_at_its_limit() -> None:
    async def scenario() -> None:
        async with full_backlog() as address:
            upstreams = make_pools(address, connectTimeout=60_000.0)
            attempt = RecordedAttempt(upstreams, timeout_s=60.0, connect_within_s=0.02)
            assert await attempt.outcome() is Outcome.CONNECT_FAILED
            assert attempt.attempt.connect_duration_s is None and upstreams.open_connections == 0

    run_scenario(scenario())


def test_attempt_reports_its_connect_time_if_it_opened_a_connection() -> None:
    async def scenario() -> None:
        upstreams = make_pools(await Upstream().start())
        first = RecordedAttempt(upstreams)
        assert await first.outcome() is Outcome.SERVED
        assert first.attempt.connect_duration_s is not None and 0.0 <= first.attempt.connect_duration_s < 10.0
        upstreams._pools["s0"].idle_connections[0].idle_since_s -= 1.0  # past the reuse delay
        second = RecordedAttempt(upstreams, connect_within_s=0.0)
        assert await second.outcome() is Outcome.SERVED, "no connection is opened, so none can be late"
        assert second.attempt.connect_duration_s is None

    run_scenario(scenario())


def test_requests_are_served_elsewhere_while_connections_to_one_server_hang(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that wait for the connection until their deadline and are rejected."""

    async def scenario() -> None:
        connects = PausedConnects(monkeypatch, "s1")
        limits = {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 60_000.0}
        upstream = Upstream()
        async with ProxyHarness(upstream, Upstream(never_answer), limits=limits) as harness:
            clients = [await harness.connect() for _ in range(2)]
            for client in clients:  # one per server: the first gives the zone's usual connect time
                client.send_request("/pay/x", b"debit")
            await upstream.request_received.wait()
            await connects.started.wait()
            for client in clients:
                client.writer.close()
            await wait_until(lambda: not harness.proxy.requests.by_id)
            connect_count = connects.count
            answers = await asyncio.gather(
                *[harness.request("/pay/x", b"debit", deadline="1500m") for _ in range(4)]
            )
            assert [status_of(answer) for answer in answers] == [200] * 4
            assert connects.count > connect_count

    run_scenario(scenario())
