"""The bytes of messages: text of at most 256 bytes, which is decoded whole or not at all.

    2AbQ0cHk9+srv1grp1-srv2grp2        version, incarnation, sequence, digest, then records

A record is a character for its kind and a body whose length the kind gives. Numbers are digits to the base of
64, the most significant first. Rules of this file: any text is a message or a ``MalformedMessageError``; a
message that was decoded gives the same text again.
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
    PairHeld,
    PairReleased,
    Record,
    ResendRequest,
    Reset,
    Scale,
    SnapshotRequest,
)

MAX_BYTES = 256  # of a datagram
VERSION = "2"
DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-"  # '-' last: for patterns
VALUE_OF_DIGIT = {digit: value for value, digit in enumerate(DIGITS)}
# Lengths in digits.
INCARNATION_LENGTH, SEQUENCE_LENGTH, DIGEST_LENGTH = 2, 3, 3
NAME_LENGTH, NUMBER_LENGTH, CLOCK_LENGTH = 4, 3, 5
PAIR_LENGTH = 2 * NAME_LENGTH
HEADER_LENGTH = len(VERSION) + INCARNATION_LENGTH + SEQUENCE_LENGTH + DIGEST_LENGTH
# What numbers are taken modulo.
INCARNATIONS = 1 << 6 * INCARNATION_LENGTH
SEQUENCES = 1 << 6 * SEQUENCE_LENGTH
DIGESTS = 1 << 6 * DIGEST_LENGTH
NUMBERS = 1 << 6 * NUMBER_LENGTH
CLOCK_MODULUS = 1 << 6 * CLOCK_LENGTH  # clock units: four months
SCALE_STEPS_PER_SLOT = 100
MAX_CACHED_COUNTS = 512  # encoded counts of connections: the same small ones are encoded again and again


def encode_number(value: int, length: int) -> str:
    """The last ``length`` digits: numbers count modulo what fits."""
    return "".join([DIGITS[value >> shift & 63] for shift in range(6 * length - 6, -1, -6)])


def decode_number(digits: str) -> int:
    """The value of digits, which must all be of DIGITS."""
    value = 0
    for digit in digits:
        value = value << 6 | VALUE_OF_DIGIT[digit]
    return value


@lru_cache(maxsize=MAX_CACHED_COUNTS)
def encode_count(count: int) -> str:
    """A count of connections; one that does not fit is sent as the largest that does."""
    return encode_number(min(max(0, count), NUMBERS - 1), NUMBER_LENGTH)


# ---- records ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RecordFormat:
    """How one type of record is written."""

    kind: str  # one character
    length: int  # of the body
    encode: Callable[[Any], str]  # a record's body
    decode: Callable[[str], Record]  # of the kind and the body


def _decode_connections(text: str) -> Connections:
    # Written out, for most records are of this type: one for each backend with each heartbeat.
    values = VALUE_OF_DIGIT
    count = values[text[-3]] << 12 | values[text[-2]] << 6 | values[text[-1]]
    return Connections(text[1 : 1 + NAME_LENGTH], count)


def _encode_connections(record: Connections) -> str:
    return record.backend + encode_count(record.count)


def _decode_ejection(text: str) -> EjectionNotice:
    return EjectionNotice(text[1 : 1 + NAME_LENGTH], decode_number(text[1 + NAME_LENGTH :]))


def _encode_ejection(record: EjectionNotice) -> str:
    return record.backend + encode_number(record.end, CLOCK_LENGTH)


FORMATS: dict[type[Record], RecordFormat] = {
    PairHeld: RecordFormat("+", PAIR_LENGTH, lambda record: record.pair, lambda text: PairHeld(text[1:])),
    PairReleased: RecordFormat(
        "-", PAIR_LENGTH, lambda record: record.pair, lambda text: PairReleased(text[1:])
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
DECODERS = {form.kind: form.decode for form in FORMATS.values()}
RECORD = "|".join(f"{re.escape(form.kind)}[{DIGITS}]{{{form.length}}}" for form in FORMATS.values())
RECORDS = re.compile(RECORD)
MESSAGE = re.compile(f"{VERSION}[{DIGITS}]{{{HEADER_LENGTH - len(VERSION)}}}(?:{RECORD})*")


def encode_record(record: Record) -> str:
    """The kind and the body of a record."""
    form = FORMATS[type(record)]
    return form.kind + form.encode(record)


# ---- messages --------------------------------------------------------------------------------------


def encode(message: Message) -> str:
    """The text of a message, which may be longer than MAX_BYTES: see ``split_to_fit``."""
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
    """A message of a peer. Raises MalformedMessageError."""
    if len(text) > MAX_BYTES or len(text) < HEADER_LENGTH:
        raise MalformedMessageError("too long or too short")
    if not text.startswith(VERSION):
        raise MalformedMessageError("another version")
    if MESSAGE.fullmatch(text) is None:
        raise MalformedMessageError("a character that is no digit, an unknown record, or a part of one")
    header = decode_number(text[len(VERSION) : HEADER_LENGTH])  # three numbers as if they were one
    rest, digest = divmod(header, DIGESTS)
    incarnation, sequence = divmod(rest, SEQUENCES)
    records = [DECODERS[record[0]](record) for record in RECORDS.findall(text, HEADER_LENGTH)]
    return Message(incarnation, sequence, digest, tuple(records))


def split_to_fit(records: Sequence[Record]) -> Iterator[tuple[Record, ...]]:
    """The records in their order, in parts that each fit into one message; at least one part."""
    part: list[Record] = []
    size = HEADER_LENGTH
    for record in records:
        form = FORMATS[type(record)]
        length = len(form.kind) + form.length
        if size + length > MAX_BYTES:
            yield tuple(part)
            part, size = [], HEADER_LENGTH
        part.append(record)
        size += length
    yield tuple(part)
