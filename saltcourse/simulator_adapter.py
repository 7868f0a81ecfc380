"""Carries the simulator's wire to ``saltcourse.balancing.balancer`` and back. It decides nothing.

One JSON object a line on standard input, one reply a line on standard output. Each instance has
a Balancer of its own and they share nothing. Malformed input ends the program: a message on
standard error and exit code 2. A fault inside a Balancer becomes that instance's fault action.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import Any, BinaryIO

import orjson

from saltcourse.balancing.actions import (
    CancelAttempt,
    FailRequest,
    FetchEndpoints,
    Log,
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
from saltcourse.codec.json_fields import Malformed, field, lookup, number, texts
from saltcourse.codec.lines import REPORT_FIELDS
from saltcourse.config.deployment_settings import read_settings

# The wire's words beside ours. Event and action names, and their fields, stand in the functions
# below, one function a message.
STATUSES = {
    0: AttemptStatus.OK,
    13: AttemptStatus.ERROR,
    8: AttemptStatus.FULL,
    4: AttemptStatus.TIMEOUT,
    14: AttemptStatus.CONNECT_FAILED,
    10: AttemptStatus.RESET,
    1: AttemptStatus.CANCELLED,
    9: AttemptStatus.NOT_SENT,
}
STATES = {
    "healthy": BackendState.READY,
    "cordoned": BackendState.DRAINING,
    "deregistered": BackendState.REMOVED,
}
LIST_KINDS = {
    "update": EndpointUpdateKind.DELTA,
    "replace": EndpointUpdateKind.SNAPSHOT,
    "restored": EndpointUpdateKind.CACHED,
    "unavailable": EndpointUpdateKind.UNAVAILABLE,
}
NOTE_LOAD, NOTE_DELAY = 1, 2
MICRO, MILLI = 1e-6, 1e-3
EXIT_MALFORMED = 2


class Instance:
    """One node's Balancer and the few things that the wire needs to know of it."""

    __slots__ = ("balancer", "fields")

    def __init__(self, seed: int, env: dict[str, Any]) -> None:
        try:
            settings = read_settings(env)
        except Malformed as wrong:
            raise Malformed(f"env: {wrong}") from None
        fields = texts(field(env, "report", dict, {}), "fields")
        self.fields = [REPORT_FIELDS.get(name, "") for name in fields]
        self.balancer = Balancer(settings, seed)

    def report(self, message: dict[str, Any]) -> LoadReport | None:
        row = message.get("server_stats")
        if row is None:
            return None
        if not isinstance(row, list) or not all(isinstance(v, (int, float)) for v in row):
            raise Malformed(f"{message['msg']}: 'server_stats' is not a row of numbers")
        return LoadReport(**{f: v for f, v in zip(self.fields, row, strict=False) if f})


def _member(entry: Any) -> Endpoint:
    """One entry of a list; the hot path of a large fleet, so one test covers all the common types."""
    if not isinstance(entry, dict):
        raise Malformed("backends_changed: a member that is not an object")
    get = entry.get
    host, state = get("host"), STATES.get(str(get("lifecycle")))
    weight, started = get("nominal", 1), get("launched", 0)
    if type(host) is str and state and type(weight) in (int, float) and type(started) in (int, float):
        return Endpoint(host, state, get("az", ""), get("sku", ""), get("block", 0), weight, started)
    field(entry, "host", str)
    lookup(entry, "lifecycle", STATES)
    raise Malformed(f"backends_changed: a member with a wrong value: {entry!r}")


def _members(message: dict[str, Any], _: Instance) -> Event:
    kind = lookup(message, "mode", LIST_KINDS)
    return EndpointsUpdated(kind, tuple(_member(e) for e in field(message, "members", list, [])))


def _accept(message: dict[str, Any], _: Instance) -> Event:
    get = message.get
    return RequestReceived(
        field(message, "job", str),
        field(message, "profile", str),
        number(message, "patience_left"),
        get("tenant") or "",
        get("hint") or 0.0,
        get("subject") or "",
        get("channel") or "",
        bool(get("repeat")),
        bool(get("mid_flow")),
        bool(get("came_back")),
    )


def _resumed(message: dict[str, Any], _: Instance) -> Event:
    get = message.get
    return ConnectionResumed(
        field(message, "job", str),
        field(message, "profile", str),
        field(message, "host", str),
        get("tenant") or "",
        get("hint") or 0.0,
        get("channel") or "",
    )


def _first(message: dict[str, Any], _: Instance) -> Event:
    return ConnectionEstablished(
        field(message, "job", str), field(message, "seq_no", int), number(message, "lag", 0.0)
    )


def _answer(message: dict[str, Any], instance: Instance) -> Event:
    return AttemptFinished(
        field(message, "job", str),
        field(message, "seq_no", int),
        lookup(message, "result", STATUSES),
        number(message, "lag", 0.0),
        bool(message.get("finished")),
        instance.report(message),
    )


def _aborted(message: dict[str, Any], _: Instance) -> Event:
    return ClientDisconnected(field(message, "job", str))


def _change(message: dict[str, Any], _: Instance) -> Event | None:
    topic, job, value = message.get("topic"), field(message, "job", str), number(message, "value")
    if topic == NOTE_LOAD:
        return ConnectionLoadChanged(job, value * MICRO)
    if topic == NOTE_DELAY:
        return ResponseLatencyMeasured(job, value * MILLI)
    return None  # a kind of note that came later than this page


def _ring(message: dict[str, Any], _: Instance) -> Event:
    return TimerFired(field(message, "handle", int))


def _probe_done(message: dict[str, Any], instance: Instance) -> Event:
    return HealthCheckFinished(
        field(message, "host", str),
        lookup(message, "result", STATUSES),
        number(message, "lag", 0.0),
        instance.report(message),
    )


def _from_peer(message: dict[str, Any], _: Instance) -> Event:
    return PeerMessageReceived(field(message, "src_peer", int), field(message, "data", str))


READERS: dict[str, Callable[[dict[str, Any], Instance], Event | None]] = {
    "backends_changed": _members,
    "accept": _accept,
    "resumed": _resumed,
    "first": _first,
    "answer": _answer,
    "aborted": _aborted,
    "change": _change,
    "ring": _ring,
    "probe_done": _probe_done,
    "from_peer": _from_peer,
}

WRITERS: dict[type, Callable[[Any, int], dict[str, Any]]] = {
    StartAttempt: lambda a, n: {
        "msg": "place",
        "node": n,
        "job": a.request,
        "host": a.backend,
        "try_for": a.timeout,
    },
    RejectRequest: lambda a, n: {"msg": "decline", "node": n, "job": a.request, "come_back": a.retry_after},
    FailRequest: lambda a, n: {"msg": "report_failure", "node": n, "job": a.request},
    CancelAttempt: lambda a, n: {"msg": "retract", "node": n, "job": a.request, "seq_no": a.attempt},
    MigrateConnection: lambda a, n: {"msg": "move", "node": n, "job": a.request},
    SetTimer: lambda a, n: {"msg": "wake_me", "node": n, "after": a.delay, "handle": a.token},
    StartHealthCheck: lambda a, n: {"msg": "check", "node": n, "host": a.backend},
    SendPeerMessage: lambda a, n: {
        "msg": "say",
        "node": n,
        "peer": "all" if a.peer is None else a.peer,
        "data": a.data,
    },
    WatchEndpoints: lambda a, n: {"msg": "subscribe", "node": n, "want": True},
    FetchEndpoints: lambda a, n: {"msg": "get_list", "node": n},
    Log: lambda a, n: {"msg": "trace", "node": n, "text": a.text},
}


class Link:
    """All instances of this process, told apart by number."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}

    def reply(self, line: bytes) -> bytes:
        """The reply to one batch; raises Malformed on what the wire does not allow."""
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as wrong:
            raise Malformed(f"a line that is not JSON: {wrong}") from None
        if not isinstance(batch, dict):
            raise Malformed("a batch that is not an object")
        now = number(batch, "at_time")
        events = field(batch, "events", list)
        actions: list[dict[str, Any]] = []
        for message in events:
            self._handle(now, message, actions)
        return orjson.dumps({"actions": actions})

    def _handle(self, now: float, message: Any, actions: list[dict[str, Any]]) -> None:
        if not isinstance(message, dict):
            raise Malformed("an event that is not an object")
        name, node = message.get("msg"), field(message, "node", int)
        if name == "hello":
            self._instances[node] = Instance(field(message, "init_seed", int), field(message, "env", dict))
            return
        instance = self._instances.get(node)
        if instance is None:
            raise Malformed(f"{name!r} for instance {node}, which has not been started")
        if name == "detach":
            del self._instances[node]
            return
        reader = READERS.get(name) if isinstance(name, str) else None
        if reader is None:
            raise Malformed(f"an unknown message {name!r}")
        event = reader(message, instance)
        if event is None:
            return
        try:
            for action in instance.balancer.handle(now, event):
                actions.append(WRITERS[type(action)](action, node))
        except Exception as fault:  # the wire's way to say that the decision code has failed
            text = f"{type(fault).__name__}: {fault}"
            actions.append({"msg": "internal_error", "node": node, "text": text})


def serve(source: Iterable[bytes], sink: BinaryIO) -> int:
    """Answer each line until the input ends; the exit code is returned."""
    link = Link()
    for line in source:
        try:
            answer = link.reply(line)
        except Malformed as wrong:
            print(f"simulator_adapter: {wrong}", file=sys.stderr)
            return EXIT_MALFORMED
        sink.write(answer + b"\n")
        sink.flush()
    return 0


def main() -> int:
    return serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    raise SystemExit(main())
