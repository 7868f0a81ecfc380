"""The proxy from start to exit.

startup ──► serve ──► drain ──► shutdown

STARTING ──► SERVING ──SIGTERM──► DRAINING ──► MIGRATING ──► STOPPED
              │    ▲                 ▲
      lameduck on  lameduck off      │
              ▼    │                 │
             LAMEDUCK ────SIGTERM────┘

phase       PING      new clients        established connections
SERVING     PONG      accepted           stay
LAMEDUCK    no        accepted           migrated, spread (see draining)
DRAINING    no        accepted           stay
MIGRATING   no        no more accepted   migrated, spread; requests that wait get their answers
"""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable, Sequence
from dataclasses import replace
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

import structlog

from saltcourse import signals
from saltcourse.balancing.actions import SendPeerMessage
from saltcourse.codec.endpoint_list import Address
from saltcourse.config import RESTART_REQUIRED_KEYS, Config, ConfigError
from saltcourse.metrics import Metrics
from saltcourse.proxy import draining
from saltcourse.proxy.background_service import BackgroundService, MembershipService
from saltcourse.proxy.client_connection import ClientConnection, ConnectionState
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.connection_context import ConnectionContext, ProtocolErrorLog
from saltcourse.proxy.descriptors import DescriptorLimit
from saltcourse.proxy.discovery_client import ChangeAddress, DiscoveryClient
from saltcourse.proxy.dispatcher import ActionHandlers, Dispatcher
from saltcourse.proxy.draining import DrainTimeline, Lameduck
from saltcourse.proxy.errors import ListenError
from saltcourse.proxy.listener import ClientListener
from saltcourse.proxy.messages import AbandonReason, AbandonRequest, DispatcherMessage, StartDraining
from saltcourse.proxy.pending_connections import PendingConnections
from saltcourse.proxy.stream import SocketStream

if TYPE_CHECKING:  # nothing of it is imported without an admin address
    from saltcourse.admin.commands import GossipHandler
    from saltcourse.admin.requests import Command
    from saltcourse.admin.server import AdminServer
    from saltcourse.proxy.peer_link import PeerLink

log = structlog.get_logger("saltcourse")


class Phase(Enum):
    """Where the program is between its start and its exit; the table is at the head of this file."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    MIGRATING = "migrating"
    LAMEDUCK = "lameduck"
    STOPPED = "stopped"


class ProxyServer:
    """The proxy and all that runs in its process.

    ``reread`` reads the configuration anew when SIGHUP asks for it; without it SIGHUP changes nothing.
    ``background_services`` and ``gossip`` start when it serves, and leave before it drains, ``gossip`` first.
    """

    def __init__(
        self,
        config: Config,
        reread: Callable[[], Config] | None = None,
        background_services: Sequence[BackgroundService] = (),
        gossip: MembershipService | None = None,
    ) -> None:
        self.config = config
        self.phase = Phase.STARTING
        self.stop_requested = asyncio.Event()  # set by SIGTERM: the program is to drain and exit
        self.clients: set[ClientConnection] = set()
        self.clock = Clock()
        self.admin: AdminServer | None = None
        self._reread = reread
        self._gossip = gossip
        self._background_services = list(background_services)
        if gossip is not None:
            self._background_services.insert(0, gossip)
            gossip.attach(self)
        self.peers = self._make_peer_link()
        self.discovery = DiscoveryClient(config.discovery, config.known.version, self._send_to_dispatcher)
        self.dispatcher = self._make_dispatcher()
        self.metrics = Metrics(each.name for each in config.settings.classes)
        self.metrics.gauges = self._gauges
        self._descriptors = DescriptorLimit(config.limits.sockets)
        self.pending = PendingConnections(self._descriptors.for_connections)
        self.listener = ClientListener(self._descriptors, self.pending, self._serve_client)
        self.context = self._make_context()
        self._lameduck = Lameduck(self.dispatcher.send)

    def _make_peer_link(self) -> PeerLink | None:
        if self.config.peers is None:
            return None
        from saltcourse.proxy.peer_link import PeerLink  # not imported where proxies share nothing

        return PeerLink(self.config.peers, self._send_to_dispatcher)

    def _make_dispatcher(self) -> Dispatcher:
        handlers = ActionHandlers(discovery=self.discovery.send, peers=self._send_to_peers)
        return Dispatcher(self.config, self.clock, handlers)

    def _make_context(self) -> ConnectionContext:
        return ConnectionContext(
            settings=self.config.settings,
            request_classes=frozenset(each.name for each in self.config.settings.classes),
            clock=self.clock,
            metrics=self.metrics,
            pending=self.pending,
            protocol_errors=ProtocolErrorLog(self.clock),
            send_to_dispatcher=self.dispatcher.send,
            address_of=self.dispatcher.address_of,
            may_answer_ping=self._may_answer_ping,
            is_short_of_descriptors=self._is_short_of_descriptors,
        )

    def _send_to_dispatcher(self, message: DispatcherMessage) -> None:
        self.dispatcher.send(message)

    def _send_to_peers(self, message: SendPeerMessage) -> None:
        if self.peers is not None:
            self.peers.send_message(message)

    # ---- phases -----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until SIGTERM; returns when every connection has ended or time is up.

        The drain, and all its times, begin when the last background service has left: with a command
        announcer that is up to 1.2 s after SIGTERM.

        Raises ``ListenError``.
        """
        await self.startup()
        await self.stop_requested.wait()
        for service in self._background_services:
            await service.leave()
        await self.drain()
        self.shutdown()

    async def startup(self) -> None:
        """Open all sockets and start what runs beside the proxy; raises ``ListenError``."""
        self._handle_signals()
        await self._open_peer_link()
        self.dispatcher.start()
        self.discovery.start()
        self.listener.open(self.config.listen, self.config.listen_fd)
        self._start_admin()
        self._enter(Phase.SERVING)
        for service in self._background_services:
            await service.start()

    def _handle_signals(self) -> None:
        """Not by the loop's own handlers, which go with the loop.

        A signal in the program's last moments would then end it as one that was never handled. What came
        before this moment has been held.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            signals.handle(number, lambda: loop.call_soon_threadsafe(self.stop_requested.set))
        signals.handle(signal.SIGHUP, lambda: loop.call_soon_threadsafe(self.reload))

    async def _open_peer_link(self) -> None:
        if self.peers is not None and self.config.peers is not None:
            try:
                await self.peers.open()
            except OSError as error:
                where = "{}:{}".format(*self.config.peers.listen)
                raise ListenError("peer_listen", where, error) from None

    def _start_admin(self) -> None:
        if self.config.admin is None:
            return
        from saltcourse.admin.server import AdminServer  # not imported where nobody calls

        self.admin = AdminServer(self.config.admin, self)
        try:
            self.admin.start()
        except OSError as error:
            raise ListenError("admin", "{}:{}".format(*self.config.admin), error) from None

    async def drain(self) -> None:
        """Answer every request and migrate every connection, within the time before SIGKILL."""
        loop = asyncio.get_running_loop()
        timeline = DrainTimeline.for_classes(self.config.settings.classes)
        begin = loop.time()
        self.context.answer_deadline = self.clock.now() + timeline.answers_due
        loop.call_at(begin + timeline.answers_due, self._abandon_requests)
        self._lameduck.cancel()
        is_shared = self.config.listen_fd is not None
        was_lameduck = self.phase is Phase.LAMEDUCK
        self._enter(Phase.DRAINING)
        if not is_shared and not was_lameduck:
            # The front sends clients for a moment more. Where the listening socket is shared with the
            # process that replaces this one, the other accepts them: none is accepted here from now on.
            await asyncio.sleep(draining.FRONT_NOTICE_SECONDS)
        self._enter(Phase.MIGRATING)
        self.listener.close(accept_waiting=not is_shared)
        # Spread, for whoever takes the migrated clients over sets them up anew.
        self.dispatcher.send(StartDraining(loop.time(), begin + timeline.migrations_due))
        for client in self.clients:
            answer_time_left = begin + timeline.answers_due - loop.time()
            client.opening.limit_for_shutdown(draining.SILENT_TIMEOUT_SECONDS, answer_time_left)
        await self._wait_for_clients(begin + timeline.duration)

    async def _wait_for_clients(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while self.clients and loop.time() < end:
            tasks = [client.task for client in self.clients if client.task is not None]
            await asyncio.wait(tasks, timeout=max(0.0, end - loop.time()))

    def _abandon_requests(self) -> None:
        """No answer may be due when the program ends; requests that came late were given less time."""
        for client in self.clients:
            client.send(AbandonRequest(AbandonReason.PROGRAM_ENDS))

    def shutdown(self) -> None:
        """Ignore further signals and close what is left."""
        signals.ignore()
        self._enter(Phase.STOPPED)
        if self.admin is not None:
            self.admin.stop()
        if self.peers is not None:
            self.peers.close()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        log.info("phase", phase=phase.value, clients=len(self.clients))

    # ---- clients ----------------------------------------------------------------------------------

    def address(self) -> Address:
        """Where clients reach this program; the port may have been left to the system."""
        return self.listener.address()

    def _serve_client(self, accepted: socket.socket) -> None:
        client = ClientConnection(SocketStream(accepted), self.context)
        self.clients.add(client)
        client.start()
        assert client.task is not None
        client.task.add_done_callback(partial(self._forget_client, client))

    def _forget_client(self, client: ClientConnection, _: object) -> None:
        self.clients.discard(client)

    def _may_answer_ping(self) -> bool:
        return self.phase is Phase.SERVING

    def _is_short_of_descriptors(self) -> bool:
        """Whether a client that has sent a request is to be answered with BUSY.

        Counts two descriptors for each client whose OPEN line was read, also while it is being rejected, and
        one for any other.
        """
        held = sum(2 if client.request else 1 for client in self.clients)
        return not self._descriptors.can_serve(held)

    # ---- the configuration ------------------------------------------------------------------------

    def reload(self) -> None:
        """Put a changed configuration file in force; established connections are left as they are.

        The same in every phase: a program that drains has to learn of its backends as well.
        """
        for service in self._background_services:
            service.reload()
        if self._reread is None:
            return
        try:
            new = self._reread()
        except ConfigError as error:
            log.error("configuration rejected", reason=str(error))
            return
        self.apply_config(new)

    def apply_config(self, new: Config) -> None:
        """Put in force what of ``new`` can change in a running program; the rest is logged."""
        old = self.config
        self.config = replace(old, discovery=new.discovery, limits=new.limits)
        need_restart = [key for key in RESTART_REQUIRED_KEYS if getattr(new, key) != getattr(old, key)]
        if need_restart:
            log.warning("changed keys that a restart will read", keys=",".join(need_restart))
        self._descriptors.limit = new.limits.sockets
        self.pending.max_descriptors = self._descriptors.for_connections
        log.info(
            "configuration reloaded",
            discovery="{}:{}".format(*new.discovery),
            sockets=new.limits.sockets,
        )
        if new.discovery != old.discovery:
            self.discovery.send(ChangeAddress(new.discovery))

    # ---- what operators ask at the admin address --------------------------------------------------

    def ready(self) -> bool:
        """Whether it can serve: it listens, neither drains nor is in lameduck, and knows backends."""
        return self.phase is Phase.SERVING and bool(self.dispatcher.endpoints)

    def lameduck(self, on: bool) -> bool:
        """Empty the program, or take it back into service; False once it is leaving for good."""
        if self.stop_requested.is_set() or self.phase in (Phase.STARTING, Phase.STOPPED):
            return False
        if on and self.phase is Phase.SERVING:
            self._enter(Phase.LAMEDUCK)
            self._lameduck.start()
        elif not on and self.phase is Phase.LAMEDUCK:
            self._lameduck.stop()
            self._enter(Phase.SERVING)
        return True

    def metrics_text(self) -> bytes:
        """The metrics in statsd's line format."""
        return self.metrics.text()

    def _gauges(self) -> dict[str, int]:
        shared_state = self.dispatcher.shared_state_gauges() if self.peers is not None else {}
        gossip = self._gossip.gauges() if self._gossip is not None else {}
        return {
            "concurrent": self.connections(),
            **self.dispatcher.backend_gauges(),
            **shared_state,
            **gossip,
        }

    def connections(self) -> int:
        """Connections that clients asked for and that have not ended; not those that only sit or PING."""
        counted = (ConnectionState.WAITING, ConnectionState.ESTABLISHED)
        return sum(1 for client in self.clients if client.state in counted)

    @property
    def gossip_handler(self) -> GossipHandler | None:
        """What answers the gossip commands, where there is such a member."""
        return self._gossip.gossip_handler if self._gossip is not None else None

    def supports(self, command: Command) -> bool:
        """Whether the program has what the command is for."""
        from saltcourse.admin.requests import GOSSIP_COMMANDS  # not imported where nobody calls

        return command not in GOSSIP_COMMANDS or self.gossip_handler is not None


def serve(
    config: Config,
    reread: Callable[[], Config] | None = None,
    background_services: Sequence[BackgroundService] = (),
    gossip: MembershipService | None = None,
) -> None:
    """Run the program; raises ``ListenError`` when it cannot listen."""
    asyncio.run(ProxyServer(config, reread, background_services, gossip).run())
