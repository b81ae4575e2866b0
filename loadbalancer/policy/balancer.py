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
from loadbalancer.policy.admission import SMOOTHING_REQUESTS, Admission, LatencyEstimates, OverloadLevel
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.policy.limits import ConcurrencyLimits, WaitQueue
from loadbalancer.policy.requests import Attempt, Request
from loadbalancer.policy.selection import draw_by_capacity, least_loaded
from loadbalancer.policy.servers import EVIDENCE_DECAY_MS, CapacityEstimates, Server
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.weighted_sampling import Sampler
from loadbalancer.policy.zones import ZoneEvacuations

MAX_SCANNED_SERVERS = 64  # servers that are looked at one by one, for each choice, at the most
MAX_SAMPLING_DRAWS = 24  # draws from a larger fleet until one meets a server that may be sent to
MAX_REMEMBERED_FREED_SERVERS = 16  # servers that have just ended a call are looked at where draws meet none
MEDIAN_SAMPLE_SERVERS = 100  # servers of a larger fleet that the median is taken from
RETRY_AFTER_OBJECTIVE_FRACTION = (
    0.1  # of the aim: so long a refused caller is asked to stay away, to be back in time for it
)
OVERLOAD_TEXT = "answers take too long: shedding the least worth first"
NO_CAPACITY_TEXT = "no server may take a call: refusing"


class Balancer:
    """The decisions of one balancer instance: feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._random = random.Random(seed)
        self._endpoints = EndpointSet(settings, self._random)
        self._capacities = CapacityEstimates()
        self._zones = ZoneEvacuations()
        self._slow_start = SlowStart(settings, self._random)
        self._limits, self._queue = ConcurrencyLimits(settings), WaitQueue()
        self._sampler, self._look_from = Sampler(), 0  # for large fleets
        self._freed: deque[Server] = deque(maxlen=MAX_REMEMBERED_FREED_SERVERS)
        self._latencies = LatencyEstimates(settings)
        self._overload = OverloadLevel(self._latencies)
        self._admission = Admission(settings, self._latencies, self._random)
        self._retry_budget, self._idle = retries.RetryBudget(), retries.IdleTimeoutEstimate()
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
                self._actions.extend(self._endpoints.handle_list_failure(now, event.retry_within_ms))
            case interface.EndpointListUpdate():
                self._actions.extend(self._endpoints.apply_update(event, now))
                self._take_stock(now)
            case interface.CordonChanged():
                self._endpoints.apply_cordon(event, now)
                self._take_stock(now)
            case interface.ZoneEvacuation():
                self._zones.apply(event)
            case interface.TakeoverChanged():
                self._leaving = event.is_taken_over
                self._slow_start.recent_requests(
                    now, -self._slow_start.recent_requests(now)
                )  # the other process goes on with these
            case interface.ClientDisconnected():
                self._left(event.request_id)
            case interface.ResponseStarted():
                self._started(event, now)
            case interface.RequestCompleted():
                if request := self._requests.get(event.request_id):
                    request.restart_clock(now)
                    request.is_complete = True
        return self._actions

    def validate(self, event: interface.EndpointListUpdate) -> interface.EndpointListUpdate:
        """What a list is taken for; to be told with `handle`, and followed on sockets, in its place."""
        return self._endpoints.validate(event)

    def suspected_stale_servers(self) -> list[str]:
        """The servers in use that a list has left out, and that have not proved dead."""
        return sorted(name for name, server in self._endpoints.ready.items() if server.remaining_strikes)

    def excluded_servers(self, now: float) -> list[str]:
        """The listed servers that get no new work: held by operators, or ready and not kept to."""
        left = self._zones.fully_evacuated(self._endpoints.names_by_zone, now)
        ready = self._endpoints.ready.items() if left else ()
        return sorted(
            {*self._endpoints.excluded_servers(), *(n for n, s in ready if s.endpoint.zone in left)}
        )

    def zone_traffic_fraction(self, zone: str, now: float) -> float:
        """The part of a zone's capacity that is drawn from, 0 to 1."""
        return self._zones.traffic_fraction(zone, now)

    def zone_statuses(self, now: float) -> dict[str, dict[str, float]]:
        """Of each zone: the part drawn from, ready servers, our calls out on average, and our room there."""
        told: dict[str, dict[str, float]] = {}
        for server in self._endpoints.ready.values():
            server.advance_to(now)
            zone = server.endpoint.zone
            one = told.setdefault(
                zone, {"share": self.zone_traffic_fraction(zone, now), "ready": 0, "out": 0, "room": 0}
            )
            one["ready"] += 1
            one["out"] += server.in_flight_ms / EVIDENCE_DECAY_MS
            one["room"] += self._limits.calls_per_capacity_unit * server.registered_capacity
        return told

    def _take_stock(self, now: float) -> None:
        """The servers that may get work have changed."""
        roster = self._endpoints
        self._slow_start.set_last_start(roster.last_started_at_ms)
        self._limits.update(len(roster.ready), roster.subset_size, roster.total_capacity)
        moved = roster.take_changed_servers()
        if roster.subset_size <= MAX_SCANNED_SERVERS:
            self._sampler.clear()
        else:
            for server in moved if self._sampler else roster.subset_servers(0, roster.subset_size):
                if roster.is_in_subset(server):
                    self._weigh(server, now)
                else:
                    self._sampler.remove(server.endpoint.server)
        self._release(now)

    # ---- from one process to the next -----------------------------------------------------------

    def learned_state(self, now: float) -> interface.LearnedState:
        """What was learned, for the process that takes over."""
        for server in self._endpoints.servers.values():
            server.advance_to(now)
        pressure, times, rates = self._overload, self._latencies, self._capacities
        return interface.LearnedState(
            servers={
                name: interface.ServerEvidence(
                    server.endpoint.started_at_ms,
                    server.served_calls,
                    server.in_flight_ms,
                    tuple(server.slow_start_sends),
                )
                for name, server in self._endpoints.servers.items()
                if server.is_listed
            },
            latencies=times.smoothed_ms,
            uncongested_latencies=times.uncongested_ms,
            peak_rates=rates.peak_rates,
            overload=interface.OverloadEvidence(
                pressure.lateness, pressure.responses, pressure.updated_at_ms
            ),
            median_capacity=rates.median_capacity,
            recent_requests=self._slow_start.recent_requests(now),
            recent_requests_at_peak=rates.recent_requests_at_peak,
        )

    def restore(self, known: interface.LearnedState, now: float, age_ms: float = 0.0) -> None:
        """Go on with what another process learned so long ago: evidence fades by it."""
        for name, evidence in known.servers.items():
            server = self._endpoints.servers.get(name)
            if server is not None and server.endpoint.started_at_ms == evidence.started_at_ms:
                server.served_calls = evidence.served_calls
                server.in_flight_ms = evidence.in_flight_ms
                server.slow_start_sends = deque(evidence.slow_start_sends)
                server.updated_at_ms = now - age_ms
        self._latencies.smoothed_ms, self._latencies.uncongested_ms = (
            dict(known.latencies),
            dict(known.uncongested_latencies),
        )
        self._slow_start.recent_requests(now - age_ms, known.recent_requests)
        rates = self._capacities
        rates.peak_rates, rates.recent_requests_at_peak = (
            dict(known.peak_rates),
            dict(known.recent_requests_at_peak),
        )
        rates.median_capacity, rates.refreshed_at_ms = known.median_capacity, now - age_ms
        self._overload.lateness, self._overload.responses = known.overload.lateness, known.overload.responses
        self._overload.updated_at_ms = min(known.overload.updated_at_ms, now)

    # ---- a request's path -----------------------------------------------------------------------

    def _arrived(self, event: interface.RequestArrived, now: float) -> None:
        if event.request_id in self._requests:
            raise ValueError(f"request {event.request_id} has arrived before")
        if event.class_name not in self._classes:
            raise ValueError(f"request {event.request_id} is of unknown class {event.class_name!r}")
        request = Request(event, self._classes[event.class_name], now)
        self._requests[request.id] = request
        self._slow_start.recent_requests(now, 1)
        if event.expected_work_ms > 0:
            self._hint += (
                (event.expected_work_ms - self._hint) / SMOOTHING_REQUESTS
                if self._hint
                else event.expected_work_ms
            )
            request.relative_work = event.expected_work_ms / self._hint
        self._retry_budget.deposit()
        if self._settings.tier == 0 and not self._admitted(request, event, now):
            self._shed(request, OVERLOAD_TEXT, now)
        elif self._queue or not self._try_send(request, now):
            self._wait(request, now)

    def _admitted(self, request: Request, event: interface.RequestArrived, now: float) -> bool:
        request.priority_weight = self._admission.effective_weight(event, request.request_class, now)
        return self._admission.admits(request, self._admitted_fraction(now))

    def _admitted_fraction(self, now: float) -> float:
        return self._overload.admitted_fraction(self._requests.values(), now)

    def _wait(self, request: Request, now: float) -> None:
        """Keep a request until a server has room, or refuse who is left over: the least worth at once.

        Guards against crowds and against callers that ask again at once, each of whose tries meets the same
        full servers. It harms by being late: a wait takes a small part of the aim, and never half of the
        caller's time.
        """
        if request.max_wait_ms <= self._settings.tick_ms:
            self._shed(request, NO_CAPACITY_TEXT, now)
            return
        self._queue.add(request)
        self._release(now)
        if len(self._queue) > self._limits.max_waiting:
            self._shed(self._queue.last(), NO_CAPACITY_TEXT, now)
        if request.is_waiting:
            self._actions.append(interface.SetTimer(now + request.max_wait_ms, f"wait:{request.id}"))

    def _release(self, now: float) -> None:
        """Send those who wait in their turn, as far as there is room."""
        while (first := self._queue.first()) and self._try_send(first, now):
            self._queue.discard(first)

    def _shed(self, request: Request, reason: str, now: float) -> None:
        """Give up a request that was never sent; one line in the log for a whole spell."""
        self._queue.discard(request)
        if now > self._shedding_until:
            self._actions.append(interface.LogMessage(reason))
        self._shedding_until = now + EVIDENCE_DECAY_MS
        self._give_up(request)

    def _try_send(self, request: Request, now: float) -> bool:
        if not request.is_complete:
            request.restart_clock(now)
        timeout = request.useful_until_ms - now
        if timeout <= self._settings.tick_ms or len(request.attempts) >= self._settings.max_attempts:
            return False
        if (server := self._select_server(request, now)) is None:
            return False
        idle = 0.0 if server.in_flight else max(now - server.idle_since_ms, 0.0)
        if idle and (self._retry_budget.cost(request) or idle >= self._idle.limit_ms):
            self._actions.append(
                interface.CloseIdleConnections(server.endpoint.server)
            )  # what is unused so long may be dead
            idle = 0.0
        if self._settings.max_attempts > 1:
            copy_after = retries.hedge_delay_ms(
                request, self._latencies.smoothed_ms[request.request_class.name], timeout
            )
            if copy_after and self._settings.may_hedge:
                self._actions.append(interface.SetTimer(now + copy_after, f"hedge:{request.id}"))
            elif copy_after:
                timeout = copy_after
        server.advance_to(now)
        self._endpoints.awaiting_first_call.pop(server.endpoint.server, None)
        server.in_flight += 1
        within = retries.deduplicated_until_ms(request, self._settings) - now
        is_last = server.remaining_strikes or len(request.attempts) + 1 >= self._settings.max_attempts
        connect = math.inf if is_last else self._latencies.connect_limit(request, server.endpoint.zone)
        request.attempts.append(Attempt(server, idle, now, timeout))
        self._slow_start.record_send(server, now)
        self._actions.append(
            interface.SendAttempt(request.id, server.endpoint.server, timeout, within, connect)
        )
        return True

    def _select_server(self, request: Request, now: float) -> Server | None:
        """The server for the next attempt: of those that may get it and have room, by the ordinary path."""
        roster = self._endpoints
        if self._capacities.is_refresh_due(now):
            self._learn(now)
        if not retries.can_retry_anywhere(request):
            return self._choose(
                request, retries.deduplicating_servers(request, roster.ready, self._settings, now), now
            )
        for server in roster.awaiting_first_call.values():
            # Operators watch for its first call, and as a cold one it would seldom be drawn.
            stays = self._zones.traffic_fraction(server.endpoint.zone, now) >= 1
            if stays and roster.is_in_subset(server) and self._may_get(request, server, now):
                return server
        if self._settings.tier and not self._zones.reduced_fractions(now):
            # Many call each server, and each sees its own calls alone: few others call those near us.
            free = [s for s in roster.nearby_servers() if not s.in_flight and self._may_get(request, s, now)]
            if free:
                return self._choose(request, free, now)
        if roster.subset_size <= MAX_SCANNED_SERVERS:
            return self._choose(request, roster.subset_servers(0, MAX_SCANNED_SERVERS), now)
        return self._draw(request, now)

    def _may_get(self, request: Request, server: Server, now: float) -> bool:
        """Whether a server may get the next attempt, and has not had one of this request."""
        if any(a.server is server for a in request.attempts) or not self._limits.can_accept(request, server):
            return False
        return not self._slow_start.is_any_warming_up(now) or self._has_cold_room(server, now)

    def _has_cold_room(self, server: Server, now: float) -> bool:
        """Whether the rule on cold servers lets one more call through."""
        usual = self._capacities.current_rate(server.endpoint.zone, self._slow_start.recent_requests(now))
        return self._slow_start.can_accept(server, usual, max(self._latencies.smoothed_ms.values()), now)

    def _choose(self, request: Request, able: list[Server], now: float) -> Server | None:
        """Choose from a short list."""
        cold = self._slow_start
        if cold.is_any_warming_up(now):
            # Two processes have one budget for cold servers between them: the one that leaves uses it last.
            warm = [s for s in able if cold.warm_up_fraction(s, now) >= 1] if self._leaving else []
            able = warm or [s for s in able if self._has_cold_room(s, now)]
        if retries.can_retry_anywhere(request) and (
            left := self._zones.fully_evacuated(self._endpoints.names_by_zone, now)
        ):
            able = [s for s in able if s.endpoint.zone not in left]
        if request.attempts:
            able = [s for s in able if all(a.server is not s for a in request.attempts)] or able
        able = [s for s in able if self._limits.can_accept(request, s)]
        if not able:
            return None
        capacity = [self._capacities.estimate(s, cold.warm_up_fraction(s, now), now) for s in able]
        shares = self._zones.reduced_fractions(now)
        return least_loaded(
            draw_by_capacity(able, capacity, self._settings.zone, shares, self._random), self._random
        )

    def _draw(self, request: Request, now: float) -> Server | None:
        """Choose from more servers than can be looked at: where draws meet none, look at some of them."""
        drawn = self._sampler.draw(
            self._settings.zone, self._zones.reduced_fractions(now), self._random, MAX_SAMPLING_DRAWS
        )
        able = ((s, self._weigh(s, now)) for s in drawn if self._may_get(request, s, now))
        if (server := least_loaded(able, self._random)) is None:
            self._look_from = (self._look_from + MAX_SCANNED_SERVERS) % self._endpoints.subset_size
            some = [s for s in self._freed if self._endpoints.is_in_subset(s)]
            server = self._choose(
                request, some + self._endpoints.subset_servers(self._look_from, MAX_SCANNED_SERVERS), now
            )
        return server

    def _weigh(self, server: Server, now: float) -> float:
        """The capacity of a server, and from now on its weight in draws."""
        capacity = self._capacities.estimate(server, self._slow_start.warm_up_fraction(server, now), now)
        if self._endpoints.is_in_subset(server):
            self._sampler.set_weight(server, capacity)
        return capacity

    def _learn(self, now: float) -> None:
        """Take the median and the rates of zones anew, from a part of a large fleet."""
        roster = self._endpoints
        if roster.subset_size <= MAX_SCANNED_SERVERS:
            self._capacities.refresh(
                roster.ready.values(),
                roster.subset_servers(0, MAX_SCANNED_SERVERS),
                now,
                self._slow_start.recent_requests(now),
            )
            return
        some = [
            roster.subset_servers(self._random.randrange(roster.subset_size), 1)[0]
            for _ in range(MEDIAN_SAMPLE_SERVERS)
        ]
        for server in some:
            server.advance_to(now)
            self._weigh(server, now)  # it may have faded, or warmed, unseen
        self._capacities.refresh(some, some, now, self._slow_start.recent_requests(now))

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
            if request.is_waiting:
                self._shed(request, NO_CAPACITY_TEXT, now)
        elif (
            request.is_response_due
            and len(request.attempts) == 1
            and not self._queue
            and self._admitted_fraction(now) >= 1
        ):
            self._try_again(request, now)

    def _made(self, event: interface.AttemptEnded | interface.ResponseStarted) -> tuple[Request, Attempt]:
        request = self._requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_index < len(request.attempts):
            raise ValueError(f"attempt {event.attempt_index} of request {event.request_id} was never made")
        return request, request.attempts[event.attempt_index]

    def _started(self, event: interface.ResponseStarted, now: float) -> None:
        """A long answer is on its way: it is served from here on, however slowly its caller reads."""
        request, attempt = self._made(event)
        request.is_streaming = True
        if attempt.is_in_flight:
            self._book(attempt, Outcome.SERVED, request, now)
        if self._settings.may_cancel:
            others = (i for i, a in enumerate(request.attempts) if a.is_in_flight and a is not attempt)
            self._actions.extend(interface.CancelAttempt(request.id, i) for i in others)

    def _ended(self, event: interface.AttemptEnded, now: float) -> None:
        request, attempt = self._made(event)
        if not attempt.is_in_flight:
            return
        attempt.is_in_flight, attempt.may_have_run = (
            False,
            event.outcome not in interface.OUTCOMES_WITHOUT_EFFECT,
        )
        if event.connect_duration_ms is not None:
            self._latencies.record_connect(event.connect_duration_ms, attempt.server.endpoint.zone)
        self._book(attempt, event.outcome, request, now)
        if self._endpoints.record_outcome(attempt.server, event.outcome):
            self._take_stock(now)
        if event.is_final:
            request.is_response_due = False
            for beaten in (a for a in request.attempts if a.is_in_flight):
                self._idle.record_attempt(beaten, silent=True)
            self._cancel_rest(request)
        elif (
            request.is_response_due
            and not request.has_attempt_in_flight()
            and not self._try_again(request, now, event.is_body_discarded)
        ):
            self._give_up(request)
        self._drop_if_over(request)
        self._release(now)

    def _try_again(self, request: Request, now: float, body_is_gone: bool = False) -> bool:
        """Make a further attempt if the retry budget has one left; it is free if no earlier one ever ran."""
        cost = self._retry_budget.cost(request)
        if (
            body_is_gone
            or request.is_streaming
            or not (self._retry_budget.can_afford(cost) and self._try_send(request, now))
        ):
            return False
        self._retry_budget.withdraw(cost)
        return True

    def _give_up(self, request: Request) -> None:
        request.is_response_due = False
        is_harmless = request.request_class.idempotency is Idempotency.IDEMPOTENT or not any(
            a.may_have_run for a in request.attempts
        )
        away = min(
            RETRY_AFTER_OBJECTIVE_FRACTION * request.request_class.latency_objective_ms,
            self._settings.max_retry_after_ms,
        )
        self._actions.append(
            interface.Reject(request.id, away) if is_harmless else interface.Fail(request.id)
        )
        self._drop_if_over(request)

    def _cancel_rest(self, request: Request) -> None:
        if self._settings.may_cancel:
            self._actions.extend(
                interface.CancelAttempt(request.id, i)
                for i, a in enumerate(request.attempts)
                if a.is_in_flight
            )

    def _left(self, request_id: int) -> None:
        if request := self._requests.get(request_id):
            self._queue.discard(request)
            request.is_response_due = False
            self._cancel_rest(request)
            self._drop_if_over(request)

    def _drop_if_over(self, request: Request) -> None:
        if not request.is_response_due and not request.has_attempt_in_flight():
            self._requests.pop(request.id, None)

    def _book(self, attempt: Attempt, outcome: Outcome, request: Request, now: float) -> None:
        """Count a served call; book a failure at its full time-out: it must not look quick."""
        server = attempt.server
        if attempt.is_recorded:
            return
        attempt.is_recorded = True
        server.advance_to(now)
        server.idle_since_ms = now if outcome in (Outcome.SERVED, Outcome.ERROR) else math.inf
        if outcome in (Outcome.SERVED, Outcome.TIMED_OUT, Outcome.RESET):
            self._idle.record_attempt(attempt, outcome is not Outcome.SERVED)
        elapsed = now - attempt.sent_at_ms
        if outcome is Outcome.SERVED:
            self._overload.record(
                self._latencies.lateness(elapsed, request), min(request.relative_work, 1.0), now
            )
            self._latencies.record_latency(elapsed, request)
            server.served_calls += request.relative_work
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            full = outcome is Outcome.REJECTED  # its own word that it is crowded
            news = max(full, attempt.may_have_run * self._latencies.silence_weight(elapsed, request))
            self._overload.record(1.0, news, now)
            server.in_flight_ms += max(attempt.times_out_at_ms - now, 0.0)
        server.in_flight -= 1
        self._endpoints.forget_if_unused(server)
        if self._sampler:
            self._weigh(server, now)
            self._freed.append(server)
