"""Connections that are later than they usually are: what is waited for, and who gets the request instead."""

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
from tests.helpers import PAY, Desk, members, of_kind, sent
from tests.loopback import (
    PausedConnects,
    ProxyHarness,
    Upstream,
    never_answer,
    run_scenario,
    status_of,
    wait_until,
)
from tests.test_upstreams import RecordedAttempt, full_backlog, make_pools

PATIENCE_MS = 0.1 * PAY.latency_objective_ms  # the most that a request of the class waits before it is sent


def serve(desk: Desk, connect_ms: float | None) -> SendAttempt:
    """A request is served on a connection that took so long to come up, or that was open before."""
    request, actions = desk.ask(PAY)
    (send,) = sent(actions)
    desk.now += 20.0
    desk.tell(AttemptEnded(request, 0, send.server, Outcome.SERVED, True, connect_duration_ms=connect_ms))
    return send


def next_send(desk: Desk) -> SendAttempt:
    return serve(desk, None)


# ---- the decisions ------------------------------------------------------------------------------


def test_while_nothing_is_known_of_a_zone_a_connection_has_all_the_time() -> None:
    desk = Desk(1)
    assert serve(desk, None).connect_within_ms == math.inf
    assert next_send(desk).connect_within_ms == math.inf


def test_a_connection_later_than_usual_is_waited_for_no_longer_than_a_request_waits_here() -> None:
    desk = Desk(4)
    for _ in range(30):
        serve(desk, 1.0)
    assert next_send(desk).connect_within_ms == PATIENCE_MS


def test_connections_that_usually_take_long_are_waited_for() -> None:
    """A zone far away, or one where all connections have become slow."""
    desk = Desk(1)
    for _ in range(30):
        serve(desk, 1.0)
    for _ in range(30):
        serve(desk, 400.0)
        assert next_send(desk).connect_within_ms > 400.0, "from the first one on"
    desk = Desk(1)
    for _ in range(300):
        serve(desk, 400.0)
    assert 400.0 <= next_send(desk).connect_within_ms < 420.0, "and not for much longer than they take"


def test_each_zone_has_its_own_usual_time() -> None:
    desk = Desk(2)  # of two zones
    for _ in range(40):
        request, actions = desk.ask(PAY)
        (send,) = sent(actions)
        desk.now += 20.0
        took = {"s0": 1.0, "s1": 400.0}[send.server]
        desk.tell(AttemptEnded(request, 0, send.server, Outcome.SERVED, True, connect_duration_ms=took))
    limits = {send.server: send.connect_within_ms for send in (next_send(desk) for _ in range(40))}
    assert limits["s0"] == PATIENCE_MS and limits["s1"] >= 400.0


def test_a_request_whose_connection_is_late_goes_elsewhere_and_waits_for_its_last_one() -> None:
    desk = Desk(4, max_attempts=3)
    for _ in range(30):
        serve(desk, 1.0)
    request, actions = desk.ask(PAY)
    sends = sent(actions)
    for number in range(2):
        desk.now += PATIENCE_MS
        sends += sent(desk.end(request, number, sends[-1].server, Outcome.CONNECT_FAILED))
    assert [send.connect_within_ms for send in sends] == [PATIENCE_MS, PATIENCE_MS, math.inf]
    assert len({send.server for send in sends}) == 3


def test_a_late_connection_sheds_nothing() -> None:
    """It was never written: its time tells of connections, not of crowds."""
    desk = Desk(4)
    for _ in range(30):
        serve(desk, 1.0)
    for _ in range(20):
        request, actions = desk.ask(PAY)
        desk.now += PATIENCE_MS
        again = sent(desk.end(request, 0, sent(actions)[0].server, Outcome.CONNECT_FAILED))
        desk.now += 20.0
        desk.end(request, 1, again[0].server, Outcome.SERVED)
        assert desk.balancer._requests.admitted_fraction(desk.now) == 1.0


def test_a_server_in_doubt_is_given_all_the_time_to_prove_alive() -> None:
    """A late connection would count against it as if it were gone."""
    desk = Desk(6, suspect_stale_fraction=0.5)
    for _ in range(30):
        serve(desk, 1.0)
    event = EndpointListUpdate(UpdateKind.FULL_SNAPSHOT, members(2))
    desk.tell(desk.balancer.validate(event))
    doubted = set(desk.balancer.suspected_stale_servers())
    assert doubted
    sends = [next_send(desk) for _ in range(60)]
    assert {send.server for send in sends} > doubted
    assert {send.server for send in sends if send.connect_within_ms == math.inf} == doubted


def test_idle_connections_stay_for_a_request_that_has_not_run_yet() -> None:
    """That one could not connect speaks against no open connection: it had to open a further one."""

    def closes_after(outcome: Outcome) -> bool:
        desk = Desk(2)
        for _ in range(30):
            serve(desk, None)
        request = 1_000
        actions = desk.tell(RequestArrived(request, "read", 3_000))
        desk.now += 20.0
        again = desk.end(request, 0, sent(actions)[0].server, outcome)
        assert sent(again)
        return bool(of_kind(again, CloseIdleConnections))

    assert not closes_after(Outcome.CONNECT_FAILED)
    assert closes_after(Outcome.TIMED_OUT) and closes_after(Outcome.RESET)


# ---- on sockets ---------------------------------------------------------------------------------


def test_a_connection_that_is_late_is_given_up_in_the_time_it_has() -> None:
    async def scenario() -> None:
        async with full_backlog() as address:
            upstreams = make_pools(address, connectTimeout=60_000.0)
            attempt = RecordedAttempt(upstreams, timeout_s=60.0, connect_s=0.02)
            assert await attempt.outcome() is Outcome.CONNECT_FAILED
            assert attempt.attempt.connect_duration_s is None and upstreams.open_connections == 0

    run_scenario(scenario())


def test_an_attempt_tells_how_long_its_connection_took_if_it_opened_one() -> None:
    async def scenario() -> None:
        upstreams = make_pools(await Upstream().start())
        first = RecordedAttempt(upstreams)
        assert await first.outcome() is Outcome.SERVED
        assert first.attempt.connect_duration_s is not None and 0.0 <= first.attempt.connect_duration_s < 10.0
        upstreams._pools["s0"].idle_connections[0].idle_since_s -= 1.0  # it has rested
        second = RecordedAttempt(upstreams, connect_s=0.0)
        assert await second.outcome() is Outcome.SERVED, "nothing is opened: nothing can be late"
        assert second.attempt.connect_duration_s is None

    run_scenario(scenario())


def test_requests_are_served_elsewhere_while_connections_to_one_server_hang(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They waited for it until their time was over, and were refused."""

    async def scenario() -> None:
        dials = PausedConnects(monkeypatch, "s1")
        limits = {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 60_000.0}
        upstream = Upstream()
        async with ProxyHarness(upstream, Upstream(never_answer), limits=limits) as rig:
            callers = [await rig.connect() for _ in range(2)]
            for caller in callers:  # one for each server: from the first the usual time is known
                caller.send_request("/pay/x", b"debit")
            await upstream.request_received.wait()
            await dials.started.wait()
            for caller in callers:
                caller.writer.close()
            await wait_until(lambda: not rig.proxy.requests.by_id)
            begun = dials.count
            answers = await asyncio.gather(
                *[rig.request("/pay/x", b"debit", deadline="1500m") for _ in range(4)]
            )
            assert [status_of(answer) for answer in answers] == [200] * 4
            assert dials.count > begun

    run_scenario(scenario())
