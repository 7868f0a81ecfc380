"""Golden datagrams: members of different versions can read each other's datagrams.

The datagrams were written by commit bafdb7c, by the member ``a`` with a fixed key. They must never change.
"""

from __future__ import annotations

import pytest

from saltcourse.address_failover.authentication import AuthenticatedMessage, DatagramAuthenticator
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

KEY = bytes(range(32))
SENDER_INCARNATION, RECEIVER_INCARNATION = 1_767_225_600_000_001, 1_767_225_600_000_002
SENDER_ADDRESS, RECEIVER_ADDRESS = ("127.0.0.1", 7001), ("127.0.0.2", 7001)
GOLDEN: list[tuple[Message, str]] = [  # in sending order, which determines the sequence numbers
    (
        Hello(),
        "534301edde09aeea8ca0678eb143843e885d50421d5e02078161b925d0ff2515205cae452a7148"
        "08011201611a016220818081b184e9910328828081b184e9910330014200",
    ),
    (
        VoteRequest(65, 1.5, True, 64),
        "534301edde09ae74a6f9ec54c2c26bb89ca3baf6e4c53ff4a33e47fe28a13ee66055538e143331"
        "08011201611a016220818081b184e9910328828081b184e9910330024a0f084111000000000000f83f18012040",
    ),
    (
        VoteRequest(129, 2.25),
        "534301edde09aea17b7272dc1389d2d49a0106ba81f790d41205f2bdc6610baa8a0f248c495ccd"
        "08011201611a016220818081b184e9910328828081b184e9910330034a0c088101110000000000000240",
    ),
    (
        VoteResponse(65, 1.5, False, True, 65),
        "534301edde09ae5b7cb2d4412b50462d0b147598477395c43b6a5c5c2ef4a31afe0cdd66dbb0a1"
        "08011201611a016220818081b184e9910328828081b184e991033004520f084111000000000000f83f20012841",
    ),
    (
        VoteResponse(129, 1.5, True, False, 193),
        "534301edde09ae4adbd0cbaf9dfcffd9c15e014fa4a0350a5179d78ba86252079416116758915a"
        "08011201611a016220818081b184e9910328828081b184e991033005521108810111000000000000f83f180128c101",
    ),
    (
        LeaseRenewal(65, 2.25),
        "534301edde09aefc29206d6368fa36f3bfdf15d2f7085683e627dc5507672b3d01f67f06de7a32"
        "08011201611a016220818081b184e9910328828081b184e9910330065a0b0841110000000000000240",
    ),
    (
        LeaseRenewalAck(65, 2.25),
        "534301edde09aec52fd867d5c21d826c4b64805038dd05f45c2a12a7135e8965c185459ded4041"
        "08011201611a016220818081b184e9910328828081b184e991033007620b0841110000000000000240",
    ),
    (
        LeaseRelease(65),
        "534301edde09ae967d6baac63e472663d31d1e9c1094261a6e9355ee7d455c82036b5be29fc65f"
        "08011201611a016220818081b184e9910328828081b184e9910330086a020841",
    ),
    (
        LeaseTransfer(2**40),
        "534301edde09ae1d8f186149576603b1e4a3bbf8be8fe7ae096e64fb5e2c4e7927ab7badb20914"
        "08011201611a016220818081b184e9910328828081b184e991033009720708808080808020",
    ),
]


def test_messages_are_encoded_to_the_golden_datagrams() -> None:
    sender = DatagramAuthenticator("a", SENDER_INCARNATION, [KEY], {"b": RECEIVER_ADDRESS})
    sender.peers["b"].incarnation = RECEIVER_INCARNATION
    written = [sender.sign("b", message).hex() for message, _ in GOLDEN]
    assert written == [data for _, data in GOLDEN]


@pytest.mark.parametrize("message, data", GOLDEN)
def test_golden_datagrams_are_decoded(message: Message, data: str) -> None:
    receiver = DatagramAuthenticator("b", RECEIVER_INCARNATION, [KEY], {"a": SENDER_ADDRESS})
    assert receiver.verify(bytes.fromhex(data), SENDER_ADDRESS) == AuthenticatedMessage("a", message)
