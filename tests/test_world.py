"""The model of the fleet against what is known in closed form, and its rules against what breaks them."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from loadbalancer import interface
from loadbalancer.policy import Balancer
from loadbalancer.simulation import Scenario, ScenarioError, SimulatedFleet, draw
from loadbalancer.simulation.baselines import BASELINES, Plain
from loadbalancer.simulation.clock import Clock
from loadbalancer.simulation.scenario import TROUBLES, Day, parse
from loadbalancer.simulation.servers import Job, Server, ServerSpec

ODD_CLASS = "name = 'a'\nshare = 1\nwork_ms = 1\naim_ms = 1\ndeadline_ms = 1\neffect = 'x'"
SHORT = "[load]\nseconds = 6\n[fleet]\nservers = 4\n"


def build(**changes: Any) -> ServerSpec:
    base: dict[str, Any] = {
        "name": "s", "tier": 0, "zone": "a", "cores": 1, "speed": 1.0, "slots": 10_000, "queue": 10_000,
        "connections": 1_000, "thrash": 0.0, "thrash_at": 50.0, "error_rate": 0.0, "initial_capacity": 0.3,
        "warm_up_ms": 4_000.0,
    }  # fmt: skip
    return ServerSpec(**(base | changes))


class Crowd:
    """Jobs that come at random to one server; how long each took, and how many were there on the way."""

    def __init__(self, rate: float, mean: float, seed: int = 1, **changes: Any) -> None:
        self.clock, self.chance = Clock(1.0), random.Random(seed)
        self.server = Server(self.clock, build(**changes))
        self.rate, self.mean = rate, mean
        self.took: list[float] = []
        self.area = self.seen = 0.0
        self.clock.after(0.0, self.come)

    def come(self) -> None:
        self.count()
        came = self.clock.now
        work = self.chance.expovariate(1 / self.mean)

        def done(job: Job) -> None:
            self.count()
            self.server.release(job)
            self.took.append(self.clock.now - came)

        assert self.server.submit(Job(work, lambda job: self.server.start(job, work), done))
        self.clock.after(self.chance.expovariate(self.rate), self.come)

    def count(self) -> None:
        self.area += self.server.in_flight * (self.clock.now - self.seen)
        self.seen = self.clock.now


@pytest.mark.parametrize("load", [0.3, 0.7])
def test_shared_cores_keep_a_job_as_long_as_theory_says(load: float) -> None:
    """M/M/1 with processor sharing: work / (1 - load) in the mean."""
    crowd = Crowd(load / 10.0, 10.0)
    crowd.clock.run(400_000.0)
    assert sum(crowd.took) / len(crowd.took) == pytest.approx(10.0 / (1 - load), rel=0.08)
    assert crowd.server.worked / crowd.clock.now == pytest.approx(load, rel=0.05)


def test_a_waiting_room_before_two_cores_holds_a_job_as_long_as_theory_says() -> None:
    """M/M/2, first come first served: work / (1 - load²) in the mean."""
    crowd = Crowd(2 * 0.8 / 10.0, 10.0, cores=2, slots=2)
    crowd.clock.run(400_000.0)
    assert sum(crowd.took) / len(crowd.took) == pytest.approx(10.0 / (1 - 0.8**2), rel=0.08)


def test_what_a_server_holds_is_what_comes_times_how_long_it_stays() -> None:
    """Little's law, whatever makes it slow."""
    crowd = Crowd(0.06, 10.0, thrash=0.02, thrash_at=1.0)
    crowd.clock.run(300_000.0)
    crowd.count()
    mean = sum(crowd.took) / len(crowd.took)
    assert crowd.area == pytest.approx(mean * len(crowd.took), rel=0.02)
    assert mean > 25.5, "25 with nothing to make it slow"


def test_a_server_that_is_crowded_for_long_turns_slow_until_it_has_been_idle() -> None:
    clock = Clock(1.0)
    choke = {"choke_at": 4.0, "choke_over_ms": 1_000.0, "choke_slower": 3.0, "choke_below": 0.3}
    server = Server(clock, build(**choke, choke_rest_ms=2_000.0, choke_most_ms=60_000.0))
    jobs = [Job(9_000.0, lambda job: server.start(job, 9_000.0), server.release) for _ in range(5)]
    for job in jobs:
        server.submit(job)
    clock.run(900.0)
    assert not server.is_choked and server.capacity() == 1.0
    clock.run(1_100.0)
    assert server.is_choked and server.capacity() == pytest.approx(1 / 3)
    for job in jobs[1:]:
        server.release(job)
    clock.run(4_000.0)
    assert server.is_choked, "one call on one core is not idle"
    server.release(jobs[0])
    clock.run(5_900.0)
    assert server.is_choked
    clock.run(6_100.0)
    assert not server.is_choked and server.choked_ms == pytest.approx(5_000.0, abs=50)


def test_a_full_waiting_room_turns_away_and_a_call_that_is_called_off_leaves_its_place() -> None:
    clock = Clock(1.0)
    server = Server(clock, build(slots=1, queue=1))
    ended: list[float] = []

    def done(job: Job) -> None:
        ended.append(clock.now)
        server.release(job)

    jobs = [Job(10.0, lambda job: server.start(job, 10.0), done) for _ in range(3)]
    assert [server.submit(job) for job in jobs] == [True, True, False]
    server.release(jobs[1])
    clock.run(100.0)
    assert ended == [11.0] and server.in_flight == 0


def test_a_cold_server_does_more_as_it_warms() -> None:
    clock = Clock(1_000.0)
    server = Server(clock, build(initial_capacity=0.25, warm_up_ms=4_000.0))
    server.start_anew()
    assert server.warmth() == 0.25
    clock.run(3_000.0)
    assert server.warmth() == pytest.approx(0.625)
    clock.run(5_000.0)
    assert server.warmth() == 1.0


def day(text: str = "", seed: int = 1) -> Day:
    return draw(parse(SHORT + text), seed)


def test_the_same_seed_gives_the_same_day_and_another_one_another() -> None:
    figures = [SimulatedFleet(day(seed=seed), Balancer).run().utility.figure for seed in (1, 1, 2)]
    assert figures[0] == figures[1] != figures[2]


def test_a_part_that_draws_more_does_not_shift_what_others_draw() -> None:
    texts = ("", "[network]\njitter = 0.5")
    names = [[s.build.name for s in SimulatedFleet(day(text), Balancer).tiers[0]] for text in texts]
    assert names[0] == names[1]


def test_an_empty_fleet_answers_in_what_the_work_and_the_ways_take() -> None:
    """Two calls of the client's way, the handshakes, the work at the speed of the servers, and no more."""
    text = """
[load]
seconds = 60
of_capacity = 0.002
[fleet]
servers = 4
[network]
same_ms = 1
cross_ms = 1
client_ms = 3
jitter = 0
handshake_ms = 0
handshake_rtts = 1
idle_s = 1000
[tier]
calls = 2
cores = [1]
core_parts = [1]
speed = [1.0]
speed_cv = 0
error_rate = 0
[inner]
speed = [1.0]
speed_cv = 0
error_rate = 0
[clients]
impatient = 0
"""
    fleet = SimulatedFleet(draw(parse(text), 3), Balancer)
    result = fleet.run()
    assert result.utility.endings.keys() <= {"in time", "late"}
    wishes = fleet.ledger.requested_values
    alone = [
        w
        for w in wishes
        if not any(0 < abs(w.requested_at_ms - other.requested_at_ms) < 1_000.0 for other in wishes)
    ]
    assert len(alone) > 4
    for wish in alone:
        # 6 to the client and back, 2 for the attempt and 2 for each call; 2 more for each new connection.
        assert 12 - 0.01 <= wish.latency_ms - wish.work_ms <= 18.01


def test_every_balancer_is_told_its_own_number_and_how_many_there_are() -> None:
    told: list[tuple[int, int, int]] = []

    def policy(settings: interface.Settings, seed: int) -> Balancer:
        told.append((settings.tier, settings.balancer_index, settings.balancer_count))
        return Balancer(settings, seed)

    SimulatedFleet(day("balancers = 2"), policy).run()
    assert sorted(told) == [(0, 0, 2), (0, 1, 2), (1, 0, 4), (1, 1, 4), (1, 2, 4), (1, 3, 4)]


class Careless(Plain):
    """Breaks one rule each, where the subclass says how."""

    def pick(self, cls: interface.RequestClass) -> str | None:
        return self.names[0]


class Silent(Careless):
    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        return [] if isinstance(event, interface.RequestArrived) else super().handle(event, now)


class Twice(Careless):
    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        actions = super().handle(event, now)
        return actions + [a for a in actions if isinstance(a, interface.SendAttempt)]


class Refuses(Careless):
    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        actions = super().handle(event, now)
        return actions + [
            interface.Reject(a.request_id) for a in actions if isinstance(a, interface.SendAttempt)
        ]


class Forgetful(Plain):
    """Keeps to the list that it found when it started."""

    def pick(self, cls: interface.RequestClass) -> str | None:
        return self.random.choice(self.names)

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        return (
            []
            if isinstance(event, interface.EndpointListUpdate) and self.names
            else super().handle(event, now)
        )


class Eager(Plain):
    """Sends all to whatever started last."""

    def pick(self, cls: interface.RequestClass) -> str | None:
        return max(self.names, key=lambda n: self.ready[n].started_at_ms)


REPLACED = """
[discovery]
notice_s = 0.5
add_s = 0.3
[[trouble]]
kind = "replace"
at_s = 0.5
for_s = 1
part = 0.5
"""


@pytest.mark.parametrize(
    ("policy", "text", "rule"),
    [
        (Silent, "", "never answered"),
        (Twice, "", "sent again what may have run"),
        (Refuses, "", "refused what may have run"),
        (Forgetful, REPLACED, "sent to what drains or is gone"),
        (Eager, REPLACED, "pushed a cold server over"),
    ],
)
def test_each_rule_is_seen_to_be_broken(policy: Callable[..., Any], text: str, rule: str) -> None:
    seconds = "[load]\nseconds = 9\nof_capacity = 0.9\n[fleet]\nservers = 6\n"
    result = SimulatedFleet(draw(parse(seconds + text), 2), policy).run()
    assert rule in {breach.rule for breach in result.violations}


@pytest.mark.parametrize("kind", TROUBLES)
def test_our_decisions_keep_the_rules_whatever_happens(kind: str) -> None:
    size = 0.5 if kind == "errors" else 3.0
    trouble = f'[[trouble]]\nkind = "{kind}"\nat_s = 1\nfor_s = 2\npart = 0.5\nsize = {size}\n'
    result = SimulatedFleet(day(trouble), Balancer).run()
    assert result.violations == []
    assert kind == "burst" or result.log == [(1_000.0, kind)], "all troubles began with the day"


def test_a_trouble_of_a_zone_befalls_the_last_one_alone() -> None:
    fleet = SimulatedFleet(
        day('[[trouble]]\nkind = "errors"\nat_s = 1\nfor_s = 1\npart = 1\nsize = 0.5\nzone = true\n'),
        Balancer,
    )
    seen: set[str] = set()

    def look() -> None:
        seen.update(s.build.zone for s in fleet.servers.values() if s.error_rate == 0.5)

    fleet.clock.after(1_500.0, look)
    fleet.run()
    assert seen == {fleet.zones[-1]}


@pytest.mark.parametrize("name", BASELINES)
def test_baselines_play_a_day_and_the_oracle_is_the_best(name: str) -> None:
    from loadbalancer.lab.policies import create_fleet

    crowded = "[choke]\nshare = 1\n[[trouble]]\nkind = 'burst'\nat_s = 1\nfor_s = 3\nsize = 2.5\n"
    plays = {which: create_fleet(day(crowded), which).run() for which in (name, "oracle")}
    assert plays[name].violations == []
    assert plays[name].utility.figure <= plays["oracle"].utility.figure


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("[laod]\nseconds = 3", "f.toml: $: Object contains unknown field `laod`; allowed: title, load"),
        ("[load]\nsecs = 3", "f.toml: load: Object contains unknown field `secs`; allowed: seconds"),
        ("[load]\nseconds = 'x'", "f.toml: load.seconds: Expected `float | array`, got `str`"),
        ("[[trouble]]\nkind = 'rain'\nat_s = 1", "f.toml: trouble[0].kind: 'rain'; allowed: burst, slow"),
        ("[inner]\ncores = [1, 2]", "f.toml: inner: cores, core_parts and speed must hold as many kinds"),
        (f"[[classes]]\n{ODD_CLASS}", "f.toml: classes: a: effect 'x'; allowed: safe, unsafe"),
        ("[load", "f.toml: not TOML: "),
    ],
)
def test_a_scenario_that_is_wrong_is_told_in_one_line_with_what_is_allowed(text: str, told: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(text, "f.toml")
    assert told in str(caught.value) and "\n" not in str(caught.value)


def test_a_drawn_day_holds_a_number_within_each_range() -> None:
    drawn = draw(Scenario(), 5).scenario
    assert isinstance(drawn.load.of_capacity, float) and 0.6 <= drawn.load.of_capacity <= 0.7
    assert isinstance(drawn.inner.speed[0], float) and 0.85 <= drawn.inner.speed[0] <= 1.1
    assert isinstance(drawn.classes[0].share, float) and drawn.fleet.zones == Scenario().fleet.zones
