"""Datagrams between members: packed, authenticated, and opened again only once. No I/O.

On the wire: ``SC``, one byte of form (1), 4 bytes that name the key, 32 bytes of HMAC-SHA256 (RFC 2104) over
what follows, then a ``Datagram`` (``schema/membership.proto``). What is wrong with a datagram is found in the
order of cost, so junk is dropped for the price of a comparison.

Replays: each process has a boot number and counts its datagrams. A receiver takes a number once, from the
newest boot of its sender only, and only where the sender knew the receiver's own boot; so what was recorded
before the receiver's restart is void too. Who does not know it yet is told by a Hello.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from google.protobuf.message import DecodeError

from saltcourse.address_failover.messages import (
    Answer,
    Ask,
    HandOver,
    Message,
    Release,
    Renew,
    Renewed,
)
from saltcourse.schema import membership_pb2 as pb

MAGIC, KEY_ID, TAG = b"SC\x01", 4, 32
HEAD = len(MAGIC) + KEY_ID + TAG
LONGEST = 512  # bytes; the longest message takes under 300
LEAST_KEY = 16  # bytes
MOST_KEYS = 2  # the one in use, and the one that it replaces or that will replace it
WINDOW = 64  # datagrams that may overtake one another
VERSION = 1


class Drop(Enum):
    """Why a datagram was dropped."""

    FORM = "form"  # no datagram of ours
    KEY = "key"  # a key that is not in the file
    FORGED = "forged"
    SCHEMA = "schema"  # sealed well, but it says what this version can't read
    STRANGER = "stranger"  # not a member, from a wrong address, or meant for another
    REPLAY = "replay"
    STALE = "stale"  # of an earlier process of its sender
    UNKNOWN_BOOT = "unknown_boot"  # the sender does not know this process yet


def key_id(key: bytes) -> bytes:
    return hashlib.sha256(b"saltcourse key id " + key).digest()[:KEY_ID]


@dataclass(slots=True)
class Peer:
    """What is known of another member's process."""

    address: tuple[str, int]
    boot: int = 0
    highest: int = 0
    seen: int = 0  # bit i: the number ``highest - i`` has come


class Seal:
    """One member's end. ``keys``: the first signs, all of them open. ``peers``: name -> address."""

    def __init__(self, me: str, boot: int, keys: list[bytes], peers: dict[str, tuple[str, int]]) -> None:
        self.me, self.boot = me, boot
        self.peers = {name: Peer(address) for name, address in peers.items()}
        self.dropped: Counter[Drop] = Counter()
        self._sequence = 0
        self.change_keys(keys)

    def change_keys(self, keys: list[bytes]) -> None:
        """Errors name what is wrong with the keys, as ValueError; the old ones then stay."""
        if not 1 <= len(keys) <= MOST_KEYS:
            raise ValueError(f"one or {MOST_KEYS} keys, not {len(keys)}")
        if any(len(k) < LEAST_KEY for k in keys):
            raise ValueError(f"a key under {LEAST_KEY} bytes")
        if len({key_id(k) for k in keys}) != len(keys):
            raise ValueError("the same key twice")
        self._keys = {key_id(k): k for k in keys}
        self._signs = key_id(keys[0])

    def pack(self, receiver: str, message: Message | None) -> bytes:
        """A sealed datagram; None is a Hello."""
        self._sequence += 1
        told = pb.Datagram(
            version=VERSION,
            sender=self.me,
            receiver=receiver,
            boot=self.boot,
            to_boot=self.peers[receiver].boot,
            sequence=self._sequence,
        )
        match message:
            case None:
                told.hello.SetInParent()
            case Ask(term, echo, pre, freed):
                told.ask.CopyFrom(pb.Ask(term=term, echo=echo, pre=pre, freed=freed))
            case Answer(term, echo, pre, granted, newest):
                told.answer.CopyFrom(pb.Answer(term=term, echo=echo, pre=pre, granted=granted, newest=newest))
            case Renew(term, echo):
                told.renew.CopyFrom(pb.Renew(term=term, echo=echo))
            case Renewed(term, echo):
                told.renewed.CopyFrom(pb.Renewed(term=term, echo=echo))
            case Release(term):
                told.release.CopyFrom(pb.Release(term=term))
            case HandOver(term):
                told.hand_over.CopyFrom(pb.HandOver(term=term))
        body: bytes = told.SerializeToString()
        tag = hmac.digest(self._keys[self._signs], body, "sha256")
        return MAGIC + self._signs + tag + body

    def open(self, data: bytes, source: tuple[str, int]) -> tuple[str, Message | None] | Drop:
        """Who sent what (None: a Hello), or why it is dropped; counted. Any bytes are borne."""
        found = self._open(data, source)
        if isinstance(found, Drop):
            self.dropped[found] += 1
        return found

    def _open(self, data: bytes, source: tuple[str, int]) -> tuple[str, Message | None] | Drop:
        if not HEAD < len(data) <= LONGEST or not data.startswith(MAGIC):
            return Drop.FORM
        key = self._keys.get(data[len(MAGIC) : len(MAGIC) + KEY_ID])
        if key is None:
            return Drop.KEY
        body = data[HEAD:]
        if not hmac.compare_digest(hmac.digest(key, body, "sha256"), data[len(MAGIC) + KEY_ID : HEAD]):
            return Drop.FORGED
        try:
            told = pb.Datagram.FromString(body)
        except DecodeError:
            return Drop.SCHEMA
        peer = self.peers.get(told.sender)
        if peer is None or peer.address != source or told.receiver != self.me:
            return Drop.STRANGER
        if told.version != VERSION:
            return Drop.SCHEMA
        return self._once(peer, told)

    def _once(self, peer: Peer, told: pb.Datagram) -> tuple[str, Message | None] | Drop:
        kind = told.WhichOneof("message")
        if kind is None:
            return Drop.SCHEMA
        if told.boot < peer.boot:
            return Drop.STALE
        if told.to_boot != self.boot:
            # A recorded Hello could name an old boot as new: that costs a round trip, for the peer's own
            # datagrams then say which is newer, and nothing is decided by a Hello.
            if kind == "hello" and told.boot > peer.boot:
                peer.boot, peer.highest, peer.seen = told.boot, 0, 0
            return Drop.UNKNOWN_BOOT
        if told.boot > peer.boot:
            peer.boot, peer.highest, peer.seen = told.boot, 0, 0
        ahead = told.sequence - peer.highest
        if ahead > 0:
            peer.seen = ((peer.seen << min(ahead, WINDOW)) | 1) & ((1 << WINDOW) - 1)
            peer.highest = told.sequence
        elif -ahead >= WINDOW or peer.seen >> -ahead & 1:
            return Drop.REPLAY
        else:
            peer.seen |= 1 << -ahead
        return told.sender, _read(kind, told)


def _read(kind: str, told: pb.Datagram) -> Message | None:
    match kind:
        case "ask":
            return Ask(told.ask.term, told.ask.echo, told.ask.pre, told.ask.freed)
        case "answer":
            a = told.answer
            return Answer(a.term, a.echo, a.pre, a.granted, a.newest)
        case "renew":
            return Renew(told.renew.term, told.renew.echo)
        case "renewed":
            return Renewed(told.renewed.term, told.renewed.echo)
        case "release":
            return Release(told.release.term)
        case "hand_over":
            return HandOver(told.hand_over.term)
    return None
