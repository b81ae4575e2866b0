"""The page of capacity: fits against known lines, and tables that are what the kept figures give."""

from __future__ import annotations

import copy
import math
import random
from pathlib import Path
from typing import Any

import pytest
from scipy import stats
from typer.testing import CliRunner

from benchmarks import capacity, capacity_figures, capacity_members, capacity_page
from benchmarks.capacity_calls import CAUSES, added
from benchmarks.capacity_fit import fit, leave_out
from benchmarks.capacity_page import MissingError, differing, fill, sections
from benchmarks.capacity_roles import Fleet
from benchmarks.capacity_slopes import LIMITS, QUANTITIES
from benchmarks.capacity_text import number

SIZES = [500.0, 1_000.0, 3_000.0, 6_000.0, 12_000.0, 18_000.0]


def page() -> str:
    return capacity_page.PAGE.read_text(encoding="utf-8")


# ---- fits ---------------------------------------------------------------------------------------


def test_points_on_a_line_give_that_line_with_no_doubt() -> None:
    line = fit(SIZES, [28.0 + 0.002 * size for size in SIZES])
    assert line.intercept == pytest.approx(28.0)
    assert line.slope == pytest.approx(0.002)
    assert line.slope_error == pytest.approx(0.0, abs=1e-9)
    assert line.band(9_000) == pytest.approx((46.0, 46.0))


def test_a_worked_example_is_met() -> None:
    line = fit([1, 2, 3, 4, 5], [2, 4, 5, 4, 5])  # slope 0.6, its error sqrt(0.8 / 10), t of 3 at 0.975
    assert (line.intercept, line.slope) == pytest.approx((2.2, 0.6))
    assert line.scatter == pytest.approx(math.sqrt(0.8))
    assert line.slope_error == pytest.approx(3.1824463 * math.sqrt(0.08))
    half = 3.1824463 * math.sqrt(0.8 * (1 / 5 + 4 / 10))
    assert line.band(5) == pytest.approx((5.2 - half, 5.2 + half))
    half = 3.1824463 * math.sqrt(0.8 * (1 + 1 / 5 + 4 / 10))
    assert line.foresees(5) == pytest.approx((5.2 - half, 5.2 + half))


def test_slope_and_error_are_those_of_another_program() -> None:
    chance = random.Random(3)
    values = [30.0 + 0.003 * size + chance.gauss(0, 1) for size in SIZES]
    line, other = fit(SIZES, values), stats.linregress(SIZES, values)
    assert line.slope == pytest.approx(other.slope)
    assert line.slope_error == pytest.approx(other.stderr * stats.t.ppf(0.975, len(SIZES) - 2))


def test_nineteen_of_twenty_intervals_hold_the_true_slope() -> None:
    chance, held, plays = random.Random(11), 0, 1_000
    for _ in range(plays):
        line = fit(SIZES, [28.0 + 0.003 * size + chance.gauss(0, 2) for size in SIZES])
        held += abs(line.slope - 0.003) <= line.slope_error
    assert 0.93 <= held / plays <= 0.97


def test_a_power_is_found_as_such() -> None:
    line = fit(SIZES, [0.5 * size**1.5 for size in SIZES], power=True)
    assert line.slope == pytest.approx(1.5)
    assert line.at(4_000) == pytest.approx(0.5 * 4_000**1.5)


@pytest.mark.parametrize(("sizes", "values"), [([1, 2], [1, 2]), ([3, 3, 3], [1, 2, 3]), ([1, 2, 3], [1, 2])])
def test_too_little_gives_no_line(sizes: list[float], values: list[float]) -> None:
    with pytest.raises(ValueError, match="give no line"):
        fit(sizes, values)


def test_the_largest_size_is_left_out_and_foreseen() -> None:
    chance = random.Random(5)
    sizes = [size for size in SIZES for _ in range(3)]
    slope = leave_out(sizes, [28.0 + 0.003 * size + chance.gauss(0, 0.5) for size in sizes])
    assert (slope.largest, slope.plays, slope.line.count) == (18_000, 3, 15)
    assert slope.foreseen


def test_what_grows_by_the_square_is_not_foreseen_by_a_line_but_by_a_power() -> None:
    chance = random.Random(5)
    sizes = [size for size in SIZES for _ in range(3)]
    values = [1e-6 * size**2 * chance.uniform(0.97, 1.03) for size in sizes]
    assert not leave_out(sizes, values).foreseen
    assert leave_out(sizes, values, power=True).foreseen


def test_three_sizes_are_too_few_to_leave_one_out() -> None:
    with pytest.raises(ValueError, match="4 are needed"):
        leave_out([1, 1, 2, 2, 3, 3], [1, 1, 2, 2, 3, 3])


def test_a_crossing_lies_where_the_line_meets_the_limit_within_its_interval() -> None:
    chance = random.Random(7)
    line = fit(SIZES, [28.0 + 0.002 * size + chance.gauss(0, 0.5) for size in SIZES])
    crossing = line.crossing(32.0)
    assert crossing is not None
    low, middle, most = crossing
    assert low < middle < most
    assert line.at(middle) == pytest.approx(32.0)
    assert line.band(low)[1] == pytest.approx(32.0)
    assert line.band(most)[0] == pytest.approx(32.0)


def test_what_does_not_grow_meets_no_limit_and_what_is_over_at_once_meets_it_at_none() -> None:
    assert fit(SIZES, [5.0] * len(SIZES)).crossing(7.0) is None
    over = fit(SIZES, [40.0 + size / 1_000 for size in SIZES]).crossing(32.0)
    assert over is not None and over[1] == 0.0


def test_a_limit_that_falls_with_the_size_is_met_where_both_are_the_same() -> None:
    line = fit(SIZES, [0.5 + size / 1_000 for size in SIZES])
    crossing = line.crossing(lambda size: 6_000 / size)
    assert crossing is not None
    assert line.at(crossing[1]) == pytest.approx(6_000 / crossing[1])


# ---- the page -----------------------------------------------------------------------------------


def test_the_page_is_what_the_kept_figures_give() -> None:
    assert differing(page(), sections()) == [], "python -m benchmarks.capacity writes it"


def _rows(figures: dict[str, Any], part: str) -> list[dict[str, float]]:
    rows: list[dict[str, float]] = figures[part]["rows"]
    return rows


@pytest.mark.parametrize("part", sorted(capacity_figures.PARTS))
def test_an_altered_figure_is_told(part: str) -> None:
    figures = copy.deepcopy(capacity_figures.load())
    by = capacity_figures.PARTS[part].by
    for row in _rows(figures, part):
        for key in row:
            row[key] *= 1.0 if key in (by, "play") else 1.3
    assert differing(page(), sections(figures))


def test_one_altered_row_is_told() -> None:
    figures = copy.deepcopy(capacity_figures.load())
    _rows(figures, "balancer")[0]["looked_most_mb"] += 5.0
    assert differing(page(), sections(figures)) == ["interest", "ranking", "slopes"]


def test_an_altered_assumption_is_told() -> None:
    told = capacity_figures.assumptions()
    told["allowance"]["memory_mb"] = 64.0
    assert {"assumptions", "ranking"} <= set(differing(page(), sections(told=told)))


def test_a_table_that_was_written_by_hand_is_told() -> None:
    text = page().replace("| 1 | ", "| 1 | hardly ", 1)
    assert text != page()
    assert differing(text, sections()) == ["ranking"]


def test_a_page_without_a_place_for_a_section_is_refused() -> None:
    with pytest.raises(MissingError):
        fill(page().replace("<!-- capacity:slopes -->", ""), sections())


def test_the_command_says_whether_the_page_differs(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    assert CliRunner().invoke(capacity.app, ["check"]).exit_code == 0
    altered = tmp_path / "CAPACITY.md"
    altered.write_text(page().replace("| 1 | ", "| 1 | hardly ", 1), encoding="utf-8")
    monkeypatch.setattr(capacity_page, "PAGE", altered)
    told = CliRunner().invoke(capacity.app, ["check"])
    assert told.exit_code == 1
    assert "ranking is not what the figures give" in told.output
    assert CliRunner().invoke(capacity.app, []).exit_code == 0
    assert altered.read_text(encoding="utf-8") == page()


def fleet(**assumed: float) -> Fleet:
    told = capacity_figures.assumptions()
    told["assumed"] |= assumed
    return Fleet(capacity_figures.load(), told)


def test_changing_an_assumption_changes_what_is_reckoned_from_it() -> None:
    assert fleet(instances=4).return_s(4) == fleet().return_s(4)
    assert fleet(lease_s=20.0).renewals_ms_s(8) == pytest.approx(fleet().renewals_ms_s(8) / 2)
    assert fleet(worst_s=20.0).peak(fleet().peaks()[0]).bytes_s < fleet().peak(fleet().peaks()[0]).bytes_s


def test_the_target_is_taken_as_measured_where_it_was_and_from_the_fit_elsewhere() -> None:
    figures = capacity_figures.load()
    rows = [row for row in _rows(figures, "balancer") if row["size"] == 18_000]
    measured = sum(row["looked_rss_mb"] for row in rows) / len(rows)
    assert fleet().at("looked", 18_000) == pytest.approx(measured)
    line = QUANTITIES["looked"].slope(figures).line
    assert fleet().at("looked", 9_000) == pytest.approx(line.at(9_000))


STEP: dict[str, Any] = {
    "roles": {
        "hollow": {
            "cpu_mean": 0.01, "cpu_worst10": 0.02, "cpu_worst": 0.2, "pss_mb": 40.0, "bytes_s_mean": 1_500.0,
            "bytes_s_worst": 250_000.0, "calls_s_mean": 0.1, "calls_s_worst": 3.0,
        }
    },
    "in_force_ms": {"median": 40.0, "p99": 900.0, "max": 1_500.0, "never_told": 2, "stale_after": 0},
}  # fmt: skip


def test_a_scale_run_that_is_kept_has_its_tables() -> None:
    quiet = {"roles": {"hollow": STEP["roles"]["hollow"] | {"cpu_worst": 0.05, "pss_mb": 45.0}}}
    run = {"size": 500, "mechanism": "whole", "steps": {"start": STEP, "quiet": quiet}}
    kept = {name: one for name, one in capacity_figures.load().items() if not name.startswith("scale-")}
    told = sections(kept | {"scale-500-whole": run})["scale"]
    assert "| 500 | whole | hollow | 1.00% (start), 2.00% (start), 20.0% (start) |" in told
    assert "| 1.50 KB (start), not told, 250 KB (start) |" in told
    assert "| 45.0 (quiet) |" in told
    assert "| start | 900, 1,500; 2 never told |" in told


def test_a_cause_over_its_allowance_in_a_play_is_told() -> None:
    row = {f"{step}_{part}_ms": 1.0 for step in CAUSES for part in ("p50", "p99")}
    row |= {f"{step}_direct_{part}_ms": 0.6 for step in CAUSES for part in ("p50", "p99")}
    row |= {f"{step}_{key}": 100 for step in CAUSES for key in ("calls", "failed")}
    row |= {f"{step}_core_ms": 0.3 for step in CAUSES}
    slow = row | {"kept_p99_ms": 2.0}
    told = added({"added": {"rows": [row, slow]}}, capacity_figures.assumptions())
    lines = told.splitlines()
    assert "| 0.400, 1.40 | **over** in 1 of 2 |" in lines[2]
    assert "| 0.400, 0.400 | in |" in lines[3]


@pytest.mark.parametrize("name", sorted(QUANTITIES))
def test_a_quantity_has_four_sizes_and_two_plays_of_each(name: str) -> None:
    quantity = QUANTITIES[name]
    rows = _rows(capacity_figures.load(), quantity.part)
    sizes = {row[quantity.by] for row in rows}
    assert len(sizes) >= 4
    assert all(sum(row[quantity.by] == size for row in rows) >= 2 for size in sizes)
    assert quantity.slope(capacity_figures.load()).line.count == len(rows) - sum(
        row[quantity.by] == max(sizes) for row in rows
    )


def test_every_limit_is_of_a_known_quantity() -> None:
    assert {limit.quantity for limit in LIMITS} <= set(QUANTITIES)


@pytest.mark.parametrize(
    ("value", "said"),
    [(0.0, "0"), (0.01234, "0.0123"), (8.666, "8.67"), (12_345.6, "12,300"), (math.inf, "none")],
)
def test_figures_are_written_by_three_digits(value: float, said: str) -> None:
    assert number(value) == said


# ---- plays --------------------------------------------------------------------------------------


def test_a_member_of_a_larger_tier_holds_a_larger_table() -> None:
    small, large = (capacity_members.member(size, 1) for size in (50, 500))
    assert 0 < small["table_mb"] < large["table_mb"]


def test_balancers_that_return_take_a_whole_list_each() -> None:
    assert capacity_members.herd(50, 1)["whole_lists"] >= 50
