"""Requests whose body is still arriving have a limit of their own, and hold up no complete request."""

from __future__ import annotations

import pytest

from loadbalancer.interface import Outcome, Reject, RequestCompleted, SetTimer, TimerExpired
from tests.helpers import READ, BalancerHost, actions_of, sent_attempts

MANY = 400


def host_with_uploads(count: int) -> BalancerHost:
    """Return a host at which so many requests have arrived without the end of their body."""
    host = BalancerHost(count=4)
    for _ in range(count):
        host.receive_request(READ, is_complete=False)
    return host


def test_uploads_that_stand_still_leave_complete_requests_their_servers() -> None:
    """Guards against rejecting everybody while hundreds of clients stop half way through a request."""
    without, beside = BalancerHost(count=4), host_with_uploads(MANY)
    served = [
        sum(bool(sent_attempts(host.receive_request(READ)[1])) for _ in range(MANY))
        for host in (without, beside)
    ]
    assert served[0] == served[1] > 0


def test_uploads_use_half_of_a_limit_at_most() -> None:
    """Guards against uploads that all complete at once and crowd their server."""
    host = host_with_uploads(MANY)
    complete = BalancerHost(count=4)
    for _ in range(MANY):
        complete.receive_request(READ)
    uploads, requests = (len(sent_attempts(h.actions)) for h in (host, complete))
    assert 0 < uploads <= requests / 2 + 4


def test_a_waiting_upload_that_completes_is_served_like_any_other() -> None:
    """Guards against a place at the end of the queue for good."""
    host = host_with_uploads(MANY)
    waiting = [r for r in host.balancer._requests.open_requests.values() if r.is_waiting]
    assert waiting
    actions = host.handle(RequestCompleted(waiting[-1].id, 0.0))
    assert [a.request_id for a in sent_attempts(actions)] == [waiting[-1].id]


@pytest.mark.parametrize("ending", ["completed", "failed"])
def test_a_server_forgets_an_upload_that_has_ended(ending: str) -> None:
    """Guards against slots that are lost for good."""
    host = host_with_uploads(MANY)
    sent = sent_attempts(host.actions)
    for attempt in sent:
        if ending == "completed":
            host.handle(RequestCompleted(attempt.request_id, 0.0))
        host.end_attempt(attempt.request_id, 0, attempt.server, Outcome.SERVED)
    servers = host.balancer._endpoints.servers.values()
    later = len(sent_attempts(host.actions)) - len(sent)
    assert sum(s.receiving for s in servers) == sum(s.in_flight for s in servers) == later
    assert not actions_of(host.actions[-1:], Reject)


def fire_timers(host: BalancerHost, span_ms: float) -> None:
    """Let time pass, and let each timer that comes due in it expire."""
    starts_at_ms, ends_at_ms = host.now, host.now + span_ms
    expired: set[SetTimer] = set()
    while due := [t for t in timers_of(host) if starts_at_ms < t.at_ms <= ends_at_ms and t not in expired]:
        first = min(due, key=lambda timer: timer.at_ms)
        expired.add(first)
        host.now = max(host.now, first.at_ms)
        host.handle(TimerExpired(first.token))
    host.now = ends_at_ms


def timers_of(host: BalancerHost) -> list[SetTimer]:
    """Return all timers that were set."""
    return [action for action in host.actions if isinstance(action, SetTimer)]


def waiting_upload(host: BalancerHost) -> int:
    """Return the ID of an upload for which there is no slot."""
    return next(r.id for r in host.balancer._requests.open_requests.values() if r.is_waiting)


def rejected_ids(host: BalancerHost) -> set[int]:
    """Return the IDs of all requests that were rejected."""
    return {action.request_id for action in host.actions if isinstance(action, Reject)}


def test_an_upload_waits_for_a_slot_until_its_time_begins() -> None:
    """Guards against rejecting a client that is still sending for a wait that costs it nothing."""
    host = host_with_uploads(MANY)
    request_id = waiting_upload(host)
    fire_timers(host, 10 * READ.latency_objective_ms)
    assert request_id not in rejected_ids(host)
    first = sent_attempts(host.actions)[0]
    actions = host.end_attempt(first.request_id, 0, first.server, Outcome.SERVED)
    assert sent_attempts(actions)


def test_an_upload_that_has_completed_waits_no_longer_than_other_requests() -> None:
    """Guards against a wait without an end once the time of a request has begun."""
    host = host_with_uploads(MANY)
    for _ in range(MANY):
        host.receive_request(READ)
    request_id = waiting_upload(host)
    fire_timers(host, READ.latency_objective_ms)
    host.handle(RequestCompleted(request_id, 0.0))
    assert request_id not in {a.request_id for a in sent_attempts(host.actions)}
    fire_timers(host, READ.latency_objective_ms)
    assert request_id in rejected_ids(host)
