"""The proxy server and its lifecycle: startup ──► serve ──► drain ──► shutdown.

STARTING ──► SERVING ──SIGTERM──► DRAINING ──► MIGRATING ──► STOPPED
              │    ▲                 ▲
      lameduck on  lameduck off      │
              ▼    │                 │
             LAMEDUCK ────SIGTERM────┘

phase       PING         new clients    established connections
SERVING     PONG         accepted       stay
LAMEDUCK    no answer    accepted       migrated, spread over time (see draining)
DRAINING    no answer    accepted       stay
MIGRATING   no answer    not accepted   migrated, spread over time; waiting requests are still answered
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
from saltcourse.proxy import draining, memory_limit
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
from saltcourse.proxy.request_ids import REFRESH_SECONDS, RequestIds
from saltcourse.proxy.stream import SocketStream

if TYPE_CHECKING:  # imported at run time only if configured
    from saltcourse.admin.commands import GossipHandler
    from saltcourse.admin.requests import Command
    from saltcourse.admin.server import AdminServer
    from saltcourse.proxy.peer_link import PeerLink
    from saltcourse.proxy.peer_link_handover import PeerLinkHandover

log = structlog.get_logger("saltcourse")


class Phase(Enum):
    """The lifecycle phases of the process, described in the module docstring."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    MIGRATING = "migrating"
    LAMEDUCK = "lameduck"
    STOPPED = "stopped"


class ProxyServer:
    """The proxy with all other parts of its process.

    ``reread`` reads the configuration again on SIGHUP; without it, SIGHUP does not change the configuration.
    ``gossip`` and ``background_services`` start when the proxy serves and leave while it drains, in that
    order.
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
        self.stop_requested = asyncio.Event()  # set by SIGTERM or SIGINT: drain, then exit
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
        self._peer_link_handover: PeerLinkHandover | None = None  # only where processes are replaced
        self.discovery = self._make_discovery_client()
        self.dispatcher = self._make_dispatcher()
        self.metrics = Metrics(each.name for each in config.settings.classes)
        self.metrics.gauges = self._gauges
        self._descriptors = self._make_descriptor_limit()
        self.pending = PendingConnections(self._descriptors.for_connections)
        self.listener = ClientListener(self._descriptors, self.pending, self._serve_client)
        self.context = self._make_context()
        self._lameduck = Lameduck(self.dispatcher.send)

    def _make_peer_link(self) -> PeerLink | None:
        if self.config.peers is None:
            return None
        from saltcourse.proxy.peer_link import PeerLink  # imported only if proxies share state

        return PeerLink(self.config.peers, self._send_to_dispatcher)

    def _make_descriptor_limit(self) -> DescriptorLimit:
        limits = self.config.limits
        within_memory = memory_limit.descriptors_within(limits.memory_mb, memory_limit.resident_bytes())
        limit = DescriptorLimit(limits.sockets, within_memory)
        if limit.for_connections == within_memory:
            log.warning(
                "connections limited by memory", descriptors=within_memory, memory_mb=limits.memory_mb
            )
        return limit

    def _make_discovery_client(self) -> DiscoveryClient:
        config = self.config
        mode = config.settings.discovery_mode
        return DiscoveryClient(config.discovery, mode, config.known.version, self._send_to_dispatcher)

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
            request_ids=self._make_request_ids(),
        )

    def _make_request_ids(self) -> RequestIds:
        if self.config.listen_fd is None:
            return RequestIds()
        # Imported only where the platform replaces processes while they serve.
        from saltcourse.proxy.shared_request_ids import shared_request_ids

        return shared_request_ids(self.config.name, self.config.listen)

    def _refresh_request_ids(self) -> None:
        self.context.request_ids.refresh()
        asyncio.get_running_loop().call_later(REFRESH_SECONDS, self._refresh_request_ids)

    def _send_to_dispatcher(self, message: DispatcherMessage) -> None:
        self.dispatcher.send(message)

    def _send_to_peers(self, message: SendPeerMessage) -> None:
        if self.peers is not None:
            self.peers.send_message(message)

    # ---- phases -----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until SIGTERM, drain, and return when all connections have ended or the drain time is over.

        Raises ``ListenError``.
        """
        await self.startup()
        await self.stop_requested.wait()
        await self.drain()
        self.shutdown()

    async def startup(self) -> None:
        """Open all sockets and start the actors and background services; raises ``ListenError``."""
        self._handle_signals()
        await self._open_peer_link()
        self.dispatcher.start()
        self.discovery.start()
        self.listener.open(self.config.listen, self.config.listen_fd)
        self._start_admin()
        if self.config.listen_fd is not None:
            self._refresh_request_ids()
        self._enter(Phase.SERVING)
        for service in self._background_services:
            await service.start()

    def _handle_signals(self) -> None:
        """Install the signal handlers, which also receive the signals that were held during startup.

        The event loop's own handlers are not used: they are removed with the loop, so that a signal late in
        the shutdown would have its default action and kill the process.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            signals.handle(number, lambda: loop.call_soon_threadsafe(self.stop_requested.set))
        signals.handle(signal.SIGHUP, lambda: loop.call_soon_threadsafe(self.reload))

    async def _open_peer_link(self) -> None:
        if self.peers is None:
            return
        try:
            if self.config.listen_fd is None:
                await self.peers.open()
            else:
                await self._take_over_peer_link(self.peers)
        except OSError as error:
            raise ListenError("peer_listen", self.peers.address, error) from None

    async def _take_over_peer_link(self, link: PeerLink) -> None:
        # Imported only where the platform replaces processes while they serve.
        from saltcourse.proxy.peer_link_handover import PeerLinkHandover

        self._peer_link_handover = PeerLinkHandover(link, self._send_to_dispatcher)
        await self._peer_link_handover.open_when_free()

    def _start_admin(self) -> None:
        if self.config.admin is None:
            return
        from saltcourse.admin.server import AdminServer  # imported only with an admin address

        self.admin = AdminServer(self.config.admin, self)
        try:
            self.admin.start()
        except OSError as error:
            raise ListenError("admin", "{}:{}".format(*self.config.admin), error) from None

    async def drain(self) -> None:
        """Answer all requests and migrate all connections before SIGKILL."""
        loop = asyncio.get_running_loop()
        timeline = DrainTimeline.for_classes(self.config.settings.classes)
        begin = loop.time()
        self.context.answer_deadline = self.clock.now() + timeline.answer_deadline
        loop.call_at(begin + timeline.answer_deadline, self._abandon_requests)
        self._lameduck.cancel()
        if self._peer_link_handover is not None:
            self._peer_link_handover.release()
        leaving = loop.create_task(self._leave_services(), name="background services leaving")
        is_shared = self.config.listen_fd is not None
        was_lameduck = self.phase is Phase.LAMEDUCK
        self._enter(Phase.DRAINING)
        if not is_shared and not was_lameduck:
            # The front load balancer still sends clients for a short time. On a shared listening socket, the
            # process that replaces this one accepts them, so this one stops accepting immediately.
            await asyncio.sleep(draining.FRONT_NOTICE_SECONDS)
        if not is_shared:
            # While a service announces this proxy's address, new clients and migrated ones still come here.
            await asyncio.wait({leaving}, timeout=max(0.0, begin + timeline.latest_migration - loop.time()))
        self._enter(Phase.MIGRATING)
        self.listener.close(accept_backlog=not is_shared)
        # The migrations are spread over time, because the other proxies establish each connection again.
        self.dispatcher.send(StartDraining(loop.time(), begin + timeline.migration_deadline))
        for client in self.clients:
            answer_time_left = begin + timeline.answer_deadline - loop.time()
            client.opening.limit_for_shutdown(draining.SILENT_TIMEOUT_SECONDS, answer_time_left)
        await self._wait_for_clients(begin + timeline.duration)
        await leaving

    async def _leave_services(self) -> None:
        for service in self._background_services:
            await service.leave()

    async def _wait_for_clients(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while self.clients and loop.time() < end:
            tasks = [client.task for client in self.clients if client.task is not None]
            await asyncio.wait(tasks, timeout=max(0.0, end - loop.time()))

    def _abandon_requests(self) -> None:
        """Fail all unanswered requests, so that every client gets an answer before the process exits.

        Requests that arrive during the drain have a deadline that is shortened to this moment.
        """
        for client in self.clients:
            client.send(AbandonRequest(AbandonReason.SHUTDOWN))

    def shutdown(self) -> None:
        """Ignore further signals and close the remaining sockets."""
        signals.ignore()
        self._enter(Phase.STOPPED)
        if self.admin is not None:
            self.admin.stop()
        if self.peers is not None:
            self.peers.close()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        log.info("phase changed", phase=phase.value, clients=len(self.clients))

    # ---- clients ----------------------------------------------------------------------------------

    def address(self) -> Address:
        """Return the address that clients connect to; the port is the actual one if configured as 0."""
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
        """Return whether a new request has to be answered with BUSY for lack of descriptors.

        Two descriptors are counted for each client whose OPEN line was read, even while it is being rejected,
        and one for each other client.
        """
        needed = sum(2 if client.request else 1 for client in self.clients)
        return not self._descriptors.can_serve(needed)

    # ---- configuration ----------------------------------------------------------------------------

    def reload(self) -> None:
        """Read the configuration file again and apply it; established connections are not affected.

        This works in every phase, because a draining proxy also has to follow the changes of its backends.
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
        """Apply the settings of ``new`` that can change at run time; log the keys that need a restart."""
        old = self.config
        self.config = replace(old, discovery=new.discovery, limits=new.limits)
        need_restart = [key for key in RESTART_REQUIRED_KEYS if getattr(new, key) != getattr(old, key)]
        if need_restart:
            log.warning("configuration changes require a restart", keys=",".join(need_restart))
        self._descriptors.limit = new.limits.sockets
        self.pending.max_descriptors = self._descriptors.for_connections
        log.info(
            "configuration reloaded",
            discovery="{}:{}".format(*new.discovery),
            sockets=new.limits.sockets,
        )
        if new.discovery != old.discovery:
            self.discovery.send(ChangeAddress(new.discovery))

    # ---- admin interface --------------------------------------------------------------------------

    def ready(self) -> bool:
        """Return whether the proxy can serve: it is in the phase SERVING and knows backends."""
        return self.phase is Phase.SERVING and bool(self.dispatcher.endpoints)

    def lameduck(self, on: bool) -> bool:
        """Enter lameduck, or return to service; return False if the process is starting or shutting down."""
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
        """Return the metrics in statsd's line format."""
        return self.metrics.text()

    def _gauges(self) -> dict[str, int]:
        shared_state: dict[str, int] = {}
        if self.peers is not None:
            linked = {"fleet.linked": int(self.peers.is_open)}
            shared_state = linked | self.dispatcher.shared_state_gauges()
        gossip = self._gossip.gauges() if self._gossip is not None else {}
        return {
            "concurrent": self.connections(),
            "descriptors": SocketStream.open_count,
            "descriptors_limit": self._descriptors.for_connections,
            "resident_kb": memory_limit.resident_bytes() // 1024,
            **self.dispatcher.backend_gauges(),
            **shared_state,
            **gossip,
        }

    def connections(self) -> int:
        """Return the number of connections with a request, excluding clients that have sent none yet."""
        counted = (ConnectionState.WAITING, ConnectionState.ESTABLISHED)
        return sum(1 for client in self.clients if client.state in counted)

    @property
    def gossip_handler(self) -> GossipHandler | None:
        """The handler of the gossip commands; None without a membership service or before its start."""
        return self._gossip.gossip_handler if self._gossip is not None else None

    def supports(self, command: Command) -> bool:
        """Return whether the command is available with the services of this process."""
        from saltcourse.admin.requests import GOSSIP_COMMANDS  # imported only when a command arrives

        return command not in GOSSIP_COMMANDS or self.gossip_handler is not None


def serve(
    config: Config,
    reread: Callable[[], Config] | None = None,
    background_services: Sequence[BackgroundService] = (),
    gossip: MembershipService | None = None,
) -> None:
    """Run the proxy until SIGTERM and drain it; raises ``ListenError`` if it cannot listen."""
    asyncio.run(ProxyServer(config, reread, background_services, gossip).run())
