"""State machine of a BGP session to one route server. No I/O.

It implements RFC 4271, section 8, for a speaker that always opens the connection itself, announces at most
one route and ignores the routes that it receives.

The caller reports socket events by method calls and executes the returned actions in order. The desired route
is announced whenever the session becomes established, including after a reconnect. Nothing has to be
withdrawn while the session is down, because a route server removes the routes of a broken session.

::

    state          event                             next state     action
    IDLE           start, retry timer                CONNECT        OpenConnection
    CONNECT        connected                         OPEN_SENT      send OPEN
    OPEN_SENT      OPEN received                     OPEN_CONFIRM   send KEEPALIVE
    OPEN_CONFIRM   KEEPALIVE received                ESTABLISHED    announce the desired route
    ESTABLISHED    KEEPALIVE or UPDATE received      ESTABLISHED    restart the hold timer
    all of these   hold timer, error, NOTIFICATION   IDLE           CloseConnection, set the retry timer
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

# Time limit for opening the TCP connection, and the same limit again for receiving the peer's OPEN.
CONNECT_TIMEOUT_SECONDS = 2.0
# Time between connection attempts; doubles with each consecutive failure.
RETRY_INITIAL_SECONDS, RETRY_MAX_SECONDS = 0.2, 8.0
MAX_DOUBLINGS = 10  # limits the exponent, which would overflow a float in a long outage
MIN_HOLD_TIME_SECONDS = 3  # RFC 4271, section 4.2
KEEPALIVES_PER_HOLD_TIME = 3  # RFC 4271, section 4.4
NO_DEADLINE = float("inf")  # deadline of a timer that is not set


class State(Enum):
    """Session states as in RFC 4271. Active is missing, because this speaker never listens."""

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
    """Open a TCP connection to the route server, and report the result with ``connected`` or ``closed``."""


@dataclass(frozen=True, slots=True)
class SendBytes:
    """Write data to the connection."""

    data: bytes


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection after sending the data that was written to it."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call ``timer_expired`` at this time (seconds). Replaces the previous timer."""

    at: float


@dataclass(frozen=True, slots=True)
class EstablishedChanged:
    """The session has become established, or has been lost for ``reason``."""

    established: bool
    reason: str = ""


Action = OpenConnection | SendBytes | CloseConnection | SetTimer | EstablishedChanged


@dataclass(frozen=True, slots=True)
class Peering:
    """Parameters of a session. ``asn`` and ``identifier`` are this speaker's, ``peer_asn`` is the peer's.

    ``hold_time``: seconds within which a route server that stops responding is detected. Raises
    InvalidPeeringError if it is below ``MIN_HOLD_TIME_SECONDS``.
    """

    asn: int
    peer_asn: int
    identifier: str
    hold_time: int = 3

    def __post_init__(self) -> None:
        """Raise InvalidPeeringError if the hold time is too short."""
        if self.hold_time < MIN_HOLD_TIME_SECONDS:
            raise InvalidPeeringError(
                f"hold time: expected at least {MIN_HOLD_TIME_SECONDS} s, got {self.hold_time} s"
            )

    @property
    def is_internal(self) -> bool:
        """True if both ends are in the same autonomous system (IBGP)."""
        return self.asn == self.peer_asn


class BgpSession:
    """This speaker's end of one session. Times are seconds. ``seed`` is for the jitter of the retry delay."""

    def __init__(self, peering: Peering, seed: int) -> None:
        self.peering = peering
        self.random = random.Random(seed)
        self.state = State.IDLE
        self.desired_route: bgp.Route | None = None
        self.announced_route: bgp.Route | None = None  # route announced in the current session
        self.failures = 0  # failures since the session was last established
        self.now = 0.0
        self._actions: list[Action] = []
        self._buffer = MessageBuffer()
        self._hold_time = float(peering.hold_time)  # negotiated with the peer
        self._four_octet_asn = False  # negotiated with the peer
        self._retry_at = NO_DEADLINE
        self._expires_at = NO_DEADLINE  # expiry of the hold timer, or in CONNECT of the connection attempt
        self._keepalive_at = NO_DEADLINE

    # ---- events -----------------------------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Start connecting."""
        self._begin_event(now)
        if self.state is State.IDLE:
            self._connect()
        return self._end_event()

    def connected(self, now: float) -> list[Action]:
        """Handle the opening of the connection that ``OpenConnection`` requested."""
        self._begin_event(now)
        if self.state is State.CONNECT:
            self.state = State.OPEN_SENT
            self._buffer = MessageBuffer()
            self._expires_at = now + CONNECT_TIMEOUT_SECONDS
            self._send(bgp.encode_open(self._own_open()))
        return self._end_event()

    def closed(self, now: float, reason: str = "connection closed") -> list[Action]:
        """Handle a failed connection attempt, or the end of a connection without a ``CloseConnection``."""
        self._begin_event(now)
        if self.state not in INACTIVE_STATES:
            self._reset(reason, close=False)
        return self._end_event()

    def received(self, now: float, data: bytes) -> list[Action]:
        """Handle data received on the connection."""
        self._begin_event(now)
        if self.state in CONNECTED_STATES:
            try:
                self._buffer.feed(data)
                while self.state not in INACTIVE_STATES and (frame := self._buffer.next()):
                    self._handle_message(decode(frame, self._four_octet_asn))
            except bgp.BgpError as error:
                self._send(bgp.encode_notification(error.code, error.subcode, error.data))
                self._reset(f"peer violated the protocol: {error}", close=True)
        return self._end_event()

    def timer_expired(self, now: float) -> list[Action]:
        """Handle the expiry of the timer set by ``SetTimer``."""
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
        """Announce a route in place of the previous one; None withdraws it."""
        self._begin_event(now)
        self.desired_route = route
        self._update_announcement()
        return self._end_event()

    def stop(self, now: float, reason: str) -> list[Action]:
        """Close the session permanently and send the reason (RFC 9003); the peer then removes the route."""
        self._begin_event(now)
        if self.state in CONNECTED_STATES:
            self._send(bgp.encode_shutdown(reason))
        if self.state not in INACTIVE_STATES:
            self._reset(reason, close=True)
        self.state = State.STOPPED
        self._retry_at = NO_DEADLINE
        return self._end_event()

    # ---- internals --------------------------------------------------------------------------------

    def _begin_event(self, now: float) -> None:
        self.now = now
        self._actions = []

    def _end_event(self) -> list[Action]:
        deadline = min(self._retry_at, self._expires_at, self._keepalive_at)
        if deadline < NO_DEADLINE:
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
        self._retry_at = NO_DEADLINE
        self._expires_at = self.now + CONNECT_TIMEOUT_SECONDS
        self._actions.append(OpenConnection())

    def _reset(self, reason: str, close: bool) -> None:
        """Return to IDLE and set the retry timer."""
        if close:
            self._actions.append(CloseConnection())
        if self.state is State.ESTABLISHED:
            self._actions.append(EstablishedChanged(False, reason))
        self.state = State.IDLE
        self.announced_route = None
        self._expires_at = self._keepalive_at = NO_DEADLINE
        self.failures += 1
        self._retry_at = self.now + self._retry_delay()

    def _retry_delay(self) -> float:
        """Return the exponential backoff with +-25% jitter, so that members do not connect simultaneously."""
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        delay: float = min(RETRY_MAX_SECONDS, RETRY_INITIAL_SECONDS * 2.0**doublings)
        return delay * (0.75 + self.random.random() / 2)

    def _handle_message(self, message: bgp.Message) -> None:
        match message:
            case bgp.Notification():
                self._reset(f"peer sent {message.describe()}", close=True)
            case bgp.Open() if self.state is State.OPEN_SENT:
                self._on_open(message)
            case bgp.Keepalive() if self.state is State.OPEN_CONFIRM:
                self._become_established()
            case bgp.Keepalive() | bgp.Update() if self.state is State.ESTABLISHED:
                self._restart_hold_timer()  # received routes are ignored
            case _:
                unexpected = f"unexpected {type(message).__name__} in state {self.state.value}"
                raise bgp.BgpError(bgp.FSM_ERROR, 0, unexpected)

    def _on_open(self, peer_open: bgp.Open) -> None:
        if peer_open.asn != self.peering.peer_asn:
            wrong_as = f"peer is in AS {peer_open.asn}, expected AS {self.peering.peer_asn}"
            raise bgp.BgpError(bgp.OPEN_ERROR, bgp.BAD_PEER_AS, wrong_as)
        if self.peering.is_internal and str(peer_open.identifier) == self.peering.identifier:
            same_identifier = f"peer uses this speaker's identifier {peer_open.identifier}"
            raise bgp.BgpError(bgp.OPEN_ERROR, bgp.BAD_IDENTIFIER, same_identifier)
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
        """Restart the hold timer, or disable it if the negotiated hold time is 0 (no KEEPALIVEs are sent)."""
        self._expires_at = self.now + self._hold_time if self._hold_time else NO_DEADLINE

    def _send_keepalive(self) -> None:
        self._send(bgp.encode_keepalive())
        interval = self._hold_time / KEEPALIVES_PER_HOLD_TIME
        self._keepalive_at = self.now + interval if self._hold_time else NO_DEADLINE

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
    """Return the route of a lease, with a preference that increases with the round of its term.

    A route server that still has the route of a dead member therefore prefers the new one. The preference is
    the LOCAL_PREF within an AS. Between two ASes it is the MED (lower is better), which route servers compare
    only among routes from the same neighboring AS; all members are in one.
    """
    rank = min(term_round, bgp.MAX_U32)
    target, hop = ipaddress.ip_address(address), ipaddress.ip_address(next_hop)
    if peering.is_internal:
        return bgp.Route(target, hop, (), local_pref=rank)
    return bgp.Route(target, hop, (peering.asn,), med=bgp.MAX_U32 - rank)
