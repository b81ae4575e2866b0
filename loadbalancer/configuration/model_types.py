"""Introspection of the model's field types."""

from __future__ import annotations

from types import UnionType
from typing import Any, TypeGuard, get_args

import msgspec


def bare_type(kind: Any) -> Any:
    """Return a type without its bounds, and without the None of an optional table."""
    bare = get_args(kind)[0] if hasattr(kind, "__metadata__") else kind
    parts = [part for part in get_args(bare) if part is not type(None)]
    is_optional = isinstance(bare, UnionType) and len(parts) < len(get_args(bare)) == 2
    return parts[0] if is_optional else bare


def is_table_type(kind: Any) -> TypeGuard[type[msgspec.Struct]]:
    """Return whether a type is a table."""
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)
