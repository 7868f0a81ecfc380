"""One BGP session to one route server, without I/O.

It follows RFC 4271, section 8, for a speaker that opens the connection itself, announces one address at most
and wants no routes.

The host turns what the socket does into method calls and carries out the actions in their order. The desired
route is announced as soon as the session is established, also after it broke. Where no session is established
nothing has to be withdrawn: the route server drops the routes of a broken session by itself.

::

    state          event                             next state     action
    IDLE           start, retry timer                CONNECT        OpenConnection
    CONNECT        connected                         OPEN_SENT      send OPEN
    OPEN_SENT      OPEN received                     OPEN_CONFIRM   send KEEPALIVE
    OPEN_CONFIRM   KEEPALIVE received                ESTABLISHED    announce the desired route
    ESTABLISHED    KEEPALIVE or UPDATE received      ESTABLISHED    restart the hold timer
    any of these   hold timer, error, NOTIFICATION   IDLE           CloseConnection, set the retry timer
                   or end of the connection
    any            stop                              STOPPED        send NOTIFICATION (Cease)
"""

from __future__ import annotations

import ipaddress
import random
from dataclasses import dataclass
from enum import Enum

from saltcourse.address_failover.errors import InvalidPeeringError
from saltcourse.codec import bgp
from saltcourse.codec.bgp_decoder import MessageBuffer, decode

# For the TCP connection, and again for the peer's OPEN and first KEEPALIVE.
CONNECT_TIMEOUT_SECONDS = 2.0
# Between attempts to connect; doubles with each that fails.
RETRY_INITIAL_SECONDS, RETRY_MAX_SECONDS = 0.2, 8.0
MAX_DOUBLINGS = 10
MIN_HOLD_TIME_SECONDS = 3  # RFC 4271, section 4.2
KEEPALIVES_PER_HOLD_TIME = 3  # RFC 4271, section 4.4
NEVER = float("inf")


class State(Enum):
    """RFC 4271's names; its Active, in which a speaker listens, is never entered."""

    IDLE = "Idle"
    CONNECT = "Connect"
    OPEN_SENT = "OpenSent"
    OPEN_CONFIRM = "OpenConfirm"
    ESTABLISHED = "Established"
    STOPPED = "Stopped"


CONNECTED_STATES = (State.OPEN_SENT, State.OPEN_CONFIRM, State.ESTABLISHED)
INACTIVE_STATES = (State.IDLE, State.STOPPED)


# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a TCP connection to the route server; report it with ``connected`` or ``closed``."""


@dataclass(frozen=True, slots=True)
class SendBytes:
    """Write to the connection."""

    data: bytes


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection once what was written has gone out."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call ``timer_expired`` at this time (s); it replaces the timer before it."""

    at: float


@dataclass(frozen=True, slots=True)
class EstablishedChanged:
    """The session is established now, or is not any more and why."""

    established: bool
    reason: str = ""


Action = OpenConnection | SendBytes | CloseConnection | SetTimer | EstablishedChanged


@dataclass(frozen=True, slots=True)
class Peering:
    """Both ends of a session; ``hold_time`` in seconds: a route server that hangs is noticed within it.

    Raises InvalidPeeringError.
    """

    asn: int
    peer_asn: int
    identifier: str
    hold_time: int = 3

    def __post_init__(self) -> None:
        """Check the hold time."""
        if self.hold_time < MIN_HOLD_TIME_SECONDS:
            raise InvalidPeeringError(f"hold time: {MIN_HOLD_TIME_SECONDS} s at least, not {self.hold_time}")

    @property
    def is_internal(self) -> bool:
        """Whether both ends are of one autonomous system (IBGP)."""
        return self.asn == self.peer_asn


class BgpSession:
    """The speaker's end of one session. Times are seconds; ``seed`` spreads the attempts to connect."""

    def __init__(self, peering: Peering, seed: int) -> None:
        self.peering = peering
        self.random = random.Random(seed)
        self.state = State.IDLE
        self.desired_route: bgp.Route | None = None
        self.announced_route: bgp.Route | None = None  # in this session
        self.failures = 0  # since a session was last established
        self.now = 0.0
        self._actions: list[Action] = []
        self._buffer = MessageBuffer()
        self._hold_time = float(peering.hold_time)  # as negotiated
        self._four_octet_asn = False  # as negotiated
        self._retry_at = NEVER
        self._expires_at = NEVER  # the hold timer, or in CONNECT the time-out of the connection
        self._keepalive_at = NEVER

    # ---- events -----------------------------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Begin to connect."""
        self._begin_event(now)
        if self.state is State.IDLE:
            self._connect()
        return self._end_event()

    def connected(self, now: float) -> list[Action]:
        """The connection that ``OpenConnection`` asked for is open."""
        self._begin_event(now)
        if self.state is State.CONNECT:
            self.state = State.OPEN_SENT
            self._buffer = MessageBuffer()
            self._expires_at = now + CONNECT_TIMEOUT_SECONDS
            self._send(bgp.encode_open(self._own_open()))
        return self._end_event()

    def closed(self, now: float, reason: str = "connection closed") -> list[Action]:
        """The connection could not be opened, or has ended without a ``CloseConnection``."""
        self._begin_event(now)
        if self.state not in INACTIVE_STATES:
            self._reset(reason, close=False)
        return self._end_event()

    def received(self, now: float, data: bytes) -> list[Action]:
        """Bytes came in on the connection."""
        self._begin_event(now)
        if self.state in CONNECTED_STATES:
            try:
                self._buffer.feed(data)
                while self.state not in INACTIVE_STATES and (frame := self._buffer.next()):
                    self._receive(decode(frame, self._four_octet_asn))
            except bgp.BgpError as error:
                self._send(bgp.encode_notification(error.code, error.subcode, error.data))
                self._reset(f"protocol error of the peer: {error}", close=True)
        return self._end_event()

    def timer_expired(self, now: float) -> list[Action]:
        """The time of ``SetTimer`` has come."""
        self._begin_event(now)
        if self.state is State.IDLE and now >= self._retry_at:
            self._connect()
        elif now >= self._expires_at:
            if self.state is not State.CONNECT:
                self._send(bgp.encode_notification(bgp.HOLD_TIMER_EXPIRED, 0))
            self._reset("hold timer expired", close=True)
        elif now >= self._keepalive_at:
            self._send_keepalive()
        return self._end_event()

    def set_route(self, now: float, route: bgp.Route | None) -> list[Action]:
        """Announce this route in place of any before; None withdraws."""
        self._begin_event(now)
        self.desired_route = route
        self._update_announcement()
        return self._end_event()

    def stop(self, now: float, reason: str) -> list[Action]:
        """Close for good; the route server drops the route at once and is sent the reason (RFC 9003)."""
        self._begin_event(now)
        if self.state in CONNECTED_STATES:
            self._send(bgp.encode_shutdown(reason))
        if self.state not in INACTIVE_STATES:
            self._reset(reason, close=True)
        self.state = State.STOPPED
        self._retry_at = NEVER
        return self._end_event()

    # ---- inside -----------------------------------------------------------------------------------

    def _begin_event(self, now: float) -> None:
        self.now = now
        self._actions = []

    def _end_event(self) -> list[Action]:
        deadline = min(self._retry_at, self._expires_at, self._keepalive_at)
        if deadline < NEVER:
            self._actions.append(SetTimer(deadline))
        return self._actions

    def _send(self, data: bytes) -> None:
        self._actions.append(SendBytes(data))

    def _own_open(self) -> bgp.Open:
        families = frozenset({(bgp.AFI_IPV4, bgp.SAFI_UNICAST), (bgp.AFI_IPV6, bgp.SAFI_UNICAST)})
        identifier = ipaddress.IPv4Address(self.peering.identifier)
        return bgp.Open(self.peering.asn, self.peering.hold_time, identifier, families)

    def _connect(self) -> None:
        self.state = State.CONNECT
        self._retry_at = NEVER
        self._expires_at = self.now + CONNECT_TIMEOUT_SECONDS
        self._actions.append(OpenConnection())

    def _reset(self, reason: str, close: bool) -> None:
        """Back to IDLE, until the retry timer expires."""
        if close:
            self._actions.append(CloseConnection())
        if self.state is State.ESTABLISHED:
            self._actions.append(EstablishedChanged(False, reason))
        self.state = State.IDLE
        self.announced_route = None
        self._expires_at = self._keepalive_at = NEVER
        self.failures += 1
        self._retry_at = self.now + self._retry_delay()

    def _retry_delay(self) -> float:
        """Exponential backoff, from 75 to 125% of the delay, so that members do not connect in step."""
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        delay: float = min(RETRY_MAX_SECONDS, RETRY_INITIAL_SECONDS * 2.0**doublings)
        return delay * (0.75 + self.random.random() / 2)

    def _receive(self, message: bgp.Message) -> None:
        match message:
            case bgp.Notification():
                self._reset(f"peer sent {message.describe()}", close=True)
            case bgp.Open() if self.state is State.OPEN_SENT:
                self._on_open(message)
            case bgp.Keepalive() if self.state is State.OPEN_CONFIRM:
                self._become_established()
            case bgp.Keepalive() | bgp.Update() if self.state is State.ESTABLISHED:
                self._restart_hold_timer()  # the routes of others are not used
            case _:
                unexpected = f"{type(message).__name__} in {self.state.value}"
                raise bgp.BgpError(bgp.FSM_ERROR, 0, unexpected)

    def _on_open(self, peer_open: bgp.Open) -> None:
        if peer_open.asn != self.peering.peer_asn:
            raise bgp.BgpError(bgp.OPEN_ERROR, bgp.BAD_PEER_AS, f"AS {peer_open.asn}")
        if self.peering.is_internal and str(peer_open.identifier) == self.peering.identifier:
            raise bgp.BgpError(bgp.OPEN_ERROR, bgp.BAD_IDENTIFIER, "this speaker's own identifier")
        self.state = State.OPEN_CONFIRM
        self._four_octet_asn = peer_open.four_octet_asn
        self._hold_time = float(min(self.peering.hold_time, peer_open.hold_time))
        self._restart_hold_timer()
        self._send_keepalive()

    def _become_established(self) -> None:
        self.state = State.ESTABLISHED
        self.failures = 0
        self._restart_hold_timer()
        self._actions.append(EstablishedChanged(True))
        self._update_announcement()

    def _restart_hold_timer(self) -> None:
        """A hold time of 0 means that neither end sends KEEPALIVEs."""
        self._expires_at = self.now + self._hold_time if self._hold_time else NEVER

    def _send_keepalive(self) -> None:
        self._send(bgp.encode_keepalive())
        interval = self._hold_time / KEEPALIVES_PER_HOLD_TIME
        self._keepalive_at = self.now + interval if self._hold_time else NEVER

    def _update_announcement(self) -> None:
        desired, announced = self.desired_route, self.announced_route
        if self.state is not State.ESTABLISHED or desired == announced:
            return
        if announced is not None and (desired is None or desired.address != announced.address):
            self._send(bgp.encode_withdrawal(announced.address))
        if desired is not None:
            self._send(bgp.encode_announcement(desired, self._four_octet_asn))
        self.announced_route = desired


def ranked_route(address: str, next_hop: str, term_round: int, peering: Peering) -> bgp.Route:
    """The route of a lease, ranked by the round of its term.

    So a route server that still has the route of a dead member prefers the new one. The rank is LOCAL_PREF
    within an AS, and between two the MED, which is compared only among routes from one neighbouring AS: the
    members'.
    """
    rank = min(term_round, bgp.MAX_U32)
    target, hop = ipaddress.ip_address(address), ipaddress.ip_address(next_hop)
    if peering.is_internal:
        return bgp.Route(target, hop, (), local_pref=rank)
    return bgp.Route(target, hop, (peering.asn,), med=bgp.MAX_U32 - rank)
