"""One balancer's decisions: what each event does to what is known, and which actions follow.

A request's path: `_arrived` sheds it, sends it (`_try_send`) or lets it wait (`_wait`) until `_release` sends
it; `_pick` chooses its server. `_ended` books each outcome and, if an answer is still owed, tries again
(`_try_again`) or gives up.
"""

from __future__ import annotations

import math
import random
from collections import deque

from loadbalancer import interface
from loadbalancer.interface import Idempotency, Outcome, UpdateKind
from loadbalancer.policy import retries
from loadbalancer.policy.admission import OFFER_CALLS, Admission, LatencyEstimates, OverloadLevel
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.policy.limits import ConcurrencyLimits, WaitQueue
from loadbalancer.policy.requests import Attempt, Request
from loadbalancer.policy.selection import draws, least_loaded
from loadbalancer.policy.servers import MEMORY_MS, CapacityEstimates, Server
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.weighted_sampling import Sampler
from loadbalancer.policy.zones import ZoneEvacuations

SCAN = 64  # servers that are looked at one by one, for each choice, at the most
TRIES = 24  # draws from a larger fleet until one meets a server that may be sent to
FREED = 16  # servers that have just ended a call are looked at where draws meet none
SAMPLE = 100  # servers of a larger fleet that the median is taken from
AWAY_PART = 0.1  # of the aim: so long a refused caller is asked to stay away, to be back in time for it
LATE = "answers take too long: shedding the least worth first"
NO_ROOM = "no server may take a call: refusing"


class Balancer:
    """The decisions of one balancer instance: feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._random = random.Random(seed)
        self._roster = EndpointSet(settings, self._random)
        self._capacities = CapacityEstimates()
        self._zones = ZoneEvacuations()
        self._cold = SlowStart(settings, self._random)
        self._limits, self._queue = ConcurrencyLimits(settings), WaitQueue()
        self._field, self._look_from = Sampler(), 0  # for large fleets
        self._freed: deque[Server] = deque(maxlen=FREED)
        self._times = LatencyEstimates(settings)
        self._pressure = OverloadLevel(self._times)
        self._admission = Admission(settings, self._times, self._random)
        self._budget, self._idle = retries.RetryBudget(), retries.IdleConnections()
        self._requests: dict[int, Request] = {}
        self._leaving = False  # another process has taken over
        self._shedding_until, self._hint = -math.inf, 0.0
        self._unsaid: list[interface.Action] = (
            [interface.WatchEndpointList()] if settings.polls_endpoint_list else []
        )
        self._actions: list[interface.Action] = []

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """Take one event at time `now` (ms) and return what to do, in order."""
        self._actions, self._unsaid = self._unsaid, []
        match event:
            case interface.AttemptEnded():
                self._ended(event, now)
            case interface.RequestArrived():
                self._arrived(event, now)
            case interface.TimerExpired():
                self._due(event.token, now)
            case interface.EndpointListUpdate(kind=UpdateKind.FAILED):
                self._actions.extend(self._roster.failed(now, event.retry_within_ms))
            case interface.EndpointListUpdate():
                self._actions.extend(self._roster.listed(event, now))
                self._take_stock(now)
            case interface.CordonChanged():
                self._roster.cordoned(event, now)
                self._take_stock(now)
            case interface.ZoneEvacuation():
                self._zones.hold(event)
            case interface.TakeoverChanged():
                self._leaving = event.is_taken_over
                self._cold.asked(now, -self._cold.asked(now))  # the other process goes on with these
            case interface.ClientDisconnected():
                self._left(event.request_id)
            case interface.ResponseStarted():
                self._started(event, now)
            case interface.RequestCompleted():
                if request := self._requests.get(event.request_id):
                    request.start_over(now)
                    request.is_whole = True
        return self._actions

    def validate(self, event: interface.EndpointListUpdate) -> interface.EndpointListUpdate:
        """What a list is taken for; to be told with `handle`, and followed on sockets, in its place."""
        return self._roster.believe(event)

    def doubted(self) -> list[str]:
        """The servers in use that a list has left out, and that have not proved dead."""
        return sorted(name for name, server in self._roster.ready.items() if server.doubted)

    def avoided(self, now: float) -> list[str]:
        """The listed servers that get no new work: held by operators, or ready and not kept to."""
        left = self._zones.left_in_full(self._roster.rings, now)
        ready = self._roster.ready.items() if left else ()
        return sorted({*self._roster.avoided(), *(n for n, s in ready if s.member.zone in left)})

    def zone_share(self, zone: str, now: float) -> float:
        """The part of a zone's capacity that is drawn from, 0 to 1."""
        return self._zones.share(zone, now)

    def zones(self, now: float) -> dict[str, dict[str, float]]:
        """Of each zone: the part drawn from, ready servers, our calls out on average, and our room there."""
        told: dict[str, dict[str, float]] = {}
        for server in self._roster.ready.values():
            server.catch_up(now)
            zone = server.member.zone
            one = told.setdefault(
                zone, {"share": self.zone_share(zone, now), "ready": 0, "out": 0, "room": 0}
            )
            one["ready"] += 1
            one["out"] += server.busy / MEMORY_MS
            one["room"] += self._limits.part * server.size
        return told

    def _take_stock(self, now: float) -> None:
        """The servers that may get work have changed."""
        roster = self._roster
        self._cold.note(roster.last_started)
        self._limits.share(len(roster.ready), roster.kept, roster.size)
        moved = roster.moved()
        if roster.kept <= SCAN:
            self._field.clear()
        else:
            for server in moved if self._field else roster.near(0, roster.kept):
                if roster.keeps_to(server):
                    self._weigh(server, now)
                else:
                    self._field.drop(server.member.server)
        self._release(now)

    # ---- from one process to the next -----------------------------------------------------------

    def learned_state(self, now: float) -> interface.LearnedState:
        """What was learned, for the process that takes over."""
        for server in self._roster.servers.values():
            server.catch_up(now)
        pressure, times, rates = self._pressure, self._times, self._capacities
        return interface.LearnedState(
            servers={
                name: interface.ServerEvidence(
                    server.member.started_at_ms, server.served, server.busy, tuple(server.sends)
                )
                for name, server in self._roster.servers.items()
                if server.listed
            },
            latencies=times.work,
            uncongested_latencies=times.easy,
            peak_rates=rates.usual,
            overload=interface.OverloadEvidence(pressure.late, pressure.answers, pressure.weighed),
            median_capacity=rates.median,
            recent_requests=self._cold.asked(now),
            recent_requests_at_peak=rates.asked_then,
        )

    def restore(self, known: interface.LearnedState, now: float, age_ms: float = 0.0) -> None:
        """Go on with what another process learned so long ago: evidence fades by it."""
        for name, evidence in known.servers.items():
            server = self._roster.servers.get(name)
            if server is not None and server.member.started_at_ms == evidence.started_at_ms:
                server.served = evidence.served_calls
                server.busy = evidence.in_flight_ms
                server.sends = deque(evidence.slow_start_sends)
                server.seen = now - age_ms
        self._times.work, self._times.easy = dict(known.latencies), dict(known.uncongested_latencies)
        self._cold.asked(now - age_ms, known.recent_requests)
        rates = self._capacities
        rates.usual, rates.asked_then = dict(known.peak_rates), dict(known.recent_requests_at_peak)
        rates.median, rates.taken = known.median_capacity, now - age_ms
        self._pressure.late, self._pressure.answers = known.overload.lateness, known.overload.responses
        self._pressure.weighed = min(known.overload.updated_at_ms, now)

    # ---- a request's path -----------------------------------------------------------------------

    def _arrived(self, event: interface.RequestArrived, now: float) -> None:
        if event.request_id in self._requests:
            raise ValueError(f"request {event.request_id} has arrived before")
        if event.class_name not in self._classes:
            raise ValueError(f"request {event.request_id} is of unknown class {event.class_name!r}")
        request = Request(event, self._classes[event.class_name], now)
        self._requests[request.id] = request
        self._cold.asked(now, 1)
        if event.expected_work_ms > 0:
            self._hint += (
                (event.expected_work_ms - self._hint) / OFFER_CALLS if self._hint else event.expected_work_ms
            )
            request.size = event.expected_work_ms / self._hint
        self._budget.earn()
        if self._settings.tier == 0 and not self._admitted(request, event, now):
            self._shed(request, LATE, now)
        elif self._queue or not self._try_send(request, now):
            self._wait(request, now)

    def _admitted(self, request: Request, event: interface.RequestArrived, now: float) -> bool:
        request.worth = self._admission.worth(event, request.cls, now)
        return self._admission.admits(request, self._let_in(now))

    def _let_in(self, now: float) -> float:
        return self._pressure.level(self._requests.values(), now)

    def _wait(self, request: Request, now: float) -> None:
        """Keep a request until a server has room, or refuse who is left over: the least worth at once.

        Guards against crowds and against callers that ask again at once, each of whose tries meets the same
        full servers. It harms by being late: a wait takes a small part of the aim, and never half of the
        caller's time.
        """
        if request.patience <= self._settings.tick_ms:
            self._shed(request, NO_ROOM, now)
            return
        self._queue.join(request)
        self._release(now)
        if len(self._queue) > self._limits.waiting_most:
            self._shed(self._queue.last(), NO_ROOM, now)
        if request.waits:
            self._actions.append(interface.SetTimer(now + request.patience, f"wait:{request.id}"))

    def _release(self, now: float) -> None:
        """Send those who wait in their turn, as far as there is room."""
        while (first := self._queue.first()) and self._try_send(first, now):
            self._queue.leave(first)

    def _shed(self, request: Request, reason: str, now: float) -> None:
        """Give up a request that was never sent; one line in the log for a whole spell."""
        self._queue.leave(request)
        if now > self._shedding_until:
            self._actions.append(interface.LogMessage(reason))
        self._shedding_until = now + MEMORY_MS
        self._give_up(request)

    def _try_send(self, request: Request, now: float) -> bool:
        if not request.is_whole:
            request.start_over(now)
        timeout = request.useful_until - now
        if timeout <= self._settings.tick_ms or len(request.attempts) >= self._settings.max_attempts:
            return False
        if (server := self._pick(request, now)) is None:
            return False
        idle = 0.0 if server.in_flight else max(now - server.used, 0.0)
        if idle and (self._budget.cost(request) or idle >= self._idle.limit):
            self._actions.append(
                interface.CloseIdleConnections(server.member.server)
            )  # what is unused so long may be dead
            idle = 0.0
        if self._settings.max_attempts > 1:
            copy_after = retries.patience(request, self._times.work[request.cls.name], timeout)
            if copy_after and self._settings.may_hedge:
                self._actions.append(interface.SetTimer(now + copy_after, f"hedge:{request.id}"))
            elif copy_after:
                timeout = copy_after
        server.catch_up(now)
        self._roster.unused.pop(server.member.server, None)
        server.in_flight += 1
        within = retries.harmless_until(request, self._settings) - now
        is_last = server.doubted or len(request.attempts) + 1 >= self._settings.max_attempts
        connect = math.inf if is_last else self._times.connect_limit(request, server.member.zone)
        request.attempts.append(Attempt(server, idle, now, timeout))
        self._cold.sent(server, now)
        self._actions.append(
            interface.SendAttempt(request.id, server.member.server, timeout, within, connect)
        )
        return True

    def _pick(self, request: Request, now: float) -> Server | None:
        """The server for the next attempt: of those that may get it and have room, by the ordinary path."""
        roster = self._roster
        if self._capacities.is_due(now):
            self._learn(now)
        if not retries.may_go_anywhere(request):
            return self._choose(request, retries.harmless(request, roster.ready, self._settings, now), now)
        for server in roster.unused.values():
            # Operators watch for its first call, and as a cold one it would seldom be drawn.
            stays = self._zones.share(server.member.zone, now) >= 1
            if stays and roster.keeps_to(server) and self._may_get(request, server, now):
                return server
        if self._settings.tier and not self._zones.shares(now):
            # Many call each server, and each sees its own calls alone: few others call those near us.
            free = [s for s in roster.home() if not s.in_flight and self._may_get(request, s, now)]
            if free:
                return self._choose(request, free, now)
        if roster.kept <= SCAN:
            return self._choose(request, roster.near(0, SCAN), now)
        return self._draw(request, now)

    def _may_get(self, request: Request, server: Server, now: float) -> bool:
        """Whether a server may get the next attempt, and has not had one of this request."""
        if any(a.server is server for a in request.attempts) or not self._limits.has(request, server):
            return False
        return not self._cold.any(now) or self._has_cold_room(server, now)

    def _has_cold_room(self, server: Server, now: float) -> bool:
        """Whether the rule on cold servers lets one more call through."""
        usual = self._capacities.present(server.member.zone, self._cold.asked(now))
        return self._cold.has_room(server, usual, max(self._times.work.values()), now)

    def _choose(self, request: Request, able: list[Server], now: float) -> Server | None:
        """Choose from a short list."""
        cold = self._cold
        if cold.any(now):
            # Two processes have one budget for cold servers between them: the one that leaves uses it last.
            warm = [s for s in able if cold.warmth(s, now) >= 1] if self._leaving else []
            able = warm or [s for s in able if self._has_cold_room(s, now)]
        if retries.may_go_anywhere(request) and (left := self._zones.left_in_full(self._roster.rings, now)):
            able = [s for s in able if s.member.zone not in left]
        if request.attempts:
            able = [s for s in able if all(a.server is not s for a in request.attempts)] or able
        able = [s for s in able if self._limits.has(request, s)]
        if not able:
            return None
        capacity = [self._capacities.estimate(s, cold.warmth(s, now), now) for s in able]
        shares = self._zones.shares(now)
        return least_loaded(draws(able, capacity, self._settings.zone, shares, self._random), self._random)

    def _draw(self, request: Request, now: float) -> Server | None:
        """Choose from more servers than can be looked at: where draws meet none, look at some of them."""
        drawn = self._field.draws(self._settings.zone, self._zones.shares(now), self._random, TRIES)
        able = ((s, self._weigh(s, now)) for s in drawn if self._may_get(request, s, now))
        if (server := least_loaded(able, self._random)) is None:
            self._look_from = (self._look_from + SCAN) % self._roster.kept
            some = [s for s in self._freed if self._roster.keeps_to(s)]
            server = self._choose(request, some + self._roster.near(self._look_from, SCAN), now)
        return server

    def _weigh(self, server: Server, now: float) -> float:
        """The capacity of a server, and from now on its weight in draws."""
        capacity = self._capacities.estimate(server, self._cold.warmth(server, now), now)
        if self._roster.keeps_to(server):
            self._field.put(server, capacity)
        return capacity

    def _learn(self, now: float) -> None:
        """Take the median and the rates of zones anew, from a part of a large fleet."""
        roster = self._roster
        if roster.kept <= SCAN:
            self._capacities.refresh(roster.ready.values(), roster.near(0, SCAN), now, self._cold.asked(now))
            return
        some = [roster.near(self._random.randrange(roster.kept), 1)[0] for _ in range(SAMPLE)]
        for server in some:
            server.catch_up(now)
            self._weigh(server, now)  # it may have faded, or warmed, unseen
        self._capacities.refresh(some, some, now, self._cold.asked(now))

    # ---- what comes of it -----------------------------------------------------------------------

    def _due(self, token: str, now: float) -> None:
        kind, _, number = token.partition(":")
        hedging = kind == "hedge" and self._settings.may_hedge
        request = self._requests.get(int(number)) if hedging or kind == "wait" else None
        if kind == "list":
            self._actions.append(interface.WatchEndpointList())
        elif request is None:
            return
        elif kind == "wait":
            if request.waits:
                self._shed(request, NO_ROOM, now)
        elif request.owed and len(request.attempts) == 1 and not self._queue and self._let_in(now) >= 1:
            self._try_again(request, now)

    def _made(self, event: interface.AttemptEnded | interface.ResponseStarted) -> tuple[Request, Attempt]:
        request = self._requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_index < len(request.attempts):
            raise ValueError(f"attempt {event.attempt_index} of request {event.request_id} was never made")
        return request, request.attempts[event.attempt_index]

    def _started(self, event: interface.ResponseStarted, now: float) -> None:
        """A long answer is on its way: it is served from here on, however slowly its caller reads."""
        request, attempt = self._made(event)
        request.streaming = True
        if attempt.out:
            self._book(attempt, Outcome.SERVED, request, now)
        if self._settings.may_cancel:
            others = (i for i, a in enumerate(request.attempts) if a.out and a is not attempt)
            self._actions.extend(interface.CancelAttempt(request.id, i) for i in others)

    def _ended(self, event: interface.AttemptEnded, now: float) -> None:
        request, attempt = self._made(event)
        if not attempt.out:
            return
        attempt.out, attempt.ran = False, event.outcome not in interface.OUTCOMES_WITHOUT_EFFECT
        if event.connect_duration_ms is not None:
            self._times.connected(event.connect_duration_ms, attempt.server.member.zone)
        self._book(attempt, event.outcome, request, now)
        if self._roster.proves_dead(attempt.server, event.outcome):
            self._take_stock(now)
        if event.is_final:
            request.owed = False
            for beaten in (a for a in request.attempts if a.out):
                self._idle.note(beaten, silent=True)
            self._cancel_rest(request)
        elif (
            request.owed
            and not request.is_out()
            and not self._try_again(request, now, event.is_body_discarded)
        ):
            self._give_up(request)
        self._drop_if_over(request)
        self._release(now)

    def _try_again(self, request: Request, now: float, body_is_gone: bool = False) -> bool:
        """Make a further attempt if the retry budget has one left; it is free if no earlier one ever ran."""
        cost = self._budget.cost(request)
        if body_is_gone or request.streaming or not (self._budget.has(cost) and self._try_send(request, now)):
            return False
        self._budget.spend(cost)
        return True

    def _give_up(self, request: Request) -> None:
        request.owed = False
        is_harmless = request.cls.idempotency is Idempotency.IDEMPOTENT or not any(
            a.ran for a in request.attempts
        )
        away = min(AWAY_PART * request.cls.latency_objective_ms, self._settings.max_retry_after_ms)
        self._actions.append(
            interface.Reject(request.id, away) if is_harmless else interface.Fail(request.id)
        )
        self._drop_if_over(request)

    def _cancel_rest(self, request: Request) -> None:
        if self._settings.may_cancel:
            self._actions.extend(
                interface.CancelAttempt(request.id, i) for i, a in enumerate(request.attempts) if a.out
            )

    def _left(self, request_id: int) -> None:
        if request := self._requests.get(request_id):
            self._queue.leave(request)
            request.owed = False
            self._cancel_rest(request)
            self._drop_if_over(request)

    def _drop_if_over(self, request: Request) -> None:
        if not request.owed and not request.is_out():
            self._requests.pop(request.id, None)

    def _book(self, attempt: Attempt, outcome: Outcome, request: Request, now: float) -> None:
        """Count a served call; book a failure at its full time-out: it must not look quick."""
        server = attempt.server
        if attempt.booked:
            return
        attempt.booked = True
        server.catch_up(now)
        server.used = now if outcome in (Outcome.SERVED, Outcome.ERROR) else math.inf
        if outcome in (Outcome.SERVED, Outcome.TIMED_OUT, Outcome.RESET):
            self._idle.note(attempt, outcome is not Outcome.SERVED)
        elapsed = now - attempt.sent
        if outcome is Outcome.SERVED:
            self._pressure.weigh(self._times.lateness(elapsed, request), min(request.size, 1.0), now)
            self._times.learn(elapsed, request)
            server.served += request.size
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            full = outcome is Outcome.REJECTED  # its own word that it is crowded
            news = max(full, attempt.ran * self._times.silence(elapsed, request))
            self._pressure.weigh(1.0, news, now)
            server.busy += max(attempt.ends - now, 0.0)
        server.in_flight -= 1
        self._roster.call_ended(server)
        if self._field:
            self._weigh(server, now)
            self._freed.append(server)
