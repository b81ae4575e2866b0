"""What a drill's history says of zones: left and come back to in steps, and not to and fro."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from loadbalancer.drill.checks.timeline import SECOND_MS, CheckResult, Timeline, count_violations
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.tables import DrillScenario
from loadbalancer.simulation.direction_changes import turns

MIN_CALLS = 15  # calls in a span, below which a zone's part says nothing
SETTLE_S = 0.5  # between an operators' call and the first calls that follow it
MIN_CHANGE = 0.15  # a turn of a zone's part within a second that is smaller is chance


def _calls_by_zone(story: Timeline, since: float, until: float) -> Counter[str]:
    """Calls of the first tier's balancers to each zone in a span."""
    return Counter(
        story.location_by_name[event["who"]].zone
        for event, balancer in story.arrivals()
        if since <= event["t"] < until and story.location_by_name[balancer].tier == "first"
    )


def _zone_fraction(story: Timeline, zone: str, since: float, until: float) -> float | None:
    counts = _calls_by_zone(story, since, until)
    return counts[zone] / counts.total() if counts.total() >= MIN_CALLS else None


def _evacuations(story: Timeline) -> Iterator[tuple[Event, str, float, float, float]]:
    """Each move of a zone: its event, zone, when it began and was over, and when the next one begins."""
    moves = [e for e in story.events_by_kind["fault"] if e["kind"] == "zone"]
    over = max((e["t"] for e in story.events_by_kind["done"]), default=0.0)
    for number, event in enumerate(moves):
        later = [e["t"] for e in moves[number + 1 :] if e["zone"] == event["zone"]]
        end = event["t"] + event["over_s"] * SECOND_MS
        yield event, event["zone"], event["t"], end, min([*later, over])


def check_evacuation(story: Timeline, script: DrillScenario) -> CheckResult:
    """Nothing goes to a zone that has been left, and its calls are back when it has been come back to."""
    wrong = []
    for event, zone, began, end, until in _evacuations(story):
        settled = end + SETTLE_S * SECOND_MS
        if event["on"]:
            strays = _calls_by_zone(story, settled, until)[zone]
            wrong += (
                [f"{strays} calls went to {zone} after it was left {story.format_time(event)}"]
                if strays
                else []
            )
            continue
        before = _zone_fraction(story, zone, story.start_ms, _first_evacuation_ms(story, zone))
        now = _zone_fraction(story, zone, settled, until)
        if before is not None and now is not None and now < before / 2:
            wrong.append(f"{zone} gets {now:.0%} of calls, {before:.0%} before it was left")
        if began >= until:
            wrong.append(f"the move of {zone} {story.format_time(event)} was never over")
    return count_violations("left", wrong)


def _first_evacuation_ms(story: Timeline, zone: str) -> float:
    moves = [e for e in story.events_by_kind["fault"] if e["kind"] == "zone" and e["zone"] == zone]
    return min(float(e["t"]) for e in moves)


def check_evacuation_ramp(story: Timeline, script: DrillScenario) -> CheckResult:
    """A zone is left, and come back to, in steps: a quarter into a move, most is still as it was."""
    wrong = []
    for event, zone, began, end, _ in _evacuations(story):
        if event["over_s"] <= 0:
            continue
        usual = _zone_fraction(story, zone, story.start_ms, _first_evacuation_ms(story, zone))
        early = _zone_fraction(story, zone, began, began + (end - began) / 4)
        if usual is None or early is None:
            continue
        moved = 1 - early / usual if event["on"] else early / usual
        if moved > 0.6:
            wrong.append(
                f"{zone}: {moved:.0%} of the move {story.format_time(event)} was done in its first quarter"
            )
    return count_violations("ramps", wrong)


def check_zone_oscillation(story: Timeline, script: DrillScenario) -> CheckResult:
    """No zone's part of all calls turns more often than the drill allows."""
    worst, first = 0, ""
    last = max((e["t"] for e in story.events_by_kind["done"]), default=story.start_ms)
    seconds = [story.start_ms + s * SECOND_MS for s in range(int((last - story.start_ms) / SECOND_MS))]
    calls = [
        counts for at in seconds if (counts := _calls_by_zone(story, at, at + SECOND_MS)).total() >= MIN_CALLS
    ]
    for zone in sorted({p.zone for p in story.location_by_name.values() if p.zone}):
        parts = [counts[zone] / counts.total() for counts in calls]
        count = turns(parts, MIN_CHANGE)
        if count > worst:
            worst, first = count, f"{zone}: {' '.join(f'{p:.2f}' for p in parts)}"
    bound = script.bounds.max_direction_changes
    return CheckResult("swings", worst <= bound, worst, bound, first if worst > bound else "")
