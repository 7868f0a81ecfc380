"""Creates a member of the election for the service address, and runs it in the proxy's process."""

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
RELOADED_FIELDS = ("keys", "key_file")  # applied by a reload; other fields require a restart

log = structlog.get_logger("saltcourse")


def create_election_host(settings: AddressFailoverSettings) -> ElectionHost:
    """Create a member without starting it. Raises ``VoteStoreError`` if its stored vote is unusable."""
    boot_time_us = time.time_ns() // NANOSECONDS_PER_MICROSECOND
    others = {name: address for name, address in settings.addresses.items() if name != settings.own_name}
    seed = secrets.randbits(SEED_BITS)  # random per process: equal seeds would give members equal delays
    announcer = _create_announcer(settings, seed)
    store = VoteStore(settings.store_file, settings.own_name) if settings.store_file is not None else None
    authenticator = DatagramAuthenticator(settings.own_name, boot_time_us, list(settings.keys), others)
    config = ElectionConfig(settings.voters, settings.own_name, settings.timing)
    return ElectionHost(config, authenticator, seed, announcer, store)


def _create_announcer(settings: AddressFailoverSettings, seed: int) -> AddressAnnouncer | None:
    """Return the announcer; None for a witness, which never holds the address."""
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
    """The member in a proxy's process: it starts once the proxy serves, and leaves when the proxy drains.

    ``reread`` reads the section again on a reload.
    """

    def __init__(self, settings: AddressFailoverSettings, reread: Reread[AddressFailoverSettings]) -> None:
        self._settings = settings
        self._reread = reread
        self._member: ElectionHost | None = None

    async def start(self) -> None:
        """Join the election.

        Raises ``AddressFailoverStartError`` if the vote file is unusable or the address cannot be bound.
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
        """Hand over the address if this member holds it, and leave the election."""
        if self._member is not None:
            await self._member.leave()

    def reload(self) -> None:
        """Apply changed keys, so that they can be rotated member by member, and log all other changes."""
        if self._member is None:
            return
        new = reread_section(SECTION, self._reread)
        if new is None:
            return
        self._member.authenticator.change_keys(list(new.keys))
        log.info("authentication keys reloaded", key=KEY_FILE, keys=len(new.keys))
        warn_of_changes(SECTION, self._settings, new, RELOADED_FIELDS, FILE_KEYS)
