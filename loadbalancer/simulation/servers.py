"""A server: cores shared by what runs, slots, a waiting room, and all that makes it slow."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.simulation.clock import Pending, Timekeeper

WARM_STEP_MS = 100.0  # the pace of a cold server is brought up to date in steps of this


@dataclass
class ServerSpec:
    """What a server is: drawn once, and not told to any balancer."""

    name: str
    tier: int
    zone: str
    cores: int
    speed: float
    slots: int
    queue: int
    connections: int
    thrash: float
    thrash_at: float  # calls held a core, from which on it grows less efficient
    error_rate: float
    initial_capacity: float
    warm_up_ms: float
    choke_at: float = math.inf
    choke_over_ms: float = 0.0
    choke_slower: float = 1.0
    choke_below: float = 0.0
    choke_rest_ms: float = 0.0
    choke_most_ms: float = 0.0


class Job:
    """Work that a server has taken, or that waits for a slot."""

    __slots__ = ("alive", "began", "done", "ends_at", "running", "started", "work")

    def __init__(self, work: float, started: Callable[[Job], None], done: Callable[[Job], None]) -> None:
        self.work, self.started, self.done = work, started, done
        self.alive, self.running = True, False
        self.ends_at, self.began = 0.0, 0.0


class Server:
    """One machine. Work is in ms of the standard core; what runs shares the cores equally.

    Time goes by for all that runs alike, so each job ends when the service given to each (`_given`) has
    reached what it was at its begin and its work on top: one heap, and one thing due, for all.
    """

    def __init__(self, clock: Timekeeper, build: ServerSpec) -> None:
        self.clock, self.build = clock, build
        self.is_up, self.is_silent, self.is_draining = True, False, False
        self.started_at = 0.0  # 0 for long ago
        self.slowdown, self.error_rate, self.is_paused = 1.0, build.error_rate, False
        self.is_choked, self.choked_times, self.choked_ms = False, 0, 0.0
        self.connections = 0
        self.worked = 0.0
        self._given, self._seen, self._pace_now = 0.0, clock.now, 0.0
        self._heap: list[tuple[float, int, Job]] = []
        self._running, self._held, self._order = 0, 0, 0
        self._queue: deque[Job] = deque()
        self._next: Pending | None = None
        self._crowded_since = self._idle_since = math.inf
        self._choked_at = 0.0
        self._choke_due: Pending | None = None

    @property
    def in_flight(self) -> int:
        """Requests in slots, running or waiting for the next tier, and in the waiting room."""
        return self._held + len(self._queue)

    @property
    def waiting(self) -> int:
        """Requests that want a core: those that run, and those in the waiting room."""
        return self._running + len(self._queue)

    def warmth(self) -> float:
        """The share of its capacity that it has: all of it when it is warm."""
        age = self.clock.now - self.started_at
        if self.started_at <= 0 or age >= self.build.warm_up_ms:
            return 1.0
        return self.build.initial_capacity + (1 - self.build.initial_capacity) * age / self.build.warm_up_ms

    def capacity(self) -> float:
        """What it can do now, in ms of work a ms."""
        if not self.is_up or self.is_paused:
            return 0.0
        slower = self.slowdown * (self.build.choke_slower if self.is_choked else 1.0)
        return self.build.cores * self.build.speed * self.warmth() / slower

    # ---- work -----------------------------------------------------------------------------------

    def submit(self, job: Job) -> bool:
        """Take a request, now or when a slot is free; False if the waiting room is full."""
        if self._held < self.build.slots:
            self._begin(job)
        elif len(self._queue) < self.build.queue:
            self._queue.append(job)
            self._watch()
        else:
            return False
        return True

    def release(self, job: Job) -> None:
        """A request is over: its slot goes to the next one."""
        if not job.alive:
            return
        job.alive = False
        if job.running:
            self._settle()
            job.running = False
            self._running -= 1
            self._plan()
        elif job.began == 0.0:
            return  # it waits for a slot, and is passed over when its turn comes
        self._held -= 1
        self._admit()

    def add_work(self, work: float) -> None:
        """Work beside all requests, as for a handshake or a probe: it takes a core's time from them."""
        job = Job(work, lambda _: None, lambda _: None)
        job.alive = True
        self._run(job)

    def _begin(self, job: Job) -> None:
        self._held += 1
        job.began = self.clock.now or 1e-9
        job.started(job)

    def _run(self, job: Job) -> None:
        self._settle()
        self._order += 1
        job.running, job.ends_at = True, self._given + job.work
        self._running += 1
        heapq.heappush(self._heap, (job.ends_at, self._order, job))
        self._plan()
        self._watch()

    def start(self, job: Job, work: float) -> None:
        """Run a part of a request that has its slot: the first, or what follows its calls."""
        job.work = work
        self._run(job)

    def _admit(self) -> None:
        while self._queue and self._held < self.build.slots:
            job = self._queue.popleft()
            if job.alive:
                self._begin(job)
        self._watch()

    def _pace(self) -> float:
        """Service for each job that runs, in ms of work a ms."""
        if not self._running:
            return 0.0
        crowd = max(self._held / self.build.cores / self.build.thrash_at - 1, 0.0)
        each = min(1.0, self.build.cores / self._running)
        return self.capacity() / self.build.cores * each / (1 + self.build.thrash * crowd)

    def _settle(self) -> None:
        """Give what runs its service up to now."""
        gone = self.clock.now - self._seen
        self._seen = self.clock.now
        if gone > 0 and self._running:
            given = gone * self._pace_now
            self._given += given
            self.worked += given * self._running

    def _plan(self) -> None:
        """See when the next job ends, at the pace of now."""
        self._pace_now = self._pace()
        if self._next is not None:
            self._next.cancel()
            self._next = None
        heap = self._heap
        while heap and not (heap[0][2].running and heap[0][2].ends_at == heap[0][0]):
            heapq.heappop(heap)
        if not heap or self._pace_now <= 0:
            return
        wait = max(heap[0][0] - self._given, 0.0) / self._pace_now
        if self.warmth() < 1 and wait > WARM_STEP_MS:
            self._next = self.clock.after(WARM_STEP_MS, self.update_pace)
        else:
            self._next = self.clock.after(wait, self._finish)

    def _finish(self) -> None:
        self._next = None
        self._settle()
        _, _, job = heapq.heappop(self._heap)
        if job.running:
            job.running = False
            self._running -= 1
            self._plan()
            self._watch()
            job.done(job)
        else:
            self._plan()

    # ---- what happens to it ---------------------------------------------------------------------

    def update_pace(self) -> None:
        """Its pace may be another from now on."""
        self._settle()
        self._plan()

    def stop(self, silent: bool = False) -> None:
        """It goes down: what it held is lost. A silent one does not even refuse."""
        self.is_up, self.is_silent = False, silent
        self._settle()
        self._heap.clear()
        self._queue.clear()
        self._running = self._held = self.connections = 0
        self._plan()
        self._watch()

    def start_anew(self) -> None:
        """It is back, and cold."""
        self.is_up, self.is_silent, self.is_choked = True, False, False
        self.started_at = self.clock.now
        self._crowded_since = self._idle_since = math.inf
        self.update_pace()

    def _watch(self) -> None:
        """Look whether a crowd has been here long enough, or has been gone."""
        build, now = self.build, self.clock.now
        if build.choke_at == math.inf:
            return
        ratio = self.waiting / build.cores
        if not self.is_choked:
            if ratio < build.choke_at:
                self._crowded_since = math.inf
            elif self._crowded_since == math.inf:
                self._crowded_since = now
                self._look_at(now + build.choke_over_ms)
        elif ratio > build.choke_below:
            self._idle_since = math.inf
        elif self._idle_since == math.inf:
            self._idle_since = now
            self._look_at(now + build.choke_rest_ms)

    def _look_at(self, when: float) -> None:
        if self._choke_due is not None:
            self._choke_due.cancel()
        self._choke_due = self.clock.at(when, self._look)

    def _look(self) -> None:
        build, now = self.build, self.clock.now
        if not self.is_choked:
            if now - self._crowded_since >= build.choke_over_ms:
                self._choke(True)
                self._look_at(now + build.choke_most_ms)
        elif now - self._idle_since >= build.choke_rest_ms or now - self._choked_at >= build.choke_most_ms:
            self._choke(False)
        else:
            self._look_at(self._choked_at + build.choke_most_ms)

    def _choke(self, on: bool) -> None:
        if on:
            self.choked_times += 1
            self._choked_at = self.clock.now
        else:
            self.choked_ms += self.clock.now - self._choked_at
        self.is_choked = on
        self._crowded_since = self._idle_since = math.inf
        self.update_pace()
        self._watch()
