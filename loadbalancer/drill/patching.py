"""Replaces a module's global, and fails where there is nothing to replace."""

from __future__ import annotations

from types import ModuleType
from typing import Any


def replace_global(module: ModuleType, name: str, replacement: Any) -> Any:
    """Replace a module's global and return the real one; AttributeError if the module has none such.

    Without that a seeded defect would not bite, unseen, once the module has another name for what it patches.
    """
    real = getattr(module, name)
    setattr(module, name, replacement)
    return real
