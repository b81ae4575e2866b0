"""What a drill's history says of the list: its versions, who hears of changes, who is taken off it."""

from __future__ import annotations

from collections import defaultdict

from loadbalancer.drill.checks.timeline import (
    SECOND_MS,
    CheckResult,
    Timeline,
    count_violations,
    status_changes,
)
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.tables import DrillScenario

FAULTY_LIST = "odd list"  # the fault of a service that tells what is not so
EXCUSING_FAULTS = (
    "kill",
    "stop",
    "term",
    "list",
)  # what is done to a server that may end its place on the list
EXCUSE_DURATION_S = 5.0  # for so long, and its lease, after the end of that


def check_list_versions(story: Timeline, script: DrillScenario) -> CheckResult:
    """The version of the list that a balancer is told never goes back, unless a drill makes it."""
    back = []
    for balancer, lists in story.list_notifications.items():
        newest: dict[str, int] = {}
        for when, by, index, _, _ in lists:
            if index < newest.get(by, -1) and not _was_faulty(story, by, when):
                at_s = (when - story.start_ms) / SECOND_MS
                back.append(f"{balancer} was told {index} after {newest[by]} by {by}, at {at_s:.2f} s")
            newest[by] = index
    return count_violations("versions", back)


def _was_faulty(story: Timeline, by: str, when: float) -> bool:
    """Whether a service was out of order at a time, or had been before it: it tells what it told then."""
    return any(start <= when for start, _ in story.fault_intervals([FAULTY_LIST], by))


def check_notification_delay(story: Timeline, script: DrillScenario) -> CheckResult:
    """Every drain and removal that operators told was told to each balancer of the tier in time."""
    bound = script.bounds.max_notification_s
    worst, first = 0.0, ""
    fronts = [
        p
        for p in story.location_by_name.values()
        if p.name in story.list_notifications and not _was_down(story, p.name)
    ]
    over = max((e["t"] for e in story.events_by_kind["over"]), default=float("inf"))
    for event in _operator_changes(story) if bound else []:
        (server,) = event["targets"]
        wanted = {event["status"], "terminated"}
        for place in (p for p in fronts if p.tier == story.location_by_name[server].tier):
            times = [
                when - event["t"]
                for when, _, name, status in status_changes(story.list_notifications[place.name])
                if name == server and status in wanted and when >= event["t"]
            ]
            took = min(times, default=over - event["t"]) / SECOND_MS
            if took > worst:
                worst, first = (
                    took,
                    f"{place.name} heard of {server} {event['status']} {story.format_time(event)}",
                )
    return CheckResult("heard", not bound or worst <= bound, worst, bound, first if worst > bound else "")


def _operator_changes(story: Timeline) -> list[Event]:
    return [e for e in story.events_by_kind["fault"] if e["kind"] == "list" and e["on"]]


def _was_down(story: Timeline, name: str) -> bool:
    return bool(story.fault_intervals(("kill", "stop", "term", "replace"), name))


def check_list_request_rate(story: Timeline, script: DrillScenario) -> CheckResult:
    """No balancer asks more often within a second than it needs to: storms show here."""
    most_, first = 0, ""
    away: dict[str, list[float]] = defaultdict(list)
    for event in story.events_by_kind["turned_away"]:
        away[story.location_by_host[event["to"]].name].append(event["t"])
    for balancer, lists in story.list_notifications.items():
        times = sorted([when for when, *_ in lists] + away[balancer])
        begin = 0
        for end, when in enumerate(times):
            while times[begin] < when - SECOND_MS:
                begin += 1
            if end - begin + 1 > most_:
                most_, first = end - begin + 1, f"{balancer} at {(when - story.start_ms) / SECOND_MS:.2f} s"
    bound = script.bounds.max_list_requests
    return CheckResult("asked", most_ <= bound, most_, bound, first if most_ > bound else "")


def check_unrequested_removals(story: Timeline, script: DrillScenario) -> CheckResult:
    """No server is taken off the list that ran all the time, and that nobody took off it."""
    wrong = []
    grace = (script.fleet.lease_s + EXCUSE_DURATION_S) * SECOND_MS
    for balancer, lists in story.list_notifications.items():
        for when, by, server, status in status_changes(lists):
            if status != "terminated" or _was_faulty(story, by, when):
                continue
            if not any(
                start <= when <= end + grace for start, end in story.fault_intervals(EXCUSING_FAULTS, server)
            ):
                at_s = (when - story.start_ms) / SECOND_MS
                wrong.append(f"{balancer} was told by {by} at {at_s:.2f} s that {server} is gone")
    return count_violations("kept", wrong)


def check_drains_stay(story: Timeline, script: DrillScenario) -> CheckResult:
    """A server that a balancer was told drains is never told in service again, but for a new start."""
    wrong = []
    for balancer, lists in story.list_notifications.items():
        draining: set[str] = set()
        for when, by, server, status in status_changes(lists):
            if status == "terminating":
                draining.add(server)
            elif status == "in_service" and server in draining:
                draining.discard(server)
                if not _was_restarted(story, server, when) and not _had_lost_state(story, by, when):
                    at_s = (when - story.start_ms) / SECOND_MS
                    wrong.append(f"{balancer} was told by {by} at {at_s:.2f} s that {server} serves again")
    return count_violations("undone", wrong)


def _was_restarted(story: Timeline, server: str, until: float) -> bool:
    """Whether a server was started anew by then."""
    ends = [end for _, end in story.fault_intervals(("kill",), server)]
    return any(end <= until for end in ends)


def _had_lost_state(story: Timeline, by: str, when: float) -> bool:
    """Whether a service was out of order, or had come back with less than it knew."""
    lost = any(e["t"] <= when and e.get("memory", "kept") != "kept" for e in story.events_by_kind["fault"])
    return lost or _was_faulty(story, by, when)
