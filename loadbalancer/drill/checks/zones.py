"""Checks of zones: gradual evacuation and return, oscillation, and cross-zone calls."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from loadbalancer.drill.checks.timeline import (
    SECOND_MS,
    CheckResult,
    Timeline,
    check_maximum,
    count_violations,
)
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.tables import DrillScenario
from loadbalancer.simulation.direction_changes import count_direction_changes

MIN_CALLS = 15  # in an interval; with fewer, a zone's fraction is not meaningful
SETTLE_S = 0.5  # after an evacuation or return, before calls are expected to follow it
MIN_SWING = 0.15  # smaller changes of a zone's fraction within a second are random
MAX_EARLY_PROGRESS = 0.6  # the greatest part of an evacuation allowed in its first quarter


def _calls_by_zone(timeline: Timeline, begin_ms: float, end_ms: float) -> Counter[str]:
    """Count the calls of the first tier's balancers to each zone in an interval."""
    return Counter(
        timeline.zone_of(event["who"])
        for event, balancer in timeline.arrivals()
        if begin_ms <= event["t"] < end_ms and timeline.tier_of(balancer) == "first"
    )


def _zone_fraction(timeline: Timeline, zone: str, begin_ms: float, end_ms: float) -> float | None:
    """Return a zone's fraction of all calls in an interval; None if there are too few."""
    counts = _calls_by_zone(timeline, begin_ms, end_ms)
    return counts[zone] / counts.total() if counts.total() >= MIN_CALLS else None


@dataclass(frozen=True)
class Evacuation:
    """An evacuation of a zone by operators, or a return to it."""

    event: Event
    zone: str
    begin_ms: float
    end_ms: float
    until_ms: float
    """When the next one of the same zone begins, or the last request is done."""

    @property
    def is_return(self) -> bool:
        """Whether it is a return to the zone."""
        return not self.event["on"]


def _evacuations(timeline: Timeline) -> Iterator[Evacuation]:
    events = [e for e in timeline.events_by_kind["fault"] if e["kind"] == "zone"]
    load_end_ms = max((e["t"] for e in timeline.events_by_kind["done"]), default=0.0)
    for number, event in enumerate(events):
        later = [e["t"] for e in events[number + 1 :] if e["zone"] == event["zone"]]
        end_ms = event["t"] + event["over_s"] * SECOND_MS
        yield Evacuation(event, event["zone"], event["t"], end_ms, min([*later, load_end_ms]))


def _usual_fraction(timeline: Timeline, zone: str) -> float | None:
    """Return a zone's fraction of all calls before it was first evacuated."""
    events = [e for e in timeline.events_by_kind["fault"] if e["kind"] == "zone" and e["zone"] == zone]
    return _zone_fraction(timeline, zone, timeline.start_ms, min(float(e["t"]) for e in events))


def check_evacuation(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that no calls go to an evacuated zone, and that they come back after the return."""
    violations = []
    for evacuation in _evacuations(timeline):
        zone, when = evacuation.zone, timeline.time_of(evacuation.event)
        settled_ms = evacuation.end_ms + SETTLE_S * SECOND_MS
        if not evacuation.is_return:
            stray_calls = _calls_by_zone(timeline, settled_ms, evacuation.until_ms)[zone]
            if stray_calls:
                violations.append(f"{stray_calls} calls went to {zone} after its evacuation {when}")
            continue
        before = _usual_fraction(timeline, zone)
        now = _zone_fraction(timeline, zone, settled_ms, evacuation.until_ms)
        if before is not None and now is not None and now < before / 2:
            violations.append(f"{zone} gets {now:.0%} of calls, {before:.0%} before its evacuation")
        if evacuation.begin_ms >= evacuation.until_ms:
            violations.append(f"the return to {zone} {when} was never completed")
    return count_violations("left", violations)


def check_evacuation_ramp(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that evacuations and returns are gradual: most calls are unchanged in the first quarter."""
    violations = []
    for evacuation in _evacuations(timeline):
        if evacuation.event["over_s"] <= 0:
            continue
        zone, begin_ms = evacuation.zone, evacuation.begin_ms
        usual = _usual_fraction(timeline, zone)
        quarter_ms = begin_ms + (evacuation.end_ms - begin_ms) / 4
        early = _zone_fraction(timeline, zone, begin_ms, quarter_ms)
        if usual is None or early is None:
            continue
        progress = early / usual if evacuation.is_return else 1 - early / usual
        if progress > MAX_EARLY_PROGRESS:
            when = timeline.time_of(evacuation.event)
            violations.append(f"{zone}: {progress:.0%} of the shift {when} was done in its first quarter")
    return count_violations("ramps", violations)


def check_zone_oscillation(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check that no zone's fraction of all calls changes direction more often than the bound."""
    worst, first = 0, ""
    start_ms = timeline.start_ms
    last_ms = max((e["t"] for e in timeline.events_by_kind["done"]), default=start_ms)
    seconds = [start_ms + s * SECOND_MS for s in range(int((last_ms - start_ms) / SECOND_MS))]
    every = [_calls_by_zone(timeline, at_ms, at_ms + SECOND_MS) for at_ms in seconds]
    calls = [counts for counts in every if counts.total() >= MIN_CALLS]
    for zone in sorted({p.zone for p in timeline.location_by_name.values() if p.zone}):
        fractions = [counts[zone] / counts.total() for counts in calls]
        count = count_direction_changes(fractions, MIN_SWING)
        if count > worst:
            worst, first = count, f"{zone}: {' '.join(f'{p:.2f}' for p in fractions)}"
    return check_maximum("swings", worst, scenario.bounds.max_direction_changes, first)


def check_cross_zone_calls(timeline: Timeline, scenario: DrillScenario) -> CheckResult:
    """Check the fraction of calls to servers in another zone than the balancer's."""
    calls = [(timeline.zone_of(b), timeline.zone_of(e["who"])) for e, b in timeline.arrivals()]
    fraction = sum(source != target for source, target in calls) / max(len(calls), 1)
    bound = scenario.bounds.max_cross_zone
    return CheckResult("crossed", bool(calls) and fraction <= bound, round(fraction, 3), bound)
