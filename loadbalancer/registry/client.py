"""A blocking client of the registry for tools and agents; errors are one line."""

from __future__ import annotations

import http.client
import json
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from loadbalancer.registry.changes import RegistryError

CALL_TIMEOUT_S = 10.0
NO_ANSWER = 0  # in place of a status


class RegistryCallError(RegistryError, RuntimeError):
    """A call that was rejected, or got no answer (`status` is `NO_ANSWER`); the message is one line."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class _Instance(NamedTuple):
    host: str
    port: int


class RegistryClient:
    """A client of one or more instances; the next one is called if one is unavailable."""

    def __init__(self, address: str, who: str = "", timeout_s: float = CALL_TIMEOUT_S) -> None:
        """`address` is HOST:PORT, or several separated by commas; `RegistryCallError` if one is invalid."""
        self._instances: list[_Instance] = []
        for part in address.split(","):
            host, _, port = part.strip().rpartition(":")
            if not host or not port.isdigit():
                raise RegistryCallError(
                    NO_ANSWER, f"{part!r} is not an address; expected HOST:PORT, such as 127.0.0.1:8500"
                )
            self._instances.append(_Instance(host, int(port)))
        self._who = who
        self._timeout_s = timeout_s

    def call(
        self, method: str, path: str, body: object = None, *, why: str = "", if_match: int | None = None
    ) -> Any:
        """Return the answer's JSON; `RegistryCallError` has the error of the last instance called.

        A call that got no answer may still take effect; another instance treats the call as a new one.
        """
        for remaining in reversed(range(len(self._instances))):
            try:
                return self._call(method, path, body, why, if_match)
            except RegistryCallError as error:
                if error.status not in (NO_ANSWER, 503) or not remaining:
                    raise
                self._instances.append(self._instances.pop(0))
        raise AssertionError("the client has no instances")

    def _call(self, method: str, path: str, body: object, why: str, if_match: int | None) -> Any:
        host, port = self._instances[0]
        headers = {"X-Who": self._who, "X-Why": why}
        if if_match is not None:
            headers["If-Match"] = f'"{if_match}"'
        connection = http.client.HTTPConnection(host, port, timeout=self._timeout_s)
        try:
            data = json.dumps(body).encode() if body is not None else None
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            answer = json.loads(response.read())
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise RegistryCallError(NO_ANSWER, f"{host}:{port} did not answer: {error}") from error
        finally:
            connection.close()
        if response.status >= 300:
            raise RegistryCallError(response.status, str(answer.get("error", answer)))
        return answer

    def call_server(
        self,
        method: str,
        name: str,
        action: str = "",
        body: object = None,
        *,
        why: str = "",
        if_match: int | None = None,
    ) -> Any:
        """Call a path of one server; `action` is the part after its name, such as `/drain`."""
        path = f"/v1/servers/{quote(name, safe='')}{action}"
        return self.call(method, path, body, why=why, if_match=if_match)

    def list_endpoints(self, tier: str, after: int = -1, wait_ms: float = 0.0) -> Any:
        """Return a tier's list or, waiting up to `wait_ms`, what has changed since a revision."""
        query = {"tier": tier} | ({"after": after, "wait_ms": wait_ms} if after >= 0 else {})
        return self.call("GET", f"/v1/servers?{urlencode(query)}")
