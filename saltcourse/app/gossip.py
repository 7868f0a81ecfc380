"""Creates a gossip member of the fleet, and runs it in the proxy's process."""

from __future__ import annotations

import asyncio
import random
import re
import secrets
from collections.abc import Callable

import structlog

from saltcourse.app.reloading import Reread, reread_section, warn_of_changes
from saltcourse.config.operator_gossip import FILE_KEYS, SECTION, GossipSettings
from saltcourse.config.overlay import ConfigurationSource
from saltcourse.gossip.admin import GossipAdminHandler
from saltcourse.gossip.errors import StoreError
from saltcourse.gossip.host import Host, StateStore
from saltcourse.gossip.messages import Applied, MemberRecord, ReplicaState
from saltcourse.gossip.node import Node
from saltcourse.gossip.settings import NodeSettings
from saltcourse.proxy.background_service import HostProgram
from saltcourse.proxy.errors import ListenError

REPORT_INTERVAL_SECONDS = 1.0  # interval of a proxy's reports of its connection count
PROCESS_ID_BITS = 32
SEED_BITS = 64
INVALID_METRIC_CHARACTER = re.compile(r"[^A-Za-z0-9_.-]")  # statsd names contain names of zones

log = structlog.get_logger("saltcourse")


def node_settings(settings: GossipSettings) -> NodeSettings:
    """Return the settings of the node, with a random identifier of this process."""
    own_record = MemberRecord(
        name=settings.own_name,
        address=settings.advertise,
        region=settings.region,
        zone=settings.zone,
        role=settings.role,
        incarnation=0,
        process_id=secrets.randbits(PROCESS_ID_BITS),
    )
    return NodeSettings(
        own_record=own_record,
        seeds=settings.seeds,
        voters=settings.voters,
        key=settings.key,
        bytes_per_s=settings.bytes_per_s,
        timing=settings.timing,
    )


def create_host(
    settings: GossipSettings,
    state: ReplicaState | None = None,
    store: StateStore | None = None,
    on_applied: Callable[[Applied], None] | None = None,
    on_failure: Callable[[StoreError], None] | None = None,
) -> Host:
    """Create a member without starting it; only a voter has ``state`` and ``store``."""
    node = Node(node_settings(settings), random.Random(secrets.randbits(SEED_BITS)), state)
    return Host(node, store, on_applied, on_failure)


async def start_host(host: Host, settings: GossipSettings) -> None:
    """Bind the member's address and join the fleet. Raises ``ListenError`` if the address cannot be bound."""
    try:
        await host.start(settings.listen)
    except OSError as error:
        raise ListenError(f"{SECTION}.listen", "{}:{}".format(*settings.listen), error) from None
    log.info("gossip started", member=settings.own_name, role=settings.role.name.lower(), zone=settings.zone)


def reload_section(old: GossipSettings, reread: Reread[GossipSettings]) -> None:
    """Read the section again and log its changes, which only a restart applies."""
    new = reread_section(SECTION, reread)
    if new is not None:
        warn_of_changes(SECTION, old, new, file_keys=FILE_KEYS)


def prefix_metric_names(metrics: dict[str, int]) -> dict[str, int]:
    """Return the member's metrics with the prefix and valid characters of the program's metric names."""
    return {f"{SECTION}.{INVALID_METRIC_CHARACTER.sub('_', name)}": value for name, value in metrics.items()}


class GossipService:
    """The member in a proxy's process: reports connections, and applies the fleet's configuration.

    ``source`` is the proxy's configuration; ``reread`` reads the section again on a reload.
    """

    def __init__(
        self, settings: GossipSettings, source: ConfigurationSource, reread: Reread[GossipSettings]
    ) -> None:
        self.host: Host | None = None
        self.gossip_handler: GossipAdminHandler | None = None
        self._settings = settings
        self._source = source
        self._reread = reread
        self._program: HostProgram | None = None
        self._timer: asyncio.TimerHandle | None = None

    def attach(self, program: HostProgram) -> None:
        """Set the proxy that this member runs with. To be called before ``start``."""
        self._program = program

    async def start(self) -> None:
        """Join the fleet. Raises ``ListenError`` if the address cannot be bound."""
        self.host = create_host(self._settings, on_applied=self._on_applied)
        await start_host(self.host, self._settings)
        self.gossip_handler = GossipAdminHandler(self.host)
        self._report_connections()

    async def leave(self) -> None:
        """Notify the fleet that this member leaves."""
        if self._timer is not None:
            self._timer.cancel()
        if self.host is not None:
            self.host.leave()

    def reload(self) -> None:
        """Log the changes of the section, which only a restart applies."""
        reload_section(self._settings, self._reread)

    def gauges(self) -> dict[str, int]:
        """Return the metrics of the member and of rejected configuration values; none before ``start``."""
        if self.host is None:
            return {}
        metrics = self.host.metrics()
        metrics["rejected_version"] = self._source.overlay.rejected_version
        metrics["rejections"] = self._source.overlay.rejections
        return prefix_metric_names(metrics)

    def _on_applied(self, applied: Applied) -> None:
        assert self.host is not None
        configuration = self.host.node.dissemination.configuration
        changed = self._source.overlay.update(configuration, applied.position.version)
        if changed and self._program is not None:
            self._program.apply_config(self._source.current())

    def _report_connections(self) -> None:
        if self.host is None or not self.host.is_open or self._program is None:
            return
        self.host.report_connections(self._program.connections())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REPORT_INTERVAL_SECONDS, self._report_connections)
