"""The operator's own file: protobuf text format, schema in ``saltcourse/schema/operator.proto``.

Whatever is wrong raises ``ConfigError`` with the file, the line and the path of the key, such as
``operator.txtpb:7: membership.member[1].address: ...``. Imported only when such a file is given.
"""

from __future__ import annotations

import ipaddress
import os
import re
import stat
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import NoReturn

from google.protobuf import text_format

from saltcourse.config import ConfigError
from saltcourse.interface import FleetTerms
from saltcourse.membership.seal import LEAST_KEY, MOST_KEYS
from saltcourse.membership.words import MOST_MEMBERS, Seat, Timing
from saltcourse.schema import operator_pb2 as pb

VARIABLE = "SALTCOURSE_OPERATOR"
RELOADED = "membership.key_file"  # what SIGHUP takes over; all else needs a restart
TOKEN = re.compile(r"#[^\n]*|\"(?:\\.|[^\"\\\n])*\"|'(?:\\.|[^'\\\n])*'|[A-Za-z_]\w*|[{}<>\n]|[^\s{}<>#\"']")
Place = tuple[str, int]


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
    seats: tuple[Seat, ...]
    places: dict[str, Place]
    key_file: Path
    keys: tuple[bytes, ...]
    store_file: Path | None
    timing: Timing
    bgp: BgpSettings | None
    command: CommandSettings | None

    @property
    def witness(self) -> bool:
        return any(s.witness for s in self.seats if s.name == self.me)


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    membership: MembershipSettings | None
    fleet: FleetTerms | None


def key_lines(text: str) -> dict[str, int]:
    """Path of each key -> its line. Keys that may stand once have no index, the text says not which are."""
    found: dict[str, int] = {}
    counts: dict[str, int] = {}
    parents, line, last = [""], 1, ""
    for token in TOKEN.findall(text):
        if token == "\n":
            line += 1
        elif token[0] == "#":
            continue
        elif token in "{<":
            parents.append(last + ".")
        elif token in "}>":
            parents = parents[:-1] or [""]
        elif re.match(r"[A-Za-z_]", token):
            path = parents[-1] + token
            counts[path] = counts.get(path, 0) + 1
            last = f"{path}[{counts[path] - 1}]"
            found[last] = line
            found.setdefault(path, line)
    return found


class _Reader:
    def __init__(self, path: Path, me: str) -> None:
        self.path, self.me = path, me
        try:
            text = path.read_text()
        except (OSError, UnicodeDecodeError) as wrong:
            why = getattr(wrong, "strerror", None) or "not UTF-8"
            raise ConfigError(f"--operator {path}: {why}") from None
        self.file = pb.Operator()
        try:
            text_format.Parse(text, self.file)
        except text_format.ParseError as wrong:
            said = re.sub(r"^\d+:\d+ : ", "", str(wrong))
            raise ConfigError(f"{path}:{wrong.GetLine() or 1}: {said}") from None
        self.lines = key_lines(text)

    def wrong(self, key: str, what: str) -> NoReturn:
        """The line of the key, or of the nearest part around it that is there."""
        at = key
        while at:
            # Messages name an index only where a key may repeat; the lines are kept with one everywhere.
            whole = re.sub(r"(\w)(?=\.|$)", r"\1[0]", at)
            if whole in self.lines:
                raise ConfigError(f"{self.path}:{self.lines[whole]}: {key}: {what}")
            at = at.rpartition(".")[0]
        raise ConfigError(f"{self.path}:1: {key}: {what}")

    def place(self, key: str, said: str) -> Place:
        host, colon, port = said.rpartition(":")
        host = host.strip("[]")
        try:
            ipaddress.ip_address(host)
            if colon and 0 < int(port) < 65536:
                return host, int(port)
        except ValueError:
            pass
        self.wrong(key, f"must be ADDRESS:PORT, not {said!r}")

    def address(self, key: str, said: str, version: int | None = None) -> str:
        try:
            found = ipaddress.ip_address(said)
        except ValueError:
            self.wrong(key, f"must be an IP address, not {said!r}")
        if version and found.version != version:
            self.wrong(key, f"must be an IPv{version} address, not {said!r}")
        return str(found)

    def between(self, key: str, value: float, least: float, most: float) -> float:
        if not least <= value <= most:
            self.wrong(key, f"must be from {least:g} to {most:g}, not {value:g}")
        return value

    # ---- fleet ------------------------------------------------------------------------------------

    def fleet(self) -> FleetTerms | None:
        if not self.file.HasField("fleet"):
            return None
        told, usual = self.file.fleet, FleetTerms()
        try:
            return FleetTerms(
                told.term_s if told.HasField("term_s") else usual.term,
                told.drift if told.HasField("drift") else usual.drift, told.counts,
                told.probes_per_s if told.HasField("probes_per_s") else usual.probes)
        except ValueError as wrong:
            key, _, what = str(wrong).removeprefix("setting ").partition(": ")
            self.wrong(key, f"must be {what}")

    # ---- membership -------------------------------------------------------------------------------

    def membership(self) -> MembershipSettings | None:
        if not self.file.HasField("membership"):
            return None
        told, key = self.file.membership, "membership"
        service = self.address(f"{key}.service_address", told.service_address)
        seats, places = self._members()
        me = told.me or self.me
        if me not in places:
            self.wrong(f"{key}.me", f"{me!r} is none of the members")
        witness = next(s.witness for s in seats if s.name == me)
        if told.HasField("bgp") and told.HasField("command"):
            self.wrong(f"{key}.command", "beside bgp: one of them")
        if not witness and not told.HasField("bgp") and not told.HasField("command"):
            self.wrong(key, "neither bgp nor command: this instance could not announce the address")
        store = self.path.parent / told.store_file if told.store_file else None
        if store is not None and not store.parent.is_dir():
            self.wrong(f"{key}.store_file", f"no folder {store.parent}")
        return MembershipSettings(
            me, service, seats, places, self.path.parent / told.key_file, self._keys(), store, self._timing(),
            self._bgp(service) if told.HasField("bgp") else None,
            self._command() if told.HasField("command") else None)

    def _members(self) -> tuple[tuple[Seat, ...], dict[str, Place]]:
        seats: list[Seat] = []
        places: dict[str, Place] = {}
        for i, member in enumerate(self.file.membership.member):
            key = f"membership.member[{i}]"
            if not member.name:
                self.wrong(f"{key}.name", "missing")
            if member.name in places:
                self.wrong(f"{key}.name", f"{member.name!r} stands twice")
            place = self.place(f"{key}.address", member.address)
            for name, other in places.items():
                if other == place:
                    self.wrong(f"{key}.address", f"is {name}'s address too")
            places[member.name] = place
            seats.append(Seat(member.name, member.priority, member.witness))
        if not 1 <= len(seats) <= MOST_MEMBERS:
            self.wrong("membership.member", f"from 1 to {MOST_MEMBERS} members, not {len(seats)}")
        if all(s.witness for s in seats):
            self.wrong("membership.member", "all are witnesses: nobody could hold the address")
        return tuple(seats), places

    def _keys(self) -> tuple[bytes, ...]:
        said = self.file.membership.key_file
        key = "membership.key_file"
        if not said:
            self.wrong(key, "missing")
        path = self.path.parent / said
        try:
            mode = path.stat().st_mode
            lines = path.read_text().split()
        except (OSError, UnicodeDecodeError) as wrong:
            self.wrong(key, f"{path}: {getattr(wrong, 'strerror', None) or 'not text'}")
        if mode & (stat.S_IRWXG | stat.S_IRWXO):
            self.wrong(key, f"{path} can be read by others: chmod 600")
        if not 1 <= len(lines) <= MOST_KEYS:
            self.wrong(key, f"{path}: from 1 to {MOST_KEYS} keys, a line each, not {len(lines)}")
        try:
            keys = tuple(bytes.fromhex(line) for line in lines)
        except ValueError:
            self.wrong(key, f"{path}: a key that is not hexadecimal digits")
        if any(len(k) < LEAST_KEY for k in keys):
            self.wrong(key, f"{path}: a key under {LEAST_KEY} bytes ({2 * LEAST_KEY} digits)")
        if len(set(keys)) != len(keys):
            self.wrong(key, f"{path}: the same key twice")
        return keys

    def _timing(self) -> Timing:
        told, key, usual = self.file.membership.timing, "membership.timing", Timing()
        lease, drift, guard = usual.lease, usual.drift, usual.guard
        if told.HasField("lease_s"):
            lease = self.between(f"{key}.lease_s", told.lease_s, 0.2, 30)
        if told.HasField("drift"):
            drift = self.between(f"{key}.drift", told.drift, 0, 0.05)
        if told.HasField("guard_s"):
            guard = self.between(f"{key}.guard_s", told.guard_s, 0, lease / 4)
        renew = told.renew_s if told.HasField("renew_s") else lease / 5
        try:
            return Timing(lease=lease, renew=renew, drift=drift, guard=guard)
        except ValueError as wrong:
            name, _, what = str(wrong).partition(": ")
            self.wrong(f"{key}.{name}_s", what)

    def _bgp(self, service: str) -> BgpSettings:
        told, key = self.file.membership.bgp, "membership.bgp"
        for name in ("asn", "peer_asn"):
            self.between(f"{key}.{name}", getattr(told, name), 1, 2**32 - 1)
        if not told.route_server:
            self.wrong(f"{key}.route_server", "missing")
        servers = tuple(self.place(f"{key}.route_server[{i}]", s) for i, s in enumerate(told.route_server))
        if len(set(servers)) != len(servers):
            self.wrong(f"{key}.route_server", "one stands twice")
        hold = int(self.between(f"{key}.hold_s", told.hold_s, 3, 90)) if told.HasField("hold_s") else 3
        identifier = self.address(f"{key}.identifier", told.identifier, 4)
        hop = self.address(f"{key}.next_hop", told.next_hop, ipaddress.ip_address(service).version)
        return BgpSettings(told.asn, told.peer_asn, identifier, hop, servers, hold)

    def _command(self) -> CommandSettings:
        told, key = self.file.membership.command, "membership.command"
        if not told.argument:
            self.wrong(f"{key}.argument", "missing: the program and its arguments")
        if not os.access(told.argument[0], os.X_OK):
            self.wrong(f"{key}.argument[0]", f"{told.argument[0]!r} is no program that can be run")
        timeout = 1.0
        if told.HasField("timeout_s"):
            timeout = self.between(f"{key}.timeout_s", told.timeout_s, 0.1, 10)
        return CommandSettings(tuple(told.argument), timeout)


def read_operator(path: Path, me: str) -> OperatorSettings:
    """``me`` is the name of this instance where the file does not give it."""
    reader = _Reader(path, me)
    return OperatorSettings(reader.membership(), reader.fleet())


def operator_path(given: str | None, environment: Mapping[str, str]) -> Path | None:
    found = given or environment.get(VARIABLE)
    return Path(found) if found else None
