"""Configuration: complete error reports, units, the JSON Schema, and the annotated example."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from loadbalancer import configuration
from loadbalancer.configuration.units import duration_ms
from loadbalancer.net.config_reader import read_config
from tests.loopback import config_text, endpoint_entry

ROOT = Path(__file__).parent.parent


def test_annotated_example_is_valid_and_has_the_documented_values() -> None:
    config = configuration.read(ROOT / "docs" / "irondrum.toml", pytest.fail)
    unlock_class = config.settings.classes[1]
    assert (unlock_class.latency_objective_ms, unlock_class.deadline_ms, unlock_class.priority_weight) == (
        1_200.0,
        4_000.0,
        10.0,
    )
    assert config.console == ("127.0.0.1", 9901)
    assert (config.drain_grace_ms, config.settings.slow_start_ms) == (3_000.0, 5_000.0)
    assert [e.endpoint.server for e in config.initial_list.endpoints] == ["s-1"]


def test_published_schema_equals_the_generated_one() -> None:
    written = json.loads((ROOT / "docs" / "irondrum.schema.json").read_text(encoding="utf-8"))
    assert written == json.loads(json.dumps(configuration.schema()))


def test_platform_json_is_parsed_as_by_the_lenient_reader() -> None:
    text = config_text("127.0.0.1:9", [endpoint_entry("s0", "127.0.0.1:5000")])
    assert configuration.validation_errors(json.loads(text)) == []
    parsed = configuration.parse(json.loads(text), pytest.fail)
    assert parsed == replace(read_config(text, pytest.fail))


def test_all_validation_errors_are_reported_with_path_and_allowed_values() -> None:
    tables = {
        "listen": "localhost",
        "nme": "a",
        "settings": {
            "classes": [{"name": "map", "target": "5 s", "deadline": 10, "effect": "safe"}, 3],
            "limits": {"attemptsCap": 0},
        },
        "known": {"endpoints": [{"name": "s", "address": "127.0.0.1:1", "weight": 0}]},
    }
    errors = configuration.validation_errors(tables)
    for prefix in (
        'listen: "localhost"; allowed: an address such as',
        "nme: unknown key; allowed: listen, discovery, settings",
        "discovery: is missing",
        'settings.classes[0].target: "5 s"; allowed: milliseconds, or a string such as "250ms"',
        'settings.classes[0].effect: "safe"; allowed: "retryable", "dedup", "fragile"',
        "settings.classes[1]: must be a table",
        "settings.limits.attemptsCap: 0; allowed: an integer at least 1",
        "known.endpoints[0].weight: 0; allowed: a number above 0",
    ):
        assert [error for error in errors if error.startswith(prefix)], (prefix, errors)
    assert len(errors) == 8 and not [error for error in errors if "\n" in error]


def test_error_across_several_keys_is_reported() -> None:
    tables = json.loads(config_text("127.0.0.1:9", []))
    tables["settings"]["classes"] *= 2
    assert configuration.validation_errors(tables) == [
        "classes is ['read', 'pay', 'read', 'pay']: it must not name a class twice"
    ]


@pytest.mark.parametrize("content", ["[", '{"a"', ""])
def test_unreadable_file_is_one_error_line(tmp_path: Path, content: str) -> None:
    path = tmp_path / "x.json"
    path.write_text(content)
    with pytest.raises(configuration.ConfigurationError) as caught:
        configuration.read(path, pytest.fail)
    assert len(caught.value.lines) == 1 and str(path) in caught.value.lines[0]


@given(st.floats(0, 1e6), st.sampled_from([("ms", 1), ("s", 1_000), ("m", 60_000)]))
def test_duration_is_its_number_times_its_unit(number: float, unit: tuple[str, int]) -> None:
    text = f"{number:.3f}{unit[0]}"
    assert duration_ms(text) == pytest.approx(float(f"{number:.3f}") * unit[1])


@given(st.recursive(st.none() | st.booleans() | st.integers() | st.floats() | st.text(), lambda inner: (
    st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from(
        "listen discovery settings classes limits known name target".split()) | st.text(max_size=3), inner)
), max_leaves=12))  # fmt: skip
@example({"\n": None})
def test_errors_of_any_content_are_single_lines(value: object) -> None:
    tables = value if isinstance(value, dict) else {"settings": value}
    errors = configuration.validation_errors(tables)
    assert errors and not [line for line in errors if "\n" in line]
