"""The words that saltcourse and its host program share: settings, events and actions.

The host (a node of the fleet, or a test) turns what it sees into events, hands each one to
``saltcourse.balancing.balancer.Balancer.handle`` with the current time, and carries out the actions that
come back. Times are seconds on the host's own clock; loads are seconds of server work per second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What repeating a request of a class may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Discovery(Enum):
    """How the list of servers reaches a node."""

    PUSHED = "pushed"
    ASKED = "asked"


class Weights(Enum):
    """What the list's weights mean."""

    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"
    SILENT = "silent"


class ServerState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """CHANGED carries changed entries only; RESTORED is a whole list that may be stale."""

    CHANGED = "changed"
    WHOLE = "whole"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


class Status(Enum):
    """How an attempt or a probe ended. The last three prove that the request never ran."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"
    FULL = "full"
    CONNECT_FAILED = "connect_failed"
    NOT_SENT = "not_sent"


TOLD_WITHIN = 6.0  # s after which what discovery has to tell counts as told, where it can be reached
LIST_PATIENCE = 3.5  # s for a list call's answer: discovery gives up one that waited 3 s for its turn
LONGEST_LIST_WAIT = TOLD_WITHIN - LIST_PATIENCE - 0.5  # s from a failed list call to the next
NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT})


def _require(condition: bool, setting: str, want: str) -> None:
    if not condition:
        raise ValueError(f"setting {setting}: {want}")


def _number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests. ``aim`` and ``message_aim`` are wanted times; ``deadline`` ends a try."""

    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window: float = 0.0
    message_aim: float = 0.0

    def __post_init__(self) -> None:
        for field in ("aim", "deadline"):
            value = getattr(self, field)
            _require(_number(value) and value > 0, f"classes.{self.name}.{field}", "a time above 0")
        for field in ("worth", "window", "message_aim"):
            value = getattr(self, field)
            _require(_number(value) and value >= 0, f"classes.{self.name}.{field}", "0 or more")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer with a share of the service; ``quota_connections`` is summed over all nodes."""

    name: str
    share: float
    quota_connections: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetTerms:
    """How proxies that may talk hold to each other. ``term`` is how long a promise lasts, and after how long
    a silent peer is given up (s); ``drift`` by what share a clock may run too fast or too slow; ``counts``:
    the connections at each server are told too; ``probes`` a second that one server gets of all proxies."""

    term: float = 12.0
    drift: float = 0.01
    counts: bool = False
    probes: float = 20.0

    def __post_init__(self) -> None:
        _require(_number(self.term) and 1 <= self.term <= 300, "fleet.term_s", "from 1 to 300")
        _require(_number(self.drift) and 0 <= self.drift <= 0.05, "fleet.drift", "from 0 to 0.05")
        _require(_number(self.probes) and self.probes > 0, "fleet.probes_per_s", "above 0")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start. Anything that does not apply keeps its default."""

    classes: tuple[RequestClass, ...]
    balancers: int = 1
    index: int = 0
    zone: str = ""
    zones: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    discovery: Discovery = Discovery.PUSHED
    ask_within: float = 10.0
    weights: Weights = Weights.SILENT
    may_probe: bool = False
    may_cancel: bool = False
    peers: bool = False
    max_attempts: int = 3
    parallel_tries: bool = False
    retry_after: bool = True
    max_retry_after: float = 1.0
    connect_timeout: float = 0.25
    answer_slack: float = 0.0
    tick: float = 0.001
    drain_grace: float = 1.0
    warm_up: float = 0.0
    start_share: float = 1.0
    push_multiple: float = 2.0
    push_for: float = 1.0
    reports_load: bool = False
    groups: bool = False
    worth_by_work: bool = False
    price_crossing: float = 0.0
    price_probe: float = 0.0
    price_move: float = 0.0
    price_peer: float = 0.0
    fleet: FleetTerms = FleetTerms()

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one class")
        _require(len({c.name for c in self.classes}) == len(self.classes), "classes", "distinct names")
        for name in ("balancers", "max_attempts"):
            value = getattr(self, name)
            _require(isinstance(value, int) and value >= 1, name, "a whole number, 1 or more")
        _require(isinstance(self.index, int) and self.index >= 0, "index", "a whole number, 0 or more")
        for name in ("ask_within", "connect_timeout", "tick", "push_multiple", "push_for"):
            value = getattr(self, name)
            _require(_number(value) and value > 0, name, "a number above 0")
        for name in (
            "max_retry_after",
            "answer_slack",
            "drain_grace",
            "warm_up",
            "over_share_worth",
            "price_crossing",
            "price_probe",
            "price_move",
            "price_peer",
        ):
            value = getattr(self, name)
            _require(_number(value) and value >= 0, name, "0 or more")
        _require(_number(self.start_share) and 0 < self.start_share <= 1, "start_share", "above 0, at most 1")

    @property
    def slow_message(self) -> float:
        """s that a message takes at a server of which a delay is noted: a third of the shortest aim."""
        return min((c.message_aim for c in self.classes if c.message_aim > 0), default=math.inf) / 3

    @property
    def longest_refusal(self) -> float:
        """s for which a refused client may be asked to stay away; 0 where no such word is allowed."""
        return self.max_retry_after if self.retry_after else 0.0


# ---- events -------------------------------------------------------------------------------------


@dataclass(slots=True)
class Member:
    """One line of the server list. ``started`` is 0 when the server started a long time back."""

    server: str
    state: ServerState = ServerState.READY
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started: float = 0.0


@dataclass(slots=True)
class MembersChanged:
    kind: ListKind
    members: tuple[Member, ...] = ()


@dataclass(slots=True)
class NewRequest:
    """A client wants a connection; ``patience`` is what is left of its time, ``load_hint`` its usual load."""

    request: str
    klass: str
    patience: float
    tenant: str = ""
    load_hint: float = 0.0
    key: str = ""
    group: str = ""
    repeat: bool = False
    mid_flow: bool = False
    came_back: bool = False


@dataclass(slots=True)
class ConnectionResumed:
    """A connection that already runs through this node at its start; attempt 0 stands on ``server``."""

    request: str
    klass: str
    server: str
    tenant: str = ""
    load_hint: float = 0.0
    group: str = ""


@dataclass(slots=True)
class Established:
    """The attempt's connection stands: it has no deadline any more and ends with an Outcome."""

    request: str
    attempt: int
    latency: float


@dataclass(slots=True)
class LoadReport:
    """What a server tells of itself; None where it tells nothing. ``load`` is load over capacity."""

    inflight: float | None = None
    queue: float | None = None
    utilisation: float | None = None
    load: float | None = None
    backlog: float | None = None


@dataclass(slots=True)
class Outcome:
    """How an attempt ended; ``final`` when the request ended with it or before."""

    request: str
    attempt: int
    status: Status
    latency: float = 0.0
    final: bool = False
    report: LoadReport | None = None


@dataclass(slots=True)
class ClientGone:
    request: str


@dataclass(slots=True)
class LoadNote:
    """The load of an open connection has changed."""

    request: str
    load: float


@dataclass(slots=True)
class DelayNote:
    """What a message on this connection takes at its server now, in seconds."""

    request: str
    delay: float


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class ProbeResult:
    server: str
    status: Status
    latency: float = 0.0
    report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessage:
    sender: int
    data: str


Event = (
    MembersChanged
    | NewRequest
    | ConnectionResumed
    | Established
    | Outcome
    | ClientGone
    | LoadNote
    | DelayNote
    | TimerFired
    | ProbeResult
    | PeerMessage
)


# ---- actions ------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Begin an attempt; attempts of a request are numbered 0, 1, 2 in the order of their sends."""

    request: str
    server: str
    timeout: float


@dataclass(slots=True)
class Refuse:
    """Final answer: trying again does no harm, after ``retry_after`` seconds."""

    request: str
    retry_after: float


@dataclass(slots=True)
class Fail:
    """Final answer without any promise."""

    request: str


@dataclass(slots=True)
class Cancel:
    request: str
    attempt: int


@dataclass(slots=True)
class Move:
    """End an open connection politely; its client comes back as a new request."""

    request: str


@dataclass(slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(slots=True)
class Probe:
    server: str


@dataclass(slots=True)
class TellPeers:
    """Send at most 256 bytes to one other node, or to every one."""

    data: str
    peer: int | None = None


@dataclass(slots=True)
class Watch:
    """Ask for the server list's changes from now on."""


@dataclass(slots=True)
class FetchList:
    """Ask for the whole server list once."""


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | Move | SetTimer | Probe | TellPeers | Watch | FetchList | Log
