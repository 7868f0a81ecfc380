"""Binary encoding of the messages between the voters."""

from __future__ import annotations

from struct import Struct
from typing import Any

from saltcourse.gossip.codec.schema import Schema, read_flag
from saltcourse.gossip.fields import (
    U32,
    Reader,
    encode_accepted_change,
    encode_change,
    encode_position,
    read_accepted_change,
    read_change,
    read_position,
)
from saltcourse.gossip.messages import (
    Accepted,
    LeaseGrant,
    LeaseRequest,
    Prepare,
    Promise,
    Propose,
    Rejected,
)

PROMISE = Struct("!IIB")  # epoch, last accepted version, whether an accepted change follows
LEASE = Struct("!II")  # epoch, count


def _encode_epoch(message: Prepare | Rejected) -> bytes:
    return U32.pack(message.epoch)


def _read_prepare(reader: Reader) -> Prepare:
    return Prepare(reader.read_number(U32))


def _read_rejected(reader: Reader) -> Rejected:
    return Rejected(reader.read_number(U32))


def _encode_promise(message: Promise) -> bytes:
    accepted = b"" if message.accepted is None else encode_accepted_change(message.accepted)
    fixed = PROMISE.pack(message.epoch, message.last_accepted, message.accepted is not None)
    return encode_position(message.committed) + fixed + accepted


def _read_promise(reader: Reader) -> Promise:
    committed = read_position(reader)
    epoch, last_accepted, flag = reader.unpack(PROMISE)
    accepted = read_accepted_change(reader) if read_flag(flag) else None
    return Promise(epoch, committed, last_accepted, accepted)


def _encode_propose(message: Propose) -> bytes:
    return U32.pack(message.epoch) + encode_change(message.change)


def _read_propose(reader: Reader) -> Propose:
    return Propose(reader.read_number(U32), read_change(reader))


def _encode_accepted(message: Accepted) -> bytes:
    return U32.pack(message.epoch) + encode_position(message.position)


def _read_accepted(reader: Reader) -> Accepted:
    return Accepted(reader.read_number(U32), read_position(reader))


def _encode_lease(message: LeaseRequest | LeaseGrant) -> bytes:
    return LEASE.pack(message.epoch, message.count)


def _read_lease_request(reader: Reader) -> LeaseRequest:
    epoch, count = reader.unpack(LEASE)
    return LeaseRequest(epoch, count)


def _read_lease_grant(reader: Reader) -> LeaseGrant:
    epoch, count = reader.unpack(LEASE)
    return LeaseGrant(epoch, count)


QUORUM_SCHEMAS: tuple[Schema[Any], ...] = (
    Schema(32, Prepare, _encode_epoch, _read_prepare),
    Schema(33, Promise, _encode_promise, _read_promise),
    Schema(34, Propose, _encode_propose, _read_propose),
    Schema(35, Accepted, _encode_accepted, _read_accepted),
    Schema(36, LeaseRequest, _encode_lease, _read_lease_request),
    Schema(37, LeaseGrant, _encode_lease, _read_lease_grant),
    Schema(38, Rejected, _encode_epoch, _read_rejected),
)
