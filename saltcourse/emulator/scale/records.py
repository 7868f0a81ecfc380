"""What the members of a scale run observed and spent: records in files, one JSON array a line.

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
    """A fault action that was carried out on a member, or on all links (member -1).

    ``action`` is the value of a ``timeline.FaultAction``.
    """

    at: float
    member: int
    action: str


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
    """The members that one considers alive, itself included: their count and the XOR of their ids."""

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
    """From now on the member reports that its configuration may be stale, or no longer is."""

    at: float
    member: int
    stale: bool


@dataclass(frozen=True, slots=True)
class ConfigurationSeen:
    """The configuration in force at ``member``; ``digest`` is of all of it.

    ``changes`` are the numbers of the operator's changes that came with it, ``torn`` those of which only a
    part is there.
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
    """One submission of a change failed."""

    at: float
    change: int
    voter: int
    reason: str


@dataclass(frozen=True, slots=True)
class WorkerUsage:
    """Resources of one worker process. ``lag``: seconds by which timers were handled late."""

    members: int
    memory_without_members: int  # bytes of resident memory
    memory_at_end: int
    cpu: float  # of the whole process over the run, the harness included
    lag_p99: float
    lag_max: float
    dropped: int  # datagrams that the kernel had no room for


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """Of a real process, from /proc: seconds of CPU since its start, and bytes of resident memory.

    Member BASELINE_PROCESS is the one that runs without the feature.
    """

    at: float
    member: int
    cpu: float
    memory: int


BASELINE_PROCESS = -1
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
    """A line of a file is not a record; the text has the line's begin."""


class RecordWriter:
    """Writes records to a new file."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w")

    def write(self, record: Record) -> None:
        """Appends a record; a buffer may keep it until ``flush``."""
        self._file.write(encode(record))

    def flush(self) -> None:
        """Writes what the buffer has."""
        self._file.flush()

    def close(self) -> None:
        """Flushes and closes the file."""
        self._file.close()


def encode(record: Record) -> str:
    """One line with its line end."""
    return json.dumps([type(record).__name__, *astuple(record)]) + "\n"


def decode(line: str) -> Record:
    """The record of one line. Raises RecordError."""
    try:
        name, *values = json.loads(line)
        kind = KINDS[name]
        if len(values) != len(fields(kind)):
            raise ValueError
        return kind(*values)
    except (ValueError, KeyError, TypeError):
        raise RecordError(f"not a record: {line[:80]!r}") from None


def read_records(paths: Iterable[Path]) -> Iterator[Record]:
    """The records of all files. Raises RecordError on a line that is not one.

    A last line without a line end is skipped: a killed process may have written a part of it.
    """
    for path in paths:
        with path.open() as file:
            for line in file:
                if line.endswith("\n"):
                    yield decode(line)
