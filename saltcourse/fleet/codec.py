"""What proxies say to each other: a message is text of at most 256 bytes, read whole or not at all.

    2AbQ0cHk9+srv1grp1-srv2grp2        version, incarnation, sequence, digest, then records

Servers and groups stand as four characters of a hash. Two that share them are taken for one: a hint is then
wrong, and a hint is all that a message can be. Numbers are digits to the base of 64, the largest first.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

MAX_BYTES = 256  # of a datagram; a longer one voids a run
VERSION = "2"
DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-"  # '-' last: for patterns
VALUE_OF_DIGIT = {digit: value for value, digit in enumerate(DIGITS)}
# Characters of each.
INCARNATION_LENGTH, SEQUENCE_LENGTH, DIGEST_LENGTH = 2, 3, 3
NAME_LENGTH, NUMBER_LENGTH, CLOCK_LENGTH = 4, 3, 5
HEADER_LENGTH = len(VERSION) + INCARNATION_LENGTH + SEQUENCE_LENGTH + DIGEST_LENGTH
CLOCK_UNIT = 0.01  # s of one step of a clock on the wire
# Kinds of records. Of the sender's table: a pair that it holds, one that it released, connections there.
PAIR_HELD, PAIR_RELEASED, CONNECTIONS = "+", "-", "#"
RESET, SCALE = "!", "="  # what I sent before is void; my slots in a server's load of 1
RESEND_REQUEST, SNAPSHOT_REQUEST = "?", "*"  # send what followed this sequence; send the whole table
LEASE_REQUEST, LEASE_GRANT = "w", "g"  # renew my lease; granted, counted from the request of that number
CLOCK_READING, EJECTION = "c", "v"  # my clock; I have ejected this server until then, by my clock
SIZES = {  # characters behind the kind
    PAIR_HELD: 2 * NAME_LENGTH, PAIR_RELEASED: 2 * NAME_LENGTH, CONNECTIONS: NAME_LENGTH + NUMBER_LENGTH,
    RESET: 0, SCALE: NUMBER_LENGTH, RESEND_REQUEST: SEQUENCE_LENGTH, SNAPSHOT_REQUEST: 0,
    LEASE_REQUEST: NUMBER_LENGTH, LEASE_GRANT: NUMBER_LENGTH, CLOCK_READING: CLOCK_LENGTH,
    EJECTION: NAME_LENGTH + CLOCK_LENGTH,
}
RECORD = "|".join(f"{re.escape(kind)}[{DIGITS}]{{{size}}}" for kind, size in SIZES.items())
RECORDS = re.compile(RECORD)
MESSAGE = re.compile(f"[{DIGITS}]{{{HEADER_LENGTH - len(VERSION)}}}(?:{RECORD})*")


class BadMessage(Exception):
    """A peer sent what no proxy of this version sends; the text says what."""


@dataclass(frozen=True, slots=True)
class Message:
    """``incarnation`` is drawn anew at each start; ``sequence`` grows by one a message; ``digest`` sums up
    what the sender has announced of its table, this message included. A record is its kind and its body."""

    incarnation: int
    sequence: int
    digest: int
    records: tuple[str, ...]


def encode_number(value: int, size: int) -> str:
    """The last ``size`` digits: what does not fit begins again at 0."""
    return "".join([DIGITS[value >> shift & 63] for shift in range(6 * size - 6, -1, -6)])


def decode_number(digits: str) -> int:
    value = 0
    for digit in digits:
        value = value << 6 | VALUE_OF_DIGIT[digit]
    return value


def encode_clamped(value: int, size: int) -> str:
    return encode_number(min(max(0, value), 64**size - 1), size)


def short_name(identifier: str) -> str:
    """A server's or a group's short name."""
    digest = hashlib.blake2b(identifier.encode(), digest_size=NAME_LENGTH).digest()
    return encode_number(int.from_bytes(digest, "big"), NAME_LENGTH)


def encode(message: Message) -> str:
    return "".join((VERSION, encode_number(message.incarnation, INCARNATION_LENGTH),
                    encode_number(message.sequence, SEQUENCE_LENGTH),
                    encode_number(message.digest, DIGEST_LENGTH), *message.records))


def decode(text: str) -> Message:
    if len(text) > MAX_BYTES or len(text) < HEADER_LENGTH:
        raise BadMessage("too long or too short")
    if not text.startswith(VERSION):
        raise BadMessage("another version")
    at = len(VERSION)
    if MESSAGE.fullmatch(text, at) is None:
        raise BadMessage("a character that is no digit, an unknown record, or a part of one")
    incarnation = decode_number(text[at:at + INCARNATION_LENGTH])
    sequence = decode_number(text[at + INCARNATION_LENGTH:at + INCARNATION_LENGTH + SEQUENCE_LENGTH])
    digest = decode_number(text[at + INCARNATION_LENGTH + SEQUENCE_LENGTH:HEADER_LENGTH])
    return Message(incarnation, sequence, digest, tuple(RECORDS.findall(text, HEADER_LENGTH)))
