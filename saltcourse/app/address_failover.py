"""A member made from the operator's file: beside a proxy in its process, or alone as a witness."""

from __future__ import annotations

import asyncio
import secrets
import signal
import time
from collections.abc import Callable
from dataclasses import fields

import structlog

from saltcourse.address_failover.authentication import DatagramAuthenticator
from saltcourse.address_failover.bgp_announcer import BgpAnnouncer
from saltcourse.address_failover.bgp_session import Peering
from saltcourse.address_failover.command_announcer import CommandAnnouncer
from saltcourse.address_failover.errors import VoteStoreError
from saltcourse.address_failover.host import ElectionHost
from saltcourse.address_failover.route_announcement import AddressAnnouncer
from saltcourse.address_failover.vote_store import VoteStore
from saltcourse.address_failover.voters import ElectionConfig
from saltcourse.config import ConfigError
from saltcourse.config.operator import RELOADED, MembershipSettings

log = structlog.get_logger("saltcourse")


def member_of(told: MembershipSettings) -> ElectionHost:
    """VoteStoreError when the vote's file can't be used."""
    boot = time.time_ns() // 1000
    others = {name: place for name, place in told.places.items() if name != told.me}
    announcer: AddressAnnouncer | None = None
    seed = secrets.randbits(32)  # members must not draw alike
    if told.bgp is not None and not told.witness:
        peering = Peering(told.bgp.asn, told.bgp.peer_asn, told.bgp.identifier, told.bgp.hold)
        announcer = BgpAnnouncer(
            told.service_address, told.bgp.next_hop, peering, told.bgp.route_servers, seed
        )
    elif told.command is not None and not told.witness:
        announcer = CommandAnnouncer(told.service_address, told.command.arguments, told.command.timeout)
    store = VoteStore(told.store_file, told.me) if told.store_file is not None else None
    authenticator = DatagramAuthenticator(told.me, boot, list(told.keys), others)
    config = ElectionConfig(told.seats, told.me, told.timing)
    return ElectionHost(config, authenticator, seed, announcer, store)


class Beside:
    """The proxy's companion: starts when it serves, hands over before it drains."""

    def __init__(
        self, told: MembershipSettings, reread: Callable[[], MembershipSettings | None] | None = None
    ) -> None:
        self.told, self._reread = told, reread
        self.member: ElectionHost | None = None

    async def start(self) -> None:
        try:
            self.member = member_of(self.told)
            await self.member.start(self.told.places[self.told.me])
        except VoteStoreError as wrong:
            raise SystemExit(f"saltcourse: membership.store_file: {wrong}") from None
        except OSError as wrong:
            host, port = self.told.places[self.told.me]
            raise SystemExit(
                f"saltcourse: membership.member: cannot listen on {host}:{port}: {wrong.strerror}"
            ) from None

    async def leave(self) -> None:
        if self.member is not None:
            await self.member.leave()

    def reload(self) -> None:
        """Keys are taken over, so that they can be changed member by member; all else needs a restart."""
        if self._reread is None or self.member is None:
            return
        try:
            new = self._reread()
        except ConfigError as wrong:
            log.error("the old operator's file is kept", reason=str(wrong))
            return
        if new is None:
            log.warning("membership is switched off at the next restart")
            return
        self.member.authenticator.change_keys(list(new.keys))
        log.info("reloaded", key=RELOADED, keys=len(new.keys))
        later = [
            f"membership.{f.name}"
            for f in fields(new)
            if f.name not in ("keys", "key_file") and getattr(new, f.name) != getattr(self.told, f.name)
        ]
        if later:
            log.warning("changed keys that a restart will read", keys=",".join(later))


Reread = Callable[[], MembershipSettings | None]


def run_alone(told: MembershipSettings, reread: Reread | None = None) -> None:
    """Until SIGTERM or SIGINT; SIGHUP has the keys read again."""
    asyncio.run(_alone(told, reread))


async def _alone(told: MembershipSettings, reread: Reread | None) -> None:
    loop, done = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, done.set)
    beside = Beside(told, reread)
    loop.add_signal_handler(signal.SIGHUP, beside.reload)
    await beside.start()
    log.info("voting", me=told.me, members=len(told.seats))
    await done.wait()
    await beside.leave()
