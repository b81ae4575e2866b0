"""What a drill's history says of the list: its versions, who hears of changes, who is taken off it."""

from __future__ import annotations

from collections import defaultdict

from loadbalancer.drill.checks.timeline import SECOND, Check, Story, most, states
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.definition import Script

ODD = "odd list"  # the fault of a service that tells what is not so
EXCUSED = ("kill", "stop", "term", "list")  # what is done to a server that may end its place on the list
EXCUSED_S = 5.0  # for so long, and its lease, after the end of that


def versions(story: Story, script: Script) -> Check:
    """The version of the list that a balancer is told never goes back, unless a drill makes it."""
    back = []
    for balancer, lists in story.told.items():
        newest: dict[str, int] = {}
        for when, by, index, _, _ in lists:
            if index < newest.get(by, -1) and not _was_odd(story, by, when):
                at_s = (when - story.start) / SECOND
                back.append(f"{balancer} was told {index} after {newest[by]} by {by}, at {at_s:.2f} s")
            newest[by] = index
    return most("versions", back)


def _was_odd(story: Story, by: str, when: float) -> bool:
    """Whether a service was out of order at a time, or had been before it: it tells what it told then."""
    return any(start <= when for start, _ in story.spans([ODD], by))


def heard(story: Story, script: Script) -> Check:
    """Every drain and removal that operators told was told to each balancer of the tier in time."""
    bound = script.bounds.heard_s
    worst, first = 0.0, ""
    fronts = [p for p in story.by_name.values() if p.name in story.told and not _was_down(story, p.name)]
    over = max((e["t"] for e in story.by_kind["over"]), default=float("inf"))
    for event in _words(story) if bound else []:
        (server,) = event["targets"]
        wanted = {event["status"], "terminated"}
        for place in (p for p in fronts if p.tier == story.by_name[server].tier):
            times = [
                when - event["t"]
                for when, _, name, status in states(story.told[place.name])
                if name == server and status in wanted and when >= event["t"]
            ]
            took = min(times, default=over - event["t"]) / SECOND
            if took > worst:
                worst, first = took, f"{place.name} heard of {server} {event['status']} {story.at(event)}"
    return Check("heard", not bound or worst <= bound, worst, bound, first if worst > bound else "")


def _words(story: Story) -> list[Event]:
    return [e for e in story.by_kind["fault"] if e["kind"] == "list" and e["on"]]


def _was_down(story: Story, name: str) -> bool:
    return bool(story.spans(("kill", "stop", "term", "replace"), name))


def asked(story: Story, script: Script) -> Check:
    """No balancer asks more often within a second than it needs to: storms show here."""
    most_, first = 0, ""
    away: dict[str, list[float]] = defaultdict(list)
    for event in story.by_kind["turned_away"]:
        away[story.by_host[event["to"]].name].append(event["t"])
    for balancer, lists in story.told.items():
        times = sorted([when for when, *_ in lists] + away[balancer])
        begin = 0
        for end, when in enumerate(times):
            while times[begin] < when - SECOND:
                begin += 1
            if end - begin + 1 > most_:
                most_, first = end - begin + 1, f"{balancer} at {(when - story.start) / SECOND:.2f} s"
    bound = script.bounds.asked
    return Check("asked", most_ <= bound, most_, bound, first if most_ > bound else "")


def kept(story: Story, script: Script) -> Check:
    """No server is taken off the list that ran all the time, and that nobody took off it."""
    wrong = []
    grace = (script.fleet.lease_s + EXCUSED_S) * SECOND
    for balancer, lists in story.told.items():
        for when, by, server, status in states(lists):
            if status != "terminated" or _was_odd(story, by, when):
                continue
            if not any(start <= when <= end + grace for start, end in story.spans(EXCUSED, server)):
                at_s = (when - story.start) / SECOND
                wrong.append(f"{balancer} was told by {by} at {at_s:.2f} s that {server} is gone")
    return most("kept", wrong)


def undone(story: Story, script: Script) -> Check:
    """A server that a balancer was told drains is never told in service again, but for a new start."""
    wrong = []
    for balancer, lists in story.told.items():
        draining: set[str] = set()
        for when, by, server, status in states(lists):
            if status == "terminating":
                draining.add(server)
            elif status == "in_service" and server in draining:
                draining.discard(server)
                if not _started(story, server, when) and not _forgot(story, by, when):
                    at_s = (when - story.start) / SECOND
                    wrong.append(f"{balancer} was told by {by} at {at_s:.2f} s that {server} serves again")
    return most("undone", wrong)


def _started(story: Story, server: str, until: float) -> bool:
    """Whether a server was started anew by then."""
    ends = [end for _, end in story.spans(("kill",), server)]
    return any(end <= until for end in ends)


def _forgot(story: Story, by: str, when: float) -> bool:
    """Whether a service was out of order, or had come back with less than it knew."""
    lost = any(e["t"] <= when and e.get("memory", "kept") != "kept" for e in story.by_kind["fault"])
    return lost or _was_odd(story, by, when)
