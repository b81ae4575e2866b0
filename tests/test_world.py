"""Test the simulated fleet against queueing theory, and that its rules detect violations."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from loadbalancer import interface
from loadbalancer.policy import Balancer
from loadbalancer.simulation import Scenario, ScenarioError, SimulatedFleet, draw
from loadbalancer.simulation.baselines import BASELINES, SingleAttemptPolicy
from loadbalancer.simulation.clock import Clock
from loadbalancer.simulation.scenario import FAULT_KINDS, DrawnScenario, parse
from loadbalancer.simulation.servers import Job, Server, ServerSpec

INVALID_CLASS = "name = 'a'\nshare = 1\nwork_ms = 1\naim_ms = 1\ndeadline_ms = 1\neffect = 'x'"
SHORT_SCENARIO = "[load]\nseconds = 6\n[fleet]\nservers = 4\n"


def make_spec(**changes: Any) -> ServerSpec:
    base: dict[str, Any] = {
        "name": "s", "tier": 0, "zone": "a", "cores": 1, "speed": 1.0, "slots": 10_000, "queue": 10_000,
        "connections": 1_000, "thrash": 0.0, "thrash_at": 50.0, "error_rate": 0.0, "initial_capacity": 0.3,
        "warm_up_ms": 4_000.0,
    }  # fmt: skip
    return ServerSpec(**(base | changes))


class QueueExperiment:
    """Poisson arrivals at one server; records the time of each job in it, and the server's occupancy."""

    def __init__(self, rate: float, mean: float, seed: int = 1, **changes: Any) -> None:
        self.clock, self.rng = Clock(1.0), random.Random(seed)
        self.server = Server(self.clock, make_spec(**changes))
        self.rate, self.mean = rate, mean
        self.sojourn_ms: list[float] = []
        self.occupancy_ms = self.seen_at = 0.0
        self.clock.after(0.0, self.add_job)

    def add_job(self) -> None:
        self.record_occupancy()
        arrived_at = self.clock.now
        work = self.rng.expovariate(1 / self.mean)

        def done(job: Job) -> None:
            self.record_occupancy()
            self.server.release(job)
            self.sojourn_ms.append(self.clock.now - arrived_at)

        assert self.server.submit(Job(work, lambda job: self.server.start(job, work), done))
        self.clock.after(self.rng.expovariate(self.rate), self.add_job)

    def record_occupancy(self) -> None:
        self.occupancy_ms += self.server.in_flight * (self.clock.now - self.seen_at)
        self.seen_at = self.clock.now


@pytest.mark.parametrize("load", [0.3, 0.7])
def test_mean_time_under_processor_sharing_matches_theory(load: float) -> None:
    """M/M/1 with processor sharing: the mean is work / (1 - load)."""
    experiment = QueueExperiment(load / 10.0, 10.0)
    experiment.clock.run(400_000.0)
    assert sum(experiment.sojourn_ms) / len(experiment.sojourn_ms) == pytest.approx(
        10.0 / (1 - load), rel=0.08
    )
    assert experiment.server.completed_work_ms / experiment.clock.now == pytest.approx(load, rel=0.05)


def test_mean_time_with_a_queue_before_two_cores_matches_theory() -> None:
    """M/M/2, first come first served: the mean is work / (1 - load²)."""
    experiment = QueueExperiment(2 * 0.8 / 10.0, 10.0, cores=2, slots=2)
    experiment.clock.run(400_000.0)
    assert sum(experiment.sojourn_ms) / len(experiment.sojourn_ms) == pytest.approx(
        10.0 / (1 - 0.8**2), rel=0.08
    )


def test_occupancy_is_arrival_rate_times_time_in_server() -> None:
    """Little's law holds, also while the server thrashes."""
    experiment = QueueExperiment(0.06, 10.0, thrash=0.02, thrash_at=1.0)
    experiment.clock.run(300_000.0)
    experiment.record_occupancy()
    mean = sum(experiment.sojourn_ms) / len(experiment.sojourn_ms)
    assert experiment.occupancy_ms == pytest.approx(mean * len(experiment.sojourn_ms), rel=0.02)
    assert mean > 25.5, "25 without thrashing"


def test_a_server_under_lasting_contention_is_slow_until_it_has_been_idle() -> None:
    clock = Clock(1.0)
    choke = {
        "choke_threshold": 4.0,
        "choke_delay_ms": 1_000.0,
        "choke_slowdown": 3.0,
        "choke_recovery_threshold": 0.3,
    }
    server = Server(clock, make_spec(**choke, choke_recovery_ms=2_000.0, max_choke_ms=60_000.0))
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


def test_a_full_queue_rejects_and_a_cancelled_request_is_not_executed() -> None:
    clock = Clock(1.0)
    server = Server(clock, make_spec(slots=1, queue=1))
    ended: list[float] = []

    def done(job: Job) -> None:
        ended.append(clock.now)
        server.release(job)

    jobs = [Job(10.0, lambda job: server.start(job, 10.0), done) for _ in range(3)]
    assert [server.submit(job) for job in jobs] == [True, True, False]
    server.release(jobs[1])
    clock.run(100.0)
    assert ended == [11.0] and server.in_flight == 0


def test_the_capacity_of_a_cold_server_grows_as_it_warms_up() -> None:
    clock = Clock(1_000.0)
    server = Server(clock, make_spec(initial_capacity=0.25, warm_up_ms=4_000.0))
    server.start_anew()
    assert server.warm_up_fraction() == 0.25
    clock.run(3_000.0)
    assert server.warm_up_fraction() == pytest.approx(0.625)
    clock.run(5_000.0)
    assert server.warm_up_fraction() == 1.0


def draw_scenario(text: str = "", seed: int = 1) -> DrawnScenario:
    return draw(parse(SHORT_SCENARIO + text), seed)


def test_the_same_seed_gives_the_same_play_and_another_seed_a_different_one() -> None:
    figures = [SimulatedFleet(draw_scenario(seed=seed), Balancer).run().utility.figure for seed in (1, 1, 2)]
    assert figures[0] == figures[1] != figures[2]


def test_a_part_that_draws_more_does_not_shift_the_draws_of_others() -> None:
    texts = ("", "[network]\njitter = 0.5")
    names = [[s.spec.name for s in SimulatedFleet(draw_scenario(text), Balancer).tiers[0]] for text in texts]
    assert names[0] == names[1]


def test_latency_in_an_idle_fleet_is_work_and_network_delays() -> None:
    """The latency is the client's round trip, handshakes, calls and work, without any queueing."""
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
    requested_values = fleet.ledger.requested_values
    isolated = [
        value
        for value in requested_values
        if not any(
            0 < abs(value.requested_at_ms - other.requested_at_ms) < 1_000.0 for other in requested_values
        )
    ]
    assert len(isolated) > 4
    for requested in isolated:
        # 6 to the client and back, 2 for the attempt and 2 for each call; 2 more for each new connection.
        assert 12 - 0.01 <= requested.latency_ms - requested.work_ms <= 18.01


def test_every_balancer_is_given_its_index_and_the_balancer_count() -> None:
    told: list[tuple[int, int, int]] = []

    def policy(settings: interface.Settings, seed: int) -> Balancer:
        told.append((settings.tier, settings.balancer_index, settings.balancer_count))
        return Balancer(settings, seed)

    SimulatedFleet(draw_scenario("balancers = 2"), policy).run()
    assert sorted(told) == [(0, 0, 2), (0, 1, 2), (1, 0, 4), (1, 1, 4), (1, 2, 4), (1, 3, 4)]


class FirstServerPolicy(SingleAttemptPolicy):
    """Sends all requests to one server; each subclass breaks one rule."""

    def select_server(self, cls: interface.RequestClass) -> str | None:
        return self.names[0]


class NeverResponds(FirstServerPolicy):
    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        return [] if isinstance(event, interface.RequestArrived) else super().handle(event, now)


class SendsTwice(FirstServerPolicy):
    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        actions = super().handle(event, now)
        return actions + [a for a in actions if isinstance(a, interface.SendAttempt)]


class RejectsAfterSending(FirstServerPolicy):
    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        actions = super().handle(event, now)
        return actions + [
            interface.Reject(a.request_id) for a in actions if isinstance(a, interface.SendAttempt)
        ]


class IgnoresListUpdates(SingleAttemptPolicy):
    """Ignores all updates of the endpoint list that it started with."""

    def select_server(self, cls: interface.RequestClass) -> str | None:
        return self.random.choice(self.names)

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        return (
            []
            if isinstance(event, interface.EndpointListUpdate) and self.names
            else super().handle(event, now)
        )


class PrefersNewest(SingleAttemptPolicy):
    """Sends all requests to the server that started last."""

    def select_server(self, cls: interface.RequestClass) -> str | None:
        return max(self.names, key=lambda n: self.ready[n].started_at_ms)


REPLACEMENT_SCENARIO = """
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
        (NeverResponds, "", "never answered"),
        (SendsTwice, "", "sent again what may have run"),
        (RejectsAfterSending, "", "refused what may have run"),
        (IgnoresListUpdates, REPLACEMENT_SCENARIO, "sent to what drains or is gone"),
        (PrefersNewest, REPLACEMENT_SCENARIO, "pushed a cold server over"),
    ],
)
def test_each_violation_of_a_rule_is_detected(policy: Callable[..., Any], text: str, rule: str) -> None:
    seconds = "[load]\nseconds = 9\nof_capacity = 0.9\n[fleet]\nservers = 6\n"
    result = SimulatedFleet(draw(parse(seconds + text), 2), policy).run()
    assert rule in {breach.rule for breach in result.violations}


@pytest.mark.parametrize("kind", FAULT_KINDS)
def test_the_policy_keeps_the_rules_under_every_fault(kind: str) -> None:
    size = 0.5 if kind == "errors" else 3.0
    trouble = f'[[trouble]]\nkind = "{kind}"\nat_s = 1\nfor_s = 2\npart = 0.5\nsize = {size}\n'
    result = SimulatedFleet(draw_scenario(trouble), Balancer).run()
    assert result.violations == []
    assert kind == "burst" or result.log == [(1_000.0, kind)], "every fault begins at the time drawn"


def test_a_fault_of_a_zone_affects_the_last_zone_alone() -> None:
    fleet = SimulatedFleet(
        draw_scenario(
            '[[trouble]]\nkind = "errors"\nat_s = 1\nfor_s = 1\npart = 1\nsize = 0.5\nzone = true\n'
        ),
        Balancer,
    )
    seen: set[str] = set()

    def record_failing_zones() -> None:
        seen.update(s.spec.zone for s in fleet.servers.values() if s.error_rate == 0.5)

    fleet.clock.after(1_500.0, record_failing_zones)
    fleet.run()
    assert seen == {fleet.zones[-1]}


@pytest.mark.parametrize("name", BASELINES)
def test_baselines_keep_the_rules_and_the_oracle_is_the_best(name: str) -> None:
    from loadbalancer.lab.policies import create_fleet

    crowded = "[choke]\nshare = 1\n[[trouble]]\nkind = 'burst'\nat_s = 1\nfor_s = 3\nsize = 2.5\n"
    plays = {which: create_fleet(draw_scenario(crowded), which).run() for which in (name, "oracle")}
    assert plays[name].violations == []
    assert plays[name].utility.figure <= plays["oracle"].utility.figure


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("[laod]\nseconds = 3", "f.toml: $: Object contains unknown field `laod`; allowed: title, load"),
        ("[load]\nsecs = 3", "f.toml: load: Object contains unknown field `secs`; allowed: seconds"),
        ("[load]\nseconds = 'x'", "f.toml: load.seconds: Expected `float | array`, got `str`"),
        ("[[trouble]]\nkind = 'rain'\nat_s = 1", "f.toml: trouble[0].kind: 'rain'; allowed: burst, slow"),
        ("[inner]\ncores = [1, 2]", "f.toml: inner: cores, core_parts and speed must have the same length"),
        (f"[[classes]]\n{INVALID_CLASS}", "f.toml: classes: a: effect 'x'; allowed: safe, unsafe"),
        ("[load", "f.toml: not TOML: "),
    ],
)
def test_an_invalid_scenario_is_reported_in_one_line_with_what_is_allowed(text: str, told: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(text, "f.toml")
    assert told in str(caught.value) and "\n" not in str(caught.value)


def test_a_drawn_scenario_holds_a_number_within_each_range() -> None:
    drawn = draw(Scenario(), 5).scenario
    assert isinstance(drawn.load.of_capacity, float) and 0.6 <= drawn.load.of_capacity <= 0.7
    assert isinstance(drawn.inner.speed[0], float) and 0.85 <= drawn.inner.speed[0] <= 1.1
    assert isinstance(drawn.classes[0].share, float) and drawn.fleet.zones == Scenario().fleet.zones
