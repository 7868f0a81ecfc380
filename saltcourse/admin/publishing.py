"""A client of the admin address that publishes one change and waits for the answer."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping
from dataclasses import dataclass

from saltcourse.codec.endpoint_list import Address

PATH = "/_gossip/configuration"
PATIENCE = 65.0  # s; a control member gives up after its publish_timeout_s, 60 at most, and answers then


class PublishingFailed(Exception):
    """The change was not published, or it is not known; the text says which."""


@dataclass(frozen=True, slots=True)
class PublishedAt:
    epoch: int
    version: int


def publish_change(admin: Address, writes: Mapping[str, str | None]) -> PublishedAt:
    """Keys and new values; None deletes a key."""
    connection = http.client.HTTPConnection(*admin, timeout=PATIENCE)
    try:
        connection.connect()
    except OSError as error:
        raise PublishingFailed(f"not published: {admin[0]}:{admin[1]}: {error.strerror or error}") from None
    try:
        return _call(connection, json.dumps(writes, ensure_ascii=False).encode())
    finally:
        connection.close()


def _call(connection: http.client.HTTPConnection, body: bytes) -> PublishedAt:
    try:
        connection.request("PUT", PATH, body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        answer = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise PublishingFailed(f"no answer; it may have been published: {error}") from None
    if response.status != http.client.OK:
        text = answer.decode(errors="replace").strip()
        raise PublishingFailed(f"{response.status} {response.reason}: {text}")
    try:
        position = json.loads(answer)
        return PublishedAt(int(position["epoch"]), int(position["version"]))
    except (ValueError, KeyError, TypeError):
        raise PublishingFailed(f"published, but the answer can't be read: {answer[:100]!r}") from None
