"""Authentication and replay protection of the datagrams between members. No I/O.

Wire format: ``SC``, a version byte (1), a 4-byte key ID, a 32-byte HMAC-SHA256 (RFC 2104) of the rest, then a
``Datagram`` (``schema/membership.proto``). The cheapest checks run first, so most junk is rejected by
comparing a few bytes.

Replay protection: each process has an incarnation number and numbers its datagrams. A receiver accepts each
sequence number once, only from the sender's newest incarnation, and only if the datagram names the receiver's
current incarnation. So datagrams recorded before a restart of either side are rejected. A sender that does
not know the receiver's incarnation is sent a Hello.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from google.protobuf.message import DecodeError

from saltcourse.address_failover.errors import InvalidKeysError
from saltcourse.address_failover.message_codec import read_message, write_message
from saltcourse.address_failover.messages import Message
from saltcourse.address_failover.replay_window import ReplayWindow
from saltcourse.schema import membership_pb2 as pb

MAGIC = b"SC\x01"
# Lengths in bytes.
KEY_ID_LENGTH = 4
TAG_LENGTH = 32
HEADER_LENGTH = len(MAGIC) + KEY_ID_LENGTH + TAG_LENGTH
MAX_DATAGRAM_LENGTH = 512  # the longest valid datagram has less than 300 bytes
MIN_KEY_LENGTH = 16
MAX_KEYS = 2  # during a key change, the old and the new key
SCHEMA_VERSION = 1


class DropReason(Enum):
    """Reason for dropping a datagram."""

    MALFORMED = "malformed"  # not a datagram of this protocol
    UNKNOWN_KEY = "unknown_key"
    BAD_SIGNATURE = "bad_signature"
    UNSUPPORTED = "unsupported"  # authentic, but this version cannot read it
    NOT_A_MEMBER = "not_a_member"  # sender, source address or receiver does not match the configuration
    REPLAYED = "replayed"
    STALE_INCARNATION = "stale_incarnation"  # from an earlier process of the sender
    UNKNOWN_INCARNATION = "unknown_incarnation"  # the sender does not know this process's incarnation


@dataclass(frozen=True, slots=True)
class AuthenticatedMessage:
    """A message with a valid signature that is not a replay."""

    sender: str
    message: Message


@dataclass(slots=True)
class MemberProcess:
    """State about another member's current process."""

    address: tuple[str, int]
    incarnation: int = 0
    window: ReplayWindow = field(default_factory=ReplayWindow)

    def restart(self, incarnation: int) -> None:
        """Record that the member runs a new process, whose sequence numbers start from 1."""
        self.incarnation = incarnation
        self.window = ReplayWindow()


def key_id(key: bytes) -> bytes:
    """Return the identifier of a key on the wire."""
    return hashlib.sha256(b"saltcourse key id " + key).digest()[:KEY_ID_LENGTH]


class DatagramAuthenticator:
    """Signs outgoing datagrams of one member and verifies incoming ones.

    ``incarnation``: must increase with each start of this member (microseconds since 1970). ``keys``: the
    first key signs, all keys verify. ``peer_addresses``: UDP addresses of the other members by name. Raises
    InvalidKeysError.
    """

    def __init__(
        self, own_name: str, incarnation: int, keys: list[bytes], peer_addresses: dict[str, tuple[str, int]]
    ) -> None:
        self.own_name = own_name
        self.incarnation = incarnation
        self.peers = {name: MemberProcess(address) for name, address in peer_addresses.items()}
        self.dropped: Counter[DropReason] = Counter()
        self._sequence = 0
        self.change_keys(keys)

    def change_keys(self, keys: list[bytes]) -> None:
        """Replace all keys. Raises InvalidKeysError and keeps the old keys if the new ones are invalid."""
        if not 1 <= len(keys) <= MAX_KEYS:
            raise InvalidKeysError(f"expected 1 to {MAX_KEYS} keys, got {len(keys)}")
        if any(len(key) < MIN_KEY_LENGTH for key in keys):
            raise InvalidKeysError(
                f"key of {min(map(len, keys))} bytes is too short, expected at least {MIN_KEY_LENGTH}"
            )
        if len({key_id(key) for key in keys}) != len(keys):
            raise InvalidKeysError("duplicate key: the keys must differ")
        self._keys = {key_id(key): key for key in keys}
        self._signing_key_id = key_id(keys[0])

    def sign(self, receiver: str, message: Message) -> bytes:
        """Return a signed datagram that carries the message to the member ``receiver``."""
        self._sequence += 1
        datagram = pb.Datagram(
            version=SCHEMA_VERSION,
            sender=self.own_name,
            receiver=receiver,
            boot=self.incarnation,
            to_boot=self.peers[receiver].incarnation,
            sequence=self._sequence,
        )
        write_message(datagram, message)
        body: bytes = datagram.SerializeToString()
        tag = hmac.digest(self._keys[self._signing_key_id], body, "sha256")
        return MAGIC + self._signing_key_id + tag + body

    def verify(self, data: bytes, source: tuple[str, int]) -> AuthenticatedMessage | DropReason:
        """Verify a datagram from the address ``source``.

        Returns the message, or the reason if the datagram must be dropped; drops are counted by reason.
        """
        body = self._verify_signature(data)
        result = body if isinstance(body, DropReason) else self._read(body, source)
        if isinstance(result, DropReason):
            self.dropped[result] += 1
        return result

    def _verify_signature(self, data: bytes) -> bytes | DropReason:
        if not HEADER_LENGTH < len(data) <= MAX_DATAGRAM_LENGTH or not data.startswith(MAGIC):
            return DropReason.MALFORMED
        tag_start = len(MAGIC) + KEY_ID_LENGTH
        key = self._keys.get(data[len(MAGIC) : tag_start])
        if key is None:
            return DropReason.UNKNOWN_KEY
        body = data[HEADER_LENGTH:]
        if not hmac.compare_digest(hmac.digest(key, body, "sha256"), data[tag_start:HEADER_LENGTH]):
            return DropReason.BAD_SIGNATURE
        return body

    def _read(self, body: bytes, source: tuple[str, int]) -> AuthenticatedMessage | DropReason:
        try:
            datagram = pb.Datagram.FromString(body)
        except DecodeError:
            return DropReason.UNSUPPORTED
        peer = self.peers.get(datagram.sender)
        if peer is None or peer.address != source or datagram.receiver != self.own_name:
            return DropReason.NOT_A_MEMBER
        message = read_message(datagram)
        if datagram.version != SCHEMA_VERSION or message is None:
            return DropReason.UNSUPPORTED
        return self._check_replay(peer, datagram) or AuthenticatedMessage(datagram.sender, message)

    def _check_replay(self, peer: MemberProcess, datagram: pb.Datagram) -> DropReason | None:
        if datagram.boot < peer.incarnation:
            return DropReason.STALE_INCARNATION
        if datagram.to_boot != self.incarnation:
            # A replayed Hello can make an outdated incarnation look new. This costs one round trip, because
            # the peer's next datagram has its newer incarnation; a Hello has no other effect.
            if datagram.WhichOneof("message") == "hello" and datagram.boot > peer.incarnation:
                peer.restart(datagram.boot)
            return DropReason.UNKNOWN_INCARNATION
        if datagram.boot > peer.incarnation:
            peer.restart(datagram.boot)
        return None if peer.window.accept(datagram.sequence) else DropReason.REPLAYED
