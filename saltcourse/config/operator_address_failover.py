"""Reads the section ``membership`` of the operator's file: a service address that one live member holds.

The feature is called membership in the file and address failover in the code.
"""

from __future__ import annotations

import ipaddress
import os
from dataclasses import dataclass
from pathlib import Path

from saltcourse.address_failover.authentication import MAX_KEYS, MIN_KEY_LENGTH
from saltcourse.address_failover.errors import InvalidTimingError
from saltcourse.address_failover.terms import MAX_VOTERS
from saltcourse.address_failover.timing import ElectionTiming
from saltcourse.address_failover.voters import Voter
from saltcourse.codec.endpoint_list import Address
from saltcourse.config.operator_file import OperatorFile

SECTION = "membership"
KEY_FILE = f"{SECTION}.key_file"
STORE_FILE = f"{SECTION}.store_file"
MEMBER = f"{SECTION}.member"

TIMING_KEYS = {  # field of ElectionTiming -> key of the section ``timing``
    "lease_duration": "lease_s",
    "renewal_interval": "renew_s",
    "clock_drift": "drift",
    "safety_margin": "guard_s",
}

MIN_LEASE_SECONDS = 0.2
MAX_LEASE_SECONDS = 30
RENEWALS_PER_LEASE = 5  # sets the default of renew_s
MAX_CLOCK_DRIFT = 0.05  # relative error of a clock's rate
MAX_GUARD_SHARE = 1 / 4  # upper bound of guard_s, as a share of lease_s
MAX_AS_NUMBER = 2**32 - 1  # RFC 6793
# Duplicated from address_failover/bgp_session.py and command_announcer.py, which must not be imported here.
MIN_HOLD_SECONDS = 3  # RFC 4271: the shortest non-zero hold time
MAX_HOLD_SECONDS = 90
DEFAULT_COMMAND_TIMEOUT_SECONDS = 1.0
MIN_COMMAND_TIMEOUT_SECONDS = 0.1
MAX_COMMAND_TIMEOUT_SECONDS = 10


@dataclass(frozen=True, slots=True)
class BgpSettings:
    """The BGP session that announces the address; ``hold_time`` is in seconds."""

    asn: int
    peer_asn: int
    identifier: str
    next_hop: str
    route_servers: tuple[Address, ...]
    hold_time: int


@dataclass(frozen=True, slots=True)
class CommandSettings:
    """The operator's program that announces the address; ``timeout`` is in seconds."""

    arguments: tuple[str, ...]
    timeout: float


@dataclass(frozen=True, slots=True)
class AddressFailoverSettings:
    """The validated section.

    ``own_name`` is this instance's name among the members; ``addresses`` maps each member's name to its UDP
    address. At most one of ``bgp`` and ``command`` is set; only a witness may have neither.
    """

    own_name: str
    service_address: str
    voters: tuple[Voter, ...]
    addresses: dict[str, Address]
    key_file: Path
    keys: tuple[bytes, ...]
    store_file: Path | None
    timing: ElectionTiming
    bgp: BgpSettings | None
    command: CommandSettings | None

    @property
    def is_witness(self) -> bool:
        """True if this instance only votes and never holds the address."""
        return any(voter.witness for voter in self.voters if voter.name == self.own_name)

    @property
    def own_address(self) -> Address:
        """The UDP address that this instance listens on."""
        return self.addresses[self.own_name]


# Field of AddressFailoverSettings -> key of the section, if they differ.
FILE_KEYS = {"own_name": "me", "voters": "member", "addresses": "member"}


def read_address_failover(file: OperatorFile, own_name: str) -> AddressFailoverSettings | None:
    """Read the section; return None if it is absent. Raises ``OperatorFileError``.

    ``own_name`` is the name of this instance if the section does not set ``me``.
    """
    if not file.message.HasField("membership"):
        return None
    return _SectionReader(file).read(own_name)


class _SectionReader:
    def __init__(self, file: OperatorFile) -> None:
        self._file = file
        self._section = file.message.membership

    def read(self, own_name: str) -> AddressFailoverSettings:
        section = self._section
        service_address = self._file.ip_address(f"{SECTION}.service_address", section.service_address)
        voters, addresses = self._read_voters()
        own_name = section.me or own_name
        self._check_announcer(own_name, voters)
        store_file = self._file.store_path(STORE_FILE, section.store_file)
        keys = self._file.secret_keys(KEY_FILE, section.key_file, MIN_KEY_LENGTH, MAX_KEYS)
        return AddressFailoverSettings(
            own_name=own_name,
            service_address=service_address,
            voters=voters,
            addresses=addresses,
            key_file=self._file.path.parent / section.key_file,
            keys=keys,
            store_file=store_file,
            timing=self._read_timing(),
            bgp=self._read_bgp(service_address) if section.HasField("bgp") else None,
            command=self._read_command() if section.HasField("command") else None,
        )

    def _read_voters(self) -> tuple[tuple[Voter, ...], dict[str, Address]]:
        voters: list[Voter] = []
        addresses: dict[str, Address] = {}
        for i, entry in enumerate(self._section.member):
            key = f"{MEMBER}[{i}]"
            if not entry.name:
                self._file.reject(f"{key}.name", "missing")
            if entry.name in addresses:
                self._file.reject(f"{key}.name", f"duplicate member name {entry.name!r}")
            address = self._file.socket_address(f"{key}.address", entry.address)
            for other_name, other_address in addresses.items():
                if other_address == address:
                    self._file.reject(
                        f"{key}.address", f"{entry.address!r} is also the address of {other_name!r}"
                    )
            addresses[entry.name] = address
            voters.append(Voter(entry.name, entry.priority, entry.witness))
        if not 1 <= len(voters) <= MAX_VOTERS:
            self._file.reject(MEMBER, f"must have from 1 to {MAX_VOTERS} members, not {len(voters)}")
        if all(voter.witness for voter in voters):
            self._file.reject(
                MEMBER, "all members are witnesses; at least one must be able to hold the address"
            )
        return tuple(voters), addresses

    def _check_announcer(self, own_name: str, voters: tuple[Voter, ...]) -> None:
        """Check that exactly one way to announce the address is configured; a witness may have none."""
        own_voter = next((voter for voter in voters if voter.name == own_name), None)
        if own_voter is None:
            self._file.reject(f"{SECTION}.me", f"{own_name!r} is not the name of a member")
        has_bgp, has_command = self._section.HasField("bgp"), self._section.HasField("command")
        if has_bgp and has_command:
            self._file.reject(f"{SECTION}.command", "must not be set together with bgp")
        if not (own_voter.witness or has_bgp or has_command):
            self._file.reject(
                SECTION, "bgp or command must be set, because this instance may hold the address"
            )

    def _read_timing(self) -> ElectionTiming:
        section, key, defaults = self._section.timing, f"{SECTION}.timing", ElectionTiming()
        lease, drift, guard = defaults.lease_duration, defaults.clock_drift, defaults.safety_margin
        if section.HasField("lease_s"):
            lease = self._file.number_between(
                f"{key}.lease_s", section.lease_s, MIN_LEASE_SECONDS, MAX_LEASE_SECONDS
            )
        if section.HasField("drift"):
            drift = self._file.number_between(f"{key}.drift", section.drift, 0, MAX_CLOCK_DRIFT)
        if section.HasField("guard_s"):
            guard = self._file.number_between(f"{key}.guard_s", section.guard_s, 0, lease * MAX_GUARD_SHARE)
        renew = section.renew_s if section.HasField("renew_s") else lease / RENEWALS_PER_LEASE
        try:
            return ElectionTiming(
                lease_duration=lease, renewal_interval=renew, clock_drift=drift, safety_margin=guard
            )
        except InvalidTimingError as error:
            self._file.reject(f"{key}.{TIMING_KEYS[error.field]}", f"must be {error.expected}")

    def _read_bgp(self, service_address: str) -> BgpSettings:
        section, key = self._section.bgp, f"{SECTION}.bgp"
        for name in ("asn", "peer_asn"):
            self._file.number_between(f"{key}.{name}", getattr(section, name), 1, MAX_AS_NUMBER)
        if not section.route_server:
            self._file.reject(f"{key}.route_server", "missing")
        route_servers = tuple(
            self._file.socket_address(f"{key}.route_server[{i}]", server)
            for i, server in enumerate(section.route_server)
        )
        if len(set(route_servers)) != len(route_servers):
            self._file.reject(f"{key}.route_server", "duplicate address")
        hold_time = MIN_HOLD_SECONDS
        if section.HasField("hold_s"):
            hold_time = int(
                self._file.number_between(f"{key}.hold_s", section.hold_s, MIN_HOLD_SECONDS, MAX_HOLD_SECONDS)
            )
        version = ipaddress.ip_address(service_address).version
        return BgpSettings(
            asn=section.asn,
            peer_asn=section.peer_asn,
            identifier=self._file.ip_address(f"{key}.identifier", section.identifier, 4),
            next_hop=self._file.ip_address(f"{key}.next_hop", section.next_hop, version),
            route_servers=route_servers,
            hold_time=hold_time,
        )

    def _read_command(self) -> CommandSettings:
        section, key = self._section.command, f"{SECTION}.command"
        if not section.argument:
            self._file.reject(f"{key}.argument", "missing; must be the program and its arguments")
        program = section.argument[0]
        if not os.access(program, os.X_OK):
            self._file.reject(f"{key}.argument[0]", f"{program!r} is not an executable file")
        timeout = DEFAULT_COMMAND_TIMEOUT_SECONDS
        if section.HasField("timeout_s"):
            timeout = self._file.number_between(
                f"{key}.timeout_s",
                section.timeout_s,
                MIN_COMMAND_TIMEOUT_SECONDS,
                MAX_COMMAND_TIMEOUT_SECONDS,
            )
        return CommandSettings(tuple(section.argument), timeout)
