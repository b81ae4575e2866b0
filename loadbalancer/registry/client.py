"""Calls to the service for tools and agents: one call, one answer, one line of error."""

from __future__ import annotations

import http.client
import json
from typing import Any
from urllib.parse import quote, urlencode

CALL_TIMEOUT_S = 10.0


class RegistryCallError(RuntimeError):
    """A call that was refused, or that nobody answered: one line. `status` is 0 for nobody."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class RegistryClient:
    """The service at an address, or at those of its instances: the next is asked if one does not answer."""

    def __init__(self, address: str, who: str = "", timeout_s: float = CALL_TIMEOUT_S) -> None:
        """`address` is HOST:PORT, or several with commas between; CallError if one is none."""
        self._instances: list[tuple[str, int]] = []
        for one in address.split(","):
            host, _, port = one.strip().rpartition(":")
            if not host or not port.isdigit():
                raise RegistryCallError(0, f"{one!r} is no address: give HOST:PORT, such as 127.0.0.1:8500")
            self._instances.append((host, int(port)))
        self._who, self._timeout_s = who, timeout_s

    def call(
        self, method: str, path: str, body: object = None, *, why: str = "", if_match: int | None = None
    ) -> Any:
        """The answer's JSON; CallError tells what was wrong, as the last instance that was asked has it.

        A call that nobody answered may have been carried out: at another instance it is a call of its own.
        """
        for left in reversed(range(len(self._instances))):
            try:
                return self._call(method, path, body, why, if_match)
            except RegistryCallError as error:
                if error.status not in (0, 503) or not left:
                    raise
                self._instances.append(self._instances.pop(0))
        raise AssertionError("there is always an instance")

    def _call(self, method: str, path: str, body: object, why: str, if_match: int | None) -> Any:
        host, port = self._instances[0]
        headers = {"X-Who": self._who, "X-Why": why}
        if if_match is not None:
            headers["If-Match"] = f'"{if_match}"'
        connection = http.client.HTTPConnection(host, port, timeout=self._timeout_s)
        try:
            data = json.dumps(body).encode() if body is not None else None
            connection.request(method, path, data, headers)
            answer = connection.getresponse()
            told = json.loads(answer.read())
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise RegistryCallError(0, f"{host}:{port} gave no answer: {error}") from None
        finally:
            connection.close()
        if answer.status >= 300:
            raise RegistryCallError(answer.status, str(told.get("error", told)))
        return told

    def call_server(
        self,
        method: str,
        name: str,
        what: str = "",
        body: object = None,
        *,
        why: str = "",
        if_match: int | None = None,
    ) -> Any:
        """A call about one server."""
        path = f"/v1/servers/{quote(name, safe='')}{what}"
        return self.call(method, path, body, why=why, if_match=if_match)

    def list_endpoints(self, tier: str, after: int = -1, wait_ms: float = 0.0) -> Any:
        """The list of a tier, or what changed since a version, after a wait at the most."""
        query = {"tier": tier} | ({"after": after, "wait_ms": wait_ms} if after >= 0 else {})
        return self.call("GET", f"/v1/servers?{urlencode(query)}")
