"""Reads the section ``gossip`` of the operator's file: gossip among the members of a large fleet."""

from __future__ import annotations

import ipaddress
import socket
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NoReturn

from saltcourse.config.operator_file import OperatorFile
from saltcourse.gossip.errors import EncodeError
from saltcourse.gossip.fields import encode_text
from saltcourse.gossip.messages import MAX_LABEL_BYTES, MAX_NAME_BYTES, Address, Role
from saltcourse.gossip.settings import Timing, Voter, default_bytes_per_s

MIN_KEY_BYTES = 16
MAX_KEYS = 1
MAX_VOTERS = 9  # a majority must store each change before it is committed: more voters make this slower
SECTION = "gossip"


@dataclass(frozen=True, slots=True)
class Bounds:
    """The smallest and the largest valid value of a number."""

    minimum: float
    maximum: float


BYTES_PER_S_BOUNDS = Bounds(2_000, 100_000_000)
# Key of the section -> field of Timing, and the bounds of its value.
TIMING_KEYS = {
    "snapshot_bytes_per_s": ("snapshot_bytes_per_s", Bounds(1_000, 100_000_000)),
    "probe_interval_s": ("probe_interval", Bounds(0.05, 60)),
    "probe_timeout_s": ("probe_timeout", Bounds(0.01, 30)),
    "suspicion_multiplier": ("suspicion_multiplier", Bounds(1, 20)),
    "zone_silence_s": ("zone_silence", Bounds(0.5, 300)),
    "sync_interval_s": ("sync_interval", Bounds(0.5, 600)),
    "forget_after_s": ("forget_after", Bounds(10, 604_800)),
    "heartbeat_interval_s": ("heartbeat_interval", Bounds(0.05, 60)),
    "takeover_after_s": ("takeover_after", Bounds(0.2, 600)),
    "stale_after_s": ("stale_after", Bounds(0.5, 3_600)),
    "publish_timeout_s": ("publish_timeout", Bounds(0.5, 60)),
}


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """The validated section.

    ``own_name`` is this instance's name. The socket is bound to ``listen``; other members send to
    ``advertise``. ``bytes_per_s`` limits the traffic sent and received, including IP and UDP headers.
    """

    own_name: str
    listen: Address
    advertise: Address
    region: str
    zone: str
    role: Role
    seeds: tuple[Address, ...]
    voters: tuple[Voter, ...]
    key_file: Path
    key: bytes
    store_file: Path | None
    bytes_per_s: float
    timing: Timing

    @property
    def is_voter(self) -> bool:
        """True if this instance votes on configuration changes."""
        return any(voter.name == self.own_name for voter in self.voters)


# Field of GossipSettings -> key of the section, if they differ.
FILE_KEYS = {"own_name": "me", "seeds": "seed", "voters": "voter", "key": "key_file"}


def read_gossip(file: OperatorFile, own_name: str) -> GossipSettings:
    """Read the section; ``own_name`` is the name of this instance if the section does not set ``me``.

    Raises ``OperatorFileError``.
    """
    return _SectionReader(file).read(own_name)


class _SectionReader:
    def __init__(self, file: OperatorFile) -> None:
        self._file = file
        self._section = file.message.gossip

    def read(self, own_name: str) -> GossipSettings:
        section = self._section
        listen = self._read_address("listen", section.listen)
        advertise = self._read_advertise(listen)
        seeds = [self._read_address(f"seed[{i}]", seed) for i, seed in enumerate(section.seed)]
        settings = GossipSettings(
            own_name=self._read_text("me", section.me or own_name, MAX_NAME_BYTES),
            listen=listen,
            advertise=advertise,
            region=self._read_text("region", section.region, MAX_LABEL_BYTES),
            zone=self._read_text("zone", section.zone, MAX_LABEL_BYTES),
            role=Role(section.role),
            seeds=tuple(seed for seed in seeds if seed != advertise),
            voters=self._read_voters(),
            key_file=self._file.path.parent / section.key_file,
            key=self._file.secret_keys(f"{SECTION}.key_file", section.key_file, MIN_KEY_BYTES, MAX_KEYS)[0],
            store_file=self._file.store_path(f"{SECTION}.store_file", section.store_file),
            bytes_per_s=self._read_number(
                "bytes_per_s", default_bytes_per_s(Role(section.role)), BYTES_PER_S_BOUNDS
            ),
            timing=self._read_timing(),
        )
        self._check_voter(settings)
        return settings

    def _reject(self, key: str, reason: str) -> NoReturn:
        self._file.reject(f"{SECTION}.{key}", reason)

    def _read_text(self, key: str, text: str, max_bytes: int) -> str:
        try:
            encode_text(text, max_bytes)
        except EncodeError:
            self._reject(key, f"must be 1 to {max_bytes} bytes without control characters, not {text!r}")
        return text

    def _read_address(self, key: str, text: str) -> Address:
        """Return an address in the canonical form in which the system reports the senders of datagrams."""
        host, port = self._file.socket_address(f"{SECTION}.{key}", text)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            return socket.inet_ntop(family, socket.inet_pton(family, host)), port
        except OSError:
            self._reject(key, f"must be an IP address without a scope, not {text!r}")

    def _read_advertise(self, listen: Address) -> Address:
        advertise = listen
        if self._section.advertise:
            advertise = self._read_address("advertise", self._section.advertise)
        if ipaddress.ip_address(advertise[0]).is_unspecified:
            self._reject("advertise", f"must be an address that other members can reach, not {advertise[0]}")
        return advertise

    def _read_voters(self) -> tuple[Voter, ...]:
        voters: list[Voter] = []
        for i, entry in enumerate(self._section.voter):
            key = f"voter[{i}]"
            name = self._read_text(f"{key}.name", entry.name, MAX_NAME_BYTES)
            address = self._read_address(f"{key}.address", entry.address)
            if any(voter.name == name for voter in voters):
                self._reject(f"{key}.name", f"duplicate voter name {name!r}")
            if any(voter.address == address for voter in voters):
                self._reject(f"{key}.address", f"duplicate voter address {entry.address}")
            voters.append(Voter(name, address))
        if not 1 <= len(voters) <= MAX_VOTERS:
            self._reject("voter", f"must have from 1 to {MAX_VOTERS} voters, not {len(voters)}")
        return tuple(voters)

    def _check_voter(self, settings: GossipSettings) -> None:
        voter = next((voter for voter in settings.voters if voter.name == settings.own_name), None)
        if voter is None:
            return
        if settings.role is not Role.CONTROL:
            self._reject("role", f"must be CONTROL, because {settings.own_name!r} is a voter")
        if settings.store_file is None:
            self._reject("store_file", f"missing, but required because {settings.own_name!r} is a voter")
        if voter.address != settings.advertise:
            host, port = settings.advertise
            self._reject("advertise", f"{host}:{port} is not the address of voter {settings.own_name!r}")

    def _read_number(self, key: str, default: float, bounds: Bounds) -> float:
        if not self._section.HasField(key):
            return default
        value: float = getattr(self._section, key)
        return self._file.number_between(f"{SECTION}.{key}", value, bounds.minimum, bounds.maximum)

    def _read_timing(self) -> Timing:
        defaults = Timing()
        values: dict[str, Any] = {
            field: self._read_number(key, getattr(defaults, field), bounds)
            for key, (field, bounds) in TIMING_KEYS.items()
        }
        timing = replace(defaults, **values)
        if timing.probe_timeout >= timing.probe_interval:
            self._reject("probe_timeout_s", f"must be less than probe_interval_s ({timing.probe_interval:g})")
        for key in ("takeover_after", "stale_after"):
            if getattr(timing, key) <= timing.heartbeat_interval:
                self._reject(
                    f"{key}_s", f"must be more than heartbeat_interval_s ({timing.heartbeat_interval:g})"
                )
        return timing
