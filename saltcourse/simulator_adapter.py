"""Carries the simulator's wire to the balancer and back. It decides nothing.

One JSON object a line on standard input, one reply a line on standard output. Each instance is one proxy
with a ``Balancer`` of its own, and instances share nothing. Malformed input ends the program: a message on
standard error and exit code 2. A fault inside a ``Balancer`` becomes that instance's ``internal_error``.

The wire's words are mapped to the code's terms here and nowhere else: message names in ``EVENT_READERS`` and
``ACTION_WRITERS``, values in the tables below, field names in the functions, one for each message. Only
the fields of load reports are mapped in ``codec.lines`` (``REPORT_FIELDS``), which the sockets share.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import Any, BinaryIO

import orjson

from saltcourse.balancing.actions import (
    Action,
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

Message = dict[str, Any]  # one event or action as the wire has it

STATUSES = {  # "result"
    0: AttemptStatus.OK,
    13: AttemptStatus.ERROR,
    8: AttemptStatus.FULL,
    4: AttemptStatus.TIMEOUT,
    14: AttemptStatus.CONNECT_FAILED,
    10: AttemptStatus.RESET,
    1: AttemptStatus.CANCELLED,
    9: AttemptStatus.NOT_SENT,
}
BACKEND_STATES = {  # "lifecycle"
    "healthy": BackendState.READY,
    "cordoned": BackendState.DRAINING,
    "deregistered": BackendState.REMOVED,
}
UPDATE_KINDS = {  # "mode"
    "update": EndpointUpdateKind.DELTA,
    "replace": EndpointUpdateKind.SNAPSHOT,
    "restored": EndpointUpdateKind.CACHED,
    "unavailable": EndpointUpdateKind.UNAVAILABLE,
}
TOPIC_LOAD = 1  # "topic" of a change: its value is in microseconds of work per second
TOPIC_LATENCY = 2  # its value is in milliseconds
MILLISECONDS = 1e-3  # s
EXIT_MALFORMED = 2


class Instance:
    """One proxy's balancer, and the order of the fields in its load reports."""

    __slots__ = ("_report_fields", "balancer")

    def __init__(self, seed: int, env: Message) -> None:
        """Raise ``InvalidObjectError`` for settings that are not right."""
        try:
            settings = read_settings(env)
        except InvalidObjectError as error:
            raise InvalidObjectError(f"env: {error}") from None
        report = field(env, "report", dict, {})
        self._report_fields = [REPORT_FIELDS.get(name, "") for name in texts(report, "fields")]
        self.balancer = Balancer(settings, seed)

    def read_report(self, message: Message) -> LoadReport | None:
        """Read a row of numbers, one for each field that the settings name; unknown fields are skipped."""
        row = message.get("server_stats")
        if row is None:
            return None
        if not isinstance(row, list) or not all(isinstance(value, (int, float)) for value in row):
            raise InvalidObjectError(f"{message['msg']}: 'server_stats' is not a row of numbers")
        named = zip(self._report_fields, row, strict=False)
        return LoadReport(**{name: value for name, value in named if name})


# ---- events ------------------------------------------------------------------------------------------


def read_endpoints_updated(message: Message, _: Instance) -> Event:
    """``backends_changed``: the endpoint list."""
    kind = lookup(message, "mode", UPDATE_KINDS)
    return EndpointsUpdated(
        kind, tuple(_read_endpoint(entry) for entry in field(message, "members", list, []))
    )


def _read_endpoint(entry: Any) -> Endpoint:
    """One entry of a list; the hot path of a large fleet, so one test covers all the common types."""
    if not isinstance(entry, dict):
        raise InvalidObjectError("backends_changed: a member that is not an object")
    get = entry.get
    host, state = get("host"), BACKEND_STATES.get(str(get("lifecycle")))
    weight, started = get("nominal", 1), get("launched", 0)
    if type(host) is str and state and type(weight) in (int, float) and type(started) in (int, float):
        return Endpoint(host, state, get("az", ""), get("sku", ""), get("block", 0), weight, started)
    field(entry, "host", str)
    lookup(entry, "lifecycle", BACKEND_STATES)
    raise InvalidObjectError(f"backends_changed: a member with a wrong value: {entry!r}")


def read_request_received(message: Message, _: Instance) -> Event:
    """``accept``: a client wants a connection."""
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
    """``resumed``: a connection from before the proxy's start."""
    get = message.get
    return ConnectionResumed(
        request=field(message, "job", str),
        request_class=field(message, "profile", str),
        backend=field(message, "host", str),
        load_hint=get("hint") or 0.0,
        group=get("channel") or "",
    )


def read_connection_established(message: Message, _: Instance) -> Event:
    """``first``: the first answer, the connection is up."""
    return ConnectionEstablished(
        request=field(message, "job", str),
        attempt=field(message, "seq_no", int),
        latency=number(message, "lag", 0.0),
    )


def read_attempt_finished(message: Message, instance: Instance) -> Event:
    """``answer``: the end of an attempt or of its connection."""
    return AttemptFinished(
        request=field(message, "job", str),
        attempt=field(message, "seq_no", int),
        status=lookup(message, "result", STATUSES),
        latency=number(message, "lag", 0.0),
        final=bool(message.get("finished")),
        report=instance.read_report(message),
    )


def read_client_disconnected(message: Message, _: Instance) -> Event:
    """``aborted``: nobody waits for an answer."""
    return ClientDisconnected(field(message, "job", str))


def read_change(message: Message, _: Instance) -> Event | None:
    """``change``: another load, or a message's latency; None for a topic that is not known."""
    topic, request, value = message.get("topic"), field(message, "job", str), number(message, "value")
    if topic == TOPIC_LOAD:
        return ConnectionLoadChanged(request, value * MICROSECONDS)
    if topic == TOPIC_LATENCY:
        return ResponseLatencyMeasured(request, value * MILLISECONDS)
    return None


def read_timer_fired(message: Message, _: Instance) -> Event:
    """``ring``: a timer has fired."""
    return TimerFired(field(message, "handle", int))


def read_health_check_finished(message: Message, instance: Instance) -> Event:
    """``probe_done``: the end of a health check."""
    return HealthCheckFinished(
        backend=field(message, "host", str),
        status=lookup(message, "result", STATUSES),
        latency=number(message, "lag", 0.0),
        report=instance.read_report(message),
    )


def read_peer_message(message: Message, _: Instance) -> Event:
    """``from_peer``: a message of another proxy."""
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
    """``place``: start an attempt."""
    return {
        "msg": "place",
        "node": node,
        "job": action.request,
        "host": action.backend,
        "try_for": action.timeout,
    }


def write_reject_request(action: RejectRequest, node: int) -> Message:
    """``decline``: final answer, a retry does no harm."""
    return {
        "msg": "decline",
        "node": node,
        "job": action.request,
        "come_back": action.retry_after,
    }


def write_fail_request(action: FailRequest, node: int) -> Message:
    """``report_failure``: final answer without any promise."""
    return {"msg": "report_failure", "node": node, "job": action.request}


def write_migrate_connection(action: MigrateConnection, node: int) -> Message:
    """``move``: end a connection in good order."""
    return {"msg": "move", "node": node, "job": action.request}


def write_set_timer(action: SetTimer, node: int) -> Message:
    """``wake_me``: set a timer."""
    return {"msg": "wake_me", "node": node, "after": action.delay, "handle": action.token}


def write_start_health_check(action: StartHealthCheck, node: int) -> Message:
    """``check``: start a health check."""
    return {"msg": "check", "node": node, "host": action.backend}


def write_send_peer_message(action: SendPeerMessage, node: int) -> Message:
    """``say``: send to one other proxy, or to all."""
    return {
        "msg": "say",
        "node": node,
        "peer": "all" if action.peer is None else action.peer,
        "data": action.data,
    }


def write_watch_endpoints(_: WatchEndpoints, node: int) -> Message:
    """``subscribe``: watch the endpoint list."""
    return {"msg": "subscribe", "node": node, "want": True}


def write_fetch_endpoints(_: FetchEndpoints, node: int) -> Message:
    """``get_list``: fetch the endpoint list once."""
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
    """All instances of this process by their numbers; ``hello`` starts one, ``detach`` ends it."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}

    def reply(self, line: bytes) -> bytes:
        """The reply to one batch; raises ``InvalidObjectError`` on what the wire does not allow."""
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise InvalidObjectError(f"a line that is not JSON: {error}") from None
        if not isinstance(batch, dict):
            raise InvalidObjectError("a batch that is not an object")
        now = number(batch, "at_time")
        actions: list[Message] = []
        for message in field(batch, "events", list):
            self._handle(now, message, actions)
        return orjson.dumps({"actions": actions})

    def _handle(self, now: float, message: Any, actions: list[Message]) -> None:
        if not isinstance(message, dict):
            raise InvalidObjectError("an event that is not an object")
        name, node = message.get("msg"), field(message, "node", int)
        if name == "hello":
            self._instances[node] = Instance(field(message, "init_seed", int), field(message, "env", dict))
            return
        instance = self._instances.get(node)
        if instance is None:
            raise InvalidObjectError(f"{name!r} for instance {node}, which has not been started")
        if name == "detach":
            del self._instances[node]
            return
        reader = EVENT_READERS.get(name) if isinstance(name, str) else None
        if reader is None:
            raise InvalidObjectError(f"an unknown message {name!r}")
        event = reader(message, instance)
        if event is None:
            return
        try:
            for action in instance.balancer.handle(now, event):
                actions.append(ACTION_WRITERS[type(action)](action, node))
        except Exception as fault:  # the wire's way to say that the decision code has failed
            text = f"{type(fault).__name__}: {fault}"
            actions.append({"msg": "internal_error", "node": node, "text": text})


def serve(source: Iterable[bytes], sink: BinaryIO) -> int:
    """Answer each line until the input ends; returns the exit code."""
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
    """Serve standard input and output; returns the exit code."""
    return serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    raise SystemExit(main())
