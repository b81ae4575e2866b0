"""Calls to the service for tools and agents: one call, one answer, one line of error."""

from __future__ import annotations

import http.client
import json
from typing import Any
from urllib.parse import quote, urlencode

PATIENCE_S = 10.0


class CallError(RuntimeError):
    """A call that was refused, or that nobody answered: one line. `status` is 0 for nobody."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Caller:
    """The service at an address."""

    def __init__(self, address: str, who: str = "", patience_s: float = PATIENCE_S) -> None:
        """`address` is HOST:PORT; CallError if it is none."""
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise CallError(0, f"{address!r} is no address: give HOST:PORT, such as 127.0.0.1:8500")
        self._host, self._port, self._who, self._patience_s = host, int(port), who, patience_s

    def call(
        self, method: str, path: str, body: object = None, *, why: str = "", if_match: int | None = None
    ) -> Any:
        """The answer's JSON; CallError tells what was wrong."""
        headers = {"X-Who": self._who, "X-Why": why}
        if if_match is not None:
            headers["If-Match"] = f'"{if_match}"'
        connection = http.client.HTTPConnection(self._host, self._port, timeout=self._patience_s)
        try:
            data = json.dumps(body).encode() if body is not None else None
            connection.request(method, path, data, headers)
            answer = connection.getresponse()
            told = json.loads(answer.read())
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise CallError(0, f"{self._host}:{self._port} gave no answer: {error}") from None
        finally:
            connection.close()
        if answer.status >= 300:
            raise CallError(answer.status, str(told.get("error", told)))
        return told

    def on(
        self, method: str, name: str, what: str = "", body: object = None, *, why: str = "",
        if_match: int | None = None,
    ) -> Any:  # fmt: skip
        """A call about one server."""
        path = f"/v1/servers/{quote(name, safe='')}{what}"
        return self.call(method, path, body, why=why, if_match=if_match)

    def list(self, tier: str, after: int = -1, wait_ms: float = 0.0) -> Any:
        """The list of a tier, or what changed since a version, after a wait at the most."""
        query = {"tier": tier} | ({"after": after, "wait_ms": wait_ms} if after >= 0 else {})
        return self.call("GET", f"/v1/servers?{urlencode(query)}")
