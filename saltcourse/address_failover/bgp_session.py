"""One BGP session to one route server, without I/O: RFC 4271, section 8, for a speaker that dials, announces
one address at most and wants no routes.

The host turns what the socket does into events and carries out the actions in their order. A route that is
wanted is announced as soon as the session stands, also after it broke; one that is not wanted any more is
withdrawn, and where no session stands nothing has to be: the route server drops what a broken session told.
"""

from __future__ import annotations

import ipaddress
import random
from dataclasses import dataclass
from enum import Enum

from saltcourse.codec import bgp

CONNECT_TIME = 2.0  # s for a TCP connection to stand, and again for the peer's OPEN and first KEEPALIVE
FIRST_RETRY, LONGEST_RETRY = 0.2, 8.0  # s between attempts; doubles with each that fails
FOREVER = float("inf")


class State(Enum):
    """RFC 4271's names; its Active, in which a speaker listens, is never entered."""

    IDLE = "Idle"
    CONNECT = "Connect"
    OPEN_SENT = "OpenSent"
    OPEN_CONFIRM = "OpenConfirm"
    ESTABLISHED = "Established"
    STOPPED = "Stopped"


# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a TCP connection to the route server; answer with ``connected`` or ``closed``."""


@dataclass(frozen=True, slots=True)
class Write:
    data: bytes


@dataclass(frozen=True, slots=True)
class HangUp:
    """Close the connection once what was written has gone out."""


@dataclass(frozen=True, slots=True)
class Wake:
    """Call ``tick`` at this time; it replaces the one before."""

    at: float


@dataclass(frozen=True, slots=True)
class Stands:
    """The session can announce, or can't any more and why."""

    able: bool
    reason: str = ""


Action = Dial | Write | HangUp | Wake | Stands


@dataclass(frozen=True, slots=True)
class Peering:
    """Both ends. ``hold``: seconds, 3 at least (RFC 4271); a route server that hangs is noticed within it."""

    asn: int
    peer_asn: int
    identifier: str
    hold: int = 3

    @property
    def internal(self) -> bool:
        return self.asn == self.peer_asn


class Speaker:
    """``seed`` spreads the attempts to connect."""

    def __init__(self, peering: Peering, seed: int) -> None:
        if peering.hold < 3:
            raise ValueError("hold: 3 s at least")
        self.peering, self.random = peering, random.Random(seed)
        self.state = State.IDLE
        self.wanted: bgp.Route | None = None
        self.told: bgp.Route | None = None  # what the peer was told in this session
        self.failures = 0
        self.now = 0.0
        self.out: list[Action] = []
        self._buffer = bgp.Buffer()
        self._hold = float(peering.hold)
        self._as4 = False
        self._retry_at = self._expires = self._keepalive_at = FOREVER

    # ---- events -----------------------------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        self._begin(now)
        if self.state is State.IDLE:
            self._dial()
        return self._done()

    def connected(self, now: float) -> list[Action]:
        self._begin(now)
        if self.state is State.CONNECT:
            self.state, self._buffer = State.OPEN_SENT, bgp.Buffer()
            self._expires = now + CONNECT_TIME
            families = frozenset({(bgp.AFI_IPV4, bgp.SAFI_UNICAST), (bgp.AFI_IPV6, bgp.SAFI_UNICAST)})
            self.out.append(
                Write(
                    bgp.open_message(
                        bgp.Open(
                            self.peering.asn,
                            self.peering.hold,
                            ipaddress.IPv4Address(self.peering.identifier),
                            families,
                        )
                    )
                )
            )
        return self._done()

    def closed(self, now: float, reason: str = "the connection ended") -> list[Action]:
        """The connection could not be made, or has ended; once for each ``Dial`` that was not hung up."""
        self._begin(now)
        if self.state not in (State.IDLE, State.STOPPED):
            self._fall(reason, hang_up=False)
        return self._done()

    def received(self, now: float, data: bytes) -> list[Action]:
        self._begin(now)
        if self.state in (State.OPEN_SENT, State.OPEN_CONFIRM, State.ESTABLISHED):
            try:
                self._buffer.feed(data)
                while self.state not in (State.IDLE, State.STOPPED) and (found := self._buffer.next()):
                    self._take(bgp.read(*found, self._as4))
            except bgp.BgpError as wrong:
                self.out.append(Write(bgp.notification(wrong.code, wrong.subcode, wrong.data)))
                self._fall(f"the peer sent what can't be: {wrong}", hang_up=True)
        return self._done()

    def tick(self, now: float) -> list[Action]:
        self._begin(now)
        if self.state is State.IDLE and now >= self._retry_at:
            self._dial()
        elif now >= self._expires:
            if self.state is not State.CONNECT:
                self.out.append(Write(bgp.notification(bgp.HOLD_EXPIRED, 0)))
            self._fall("the peer said nothing in time", hang_up=True)
        elif now >= self._keepalive_at:
            self._keep_alive()
        return self._done()

    def want(self, now: float, route: bgp.Route | None) -> list[Action]:
        """Announce this route, in place of any before; None withdraws."""
        self._begin(now)
        self.wanted = route
        self._tell()
        return self._done()

    def stop(self, now: float, why: str) -> list[Action]:
        """Say so and end; a route server drops the routes at once (RFC 9003 carries the text)."""
        self._begin(now)
        if self.state in (State.OPEN_SENT, State.OPEN_CONFIRM, State.ESTABLISHED):
            self.out.append(Write(bgp.shutdown(why)))
        if self.state not in (State.IDLE, State.STOPPED):
            self._fall(why, hang_up=True)
        self.state, self._retry_at = State.STOPPED, FOREVER
        return self._done()

    # ---- inside -----------------------------------------------------------------------------------

    def _begin(self, now: float) -> None:
        self.now, self.out = now, []

    def _done(self) -> list[Action]:
        at = min(self._retry_at, self._expires, self._keepalive_at)
        if at < FOREVER:
            self.out.append(Wake(at))
        return self.out

    def _dial(self) -> None:
        self.state, self._retry_at = State.CONNECT, FOREVER
        self._expires = self.now + CONNECT_TIME
        self.out.append(Dial())

    def _fall(self, reason: str, hang_up: bool) -> None:
        """Back to Idle; tried again after a while that doubles while it fails."""
        if hang_up:
            self.out.append(HangUp())
        if self.state is State.ESTABLISHED:
            self.out.append(Stands(False, reason))
        self.state, self.told = State.IDLE, None
        self._expires = self._keepalive_at = FOREVER
        self.failures += 1
        wait = min(LONGEST_RETRY, FIRST_RETRY * 2.0 ** min(self.failures - 1, 10))
        self._retry_at = self.now + wait * (0.75 + self.random.random() / 2)

    def _take(self, message: bgp.Message) -> None:
        match message:
            case bgp.Notification():
                self._fall(f"the peer closed: {message.text()}", hang_up=True)
            case bgp.Open() if self.state is State.OPEN_SENT:
                self._opened(message)
            case bgp.Keepalive() if self.state is State.OPEN_CONFIRM:
                self.state, self.failures = State.ESTABLISHED, 0
                self._heard()
                self.out.append(Stands(True))
                self._tell()
            case bgp.Keepalive() | bgp.Update() if self.state is State.ESTABLISHED:
                self._heard()  # routes of others are of no use here
            case _:
                raise bgp.BgpError(bgp.FSM_ERROR, 0, f"{type(message).__name__} in {self.state.value}")

    def _opened(self, told: bgp.Open) -> None:
        if told.asn != self.peering.peer_asn:
            raise bgp.BgpError(bgp.OPEN_ERROR, bgp.BAD_PEER_AS, f"AS {told.asn}")
        if self.peering.internal and str(told.identifier) == self.peering.identifier:
            raise bgp.BgpError(bgp.OPEN_ERROR, bgp.BAD_IDENTIFIER, "this speaker's own identifier")
        self.state, self._as4 = State.OPEN_CONFIRM, told.as4
        self._hold = float(min(self.peering.hold, told.hold))
        self._heard()
        self._keep_alive()

    def _heard(self) -> None:
        self._expires = self.now + self._hold if self._hold else FOREVER

    def _keep_alive(self) -> None:
        self.out.append(Write(bgp.keepalive()))
        self._keepalive_at = self.now + self._hold / 3 if self._hold else FOREVER

    def _tell(self) -> None:
        if self.state is not State.ESTABLISHED or self.wanted == self.told:
            return
        if self.told is not None and (self.wanted is None or self.wanted.address != self.told.address):
            self.out.append(Write(bgp.withdraw(self.told.address)))
        if self.wanted is not None:
            self.out.append(Write(bgp.announce(self.wanted, self._as4)))
        self.told = self.wanted


def ranked(address: str, next_hop: str, round_: int, peering: Peering) -> bgp.Route:
    """The route of a claim: its rank grows with the round of the term, so a route server that still holds a
    silent dead member's route prefers the new one. Inside an AS by LOCAL_PREF, between two by MED, which
    counts only among routes from one neighbouring AS: members share theirs."""
    rank = min(round_, bgp.LARGEST_U32)
    to, hop = ipaddress.ip_address(address), ipaddress.ip_address(next_hop)
    if peering.internal:
        return bgp.Route(to, hop, (), local_pref=rank)
    return bgp.Route(to, hop, (peering.asn,), med=bgp.LARGEST_U32 - rank)
