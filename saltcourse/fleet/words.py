"""What proxies say to each other: a message is text of at most 256 bytes, read whole or not at all.

    2AbQ0cHk9+srv1grp1-srv2grp2        version, boot, number, digest, then records

Servers and groups stand as four characters of a hash. Two that share them are taken for one: a hint is then
wrong, and a hint is all that a message can be. Figures are digits to the base of 64, the largest first.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

MOST_BYTES = 256  # of a datagram; a longer one voids a run
VERSION = "2"
DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-"  # '-' last: for patterns
VALUES = {digit: value for value, digit in enumerate(DIGITS)}
BOOT, NUMBER, DIGEST, NAME, FIGURE, CLOCK = 2, 3, 3, 4, 3, 5  # characters of each
HEAD = len(VERSION) + BOOT + NUMBER + DIGEST
CENTI = 0.01  # s; a clock is told in hundredths of a second
HOLDS, DROPS, COUNTS = "+", "-", "#"  # of the sender's table: pair held, pair not, connections at a server
VOID, SCALE = "!", "="  # what I told before is void; my slots in a server's load of 1
ASKS, ASKS_ALL = "?", "*"  # tell me what you told behind this number; tell me your whole table
WISHES, GIVES = "w", "g"  # give me my token again (its number); you have it, counted from when you wished
TIME, JUDGES = "c", "v"  # my clock; I leave this server alone until then, by my clock
SIZES = {  # characters behind the sign
    HOLDS: 2 * NAME, DROPS: 2 * NAME, COUNTS: NAME + FIGURE, VOID: 0, SCALE: FIGURE, ASKS: NUMBER,
    ASKS_ALL: 0, WISHES: FIGURE, GIVES: FIGURE, TIME: CLOCK, JUDGES: NAME + CLOCK,
}
RECORD = "|".join(f"{re.escape(sign)}[{DIGITS}]{{{size}}}" for sign, size in SIZES.items())
RECORDS = re.compile(RECORD)
WHOLE = re.compile(f"[{DIGITS}]{{{HEAD - len(VERSION)}}}(?:{RECORD})*")


class BadMessage(Exception):
    """A peer sent what no proxy of this version sends; the text says what."""


@dataclass(frozen=True, slots=True)
class Message:
    """``boot`` is drawn anew at each start; ``number`` grows by one a message; ``digest`` sums up the table
    that the sender has told, this message included. A record is its sign and what follows it."""

    boot: int
    number: int
    digest: int
    records: tuple[str, ...]


def write_figure(value: int, size: int) -> str:
    """The last ``size`` digits: what does not fit begins again at 0."""
    return "".join([DIGITS[value >> shift & 63] for shift in range(6 * size - 6, -1, -6)])


def read_figure(digits: str) -> int:
    value = 0
    for digit in digits:
        value = value << 6 | VALUES[digit]
    return value


def at_most(value: int, size: int) -> str:
    return write_figure(min(max(0, value), 64**size - 1), size)


def name(identifier: str) -> str:
    """A server's or a group's short name."""
    digest = hashlib.blake2b(identifier.encode(), digest_size=NAME).digest()
    return write_figure(int.from_bytes(digest, "big"), NAME)


def write(message: Message) -> str:
    return "".join((VERSION, write_figure(message.boot, BOOT), write_figure(message.number, NUMBER),
                    write_figure(message.digest, DIGEST), *message.records))


def read(text: str) -> Message:
    if len(text) > MOST_BYTES or len(text) < HEAD:
        raise BadMessage("too long or too short")
    if not text.startswith(VERSION):
        raise BadMessage("another version")
    at = len(VERSION)
    if WHOLE.fullmatch(text, at) is None:
        raise BadMessage("a character that is no digit, an unknown record, or a part of one")
    boot = read_figure(text[at:at + BOOT])
    number = read_figure(text[at + BOOT:at + BOOT + NUMBER])
    digest = read_figure(text[at + BOOT + NUMBER:HEAD])
    return Message(boot, number, digest, tuple(RECORDS.findall(text, HEAD)))
