"""A member made from the operator's file, and the one that runs beside a proxy in its process."""

from __future__ import annotations

import asyncio
import random
import re
import secrets
from collections.abc import Callable
from dataclasses import fields
from typing import Protocol

import structlog

from saltcourse.config import Config, ConfigError
from saltcourse.config.operator_gossip import SECTION, GossipSettings
from saltcourse.config.overlay import ConfigurationSource
from saltcourse.gossip.admin import GossipAnswers
from saltcourse.gossip.errors import PersistError
from saltcourse.gossip.host import Host, StateStore
from saltcourse.gossip.messages import Applied, MemberRecord, ReplicaState
from saltcourse.gossip.node import Node
from saltcourse.gossip.settings import NodeSettings
from saltcourse.proxy.errors import ListenError

COUNT_INTERVAL = 1.0  # s between the connection counts that a proxy tells
PROCESS_BITS = 32
SEED_BITS = 64
NOT_IN_A_NAME = re.compile(r"[^A-Za-z0-9_.-]")  # a zone's name stands in figures, in statsd's line format

log = structlog.get_logger("saltcourse")

Reread = Callable[[], GossipSettings | None]


class Program(Protocol):
    """The proxy, as a member beside it sees it."""

    def connections(self) -> int: ...

    def take_over(self, config: Config) -> None:
        """What a changed configuration says is in force from now on."""


def node_settings(settings: GossipSettings) -> NodeSettings:
    """With a ``process`` drawn anew."""
    me = MemberRecord(
        name=settings.me,
        address=settings.advertise,
        region=settings.region,
        zone=settings.zone,
        role=settings.role,
        incarnation=0,
        process=secrets.randbits(PROCESS_BITS),
    )
    return NodeSettings(
        me=me,
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
    on_failure: Callable[[PersistError], None] | None = None,
) -> Host:
    node = Node(node_settings(settings), random.Random(secrets.randbits(SEED_BITS)), state)
    return Host(node, store, on_applied, on_failure)


async def start_host(host: Host, settings: GossipSettings) -> None:
    """``ListenError`` when the address can't be had."""
    try:
        await host.start(settings.listen)
    except OSError as error:
        raise ListenError(f"{SECTION}.listen", "{}:{}".format(*settings.listen), error) from None
    log.info("gossip started", me=settings.me, role=settings.role.name.lower(), zone=settings.zone)


def warn_of_changes(old: GossipSettings, reread: Reread) -> None:
    """The section is read at the start only; says what a restart would change."""
    try:
        new = reread()
    except ConfigError as error:
        log.error("the old operator's file is kept", reason=str(error))
        return
    if new is None:
        log.warning("gossip is switched off at the next restart")
        return
    names = [field.name for field in fields(new) if getattr(new, field.name) != getattr(old, field.name)]
    if names:
        keys = ",".join(f"{SECTION}.{name}" for name in names)
        log.warning("changed keys that a restart will read", keys=keys)


def figure_names(figures: dict[str, int]) -> dict[str, int]:
    """As the figures stand among those of the program."""
    return {f"{SECTION}.{NOT_IN_A_NAME.sub('_', name)}": value for name, value in figures.items()}


class GossipCompanion:
    """Tells the fleet the proxy's connections, and the proxy what the fleet's configuration says."""

    def __init__(self, settings: GossipSettings, source: ConfigurationSource, reread: Reread) -> None:
        self.host: Host | None = None
        self.answers: GossipAnswers | None = None
        self._settings = settings
        self._source = source
        self._reread = reread
        self._program: Program | None = None
        self._timer: asyncio.TimerHandle | None = None

    def attach(self, program: Program) -> None:
        self._program = program

    async def start(self) -> None:
        self.host = create_host(self._settings, on_applied=self._on_applied)
        await start_host(self.host, self._settings)
        self.answers = GossipAnswers(self.host)
        self._report_connections()

    async def leave(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self.host is not None:
            self.host.leave()

    def reload(self) -> None:
        warn_of_changes(self._settings, self._reread)

    def figures(self) -> dict[str, int]:
        if self.host is None:
            return {}
        figures = self.host.figures()
        figures["rejected_version"] = self._source.overlay.rejected_version
        figures["rejections"] = self._source.overlay.rejections
        return figure_names(figures)

    def _on_applied(self, applied: Applied) -> None:
        assert self.host is not None
        configuration = self.host.node.dissemination.configuration
        changed = self._source.overlay.update(configuration, applied.position.version)
        if changed and self._program is not None:
            self._program.take_over(self._source.current())

    def _report_connections(self) -> None:
        if self.host is None or not self.host.is_open or self._program is None:
            return
        self.host.report_connections(self._program.connections())
        self._timer = asyncio.get_running_loop().call_later(COUNT_INTERVAL, self._report_connections)
