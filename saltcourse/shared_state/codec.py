"""Text encoding of messages, at most 256 bytes each. A message with any invalid part is rejected.

    2AbQ0cHk9+srv1grp1-srv2grp2        version, incarnation, sequence, digest, then records

A record is one character for its kind, followed by a body whose length depends on the kind. Numbers are
base-64 digits, most significant first. Invariants: ``decode`` returns a message or raises
``MalformedMessageError`` for any text, and encoding a decoded message gives the original text.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from saltcourse.shared_state.errors import MalformedMessageError
from saltcourse.shared_state.messages import (
    ClockReading,
    Connections,
    EjectionNotice,
    LeaseGrant,
    LeaseRequest,
    Message,
    PairAdded,
    PairRemoved,
    Record,
    ResendRequest,
    Reset,
    Scale,
    SnapshotRequest,
)

MAX_BYTES = 256  # size limit of a datagram
VERSION = "2"
DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-"  # '-' is last for regex classes
DIGIT_VALUES = {digit: value for value, digit in enumerate(DIGITS)}
# Field lengths in digits.
INCARNATION_LENGTH, SEQUENCE_LENGTH, DIGEST_LENGTH = 2, 3, 3
NAME_LENGTH, NUMBER_LENGTH, CLOCK_LENGTH = 4, 3, 5
PAIR_LENGTH = 2 * NAME_LENGTH
HEADER_LENGTH = len(VERSION) + INCARNATION_LENGTH + SEQUENCE_LENGTH + DIGEST_LENGTH
# Moduli at which the numeric fields wrap.
INCARNATION_MODULUS = 1 << 6 * INCARNATION_LENGTH
SEQUENCE_MODULUS = 1 << 6 * SEQUENCE_LENGTH
DIGEST_MODULUS = 1 << 6 * DIGEST_LENGTH
NUMBER_MODULUS = 1 << 6 * NUMBER_LENGTH
CLOCK_MODULUS = 1 << 6 * CLOCK_LENGTH  # clock units; wraps after four months
SCALE_STEPS_PER_SLOT = 100
MAX_CACHED_COUNTS = 512  # encoded connection counts; the same small counts recur in every heartbeat


def encode_number(value: int, length: int) -> str:
    """Return the ``length`` least significant digits of ``value``."""
    return "".join([DIGITS[value >> shift & 63] for shift in range(6 * length - 6, -1, -6)])


def decode_number(digits: str) -> int:
    """Return the value of a number. All its characters must be in ``DIGITS``."""
    value = 0
    for digit in digits:
        value = value << 6 | DIGIT_VALUES[digit]
    return value


@lru_cache(maxsize=MAX_CACHED_COUNTS)
def encode_count(count: int) -> str:
    """Return an encoded count, clamped to the range that the field can represent."""
    return encode_number(min(max(0, count), NUMBER_MODULUS - 1), NUMBER_LENGTH)


# ---- records ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RecordFormat:
    """Encoding of one record type."""

    kind: str  # the record's first character
    length: int  # length of the body in characters
    encode: Callable[[Any], str]  # returns the body of a record
    decode: Callable[[str], Record]  # parses the record's text, including the kind


def _decode_connections(text: str) -> Connections:
    # Inlined for speed: most records are of this type, one for each backend in every heartbeat.
    values = DIGIT_VALUES
    count = values[text[-3]] << 12 | values[text[-2]] << 6 | values[text[-1]]
    return Connections(text[1 : 1 + NAME_LENGTH], count)


def _encode_connections(record: Connections) -> str:
    return record.backend + encode_count(record.count)


def _decode_ejection(text: str) -> EjectionNotice:
    return EjectionNotice(text[1 : 1 + NAME_LENGTH], decode_number(text[1 + NAME_LENGTH :]))


def _encode_ejection(record: EjectionNotice) -> str:
    return record.backend + encode_number(record.end, CLOCK_LENGTH)


RECORD_FORMATS: dict[type[Record], RecordFormat] = {
    PairAdded: RecordFormat("+", PAIR_LENGTH, lambda record: record.pair, lambda text: PairAdded(text[1:])),
    PairRemoved: RecordFormat(
        "-", PAIR_LENGTH, lambda record: record.pair, lambda text: PairRemoved(text[1:])
    ),
    Connections: RecordFormat("#", NAME_LENGTH + NUMBER_LENGTH, _encode_connections, _decode_connections),
    Reset: RecordFormat("!", 0, lambda record: "", lambda text: Reset()),
    Scale: RecordFormat(
        "=",
        NUMBER_LENGTH,
        lambda record: encode_count(round(SCALE_STEPS_PER_SLOT * record.slots)),
        lambda text: Scale(decode_number(text[1:]) / SCALE_STEPS_PER_SLOT),
    ),
    ResendRequest: RecordFormat(
        "?",
        SEQUENCE_LENGTH,
        lambda record: encode_number(record.after, SEQUENCE_LENGTH),
        lambda text: ResendRequest(decode_number(text[1:])),
    ),
    SnapshotRequest: RecordFormat("*", 0, lambda record: "", lambda text: SnapshotRequest()),
    LeaseRequest: RecordFormat(
        "w",
        NUMBER_LENGTH,
        lambda record: encode_number(record.number, NUMBER_LENGTH),
        lambda text: LeaseRequest(decode_number(text[1:])),
    ),
    LeaseGrant: RecordFormat(
        "g",
        NUMBER_LENGTH,
        lambda record: encode_number(record.number, NUMBER_LENGTH),
        lambda text: LeaseGrant(decode_number(text[1:])),
    ),
    ClockReading: RecordFormat(
        "c",
        CLOCK_LENGTH,
        lambda record: encode_number(record.time, CLOCK_LENGTH),
        lambda text: ClockReading(decode_number(text[1:])),
    ),
    EjectionNotice: RecordFormat("v", NAME_LENGTH + CLOCK_LENGTH, _encode_ejection, _decode_ejection),
}
DECODERS = {record_format.kind: record_format.decode for record_format in RECORD_FORMATS.values()}
RECORD_PATTERN = "|".join(
    f"{re.escape(record_format.kind)}[{DIGITS}]{{{record_format.length}}}"
    for record_format in RECORD_FORMATS.values()
)
RECORD_REGEX = re.compile(RECORD_PATTERN)
MESSAGE_REGEX = re.compile(f"{VERSION}[{DIGITS}]{{{HEADER_LENGTH - len(VERSION)}}}(?:{RECORD_PATTERN})*")


def encode_record(record: Record) -> str:
    """Return the text of a record: its kind followed by its body."""
    record_format = RECORD_FORMATS[type(record)]
    return record_format.kind + record_format.encode(record)


# ---- messages --------------------------------------------------------------------------------------


def encode(message: Message) -> str:
    """Return the text of a message.

    It exceeds ``MAX_BYTES`` if there are too many records; split them with ``split_to_fit`` first.
    """
    return "".join(
        (
            VERSION,
            encode_number(message.incarnation, INCARNATION_LENGTH),
            encode_number(message.sequence, SEQUENCE_LENGTH),
            encode_number(message.digest, DIGEST_LENGTH),
            *[encode_record(record) for record in message.records],
        )
    )


def decode(text: str) -> Message:
    """Parse a message received from a peer. Raises MalformedMessageError."""
    if len(text) > MAX_BYTES or len(text) < HEADER_LENGTH:
        raise MalformedMessageError(
            f"message has {len(text)} characters, expected {HEADER_LENGTH} to {MAX_BYTES}"
        )
    if not text.startswith(VERSION):
        raise MalformedMessageError(f"unsupported protocol version {text[:1]!r}, expected {VERSION!r}")
    if MESSAGE_REGEX.fullmatch(text) is None:
        raise MalformedMessageError("invalid digit in the header, or an unknown, invalid or truncated record")
    header = decode_number(text[len(VERSION) : HEADER_LENGTH])  # decodes the three fields as one number
    rest, digest = divmod(header, DIGEST_MODULUS)
    incarnation, sequence = divmod(rest, SEQUENCE_MODULUS)
    records = [DECODERS[record[0]](record) for record in RECORD_REGEX.findall(text, HEADER_LENGTH)]
    return Message(incarnation, sequence, digest, tuple(records))


def split_to_fit(records: Sequence[Record]) -> Iterator[tuple[Record, ...]]:
    """Split records, in order, into parts that each fit into one message. Yields at least one part."""
    part: list[Record] = []
    size = HEADER_LENGTH
    for record in records:
        record_format = RECORD_FORMATS[type(record)]
        length = len(record_format.kind) + record_format.length
        if size + length > MAX_BYTES:
            yield tuple(part)
            part, size = [], HEADER_LENGTH
        part.append(record)
        size += length
    yield tuple(part)
