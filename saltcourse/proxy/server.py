"""The program from start to exit: one object whose phase is always one of the named ones."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
from collections.abc import Callable, Sequence
from dataclasses import replace
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

import structlog

from saltcourse import signals
from saltcourse.config import RESTART_REQUIRED_KEYS, Config, ConfigError
from saltcourse.metrics import Metrics
from saltcourse.proxy.attempt import SHORT
from saltcourse.proxy.client_connection import Consumer, Host, Stage
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.companion import Companion, FleetMember
from saltcourse.proxy.discovery_client import Directory, Relocate
from saltcourse.proxy.dispatcher import Decider
from saltcourse.proxy.errors import ListenError
from saltcourse.proxy.messages import Forfeit, MoveAll
from saltcourse.proxy.pending_connections import Doorstep
from saltcourse.proxy.stream import Peer, listening

if TYPE_CHECKING:  # nothing of it is imported without an admin address
    from saltcourse.admin.commands import GossipHandler
    from saltcourse.admin.requests import Command
    from saltcourse.admin.server import AdminServer
    from saltcourse.proxy.peer_link import PeerLink

BACKLOG = 1024  # connections that wait to be taken: most clients may come back in the same second
TAKEN_AT_ONCE = 32  # before other work has its turn
STILL_TAKING = 0.5  # s after SIGTERM for which the front may go on sending clients
MOST_DEADLINE, KILL_MARGIN = 3.0, 0.45  # s; SIGKILL comes 0.7 s after the longest deadline, 3 s at most
LAST_ANSWER = 0.25  # s between the last final answers and the end: they have to be read by then
QUIET = 0.25  # s in which a client that has just connected says what it wants
EMPTIED_BY = 4.0  # s after lameduck/on by which the operators want every client moved
LAST_MOVE = 0.5  # s between the last MOVE and the end: clients leave at once, the looks may be late
OWN_SOCKETS = 24  # descriptors for the list, the loop, probes and what the interpreter holds
WARN_EVERY = 5.0  # s between warnings of the same shortage
PAUSE = 0.05  # s without taking connections when there is no descriptor for another

log = structlog.get_logger("saltcourse")


class Phase(Enum):
    STARTING = "starting"  # nothing is open yet
    SERVING = "serving"  # PING is answered
    DRAINING = "draining"  # told to leave: clients are still taken, for the front still sends them
    MOVING = "moving"  # nothing new; standing connections are moved, invocations get their answers
    LAMEDUCK = "lameduck"  # emptied by the operators: PING says no, standing connections are moved,
    #                        and the process stays, to go back to serving when told
    STOPPED = "stopped"


class ProxyServer:
    """``reread`` reads the configuration anew when SIGHUP asks for it; without it SIGHUP changes nothing.
    ``companions`` and ``gossip`` start when it serves, and leave before it drains, ``gossip`` first."""

    def __init__(
        self,
        config: Config,
        reread: Callable[[], Config] | None = None,
        companions: Sequence[Companion] = (),
        gossip: FleetMember | None = None,
    ) -> None:
        self.config, self._reread, self._gossip = config, reread, gossip
        self._companions = list(companions)
        if gossip is not None:
            self._companions.insert(0, gossip)
            gossip.attach(self)
        self.phase = Phase.STARTING
        self.clock = Clock()
        self.directory = Directory(config.discovery, config.known.version, lambda m: self.decider.tell(m))
        self.peers: PeerLink | None = None
        if config.peers is not None:
            from saltcourse.proxy.peer_link import PeerLink  # not imported where proxies share nothing

            self.peers = PeerLink(config.peers, lambda m: self.decider.tell(m))
        self.decider = Decider(
            config.settings,
            config.seed,
            self.clock,
            config.known,
            self.directory.tell,
            config.tells_delay,
            self.peers.say if self.peers else lambda _: None,
        )
        self.doorstep = Doorstep(config.limits.sockets - OWN_SOCKETS)
        self.figures = Metrics(c.name for c in config.settings.classes)
        self.figures.gauges = self._gauges
        self.host = Host(
            config.settings,
            self.clock,
            self.decider.tell,
            self.decider.addresses.get,
            self._may_answer_ping,
            self._short,
            self.doorstep,
            self.figures,
        )
        self.admin: AdminServer | None = None
        self._lameduck: asyncio.TimerHandle | None = None  # until standing connections are moved
        self.consumers: set[Consumer] = set()
        self.leave = asyncio.Event()
        self._listener: socket.socket | None = None
        self._warned = -WARN_EVERY  # when the log last told that connections wait

    async def run(self) -> None:
        """Serve until told to leave; returns when every connection has ended or time is up."""
        # Not by the loop's own handlers: those go with the loop, and a signal in the program's last moments
        # would then end it as one that was never handled. What came before this moment has been held.
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            signals.handle(number, lambda: loop.call_soon_threadsafe(self.leave.set))
        signals.handle(signal.SIGHUP, lambda: loop.call_soon_threadsafe(self.reload))
        if self.peers is not None and self.config.peers is not None:
            try:
                await self.peers.open()
            except OSError as wrong:
                raise ListenError("peer_listen", "{}:{}".format(*self.config.peers.listen), wrong) from None
        self.decider.start()
        self.directory.start()
        self._listener = self._listen()
        if self.config.admin is not None:
            from saltcourse.admin.server import AdminServer  # not imported where nobody calls

            self.admin = AdminServer(self.config.admin, self)
            try:
                self.admin.start()
            except OSError as wrong:
                raise ListenError("admin", "{}:{}".format(*self.config.admin), wrong) from None
        self._enter(Phase.SERVING)
        for companion in self._companions:
            await companion.start()
        await self.leave.wait()
        for companion in self._companions:
            await companion.leave()
        await self._drain()
        signals.ignore()
        self._enter(Phase.STOPPED)
        if self.admin is not None:
            self.admin.stop()
        if self.peers is not None:
            self.peers.close()

    # ---- what operators ask at the admin address ------------------------------------------------

    def ready(self) -> bool:
        """It can serve: it listens, has not been told to leave or to empty, and knows providers."""
        return self.phase is Phase.SERVING and bool(self.decider.members)

    def figures_text(self) -> bytes:
        return self.figures.text()

    def lameduck(self, on: bool) -> bool:
        """Empty the program, or take it back into work; False once it is leaving for good.

        As on SIGTERM, the front is given ``STILL_TAKING`` to hear PING say no before connections are moved;
        the listener stays open, for the front may still send a few, and they are served and moved too.
        """
        if self.leave.is_set() or self.phase in (Phase.STARTING, Phase.STOPPED):
            return False
        if on and self.phase is Phase.SERVING:
            self._enter(Phase.LAMEDUCK)
            loop = asyncio.get_running_loop()
            begin, end = loop.time() + STILL_TAKING, loop.time() + EMPTIED_BY - 2 * LAST_MOVE
            self._lameduck = loop.call_later(STILL_TAKING, self.decider.tell, MoveAll(True, begin, end))
        elif not on and self.phase is Phase.LAMEDUCK:
            if self._lameduck is not None:
                self._lameduck.cancel()
                self._lameduck = None
            self.decider.tell(MoveAll(on=False))
            self._enter(Phase.SERVING)
        return True

    def _gauges(self) -> dict[str, int]:
        targets, disabled = self.decider.targets()
        fleet = self.decider.fleet() if self.peers is not None else {}
        gossip = self._gossip.figures() if self._gossip is not None else {}
        return {
            "concurrent": self.connections(),
            "targets": targets,
            "targets_disabled": disabled,
            **fleet,
            **gossip,
        }

    def connections(self) -> int:
        """Connections that clients asked for and that have not ended; not those that only sit or PING."""
        return sum(1 for c in self.consumers if c.stage in (Stage.WAITING, Stage.STANDING))

    @property
    def gossip_handler(self) -> GossipHandler | None:
        return self._gossip.answers if self._gossip is not None else None

    def supports(self, command: Command) -> bool:
        from saltcourse.admin.requests import GOSSIP_COMMANDS  # not imported where nobody calls

        return command not in GOSSIP_COMMANDS or self.gossip_handler is not None

    def reload(self) -> None:
        """Take over what a changed configuration file says; whatever stands is left as it is.

        The same in every phase: also a program that drains has to hear of its providers.
        """
        for companion in self._companions:
            companion.reload()
        if self._reread is None:
            return
        try:
            new = self._reread()
        except ConfigError as wrong:
            log.error("the old configuration is kept", reason=str(wrong))
            return
        self.take_over(new)

    def take_over(self, new: Config) -> None:
        """What of ``new`` can change in a running program is in force from now on; the rest is logged."""
        old, self.config = self.config, replace(self.config, discovery=new.discovery, limits=new.limits)
        later = [key for key in RESTART_REQUIRED_KEYS if getattr(new, key) != getattr(old, key)]
        if later:
            log.warning("changed keys that a restart will read", keys=",".join(later))
        self.doorstep.sockets = new.limits.sockets - OWN_SOCKETS
        log.info("reloaded", discovery="{}:{}".format(*new.discovery), sockets=new.limits.sockets)
        if new.discovery != old.discovery:
            self.directory.tell(Relocate(new.discovery))

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        deadlines = [c.deadline for c in self.config.settings.classes]
        longest = min(MOST_DEADLINE, max(deadlines, default=MOST_DEADLINE))
        last = loop.time() + longest + KILL_MARGIN
        self.host.answer_by = self.clock.now() + longest + KILL_MARGIN - LAST_ANSWER
        loop.call_at(last - LAST_ANSWER, self._answer_all)
        if self._lameduck is not None:
            self._lameduck.cancel()
        inherited, emptied = self.config.listen_fd is not None, self.phase is Phase.LAMEDUCK
        self._enter(Phase.DRAINING)
        if not inherited and not emptied:
            # The front sends clients for a moment more. Where the listening socket is shared with the
            # process that replaces this one, the other takes them: nothing new is taken here from now on.
            await asyncio.sleep(STILL_TAKING)
        self._enter(Phase.MOVING)
        self._stop_listening(take_first=not inherited)
        # Spread, for whoever takes the moved clients over sets them up anew; all by LAST_MOVE before the end.
        self.decider.tell(MoveAll(True, loop.time(), last - LAST_MOVE))
        for consumer in self.consumers:
            consumer.retire(QUIET, last - LAST_ANSWER - loop.time())
        while self.consumers and loop.time() < last:
            tasks = [c.task for c in self.consumers if c.task is not None]
            await asyncio.wait(tasks, timeout=max(0.0, last - loop.time()))

    def _answer_all(self) -> None:
        """No answer may be owed when the program ends. Those that came late were given less time for this."""
        for consumer in self.consumers:
            consumer.tell(Forfeit("the program ends"))

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        log.info("phase", phase=phase.value, consumers=len(self.consumers))

    def _may_answer_ping(self) -> bool:
        return self.phase is Phase.SERVING

    # ---- taking connections ---------------------------------------------------------------------

    def _listen(self) -> socket.socket:
        if self.config.listen_fd is not None:
            try:
                return self._inherit(self.config.listen_fd)
            except OSError as wrong:
                raise ListenError("EDGE_LISTEN_FD", f"descriptor {self.config.listen_fd}", wrong) from None
        try:
            return listening(self.config.listen, BACKLOG, self._take_some)
        except OSError as wrong:
            raise ListenError("listen", "{}:{}".format(*self.config.listen), wrong) from None

    def _inherit(self, number: int) -> socket.socket:
        """The platform's listening socket, shared with the process that this one replaces, or its heir."""
        listener = socket.socket(fileno=number)
        listening = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        if listener.type != socket.SOCK_STREAM or not listening:
            listener.detach()
            raise OSError(errno.ENOTSOCK, "no listening TCP socket")
        listener.setblocking(False)
        asyncio.get_running_loop().add_reader(listener, self._take_some)
        return listener

    def address(self) -> tuple[str, int]:
        """Where clients reach this program; the port may have been left to the system."""
        assert self._listener is not None
        host, port = self._listener.getsockname()[:2]
        return host, port

    def _stop_listening(self, take_first: bool = True) -> None:
        """What has come in already is taken first: closing the listener would reset it. A shared listener
        is not reset by closing it here: what waits in it is left to the other process."""
        if self._listener is not None:
            if take_first:
                self._take_some(BACKLOG)
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _take_some(self, most: int = TAKEN_AT_ONCE) -> None:
        for _ in range(most):
            if self._listener is None:
                return
            self.doorstep.make_room(Peer.held)
            if Peer.held + OWN_SOCKETS >= self.config.limits.sockets:
                self._pause("too many connections")
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as wrong:
                if wrong.errno not in SHORT:
                    raise
                self._pause(os.strerror(wrong.errno or errno.EMFILE))
                return
            consumer = Consumer(Peer(sock), self.host)
            self.consumers.add(consumer)
            consumer.start()
            assert consumer.task is not None
            consumer.task.add_done_callback(partial(self._gone, consumer))

    def _gone(self, consumer: Consumer, _: object) -> None:
        self.consumers.discard(consumer)

    def _pause(self, why: str) -> None:
        """Leave new connections in the backlog for a moment rather than spin on them."""
        if self._listener is None:
            return
        loop, listener = asyncio.get_running_loop(), self._listener
        if loop.time() >= self._warned + WARN_EVERY:
            self._warned = loop.time()
            log.warning("not taking connections for a moment", reason=why)
        loop.remove_reader(listener)
        loop.call_later(PAUSE, self._resume, listener)

    def _resume(self, listener: socket.socket) -> None:
        if listener is self._listener:
            asyncio.get_running_loop().add_reader(listener, self._take_some)

    def _short(self) -> bool:
        """Each client that is served needs a second descriptor, for its provider: without it, BUSY is the
        answer. Those that are being told so hold one only, or a crowd of them would turn away others."""
        held = sum(2 if c.request else 1 for c in self.consumers)
        return held + 1 + OWN_SOCKETS > self.config.limits.sockets


def serve(
    config: Config,
    reread: Callable[[], Config] | None = None,
    companions: Sequence[Companion] = (),
    gossip: FleetMember | None = None,
) -> None:
    """Run the program; ListenError when it cannot listen."""
    asyncio.run(ProxyServer(config, reread, companions, gossip).run())


__all__ = ["ListenError", "ProxyServer", "Phase", "serve"]
