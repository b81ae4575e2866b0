"""All checks of a drill; each is computed from the history's events alone.

A request is one attempt of a client, with its own id; a wish is a logical request with all its attempts.
Balancers that were killed, paused or cut off from their clients are excused for requests then in flight.
"""

from __future__ import annotations

from collections.abc import Callable

from loadbalancer.drill.checks import endpoint_lists, processes, requests, servers, zones
from loadbalancer.drill.checks.timeline import CheckResult, Timeline
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.tables import DrillScenario

CHECKS: tuple[Callable[[Timeline, DrillScenario], CheckResult], ...] = (
    requests.check_answers,
    requests.check_answer_origins,
    requests.check_single_execution,
    servers.check_drained_servers,
    servers.check_listed_servers,
    servers.check_warming_up_servers,
    requests.check_deadlines,
    requests.check_success_rate,
    requests.check_recovery,
    requests.check_attempts,
    zones.check_cross_zone_calls,
    processes.check_member_views,
    endpoint_lists.check_list_versions,
    endpoint_lists.check_list_request_rate,
    endpoint_lists.check_notification_delay,
    endpoint_lists.check_unrequested_removals,
    endpoint_lists.check_drains_stay,
    zones.check_evacuation,
    zones.check_evacuation_ramp,
    zones.check_zone_oscillation,
    processes.check_process_exits,
    processes.check_history_is_complete,
)


def judge(scenario: DrillScenario, events: list[Event]) -> list[CheckResult]:
    """Return the results of all checks of a drill's history."""
    timeline = Timeline(events)
    checks = CHECKS
    if scenario.load.persistent_connections:
        checks += (requests.check_crossed_requests,)
    return [check(timeline, scenario) for check in checks]
