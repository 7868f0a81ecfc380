"""Handlers of the gossip requests at the admin address: members, configuration and publishing."""

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

# The request ends this long after the node's own publish timeout, in case the node does not answer.
PUBLISH_MARGIN_SECONDS = 2.0

STATUS_BY_ERROR = {
    PublishError.NOT_CONTROL: 404,
    PublishError.NO_MAJORITY: 503,
    PublishError.TOO_LARGE: 413,
    PublishError.BUSY: 503,
}
MESSAGE_BY_ERROR = {
    PublishError.NOT_CONTROL: "this member is not a voter; publish at a control member that is one",
    PublishError.NO_MAJORITY: "no majority of the voters answered in time; the change may still be committed",
    PublishError.TOO_LARGE: "the change would make the configuration too large",
    PublishError.BUSY: "too many changes are in progress; this one was not published",
}


class GossipAdminHandler:
    """Answers admin requests from the state of ``host``, also after the host was closed."""

    def __init__(self, host: Host) -> None:
        self._host = host

    def members(self) -> Response:
        """Return all known members with their status, and the members and connections of each zone."""
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
        return _json_response(200, {"members": members, "zones": zones})

    def configuration(self) -> Response:
        """Return the configuration applied at this member; values that are not UTF-8 are in base64."""
        dissemination = self._host.node.dissemination
        values: dict[str, str] = {}
        binary: dict[str, str] = {}
        for key, value in sorted(dissemination.configuration.items()):
            try:
                values[key] = value.decode()
            except UnicodeDecodeError:
                binary[key] = base64.b64encode(value).decode()
        fields = _position_fields(dissemination.position)
        fields |= {"freshness": dissemination.freshness.name.lower(), "values": values}
        if binary:
            fields["base64"] = binary
        return _json_response(200, fields)

    async def publish(self, body: bytes) -> Response:
        """Publish the change in ``body``, whose format ``parse_change`` describes.

        Returns at the latest ``PUBLISH_MARGIN_SECONDS`` after the node's publish timeout.
        """
        if self._host.node.quorum is None:
            return _failure_response(PublishError.NOT_CONTROL)
        try:
            writes = parse_change(body)
        except ChangeTooLargeError as error:
            return Response(413, f"{error}\n".encode())
        except InvalidChangeError as error:
            return Response(400, f"{error}\n".encode())
        timeout_s = self._host.node.settings.timing.publish_timeout + PUBLISH_MARGIN_SECONDS
        try:
            async with asyncio.timeout(timeout_s):
                return _outcome_response(await self._host.publish(writes))
        except TimeoutError:
            return _failure_response(PublishError.NO_MAJORITY)


def _outcome_response(outcome: PublishOutcome) -> Response:
    if isinstance(outcome, Published):
        return _json_response(200, _position_fields(outcome.position))
    return _failure_response(outcome.error)


def _failure_response(error: PublishError) -> Response:
    return Response(STATUS_BY_ERROR[error], f"{MESSAGE_BY_ERROR[error]}\n".encode())


def _position_fields(position: Position) -> dict[str, Any]:
    return {"epoch": position.epoch, "version": position.version}


def _json_response(status: int, value: dict[str, Any]) -> Response:
    return Response(status, orjson.dumps(value) + b"\n", content_type=JSON)
