"""Converts the durations of a configuration, with units or in milliseconds."""

from __future__ import annotations

from typing import Any, get_args, get_origin, get_type_hints

from loadbalancer.configuration import model
from loadbalancer.configuration.model_types import bare_type, is_table_type

MS_PER_UNIT = {"ms": 1.0, "s": 1_000.0, "m": 60_000.0}


def duration_ms(value: float | str) -> float:
    """Return a duration in ms; a string has a unit. ValueError if it is not a duration."""
    if not isinstance(value, str):
        return float(value)
    unit = "ms" if value.endswith("ms") else value[-1]
    return float(value.removesuffix(unit)) * MS_PER_UNIT[unit]


def with_durations_in_ms(value: Any, kind: Any) -> Any:
    """Return a value of a model type with each of its durations converted to ms."""
    bare = bare_type(kind)
    if kind == model.Duration:
        return duration_ms(value)
    if get_origin(bare) is tuple:
        return [with_durations_in_ms(item, get_args(bare)[0]) for item in value]
    if is_table_type(bare) and value is not None:
        hints = get_type_hints(bare, include_extras=True)
        return {name: with_durations_in_ms(item, hints[name]) for name, item in value.items()}
    return value
