"""Reads a configuration in TOML or JSON, and tells every fault of one at once."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from types import UnionType
from typing import Any, Literal, Union, get_args, get_origin, get_type_hints

import msgspec

from loadbalancer.configuration import model
from loadbalancer.configuration.model import Configuration
from loadbalancer.net.config import Config, ConfigError
from loadbalancer.net.config_reader import read_config

UNITS_MS = {"ms": 1.0, "s": 1_000.0, "m": 60_000.0}
Tables = dict[str, Any]


class ConfigurationError(ValueError):
    """A configuration that can't be used: all its faults, a line each."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def tables_of(path: Path) -> Tables:
    """What a file holds, JSON if its name ends in `.json`, else TOML; Unusable if it can't be read."""
    try:
        text = path.read_text(encoding="utf-8")
        tables = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:  # of TOML and JSON, too
        raise ConfigurationError([f"{path}: can't be read: {' '.join(str(error).split())}"]) from None
    if not isinstance(tables, dict):
        raise ConfigurationError([f"{path}: must be a table, not {type(tables).__name__}"])
    return tables


def validation_errors(tables: Tables) -> list[str]:
    """Every fault, as `path: what is wrong; allowed: ...`; none if the configuration can be used."""
    found = list(_faults(tables, Configuration, ""))
    if not found:
        try:
            parse(tables, lambda note: None)
        except ConfigError as error:
            found.append(str(error))
    return found


def parse(tables: Tables, note: Callable[[str], None]) -> Config:
    """What `net` takes; ConfigError or msgspec.ValidationError tells the first fault."""
    whole = msgspec.convert(tables, type=Configuration)
    plain = msgspec.to_builtins(whole)
    return read_config(json.dumps(_in_ms(plain, Configuration)), note)


def read(path: Path, note: Callable[[str], None]) -> Config:
    """The configuration in a file; Unusable tells all its faults."""
    tables = tables_of(path)
    if found := validation_errors(tables):
        raise ConfigurationError([f"{path}: {fault}" for fault in found])
    return parse(tables, note)


# ---- faults -------------------------------------------------------------------------------------


def _faults(value: Any, kind: Any, path: str) -> Iterator[str]:
    bare = _bare(kind)
    if isinstance(bare, type) and issubclass(bare, msgspec.Struct):
        yield from _table_faults(value, bare, path)
    elif get_origin(bare) is tuple and isinstance(value, list) and value:
        for index, item in enumerate(value):
            yield from _faults(item, get_args(bare)[0], f"{path}[{index}]")
    else:
        try:
            msgspec.convert(value, type=kind)
        except msgspec.ValidationError:
            yield f"{path}: {json.dumps(value, default=str)}; allowed: {_allowed(kind)}"


def _table_faults(value: Any, kind: type[msgspec.Struct], path: str) -> Iterator[str]:
    if value is None:
        return
    if not isinstance(value, dict):
        yield f"{path or 'the file'}: must be a table"
        return
    known = {f.name: f for f in msgspec.structs.fields(kind)}
    hints = get_type_hints(kind, include_extras=True)
    for name in value:
        if name not in known:
            yield f"{_under(path, name)}: no such key; allowed: {', '.join(known)}"
    for name, field in known.items():
        if name in value:
            yield from _faults(value[name], hints[name], _under(path, name))
        elif field.required:
            yield f"{_under(path, name)}: is missing; allowed: {_allowed(hints[name])}"


def _under(path: str, name: str) -> str:
    shown = name if name.isprintable() else repr(name)  # a fault is one line, whatever a key holds
    return f"{path}.{shown}" if path else shown


def _bare(kind: Any) -> Any:
    """A type without its bounds, and without the None that stands for a table left out."""
    bare = get_args(kind)[0] if hasattr(kind, "__metadata__") else kind
    parts = [part for part in get_args(bare) if part is not type(None)]
    is_optional = isinstance(bare, UnionType) and len(parts) < len(get_args(bare)) == 2
    return parts[0] if is_optional else bare


def _allowed(kind: Any) -> str:
    """What a value of this type may be, in words."""
    if kind == model.Duration:
        return 'milliseconds, or a text such as "250ms", "1.5s" or "2m"'
    if kind == model.Address:
        return "an address such as 127.0.0.1:8080"
    if kind == model.AddressOrNone:
        return 'an address such as 127.0.0.1:9901, or ""'
    bare = _bare(kind)
    if get_origin(bare) is Literal:
        return ", ".join(json.dumps(word) for word in get_args(bare))
    if get_origin(bare) in (Union, UnionType):
        return " or ".join(_allowed(part) for part in get_args(bare))
    if get_origin(bare) is tuple:
        return f"a list, each {_allowed(get_args(bare)[0])}"
    if isinstance(bare, type) and issubclass(bare, msgspec.Struct):
        return "a table with " + ", ".join(f.name for f in msgspec.structs.fields(bare) if f.required)
    words = {str: "a text", float: "a number", int: "a whole number", bool: "true or false"}
    return words.get(bare, str(bare)) + _bounds(kind)


def _bounds(kind: Any) -> str:
    told = []
    for meta in getattr(kind, "__metadata__", ()):
        signs = (("ge", "at least"), ("gt", "above"), ("le", "at most"))
        told += [f" {word} {v:g}" for name, word in signs if (v := getattr(meta, name)) is not None]
        told += [f" matching {meta.pattern}"] if meta.pattern else []
    return ",".join(told)


# ---- units --------------------------------------------------------------------------------------


def duration_ms(value: float | str) -> float:
    """A duration in ms; a text has a unit."""
    if not isinstance(value, str):
        return float(value)
    unit = "ms" if value.endswith("ms") else value[-1]
    return float(value.removesuffix(unit)) * UNITS_MS[unit]


def _in_ms(value: Any, kind: Any) -> Any:
    """The same with each duration as a number of ms; what only the platform needs is left out."""
    bare = _bare(kind)
    if kind == model.Duration:
        return duration_ms(value)
    if get_origin(bare) is tuple:
        return [_in_ms(item, get_args(bare)[0]) for item in value]
    if isinstance(bare, type) and issubclass(bare, msgspec.Struct) and value is not None:
        hints = get_type_hints(bare, include_extras=True)
        return {name: _in_ms(item, hints[name]) for name, item in value.items()}
    return value
