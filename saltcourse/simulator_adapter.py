"""Adapter between the simulator's wire protocol and the balancer. It makes no decisions.

The adapter reads one JSON object per line from standard input, and writes one reply per line to standard
output. Each instance is one proxy with its own ``Balancer``; instances share no state. On malformed input the
program prints a message to standard error and exits with code 2. An exception in a ``Balancer`` is reported
as the ``internal_error`` of its instance.

This module alone maps the names of the wire protocol to those of the code: message names in
``EVENT_READERS`` and ``ACTION_WRITERS``, values in the tables below, and field names in the function for each
message. The only exceptions are the fields of load reports: ``REPORT_FIELDS`` in ``codec.lines`` maps them,
for the socket protocol as well.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import Any, BinaryIO

import orjson

from saltcourse.balancing.actions import (
    Action,
    CancelTimer,
    FailRequest,
    FetchEndpoints,
    MigrateConnection,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from saltcourse.balancing.balancer import Balancer
from saltcourse.balancing.events import (
    AttemptFinished,
    AttemptStatus,
    BackendState,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    ConnectionResumed,
    Endpoint,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    HealthCheckFinished,
    LoadReport,
    PeerMessageReceived,
    RequestReceived,
    ResponseLatencyMeasured,
    TimerFired,
)
from saltcourse.codec.errors import InvalidObjectError
from saltcourse.codec.json_fields import field, lookup, number, texts
from saltcourse.codec.lines import MICROSECONDS, REPORT_FIELDS
from saltcourse.config.deployment_settings import read_settings

Message = dict[str, Any]  # One event or action in the simulator's wire format.

STATUSES = {  # values of "result"
    0: AttemptStatus.OK,
    13: AttemptStatus.ERROR,
    8: AttemptStatus.FULL,
    4: AttemptStatus.TIMEOUT,
    14: AttemptStatus.CONNECT_FAILED,
    10: AttemptStatus.RESET,
    1: AttemptStatus.CANCELLED,
    9: AttemptStatus.NOT_SENT,
}
BACKEND_STATES = {  # values of "lifecycle"
    "healthy": BackendState.READY,
    "cordoned": BackendState.DRAINING,
    "deregistered": BackendState.REMOVED,
}
UPDATE_KINDS = {  # values of "mode"
    "update": EndpointUpdateKind.DELTA,
    "replace": EndpointUpdateKind.SNAPSHOT,
    "restored": EndpointUpdateKind.CACHED,
    "unavailable": EndpointUpdateKind.UNAVAILABLE,
}
TOPIC_LOAD = 1  # "topic" of a ``change`` whose value is in microseconds of work per second.
TOPIC_LATENCY = 2  # "topic" of a ``change`` whose value is in milliseconds.
MILLISECONDS = 1e-3  # seconds
EXIT_MALFORMED = 2  # Exit code after malformed input.


class Instance:
    """The balancer of one proxy, and the order of the fields in its load reports."""

    __slots__ = ("_report_fields", "balancer")

    def __init__(self, seed: int, env: Message) -> None:
        """Create the balancer; raises ``InvalidObjectError`` if the settings in ``env`` are invalid."""
        try:
            settings = read_settings(env)
        except InvalidObjectError as error:
            raise InvalidObjectError(f"env: {error}") from None
        report = field(env, "report", dict, {})
        self._report_fields = [REPORT_FIELDS.get(name, "") for name in texts(report, "fields")]
        self.balancer = Balancer(settings, seed)

    def read_report(self, message: Message) -> LoadReport | None:
        """Return the load report of a message, or None if it has none.

        The report has one number for each field that the settings name; unknown fields are skipped. Raises
        ``InvalidObjectError`` if it is not a list of numbers.
        """
        row = message.get("server_stats")
        if row is None:
            return None
        if not isinstance(row, list) or not all(isinstance(value, (int, float)) for value in row):
            raise InvalidObjectError(f"{message['msg']}: 'server_stats' is not a list of numbers")
        values = zip(self._report_fields, row, strict=False)
        return LoadReport(**{name: value for name, value in values if name})


# ---- events ------------------------------------------------------------------------------------------


def read_endpoints_updated(message: Message, _: Instance) -> Event:
    """Read ``backends_changed``, an update of the endpoint list."""
    kind = lookup(message, "mode", UPDATE_KINDS)
    return EndpointsUpdated(
        kind, tuple(_read_endpoint(entry) for entry in field(message, "members", list, []))
    )


def _read_endpoint(entry: Any) -> Endpoint:
    """Read one entry of the endpoint list.

    This is a hot path for a large fleet, so a single condition checks the types of the common fields.
    """
    if not isinstance(entry, dict):
        raise InvalidObjectError(
            f"backends_changed: an entry of 'members' is not an object: {type(entry).__name__}"
        )
    get = entry.get
    host, state = get("host"), BACKEND_STATES.get(str(get("lifecycle")))
    weight, started = get("nominal", 1), get("launched", 0)
    if type(host) is str and state and type(weight) in (int, float) and type(started) in (int, float):
        return Endpoint(host, state, get("az", ""), get("sku", ""), get("block", 0), weight, started)
    field(entry, "host", str)
    lookup(entry, "lifecycle", BACKEND_STATES)
    raise InvalidObjectError(f"backends_changed: 'nominal' or 'launched' is not a number in member {entry!r}")


def read_request_received(message: Message, _: Instance) -> Event:
    """Read ``accept``: a client requests a connection."""
    get = message.get
    return RequestReceived(
        request=field(message, "job", str),
        request_class=field(message, "profile", str),
        time_left=number(message, "patience_left"),
        load_hint=get("hint") or 0.0,
        flow=get("subject") or "",
        group=get("channel") or "",
    )


def read_connection_resumed(message: Message, _: Instance) -> Event:
    """Read ``resumed``: a connection was established before the proxy started."""
    get = message.get
    return ConnectionResumed(
        request=field(message, "job", str),
        request_class=field(message, "profile", str),
        backend=field(message, "host", str),
        load_hint=get("hint") or 0.0,
        group=get("channel") or "",
    )


def read_connection_established(message: Message, _: Instance) -> Event:
    """Read ``first``: the backend has sent its first answer, so the connection is established."""
    return ConnectionEstablished(
        request=field(message, "job", str),
        attempt=field(message, "seq_no", int),
        latency=number(message, "lag", 0.0),
    )


def read_attempt_finished(message: Message, instance: Instance) -> Event:
    """Read ``answer``: an attempt or its connection has ended."""
    return AttemptFinished(
        request=field(message, "job", str),
        attempt=field(message, "seq_no", int),
        status=lookup(message, "result", STATUSES),
        latency=number(message, "lag", 0.0),
        final=bool(message.get("finished")),
        report=instance.read_report(message),
    )


def read_client_disconnected(message: Message, _: Instance) -> Event:
    """Read ``aborted``: the client has stopped waiting for an answer."""
    return ClientDisconnected(field(message, "job", str))


def read_change(message: Message, _: Instance) -> Event | None:
    """Read ``change``, a new load or message latency of a connection; return None for an unknown topic."""
    topic, request, value = message.get("topic"), field(message, "job", str), number(message, "value")
    if topic == TOPIC_LOAD:
        return ConnectionLoadChanged(request, value * MICROSECONDS)
    if topic == TOPIC_LATENCY:
        return ResponseLatencyMeasured(request, value * MILLISECONDS)
    return None


def read_timer_fired(message: Message, _: Instance) -> Event:
    """Read ``ring``: a timer has fired."""
    return TimerFired(field(message, "handle", int))


def read_health_check_finished(message: Message, instance: Instance) -> Event:
    """Read ``probe_done``: a health check has ended."""
    return HealthCheckFinished(
        backend=field(message, "host", str),
        status=lookup(message, "result", STATUSES),
        latency=number(message, "lag", 0.0),
        report=instance.read_report(message),
    )


def read_peer_message(message: Message, _: Instance) -> Event:
    """Read ``from_peer``, a message from another proxy."""
    return PeerMessageReceived(field(message, "src_peer", int), field(message, "data", str))


EVENT_READERS: dict[str, Callable[[Message, Instance], Event | None]] = {
    "backends_changed": read_endpoints_updated,
    "accept": read_request_received,
    "resumed": read_connection_resumed,
    "first": read_connection_established,
    "answer": read_attempt_finished,
    "aborted": read_client_disconnected,
    "change": read_change,
    "ring": read_timer_fired,
    "probe_done": read_health_check_finished,
    "from_peer": read_peer_message,
}


# ---- actions -----------------------------------------------------------------------------------------


def write_start_attempt(action: StartAttempt, node: int) -> Message:
    """Write ``place``: start an attempt."""
    return {
        "msg": "place",
        "node": node,
        "job": action.request,
        "host": action.backend,
        "try_for": action.timeout,
    }


def write_reject_request(action: RejectRequest, node: int) -> Message:
    """Write ``decline``: send the final answer that a retry is safe."""
    return {
        "msg": "decline",
        "node": node,
        "job": action.request,
        "come_back": action.retry_after,
    }


def write_fail_request(action: FailRequest, node: int) -> Message:
    """Write ``report_failure``: send the final answer that the request failed."""
    return {"msg": "report_failure", "node": node, "job": action.request}


def write_migrate_connection(action: MigrateConnection, node: int) -> Message:
    """Write ``move``: close a connection gracefully."""
    return {"msg": "move", "node": node, "job": action.request}


def write_set_timer(action: SetTimer, node: int) -> Message:
    """Write ``wake_me``: set a timer."""
    return {"msg": "wake_me", "node": node, "after": action.delay, "handle": action.token}


def write_start_health_check(action: StartHealthCheck, node: int) -> Message:
    """Write ``check``: start a health check."""
    return {"msg": "check", "node": node, "host": action.backend}


def write_send_peer_message(action: SendPeerMessage, node: int) -> Message:
    """Write ``say``: send a message to one other proxy, or to all."""
    return {
        "msg": "say",
        "node": node,
        "peer": "all" if action.peer is None else action.peer,
        "data": action.data,
    }


def write_watch_endpoints(_: WatchEndpoints, node: int) -> Message:
    """Write ``subscribe``: watch the endpoint list."""
    return {"msg": "subscribe", "node": node, "want": True}


def write_fetch_endpoints(_: FetchEndpoints, node: int) -> Message:
    """Write ``get_list``: fetch the endpoint list once."""
    return {
        "msg": "get_list",
        "node": node,
    }


ACTION_WRITERS: dict[type[Action], Callable[[Any, int], Message]] = {
    StartAttempt: write_start_attempt,
    RejectRequest: write_reject_request,
    FailRequest: write_fail_request,
    MigrateConnection: write_migrate_connection,
    SetTimer: write_set_timer,
    StartHealthCheck: write_start_health_check,
    SendPeerMessage: write_send_peer_message,
    WatchEndpoints: write_watch_endpoints,
    FetchEndpoints: write_fetch_endpoints,
}


# ---- batches -----------------------------------------------------------------------------------------


class Adapter:
    """Holds all instances by their numbers; ``hello`` creates an instance, ``detach`` removes it."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}

    def reply(self, line: bytes) -> bytes:
        """Return the reply to one batch; raises ``InvalidObjectError`` if the batch is malformed."""
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise InvalidObjectError(f"the line is not JSON: {error}") from None
        if not isinstance(batch, dict):
            raise InvalidObjectError(f"the batch is not an object: {type(batch).__name__}")
        now = number(batch, "at_time")
        actions: list[Message] = []
        for message in field(batch, "events", list):
            self._handle(now, message, actions)
        return orjson.dumps({"actions": actions})

    def _handle(self, now: float, message: Any, actions: list[Message]) -> None:
        if not isinstance(message, dict):
            raise InvalidObjectError(f"the event is not an object: {type(message).__name__}")
        name, node = message.get("msg"), field(message, "node", int)
        if name == "hello":
            self._instances[node] = Instance(field(message, "init_seed", int), field(message, "env", dict))
            return
        instance = self._instances.get(node)
        if instance is None:
            raise InvalidObjectError(f"message {name!r} for instance {node}, which 'hello' has not started")
        if name == "detach":
            del self._instances[node]
            return
        reader = EVENT_READERS.get(name) if isinstance(name, str) else None
        if reader is None:
            raise InvalidObjectError(f"unknown message {name!r} for instance {node}")
        event = reader(message, instance)
        if event is None:
            return
        try:
            for action in instance.balancer.handle(now, event):
                if isinstance(action, CancelTimer):  # The simulator's timers cannot be cancelled.
                    continue
                actions.append(ACTION_WRITERS[type(action)](action, node))
        except Exception as error:  # The wire protocol reports failures of the balancer as a message.
            text = f"{type(error).__name__}: {error}"
            actions.append({"msg": "internal_error", "node": node, "text": text})


def serve(source: Iterable[bytes], sink: BinaryIO) -> int:
    """Reply to each line until the input ends, and return the exit code."""
    adapter = Adapter()
    for line in source:
        try:
            reply = adapter.reply(line)
        except InvalidObjectError as error:
            print(f"simulator_adapter: {error}", file=sys.stderr)
            return EXIT_MALFORMED
        sink.write(reply + b"\n")
        sink.flush()
    return 0


def main() -> int:
    """Serve standard input and output, and return the exit code."""
    return serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    raise SystemExit(main())
