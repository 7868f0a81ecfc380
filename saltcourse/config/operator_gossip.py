"""The section ``gossip`` of the operator's file: membership, configuration and sums of a large fleet."""

from __future__ import annotations

import ipaddress
import socket
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NoReturn

from saltcourse.config.operator_file import OperatorFile
from saltcourse.gossip.fields import encode_text
from saltcourse.gossip.messages import MAX_LABEL_BYTES, MAX_NAME_BYTES, Address, Role
from saltcourse.gossip.settings import Timing, Voter, default_bytes_per_s

MIN_KEY_BYTES = 16
MAX_KEYS = 1
MAX_VOTERS = 9  # each change is on the disks of a majority before it holds: more voters make it slower
SECTION = "gossip"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Of one number, both included."""

    least: float
    most: float


BYTES_PER_S = Bounds(2_000, 100_000_000)
# Key of the file -> field of Timing, and what it may be.
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
    """What the section says, checked. ``listen`` is bound, ``advertise`` is what others send to."""

    me: str
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
        return any(voter.name == self.me for voter in self.voters)


def read_gossip(file: OperatorFile, own_name: str) -> GossipSettings:
    """``own_name`` is this instance's where the file does not give it."""
    return _GossipReader(file).read(own_name)


class _GossipReader:
    def __init__(self, file: OperatorFile) -> None:
        self._file = file
        self._section = file.message.gossip

    def read(self, own_name: str) -> GossipSettings:
        section = self._section
        listen = self._address("listen", section.listen)
        advertise = self._advertise(listen)
        seeds = [self._address(f"seed[{i}]", seed) for i, seed in enumerate(section.seed)]
        settings = GossipSettings(
            me=self._text("me", section.me or own_name, MAX_NAME_BYTES),
            listen=listen,
            advertise=advertise,
            region=self._text("region", section.region, MAX_LABEL_BYTES),
            zone=self._text("zone", section.zone, MAX_LABEL_BYTES),
            role=Role(section.role),
            seeds=tuple(seed for seed in seeds if seed != advertise),
            voters=self._voters(),
            key_file=self._file.path.parent / section.key_file,
            key=self._file.keys(f"{SECTION}.key_file", section.key_file, MIN_KEY_BYTES, MAX_KEYS)[0],
            store_file=self._file.store(f"{SECTION}.store_file", section.store_file),
            bytes_per_s=self._number("bytes_per_s", default_bytes_per_s(Role(section.role)), BYTES_PER_S),
            timing=self._timing(),
        )
        self._check_voter(settings)
        return settings

    def _wrong(self, key: str, what: str) -> NoReturn:
        self._file.wrong(f"{SECTION}.{key}", what)

    def _text(self, key: str, text: str, most: int) -> str:
        try:
            encode_text(text, most)
        except ValueError:
            self._wrong(key, f"must be 1 to {most} bytes without control characters, not {text!r}")
        return text

    def _address(self, key: str, said: str) -> Address:
        """In the system's canonical text, which the address of a received datagram has too."""
        host, port = self._file.place(f"{SECTION}.{key}", said)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            return socket.inet_ntop(family, socket.inet_pton(family, host)), port
        except OSError:
            self._wrong(key, f"must be an address without a scope, not {said!r}")

    def _advertise(self, listen: Address) -> Address:
        advertise = listen
        if self._section.advertise:
            advertise = self._address("advertise", self._section.advertise)
        if ipaddress.ip_address(advertise[0]).is_unspecified:
            self._wrong("advertise", f"must be an address that others reach, not {advertise[0]}")
        return advertise

    def _voters(self) -> tuple[Voter, ...]:
        voters: list[Voter] = []
        for i, entry in enumerate(self._section.voter):
            key = f"voter[{i}]"
            name = self._text(f"{key}.name", entry.name, MAX_NAME_BYTES)
            address = self._address(f"{key}.address", entry.address)
            if any(voter.name == name for voter in voters):
                self._wrong(f"{key}.name", f"{name!r} stands twice")
            if any(voter.address == address for voter in voters):
                self._wrong(f"{key}.address", f"{entry.address} stands twice")
            voters.append(Voter(name, address))
        if not 1 <= len(voters) <= MAX_VOTERS:
            self._wrong("voter", f"from 1 to {MAX_VOTERS} voters, not {len(voters)}")
        return tuple(voters)

    def _check_voter(self, settings: GossipSettings) -> None:
        voter = next((voter for voter in settings.voters if voter.name == settings.me), None)
        if voter is None:
            return
        if settings.role is not Role.CONTROL:
            self._wrong("role", f"must be CONTROL: {settings.me!r} is a voter")
        if settings.store_file is None:
            self._wrong("store_file", f"missing: {settings.me!r} is a voter")
        if voter.address != settings.advertise:
            host, port = settings.advertise
            self._wrong("advertise", f"{host}:{port} is not the address of voter {settings.me!r}")

    def _number(self, key: str, default: float, bounds: Bounds) -> float:
        if not self._section.HasField(key):
            return default
        value: float = getattr(self._section, key)
        return self._file.between(f"{SECTION}.{key}", value, bounds.least, bounds.most)

    def _timing(self) -> Timing:
        usual = Timing()
        values: dict[str, Any] = {
            field: self._number(key, getattr(usual, field), bounds)
            for key, (field, bounds) in TIMING_KEYS.items()
        }
        timing = replace(usual, **values)
        if timing.probe_timeout >= timing.probe_interval:
            self._wrong("probe_timeout_s", f"must be under probe_interval_s, {timing.probe_interval:g}")
        for key in ("takeover_after", "stale_after"):
            if getattr(timing, key) <= timing.heartbeat_interval:
                self._wrong(f"{key}_s", f"must be above heartbeat_interval_s, {timing.heartbeat_interval:g}")
        return timing
