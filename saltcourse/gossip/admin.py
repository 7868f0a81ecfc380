"""Calls of the admin address that a member answers: its view of the fleet, the configuration, publishing."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import orjson

from saltcourse.admin.responses import JSON, Response
from saltcourse.gossip.changes import parse_change
from saltcourse.gossip.errors import ChangeTooLargeError, InvalidChangeError
from saltcourse.gossip.host import Host, PublishOutcome
from saltcourse.gossip.messages import Position, Published, PublishError

PUBLISH_MARGIN_SECONDS = 2.0  # over the node's own time for a change; then its answer is not waited for

STATUS_OF_ERROR = {
    PublishError.NOT_CONTROL: 404,
    PublishError.NO_MAJORITY: 503,
    PublishError.TOO_LARGE: 413,
    PublishError.BUSY: 503,
}
TEXT_OF_ERROR = {
    PublishError.NOT_CONTROL: "this is no control member that votes: publish at one that does",
    PublishError.NO_MAJORITY: "no majority of the control members in time; the change may still be committed",
    PublishError.TOO_LARGE: "the configuration would be too large",
    PublishError.BUSY: "too many changes are under way; this one was not published",
}


class GossipAdminHandler:
    """Answers to calls; ``host`` may have been closed."""

    def __init__(self, host: Host) -> None:
        self._host = host

    def members(self) -> Response:
        """Members with their status, and connections by zone."""
        node = self._host.node
        now = self._host.now()
        zones = {
            zone: {"members": update.members, "connections": update.connections}
            for zone, update in node.aggregation.sums(now).items()
        }
        members = [
            {
                "name": member.record.name,
                "address": "{}:{}".format(*member.record.address),
                "region": member.record.region,
                "zone": member.record.zone,
                "role": member.record.role.name.lower(),
                "status": member.status.name.lower(),
                "incarnation": member.record.incarnation,
                "since_s": round(now - max(member.since, self._host.started_at), 1),
            }
            for member in node.membership.members.values()
        ]
        members.sort(key=lambda member: str(member["name"]))
        return _json(200, {"members": members, "zones": zones})

    def configuration(self) -> Response:
        """The configuration in force here; values that are no UTF-8 in base64."""
        dissemination = self._host.node.dissemination
        values: dict[str, str] = {}
        binary: dict[str, str] = {}
        for key, value in sorted(dissemination.configuration.items()):
            try:
                values[key] = value.decode()
            except UnicodeDecodeError:
                binary[key] = base64.b64encode(value).decode()
        answer = _position(dissemination.position)
        answer |= {"freshness": dissemination.freshness.name.lower(), "values": values}
        if binary:
            answer["base64"] = binary
        return _json(200, answer)

    async def publish(self, body: bytes) -> Response:
        """Publish a change (see ``parse_change``); the answer comes within the publish timeout."""
        if self._host.node.quorum is None:
            return _failure(PublishError.NOT_CONTROL)
        try:
            writes = parse_change(body)
        except ChangeTooLargeError as error:
            return Response(413, f"{error}\n".encode())
        except InvalidChangeError as error:
            return Response(400, f"{error}\n".encode())
        timeout_s = self._host.node.settings.timing.publish_timeout + PUBLISH_MARGIN_SECONDS
        try:
            async with asyncio.timeout(timeout_s):
                return _outcome(await self._host.publish(writes))
        except TimeoutError:
            return _failure(PublishError.NO_MAJORITY)


def _outcome(outcome: PublishOutcome) -> Response:
    if isinstance(outcome, Published):
        return _json(200, _position(outcome.position))
    return _failure(outcome.error)


def _failure(error: PublishError) -> Response:
    return Response(STATUS_OF_ERROR[error], f"{TEXT_OF_ERROR[error]}\n".encode())


def _position(position: Position) -> dict[str, Any]:
    return {"epoch": position.epoch, "version": position.version}


def _json(status: int, value: dict[str, Any]) -> Response:
    return Response(status, orjson.dumps(value) + b"\n", content_type=JSON)
