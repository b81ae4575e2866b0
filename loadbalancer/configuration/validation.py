"""Finds all errors of a configuration, each with its path and the allowed values."""

from __future__ import annotations

import json
from collections.abc import Iterator
from types import UnionType
from typing import Any, Literal, Union, get_args, get_origin, get_type_hints

import msgspec

from loadbalancer.configuration import model
from loadbalancer.configuration.model_types import bare_type, is_table_type

_BOUNDS = (("ge", "at least"), ("gt", "above"), ("le", "at most"))
_SPECIAL_TYPES = (
    (model.Duration, 'milliseconds, or a string such as "250ms", "1.5s" or "2m"'),
    (model.Address, "an address such as 127.0.0.1:8080"),
    (model.AddressOrNone, 'an address such as 127.0.0.1:9901, or ""'),
)
_PLAIN_TYPES = {str: "a string", float: "a number", int: "an integer", bool: "true or false"}


def find_errors(value: Any, kind: Any, path: str = "") -> Iterator[str]:
    """Yield each error of a value as a line `path: problem; allowed: ...`."""
    bare = bare_type(kind)
    if is_table_type(bare):
        yield from _find_table_errors(value, bare, path)
    elif get_origin(bare) is tuple and isinstance(value, list) and value:
        for index, item in enumerate(value):
            yield from find_errors(item, get_args(bare)[0], f"{path}[{index}]")
    else:
        try:
            msgspec.convert(value, type=kind)
        except msgspec.ValidationError:
            yield f"{path}: {json.dumps(value, default=str)}; allowed: {_describe_type(kind)}"


def _find_table_errors(value: Any, kind: type[msgspec.Struct], path: str) -> Iterator[str]:
    if value is None:
        return
    if not isinstance(value, dict):
        yield f"{path or 'the file'}: must be a table"
        return
    known = {field.name: field for field in msgspec.structs.fields(kind)}
    hints = get_type_hints(kind, include_extras=True)
    for name in value:
        if name not in known:
            yield f"{_join(path, name)}: unknown key; allowed: {', '.join(known)}"
    for name, field in known.items():
        if name in value:
            yield from find_errors(value[name], hints[name], _join(path, name))
        elif field.required:
            yield f"{_join(path, name)}: is missing; allowed: {_describe_type(hints[name])}"


def _join(path: str, name: str) -> str:
    shown = (
        name if name.isprintable() else repr(name)
    )  # keeps the error on one line even if a key has line breaks
    return f"{path}.{shown}" if path else shown


def _describe_type(kind: Any) -> str:
    """Return a description of the values allowed for a type."""
    for special, text in _SPECIAL_TYPES:
        if kind == special:
            return text
    bare = bare_type(kind)
    if get_origin(bare) is Literal:
        return ", ".join(json.dumps(choice) for choice in get_args(bare))
    if get_origin(bare) in (Union, UnionType):
        return " or ".join(_describe_type(part) for part in get_args(bare))
    if get_origin(bare) is tuple:
        return f"a list, each {_describe_type(get_args(bare)[0])}"
    if is_table_type(bare):
        required = [field.name for field in msgspec.structs.fields(bare) if field.required]
        return "a table with " + ", ".join(required)
    return _PLAIN_TYPES.get(bare, str(bare)) + _describe_bounds(kind)


def _describe_bounds(kind: Any) -> str:
    bounds = []
    for meta in getattr(kind, "__metadata__", ()):
        for attribute, words in _BOUNDS:
            if (bound := getattr(meta, attribute)) is not None:
                bounds.append(f" {words} {bound:g}")
        if meta.pattern:
            bounds.append(f" matching {meta.pattern}")
    return ",".join(bounds)
