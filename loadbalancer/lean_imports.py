"""Imports without OpenSSL, which takes 4.6 MB of a process: the balancer speaks plain TCP only."""

from __future__ import annotations

import sys
from types import ModuleType


class _NoTls(ModuleType):
    """Stands in for the module `ssl`: every name is an exception class that nothing raises."""

    def __getattr__(self, name: str) -> object:
        if name.startswith("__"):
            raise AttributeError(name)
        return 0 if name.startswith("SSL_ERROR") else _TlsError


class _TlsError(Exception):
    """An error of TLS."""


def import_event_loop_without_tls() -> None:
    """Import asyncio and uvloop without OpenSSL; does nothing if `ssl` is loaded already.

    asyncio does without `ssl` if it can't be imported. uvloop only looks up names in it, for TLS.
    """
    if "ssl" in sys.modules:
        return
    sys.modules["ssl"] = None  # type: ignore[assignment]
    import asyncio  # noqa: F401, PLC0415 - must follow the line before

    sys.modules["ssl"] = _NoTls("ssl")
    import uvloop  # noqa: F401, PLC0415 - must follow the line before

    del sys.modules["ssl"]
