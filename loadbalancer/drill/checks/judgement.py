"""What a drill's history says of the balancers: each check reads the events alone.

A request is what clients ask for by one id, a wish all tries for the same thing. Balancers that were killed,
stopped or cut off from their clients are not blamed for what they held at that time.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Callable

from loadbalancer.drill.checks.endpoint_lists import asked, heard, kept, undone, versions
from loadbalancer.drill.checks.timeline import SECOND, Check, Story, most, newer, states
from loadbalancer.drill.checks.zones import left, ramps, swings
from loadbalancer.drill.history import Event
from loadbalancer.drill.scenario.definition import Script

LEAST_IN_SECOND = 5  # first tries, below which a second's share says nothing
BLAMELESS = ("kill", "stop")  # what is done to a balancer that excuses the loss of what it held
NONE_SINCE = float("-inf")


def judge(script: Script, events: list[Event]) -> list[Check]:
    """All checks of a drill's history."""
    story = Story(events)
    return [check(story, script) for check in CHECKS]


# ---- what each looks at ---------------------------------------------------------------------------


def answered(story: Story, script: Script) -> Check:
    """Each request that a balancer took has one whole answer."""
    excuses = {
        name: [
            *story.spans(BLAMELESS, name),
            *story.spans(_link_faults(story, f"clients>{name}"), f"clients>{name}"),
        ]
        for name in story.by_name
    }
    ends = {e["id"]: e for kind in ("answered", "lost", "left") for e in story.by_kind[kind]}
    lost = []
    for number, event in story.asked.items():
        end = ends.get(number)
        if end is not None and (end["what"] == "answered" or not end.get("sent", True)):
            continue
        until = end["t"] if end else float("inf")
        if not any(begin <= until and event["t"] <= last for begin, last in excuses[event["to"]]):
            how = "has no end" if end is None else end.get("how", "was left")
            lost.append(f"{number} at {event['to']} {how}, asked {story.at(event)}")
    return most("answered", lost, script.bounds.lost)


def _link_faults(story: Story, link: str) -> set[str]:
    return {e["kind"] for e in story.by_kind["fault"] if link in e["targets"]}


def from_servers(story: Story, script: Script) -> Check:
    """What was passed on as served was made by a server for this very request."""
    made = {(e["id"], e["run"]) for e in story.by_kind["ended"] if e["run"]}
    wrong = [
        f"{e['id']} {story.at(e)}: no server made that answer"
        for e in story.by_kind["answered"]
        if e["status"] == 200 and (e["id"], e["run"]) not in made
    ]
    return most("from_servers", wrong)


def once(story: Story, script: Script) -> Check:
    """What is unsafe to repeat ran once for each wish, whatever was retried."""
    unsafe = {c.name for c in script.load.classes if c.effect == "unsafe"}
    runs: dict[tuple[str, str], list[Event]] = defaultdict(list)
    for event in story.by_kind["began"]:
        if event["cls"] in unsafe:
            client_id, _, call = event["id"].partition(".")
            wish = story.asked.get(client_id, {}).get("wish", client_id)
            runs[str(wish), call.partition(".")[0]].append(event)
    twice = [
        f"wish {wish} ran at {', '.join(e['who'] for e in found)}, then {story.at(found[-1])}"
        for (wish, _), found in runs.items()
        if len(found) > 1
    ]
    return most("once", twice)


def _out_since(story: Story) -> dict[tuple[str, str], list[tuple[float, bool]]]:
    """For each balancer and server: when it was told that the server is out, and that it is in again.

    A list that is older than one told before says nothing. What operators take out is out until they put it
    back, whatever lists say.
    """
    changes: dict[tuple[str, str], list[tuple[float, bool]]] = defaultdict(list)
    for balancer, lists in story.told.items():
        last: dict[str, str] = {}
        for when, _, server, status in states(newer(lists)):
            if last.get(server) != status:
                changes[balancer, server].append((when, status != "in_service"))
            last[server] = status
    for event in story.by_kind["call"]:
        if event["status"] == 200 and event["call"] in ("cordon", "uncordon"):
            place = story.by_host[event["to"]]
            changes[place.name, event["body"]].append((event["t"], event["call"] == "cordon"))
    return {key: sorted(times) for key, times in changes.items()}


def drains(story: Story, script: Script) -> Check:
    """Nothing is sent to a server that drains, is out or is gone, past the grace."""
    grace = (script.bounds.drain_s + script.bounds.slack_s) * SECOND
    changes = _out_since(story)
    late = []

    def out_for(balancer: str, server: str, when: float) -> float:
        times = changes.get((balancer, server), [])
        index = bisect.bisect_right(times, (when, True)) - 1
        return when - times[index][0] if index >= 0 and times[index][1] else NONE_SINCE

    for event, balancer in story.arrivals():
        since = out_for(balancer, event["who"], event["t"])
        if since > grace:
            late.append(
                f"{balancer} sent {event['id']} to {event['who']} {since / SECOND:.2f} s after the word"
            )
    for event in story.by_kind["knock"]:
        balancer, _, server = event["link"].partition(">")
        since = out_for(balancer, server, event["t"])
        if since > grace:
            late.append(f"{balancer} called {server} {since / SECOND:.2f} s after it was gone")
    return most("drains", late)


def named(story: Story, script: Script) -> Check:
    """Nothing is sent to a server that no list has named."""
    first: dict[tuple[str, str], float] = {}
    for balancer, lists in story.told.items():
        for when, _, _, _, entries in lists:
            for server in entries:
                first.setdefault((balancer, server), when)
    wrong = [
        f"{balancer} sent {event['id']} to {event['who']} {story.at(event)}"
        for event, balancer in story.arrivals()
        if event["t"] < first.get((balancer, event["who"]), float("inf"))
    ]
    return most("named", wrong)


def cold(story: Story, script: Script) -> Check:
    """No cold server gets more work than the bound, by all balancers together."""
    window = script.bounds.cold_window_s * SECOND
    worst, first = 0.0, ""
    for up in story.by_kind["up"]:
        if not up["since"]:
            continue
        got: list[tuple[float, float]] = []
        ends = up["since"] + up["cold_ms"]
        for event in story.by_kind["arrived"]:
            if event["who"] != up["who"] or not up["t"] <= event["t"] < ends:
                continue
            got.append((event["t"], event["work"]))
            work = sum(w for t, w in got if t > event["t"] - window)
            warmth = up["cold_from"] + (1 - up["cold_from"]) * (event["t"] - up["since"]) / up["cold_ms"]
            multiple = work / (window * up["cores"] * up["speed"] * warmth)
            if multiple > worst:
                worst, first = multiple, f"{up['who']} {story.at(event)}"
    bound = script.bounds.cold_multiple
    return Check("cold", worst <= bound, round(worst, 3), bound, first if worst > bound else "")


def late(story: Story, script: Script) -> Check:
    """Answers come within the caller's time, but for a share."""
    answers = [(e, story.asked[e["id"]]) for e in story.by_kind["answered"]]
    over = [e for e, asked in answers if e["took"] > asked["deadline"] + 50]
    share = len(over) / len(answers) if answers else 1.0
    first = f"{over[0]['id']} took {over[0]['took']:.0f} ms" if over else ""
    return Check("late", share <= script.bounds.late, round(share, 4), script.bounds.late, first)


def served(story: Story, script: Script) -> Check:
    """The share of wishes that were served, late or not."""
    done = story.by_kind["done"]
    share = sum(_good(e) for e in done) / len(done) if done else 0.0
    bad = next((e for e in done if not _good(e)), None)
    first = f"wish {bad['wish']} {bad['ending']} {story.at(bad)}" if bad else ""
    return Check("served", share >= script.bounds.served, round(share, 4), script.bounds.served, first)


def _good(done: Event) -> bool:
    return done["ending"] in ("served", "late")


def seconds(story: Story) -> list[tuple[float, int, int]]:
    """Each second from the first try on, by when a wish was first asked: its begin, wishes, those served."""
    bins: dict[int, list[int]] = defaultdict(lambda: [0, 0])
    for event in story.by_kind["done"]:
        found = bins[int((event["first"] - story.start) // SECOND)]
        found[0] += 1
        found[1] += _good(event)
    return [(story.start + i * SECOND, count, good) for i, (count, good) in sorted(bins.items())]


def back(story: Story, script: Script) -> Check:
    """The longest time after a fault, or its end, until the share served is back to what it was."""
    bins = [b for b in seconds(story) if b[1] >= LEAST_IN_SECOND]
    faults = [e for e in story.by_kind["fault"] if e["t"] >= story.start]
    bound = script.bounds.back_s
    if not bins or not faults:
        return Check("back", bool(bins), 0.0, bound, "" if bins else "no second has enough first tries")
    before = [b for b in bins if b[0] + SECOND <= faults[0]["t"]] or bins[:1]
    usual = sum(good for _, _, good in before) / sum(count for _, count, _ in before)
    wanted = usual - script.bounds.back_share
    worst, first = 0.0, ""
    for index, fault in enumerate(faults):
        until = faults[index + 1]["t"] if index + 1 < len(faults) else float("inf")
        bad = [b for b in bins if fault["t"] - SECOND < b[0] <= until and b[2] / b[1] < wanted]
        took = (bad[-1][0] + SECOND - fault["t"]) / SECOND if bad else 0.0
        if took > worst:
            worst, first = took, f"after {fault['kind']} {'on' if fault['on'] else 'off'} {story.at(fault)}"
    return Check("back", worst <= bound, round(worst, 2), bound, first)


def attempts(story: Story, script: Script) -> Check:
    """Attempts that reached servers of the first tier, for each request that a balancer answered."""
    first = [e for e, b in story.arrivals() if story.by_name[e["who"]].tier == "first"]
    taken = len(story.by_kind["answered"])
    rate, bound = len(first) / max(taken, 1), script.bounds.attempts
    return Check("attempts", 0 < rate <= bound, round(rate, 3), bound)


def crossed(story: Story, script: Script) -> Check:
    """The share of calls that went to a server of another zone than the balancer's."""
    calls = [(story.by_name[b].zone, story.by_name[e["who"]].zone) for e, b in story.arrivals()]
    share, bound = sum(one != other for one, other in calls) / max(len(calls), 1), script.bounds.crossed
    return Check("crossed", bool(calls) and share <= bound, round(share, 3), bound)


def views(story: Story, script: Script) -> Check:
    """What balancers were expected to believe of one another, they all did in time."""
    wrong = [
        f"{e['of']} {e['wanted']}: {e['said']} after {e['took_s']} s"
        for e in story.by_kind["view"]
        if not e["held"]
    ]
    return most("views", wrong)


def standing(story: Story, script: Script) -> Check:
    """No balancer or stand-in ended that nobody had told to."""
    over = max((e["t"] for e in story.by_kind["over"]), default=float("inf"))
    ends = [
        f"{e['name']} ended with status {e['code']} {story.at(e)}"
        for e in story.by_kind["process"]
        if e["state"] == "ended" and not e["wanted"] and e["t"] < over and e["name"] != "clients"
    ]
    return most("standing", ends)


def whole(story: Story, script: Script) -> Check:
    """The history holds all: every wish has its end, the drill was over, nothing was left out."""
    left = sum(e["lines"] for e in story.by_kind["left_out"])
    missing = script.load.requests - len(story.by_kind["done"]) + (not story.by_kind["over"])
    return Check("whole", left + missing == 0, left + missing, 0)


CHECKS: tuple[Callable[[Story, Script], Check], ...] = (
    answered, from_servers, once, drains, named, cold, late, served, back, attempts, crossed,
    views, versions, asked, heard, kept, undone, left, ramps, swings, standing, whole,
)  # fmt: skip
