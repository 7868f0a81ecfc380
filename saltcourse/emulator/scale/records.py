"""What members of a scale run saw and spent, as they wrote it down: one JSON array a line.

Times are seconds of CLOCK_MONOTONIC, which all processes of a machine share, counted from the begin of the
run. Members are indexes of the topology.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import astuple, dataclass, fields
from pathlib import Path
from typing import TextIO, get_args

from saltcourse.gossip.messages import Status


@dataclass(frozen=True, slots=True)
class Lifecycle:
    """``act``: the value of the ``timeline.Act`` that was carried out; of a cut the member is -1."""

    at: float
    member: int
    act: str


@dataclass(frozen=True, slots=True)
class Load:
    """What a member spent in the second that ends at ``at``: bytes with all headers, CPU in seconds."""

    at: float
    member: int
    sent: int
    received: int
    cpu: float


@dataclass(frozen=True, slots=True)
class View:
    """Whom a member holds for alive, itself included: how many, and the XOR of their ids. Each new one."""

    at: float
    member: int
    count: int
    digest: int


@dataclass(frozen=True, slots=True)
class StatusSeen:
    """From now on ``member`` believes this of ``other``."""

    at: float
    member: int
    other: int
    status: int


@dataclass(frozen=True, slots=True)
class FreshnessSeen:
    """From now on the member says that it may lack news, or no longer."""

    at: float
    member: int
    stale: bool


@dataclass(frozen=True, slots=True)
class ConfigurationSeen:
    """The configuration in force at ``member``. ``digest`` is of all of it. ``changes`` are the numbers of
    the operator's changes that came with it; ``torn`` those of which only a part is there."""

    at: float
    member: int
    epoch: int
    version: int
    digest: int
    changes: list[int]
    torn: list[int]


@dataclass(frozen=True, slots=True)
class Handed:
    """The operator handed its change to a voter: for the first time, or again because the last try failed."""

    at: float
    change: int
    voter: int
    duty: str


@dataclass(frozen=True, slots=True)
class Confirmed:
    at: float
    change: int
    voter: int
    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class NotConfirmed:
    at: float
    change: int
    voter: int
    reason: str


@dataclass(frozen=True, slots=True)
class WorkerUsage:
    """Of one worker process. ``lag``: by how much later than due events were handled."""

    members: int
    memory_without_members: int  # bytes of resident memory
    memory_at_end: int
    cpu: float  # of the whole process over the run, the harness included
    lag_p99: float
    lag_max: float
    dropped: int  # datagrams that the kernel had no room for


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """Of a real process, from /proc: seconds of CPU since its start, and bytes of resident memory. Member
    CONTROL_PROCESS is the one that runs without the feature."""

    at: float
    member: int
    cpu: float
    memory: int


CONTROL_PROCESS = -1
Record = (
    Lifecycle
    | Load
    | View
    | StatusSeen
    | FreshnessSeen
    | ConfigurationSeen
    | Handed
    | Confirmed
    | NotConfirmed
    | WorkerUsage
    | ProcessSample
)
KINDS: dict[str, type[Record]] = {kind.__name__: kind for kind in get_args(Record)}
DEAD_OR_LEFT = (Status.DEAD, Status.LEFT)


class RecordError(Exception):
    """A line that no worker writes."""


class RecordWriter:
    """Appends to a file, which ``flush`` brings up to date."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w")

    def write(self, record: Record) -> None:
        self._file.write(encode(record))

    def flush(self) -> None:
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def encode(record: Record) -> str:
    return json.dumps([type(record).__name__, *astuple(record)]) + "\n"


def decode(line: str) -> Record:
    try:
        name, *values = json.loads(line)
        kind = KINDS[name]
        if len(values) != len(fields(kind)):
            raise ValueError
        return kind(*values)
    except (ValueError, KeyError, TypeError):
        raise RecordError(f"no record: {line[:80]!r}") from None


def read_records(paths: Iterable[Path]) -> Iterator[Record]:
    """RecordError where a file holds anything else. A last line that a kill cut short is passed over."""
    for path in paths:
        with path.open() as file:
            for line in file:
                if line.endswith("\n"):
                    yield decode(line)
