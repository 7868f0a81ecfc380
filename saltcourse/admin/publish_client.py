"""A client of the admin server that publishes one change and waits for the response."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping
from dataclasses import dataclass

from saltcourse.codec.endpoint_list import Address

PATH = "/_gossip/configuration"
# A control member responds with an error after its publish_timeout_s, which is at most 60 s.
RESPONSE_TIMEOUT_SECONDS = 65.0


class PublishingError(Exception):
    """The change was not published, or the result is unknown; the text says which."""


@dataclass(frozen=True, slots=True)
class PublishedAt:
    """The position of the change in the fleet's configuration."""

    epoch: int
    version: int


def publish_change(admin: Address, writes: Mapping[str, str | None]) -> PublishedAt:
    """Publish new values by key; the value None deletes a key.

    Raises ``PublishingError``.
    """
    connection = http.client.HTTPConnection(*admin, timeout=RESPONSE_TIMEOUT_SECONDS)
    try:
        connection.connect()
    except OSError as error:
        raise PublishingError(
            f"not published: cannot connect to {admin[0]}:{admin[1]}: {error.strerror or error}"
        ) from None
    try:
        return _send(connection, json.dumps(writes, ensure_ascii=False).encode())
    finally:
        connection.close()


def _send(connection: http.client.HTTPConnection, change: bytes) -> PublishedAt:
    try:
        connection.request("PUT", PATH, change, {"Content-Type": "application/json"})
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise PublishingError(f"no response, the change may have been published: {error}") from None
    if response.status != http.client.OK:
        text = body.decode(errors="replace").strip()
        raise PublishingError(f"{response.status} {response.reason}: {text}")
    try:
        position = json.loads(body)
        return PublishedAt(int(position["epoch"]), int(position["version"]))
    except (ValueError, KeyError, TypeError):
        raise PublishingError(f"published, but the response is invalid: {body[:100]!r}") from None
