"""Runs one member of the election on a UDP socket, with timers, the vote store and the announcer.

All decisions are made by ``election``. The clock is CLOCK_BOOTTIME, which also advances while the machine is
suspended, so that a lease expires during a suspension.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import structlog

from saltcourse.address_failover.actions import (
    Action,
    AnnounceAddress,
    ExtendLease,
    LogEvent,
    SendMessage,
    SetTimer,
    StoreVote,
    WithdrawAddress,
)
from saltcourse.address_failover.authentication import DatagramAuthenticator, DropReason
from saltcourse.address_failover.election import Election
from saltcourse.address_failover.errors import VoteStoreError
from saltcourse.address_failover.events import (
    AnnouncerAvailabilityChanged,
    Event,
    MessageReceived,
    ShutdownRequested,
    TimerExpired,
)
from saltcourse.address_failover.messages import Hello, Message
from saltcourse.address_failover.route_announcement import AddressAnnouncer
from saltcourse.address_failover.terms import first_term_of_round
from saltcourse.address_failover.vote import RecoveredState, Vote
from saltcourse.address_failover.vote_store import VoteStore
from saltcourse.address_failover.voters import ElectionConfig
from saltcourse.boottime import boottime_seconds

# Minimum time between Hellos to a member, which are sent in response to datagrams with an unknown
# incarnation.
HELLO_INTERVAL_SECONDS = 0.05
# Rate at which calendar time advances the first round of a member without a vote store. Such a member
# abstains for a lease duration before its first candidacy. In that time all members together use up fewer
# rounds than this rate adds, so the member's terms increase with each start.
ROUNDS_PER_SECOND = 8
ROUNDS_EPOCH = 1_767_225_600  # 2026-01-01, seconds since 1970; rounds fit into BGP's four octets until 2043
DROP_LOG_INTERVAL_SECONDS = 5.0  # minimum time between log lines about dropped datagrams

log = structlog.get_logger("saltcourse")


class ElectionHost(asyncio.DatagramProtocol):
    """Runs one member's ``Election``.

    ``announcer`` is None for a witness, ``vote_store`` if no disk survives a restart. ``clock`` returns
    seconds. The constructor raises VoteStoreError.
    """

    def __init__(
        self,
        config: ElectionConfig,
        authenticator: DatagramAuthenticator,
        seed: int,
        announcer: AddressAnnouncer | None,
        vote_store: VoteStore | None = None,
        clock: Callable[[], float] = boottime_seconds,
    ) -> None:
        self.authenticator = authenticator
        self.announcer = announcer
        self.vote_store = vote_store
        self.clock = clock
        self.announced_until = 0.0  # end of the current lease on this member's clock; 0 if it holds none
        self._loop = asyncio.get_running_loop()
        self._socket: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._hello_sent_at: dict[str, float] = {}
        self._drops_logged_at = self._loop.time()
        # A member with an announcer cannot announce until the announcer reports that it is available.
        can_announce = announcer is None
        self.election = Election(config, seed, clock(), _recovered_state(vote_store), can_announce)

    async def start(self, address: tuple[str, int]) -> None:
        """Listen on ``address`` and join the election. Raises OSError if the address cannot be bound."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=address)
        # Peers drop requests from an incarnation that they do not know, so introduce this process first.
        for name in self.authenticator.peers:
            self._send_message(name, Hello())
        self._execute(self.election.start(self.clock()))
        if self.announcer is not None:
            self.announcer.start(lambda available: self._handle(AnnouncerAvailabilityChanged(available)))

    async def leave(self) -> None:
        """Leave the election: transfer the lease, withdraw the address, and close."""
        self._handle(ShutdownRequested())
        if self.announcer is not None:
            await self.announcer.stop("planned leave")
        self.close()

    def close(self) -> None:
        """Close the socket, the timer and the vote store immediately."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            self._socket.close()
        if self.vote_store is not None:
            self.vote_store.close()

    @property
    def is_holder(self) -> bool:
        """True while this member holds a valid lease."""
        return self.clock() < self.announced_until

    # ---- events -----------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Called by asyncio once the socket is open."""
        self._socket = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Called by asyncio for each datagram."""
        source = addr[:2]
        received = self.authenticator.verify(data, source)
        if isinstance(received, DropReason):
            self._on_dropped(received, source)
        elif not isinstance(received.message, Hello):
            self._handle(MessageReceived(received.sender, received.message))

    def error_received(self, exc: Exception) -> None:
        """Called by asyncio for ICMP errors, such as a closed port; the election detects silent members."""

    def _on_dropped(self, reason: DropReason, source: tuple[str, int]) -> None:
        now = self._loop.time()
        if reason is DropReason.UNKNOWN_INCARNATION:
            self._send_hellos(now, source)
        if now - self._drops_logged_at >= DROP_LOG_INTERVAL_SECONDS:
            self._drops_logged_at = now
            counts = {reason.value: count for reason, count in self.authenticator.dropped.items()}
            log.info("election datagrams dropped", **dict(sorted(counts.items())))

    def _send_hellos(self, now: float, source: tuple[str, int]) -> None:
        for name, peer in self.authenticator.peers.items():
            is_interval_over = now - self._hello_sent_at.get(name, -1.0) >= HELLO_INTERVAL_SECONDS
            if peer.address == source and is_interval_over:
                self._hello_sent_at[name] = now
                self._send_message(name, Hello())

    def _handle(self, event: Event) -> None:
        self._execute(self.election.handle(self.clock(), event))

    # ---- actions ----------------------------------------------------------------------------------

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(receiver, message):
                    self._send_message(receiver, message)
                case SetTimer(at):
                    self._set_timer(at)
                case StoreVote(vote):
                    if not self._store_vote(vote):
                        return
                case AnnounceAddress(term):
                    self._announce(term)
                case ExtendLease(until):
                    self.announced_until = until
                case WithdrawAddress(term):
                    self._withdraw(term)
                case LogEvent(event, member):
                    log.info(event, **({"member": member} if member else {}))

    def _set_timer(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay = max(0.0, at - self.clock())
        self._timer = self._loop.call_later(delay, self._handle, TimerExpired())

    def _announce(self, term: int) -> None:
        log.info("service address claimed", term=term)
        if self.announcer is not None:
            self.announcer.announce(term)

    def _withdraw(self, term: int) -> None:
        self.announced_until = 0.0
        log.info("service address withdrawn", term=term)
        if self.announcer is not None:
            self.announcer.withdraw(term)

    def _store_vote(self, vote: Vote) -> bool:
        """Store a vote; return False and stop the member if this fails.

        A vote that is not stored must not be sent, so the actions after it must not be executed either.
        """
        if self.vote_store is None:
            return True
        try:
            self.vote_store.save(vote)
        except VoteStoreError as error:
            log.error("cannot store vote, election member stopped", reason=str(error))
            if self.announcer is not None and self.announced_until:
                self.announcer.withdraw(vote.term)
            self.announced_until = 0.0
            self.close()
            return False
        return True

    def _send_message(self, receiver: str, message: Message) -> None:
        self._send(receiver, self.authenticator.sign(receiver, message))

    def _send(self, receiver: str, data: bytes) -> None:
        if self._socket is not None and not self._socket.is_closing():
            self._socket.sendto(data, self.authenticator.peers[receiver].address)


def _recovered_state(vote_store: VoteStore | None) -> RecoveredState:
    """Return the state that the member recovers from its vote store. Raises VoteStoreError."""
    lowest_round = max(0, int((time.time() - ROUNDS_EPOCH) * ROUNDS_PER_SECOND))
    lowest_term = first_term_of_round(lowest_round)
    if vote_store is None:
        return RecoveredState(lowest_term=lowest_term)
    stored = vote_store.load()
    if stored is None:  # the file is new, so this member has never made a promise
        return RecoveredState(Vote(), never_promised=True)
    return RecoveredState(stored)
