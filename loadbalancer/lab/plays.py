"""Plays: one scenario, seed and policy each, many at a time, and one line of JSON for each."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from loadbalancer.lab import policies
from loadbalancer.simulation.scenario import Scenario, draw

FILE = "results.jsonl"
LONGEST_MS = 60_000
DIGITS = 2  # of the histograms of times


class Job(msgspec.Struct, frozen=True, order=True):
    """What to play. `label` is the policy's name in results: it tells the commit, too."""

    name: str
    seed: int
    policy: str
    label: str
    scenario: Scenario


class Record(msgspec.Struct, frozen=True):
    """What came of a play. Nothing here hangs on the machine or on the time it took."""

    scenario: str
    seed: int
    policy: str
    figure: float
    whole: float
    worst_window: float
    worst_class: float
    worst_tenant: float
    prices: dict[str, float]
    served: dict[str, float]
    endings: dict[str, int]
    attempts: int
    choked: int
    breaches: list[str]
    times: dict[str, str]  # for each class an HDR histogram, in ms, as its library encodes it

    @property
    def key(self) -> tuple[str, int, str]:
        """What it was a play of."""
        return self.scenario, self.seed, self.policy

    def percentile(self, cls: str, part: float) -> float:
        """The time in ms within which so many in 100 requests of a class had an answer that served them."""
        return float(HdrHistogram.decode(self.times[cls]).get_value_at_percentile(part))


def play(job: Job) -> Record:
    """Play a day."""
    result = policies.create_fleet(draw(job.scenario, job.seed), job.policy).run()
    utility = result.utility
    times: dict[str, HdrHistogram] = {}
    for cls, took, ending in result.took_ms:
        histogram = times.setdefault(cls, HdrHistogram(1, LONGEST_MS, DIGITS))
        if ending in ("in time", "late"):
            histogram.record_value(min(max(round(took), 1), LONGEST_MS))
    return Record(
        scenario=job.name,
        seed=job.seed,
        policy=job.label,
        figure=_short(utility.figure),
        whole=_short(utility.whole),
        worst_window=_short(utility.worst_window),
        worst_class=_short(utility.worst_class),
        worst_tenant=_short(utility.worst_tenant),
        prices={name: _short(price) for name, price in utility.prices.items()},
        served={name: _short(part) for name, part in utility.served.items()},
        endings=utility.endings,
        attempts=result.attempts,
        choked=result.choked_times,
        breaches=[f"{b.at_ms:.0f} ms: {b.rule}: {b.balancer}: {b.detail}" for b in result.violations[:20]],
        times={cls: histogram.encode().decode() for cls, histogram in sorted(times.items())},
    )


def _short(figure: float) -> float:
    return round(figure, 6)


def read(folder: Path) -> list[Record]:
    """The plays of a folder; a last line that was cut off is passed over. OSError if there is no file."""
    records = []
    for line in (folder / FILE).read_bytes().splitlines():
        try:
            records.append(msgspec.json.decode(line, type=Record))
        except msgspec.DecodeError:
            break
    return records


def run(
    jobs: list[Job], folder: Path, workers: int, decisions: Path | None, tell: Callable[[Record], None]
) -> list[Record]:
    """Play what a folder does not hold yet, and write it down as it is done, in the order of the jobs.

    Whatever stops this, the lines that are there are whole, and the next run goes on behind them.
    """
    folder.mkdir(parents=True, exist_ok=True)
    done = {record.key: record for record in read(folder)} if (folder / FILE).exists() else {}
    wanted = sorted(jobs)
    kept = [done[_key(job)] for job in wanted if _key(job) in done]
    others = [record for key, record in done.items() if key not in {_key(job) for job in wanted}]
    left = [job for job in wanted if _key(job) not in done]
    encode = msgspec.json.encode
    with (folder / FILE).open("wb") as file:
        for record in sorted(others + kept, key=lambda r: r.key):
            file.write(encode(record) + b"\n")
        file.flush()
        new = []
        for record in _played(left, workers, decisions):
            file.write(encode(record) + b"\n")
            file.flush()
            new.append(record)
            tell(record)
    return sorted(kept + new, key=lambda r: r.key)


def _key(job: Job) -> tuple[str, int, str]:
    return job.name, job.seed, job.label


def _played(jobs: list[Job], workers: int, decisions: Path | None) -> Iterator[Record]:
    if workers <= 1 and decisions is None:
        yield from map(play, jobs)
        return
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, context, _start, (decisions,)) as pool:
        try:
            yield from pool.map(play, jobs)
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise


def _start(decisions: Path | None) -> None:
    if decisions:
        policies.replace_policy(decisions)
