"""Runs a control member in its own process: a voter, or a follower that only answers operators.

It runs until SIGTERM or SIGINT. A voter also stops when its state can't be stored, because it must not vote
without a record of its earlier votes.
"""

from __future__ import annotations

import asyncio
import signal

import structlog

from saltcourse import signals
from saltcourse.admin.commands import GossipHandler
from saltcourse.admin.requests import LAMEDUCK_COMMANDS, Command
from saltcourse.admin.server import AdminServer
from saltcourse.app.errors import ControlMemberError
from saltcourse.app.gossip import create_host, prefix_metric_names, reload_section, start_host
from saltcourse.app.reloading import Reread
from saltcourse.config import ConfigError
from saltcourse.config.operator_gossip import SECTION, GossipSettings
from saltcourse.gossip.admin import GossipAdminHandler
from saltcourse.gossip.errors import StoreError
from saltcourse.gossip.host import LEAVE_GRACE_SECONDS, Host, StateStore
from saltcourse.gossip.member_table import Member
from saltcourse.gossip.messages import Address, ReplicaState, Status
from saltcourse.gossip.store import ReplicaStore
from saltcourse.metrics import Metrics
from saltcourse.proxy.errors import ListenError

log = structlog.get_logger("saltcourse")


class ControlMember:
    """The program: the gossip member and its admin server."""

    def __init__(self, settings: GossipSettings, reread: Reread[GossipSettings]) -> None:
        self._settings = settings
        self._reread = reread
        self._stop = asyncio.Event()
        self._failure: StoreError | None = None
        self._metrics = Metrics(())
        self._metrics.gauges = self._gauges
        self._host = self._create_host()
        self._gossip_handler = GossipAdminHandler(self._host)

    async def run(self, admin: Address | None) -> None:
        """Run until SIGTERM or SIGINT.

        Raises ``ListenError`` if an address cannot be bound, and ``ControlMemberError`` if the state of a
        voter can't be stored.
        """
        self._handle_signals()
        await start_host(self._host, self._settings)
        server = self._serve_admin(admin)
        try:
            await self._stop.wait()
            signals.ignore()  # the program is already shutting down
            await self._leave()
        finally:
            if server is not None:
                server.stop()
        if self._failure is not None:
            raise ControlMemberError(f"{SECTION}.store_file: {self._failure}")

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            signals.handle(number, lambda: loop.call_soon_threadsafe(self._stop.set))
        signals.handle(signal.SIGHUP, lambda: loop.call_soon_threadsafe(self._reload))

    def _reload(self) -> None:
        reload_section(self._settings, self._reread)

    def _create_host(self) -> Host:
        state: ReplicaState | None = None
        store: StateStore | None = None
        if self._settings.is_voter and self._settings.store_file is not None:
            try:
                replica_store = ReplicaStore(self._settings.store_file, self._settings.own_name)
                state = replica_store.load()
            except StoreError as error:
                raise ConfigError(f"{SECTION}.store_file: {error}") from None
            store = replica_store
        return create_host(self._settings, state, store, on_failure=self._on_failure)

    def _on_failure(self, error: StoreError) -> None:
        self._failure = error
        self._stop.set()

    def _serve_admin(self, address: Address | None) -> AdminServer | None:
        if address is None:
            return None
        server = AdminServer(address, self)
        try:
            server.start()
        except OSError as error:
            raise ListenError("--admin", "{}:{}".format(*address), error) from None
        return server

    async def _leave(self) -> None:
        if not self._host.is_open:
            return
        self._host.leave()
        log.info("gossip member left", member=self._settings.own_name)
        # The member keeps answering, so that others learn of its departure even if a datagram is lost.
        await asyncio.sleep(LEAVE_GRACE_SECONDS)
        self._host.close()

    # ---- operators' commands ----------------------------------------------------------------------

    @property
    def gossip_handler(self) -> GossipHandler | None:
        """The handler of commands about the fleet."""
        return self._gossip_handler

    def supports(self, command: Command) -> bool:
        """Return whether the command is supported; a control member has no clients and can't be drained."""
        return command not in LAMEDUCK_COMMANDS

    def ready(self) -> bool:
        """Return whether enough voters are known to be alive: a majority for a voter, one for others."""
        members = self._host.node.membership.members
        alive = [voter for voter in self._settings.voters if _is_alive(members.get(voter.id))]
        needed = len(self._settings.voters) // 2 + 1 if self._settings.is_voter else 1
        return self._host.is_open and len(alive) >= needed

    def metrics_text(self) -> bytes:
        """Return the metrics, one per line."""
        return self._metrics.text()

    def lameduck(self, on: bool) -> bool:
        """Return False: a control member can't be drained, see ``supports``."""
        return False

    def _gauges(self) -> dict[str, int]:
        return prefix_metric_names(self._host.metrics())


def _is_alive(member: Member | None) -> bool:
    return member is not None and member.status is Status.ALIVE


def run_control_member(
    settings: GossipSettings, reread: Reread[GossipSettings], admin: Address | None
) -> None:
    """Run a control member, with an admin server at ``admin`` if that is given.

    Raises ``ConfigError``, ``ListenError`` or ``ControlMemberError`` if it can't start or continue.
    """
    asyncio.run(_run(settings, reread, admin))


async def _run(settings: GossipSettings, reread: Reread[GossipSettings], admin: Address | None) -> None:
    await ControlMember(settings, reread).run(admin)
