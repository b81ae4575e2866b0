"""The tables of docs/CAPACITY.md, each between its markers, from kept figures and assumptions."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from typing import Any

from benchmarks.capacity_calls import added, scale
from benchmarks.capacity_figures import ROOT, assumptions, load
from benchmarks.capacity_reckoned import machines, peaks, returns, roles
from benchmarks.capacity_roles import Fleet
from benchmarks.capacity_slopes import EARLIER, LIMITS, QUANTITIES, Assumed, Earlier, Limit, Quantity
from benchmarks.capacity_text import number, table

PAGE = ROOT.parent / "docs" / "CAPACITY.md"
PER = {
    "size": ("servers", 1_000, "a 1,000 servers"),
    "watches": ("watches", 1_000, "a 1,000 watches"),
    "instances": ("instances", 1, "an instance"),
    "rate": ("renewals a second", 1, "a renewal a second"),
}
SAME = 0.15  # a figure that differs from an earlier one by no more confirms it
MARKED = re.compile(r"(<!-- capacity:(\w+) -->\n)(.*?)(<!-- /capacity:\2 -->)", re.S)


class MissingError(ValueError):
    """The page has no place for a section, or a place for none: one line."""


def fill(text: str, sections: Mapping[str, str]) -> str:
    """The page with its sections in place; MissingError if markers and sections don't go together."""
    marked = [name for _, name, _, _ in MARKED.findall(text)]
    if sorted(marked) != sorted(sections):
        raise MissingError(f"the page marks {sorted(marked)}; the figures give {sorted(sections)}")
    return MARKED.sub(lambda found: found[1] + sections[found[2]] + found[4], text)


def differing(text: str, sections: Mapping[str, str]) -> list[str]:
    """The names of sections that the page does not hold as the figures give them."""
    held = {name: body for _, name, body, _ in MARKED.findall(text)}
    return [name for name in sorted(held.keys() | sections) if held.get(name) != sections.get(name)]


def sections(figures: dict[str, Any] | None = None, told: Assumed | None = None) -> dict[str, str]:
    """All sections by name."""
    figures = load() if figures is None else figures
    told = assumptions() if told is None else told
    return {
        "ranking": ranking(figures, told),
        "interest": interest(figures, told),
        "earlier": earlier(figures),
        "slopes": slopes(figures, told),
        "roles": roles(Fleet(figures, told)),
        "peaks": peaks(Fleet(figures, told)),
        "returns": returns(Fleet(figures, told)),
        "machines": machines(Fleet(figures, told)),
        "added": added(figures, told),
        "scale": scale(figures),
        "assumptions": assumed(told),
    }


def _crossed(size: float) -> str:
    return "below 1" if size <= 0 else number(size)


# ---- sections -----------------------------------------------------------------------------------


def ranking(figures: dict[str, Any], told: Assumed) -> str:
    """What breaks first, by the size at which its mean meets its allowance."""
    found = []
    for limit in LIMITS:
        if QUANTITIES[limit.quantity].part in figures:
            found.append(_breaks(limit, figures, told))
    found.sort(key=lambda one: one[0])
    rows = [[str(place), *row] for place, (_, row) in enumerate(found, 1)]
    head = [
        "", "what", "allowed", "is over it from", "95% interval",
        f"at {told['target']['balancers']:,}", "carried by",
    ]  # fmt: skip
    return table(head, rows)


def _breaks(limit: Limit, figures: dict[str, Any], told: Assumed) -> tuple[float, list[str]]:
    quantity, target = QUANTITIES[limit.quantity], told["target"]["balancers"]
    slope = quantity.slope(figures)
    rows, allowed = figures[quantity.part]["rows"], limit.allowed(told)
    crossing = slope.line.crossing(allowed)
    there = allowed(target) if callable(allowed) else allowed
    if quantity.most < there:
        at = f"{number(quantity.most / there)} times at the most"
        return math.inf, [limit.what, limit.said(told), "no size", "", at, limit.carried_by]
    if crossing is None:
        at = _there(slope, target, there)
        return math.inf, [limit.what, limit.said(told), "no size", "", at, limit.carried_by]
    low, middle, most = crossing
    smallest, largest = (f(row[quantity.by] for row in rows) for f in (min, max))
    mark = "" if smallest <= middle <= largest else " (reckoned)"
    between = f"{_crossed(low)} to {_crossed(most)}"
    return middle, [
        limit.what, limit.said(told), _crossed(middle) + mark, between, _there(slope, target, there),
        limit.carried_by,
    ]  # fmt: skip


def _there(slope: Any, target: float, allowed: float) -> str:
    """How many times its allowance it is at the target."""
    if slope.largest == target:
        return f"{number(slope.measured / allowed)} times"
    return f"{number(slope.line.at(target) / allowed)} times (reckoned)"


def interest(figures: dict[str, Any], told: Assumed) -> str:
    """The same allowances, for a balancer that holds only what it calls."""
    target, assumed_ = told["target"], told["assumed"]
    each = min(target["balancers"] / target["services"], assumed_["subset"])
    size = assumed_["called_services"] * each
    rows = []
    for limit in LIMITS:
        quantity = QUANTITIES[limit.quantity]
        if quantity.part == "balancer":
            allowed = limit.allowed(told)
            there = allowed(size) if callable(allowed) else allowed
            part = quantity.slope(figures).line.at(size) / there
            rows.append(
                [limit.what, limit.said(told), f"{number(part)} times", "in" if part <= 1 else "**over**"]
            )
    return table(["what", "allowed", f"with {number(size)} servers (reckoned)", ""], rows)


def earlier(figures: dict[str, Any]) -> str:
    """Figures that were told before, beside today's."""
    rows = [_beside(one, figures) for one in EARLIER if QUANTITIES[one.quantity].part in figures]
    return table(["what", "size", "told", "now", ""], rows)


def _beside(one: Earlier, figures: dict[str, Any]) -> list[str]:
    quantity = QUANTITIES[one.quantity]
    rows, line = figures[quantity.part]["rows"], quantity.slope(figures).line
    there = [quantity.value(row) for row in rows if row[quantity.by] == one.size]
    now = sum(there) / len(there) if there else min(line.at(one.size), quantity.most)
    low, high = line.foresees(one.size)
    if not there and one.size > max(row[quantity.by] for row in rows):
        said = "not played at that size"
    elif not there and low <= one.value <= high:
        said = "confirmed: within the interval of the fit"
    elif abs(now - one.value) <= max(SAME * one.value, one.half):
        said = "confirmed"
    else:
        said = f"refuted: {number(now / one.value)} times"
    unit = quantity.unit
    mark = "" if there else " (by the fit)"
    return [one.what, f"{one.size:,}", f"{number(one.value)} {unit}", f"{number(now)} {unit}{mark}", said]


def slopes(figures: dict[str, Any], told: Assumed) -> str:
    """Each quantity: its fit, and the largest size as foreseen and as measured."""
    rows = []
    for quantity in QUANTITIES.values():
        if quantity.part in figures:
            rows.append(_slope(quantity, figures))
    head = ["quantity", "unit", "sizes, plays", "fit", "at the largest: foreseen", "measured", ""]
    about = {name: one["about"] for name, one in figures.items() if "about" in one}
    programs = ", ".join(f"{name} {one['program']}" for name, one in about.items() if "program" in one)
    return table(head, rows) + f"\nPrograms by part: {programs}.\n"


def _slope(quantity: Quantity, figures: dict[str, Any]) -> list[str]:
    slope, rows = quantity.slope(figures), figures[quantity.part]["rows"]
    line = slope.line
    sizes = sorted({int(row[quantity.by]) for row in rows})
    per, of, each = PER[quantity.by]
    if quantity.power:
        written = f"{per}^({number(line.slope)} ± {number(line.slope_error)})"
    else:
        error = number(line.slope_error * of)
        written = f"{number(line.intercept)} + ({number(line.slope * of)} ± {error}) {each}"
    low, high = line.foresees(slope.largest)
    return [
        quantity.what, quantity.unit, f"{', '.join(f'{s:,}' for s in sizes)}; {slope.plays}", written,
        f"{number(line.at(slope.largest))} ({number(low)} to {number(high)})", number(slope.measured),
        "" if slope.foreseen else f"outside, by {slope.measured / line.at(slope.largest) - 1:+.0%}",
    ]  # fmt: skip


def assumed(told: Assumed) -> str:
    """The table of assumptions, as the page shows it."""
    names = {"target": "the letter's target", "allowance": "the letter's allowance", "assumed": "assumed"}
    rows = [
        [names[kind], key.replace("_", " "), f"{value:,}"]
        for kind, values in told.items()
        for key, value in values.items()
    ]
    return table(["", "", ""], rows)
