"""Replacement of module globals that fails if the global does not exist."""

from __future__ import annotations

from types import ModuleType
from typing import Any


def replace_global(module: ModuleType, name: str, replacement: Any) -> Any:
    """Replace a module's global and return the original; AttributeError if the module has no such global.

    Without the error, a seeded defect would silently have no effect once the patched name is renamed.
    """
    real = getattr(module, name)
    setattr(module, name, replacement)
    return real
