"""The message codec: it decodes or rejects any text, and decodes each encoded message unchanged."""

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
    PairAdded,
    PairRemoved,
    ResendRequest,
    Reset,
    Scale,
    SnapshotRequest,
)

NUMBER, TIME = st.integers(0, 262143), st.integers(0, 2**30 - 1)
RECORDS = st.one_of(
    st.sampled_from([PairAdded("srv1grp1"), PairRemoved("srv1grp1"), Reset(), SnapshotRequest()]),
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
def test_any_text_is_rejected_or_decodes_to_a_message_with_the_same_encoding(text: str) -> None:
    try:
        message = decode(text)
    except MalformedMessageError:
        return
    assert encode(message) == text


@given(MESSAGES)
def test_a_message_is_decoded_unchanged_or_rejected_as_too_long(message: Message) -> None:
    text = encode(message)
    if len(text) > MAX_BYTES:
        with pytest.raises(MalformedMessageError):
            decode(text)
    else:
        assert decode(text) == message
