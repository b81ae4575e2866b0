"""What a drill's history says of zones: left and come back to in steps, and not to and fro."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from loadbalancer.drill.checks.timeline import SECOND, Check, Story, most
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.definition import Script
from loadbalancer.simulation.direction_changes import count_direction_changes

LEAST = 15  # calls in a span, below which a zone's part says nothing
SETTLE_S = 0.5  # between an operators' call and the first calls that follow it
SWING = 0.15  # a turn of a zone's part within a second that is smaller is chance


def _parts(story: Story, since: float, until: float) -> Counter[str]:
    """Calls of the first tier's balancers to each zone in a span."""
    return Counter(
        story.by_name[event["who"]].zone
        for event, balancer in story.arrivals()
        if since <= event["t"] < until and story.by_name[balancer].tier == "first"
    )


def _part(story: Story, zone: str, since: float, until: float) -> float | None:
    counts = _parts(story, since, until)
    return counts[zone] / counts.total() if counts.total() >= LEAST else None


def _moves(story: Story) -> Iterator[tuple[Event, str, float, float, float]]:
    """Each move of a zone: its event, zone, when it began and was over, and when the next one begins."""
    moves = [e for e in story.by_kind["fault"] if e["kind"] == "zone"]
    over = max((e["t"] for e in story.by_kind["done"]), default=0.0)
    for number, event in enumerate(moves):
        later = [e["t"] for e in moves[number + 1 :] if e["zone"] == event["zone"]]
        end = event["t"] + event["over_s"] * SECOND
        yield event, event["zone"], event["t"], end, min([*later, over])


def left(story: Story, script: Script) -> Check:
    """Nothing goes to a zone that has been left, and its calls are back when it has been come back to."""
    wrong = []
    for event, zone, began, end, until in _moves(story):
        settled = end + SETTLE_S * SECOND
        if event["on"]:
            strays = _parts(story, settled, until)[zone]
            wrong += [f"{strays} calls went to {zone} after it was left {story.at(event)}"] if strays else []
            continue
        before = _part(story, zone, story.start, _first_leave(story, zone))
        now = _part(story, zone, settled, until)
        if before is not None and now is not None and now < before / 2:
            wrong.append(f"{zone} gets {now:.0%} of calls, {before:.0%} before it was left")
        if began >= until:
            wrong.append(f"the move of {zone} {story.at(event)} was never over")
    return most("left", wrong)


def _first_leave(story: Story, zone: str) -> float:
    moves = [e for e in story.by_kind["fault"] if e["kind"] == "zone" and e["zone"] == zone]
    return min(float(e["t"]) for e in moves)


def ramps(story: Story, script: Script) -> Check:
    """A zone is left, and come back to, in steps: a quarter into a move, most is still as it was."""
    wrong = []
    for event, zone, began, end, _ in _moves(story):
        if event["over_s"] <= 0:
            continue
        usual = _part(story, zone, story.start, _first_leave(story, zone))
        early = _part(story, zone, began, began + (end - began) / 4)
        if usual is None or early is None:
            continue
        moved = 1 - early / usual if event["on"] else early / usual
        if moved > 0.6:
            wrong.append(f"{zone}: {moved:.0%} of the move {story.at(event)} was done in its first quarter")
    return most("ramps", wrong)


def swings(story: Story, script: Script) -> Check:
    """No zone's part of all calls turns more often than the drill allows."""
    worst, first = 0, ""
    last = max((e["t"] for e in story.by_kind["done"]), default=story.start)
    seconds = [story.start + s * SECOND for s in range(int((last - story.start) / SECOND))]
    calls = [counts for at in seconds if (counts := _parts(story, at, at + SECOND)).total() >= LEAST]
    for zone in sorted({p.zone for p in story.by_name.values() if p.zone}):
        parts = [counts[zone] / counts.total() for counts in calls]
        count = count_direction_changes(parts, SWING)
        if count > worst:
            worst, first = count, f"{zone}: {' '.join(f'{p:.2f}' for p in parts)}"
    bound = script.bounds.turns
    return Check("swings", worst <= bound, worst, bound, first if worst > bound else "")
