"""Reads scenario files: protobuf text format, schema in ``saltcourse/schema/scenario.proto``.

Every error is a ``ConfigError`` with the file, the line and the path of the key.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import NoReturn

from google.protobuf import text_format
from google.protobuf.message import Message

from saltcourse.config import ConfigError
from saltcourse.config.operator_file import key_lines
from saltcourse.emulator.scale.scenario import (
    Arrivals,
    Burst,
    Fault,
    Kill,
    Link,
    Links,
    Phase,
    PublisherLost,
    RackOutage,
    RegionPartition,
    RollingReplacement,
    Scenario,
    StopResume,
    Zone,
    ZoneOutage,
)
from saltcourse.gossip.messages import MAX_LABEL_BYTES
from saltcourse.schema import scenario_pb2 as pb

MIN_SIZE, MAX_SIZE = 2, 2_000  # proxies of one run
MAX_ZONES = 32
MAX_PHASES = 32
MAX_SECONDS = 3_600.0  # duration of a phase, of the start and of the settling time
MAX_DELAY_MS = 1_000.0
MAX_CONTROL_MEMBERS = 64
MAX_BURST = 1_000
MAX_CONFIGURATION_BYTES = 200_000  # leaves room for the changes of a run below the gossip limit
PHASE_NAME = re.compile(r"[a-z][a-z0-9_]{0,30}")


def read_scenario(path: Path) -> Scenario:
    """Read and validate a scenario file. Raises ConfigError if it is unreadable or has an invalid value."""
    return _Reader(path).read()


class _Reader:
    def __init__(self, path: Path) -> None:
        self._path = path
        try:
            text = path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not UTF-8"
            raise ConfigError(f"--scenario {path}: {reason}") from None
        self._file = pb.Scenario()
        try:
            text_format.Parse(text, self._file)
        except text_format.ParseError as error:
            reason = re.sub(r"^\d+:\d+ : ", "", str(error))
            raise ConfigError(f"{path}:{error.GetLine() or 1}: {reason}") from None
        self._lines = key_lines(text)

    def _fail(self, key: str, reason: str) -> NoReturn:
        """Raise ConfigError with the line of the key, or of the closest enclosing message in the file."""
        enclosing = key
        while enclosing:
            indexed = re.sub(r"(\w)(?=\.|$)", r"\1[0]", enclosing)
            if indexed in self._lines:
                raise ConfigError(f"{self._path}:{self._lines[indexed]}: {key}: {reason}")
            enclosing = enclosing.rpartition(".")[0]
        raise ConfigError(f"{self._path}:1: {key}: {reason}")

    def _read_number(self, part: Message, key: str, minimum: float, maximum: float) -> float:
        """Return the field of ``part`` that the last component of ``key`` names, if it is in range."""
        value = float(getattr(part, key.rpartition(".")[2]))
        if not minimum <= value <= maximum:
            self._fail(key, f"must be from {minimum:g} to {maximum:g}, not {value:g}")
        return value

    def _read_count(self, part: Message, key: str, minimum: int, maximum: int) -> int:
        return int(self._read_number(part, key, minimum, maximum))

    def read(self) -> Scenario:
        file = self._file
        zones = self._read_zones()
        machines, control = file.machines, file.control
        control_members = self._read_count(control, "control.members", 1, MAX_CONTROL_MEMBERS)
        return Scenario(
            sizes=self._read_sizes(),
            zones=zones,
            links=self._read_links(),
            members_per_machine=self._read_count(machines, "machines.members_per_machine", 1, 100),
            machines_per_rack=self._read_count(machines, "machines.machines_per_rack", 1, 1_000),
            control_members=control_members,
            voters=self._read_count(control, "control.voters", 1, control_members),
            arrivals=self._read_arrivals(),
            start_duration=self._read_number(file, "start_over_s", 0, MAX_SECONDS),
            settle=self._read_number(file, "settle_s", 0, MAX_SECONDS),
            phases=self._read_phases(),
            sizes_at_once=file.sizes_at_once,
            configuration_bytes=self._read_count(file, "configuration_bytes", 0, MAX_CONFIGURATION_BYTES),
        )

    def _read_sizes(self) -> tuple[int, ...]:
        if not self._file.size:
            self._fail("size", "missing, expected at least one number of proxies")
        for index, size in enumerate(self._file.size):
            if not MIN_SIZE <= size <= MAX_SIZE:
                self._fail(f"size[{index}]", f"must be from {MIN_SIZE} to {MAX_SIZE}, not {size}")
        return tuple(sorted(set(self._file.size)))

    def _read_zones(self) -> tuple[Zone, ...]:
        zones: list[Zone] = []
        for r, region in enumerate(self._file.region):
            self._check_label(f"region[{r}].name", region.name)
            if not region.zone:
                self._fail(f"region[{r}].zone", "missing, expected at least one zone name")
            for z, name in enumerate(region.zone):
                key = f"region[{r}].zone[{z}]"
                self._check_label(key, name)
                if name in [zone.name for zone in zones]:
                    self._fail(key, f"duplicate zone name {name!r}")
                zones.append(Zone(name, region.name))
        if not 1 <= len(zones) <= MAX_ZONES:
            self._fail("region", f"must have from 1 to {MAX_ZONES} zones in total, not {len(zones)}")
        return tuple(zones)

    def _check_label(self, key: str, label: str) -> None:
        if not 1 <= len(label.encode()) <= MAX_LABEL_BYTES:
            self._fail(key, f"must be from 1 to {MAX_LABEL_BYTES} bytes long, not {label!r}")

    def _read_links(self) -> Links:
        links = self._file.links
        return Links(
            in_zone=self._read_link("links.in_zone", links.in_zone),
            in_region=self._read_link("links.in_region", links.in_region),
            between_regions=self._read_link("links.between_regions", links.between_regions),
        )

    def _read_link(self, key: str, link: pb.Link) -> Link:
        minimum = self._read_number(link, f"{key}.least_delay_ms", 0, MAX_DELAY_MS)
        maximum = self._read_number(link, f"{key}.most_delay_ms", minimum, MAX_DELAY_MS)
        return Link(minimum / 1_000, maximum / 1_000, self._read_number(link, f"{key}.loss", 0, 0.9))

    def _read_arrivals(self) -> Arrivals:
        arrivals = self._file.arrivals
        return Arrivals(
            connections_per_s=self._read_number(arrivals, "arrivals.connections_per_s", 0, 1_000),
            mean_lifetime=self._read_number(arrivals, "arrivals.life_s", 0.1, 86_400),
            servers_per_proxy=self._read_number(arrivals, "arrivals.servers_per_proxy", 0.01, 1_000),
            groups_per_server=self._read_count(arrivals, "arrivals.groups_per_server", 1, 1_000),
        )

    def _read_phases(self) -> tuple[Phase, ...]:
        if not 1 <= len(self._file.phase) <= MAX_PHASES:
            self._fail("phase", f"must be given from 1 to {MAX_PHASES} times, not {len(self._file.phase)}")
        phases: list[Phase] = []
        for index, phase in enumerate(self._file.phase):
            key = f"phase[{index}]"
            if not PHASE_NAME.fullmatch(phase.name):
                self._fail(
                    f"{key}.name",
                    "must be a lowercase letter, then up to 30 lowercase letters, digits or underscores, "
                    f"not {phase.name!r}",
                )
            if phase.name in [earlier.name for earlier in phases]:
                self._fail(f"{key}.name", f"duplicate phase name {phase.name!r}")
            seconds = self._read_number(phase, f"{key}.seconds", 1, MAX_SECONDS)
            changes = self._read_number(phase, f"{key}.changes_per_s", 0, 20)
            faults = tuple(
                self._read_fault(f"{key}.fault[{f}]", fault, seconds) for f, fault in enumerate(phase.fault)
            )
            phases.append(Phase(phase.name, seconds, changes, faults))
        return tuple(phases)

    def _read_fault(self, key: str, fault: pb.Fault, phase_seconds: float) -> Fault:
        at = self._read_number(fault, f"{key}.at_s", 0, phase_seconds)
        remaining = phase_seconds - at
        kind = fault.WhichOneof("kind")
        if kind is None:
            self._fail(
                key,
                "missing, expected one of kill, stop_resume, rolling_replacement, rack, zone, cut_regions, "
                "publisher_lost, burst",
            )
        kind_key = f"{key}.{kind}"
        if kind in ("rack", "zone", "cut_regions"):
            return self._read_location_fault(kind_key, fault, at, remaining)
        if kind in ("publisher_lost", "burst"):
            return self._read_publication_fault(kind_key, fault, at, remaining)
        return self._read_member_fault(kind_key, fault, at, remaining)

    def _read_member_fault(self, key: str, fault: pb.Fault, at: float, remaining: float) -> Fault:
        if fault.HasField("kill"):
            machines = self._read_count(fault.kill, f"{key}.machines", 1, 1_000)
            return Kill(at, machines, self._read_number(fault.kill, f"{key}.restart_after_s", 0, remaining))
        if fault.HasField("stop_resume"):
            members = self._read_count(fault.stop_resume, f"{key}.members", 1, 1_000)
            return StopResume(
                at, members, self._read_number(fault.stop_resume, f"{key}.seconds", 0.1, remaining)
            )
        return self._read_rolling_replacement(key, fault.rolling_replacement, at, remaining)

    def _read_location_fault(self, key: str, fault: pb.Fault, at: float, remaining: float) -> Fault:
        if fault.HasField("rack"):
            return RackOutage(at, self._read_number(fault.rack, f"{key}.seconds", 0.1, remaining))
        if fault.HasField("zone"):
            return ZoneOutage(at, self._read_number(fault.zone, f"{key}.seconds", 0.1, remaining))
        seconds = self._read_number(fault.cut_regions, f"{key}.seconds", 0.1, remaining)
        return RegionPartition(at, seconds, fault.cut_regions.conflicting_change)

    def _read_publication_fault(self, key: str, fault: pb.Fault, at: float, remaining: float) -> Fault:
        if fault.HasField("burst"):
            return Burst(at, self._read_count(fault.burst, f"{key}.changes", 1, MAX_BURST))
        lost = fault.publisher_lost
        after = self._read_number(lost, f"{key}.after_ms", 0, 10_000) / 1_000
        return PublisherLost(at, after, self._read_number(lost, f"{key}.restart_after_s", 0, remaining))

    def _read_rolling_replacement(
        self, key: str, rolling: pb.RollingReplacement, at: float, remaining: float
    ) -> Fault:
        members = self._read_count(rolling, f"{key}.members", 1, 1_000)
        every = self._read_number(rolling, f"{key}.every_s", 0, remaining)
        down = self._read_number(rolling, f"{key}.down_s", 0, remaining)
        if every * (members - 1) + down > remaining:
            self._fail(
                key,
                f"takes {every * (members - 1) + down:g} s, but only {remaining:g} s remain in the phase",
            )
        return RollingReplacement(at, members, every, down)
