"""Checks of a drill, each on a history that passes it and on one that fails it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.drill import history
from loadbalancer.drill.checks import judgement
from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.tables import Bounds, ClientLoad, DrillScenario

SCENARIO = DrillScenario(
    load=ClientLoad(requests=20),
    bounds=Bounds(
        min_served=0.95,
        max_recovery_s=1.0,
        max_list_requests=5,
        max_notification_s=1.0,
        max_direction_changes=2,
    ),
)
START_MS = 1_000_000.0


def event(at_s: float, who: str, what: str, **fields: Any) -> Event:
    return {"t": START_MS + at_s * 1_000, "who": who, "what": what} | fields


def fault_free_history() -> list[Event]:
    """Return the events of two balancers and two servers; a request every 0.1 s, all served."""
    events = [
        event(-2, "driver", "place", name=n, host=h, zone=z, tier="first")
        for n, h, z in (("b0", "h0", "a"), ("b1", "h1", "a"), ("s0", "h2", "a"), ("s1", "h3", "a"))
    ]
    entries = {"s0": "in_service", "s1": "in_service"}
    for host in ("h0", "h1"):
        events.append(event(-1, "list", "told", to=host, index=1, snapshot=True, entries=entries))
    for n in range(20):
        at, balancer, server = n / 10, f"b{n % 2}", f"s{n % 2}"
        request_id, cls = f"r{n}", "unlock" if n % 5 == 0 else "map"
        asked_fields = {"wish": n, "id": request_id, "try": 1, "cls": cls, "to": balancer, "deadline": 500.0}
        events += [
            event(at, "clients", "asked", **asked_fields),
            event(at + 0.01, server, "arrived", id=request_id, cls=cls, work=10.0, **{"from": f"h{n % 2}"}),
            event(at + 0.01, server, "began", id=request_id, cls=cls),
            event(at + 0.02, server, "ended", id=request_id, cls=cls, status=200, run=f"made-{n}"),
            event(at + 0.03, "clients", "answered", id=request_id, status=200, took=30.0, run=f"made-{n}"),
            event(
                at + 0.03, "clients", "done", wish=n, cls=cls, ending="served", took=30.0, tries=1,
                first=START_MS + at * 1_000,
            ),
        ]  # fmt: skip
    return [*events, event(3, "driver", "over")]


def passed_by_check(events: list[Event]) -> dict[str, bool]:
    ordered = sorted(events, key=lambda e: e["t"])
    return {check.name: check.passed for check in judgement.judge(SCENARIO, ordered)}


def without_event(events: list[Event], what: str, request_id: str) -> list[Event]:
    return [e for e in events if (e["what"], e.get("id")) != (what, request_id)]


def request_lost(events: list[Event]) -> list[Event]:
    unanswered = without_event(events, "answered", "r3")
    return [*unanswered, event(0.4, "clients", "lost", id="r3", how="reset", sent=True)]


def request_without_end(events: list[Event]) -> list[Event]:
    return without_event(events, "answered", "r4")


def answer_of_unknown_origin(events: list[Event]) -> list[Event]:
    return [e | {"run": "made-up"} if (e["what"], e.get("id")) == ("answered", "r5") else e for e in events]


def executed_twice(events: list[Event]) -> list[Event]:
    return [*events, event(0.3, "s1", "began", id="r0", cls="unlock")]


def executed_twice_by_a_retry(events: list[Event]) -> list[Event]:
    asked_fields = {"wish": 5, "id": "r5b", "try": 2, "cls": "unlock", "to": "b0", "deadline": 400.0}
    again = [
        event(0.6, "clients", "asked", **asked_fields),
        event(0.61, "s0", "began", id="r5b", cls="unlock"),
    ]
    return [*events, *again, event(0.62, "clients", "answered", id="r5b", status=503, took=1.0, run="")]


def sent_to_draining_server(events: list[Event]) -> list[Event]:
    entries = {"s1": "terminating"}
    return [*events, event(-0.9, "list", "told", to="h1", index=2, snapshot=False, entries=entries)]


def sent_to_removed_server(events: list[Event]) -> list[Event]:
    entries = {"s0": "in_service"}
    return [*events, event(-0.9, "list", "told", to="h1", index=2, snapshot=True, entries=entries)]


def drained_then_stale_list(events: list[Event]) -> list[Event]:
    entries = {"s0": "in_service", "s1": "in_service"}
    old = event(-0.8, "list", "told", to="h1", index=1, snapshot=True, entries=entries)
    return [*sent_to_draining_server(events), old]


def version_decreased(events: list[Event]) -> list[Event]:
    entries = {"s0": "in_service", "s1": "in_service"}
    return [*events, event(1, "list", "told", to="h1", index=0, snapshot=True, entries=entries)]


def member_state_not_reached(events: list[Event]) -> list[Event]:
    view = {"of": "b1", "wanted": "gone", "said": {"b0": "alive"}, "took_s": 5.0, "held": False}
    return [*events, event(1, "driver", "view", **view)]


def sent_to_cordoned_server(events: list[Event]) -> list[Event]:
    return [*events, event(-0.5, "driver", "call", to="h0", call="cordon", body="s0", status=200)]


def connection_to_draining_server(events: list[Event]) -> list[Event]:
    return [
        *sent_to_draining_server(without_event(events, "arrived", "")),
        event(2, "driver", "knock", link="b1>s1"),
    ]


def sent_to_unlisted_server(events: list[Event]) -> list[Event]:
    return [e for e in events if e["what"] != "told" or e["to"] != "h0"]


def overloaded_during_warm_up(events: list[Event]) -> list[Event]:
    up = event(0.1, "s0", "up", cores=1, speed=1.0, cold_from=0.5, cold_ms=3_000.0, since=START_MS + 100)
    heavy = [e | {"work": 2_000.0} if e["what"] == "arrived" and e["who"] == "s0" else e for e in events]
    return [*heavy, up]


def answered_late(events: list[Event]) -> list[Event]:
    return [e | {"took": 600.0} if e["what"] == "answered" else e for e in events]


def last_requests_rejected(events: list[Event]) -> list[Event]:
    return [e | {"ending": "refused"} if e["what"] == "done" and e["wish"] > 17 else e for e in events]


def not_recovered(events: list[Event]) -> list[Event]:
    fault = event(0.05, "driver", "fault", kind="kill", on=True, targets=["s0"])
    return [*last_requests_rejected(events), fault]


def attempts_doubled(events: list[Event]) -> list[Event]:
    more = [e | {"t": e["t"] + 1} for e in events if e["what"] == "arrived"]
    return [*events, *more]


def balancer_exited(events: list[Event]) -> list[Event]:
    return [*events, event(1, "driver", "process", name="b0", state="ended", code=1, wanted=False)]


def notification(at_s: float, to: str, **entries: str) -> Event:
    return event(at_s, "list", "told", to=to, index=2, snapshot=False, entries=entries)


def one_balancer_not_notified(events: list[Event]) -> list[Event]:
    drain = event(0.5, "driver", "fault", kind="list", on=True, targets=["s1"], status="terminating")
    return [*events, drain, notification(0.6, "h0", s1="terminating")]


def list_request_storm(events: list[Event]) -> list[Event]:
    return [*events, *(notification(0.1 + n / 100, "h0") for n in range(10))]


def failed_list_request_storm(events: list[Event]) -> list[Event]:
    return [*events, *(event(0.1 + n / 100, "list", "turned_away", to="h0") for n in range(10))]


def removed_without_request(events: list[Event]) -> list[Event]:
    return [*events, notification(1.5, "h0", s1="terminated")]


def drain_undone(events: list[Event]) -> list[Event]:
    return [*events, notification(1.5, "h0", s1="terminating"), notification(1.7, "h0", s1="in_service")]


def sent_to_evacuated_zone(events: list[Event]) -> list[Event]:
    return [
        *events,
        event(-0.9, "driver", "fault", kind="zone", on=True, targets=["a"], zone="a", over_s=0.0),
    ]


def calls_from_b0(count: int, at_s: float, who: str) -> list[Event]:
    """Return calls from b0 to a server, within 0.1 s."""
    call = {"cls": "map", "work": 1.0, "from": "h0"}
    return [event(at_s + n / count / 10, who, "arrived", id=f"m{at_s}{n}", **call) for n in range(count)]


def two_zones(events: list[Event]) -> list[Event]:
    return [e | {"zone": "b"} if e["what"] == "place" and e["name"] == "s1" else e for e in events]


def zone_evacuated_at_once(events: list[Event]) -> list[Event]:
    evacuation = event(1.0, "driver", "fault", kind="zone", on=True, targets=["b"], zone="b", over_s=4.0)
    before = calls_from_b0(20, 0.0, "s1") + calls_from_b0(20, 0.5, "s0")
    return [*two_zones(without_calls(events)), *before, evacuation, *calls_from_b0(30, 1.2, "s0")]


def zone_not_used_after_return(events: list[Event]) -> list[Event]:
    evacuations = [
        event(at, "driver", "fault", kind="zone", on=on, targets=["b"], zone="b", over_s=0.0)
        for at, on in ((0.6, True), (0.8, False))
    ]
    before = calls_from_b0(20, 0.0, "s1") + calls_from_b0(20, 0.3, "s0")
    return [*two_zones(without_calls(events)), *before, *evacuations, *calls_from_b0(30, 1.5, "s0")]


def zone_oscillating(events: list[Event]) -> list[Event]:
    last = event(
        8.0, "clients", "done", wish=1, cls="map", ending="served", took=1.0, tries=1, first=START_MS
    )
    calls = [c for n in range(8) for c in calls_from_b0(30, n + 0.2, f"s{n % 2}")]
    return [*two_zones(without_calls(events)), *calls, last]


def without_calls(events: list[Event]) -> list[Event]:
    return [e for e in events if e["what"] != "arrived"]


def lines_dropped(events: list[Event]) -> list[Event]:
    return [*events, event(1, "clients", "left_out", lines=3)]


def test_fault_free_history_passes_every_check() -> None:
    assert [name for name, passed in passed_by_check(fault_free_history()).items() if not passed] == []


@pytest.mark.parametrize(
    ("make_failing_history", "name"),
    [
        (request_lost, "answered"), (request_without_end, "answered"),
        (answer_of_unknown_origin, "from_servers"), (executed_twice, "once"),
        (executed_twice_by_a_retry, "once"), (sent_to_draining_server, "drains"),
        (sent_to_removed_server, "drains"), (drained_then_stale_list, "drains"),
        (sent_to_cordoned_server, "drains"), (connection_to_draining_server, "drains"),
        (sent_to_unlisted_server, "named"), (overloaded_during_warm_up, "cold"), (answered_late, "late"),
        (last_requests_rejected, "served"), (not_recovered, "back"), (attempts_doubled, "attempts"),
        (balancer_exited, "standing"), (version_decreased, "versions"), (member_state_not_reached, "views"),
        (lines_dropped, "whole"), (one_balancer_not_notified, "heard"), (list_request_storm, "asked"),
        (failed_list_request_storm, "asked"), (removed_without_request, "kept"), (drain_undone, "undone"),
        (sent_to_evacuated_zone, "left"), (zone_not_used_after_return, "left"),
        (zone_evacuated_at_once, "ramps"), (zone_oscillating, "swings"),
    ],
)  # fmt: skip
def test_failing_history_fails_the_check_meant_for_it(
    make_failing_history: Callable[[list[Event]], list[Event]], name: str
) -> None:
    assert not passed_by_check(make_failing_history(fault_free_history()))[name]


def test_killed_server_may_be_removed_from_the_list_and_return_to_service() -> None:
    kill = event(1.0, "driver", "fault", kind="kill", on=True, targets=["s1"])
    assert passed_by_check([*removed_without_request(fault_free_history()), kill])["kept"]
    started = [kill, event(1.6, "driver", "fault", kind="kill", on=False, targets=["s1"], memory="kept")]
    assert passed_by_check([*drain_undone(fault_free_history()), *started])["undone"], (
        "a restarted server is in service again"
    )
    faulty_list = event(1.4, "driver", "fault", kind="odd list", on=True, targets=["list"], state="stale")
    assert passed_by_check([*drain_undone(fault_free_history()), faulty_list])["undone"]


def test_empty_history_fails_the_checks_that_need_requests() -> None:
    results = passed_by_check([])
    assert not any(results[name] for name in ("late", "served", "back", "attempts", "crossed", "whole"))


def test_requests_in_flight_at_a_killed_balancer_are_excused() -> None:
    kill = event(0.35, "driver", "fault", kind="kill", on=True, targets=["b1"])
    assert passed_by_check([*request_lost(fault_free_history()), kill])["answered"]
    elsewhere = event(0.35, "driver", "fault", kind="kill", on=True, targets=["b0"])
    assert not passed_by_check([*request_lost(fault_free_history()), elsewhere])["answered"]


def test_history_skips_a_truncated_last_line_and_rejects_any_other_invalid_line(tmp_path: Path) -> None:
    clock = RealClock(0.0)
    writer = history.HistoryWriter(tmp_path, "s0", clock, max_bytes=200)
    for number in range(5):
        writer.write("arrived", id=str(number))
    writer.close()
    path = tmp_path / "s0.history.jsonl"
    events = history.read_history(tmp_path)
    assert sum(e["lines"] for e in events if e["what"] == "left_out") + len(events) - 1 == 5
    path.write_bytes(path.read_bytes() + b'{"t": 1, "wh')
    assert history.read_history(tmp_path) == events
    path.write_bytes(b"noise\n" + path.read_bytes())
    with pytest.raises(ValueError, match=r"s0.*line 1 "):
        history.read_history(tmp_path)
