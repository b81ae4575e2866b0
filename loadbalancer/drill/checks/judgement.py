"""What a drill's history says of the balancers: each check reads the events alone.

A request is what clients ask for by one id, a wish all tries for the same thing. Balancers that were killed,
stopped or cut off from their clients are not blamed for what they held at that time.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Callable

from loadbalancer.drill.checks.endpoint_lists import (
    check_drains_stay,
    check_list_request_rate,
    check_list_versions,
    check_notification_delay,
    check_unrequested_removals,
)
from loadbalancer.drill.checks.timeline import (
    SECOND_MS,
    CheckResult,
    Timeline,
    count_violations,
    status_changes,
    without_outdated,
)
from loadbalancer.drill.checks.zones import check_evacuation, check_evacuation_ramp, check_zone_oscillation
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.tables import DrillScenario

MIN_REQUESTS_PER_SECOND = 5  # first tries, below which a second's share says nothing
EXCUSING_FAULTS = ("kill", "stop")  # what is done to a balancer that excuses the loss of what it held
NOT_WITHDRAWN = float("-inf")


def judge(script: DrillScenario, events: list[Event]) -> list[CheckResult]:
    """All checks of a drill's history."""
    story = Timeline(events)
    return [check(story, script) for check in CHECKS]


# ---- what each looks at ---------------------------------------------------------------------------


def check_answers(story: Timeline, script: DrillScenario) -> CheckResult:
    """Each request that a balancer took has one whole answer."""
    excuses = {
        name: [
            *story.fault_intervals(EXCUSING_FAULTS, name),
            *story.fault_intervals(_link_faults(story, f"clients>{name}"), f"clients>{name}"),
        ]
        for name in story.location_by_name
    }
    ends = {e["id"]: e for kind in ("answered", "lost", "left") for e in story.events_by_kind[kind]}
    lost = []
    for number, event in story.requests.items():
        end = ends.get(number)
        if end is not None and (end["what"] == "answered" or not end.get("sent", True)):
            continue
        until = end["t"] if end else float("inf")
        if not any(begin <= until and event["t"] <= last for begin, last in excuses[event["to"]]):
            how = "has no end" if end is None else end.get("how", "was left")
            lost.append(f"{number} at {event['to']} {how}, asked {story.format_time(event)}")
    return count_violations("answered", lost, script.bounds.max_lost)


def _link_faults(story: Timeline, link: str) -> set[str]:
    return {e["kind"] for e in story.events_by_kind["fault"] if link in e["targets"]}


def check_answer_origins(story: Timeline, script: DrillScenario) -> CheckResult:
    """What was passed on as served was made by a server for this very request."""
    made = {(e["id"], e["run"]) for e in story.events_by_kind["ended"] if e["run"]}
    wrong = [
        f"{e['id']} {story.format_time(e)}: no server made that answer"
        for e in story.events_by_kind["answered"]
        if e["status"] == 200 and (e["id"], e["run"]) not in made
    ]
    return count_violations("from_servers", wrong)


def check_single_execution(story: Timeline, script: DrillScenario) -> CheckResult:
    """What is unsafe to repeat ran once for each wish, whatever was retried."""
    unsafe = {c.name for c in script.load.classes if c.effect == "unsafe"}
    runs: dict[tuple[str, str], list[Event]] = defaultdict(list)
    for event in story.events_by_kind["began"]:
        if event["cls"] in unsafe:
            client_id, _, call = event["id"].partition(".")
            wish = story.requests.get(client_id, {}).get("wish", client_id)
            runs[str(wish), call.partition(".")[0]].append(event)
    twice = [
        f"wish {wish} ran at {', '.join(e['who'] for e in found)}, then {story.format_time(found[-1])}"
        for (wish, _), found in runs.items()
        if len(found) > 1
    ]
    return count_violations("once", twice)


def _withdrawals(story: Timeline) -> dict[tuple[str, str], list[tuple[float, bool]]]:
    """For each balancer and server: when it was told that the server is out, and that it is in again.

    A list that is older than one told before says nothing. What operators take out is out until they put it
    back, whatever lists say.
    """
    changes: dict[tuple[str, str], list[tuple[float, bool]]] = defaultdict(list)
    for balancer, lists in story.list_notifications.items():
        last: dict[str, str] = {}
        for when, _, server, status in status_changes(without_outdated(lists)):
            if last.get(server) != status:
                changes[balancer, server].append((when, status != "in_service"))
            last[server] = status
    for event in story.events_by_kind["call"]:
        if event["status"] == 200 and event["call"] in ("cordon", "uncordon"):
            place = story.location_by_host[event["to"]]
            changes[place.name, event["body"]].append((event["t"], event["call"] == "cordon"))
    return {key: sorted(times) for key, times in changes.items()}


def check_drained_servers(story: Timeline, script: DrillScenario) -> CheckResult:
    """Nothing is sent to a server that drains, is out or is gone, past the grace."""
    grace = (script.bounds.drain_grace_s + script.bounds.scheduling_slack_s) * SECOND_MS
    changes = _withdrawals(story)
    check_deadlines = []

    def out_for(balancer: str, server: str, when: float) -> float:
        times = changes.get((balancer, server), [])
        index = bisect.bisect_right(times, (when, True)) - 1
        return when - times[index][0] if index >= 0 and times[index][1] else NOT_WITHDRAWN

    for event, balancer in story.arrivals():
        since = out_for(balancer, event["who"], event["t"])
        if since > grace:
            check_deadlines.append(
                f"{balancer} sent {event['id']} to {event['who']} {since / SECOND_MS:.2f} s after the word"
            )
    for event in story.events_by_kind["knock"]:
        balancer, _, server = event["link"].partition(">")
        since = out_for(balancer, server, event["t"])
        if since > grace:
            check_deadlines.append(f"{balancer} called {server} {since / SECOND_MS:.2f} s after it was gone")
    return count_violations("drains", check_deadlines)


def check_listed_servers(story: Timeline, script: DrillScenario) -> CheckResult:
    """Nothing is sent to a server that no list has named."""
    first: dict[tuple[str, str], float] = {}
    for balancer, lists in story.list_notifications.items():
        for when, _, _, _, entries in lists:
            for server in entries:
                first.setdefault((balancer, server), when)
    wrong = [
        f"{balancer} sent {event['id']} to {event['who']} {story.format_time(event)}"
        for event, balancer in story.arrivals()
        if event["t"] < first.get((balancer, event["who"]), float("inf"))
    ]
    return count_violations("named", wrong)


def check_warming_up_servers(story: Timeline, script: DrillScenario) -> CheckResult:
    """No cold server gets more work than the bound, by all balancers together."""
    window = script.bounds.overload_window_s * SECOND_MS
    worst, first = 0.0, ""
    for up in story.events_by_kind["up"]:
        if not up["since"]:
            continue
        got: list[tuple[float, float]] = []
        ends = up["since"] + up["cold_ms"]
        for event in story.events_by_kind["arrived"]:
            if event["who"] != up["who"] or not up["t"] <= event["t"] < ends:
                continue
            got.append((event["t"], event["work"]))
            work = sum(w for t, w in got if t > event["t"] - window)
            warmth = up["cold_from"] + (1 - up["cold_from"]) * (event["t"] - up["since"]) / up["cold_ms"]
            multiple = work / (window * up["cores"] * up["speed"] * warmth)
            if multiple > worst:
                worst, first = multiple, f"{up['who']} {story.format_time(event)}"
    bound = script.bounds.max_overload_factor
    return CheckResult("cold", worst <= bound, round(worst, 3), bound, first if worst > bound else "")


def check_deadlines(story: Timeline, script: DrillScenario) -> CheckResult:
    """Answers come within the caller's time, but for a share."""
    answers = [(e, story.requests[e["id"]]) for e in story.events_by_kind["answered"]]
    over = [
        e for e, check_list_request_rate in answers if e["took"] > check_list_request_rate["deadline"] + 50
    ]
    share = len(over) / len(answers) if answers else 1.0
    first = f"{over[0]['id']} took {over[0]['took']:.0f} ms" if over else ""
    return CheckResult(
        "late", share <= script.bounds.max_late, round(share, 4), script.bounds.max_late, first
    )


def check_success_rate(story: Timeline, script: DrillScenario) -> CheckResult:
    """The share of wishes that were served, late or not."""
    done = story.events_by_kind["done"]
    share = sum(_is_success(e) for e in done) / len(done) if done else 0.0
    bad = next((e for e in done if not _is_success(e)), None)
    first = f"wish {bad['wish']} {bad['ending']} {story.format_time(bad)}" if bad else ""
    return CheckResult(
        "served", share >= script.bounds.min_served, round(share, 4), script.bounds.min_served, first
    )


def _is_success(done: Event) -> bool:
    return done["ending"] in ("served", "late")


def success_by_second(story: Timeline) -> list[tuple[float, int, int]]:
    """Each second from the first try on, by when a wish was first asked: its begin, wishes, those served."""
    bins: dict[int, list[int]] = defaultdict(lambda: [0, 0])
    for event in story.events_by_kind["done"]:
        found = bins[int((event["first"] - story.start_ms) // SECOND_MS)]
        found[0] += 1
        found[1] += _is_success(event)
    return [(story.start_ms + i * SECOND_MS, count, good) for i, (count, good) in sorted(bins.items())]


def check_recovery(story: Timeline, script: DrillScenario) -> CheckResult:
    """The longest time after a fault, or its end, until the share served is back to what it was."""
    bins = [b for b in success_by_second(story) if b[1] >= MIN_REQUESTS_PER_SECOND]
    faults = [e for e in story.events_by_kind["fault"] if e["t"] >= story.start_ms]
    bound = script.bounds.max_recovery_s
    if not bins or not faults:
        return CheckResult("back", bool(bins), 0.0, bound, "" if bins else "no second has enough first tries")
    before = [b for b in bins if b[0] + SECOND_MS <= faults[0]["t"]] or bins[:1]
    usual = sum(good for _, _, good in before) / sum(count for _, count, _ in before)
    wanted = usual - script.bounds.recovery_tolerance
    worst, first = 0.0, ""
    for index, fault in enumerate(faults):
        until = faults[index + 1]["t"] if index + 1 < len(faults) else float("inf")
        bad = [b for b in bins if fault["t"] - SECOND_MS < b[0] <= until and b[2] / b[1] < wanted]
        took = (bad[-1][0] + SECOND_MS - fault["t"]) / SECOND_MS if bad else 0.0
        if took > worst:
            worst, first = (
                took,
                f"after {fault['kind']} {'on' if fault['on'] else 'off'} {story.format_time(fault)}",
            )
    return CheckResult("back", worst <= bound, round(worst, 2), bound, first)


def check_attempts(story: Timeline, script: DrillScenario) -> CheckResult:
    """Attempts that reached servers of the first tier, for each request that a balancer answered."""
    first = [e for e, b in story.arrivals() if story.location_by_name[e["who"]].tier == "first"]
    taken = len(story.events_by_kind["answered"])
    rate, bound = len(first) / max(taken, 1), script.bounds.max_attempts
    return CheckResult("attempts", 0 < rate <= bound, round(rate, 3), bound)


def check_cross_zone_calls(story: Timeline, script: DrillScenario) -> CheckResult:
    """The share of calls that went to a server of another zone than the balancer's."""
    calls = [
        (story.location_by_name[b].zone, story.location_by_name[e["who"]].zone) for e, b in story.arrivals()
    ]
    share, bound = (
        sum(one != other for one, other in calls) / max(len(calls), 1),
        script.bounds.max_cross_zone,
    )
    return CheckResult("crossed", bool(calls) and share <= bound, round(share, 3), bound)


def check_member_views(story: Timeline, script: DrillScenario) -> CheckResult:
    """What balancers were expected to believe of one another, they all did in time."""
    wrong = [
        f"{e['of']} {e['wanted']}: {e['said']} after {e['took_s']} s"
        for e in story.events_by_kind["view"]
        if not e["held"]
    ]
    return count_violations("views", wrong)


def check_process_exits(story: Timeline, script: DrillScenario) -> CheckResult:
    """No balancer or stand-in ended that nobody had told to."""
    over = max((e["t"] for e in story.events_by_kind["over"]), default=float("inf"))
    ends = [
        f"{e['name']} ended with status {e['code']} {story.format_time(e)}"
        for e in story.events_by_kind["process"]
        if e["state"] == "ended" and not e["wanted"] and e["t"] < over and e["name"] != "clients"
    ]
    return count_violations("standing", ends)


def check_history_is_complete(story: Timeline, script: DrillScenario) -> CheckResult:
    """The history holds all: every wish has its end, the drill was over, nothing was left out."""
    check_evacuation = sum(e["lines"] for e in story.events_by_kind["left_out"])
    missing = script.load.requests - len(story.events_by_kind["done"]) + (not story.events_by_kind["over"])
    return CheckResult("whole", check_evacuation + missing == 0, check_evacuation + missing, 0)


CHECKS: tuple[Callable[[Timeline, DrillScenario], CheckResult], ...] = (
    check_answers, check_answer_origins, check_single_execution, check_drained_servers, check_listed_servers, check_warming_up_servers, check_deadlines, check_success_rate, check_recovery, check_attempts, check_cross_zone_calls,
    check_member_views, check_list_versions, check_list_request_rate, check_notification_delay, check_unrequested_removals, check_drains_stay, check_evacuation, check_evacuation_ramp, check_zone_oscillation, check_process_exits, check_history_is_complete,
)  # fmt: skip
