"""Lists that are not believed at once: emptied, halved, gone back; and what ends the doubt."""

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
from tests.helpers import Desk, members, sent

NAMES = [f"s{i}" for i in range(6)]


def desk(doubt: float = 0.3) -> Desk:
    return Desk(count=6, suspect_stale_fraction=doubt)


def tell_list(d: Desk, *listed: Endpoint, whole: bool = True, rewound: bool = False) -> list[Action]:
    kind = UpdateKind.FULL_SNAPSHOT if whole else UpdateKind.DELTA
    return d.tell(d.balancer.validate(EndpointListUpdate(kind, listed, rewound)))


def ready(d: Desk) -> list[str]:
    return sorted(d.balancer._endpoints.ready)


def send_until(d: Desk, server: str, outcome: Outcome) -> None:
    """Let requests come until one goes to a server, and end that attempt; the others are served."""
    d.now += 20_000.0  # what was held against it has faded
    for _ in range(500):
        out = sent(d.ask()[1])
        for number, send in enumerate(out):  # a retry follows behind
            is_it = send.server == server
            ended = outcome if is_it else Outcome.SERVED
            d.now += 10.0
            out += sent(d.tell(AttemptEnded(send.request_id, number, send.server, ended, not is_it)))
        if any(send.server == server for send in out):
            return
    raise AssertionError(f"nothing went to {server}")


def test_a_list_that_leaves_out_too_many_keeps_them_in_use_and_says_so_once() -> None:
    d = desk()
    told = tell_list(d, *members(3))
    assert ready(d) == NAMES
    assert d.balancer.suspected_stale_servers() == ["s3", "s4", "s5"]
    assert told[0] == LogMessage("endpoint list omits 3 of 6 ready servers: suspected stale, kept for now")


def test_an_empty_list_is_doubted_however_few_there_were() -> None:
    d = Desk(count=1, suspect_stale_fraction=0.3)
    tell_list(d)
    assert ready(d) == ["s0"]


def test_a_single_server_that_is_left_out_goes_at_once() -> None:
    d = desk()
    tell_list(d, *members(5))
    assert ready(d) == NAMES[:5]


def test_what_is_said_outright_is_done_however_many_it_is() -> None:
    """The rules on drains hold: only what a list leaves unsaid is doubted."""
    d = desk()
    drained = tuple(Endpoint(name, Readiness.DRAINING) for name in NAMES[:5])
    tell_list(d, *drained, *members(6)[5:])
    assert ready(d) == ["s5"]
    tell_list(d, *[Endpoint(name, Readiness.DEAD) for name in NAMES], whole=False)
    assert ready(d) == []


def test_a_doubted_server_goes_when_no_connection_comes_up_and_stays_when_it_only_fails() -> None:
    d = desk()
    tell_list(d, *members(3))
    for outcome in (Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.SERVED):
        send_until(d, "s4", outcome)
    send_until(d, "s4", Outcome.CONNECT_FAILED)
    assert "s4" in ready(d), "it has answered in between"
    send_until(d, "s4", Outcome.CONNECT_FAILED)
    assert ready(d) == ["s0", "s1", "s2", "s3", "s5"]
    assert d.balancer.suspected_stale_servers() == ["s3", "s5"]


def test_a_crowded_server_is_not_taken_for_dead() -> None:
    """One that a halved list had left out was dropped when its queue was full, and nobody named it again."""
    d = desk()
    tell_list(d, *members(3))
    for _ in range(3):
        send_until(d, "s3", Outcome.REJECTED)
    assert "s3" in ready(d)


def test_a_list_that_tells_the_same_again_does_not_begin_the_count_anew() -> None:
    d = desk()
    tell_list(d, *members(3))
    send_until(d, "s4", Outcome.CONNECT_FAILED)
    tell_list(d, *members(3))
    send_until(d, "s4", Outcome.CONNECT_FAILED)
    assert "s4" not in ready(d)


def test_a_server_that_the_list_names_again_is_not_doubted_any_more() -> None:
    d = desk()
    tell_list(d, *members(3))
    tell_list(d, *members(6)[3:5], whole=False)
    assert d.balancer.suspected_stale_servers() == ["s5"]
    tell_list(d, *members(6))
    assert d.balancer.suspected_stale_servers() == []
    send_until(d, "s4", Outcome.CONNECT_FAILED)
    assert ready(d) == NAMES  # refusing once is no reason to forget one that is listed


def test_replacements_that_come_with_the_list_are_in_use_beside_the_doubted() -> None:
    d = desk()
    tell_list(d, *[Endpoint(f"n{i}") for i in range(6)])
    assert len(ready(d)) == 12
    tell_list(d, Endpoint("n0", Readiness.DEAD), whole=False)
    assert "n0" not in ready(d)


def test_where_the_platform_keeps_the_list_it_is_believed_at_once() -> None:
    d = desk(doubt=1.0)
    tell_list(d)
    assert ready(d) == []


def test_a_service_that_has_gone_back_does_not_undo_a_drain() -> None:
    d = desk()
    tell_list(d, Endpoint("s1", Readiness.DRAINING, started_at_ms=5.0), whole=False)
    old = Endpoint("s1", started_at_ms=5.0)
    tell_list(d, *members(1), old, *members(6)[2:], rewound=True)
    assert "s1" not in ready(d)
    tell_list(d, Endpoint("s1", started_at_ms=6.0), whole=False, rewound=True)
    assert "s1" in ready(d), "a later start is a new server"
