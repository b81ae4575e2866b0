"""Helpers of the registry's HTTP handlers: reading requests, and answering in JSON."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import msgspec
from aiohttp import web

from loadbalancer.registry.changes import WriteRejectedError
from loadbalancer.registry.entries import Name
from loadbalancer.registry.store import CatalogStoreError

WHO_HEADER = "X-Who"
WHY_HEADER = "X-Why"
MAX_HEADER_CHARACTERS = 200  # of who and why, as stored in the history
RequestBody = TypeVar("RequestBody", bound=msgspec.Struct)


class WriteContext(NamedTuple):
    """Who writes and why, and the revision that the entry must still have; None for any."""

    who: str
    why: str
    if_match: int | None


@web.middleware
async def answer_errors_as_json(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Answer errors with one line of JSON."""
    try:
        return await handler(request)
    except WriteRejectedError as error:
        return json_response({"error": str(error)}, status=error.status)
    except CatalogStoreError as error:
        return json_response({"error": str(error)}, status=503)
    except web.HTTPException as error:
        if error.status >= 400:
            return json_response({"error": error.reason}, status=error.status)
        raise


def json_response(value: object, status: int = 200, headers: dict[str, str] | None = None) -> web.Response:
    """Return a response with one line of JSON."""
    body = json.dumps(value, default=str).encode() + b"\n"
    return web.Response(body=body, status=status, headers=headers, content_type="application/json")


def read_server_name(request: web.Request) -> str:
    """Return the server's name from the path; an invalid one is rejected with 400."""
    name = request.match_info["name"]
    try:
        return msgspec.convert(name, type=Name)
    except msgspec.ValidationError as error:
        raise WriteRejectedError(
            400, f"{name[:80]!r} is no name of a server: letters, digits, . _ : -"
        ) from error


def read_write_context(request: web.Request) -> WriteContext:
    """Return who writes, why, and at which revision; an invalid revision is rejected with 400."""
    etag = request.headers.get("If-Match", "").strip().strip('"')
    if etag and not etag.isdigit():
        raise WriteRejectedError(400, f"If-Match {etag[:40]!r} is no version")
    who = request.headers.get(WHO_HEADER, "")[:MAX_HEADER_CHARACTERS]
    why = request.headers.get(WHY_HEADER, "")[:MAX_HEADER_CHARACTERS]
    return WriteContext(who, why, int(etag) if etag else None)


async def read_body(request: web.Request, body_type: type[RequestBody]) -> RequestBody:
    """Return a request's JSON body; one that does not fit the type is rejected with 400."""
    try:
        return msgspec.json.decode(await request.read() or b"{}", type=body_type)
    except msgspec.DecodeError as error:
        allowed = ", ".join(field.encode_name for field in msgspec.structs.fields(body_type))
        raise WriteRejectedError(400, f"{' '.join(str(error).split())}; allowed: {allowed}") from error
