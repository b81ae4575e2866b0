"""A server: cores shared by running jobs, slots, a bounded queue, and what slows it down."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.simulation.clock import Cancellable, Timekeeper

WARM_UP_STEP_MS = 100.0  # interval at which the pace of a server that warms up is updated


@dataclass
class ServerSpec:
    """The properties of a server: drawn once, and unknown to the balancers."""

    name: str
    tier: int
    zone: str
    cores: int
    speed: float
    slots: int
    queue: int
    connections: int
    thrash: float
    thrash_at: float  # requests in slots for each core, above which it loses efficiency
    error_rate: float
    initial_capacity: float
    warm_up_ms: float
    choke_threshold: float = math.inf
    choke_delay_ms: float = 0.0
    choke_slowdown: float = 1.0
    choke_recovery_threshold: float = 0.0
    choke_recovery_ms: float = 0.0
    max_choke_ms: float = 0.0


class Job:
    """Work that a server has accepted: it has a slot or waits for one."""

    __slots__ = ("began_at", "ends_at", "is_alive", "is_running", "on_done", "on_started", "work")

    def __init__(
        self, work: float, on_started: Callable[[Job], None], on_done: Callable[[Job], None]
    ) -> None:
        self.work, self.on_started, self.on_done = work, on_started, on_done
        self.is_alive, self.is_running = True, False
        self.ends_at, self.began_at = 0.0, 0.0


class Server:
    """One server. Work is in ms of the standard core; running jobs share the cores equally.

    All running jobs get the same service, so a job ends when `_service_per_job` has grown by its work since
    it began: one heap and one scheduled call serve all jobs.
    """

    def __init__(self, clock: Timekeeper, spec: ServerSpec) -> None:
        self.clock, self.spec = clock, spec
        self.is_up, self.is_silent, self.is_draining = True, False, False
        self.started_at = 0.0  # 0 for long ago
        self.slowdown, self.error_rate, self.is_paused = 1.0, spec.error_rate, False
        self.is_choked, self.choke_count, self.choked_ms = False, 0, 0.0
        self.connections = 0
        self.completed_work_ms = 0.0
        self._service_per_job, self._accounted_until, self._current_pace = 0.0, clock.now, 0.0
        self._heap: list[tuple[float, int, Job]] = []
        self._running_count, self._slots_in_use, self._order = 0, 0, 0
        self._queue: deque[Job] = deque()
        self._next_end: Cancellable | None = None
        self._overloaded_since = self._idle_since = math.inf
        self._choked_at = 0.0
        self._choke_check: Cancellable | None = None

    @property
    def in_flight(self) -> int:
        """Requests in slots, running or waiting for the next tier, and in the queue."""
        return self._slots_in_use + len(self._queue)

    @property
    def waiting(self) -> int:
        """Requests that need a core: those that run, and those in the queue."""
        return self._running_count + len(self._queue)

    def warm_up_fraction(self) -> float:
        """Return the fraction of its full capacity that it has now: 1 once it is warm."""
        age = self.clock.now - self.started_at
        if self.started_at <= 0 or age >= self.spec.warm_up_ms:
            return 1.0
        return self.spec.initial_capacity + (1 - self.spec.initial_capacity) * age / self.spec.warm_up_ms

    def capacity(self) -> float:
        """Return its current capacity, in ms of work per ms."""
        if not self.is_up or self.is_paused:
            return 0.0
        slower = self.slowdown * (self.spec.choke_slowdown if self.is_choked else 1.0)
        return self.spec.cores * self.spec.speed * self.warm_up_fraction() / slower

    # ---- work -----------------------------------------------------------------------------------

    def submit(self, job: Job) -> bool:
        """Start a request, or queue it until a slot is free; return False if the queue is full."""
        if self._slots_in_use < self.spec.slots:
            self._begin(job)
        elif len(self._queue) < self.spec.queue:
            self._queue.append(job)
            self._update_choke_conditions()
        else:
            return False
        return True

    def release(self, job: Job) -> None:
        """End a request and give its slot to the next one."""
        if not job.is_alive:
            return
        job.is_alive = False
        if job.is_running:
            self._account_service()
            job.is_running = False
            self._running_count -= 1
            self._schedule_next_end()
        elif job.began_at == 0.0:
            return  # it is in the queue, and is skipped when its turn comes
        self._slots_in_use -= 1
        self._start_queued()

    def add_work(self, work: float) -> None:
        """Add work that needs no slot, such as a handshake or health check, but competes for the cores."""
        job = Job(work, lambda _: None, lambda _: None)
        job.is_alive = True
        self._run(job)

    def _begin(self, job: Job) -> None:
        self._slots_in_use += 1
        job.began_at = self.clock.now or 1e-9
        job.on_started(job)

    def _run(self, job: Job) -> None:
        self._account_service()
        self._order += 1
        job.is_running, job.ends_at = True, self._service_per_job + job.work
        self._running_count += 1
        heapq.heappush(self._heap, (job.ends_at, self._order, job))
        self._schedule_next_end()
        self._update_choke_conditions()

    def start(self, job: Job, work: float) -> None:
        """Run a part of a request that has a slot: the first one, or the one after its calls."""
        job.work = work
        self._run(job)

    def _start_queued(self) -> None:
        while self._queue and self._slots_in_use < self.spec.slots:
            job = self._queue.popleft()
            if job.is_alive:
                self._begin(job)
        self._update_choke_conditions()

    def _compute_pace(self) -> float:
        """Return the service that each running job gets, in ms of work per ms."""
        if not self._running_count:
            return 0.0
        excess = max(self._slots_in_use / self.spec.cores / self.spec.thrash_at - 1, 0.0)
        each = min(1.0, self.spec.cores / self._running_count)
        return self.capacity() / self.spec.cores * each / (1 + self.spec.thrash * excess)

    def _account_service(self) -> None:
        """Account the service that running jobs got up to now."""
        elapsed = self.clock.now - self._accounted_until
        self._accounted_until = self.clock.now
        if elapsed > 0 and self._running_count:
            service = elapsed * self._current_pace
            self._service_per_job += service
            self.completed_work_ms += service * self._running_count

    def _schedule_next_end(self) -> None:
        """Schedule the end of the next job to finish at the current pace."""
        self._current_pace = self._compute_pace()
        if self._next_end is not None:
            self._next_end.cancel()
            self._next_end = None
        heap = self._heap
        while heap and not (heap[0][2].is_running and heap[0][2].ends_at == heap[0][0]):
            heapq.heappop(heap)
        if not heap or self._current_pace <= 0:
            return
        wait = max(heap[0][0] - self._service_per_job, 0.0) / self._current_pace
        if self.warm_up_fraction() < 1 and wait > WARM_UP_STEP_MS:
            self._next_end = self.clock.after(WARM_UP_STEP_MS, self.update_pace)
        else:
            self._next_end = self.clock.after(wait, self._finish)

    def _finish(self) -> None:
        self._next_end = None
        self._account_service()
        _, _, job = heapq.heappop(self._heap)
        if job.is_running:
            job.is_running = False
            self._running_count -= 1
            self._schedule_next_end()
            self._update_choke_conditions()
            job.on_done(job)
        else:
            self._schedule_next_end()

    # ---- state changes --------------------------------------------------------------------------

    def update_pace(self) -> None:
        """Apply a change of what determines its pace."""
        self._account_service()
        self._schedule_next_end()

    def stop(self, silent: bool = False) -> None:
        """Go down and lose all requests; if silent, refuse no connections either."""
        self.is_up, self.is_silent = False, silent
        self._account_service()
        self._heap.clear()
        self._queue.clear()
        self._running_count = self._slots_in_use = self.connections = 0
        self._schedule_next_end()
        self._update_choke_conditions()

    def start_anew(self) -> None:
        """Come up again, cold."""
        self.is_up, self.is_silent, self.is_choked = True, False, False
        self.started_at = self.clock.now
        self._overloaded_since = self._idle_since = math.inf
        self.update_pace()

    def _update_choke_conditions(self) -> None:
        """Track since when waiting requests exceed the choke threshold, or permit recovery from it."""
        spec, now = self.spec, self.clock.now
        if spec.choke_threshold == math.inf:
            return
        ratio = self.waiting / spec.cores
        if not self.is_choked:
            if ratio < spec.choke_threshold:
                self._overloaded_since = math.inf
            elif self._overloaded_since == math.inf:
                self._overloaded_since = now
                self._schedule_choke_check(now + spec.choke_delay_ms)
        elif ratio > spec.choke_recovery_threshold:
            self._idle_since = math.inf
        elif self._idle_since == math.inf:
            self._idle_since = now
            self._schedule_choke_check(now + spec.choke_recovery_ms)

    def _schedule_choke_check(self, when: float) -> None:
        if self._choke_check is not None:
            self._choke_check.cancel()
        self._choke_check = self.clock.at(when, self._check_choke)

    def _check_choke(self) -> None:
        spec, now = self.spec, self.clock.now
        if not self.is_choked:
            if now - self._overloaded_since >= spec.choke_delay_ms:
                self._set_choked(True)
                self._schedule_choke_check(now + spec.max_choke_ms)
        elif now - self._idle_since >= spec.choke_recovery_ms or now - self._choked_at >= spec.max_choke_ms:
            self._set_choked(False)
        else:
            self._schedule_choke_check(self._choked_at + spec.max_choke_ms)

    def _set_choked(self, is_choked: bool) -> None:
        if is_choked:
            self.choke_count += 1
            self._choked_at = self.clock.now
        else:
            self.choked_ms += self.clock.now - self._choked_at
        self.is_choked = is_choked
        self._overloaded_since = self._idle_since = math.inf
        self.update_pace()
        self._update_choke_conditions()
