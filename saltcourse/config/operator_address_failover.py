"""The section ``membership`` of the operator's file: a service address that one live instance holds."""

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
from saltcourse.config.operator_file import OperatorFile, Place

RELOADED = "membership.key_file"  # what SIGHUP takes over; all else needs a restart
TIMING_KEYS = {  # field of ElectionTiming -> name in the section ``timing``
    "lease_duration": "lease_s",
    "renewal_interval": "renew_s",
    "clock_drift": "drift",
    "safety_margin": "guard_s",
}


@dataclass(frozen=True, slots=True)
class BgpSettings:
    asn: int
    peer_asn: int
    identifier: str
    next_hop: str
    route_servers: tuple[Place, ...]
    hold: int


@dataclass(frozen=True, slots=True)
class CommandSettings:
    arguments: tuple[str, ...]
    timeout: float


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    me: str
    service_address: str
    seats: tuple[Voter, ...]
    places: dict[str, Place]
    key_file: Path
    keys: tuple[bytes, ...]
    store_file: Path | None
    timing: ElectionTiming
    bgp: BgpSettings | None
    command: CommandSettings | None

    @property
    def witness(self) -> bool:
        return any(s.witness for s in self.seats if s.name == self.me)


def read_membership(file: OperatorFile, own_name: str) -> MembershipSettings | None:
    """None where the section is left out. ``own_name`` is this instance's where the file does not give it."""
    if not file.message.HasField("membership"):
        return None
    return _MembershipReader(file).read(own_name)


class _MembershipReader:
    def __init__(self, file: OperatorFile) -> None:
        self.file = file
        self.told = file.message.membership

    def read(self, own_name: str) -> MembershipSettings:
        told, key = self.told, "membership"
        service = self.file.address(f"{key}.service_address", told.service_address)
        seats, places = self._members()
        me = told.me or own_name
        if me not in places:
            self.file.wrong(f"{key}.me", f"{me!r} is none of the members")
        witness = next(s.witness for s in seats if s.name == me)
        if told.HasField("bgp") and told.HasField("command"):
            self.file.wrong(f"{key}.command", "beside bgp: one of them")
        if not witness and not told.HasField("bgp") and not told.HasField("command"):
            self.file.wrong(key, "neither bgp nor command: this instance could not announce the address")
        store = self.file.store(f"{key}.store_file", told.store_file)
        keys = self.file.keys(f"{key}.key_file", told.key_file, MIN_KEY_LENGTH, MAX_KEYS)
        return MembershipSettings(
            me,
            service,
            seats,
            places,
            self.file.path.parent / told.key_file,
            keys,
            store,
            self._timing(),
            self._bgp(service) if told.HasField("bgp") else None,
            self._command() if told.HasField("command") else None,
        )

    def _members(self) -> tuple[tuple[Voter, ...], dict[str, Place]]:
        seats: list[Voter] = []
        places: dict[str, Place] = {}
        for i, member in enumerate(self.told.member):
            key = f"membership.member[{i}]"
            if not member.name:
                self.file.wrong(f"{key}.name", "missing")
            if member.name in places:
                self.file.wrong(f"{key}.name", f"{member.name!r} stands twice")
            place = self.file.place(f"{key}.address", member.address)
            for name, other in places.items():
                if other == place:
                    self.file.wrong(f"{key}.address", f"is {name}'s address too")
            places[member.name] = place
            seats.append(Voter(member.name, member.priority, member.witness))
        if not 1 <= len(seats) <= MAX_VOTERS:
            self.file.wrong("membership.member", f"from 1 to {MAX_VOTERS} members, not {len(seats)}")
        if all(s.witness for s in seats):
            self.file.wrong("membership.member", "all are witnesses: nobody could hold the address")
        return tuple(seats), places

    def _timing(self) -> ElectionTiming:
        told, key, usual = self.told.timing, "membership.timing", ElectionTiming()
        lease, drift, guard = usual.lease_duration, usual.clock_drift, usual.safety_margin
        if told.HasField("lease_s"):
            lease = self.file.between(f"{key}.lease_s", told.lease_s, 0.2, 30)
        if told.HasField("drift"):
            drift = self.file.between(f"{key}.drift", told.drift, 0, 0.05)
        if told.HasField("guard_s"):
            guard = self.file.between(f"{key}.guard_s", told.guard_s, 0, lease / 4)
        renew = told.renew_s if told.HasField("renew_s") else lease / 5
        try:
            return ElectionTiming(
                lease_duration=lease, renewal_interval=renew, clock_drift=drift, safety_margin=guard
            )
        except InvalidTimingError as wrong:
            self.file.wrong(f"{key}.{TIMING_KEYS[wrong.field]}", wrong.expected)

    def _bgp(self, service: str) -> BgpSettings:
        told, key = self.told.bgp, "membership.bgp"
        for name in ("asn", "peer_asn"):
            self.file.between(f"{key}.{name}", getattr(told, name), 1, 2**32 - 1)
        if not told.route_server:
            self.file.wrong(f"{key}.route_server", "missing")
        servers = tuple(
            self.file.place(f"{key}.route_server[{i}]", server) for i, server in enumerate(told.route_server)
        )
        if len(set(servers)) != len(servers):
            self.file.wrong(f"{key}.route_server", "one stands twice")
        hold = int(self.file.between(f"{key}.hold_s", told.hold_s, 3, 90)) if told.HasField("hold_s") else 3
        identifier = self.file.address(f"{key}.identifier", told.identifier, 4)
        hop = self.file.address(f"{key}.next_hop", told.next_hop, ipaddress.ip_address(service).version)
        return BgpSettings(told.asn, told.peer_asn, identifier, hop, servers, hold)

    def _command(self) -> CommandSettings:
        told, key = self.told.command, "membership.command"
        if not told.argument:
            self.file.wrong(f"{key}.argument", "missing: the program and its arguments")
        if not os.access(told.argument[0], os.X_OK):
            self.file.wrong(f"{key}.argument[0]", f"{told.argument[0]!r} is no program that can be run")
        timeout = 1.0
        if told.HasField("timeout_s"):
            timeout = self.file.between(f"{key}.timeout_s", told.timeout_s, 0.1, 10)
        return CommandSettings(tuple(told.argument), timeout)
