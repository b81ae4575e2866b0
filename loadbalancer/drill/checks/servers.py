"""Checks of the calls that servers get: none while draining or unlisted, and few while warming up."""

from __future__ import annotations

import bisect
from collections import defaultdict

from loadbalancer.drill.checks.timeline import (
    SECOND_MS,
    CheckResult,
    Timeline,
    count_violations,
    status_changes,
    without_outdated,
)
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.tables import DrillScenario

NOT_WITHDRAWN = float("-inf")


class Withdrawals:
    """When each balancer was notified that a server is out of service, and that it is in service again.

    A list that is older than one received before is ignored. A server that operators cordon is out of service
    until they uncordon it, whatever its status in lists.
    """

    def __init__(self, timeline: Timeline) -> None:
        changes: dict[tuple[str, str], list[tuple[float, bool]]] = defaultdict(list)
        for balancer, notifications in timeline.list_notifications.items():
            last: dict[str, str] = {}
            for change in status_changes(without_outdated(notifications)):
                if last.get(change.server) != change.status:
                    is_withdrawn = change.status != "in_service"
                    changes[balancer, change.server].append((change.at_ms, is_withdrawn))
                last[change.server] = change.status
        for event in timeline.events_by_kind["call"]:
            if event["status"] == 200 and event["call"] in ("cordon", "uncordon"):
                balancer = timeline.location_by_host[event["to"]].name
                changes[balancer, event["body"]].append((event["t"], event["call"] == "cordon"))
        self._changes = {key: sorted(times) for key, times in changes.items()}

    def duration_ms(self, balancer: str, server: str, at_ms: float) -> float:
        """Return how long a server had been withdrawn for a balancer; NOT_WITHDRAWN if it was in service."""
        times = self._changes.get((balancer, server), [])
        index = bisect.bisect_right(times, (at_ms, True)) - 1
        return at_ms - times[index][0] if index >= 0 and times[index][1] else NOT_WITHDRAWN


def check_drained_servers(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that nothing is sent to a draining, cordoned or removed server after the grace."""
    grace_ms = (scenario.bounds.drain_grace_s + scenario.bounds.scheduling_slack_s) * SECOND_MS
    withdrawals = Withdrawals(timeline)
    violations = []
    for event, balancer in timeline.arrivals():
        withdrawn_ms = withdrawals.duration_ms(balancer, event["who"], event["t"])
        if withdrawn_ms > grace_ms:
            withdrawn_s = withdrawn_ms / SECOND_MS
            violations.append(
                f"{balancer} sent {event['id']} to {event['who']} {withdrawn_s:.2f} s after its withdrawal"
            )
    for event in timeline.events_by_kind["knock"]:
        balancer, _, server = event["link"].partition(">")
        withdrawn_ms = withdrawals.duration_ms(balancer, server, event["t"])
        if withdrawn_ms > grace_ms:
            violations.append(
                f"{balancer} called {server} {withdrawn_ms / SECOND_MS:.2f} s after its withdrawal"
            )
    return count_violations("drains", violations)


def check_listed_servers(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that nothing is sent to a server before a list contains it."""
    first_listed_ms: dict[tuple[str, str], float] = {}
    for balancer, notifications in timeline.list_notifications.items():
        for update in notifications:
            for server in update.statuses:
                first_listed_ms.setdefault((balancer, server), update.at_ms)
    violations = [
        f"{balancer} sent {event['id']} to {event['who']} {timeline.time_of(event)}"
        for event, balancer in timeline.arrivals()
        if event["t"] < first_listed_ms.get((balancer, event["who"]), float("inf"))
    ]
    return count_violations("named", violations)


def check_warming_up_servers(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that no server that warms up gets more work from all balancers than the bound."""
    window_ms = scenario.bounds.overload_window_s * SECOND_MS
    worst, first = 0.0, ""
    for start in timeline.events_by_kind["up"]:
        for event, factor in _overload_factors(timeline, start, window_ms) if start["since"] else ():
            if factor > worst:
                worst, first = factor, f"{start['who']} {timeline.time_of(event)}"
    bound = scenario.bounds.max_overload_factor
    return CheckResult("cold", worst <= bound, round(worst, 3), bound, first if worst > bound else "")


def _overload_factors(timeline: Timeline, start: Event, window_ms: float) -> list[tuple[Event, float]]:
    """Return, for each arrival during a server's warm-up, the work of the window relative to its capacity."""
    factors = []
    arrivals: list[tuple[float, float]] = []
    warm_ms = start["since"] + start["cold_ms"]
    for event in timeline.events_by_kind["arrived"]:
        if event["who"] != start["who"] or not start["t"] <= event["t"] < warm_ms:
            continue
        arrivals.append((event["t"], event["work"]))
        work_ms = sum(work for at_ms, work in arrivals if at_ms > event["t"] - window_ms)
        warm_up = (event["t"] - start["since"]) / start["cold_ms"]
        warm_up_fraction = start["cold_from"] + (1 - start["cold_from"]) * warm_up
        capacity_ms = window_ms * start["cores"] * start["speed"] * warm_up_fraction
        factors.append((event, work_ms / capacity_ms))
    return factors
