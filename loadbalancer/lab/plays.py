"""Run plays, each of one scenario, seed and policy, in parallel; results are stored as JSON lines."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from loadbalancer.lab import policies
from loadbalancer.simulation.scenario import Scenario, draw

RESULTS_FILE = "results.jsonl"
MAX_LATENCY_MS = 60_000
HISTOGRAM_DIGITS = 2  # significant digits of the latency histograms


class Job(msgspec.Struct, frozen=True, order=True):
    """A play to run; `label` is the policy's name in results, with its commit if one was chosen."""

    name: str
    seed: int
    policy: str
    label: str
    scenario: Scenario


class Record(msgspec.Struct, frozen=True):
    """The result of a play, independent of the machine and of the time that it took."""

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
        """The scenario, seed and policy of the play."""
        return self.scenario, self.seed, self.policy

    def percentile(self, cls: str, part: float) -> float:
        """Return a percentile of the latencies of a class's served requests, in ms."""
        return float(HdrHistogram.decode(self.times[cls]).get_value_at_percentile(part))


def play(job: Job) -> Record:
    """Run one play."""
    result = policies.create_fleet(draw(job.scenario, job.seed), job.policy).run()
    utility = result.utility
    times: dict[str, HdrHistogram] = {}
    for cls, took, ending in result.latencies_ms:
        histogram = times.setdefault(cls, HdrHistogram(1, MAX_LATENCY_MS, HISTOGRAM_DIGITS))
        if ending in ("in time", "late"):
            histogram.record_value(min(max(round(took), 1), MAX_LATENCY_MS))
    return Record(
        scenario=job.name,
        seed=job.seed,
        policy=job.label,
        figure=_round(utility.figure),
        whole=_round(utility.whole),
        worst_window=_round(utility.worst_window),
        worst_class=_round(utility.worst_class),
        worst_tenant=_round(utility.worst_tenant),
        prices={name: _round(price) for name, price in utility.prices.items()},
        served={name: _round(part) for name, part in utility.served.items()},
        endings=utility.endings,
        attempts=result.attempts,
        choked=result.choke_count,
        breaches=[f"{b.at_ms:.0f} ms: {b.rule}: {b.balancer}: {b.detail}" for b in result.violations[:20]],
        times={cls: histogram.encode().decode() for cls, histogram in sorted(times.items())},
    )


def _round(figure: float) -> float:
    return round(figure, 6)


def read(folder: Path) -> list[Record]:
    """Return the records of a folder, without a truncated last line; raises OSError if there is no file."""
    records = []
    for line in (folder / RESULTS_FILE).read_bytes().splitlines():
        try:
            records.append(msgspec.json.decode(line, type=Record))
        except msgspec.DecodeError:
            break
    return records


def run(
    jobs: list[Job],
    folder: Path,
    workers: int,
    policy_folder: Path | None,
    on_record: Callable[[Record], None],
) -> list[Record]:
    """Run the plays that a folder does not hold yet, and append each record when done, in order of jobs.

    After an interruption the next run keeps all complete lines and continues after them.
    """
    folder.mkdir(parents=True, exist_ok=True)
    done = {record.key: record for record in read(folder)} if (folder / RESULTS_FILE).exists() else {}
    wanted = sorted(jobs)
    kept = [done[_key_of(job)] for job in wanted if _key_of(job) in done]
    others = [record for key, record in done.items() if key not in {_key_of(job) for job in wanted}]
    left = [job for job in wanted if _key_of(job) not in done]
    encode = msgspec.json.encode
    with (folder / RESULTS_FILE).open("wb") as file:
        for record in sorted(others + kept, key=lambda r: r.key):
            file.write(encode(record) + b"\n")
        file.flush()
        new = []
        for record in _play_jobs(left, workers, policy_folder):
            file.write(encode(record) + b"\n")
            file.flush()
            new.append(record)
            on_record(record)
    return sorted(kept + new, key=lambda r: r.key)


def _key_of(job: Job) -> tuple[str, int, str]:
    return job.name, job.seed, job.label


def _play_jobs(jobs: list[Job], workers: int, policy_folder: Path | None) -> Iterator[Record]:
    if workers <= 1 and policy_folder is None:
        yield from map(play, jobs)
        return
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, context, _initialize_worker, (policy_folder,)) as pool:
        try:
            yield from pool.map(play, jobs)
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise


def _initialize_worker(policy_folder: Path | None) -> None:
    if policy_folder:
        policies.replace_policy(policy_folder)
