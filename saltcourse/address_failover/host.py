"""One member on real sockets: UDP, timers, the vote's file and the announcer around the election core.

It decides nothing. The clock is CLOCK_BOOTTIME, which also counts while the machine is suspended: a lease
must not outlast that.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import structlog

from saltcourse.address_failover.authentication import Drop, Seal
from saltcourse.address_failover.election import Election
from saltcourse.address_failover.messages import (
    MOST_MEMBERS,
    Action,
    Announcer,
    Claim,
    Event,
    Hold,
    Leave,
    Note,
    Received,
    Seat,
    SetTimer,
    Store,
    Tell,
    Tick,
    Timing,
    Vote,
    Withdraw,
)
from saltcourse.address_failover.route_announcement import Announcing
from saltcourse.address_failover.vote_store import StoreError, VoteStore

HELLO_EVERY = 0.05  # s between Hellos to one member, however many of its datagrams do not know this process
# By which the first term of a member without a store grows with the calendar. Such a member waits a lease
# before it claims, so each life's claims lie above the last one's; members together use up fewer.
ROUNDS_A_SECOND = 8
EPOCH = 1_767_225_600  # 2026-01-01, so that rounds fit BGP's four octets until 2043
DROPS_EVERY = 5.0  # s between log lines that sum up dropped datagrams

log = structlog.get_logger("saltcourse")


def boot_clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Member(asyncio.DatagramProtocol):
    """``seal`` knows the other members' addresses; ``store`` is None where no disk survives."""

    def __init__(
        self,
        seats: tuple[Seat, ...],
        seal: Seal,
        timing: Timing,
        seed: int,
        announcer: Announcing | None,
        store: VoteStore | None = None,
        clock: Callable[[], float] = boot_clock,
    ) -> None:
        self.seal, self.store, self.announcer, self.clock = seal, store, announcer, clock
        self.holds_until = 0.0
        self._loop = asyncio.get_running_loop()
        self._socket: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._hello: dict[str, float] = {}
        self._summed = self._loop.time()
        stored = store.load() if store is not None else None
        fresh = store is not None and stored is None  # an empty file: nothing was ever promised
        stored = Vote() if fresh else stored
        floor = int((time.time() - EPOCH) * ROUNDS_A_SECOND) * MOST_MEMBERS
        self.core = Election(seats, seal.me, timing, seed, clock(), stored, fresh, max(0, floor))
        if announcer is not None:
            self.core.able = False  # until it says that it can

    async def start(self, address: tuple[str, int]) -> None:
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=address)
        for name in self.seal.peers:  # or the first question to one that never heard of this process is lost
            self._send(name, self.seal.pack(name, None))
        self._carry_out(self.core.start(self.clock()))
        if self.announcer is not None:
            self.announcer.start(lambda able: self._handle(Announcer(able)))

    async def leave(self) -> None:
        """Hand over, withdraw, and be gone."""
        self._handle(Leave())
        if self.announcer is not None:
            await self.announcer.stop("planned leave")
        self.close()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            self._socket.close()
        if self.store is not None:
            self.store.close()

    @property
    def holding(self) -> bool:
        return self.clock() < self.holds_until

    # ---- events -----------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        self._socket = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        found = self.seal.open(data, addr[:2])
        if isinstance(found, Drop):
            self._dropped(found, addr[:2])
        elif found[1] is not None:
            self._handle(Received(found[0], found[1]))

    def error_received(self, exc: Exception) -> None:
        """A member whose port is closed; its silence tells the core."""

    def _dropped(self, why: Drop, source: tuple[str, int]) -> None:
        now = self._loop.time()
        if why is Drop.UNKNOWN_BOOT:
            for name, peer in self.seal.peers.items():
                if peer.address == source and now - self._hello.get(name, -1.0) >= HELLO_EVERY:
                    self._hello[name] = now
                    self._send(name, self.seal.pack(name, None))
        if now - self._summed >= DROPS_EVERY:
            self._summed = now
            log.info(
                "dropped datagrams",
                **{d.value: n for d, n in sorted(self.seal.dropped.items(), key=lambda item: item[0].value)},
            )

    def _handle(self, event: Event) -> None:
        self._carry_out(self.core.handle(self.clock(), event))

    # ---- actions ----------------------------------------------------------------------------------

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Tell(member, message):
                    self._send(member, self.seal.pack(member, message))
                case SetTimer(at):
                    if self._timer is not None:
                        self._timer.cancel()
                    self._timer = self._loop.call_later(max(0.0, at - self.clock()), self._handle, Tick())
                case Store(vote):
                    if self.store is not None and not self._saved(self.store, vote):
                        return
                case Claim(term):
                    log.info("service address claimed", term=term)
                    if self.announcer is not None:
                        self.announcer.announce(term)
                case Hold(until):
                    self.holds_until = until
                case Withdraw(term):
                    self.holds_until = 0.0
                    log.info("service address withdrawn", term=term)
                    if self.announcer is not None:
                        self.announcer.withdraw(term)
                case Note(text):
                    log.info("membership", text=text)

    def _saved(self, store: VoteStore, vote: Vote) -> bool:
        """A vote that can't be kept must not be told, nor any after it: this member is out."""
        try:
            store.save(vote)
        except StoreError as wrong:
            log.error("the vote can't be kept; this member takes no part any more", reason=str(wrong))
            if self.announcer is not None and self.holds_until:
                self.announcer.withdraw(vote.term)
            self.holds_until = 0.0
            self.close()
            return False
        return True

    def _send(self, member: str, data: bytes) -> None:
        if self._socket is not None and not self._socket.is_closing():
            self._socket.sendto(data, self.seal.peers[member].address)
