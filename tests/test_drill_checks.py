"""The checks of a drill, each on a history that passes and on one that breaks it."""

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

SCRIPT = DrillScenario(
    load=ClientLoad(requests=20),
    bounds=Bounds(
        min_served=0.95,
        max_recovery_s=1.0,
        max_list_requests=5,
        max_notification_s=1.0,
        max_direction_changes=2,
    ),
)
START = 1_000_000.0


def event(at_s: float, who: str, what: str, **fields: Any) -> Event:
    return {"t": START + at_s * 1_000, "who": who, "what": what} | fields


def sound_history() -> list[Event]:
    """Two balancers and two servers; a request every tenth of a second, all served."""
    events = [
        event(-2, "driver", "place", name=n, host=h, zone=z, tier="first")
        for n, h, z in (("b0", "h0", "a"), ("b1", "h1", "a"), ("s0", "h2", "a"), ("s1", "h3", "a"))
    ]
    entries = {"s0": "in_service", "s1": "in_service"}
    for host in ("h0", "h1"):
        events.append(event(-1, "list", "told", to=host, index=1, snapshot=True, entries=entries))
    for n in range(20):
        at, balancer, server = n / 10, f"b{n % 2}", f"s{n % 2}"
        number, cls = f"r{n}", "unlock" if n % 5 == 0 else "map"
        ask = {"wish": n, "id": number, "try": 1, "cls": cls, "to": balancer, "deadline": 500.0}
        events += [
            event(at, "clients", "asked", **ask),
            event(at + 0.01, server, "arrived", id=number, cls=cls, work=10.0, **{"from": f"h{n % 2}"}),
            event(at + 0.01, server, "began", id=number, cls=cls),
            event(at + 0.02, server, "ended", id=number, cls=cls, status=200, run=f"made-{n}"),
            event(at + 0.03, "clients", "answered", id=number, status=200, took=30.0, run=f"made-{n}"),
            event(
                at + 0.03, "clients", "done", wish=n, cls=cls, ending="served", took=30.0, tries=1,
                first=START + at * 1_000,
            ),
        ]  # fmt: skip
    return [*events, event(3, "driver", "over")]


def verdicts(events: list[Event]) -> dict[str, bool]:
    ordered = sorted(events, key=lambda e: e["t"])
    return {check.name: check.passed for check in judgement.judge(SCRIPT, ordered)}


def without(events: list[Event], what: str, number: str) -> list[Event]:
    return [e for e in events if (e["what"], e.get("id")) != (what, number)]


def lost(events: list[Event]) -> list[Event]:
    unanswered = without(events, "answered", "r3")
    return [*unanswered, event(0.4, "clients", "lost", id="r3", how="reset", sent=True)]


def unended(events: list[Event]) -> list[Event]:
    return without(events, "answered", "r4")


def forged(events: list[Event]) -> list[Event]:
    return [e | {"run": "made-up"} if (e["what"], e.get("id")) == ("answered", "r5") else e for e in events]


def twice(events: list[Event]) -> list[Event]:
    return [*events, event(0.3, "s1", "began", id="r0", cls="unlock")]


def twice_by_a_retry(events: list[Event]) -> list[Event]:
    ask = {"wish": 5, "id": "r5b", "try": 2, "cls": "unlock", "to": "b0", "deadline": 400.0}
    again = [event(0.6, "clients", "asked", **ask), event(0.61, "s0", "began", id="r5b", cls="unlock")]
    return [*events, *again, event(0.62, "clients", "answered", id="r5b", status=503, took=1.0, run="")]


def drained(events: list[Event]) -> list[Event]:
    entries = {"s1": "terminating"}
    return [*events, event(-0.9, "list", "told", to="h1", index=2, snapshot=False, entries=entries)]


def removed_from_the_list(events: list[Event]) -> list[Event]:
    entries = {"s0": "in_service"}
    return [*events, event(-0.9, "list", "told", to="h1", index=2, snapshot=True, entries=entries)]


def drained_then_stale(events: list[Event]) -> list[Event]:
    entries = {"s0": "in_service", "s1": "in_service"}
    old = event(-0.8, "list", "told", to="h1", index=1, snapshot=True, entries=entries)
    return [*drained(events), old]


def rewound(events: list[Event]) -> list[Event]:
    entries = {"s0": "in_service", "s1": "in_service"}
    return [*events, event(1, "list", "told", to="h1", index=0, snapshot=True, entries=entries)]


def misjudged(events: list[Event]) -> list[Event]:
    view = {"of": "b1", "wanted": "gone", "said": {"b0": "alive"}, "took_s": 5.0, "held": False}
    return [*events, event(1, "driver", "view", **view)]


def cordoned(events: list[Event]) -> list[Event]:
    return [*events, event(-0.5, "driver", "call", to="h0", call="cordon", body="s0", status=200)]


def knocked(events: list[Event]) -> list[Event]:
    return [*drained(without(events, "arrived", "")), event(2, "driver", "knock", link="b1>s1")]


def unnamed(events: list[Event]) -> list[Event]:
    return [e for e in events if e["what"] != "told" or e["to"] != "h0"]


def pushed(events: list[Event]) -> list[Event]:
    up = event(0.1, "s0", "up", cores=1, speed=1.0, cold_from=0.5, cold_ms=3_000.0, since=START + 100)
    heavy = [e | {"work": 2_000.0} if e["what"] == "arrived" and e["who"] == "s0" else e for e in events]
    return [*heavy, up]


def slow(events: list[Event]) -> list[Event]:
    return [e | {"took": 600.0} if e["what"] == "answered" else e for e in events]


def refused(events: list[Event]) -> list[Event]:
    return [e | {"ending": "refused"} if e["what"] == "done" and e["wish"] > 17 else e for e in events]


def not_back(events: list[Event]) -> list[Event]:
    fault = event(0.05, "driver", "fault", kind="kill", on=True, targets=["s0"])
    return [*refused(events), fault]


def repeated(events: list[Event]) -> list[Event]:
    more = [e | {"t": e["t"] + 1} for e in events if e["what"] == "arrived"]
    return [*events, *more]


def crashed(events: list[Event]) -> list[Event]:
    return [*events, event(1, "driver", "process", name="b0", state="ended", code=1, wanted=False)]


def notification(at_s: float, to: str, **entries: str) -> Event:
    return event(at_s, "list", "told", to=to, index=2, snapshot=False, entries=entries)


def unheard(events: list[Event]) -> list[Event]:
    drain = event(0.5, "driver", "fault", kind="list", on=True, targets=["s1"], status="terminating")
    return [*events, drain, notification(0.6, "h0", s1="terminating")]


def storm(events: list[Event]) -> list[Event]:
    return [*events, *(notification(0.1 + n / 100, "h0") for n in range(10))]


def storm_of_failures(events: list[Event]) -> list[Event]:
    return [*events, *(event(0.1 + n / 100, "list", "turned_away", to="h0") for n in range(10))]


def taken_off(events: list[Event]) -> list[Event]:
    return [*events, notification(1.5, "h0", s1="terminated")]


def taken_back(events: list[Event]) -> list[Event]:
    return [*events, notification(1.5, "h0", s1="terminating"), notification(1.7, "h0", s1="in_service")]


def strayed(events: list[Event]) -> list[Event]:
    return [
        *events,
        event(-0.9, "driver", "fault", kind="zone", on=True, targets=["a"], zone="a", over_s=0.0),
    ]


def more_calls(count: int, at_s: float, who: str) -> list[Event]:
    """Calls of b0 at a server, in a tenth of a second."""
    call = {"cls": "map", "work": 1.0, "from": "h0"}
    return [event(at_s + n / count / 10, who, "arrived", id=f"m{at_s}{n}", **call) for n in range(count)]


def two_zones(events: list[Event]) -> list[Event]:
    return [e | {"zone": "b"} if e["what"] == "place" and e["name"] == "s1" else e for e in events]


def at_once(events: list[Event]) -> list[Event]:
    evacuation = event(1.0, "driver", "fault", kind="zone", on=True, targets=["b"], zone="b", over_s=4.0)
    before = more_calls(20, 0.0, "s1") + more_calls(20, 0.5, "s0")
    return [*two_zones(without_calls(events)), *before, evacuation, *more_calls(30, 1.2, "s0")]


def never_back(events: list[Event]) -> list[Event]:
    evacuations = [
        event(at, "driver", "fault", kind="zone", on=on, targets=["b"], zone="b", over_s=0.0)
        for at, on in ((0.6, True), (0.8, False))
    ]
    before = more_calls(20, 0.0, "s1") + more_calls(20, 0.3, "s0")
    return [*two_zones(without_calls(events)), *before, *evacuations, *more_calls(30, 1.5, "s0")]


def swinging(events: list[Event]) -> list[Event]:
    last = event(8.0, "clients", "done", wish=1, cls="map", ending="served", took=1.0, tries=1, first=START)
    calls = [c for n in range(8) for c in more_calls(30, n + 0.2, f"s{n % 2}")]
    return [*two_zones(without_calls(events)), *calls, last]


def without_calls(events: list[Event]) -> list[Event]:
    return [e for e in events if e["what"] != "arrived"]


def cut_off(events: list[Event]) -> list[Event]:
    return [*events, event(1, "clients", "left_out", lines=3)]


def test_sound_history_passes_every_check() -> None:
    assert [name for name, passed in verdicts(sound_history()).items() if not passed] == []


@pytest.mark.parametrize(
    ("broken", "name"),
    [
        (lost, "answered"), (unended, "answered"), (forged, "from_servers"), (twice, "once"),
        (twice_by_a_retry, "once"), (drained, "drains"), (removed_from_the_list, "drains"),
        (drained_then_stale, "drains"), (cordoned, "drains"), (knocked, "drains"), (unnamed, "named"),
        (pushed, "cold"), (slow, "late"), (refused, "served"), (not_back, "back"), (repeated, "attempts"),
        (crashed, "standing"), (rewound, "versions"), (misjudged, "views"), (cut_off, "whole"),
        (unheard, "heard"), (storm, "asked"), (storm_of_failures, "asked"), (taken_off, "kept"),
        (taken_back, "undone"), (strayed, "left"), (never_back, "left"), (at_once, "ramps"),
        (swinging, "swings"),
    ],
)  # fmt: skip
def test_broken_history_fails_the_check_meant_for_it(
    broken: Callable[[list[Event]], list[Event]], name: str
) -> None:
    assert not verdicts(broken(sound_history()))[name]


def test_server_that_was_killed_may_leave_the_list_and_serve_again() -> None:
    kill = event(1.0, "driver", "fault", kind="kill", on=True, targets=["s1"])
    assert verdicts([*taken_off(sound_history()), kill])["kept"]
    started = [kill, event(1.6, "driver", "fault", kind="kill", on=False, targets=["s1"], memory="kept")]
    assert verdicts([*taken_back(sound_history()), *started])["undone"], "a new start serves again"
    lie = event(1.4, "driver", "fault", kind="odd list", on=True, targets=["list"], state="stale")
    assert verdicts([*taken_back(sound_history()), lie])["undone"]


def test_empty_history_fails_the_checks_that_need_requests() -> None:
    verdict = verdicts([])
    assert not any(verdict[name] for name in ("late", "served", "back", "attempts", "crossed", "whole"))


def test_requests_in_flight_at_a_killed_balancer_are_excused() -> None:
    kill = event(0.35, "driver", "fault", kind="kill", on=True, targets=["b1"])
    assert verdicts([*lost(sound_history()), kill])["answered"]
    elsewhere = event(0.35, "driver", "fault", kind="kill", on=True, targets=["b0"])
    assert not verdicts([*lost(sound_history()), elsewhere])["answered"]


def test_history_skips_a_last_line_that_was_cut_off_and_rejects_any_other(tmp_path: Path) -> None:
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
