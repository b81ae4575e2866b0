"""Checks of the endpoint list: version order, notification of balancers, and removal of servers."""

from __future__ import annotations

from collections import defaultdict

from loadbalancer.drill.checks.timeline import (
    SECOND_MS,
    CheckResult,
    StatusChange,
    Timeline,
    check_maximum,
    count_violations,
    status_changes,
)
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.tables import DrillScenario

FAULTY_LIST = "odd list"  # the fault of an endpoint list that gives wrong answers
EXCUSING_FAULTS = ("kill", "stop", "term", "list")  # of a server: its removal from the list is then expected
EXCUSE_DURATION_S = 5.0  # in addition to the lease, after the end of such a fault


def check_list_versions(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that the version that a balancer receives never decreases, unless the drill injects that."""
    violations = []
    for balancer, notifications in timeline.list_notifications.items():
        newest: dict[str, int] = {}
        for update in notifications:
            source, index = update.source, update.index
            if index < newest.get(source, -1) and not _was_faulty(timeline, source, update.at_ms):
                at_s = timeline.seconds(update.at_ms)
                violations.append(
                    f"{balancer} received {index} after {newest[source]} from {source}, at {at_s:.2f} s"
                )
            newest[source] = index
    return count_violations("versions", violations)


def _was_faulty(timeline: Timeline, source: str, at_ms: float) -> bool:
    """Return whether a list server was faulty at or before a time: it may repeat its answers from then."""
    return any(begin <= at_ms for begin, _ in timeline.fault_intervals([FAULTY_LIST], source))


def check_notification_delay(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that all balancers of the tier were notified in time of each drain and removal by operators."""
    bound = scenario.bounds.max_notification_s
    if not bound:
        return CheckResult("heard", True, 0.0, bound)
    worst_s, first = 0.0, ""
    balancers = [
        location
        for location in timeline.location_by_name.values()
        if location.name in timeline.list_notifications and not _was_down(timeline, location.name)
    ]
    for event in timeline.events_by_kind["fault"]:
        if event["kind"] != "list" or not event["on"]:
            continue
        (server,) = event["targets"]
        for balancer in (b for b in balancers if b.tier == timeline.tier_of(server)):
            took_s = _notification_delay_s(timeline, event, server, balancer.name)
            if took_s > worst_s:
                description = f"{balancer.name} was notified of {server} {event['status']}"
                worst_s, first = took_s, f"{description} {timeline.time_of(event)}"
    return check_maximum("heard", worst_s, bound, first)


def _notification_delay_s(timeline: Timeline, event: Event, server: str, balancer: str) -> float:
    """Return the time from a change until a balancer received it, or until the end if it never did."""
    expected = {event["status"], "terminated"}
    delays_ms = [
        change.at_ms - event["t"]
        for change in status_changes(timeline.list_notifications[balancer])
        if change.server == server and change.status in expected and change.at_ms >= event["t"]
    ]
    return float(min(delays_ms, default=timeline.end_ms() - event["t"])) / SECOND_MS


def _was_down(timeline: Timeline, name: str) -> bool:
    return bool(timeline.fault_intervals(("kill", "stop", "term", "replace"), name))


def check_list_request_rate(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that no balancer requests the list too often within a second, as in a request storm."""
    worst, first = 0, ""
    rejections: dict[str, list[float]] = defaultdict(list)
    for event in timeline.events_by_kind["turned_away"]:
        rejections[timeline.location_by_host[event["to"]].name].append(event["t"])
    for balancer, notifications in timeline.list_notifications.items():
        times = sorted([update.at_ms for update in notifications] + rejections[balancer])
        begin = 0
        for end, at_ms in enumerate(times):
            while times[begin] < at_ms - SECOND_MS:
                begin += 1
            if end - begin + 1 > worst:
                worst, first = end - begin + 1, f"{balancer} at {timeline.seconds(at_ms):.2f} s"
    return check_maximum("asked", worst, scenario.bounds.max_list_requests, first)


def check_unrequested_removals(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that no server is removed from the list that ran all the time and that nobody removed."""
    grace_ms = (scenario.fleet.lease_s + EXCUSE_DURATION_S) * SECOND_MS
    violations = []
    for balancer, notifications in timeline.list_notifications.items():
        for change in status_changes(notifications):
            if change.status != "terminated" or _was_faulty(timeline, change.source, change.at_ms):
                continue
            intervals = timeline.fault_intervals(EXCUSING_FAULTS, change.server)
            if not any(begin <= change.at_ms <= end + grace_ms for begin, end in intervals):
                violations.append(f"{_describe_change(timeline, balancer, change)} is gone")
    return count_violations("kept", violations)


def check_drains_stay(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that a server that was draining for a balancer is in service again only after a restart."""
    violations = []
    for balancer, notifications in timeline.list_notifications.items():
        draining: set[str] = set()
        for change in status_changes(notifications):
            if change.status == "terminating":
                draining.add(change.server)
            elif change.status == "in_service" and change.server in draining:
                draining.discard(change.server)
                if not _was_restarted(timeline, change) and not _had_lost_state(timeline, change):
                    violations.append(f"{_describe_change(timeline, balancer, change)} is in service again")
    return count_violations("undone", violations)


def _describe_change(timeline: Timeline, balancer: str, change: StatusChange) -> str:
    at_s = timeline.seconds(change.at_ms)
    return f"{balancer} was notified by {change.source} at {at_s:.2f} s that {change.server}"


def _was_restarted(timeline: Timeline, change: StatusChange) -> bool:
    """Return whether the server was restarted before a change: after a kill, or after it was removed."""
    starts = [
        event
        for event in timeline.events_by_kind["process"]
        if event["name"] == change.server and event["state"] == "started" and event["t"] <= change.at_ms
    ]
    was_killed = any(end <= change.at_ms for _, end in timeline.fault_intervals(("kill",), change.server))
    return was_killed or len(starts) > 1


def _had_lost_state(timeline: Timeline, change: StatusChange) -> bool:
    """Return whether the list was faulty, or a registry had restarted with an old or empty database."""
    has_lost_state = any(
        e["t"] <= change.at_ms and e.get("memory", "kept") != "kept" for e in timeline.events_by_kind["fault"]
    )
    return has_lost_state or _was_faulty(timeline, change.source, change.at_ms)
