"""The records of a scale run and their file format: one JSON array per line, class name and field values.

Class names and field order are part of the format. Times (``at``) are seconds since the start of the run on
CLOCK_MONOTONIC, which all processes of a machine share. Members are indexes into ``Topology.members``.
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
    """A fault action that was carried out on a member, or on all links (member -1).

    ``action`` is the value of a ``timeline.FaultAction``.
    """

    at: float
    member: int
    action: str


@dataclass(frozen=True, slots=True)
class Load:
    """The load of a member in the second that ends at ``at``.

    ``sent`` and ``received`` are bytes with IP and UDP headers; ``cpu`` is CPU time in seconds.
    """

    at: float
    member: int
    sent: int
    received: int
    cpu: float


@dataclass(frozen=True, slots=True)
class View:
    """The members that ``member`` considers alive, including itself: their count and the XOR of their ids."""

    at: float
    member: int
    count: int
    digest: int


@dataclass(frozen=True, slots=True)
class StatusSeen:
    """``member`` changed its view of ``other`` to ``status``, a value of ``gossip.messages.Status``."""

    at: float
    member: int
    other: int
    status: int


@dataclass(frozen=True, slots=True)
class FreshnessSeen:
    """The member began to report that its configuration may be stale, or that it is current again."""

    at: float
    member: int
    stale: bool


@dataclass(frozen=True, slots=True)
class ConfigurationSeen:
    """A configuration version that came into force at ``member``.

    ``digest`` covers the whole configuration (0: not reported). ``changes`` are the numbers of the operator's
    changes that the version applied, ``torn`` those of them that were applied only partially.
    """

    at: float
    member: int
    epoch: int
    version: int
    digest: int
    changes: list[int]
    torn: list[int]


@dataclass(frozen=True, slots=True)
class ChangeSubmitted:
    """The operator submitted its change to a voter, for the first time or as a retry."""

    at: float
    change: int
    voter: int
    kind: str


@dataclass(frozen=True, slots=True)
class Confirmed:
    """A voter confirmed that a change was committed, at ``epoch`` and ``version``."""

    at: float
    change: int
    voter: int
    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class NotConfirmed:
    """One attempt to submit a change failed or timed out."""

    at: float
    change: int
    voter: int
    reason: str


@dataclass(frozen=True, slots=True)
class WorkerUsage:
    """Resources of one worker process. ``lag_p99`` and ``lag_max`` are timer delays in seconds."""

    members: int
    memory_without_members: int  # bytes of resident memory
    memory_at_end: int  # bytes of resident memory
    cpu: float  # CPU seconds of the whole process during the run, emulator included
    lag_p99: float
    lag_max: float
    dropped: int  # datagrams that the kernel dropped for lack of buffer space


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """CPU seconds since the start of a real process and its resident memory in bytes, from /proc.

    The member BASELINE_PROCESS is the process that runs without gossip.
    """

    at: float
    member: int
    cpu: float
    memory: int


BASELINE_PROCESS = -1  # member index of the real process without gossip
Record = (
    Lifecycle
    | Load
    | View
    | StatusSeen
    | FreshnessSeen
    | ConfigurationSeen
    | ChangeSubmitted
    | Confirmed
    | NotConfirmed
    | WorkerUsage
    | ProcessSample
)
KINDS: dict[str, type[Record]] = {kind.__name__: kind for kind in get_args(Record)}
DEAD_OR_LEFT = (Status.DEAD, Status.LEFT)


class RecordError(Exception):
    """A line of a record file is not a valid record."""


class RecordWriter:
    """Writes records to a file, replacing its content."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w")

    def write(self, record: Record) -> None:
        """Append a record, buffered until ``flush`` or ``close``."""
        self._file.write(encode(record))

    def flush(self) -> None:
        """Write all buffered records to the file."""
        self._file.flush()

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()


def encode(record: Record) -> str:
    """Return the record as one line, including the newline."""
    return json.dumps([type(record).__name__, *astuple(record)]) + "\n"


def decode(line: str) -> Record:
    """Parse one line. Raises RecordError if it is not a valid record."""
    try:
        name, *values = json.loads(line)
        kind = KINDS[name]
        if len(values) != len(fields(kind)):
            raise ValueError
        return kind(*values)
    except (ValueError, KeyError, TypeError):
        raise RecordError(f"line is not a valid record: {line[:80]!r}") from None


def read_records(paths: Iterable[Path]) -> Iterator[Record]:
    """Yield the records of all files. Raises RecordError on an invalid line.

    A line without a newline at the end of a file is skipped: it was truncated when its writer was killed.
    """
    for path in paths:
        with path.open() as file:
            for line in file:
                if line.endswith("\n"):
                    yield decode(line)
