"""The tables that are put together from slopes and assumptions: roles, peaks, returns, machines."""

from __future__ import annotations

import math

from benchmarks.capacity_roles import Fleet, Spent
from benchmarks.capacity_text import number, table
from loadbalancer.endpoint_watch.time_budget import call_timeout_s


def _core(ms_s: float) -> str:
    return f"{number(ms_s / 10)}%"


def _kb(bytes_s: float) -> str:
    return f"{number(bytes_s / 1e3)} KB"


def _over(value: float, allowed: float) -> str:
    return "in" if value <= allowed else f"**over**, {number(value / allowed)} times"


def _verdict(spent: Spent, fleet: Fleet) -> str:
    """A balancer's spending beside its three allowances."""
    allowed = fleet.allowed
    found = {
        "bytes": _over(spent.bytes_s, allowed["bytes_s"]),
        "core": _over(spent.core_ms_s, allowed["core_part"] * 1e3),
        "memory": _over(spent.memory_mb, allowed["memory_mb"]),
    }
    over = [f"{name} {said}" for name, said in found.items() if said != "in"]
    return "; ".join(over) or "in"


def _cells(spent: Spent) -> list[str]:
    return [_kb(spent.bytes_s), _core(spent.core_ms_s), number(spent.memory_mb)]


def roles(fleet: Fleet) -> str:
    """Each role on the mean day."""
    rows = [*_balancers(fleet), _instance(fleet), _carrier(fleet), *_members(fleet), _releases(fleet)]
    rows.append(
        [
            "cold budgets", "own calls at each cold server within its window",
            "none: each keeps to its part by the number of balancers in its settings", "0", "not measured",
            "not measured", "not measured", "`policy/slow_start.py`",
        ]
    )  # fmt: skip
    head = [
        "role",
        "state",
        "messages a second",
        "bytes a second",
        "of a core",
        "MB",
        "allowance",
        "carried by",
    ]
    return table(head, rows)


def _balancers(fleet: Fleet) -> list[list[str]]:
    spent = fleet.balancer()
    calls = f"in {number(fleet.changes_s)} changes, out {number(1 / fleet.wait_s + fleet.changes_s)} calls"
    verdict = _verdict(spent, fleet)
    beside = [
        "balancer beside an upstream", f"{fleet.size:,} servers", calls, *_cells(spent), verdict,
        "list service, whole here; lists by interest, where `services` is set",
    ]  # fmt: skip
    front = [
        "balancer at a front", "the same", "the same: control does not grow with calls", *_cells(spent),
        verdict, "the same",
    ]  # fmt: skip
    return [beside, front]


def _instance(fleet: Fleet) -> list[str]:
    spent, watches = fleet.instance(), fleet.size / fleet.instances
    cores = fleet.assumed["instance_cores"]
    messages = (
        f"in {number(fleet.renewals_s / fleet.instances)} renewals, {number(watches / fleet.wait_s)} calls"
    )
    return [
        f"list service, each of {fleet.instances:g}", f"{fleet.size:,} servers, {watches:,.0f} watches",
        messages, *_cells(spent), f"{_over(spent.core_ms_s, cores * 1e3)} of {cores:g} core",
        "`registry/`; renewals that stay where they are made: none yet",
    ]  # fmt: skip


def _carrier(fleet: Fleet) -> list[str]:
    changes = number(fleet.told["target"]["config_changes_day"] / 86_400)
    return [
        "carrier of configuration", "none", f"in {changes} changes, if each goes to all",
        _kb(fleet.carrier_bytes_s()), "not measured", "not measured", "bytes in; the rest not measured",
        "none yet: a file and SIGHUP, and all but `discovery` needs a restart",
    ]  # fmt: skip


def _members(fleet: Fleet) -> list[list[str]]:
    small = fleet.size / fleet.told["target"]["services"]
    tiers = {f"one tier of {fleet.size:,}": fleet.size, f"a tier for each service, {number(small)}": small}
    rows: list[list[str]] = []
    for name, size in tiers.items() if fleet.has("notes") else ():
        spent, carried = fleet.members(size), "`membership/`, off; nothing rests on it"
        state = f"{number(size)} beliefs"
        rows.append(
            [f"membership, {name}", state, "8 to 13 out", *_cells(spent), _verdict(spent, fleet), carried]
        )
    return rows


def _releases(fleet: Fleet) -> list[str]:
    replaced = number(fleet.told["target"]["replaced_day"] / 86_400)
    return [
        "release engine", "none", f"{replaced} replacements", "not measured", "not measured", "not measured",
        "not measured", "none yet: whoever releases writes to the list service",
    ]  # fmt: skip


def peaks(fleet: Fleet) -> str:
    """What each event asks of a balancer in its worst span."""
    rows = []
    for peak in fleet.peaks():
        spent = fleet.peak(peak)
        verdict = _verdict(Spent(spent.bytes_s, spent.core_ms_s, 0.0), fleet)
        cells = [number(peak.changes), number(peak.whole), *_cells(spent)[:2]]
        rows.append([peak.name, *cells, verdict, number(fleet.peak_cores(peak)), peak.how])
    span = f"in the worst {fleet.assumed['worst_s']:g} s"
    head = [
        span,
        "changes",
        "whole lists",
        "bytes a second",
        "of a core",
        "allowance",
        "cores of each list instance",
        "because",
    ]
    return table(head, rows)


def returns(fleet: Fleet) -> str:
    """All balancers back at once, by the instances that are there."""
    rows, allowed = [], fleet.allowed["in_force_s"]
    for count in sorted({1.0, 2.0, fleet.instances / 2, fleet.instances}):
        took, bytes_s = fleet.return_s(count), fleet.tell_bytes_s(count)
        out, renewals = f"{number(bytes_s * 8 / 1e9)} Gbit", number(fleet.renewals_ms_s(count) / 1e3)
        call = call_timeout_s(int(count), is_self_hosted=True)
        told = f"{min(call / took, 1.0):.0%} in {call:.2g} s"
        rows.append([f"{count:g}", number(took), _over(took, allowed), told, out, renewals])
    head = [
        "instances", "s of each one's core until all are told", "allowance",
        "told before a call is given up",
        f"out of each within {allowed:g} s, a second", "cores of each for renewals alone",
    ]  # fmt: skip
    return table(head, rows)


def machines(fleet: Fleet) -> str:
    """What runs on the machines for control, and what is left of them."""
    target, total = fleet.told["target"], fleet.allowed["machines"]
    rows = []
    cases = {"all there": 0.0, "a zone gone": target["zones"], "a region gone": target["regions"]}
    for name, parts in cases.items():
        left = total - (math.ceil(total / parts) if parts else 0)
        held = fleet.instances - (math.ceil(fleet.instances / parts) if parts else 0)
        spent, free = fleet.instance(held), (left - held) * fleet.assumed["control_cores"]
        cells = [f"{left:g} of {total:g}", f"{held:g}", f"{fleet.size / held:,.0f}"]
        rows.append([name, *cells, number(spent.core_ms_s / 1e3), number(spent.memory_mb), f"{free:g}"])
    head = [
        "", "machines", "list instances, one a machine", "watches each", "cores each", "MB each",
        "cores of the machines without one",
    ]  # fmt: skip
    return table(head, rows)
