"""The cost of a step for each role, and how soon its changes were in force.

A row is what was measured of a process in one second; keys of rows and figures are those of figures.json.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from loadbalancer.scale.supervisor import ScaleProcess, ScaleSupervisor

MAX_RECORDED_MS = 600_000  # of a change; longer times are recorded as this
WORST_WINDOW_S = 10  # the operators' requirements limit the worst ten seconds
COSTS = ("cpu", "bytes", "calls", "dials", "watches")
Row = dict[str, Any]
Series = dict[int, dict[str, float]]  # of one process or balancer, by second: cpu (cores), bytes, calls
ChangeKey = tuple[str, str]  # an upstream's name and its new state


# ---- by second ------------------------------------------------------------------------------------


def balancer_series(process: ScaleProcess, hollow_count: int) -> Series:
    """Return a balancer's values by second; for hollow ones the mean of their host's `hollow_count`."""
    series: Series = defaultdict(dict)
    for row in process.rows:
        values = series[row["second"]]
        if "cpu" in row:
            values["cpu"] = row["cpu"] / hollow_count
        if "bytes" in row:
            values["bytes"] = sum(row["bytes"].values()) / hollow_count
            values["calls"] = sum(row["calls"].values()) / hollow_count
            values["dials"] = row.get("dials", 0) / hollow_count
            values["most"] = row.get("most", 0.0)
            values["lag_ms"] = row.get("lag_ms", 0.0)
    return series


def instance_series(supervisor: ScaleSupervisor, number: int) -> Series:
    """Return an instance's values by second: calls of all other processes to it, and the exchange."""
    address = supervisor.instances[number]
    series: Series = defaultdict(dict)
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    for process in supervisor.processes.values():
        for row in process.rows:
            if "calls" in row:
                count = counts[row["second"]]
                count["bytes"] += row["bytes"].get(address, 0)
                count["calls"] += row["calls"].get(address, 0)
                if process.kind != "registrar":
                    count["watches"] += row["calls"].get(address, 0)
    for row in supervisor.processes[f"list{number}"].rows:
        if "cpu" in row:
            series[row["second"]]["cpu"] = row["cpu"]
        if "exchanged" in row:
            counts[row["second"]]["bytes"] += row["exchanged"]
            counts[row["second"]]["calls"] += row["asked"]
    for second, count in counts.items():
        series[second] |= {key: float(count[key]) for key in ("bytes", "calls", "watches")}
    return series


def series_by_role(supervisor: ScaleSupervisor, hollow_counts: dict[str, int]) -> dict[str, list[Series]]:
    """Return a series for each process by role; `hollow_counts` are the hollow balancers of each host."""
    roles: dict[str, list[Series]] = defaultdict(list)
    for name, process in supervisor.processes.items():
        if process.kind == "instance":
            series = instance_series(supervisor, int(name.removeprefix("list")))
        else:
            hollow_count = max(hollow_counts[name], 1) if process.kind == "hollow" else 1
            series = balancer_series(process, hollow_count)
        roles[process.kind].append(series)
    return roles


# ---- by step --------------------------------------------------------------------------------------


def role_cost(units: list[Series], begin: int, end: int) -> dict[str, float]:
    """Return mean, worst second and worst ten seconds of a role's units, between two Unix seconds."""
    figures: dict[str, float] = {}
    for key in COSTS:
        spans = [_values(unit, key, begin, end) for unit in units]
        spans = [span for span in spans if span]
        if not spans:
            continue
        name = key if key == "cpu" else f"{key}_s"
        all_values = [value for span in spans for value in span]
        figures[f"{name}_mean"] = sum(all_values) / len(all_values)
        figures[f"{name}_worst"] = max(all_values)
        figures[f"{name}_worst10"] = max(_worst_mean(span, WORST_WINDOW_S) for span in spans)
    if lag_ms := max((value for unit in units for value in _values(unit, "lag_ms", begin, end)), default=0):
        figures["lag_ms_worst"] = lag_ms  # of a host's event loop: a delay up to this is not the balancer's
    if most := max((value for unit in units for value in _values(unit, "most", begin, end)), default=0.0):
        figures["bytes_s_worst_one"] = most  # of any single hollow balancer
    return {key: round(value, 6 if key.startswith("cpu") else 3) for key, value in figures.items()}


def _values(unit: Series, key: str, begin: int, end: int) -> list[float]:
    """Return a unit's values between two seconds, in order."""
    return [values[key] for second, values in sorted(unit.items()) if begin <= second < end and key in values]


def _worst_mean(span: list[float], width: int) -> float:
    """Return the largest mean of `width` consecutive seconds."""
    width = min(width, len(span))
    return max(sum(span[at : at + width]) / width for at in range(len(span) - width + 1))


def time_in_force(changes: Iterable[Row], reports: list[Row], *, has_subsets: bool = False) -> dict[str, Any]:
    """Return how soon changes were in force at the last balancer, in ms, and how many were missed or stale.

    Each change has `name`, `state`, `tier` and `at_ms`: when the answered call to the registry was sent, or
    when the registry first knew. `never_told` counts pairs of a missed change and a balancer that stayed and
    subscribes to its tier. With subsets (`has_subsets`) only the registry knows which balancers should have
    a change, so it counts the changes that no balancer has.
    """
    stayed: Counter[str] = Counter()
    counts: Counter[ChangeKey] = Counter()
    last_ms: dict[ChangeKey, float] = {}
    for report in reports:
        stayed.update(report["stayed"])
        for name, state, count, applied_at_ms in report["seen"]:
            counts[name, state] += count
            last_ms[name, state] = max(last_ms.get((name, state), 0.0), applied_at_ms)
    times_ms = []
    missed_count = 0
    for change in changes:
        key = change["name"], change["state"]
        expected = stayed[change["tier"]]
        missed_count += max((bool(expected) if has_subsets else expected) - counts[key], 0)
        if key in last_ms:
            times_ms.append(max(last_ms[key] - change["at_ms"], 0.0))
    stale_count = sum(report["stale"] for report in reports)
    first_stale = next((report["first_stale"] for report in reports if report["first_stale"]), "")
    figures = {"never_told": missed_count, "stale_after": stale_count, "first_stale": first_stale}
    return summarize_times(times_ms) | figures


def summarize_times(times_ms: list[float]) -> dict[str, Any]:
    """Return median, p99 and maximum of times in ms, from an HDR histogram; 0 if there are none."""
    histogram = HdrHistogram(1, MAX_RECORDED_MS, 3)
    for time_ms in times_ms:
        histogram.record_value(min(max(round(time_ms), 1), MAX_RECORDED_MS))
    if not times_ms:
        return {"count": 0, "median": 0, "p99": 0, "max": 0}
    return {
        "count": len(times_ms),
        "median": histogram.get_value_at_percentile(50),
        "p99": histogram.get_value_at_percentile(99),
        "max": histogram.get_max_value(),
        "hdr": histogram.encode().decode(),
    }


def without_samples(run: Row) -> Row:
    """Return a run's figures without the values by second and the histograms, for storage."""
    steps = {}
    for step, figures in run["steps"].items():
        times = {key: value for key, value in figures["in_force_ms"].items() if key != "hdr"}
        steps[step] = {
            "seconds": figures["end"] - figures["begin"], "roles": figures["roles"], "in_force_ms": times,
            "machine_cores": figures["machine_cores"],
        }  # fmt: skip
    return {key: value for key, value in run.items() if key not in ("steps", "by_time")} | {"steps": steps}
