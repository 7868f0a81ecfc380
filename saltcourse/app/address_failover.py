"""Composes a member of the election for the service address, and runs it beside a proxy."""

from __future__ import annotations

import secrets
import time

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
from saltcourse.app.errors import AddressFailoverStartError
from saltcourse.app.reloading import Reread, reread_section, warn_of_changes
from saltcourse.config.operator_address_failover import (
    FILE_KEYS,
    KEY_FILE,
    MEMBER,
    SECTION,
    STORE_FILE,
    AddressFailoverSettings,
)

SEED_BITS = 32
NANOSECONDS_PER_MICROSECOND = 1000
RELOADED_FIELDS = ("keys", "key_file")  # taken over by a reload; all else needs a restart

log = structlog.get_logger("saltcourse")


def create_election_host(settings: AddressFailoverSettings) -> ElectionHost:
    """Compose a member, which is not started yet. ``VoteStoreError`` when its stored vote can't be used."""
    boot = time.time_ns() // NANOSECONDS_PER_MICROSECOND
    others = {name: address for name, address in settings.addresses.items() if name != settings.own_name}
    seed = secrets.randbits(SEED_BITS)  # drawn anew by each process: members must not draw alike
    announcer = _create_announcer(settings, seed)
    store = VoteStore(settings.store_file, settings.own_name) if settings.store_file is not None else None
    authenticator = DatagramAuthenticator(settings.own_name, boot, list(settings.keys), others)
    config = ElectionConfig(settings.voters, settings.own_name, settings.timing)
    return ElectionHost(config, authenticator, seed, announcer, store)


def _create_announcer(settings: AddressFailoverSettings, seed: int) -> AddressAnnouncer | None:
    """None for a witness, which never holds the address."""
    if settings.is_witness:
        return None
    bgp, command = settings.bgp, settings.command
    if bgp is not None:
        peering = Peering(bgp.asn, bgp.peer_asn, bgp.identifier, bgp.hold_time)
        return BgpAnnouncer(settings.service_address, bgp.next_hop, peering, bgp.route_servers, seed)
    if command is not None:
        return CommandAnnouncer(settings.service_address, command.arguments, command.timeout)
    return None


class AddressFailoverService:
    """The member beside a proxy: starts when the proxy serves, hands the address over before it drains.

    ``reread`` reads the section again when the program reloads.
    """

    def __init__(self, settings: AddressFailoverSettings, reread: Reread[AddressFailoverSettings]) -> None:
        self._settings = settings
        self._reread = reread
        self._member: ElectionHost | None = None

    async def start(self) -> None:
        """Join the election.

        ``AddressFailoverStartError`` when the vote file cannot be used or the address cannot be bound.
        """
        try:
            self._member = create_election_host(self._settings)
            await self._member.start(self._settings.own_address)
        except VoteStoreError as error:
            raise AddressFailoverStartError(f"{STORE_FILE}: {error}") from None
        except OSError as error:
            host, port = self._settings.own_address
            raise AddressFailoverStartError(
                f"{MEMBER}: cannot listen on {host}:{port}: {error.strerror}"
            ) from None

    async def leave(self) -> None:
        """Hand the address over, if this member holds it, and leave the election."""
        if self._member is not None:
            await self._member.leave()

    def reload(self) -> None:
        """Take changed keys over, so that they can be replaced member by member; log the other changes."""
        if self._member is None:
            return
        new = reread_section(SECTION, self._reread)
        if new is None:
            return
        self._member.authenticator.change_keys(list(new.keys))
        log.info("reloaded", key=KEY_FILE, keys=len(new.keys))
        warn_of_changes(SECTION, self._settings, new, RELOADED_FIELDS, FILE_KEYS)
