"""The bytes of messages: any text is a message or an error, and any message comes as it was sent."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltcourse.shared_state.codec import MAX_BYTES, decode, encode
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
    ResendRequest,
    Reset,
    Scale,
    SnapshotRequest,
)

NUMBER, TIME = st.integers(0, 262143), st.integers(0, 2**30 - 1)
RECORDS = st.one_of(
    st.sampled_from([PairHeld("srv1grp1"), PairReleased("srv1grp1"), Reset(), SnapshotRequest()]),
    st.builds(Connections, st.just("srv1"), NUMBER),
    st.builds(ResendRequest, NUMBER),
    st.builds(Scale, NUMBER.map(lambda steps: steps / 100)),
    st.builds(LeaseRequest, NUMBER),
    st.builds(LeaseGrant, NUMBER),
    st.builds(ClockReading, TIME),
    st.builds(EjectionNotice, st.just("srv1"), TIME),
)
MESSAGES = st.builds(Message, st.integers(0, 4095), NUMBER, NUMBER, st.lists(RECORDS, max_size=20).map(tuple))


@given(st.text(max_size=300) | st.builds(lambda m, cut: encode(m)[:cut], MESSAGES, st.integers(0, 250)))
def test_any_text_is_a_message_or_is_rejected(text: str) -> None:
    try:
        message = decode(text)
    except MalformedMessageError:
        return
    assert encode(message) == text


@given(MESSAGES)
def test_any_message_comes_as_it_was_sent(message: Message) -> None:
    text = encode(message)
    if len(text) > MAX_BYTES:
        with pytest.raises(MalformedMessageError):
            decode(text)
    else:
        assert decode(text) == message
