"""Checks of requests: complete answers, single execution, deadlines, success rate, recovery and attempts."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from loadbalancer.drill.checks.timeline import SECOND_MS, CheckResult, Timeline, count_violations
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.tables import DrillScenario

MIN_REQUESTS_PER_SECOND = 5  # first attempts; a second with fewer has no meaningful success rate
CROSSING_WINDOW_MS = 150 + 50
"""The longest time from a request's last byte to its connection's close for the two to have crossed.

A balancer may be delayed by 0.15 s, and each time limit of the platform is 50 ms longer.
"""
EXCUSING_FAULTS = ("kill", "stop")  # of a balancer: they excuse the loss of requests in flight
LATE_TOLERANCE_MS = 50  # for the clients' own delay


def check_answers(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that each request that a balancer accepted has one complete answer."""
    ends = {e["id"]: e for kind in ("answered", "lost", "left") for e in timeline.events_by_kind[kind]}
    excuses = {name: _excuses(timeline, name) for name in timeline.location_by_name}
    violations = []
    for request_id, event in timeline.requests.items():
        end = ends.get(request_id)
        if end is not None and (end["what"] == "answered" or not end.get("sent", True)):
            continue
        until_ms = end["t"] if end else float("inf")
        if not any(begin <= until_ms and event["t"] <= last for begin, last in excuses[event["to"]]):
            how = "has no end" if end is None else end.get("how", "was abandoned")
            violations.append(f"{request_id} at {event['to']} {how}, sent {timeline.time_of(event)}")
    return count_violations("answered", violations, scenario.bounds.max_lost)


def _excuses(timeline: Timeline, balancer: str) -> list[tuple[float, float]]:
    """Return the intervals in which a balancer was killed, paused, or behind a faulty link."""
    link = f"clients>{balancer}"
    link_faults = {e["kind"] for e in timeline.events_by_kind["fault"] if link in e["targets"]}
    return [
        *timeline.fault_intervals(EXCUSING_FAULTS, balancer),
        *timeline.fault_intervals(link_faults, link),
    ]


def check_crossed_requests(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that requests left unanswered by a connection's close crossed that close and were not forwarded.

    Clients with persistent connections send such a request again on another connection.
    """
    forwarded = {event["id"] for event, _ in timeline.arrivals()}
    excuses = {name: _excuses(timeline, name) for name in timeline.location_by_name}
    violations = []
    for event in timeline.events_by_kind["crossed"]:
        if any(begin <= event["t"] <= last for begin, last in excuses[event["to"]]):
            continue
        if event["id"] in forwarded:
            violations.append(f"{event['id']} at {event['to']} was forwarded but not answered")
        elif event["after_ms"] > CROSSING_WINDOW_MS:
            violations.append(f"{event['id']} at {event['to']} was lost after {event['after_ms']:.0f} ms")
    return count_violations("crossings", violations)


def check_answer_origins(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that every successful answer was produced by a server for that very request."""
    executions = {(e["id"], e["run"]) for e in timeline.events_by_kind["ended"] if e["run"]}
    violations = [
        f"{e['id']} {timeline.time_of(e)}: no server produced that answer"
        for e in timeline.events_by_kind["answered"]
        if e["status"] == 200 and (e["id"], e["run"]) not in executions
    ]
    return count_violations("from_servers", violations)


def check_single_execution(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that unsafe requests were executed once for each wish, whatever was retried."""
    unsafe = {c.name for c in scenario.load.classes if c.effect == "unsafe"}
    executions: dict[tuple[str, str], list[Event]] = defaultdict(list)
    for event in timeline.events_by_kind["began"]:
        if event["cls"] in unsafe:
            client_id, _, call = event["id"].partition(".")
            logical_id = timeline.requests.get(client_id, {}).get("wish", client_id)
            executions[str(logical_id), call.partition(".")[0]].append(event)
    violations = [
        f"wish {logical_id} ran at {', '.join(e['who'] for e in events)}, last {timeline.time_of(events[-1])}"
        for (logical_id, _), events in executions.items()
        if len(events) > 1
    ]
    return count_violations("once", violations)


def check_deadlines(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check the fraction of answers that come after the caller's deadline."""
    answers = timeline.events_by_kind["answered"]
    late = [e for e in answers if e["took"] > timeline.requests[e["id"]]["deadline"] + LATE_TOLERANCE_MS]
    fraction = len(late) / len(answers) if answers else 1.0
    first = f"{late[0]['id']} took {late[0]['took']:.0f} ms" if late else ""
    bound = scenario.bounds.max_late
    return CheckResult("late", fraction <= bound, round(fraction, 4), bound, first)


def check_success_rate(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check the fraction of wishes that were served, in time or late."""
    done = timeline.events_by_kind["done"]
    rate = sum(_is_success(e) for e in done) / len(done) if done else 0.0
    failure = next((e for e in done if not _is_success(e)), None)
    first = f"wish {failure['wish']} {failure['ending']} {timeline.time_of(failure)}" if failure else ""
    bound = scenario.bounds.min_served
    return CheckResult("served", rate >= bound, round(rate, 4), bound, first)


def _is_success(done: Event) -> bool:
    return done["ending"] in ("served", "late")


@dataclass
class SuccessCounts:
    """The number of wishes whose first attempt was in one second, and of those that were served."""

    begin_ms: float
    total: int = 0
    served: int = 0


def success_by_second(timeline: Timeline) -> list[SuccessCounts]:
    """Return the counts of each second with a first attempt, in order."""
    seconds: dict[int, SuccessCounts] = {}
    for event in timeline.events_by_kind["done"]:
        number = int((event["first"] - timeline.start_ms) // SECOND_MS)
        counts = seconds.setdefault(number, SuccessCounts(timeline.start_ms + number * SECOND_MS))
        counts.total += 1
        counts.served += _is_success(event)
    return [counts for _, counts in sorted(seconds.items())]


def check_recovery(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check the longest time from a fault, or its end, until the success rate has recovered."""
    seconds = [s for s in success_by_second(timeline) if s.total >= MIN_REQUESTS_PER_SECOND]
    faults = [e for e in timeline.events_by_kind["fault"] if e["t"] >= timeline.start_ms]
    bound = scenario.bounds.max_recovery_s
    if not seconds or not faults:
        return CheckResult(
            "back", bool(seconds), 0.0, bound, "" if seconds else "no second has enough first attempts"
        )
    before = [s for s in seconds if s.begin_ms + SECOND_MS <= faults[0]["t"]] or seconds[:1]
    usual_rate = sum(s.served for s in before) / sum(s.total for s in before)
    min_rate = usual_rate - scenario.bounds.recovery_tolerance
    worst_s, first = 0.0, ""
    for index, fault in enumerate(faults):
        until_ms = faults[index + 1]["t"] if index + 1 < len(faults) else float("inf")
        low = [
            s
            for s in seconds
            if fault["t"] - SECOND_MS < s.begin_ms <= until_ms and s.served / s.total < min_rate
        ]
        took_s = (low[-1].begin_ms + SECOND_MS - fault["t"]) / SECOND_MS if low else 0.0
        if took_s > worst_s:
            state = "on" if fault["on"] else "off"
            worst_s, first = took_s, f"after {fault['kind']} {state} {timeline.time_of(fault)}"
    return CheckResult("back", worst_s <= bound, round(worst_s, 2), bound, first)


def check_attempts(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check the attempts that reached servers of the first tier, for each request that was answered."""
    attempts = [e for e, _ in timeline.arrivals() if timeline.tier_of(e["who"]) == "first"]
    answered_count = len(timeline.events_by_kind["answered"])
    rate, bound = len(attempts) / max(answered_count, 1), scenario.bounds.max_attempts
    return CheckResult("attempts", 0 < rate <= bound, round(rate, 3), bound)
