"""Suspicion of endpoint lists that are empty, incomplete or rolled back, and how it ends."""

from __future__ import annotations

from loadbalancer.interface import (
    Action,
    AttemptEnded,
    Endpoint,
    EndpointListUpdate,
    LogMessage,
    Outcome,
    Readiness,
    UpdateKind,
)
from tests.helpers import BalancerHost, make_endpoints, sent_attempts

NAMES = [f"s{i}" for i in range(6)]


def make_host(suspect_stale_fraction: float = 0.3) -> BalancerHost:
    return BalancerHost(count=6, suspect_stale_fraction=suspect_stale_fraction)


def update_list(
    host: BalancerHost, *listed: Endpoint, is_full: bool = True, is_rolled_back: bool = False
) -> list[Action]:
    kind = UpdateKind.FULL_SNAPSHOT if is_full else UpdateKind.DELTA
    return host.handle(host.balancer.validate(EndpointListUpdate(kind, listed, is_rolled_back)))


def ready_servers(host: BalancerHost) -> list[str]:
    return sorted(host.balancer._endpoints.ready)


def send_until(host: BalancerHost, server: str, outcome: Outcome) -> None:
    """Send requests until a server gets one, and end that attempt with an outcome; serve the others."""
    host.now += 20_000.0  # lets the evidence against the server decay
    for _ in range(500):
        sends = sent_attempts(host.receive_request()[1])
        for number, send in enumerate(sends):  # retries are appended while iterating
            is_target = send.server == server
            result = outcome if is_target else Outcome.SERVED
            host.now += 10.0
            sends += sent_attempts(
                host.handle(AttemptEnded(send.request_id, number, send.server, result, not is_target))
            )
        if any(send.server == server for send in sends):
            return
    raise AssertionError(f"no attempt was sent to {server}")


def test_servers_stay_if_a_list_omits_too_many_and_it_is_logged_once() -> None:
    host = make_host()
    actions = update_list(host, *make_endpoints(3))
    assert ready_servers(host) == NAMES
    assert host.balancer.suspected_stale_servers() == ["s3", "s4", "s5"]
    assert actions[0] == LogMessage("endpoint list omits 3 of 6 ready servers: suspected stale, kept for now")


def test_empty_list_is_suspected_stale_however_few_servers_there_were() -> None:
    host = BalancerHost(count=1, suspect_stale_fraction=0.3)
    update_list(host)
    assert ready_servers(host) == ["s0"]


def test_single_omitted_server_is_removed_at_once() -> None:
    host = make_host()
    update_list(host, *make_endpoints(5))
    assert ready_servers(host) == NAMES[:5]


def test_explicit_drains_and_removals_are_followed_however_many() -> None:
    """Only omissions are suspected: draining and dead entries always apply."""
    host = make_host()
    drained = tuple(Endpoint(name, Readiness.DRAINING) for name in NAMES[:5])
    update_list(host, *drained, *make_endpoints(6)[5:])
    assert ready_servers(host) == ["s5"]
    update_list(host, *[Endpoint(name, Readiness.DEAD) for name in NAMES], is_full=False)
    assert ready_servers(host) == []


def test_suspected_server_is_removed_by_failed_connections_and_not_by_other_failures() -> None:
    host = make_host()
    update_list(host, *make_endpoints(3))
    for outcome in (Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.SERVED):
        send_until(host, "s4", outcome)
    send_until(host, "s4", Outcome.CONNECT_FAILED)
    assert "s4" in ready_servers(host), "a response in between resets the count"
    send_until(host, "s4", Outcome.CONNECT_FAILED)
    assert ready_servers(host) == ["s0", "s1", "s2", "s3", "s5"]
    assert host.balancer.suspected_stale_servers() == ["s3", "s5"]


def test_overloaded_server_is_not_taken_for_dead() -> None:
    """A server omitted by a halved list was removed when its queue was full, and never listed again."""
    host = make_host()
    update_list(host, *make_endpoints(3))
    for _ in range(3):
        send_until(host, "s3", Outcome.REJECTED)
    assert "s3" in ready_servers(host)


def test_repeated_list_does_not_reset_the_strikes() -> None:
    host = make_host()
    update_list(host, *make_endpoints(3))
    send_until(host, "s4", Outcome.CONNECT_FAILED)
    update_list(host, *make_endpoints(3))
    send_until(host, "s4", Outcome.CONNECT_FAILED)
    assert "s4" not in ready_servers(host)


def test_server_that_is_listed_again_is_no_longer_suspected() -> None:
    host = make_host()
    update_list(host, *make_endpoints(3))
    update_list(host, *make_endpoints(6)[3:5], is_full=False)
    assert host.balancer.suspected_stale_servers() == ["s5"]
    update_list(host, *make_endpoints(6))
    assert host.balancer.suspected_stale_servers() == []
    send_until(host, "s4", Outcome.CONNECT_FAILED)
    assert ready_servers(host) == NAMES  # one failed connection does not remove a listed server


def test_replacements_are_used_beside_suspected_servers() -> None:
    host = make_host()
    update_list(host, *[Endpoint(f"n{i}") for i in range(6)])
    assert len(ready_servers(host)) == 12
    update_list(host, Endpoint("n0", Readiness.DEAD), is_full=False)
    assert "n0" not in ready_servers(host)


def test_list_is_followed_at_once_where_suspicion_is_off() -> None:
    host = make_host(suspect_stale_fraction=1.0)
    update_list(host)
    assert ready_servers(host) == []


def test_rolled_back_list_does_not_end_draining() -> None:
    host = make_host()
    update_list(host, Endpoint("s1", Readiness.DRAINING, started_at_ms=5.0), is_full=False)
    old = Endpoint("s1", started_at_ms=5.0)
    update_list(host, *make_endpoints(1), old, *make_endpoints(6)[2:], is_rolled_back=True)
    assert "s1" not in ready_servers(host)
    update_list(host, Endpoint("s1", started_at_ms=6.0), is_full=False, is_rolled_back=True)
    assert "s1" in ready_servers(host), "a later start is a new incarnation"
