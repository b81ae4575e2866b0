"""Our variants of a deployment, laid over a given site file."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

SITES = Path(__file__).parents[1] / "deploy" / "sites"
GIVEN = """
name = "given"
[net]
zones = ["x", "y"]
same_ms = [1, 2]
[allow]
cancel = true
probes = true
max_attempts = 5
[[tier]]
name = "one"
conn = { idle_s = 15, streams = 1 }
[[tier]]
name = "two"
conn = { idle_s = 15, streams = 1 }
[[class]]
name = "first"
work_ms = [1, 2]
deadline_ms = 2000
[[class]]
name = "second"
work_ms = [3, 4]
deadline_ms = 3000
[[tenant]]
name = "all"
share = 1
"""


def run_lay_out(tmp_path: Path, text: str) -> subprocess.CompletedProcess[str]:
    """Run a copy of the script, so that what it writes stays out of the checkout."""
    for path in SITES.glob("*.*"):
        (tmp_path / path.name).write_bytes(path.read_bytes())
    given = tmp_path / "given"
    given.mkdir()
    for name in ("real.json", "wire.json", "unlock.txt"):
        (given / name).write_text(name)
    (given / "site.toml").write_text(text)
    command = [sys.executable, str(tmp_path / "lay_out.py"), str(given / "site.toml")]
    return subprocess.run(command, capture_output=True, text=True)


def variants(tmp_path: Path) -> dict[str, dict[str, Any]]:
    done = run_lay_out(tmp_path, GIVEN)
    assert done.returncode == 0, done.stderr
    paths = [Path(line) for line in done.stdout.splitlines()]
    assert all((p.parent / "wire.json").read_text() == "wire.json" for p in paths)
    return {p.stem: tomllib.loads(p.read_text()) for p in paths}


def test_variants_overlay_the_given_site_and_keep_what_they_do_not_set(tmp_path: Path) -> None:
    laid = variants(tmp_path)
    assert len(laid) >= 2
    for name, site in laid.items():
        assert site["name"] == name
        assert site["net"]["same_ms"] == [1, 2]
        assert [tier["conn"]["streams"] for tier in site["tier"]] == [1, 1]
        assert all(cls["work_ms"] in ([1, 2], [3, 4]) for cls in site["class"])


def test_variants_differ_in_names_quotas_limits_deadlines_and_costs(tmp_path: Path) -> None:
    laid = list(variants(tmp_path).values())
    names = [cls["name"] for site in laid for cls in site["class"]]
    assert len(set(names)) == len(names) > 3
    for field in ("deadline_ms", "worth", "aim_ms"):
        assert len({cls[field] for site in laid for cls in site["class"]}) > 3
    assert len({str([t["share"] for t in site["tenant"]]) for site in laid}) == len(laid)
    assert len({str(site["allow"]) for site in laid}) == len(laid)
    assert len({str(site["prices"]) for site in laid}) == len(laid)
    strict = [site for site in laid if not site["allow"]["cancel"]]
    assert strict, "one in which nothing may be cancelled or repeated"
    for site in strict:
        assert not site["allow"]["second_copies"] and site["allow"]["max_attempts"] == 1
        assert {cls["effect"] for cls in site["class"]} == {"unsafe"}


def test_unreadable_site_file_is_one_error_line_and_status_2(tmp_path: Path) -> None:
    done = run_lay_out(tmp_path, "no = toml = at all")
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith("lay_out.py: ")
