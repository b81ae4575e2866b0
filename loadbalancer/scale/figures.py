"""What a step cost each role, and how soon its changes were in force."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from loadbalancer.scale.supervisor import ScaleProcess, ScaleSupervisor

MAX_RECORDED_MS = 600_000
SPELL_S = 10  # seconds of the letter's worst spell
Row = dict[str, Any]
Series = dict[int, dict[str, float]]  # by second: cpu (cores), bytes, calls, of one unit of a role


def balancer_series(one: ScaleProcess, share: int) -> Series:
    """Each second of a balancer: of a hollow one the mean of its host, which holds `share`."""
    found: Series = defaultdict(dict)
    for row in one.rows:
        told = found[row["second"]]
        if "cpu" in row:
            told["cpu"] = row["cpu"] / share
        if "bytes" in row:
            told["bytes"] = sum(row["bytes"].values()) / share
            told["calls"] = sum(row["calls"].values()) / share
            told["dials"] = row.get("dials", 0) / share
            told["most"] = row.get("most", 0.0)
            told["lag_ms"] = row.get("lag_ms", 0.0)
    return found


def instance_series(crew: ScaleSupervisor, number: int) -> Series:
    """Each second of an instance: what all others have told of their calls at it, and the exchange."""
    at, found = crew.instances[number], defaultdict[int, dict[str, float]](dict)
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    for one in crew.processes.values():
        for row in one.rows:
            if "calls" in row:
                counts[row["second"]]["bytes"] += row["bytes"].get(at, 0)
                counts[row["second"]]["calls"] += row["calls"].get(at, 0)
                if one.kind != "registrar":
                    counts[row["second"]]["watches"] += row["calls"].get(at, 0)
    for row in crew.processes[f"list{number}"].rows:
        if "cpu" in row:
            found[row["second"]]["cpu"] = row["cpu"]
        if "exchanged" in row:
            counts[row["second"]]["bytes"] += row["exchanged"]
            counts[row["second"]]["calls"] += row["asked"]
    for second, count in counts.items():
        found[second] |= {key: float(count[key]) for key in ("bytes", "calls", "watches")}
    return found


def series_of(crew: ScaleSupervisor, hollow: dict[str, int]) -> dict[str, list[Series]]:
    """All that was seen by role: one series for each unit. `hollow` says how many a host holds."""
    roles: dict[str, list[Series]] = defaultdict(list)
    for name, one in crew.processes.items():
        if one.kind == "hollow":
            roles["hollow"].append(balancer_series(one, max(hollow[name], 1)))
        elif one.kind in ("real_idle", "real_called"):
            roles[one.kind].append(balancer_series(one, 1))
        elif one.kind == "instance":
            roles["instance"].append(instance_series(crew, int(name.removeprefix("list"))))
        else:
            roles[one.kind].append(balancer_series(one, 1))
    return roles


def role_cost(units: list[Series], begin: int, end: int) -> dict[str, float]:
    """Mean, worst second and worst ten of the units of a role, between two seconds of Unix time."""
    told: dict[str, float] = {}
    for key in ("cpu", "bytes", "calls", "dials", "watches"):
        spans = [
            [s[key] for at, s in sorted(unit.items()) if begin <= at < end and key in s] for unit in units
        ]
        spans = [span for span in spans if span]
        if not spans:
            continue
        name = key if key == "cpu" else f"{key}_s"
        every = [value for span in spans for value in span]
        told[f"{name}_mean"] = sum(every) / len(every)
        told[f"{name}_worst"] = max(every)
        told[f"{name}_worst10"] = max(_worst_mean(span, SPELL_S) for span in spans)
    lag_ms = max((s.get("lag_ms", 0.0) for u in units for at, s in u.items() if begin <= at < end), default=0)
    if lag_ms:
        told["lag_ms_worst"] = lag_ms  # of a host's loop: what is late by it is no balancer's fault
    most = max((s.get("most", 0.0) for u in units for at, s in u.items() if begin <= at < end), default=0.0)
    if most:
        told["bytes_s_worst_one"] = most  # of any single hollow balancer
    return {key: round(value, 6 if key.startswith("cpu") else 3) for key, value in told.items()}


def _worst_mean(span: list[float], width: int) -> float:
    width = min(width, len(span))
    return max(sum(span[at : at + width]) / width for at in range(len(span) - width + 1))


def time_in_force(changes: Iterable[Row], reports: list[Row], has_part: bool = False) -> dict[str, Any]:
    """How soon changes were in force at the last balancer, ms; who was never told one, and who is stale.

    Each change has `name`, `state`, `tier` and `at_ms`, when the service was asked for it by the call that it
    answered, or first had it. `never_told` counts pairs of a change and a balancer that stayed and wants
    its tier; where balancers hold parts (`has_part`), only the service knows who wants one: those whom
    nobody was told.
    """
    stayed: Counter[str] = Counter()
    counts: Counter[tuple[str, str]] = Counter()
    last: dict[tuple[str, str], float] = {}
    for report in reports:
        stayed.update(report["stayed"])
        for name, state, count, last_ms in report["seen"]:
            counts[name, state] += count
            last[name, state] = max(last.get((name, state), 0.0), last_ms)
    took, never = [], 0
    for change in changes:
        key = change["name"], change["state"]
        wanted = stayed[change["tier"]]
        never += max((bool(wanted) if has_part else wanted) - counts[key], 0)
        if key in last:
            took.append(max(last[key] - change["at_ms"], 0.0))
    stale = sum(report["stale"] for report in reports)
    first = next((report["first_stale"] for report in reports if report["first_stale"]), "")
    return summarize_times(took) | {"never_told": never, "stale_after": stale, "first_stale": first}


def summarize_times(took_ms: list[float]) -> dict[str, Any]:
    """Median, p99 and most of some times in ms, through an HDR histogram; 0 of none."""
    histogram = HdrHistogram(1, MAX_RECORDED_MS, 3)
    for span in took_ms:
        histogram.record_value(min(max(round(span), 1), MAX_RECORDED_MS))
    if not took_ms:
        return {"count": 0, "median": 0, "p99": 0, "max": 0}
    return {
        "count": len(took_ms),
        "median": histogram.get_value_at_percentile(50),
        "p99": histogram.get_value_at_percentile(99),
        "max": histogram.get_max_value(),
        "hdr": histogram.encode().decode(),
    }


def without_samples(told: Row) -> Row:
    """A run's figures as they are kept beside others: without each second, and the histograms' buckets."""
    steps = {}
    for step, one in told["steps"].items():
        force = {key: value for key, value in one["in_force_ms"].items() if key != "hdr"}
        seconds = one["end"] - one["begin"]
        steps[step] = {
            "seconds": seconds, "roles": one["roles"], "in_force_ms": force,
            "machine_cores": one["machine_cores"],
        }  # fmt: skip
    return {key: value for key, value in told.items() if key not in ("steps", "by_time")} | {"steps": steps}
