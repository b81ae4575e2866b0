"""Questions about the types of the model's fields."""

from __future__ import annotations

from types import UnionType
from typing import Any, TypeGuard, get_args

import msgspec


def bare_type(kind: Any) -> Any:
    """Return a type without its bounds, and without the None that stands for a table left out."""
    bare = get_args(kind)[0] if hasattr(kind, "__metadata__") else kind
    parts = [part for part in get_args(bare) if part is not type(None)]
    is_optional = isinstance(bare, UnionType) and len(parts) < len(get_args(bare)) == 2
    return parts[0] if is_optional else bare


def is_table_type(kind: Any) -> TypeGuard[type[msgspec.Struct]]:
    """Return whether values of this type are tables."""
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)
