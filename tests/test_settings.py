"""The settings of any deployment are read, and invalid ones are reported in one line."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tomllib
from dataclasses import fields
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.net.config import ConfigError
from loadbalancer.net.config_reader import read_config
from tests.loopback import config_text
from tests.test_decision_rules import RandomEventRun

ROOT = Path(__file__).parents[1]
ABSENT = object()

name = st.text("abcčž-_.0", min_size=1, max_size=8)
class_settings = st.fixed_dictionaries(
    {
        "name": name,
        "target": st.sampled_from([30.0, 400.0, 3_000.0]),
        "deadline": st.sampled_from([60.0, 1_200.0, 8_000.0]),
        "effect": st.sampled_from(["retryable", "dedup", "fragile"]),
    },
    optional={
        "keyScope": st.sampled_from(["all", "zone", "cell", "another"]),
        "repeatWindow": st.sampled_from([0.0, 5.0, 120.0, 5_000.0]),  # some are shorter than a dial
        "worth": st.sampled_from([0.0, 0.5, 12.0]),
        "lateShare": st.sampled_from([0.0, 0.3, 1.0]),
    },
)
flag = st.booleans()
site_settings = st.fixed_dictionaries(
    {"classes": st.lists(class_settings, min_size=1, max_size=4, unique_by=lambda c: c["name"])},
    optional={
        "orgs": st.lists(
            st.fixed_dictionaries({"name": name, "quotaPerS": st.sampled_from([0.0, 3.0, 900.0])}),
            max_size=3, unique_by=lambda o: o["name"],
        ),
        "balancers": st.sampled_from([1, 7, 200]),
        "tier": st.sampled_from([0, 1]),
        "discovery": st.sampled_from(["ask", "push"]),
        "zone": st.sampled_from(["", "z0", "elsewhere"]),
        "tick": st.sampled_from([0.5, 2.0, 50.0]),
        "overShareWorth": st.sampled_from([0.0, 0.05, 1.0]),
        "aKeyOfTomorrow": st.just(3),
        "limits": st.fixed_dictionaries(
            {},
            optional={
                "attemptsCap": st.sampled_from([1, 2, 5]),
                "mayCancel": flag, "mayDuplicate": flag, "probes": flag, "peers": flag, "retryAfter": flag,
                "maxRetryAfter": st.sampled_from([0.0, 2_000.0]),
                "connIdle": st.sampled_from([0.0, 500.0, 15_000.0]),
                "connectTimeout": st.sampled_from([20.0, 120.0]),
            },
        ),
        "contract": st.fixed_dictionaries(
            {},
            optional={
                "drainGrace": st.sampled_from([0.0, 500.0, 3_000.0]),
                "askWithin": st.sampled_from([1_000.0, 10_000.0]),
                "cold": st.sampled_from([0.0, 8_700.0]),
                "coldFrom": st.sampled_from([0.05, 0.32, 1.0]),
                "overloadFactor": st.sampled_from([1.0, 2.5]),
                "tipAfter": st.sampled_from([1_000.0, 2_000.0]),
            },
        ),
    },
)  # fmt: skip


def read_site(site: dict[str, Any]) -> Any:
    raw = json.loads(config_text("127.0.0.1:9", []))
    raw["settings"] = site
    notes: list[str] = []
    config = read_config(json.dumps(raw), notes.append)
    assert [n for n in notes if "aKeyOfTomorrow" in n] == notes
    return config


@settings(max_examples=120, deadline=None, derandomize=True)
@given(site=site_settings, seed=st.integers(0, 3))
def test_rules_apply_under_settings_of_any_deployment(site: dict[str, Any], seed: int) -> None:
    own = read_site(site).settings
    day = RandomEventRun(seed, **{item.name: getattr(own, item.name) for item in fields(own)})
    day.run(150)
    assert day.finished_count > 0


@settings(max_examples=60, deadline=None, derandomize=True)
@given(site=site_settings)
def test_settings_of_any_deployment_are_read_unchanged(site: dict[str, Any]) -> None:
    config = read_site(site)
    assert [c.name for c in config.settings.classes] == [c["name"] for c in site["classes"]]
    assert [c.deduplication_window_ms for c in config.settings.classes] == [
        c.get("repeatWindow", 0.0) for c in site["classes"]
    ]
    limits = site.get("limits", {})
    assert config.settings.may_cancel is limits.get("mayCancel", False)
    assert config.settings.may_hedge is limits.get("mayDuplicate", False)
    assert config.settings.max_attempts == limits.get("attemptsCap", 1)
    assert config.drain_grace_ms == site.get("contract", {}).get("drainGrace", 0.0)
    assert not config.peers, "no notes unless membership is asked for"


# Names of deployments that are known; those of the variants here are read from their files.
NAMED_DEPLOYMENTS = """
romobil jadran zagreb split ulaz jezgra karta voznja otkljucaj grad
ljubljana faculty claims parcel claim photo assess polje dolina zav
""".split()
ORDINARY_WORDS = {
    "split",
    "grad",
    "claim",
    "claims",
    "photo",
    "assess",
}  # words that mean something else


def names_of_deployments() -> set[str]:
    names = set(NAMED_DEPLOYMENTS)
    for path in (ROOT / "deploy" / "sites").glob("*.toml"):
        site = tomllib.loads(path.read_text(encoding="utf-8"))
        texts = [site["name"], *site.get("net", {}).get("zones", [])]
        texts += [item["name"] for kind in ("tier", "class", "tenant") for item in site.get(kind, [])]
        names |= {word for text in texts for word in re.split(r"[^a-z]+", text) if len(word) > 2}
    return names - ORDINARY_WORDS


def test_production_code_names_no_deployment() -> None:
    package = ROOT / "loadbalancer"
    files = [package / "interface.py", package / "wire.py", ROOT / "deploy" / "balancer.toml"]
    files += [path for part in ("policy", "net", "endpoint_watch") for path in (package / part).rglob("*.py")]
    assert len(files) > 25
    names = names_of_deployments()
    assert len(names) > 20
    for path in files:
        words = set(re.split(r"[^a-z]+", path.read_text(encoding="utf-8").lower()))
        assert not words & names, f"{path.name} names {words & names}"


def config_with(path: str, value: Any) -> str:
    raw = json.loads(config_text("127.0.0.1:9", []))
    *parents, last = path.split(".")
    parent = raw
    for step in parents:
        parent = parent[int(step)] if step.isdigit() else parent[step]
    if value is ABSENT:
        del parent[last]
    else:
        parent[last] = value
    return json.dumps(raw)


INVALID_SETTINGS = [
    ("settings.classes", []), ("settings.classes", "read"), ("settings.classes.0.name", ABSENT),
    ("settings.classes.0.deadline", -1), ("settings.classes.0.deadline", "soon"),
    ("settings.classes.0.deadline", float("nan")), ("settings.classes.0.effect", "odd"),
    ("settings.classes.0.repeatWindow", -5), ("settings.classes.0.worth", float("inf")),
    ("settings.classes.1.name", "read"), ("settings.balancers", 0), ("settings.tick", 0),
    ("settings.limits.attemptsCap", 0), ("settings.limits.connectTimeout", 0),
    ("settings.limits.connectTimeout", -5), ("settings.limits.connectTimeout", float("nan")),
    ("settings.limits.connIdle", -1), ("settings.contract.drainGrace", -1),
    ("settings.contract.coldFrom", 0), ("settings.orgs", [{"name": "a", "quotaPerS": -1}]),
    ("limits.sockets", 0), ("limits.sockets", -4), ("limits.sockets", None),
    ("limits.memory_mb", 0), ("limits.memory_mb", -1), ("limits.memory_mb", float("nan")),
    ("limits.memory_mb", float("inf")), ("limits", []), ("settings", []), ("settings", ABSENT),
    ("seed", "zz"), ("listen", "0.0.0.999:1"), ("listen", "5000"), ("discovery", ABSENT),
    ("known", {"index": 1}), ("known", [1]),
]  # fmt: skip


@pytest.mark.parametrize("path, value", INVALID_SETTINGS)
def test_invalid_setting_is_an_error_of_one_line(path: str, value: Any) -> None:
    with pytest.raises(ConfigError) as caught:
        read_config(config_with(path, value), lambda note: None)
    assert str(caught.value) and "\n" not in str(caught.value)


@pytest.mark.parametrize("path, value", [("limits.memory_mb", float("nan")), ("settings", [])])
def test_program_with_invalid_settings_exits_with_status_2(path: str, value: Any, tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(config_with(path, value))
    done = subprocess.run(
        [sys.executable, "-m", "loadbalancer"],
        env=os.environ | {"LB_CONFIG": str(file)}, capture_output=True, text=True,
    )  # fmt: skip
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith("loadbalancer: configuration: ")
