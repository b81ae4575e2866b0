"""Replaces a module's global by one with a defect, and fails where there is nothing to replace."""

from __future__ import annotations

from types import ModuleType
from typing import Any


def replace_global(module: ModuleType, name: str, defective: Any) -> Any:
    """Replace a module's global and return the real one; AttributeError if the module has none such.

    The defect would not bite, unseen, if a module were patched in a name that it no longer uses.
    """
    real = getattr(module, name)
    setattr(module, name, defective)
    return real
