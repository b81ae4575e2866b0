"""Checks of the processes: unexpected exits, the balancers' views of each other, and complete histories."""

from __future__ import annotations

from loadbalancer.drill.checks.timeline import CheckResult, Timeline, count_violations
from loadbalancer.drill.scenario.tables import DrillScenario


def check_member_views(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that all balancers agreed in time on the expected state of each other."""
    violations = [
        f"{e['of']} {e['wanted']}: {e['said']} after {e['took_s']} s"
        for e in timeline.events_by_kind["view"]
        if not e["held"]
    ]
    return count_violations("views", violations)


def check_process_exits(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that no balancer or test server exited without being told to."""
    end_ms = timeline.end_ms()
    violations = [
        f"{e['name']} exited with status {e['code']} {timeline.time_of(e)}"
        for e in timeline.events_by_kind["process"]
        if e["state"] == "ended" and not e["wanted"] and e["t"] < end_ms and e["name"] != "clients"
    ]
    return count_violations("standing", violations)


def check_history_is_complete(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that every wish has its `done` event, the drill was completed, and no line was dropped."""
    dropped = sum(e["lines"] for e in timeline.events_by_kind["left_out"])
    missing = scenario.load.requests - len(timeline.events_by_kind["done"])
    missing += not timeline.events_by_kind["over"]
    return CheckResult("whole", dropped + missing == 0, dropped + missing, 0)
