"""Protobuf encoding of messages (``schema/membership.proto``). Only this module uses its older names.

::

    in the code                                       on the wire
    VoteRequest.sent_at, .pre_vote                    Ask.echo, .pre
    VoteRequest.transferred_term                      Ask.freed
    VoteResponse.request_sent_at, .newest_term        Answer.echo, .newest
    LeaseRenewal, LeaseRenewalAck                     Renew, Renewed
    LeaseRelease, LeaseTransfer                       Release, HandOver
    incarnation of the sender, of the receiver        Datagram.boot, .to_boot
"""

from __future__ import annotations

from saltcourse.address_failover.messages import (
    Hello,
    LeaseRelease,
    LeaseRenewal,
    LeaseRenewalAck,
    LeaseTransfer,
    Message,
    VoteRequest,
    VoteResponse,
)
from saltcourse.schema import membership_pb2 as pb


def write_message(datagram: pb.Datagram, message: Message) -> None:
    """Store a message in the datagram."""
    match message:
        case Hello():
            datagram.hello.SetInParent()
        case VoteRequest(term, sent_at, pre_vote, transferred_term):
            request = pb.Ask(term=term, echo=sent_at, pre=pre_vote, freed=transferred_term)
            datagram.ask.CopyFrom(request)
        case VoteResponse(term, sent_at, pre_vote, granted, newest_term):
            response = pb.Answer(term=term, echo=sent_at, pre=pre_vote, granted=granted, newest=newest_term)
            datagram.answer.CopyFrom(response)
        case LeaseRenewal(term, sent_at):
            datagram.renew.CopyFrom(pb.Renew(term=term, echo=sent_at))
        case LeaseRenewalAck(term, sent_at):
            datagram.renewed.CopyFrom(pb.Renewed(term=term, echo=sent_at))
        case LeaseRelease(term):
            datagram.release.CopyFrom(pb.Release(term=term))
        case LeaseTransfer(term):
            datagram.hand_over.CopyFrom(pb.HandOver(term=term))


def read_message(datagram: pb.Datagram) -> Message | None:  # noqa: PLR0911 - one return per message type
    """Return the datagram's message, or None if this version does not know its type."""
    match datagram.WhichOneof("message"):
        case "hello":
            return Hello()
        case "ask":
            ask = datagram.ask
            return VoteRequest(ask.term, ask.echo, ask.pre, ask.freed)
        case "answer":
            answer = datagram.answer
            return VoteResponse(answer.term, answer.echo, answer.pre, answer.granted, answer.newest)
        case "renew":
            return LeaseRenewal(datagram.renew.term, datagram.renew.echo)
        case "renewed":
            return LeaseRenewalAck(datagram.renewed.term, datagram.renewed.echo)
        case "release":
            return LeaseRelease(datagram.release.term)
        case "hand_over":
            return LeaseTransfer(datagram.hand_over.term)
    return None
