"""Tests of the gossip codec: messages survive a round trip, and malformed input raises ``CodecError``."""

import hmac
import socket
import timeit

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saltcourse.gossip import messages as m
from saltcourse.gossip.codec import (
    HEADER_BYTES,
    SCHEMAS,
    Codec,
    CodecError,
    Reason,
    change_size,
    decode_configuration,
    encode_configuration,
    update_size,
)
from saltcourse.gossip.codec.datagram import HEADER as HEADER_LAYOUT
from saltcourse.gossip.codec.datagram import PREFIX, TAG_END
from saltcourse.gossip.fields import MEMBER_RECORD

KEY = b"k" * 32
CODEC = Codec(KEY)
HEADER = m.Header(sender=7, incarnation=1, process_id=2)

u32 = st.integers(0, 2**32 - 1)
u64 = st.integers(0, 2**64 - 1)
letters = st.characters(exclude_categories=("Cc", "Cs"))
positions = st.builds(m.Position, u32, u32)
heartbeats = st.builds(m.Heartbeat, u32, u32)
headers = st.builds(m.Header, u64, u32, u32, positions, heartbeats)
# Formatted by inet_ntop: Python's ipaddress formats IPv4-mapped IPv6 addresses differently.
hosts = st.one_of(
    st.binary(min_size=4, max_size=4).map(lambda data: socket.inet_ntop(socket.AF_INET, data)),
    st.binary(min_size=16, max_size=16).map(lambda data: socket.inet_ntop(socket.AF_INET6, data)),
)
addresses = st.tuples(hosts, st.integers(1, 65_535))


def texts(max_bytes: int) -> st.SearchStrategy[str]:
    return st.text(letters, min_size=1, max_size=max_bytes).filter(
        lambda text: len(text.encode()) <= max_bytes
    )


records = st.builds(
    m.MemberRecord,
    name=texts(m.MAX_NAME_BYTES),
    address=addresses,
    region=texts(m.MAX_LABEL_BYTES),
    zone=texts(m.MAX_LABEL_BYTES),
    role=st.sampled_from(m.Role),
    incarnation=u32,
    process_id=u32,
    status=st.sampled_from(m.Status),
)
status_updates = st.builds(m.StatusUpdate, u64, u32, st.sampled_from(m.Status))
zone_sums = st.builds(m.ZoneSum, texts(m.MAX_LABEL_BYTES), u32, u32, u32)
updates = st.lists(records | status_updates | zone_sums, max_size=6).map(tuple)
writes = st.tuples(texts(m.MAX_KEY_BYTES), st.none() | st.binary(max_size=60))
changes = st.builds(m.Change, positions, st.lists(writes, max_size=4).map(tuple))
accepted_changes = st.builds(m.AcceptedChange, u32, changes)


@st.composite
def snapshot_parts(draw: st.DrawFn) -> m.SnapshotPart:
    data = draw(st.binary(max_size=900))
    offset = draw(st.integers(0, m.MAX_CONFIGURATION_BYTES - len(data)))
    size = draw(st.integers(offset + len(data), m.MAX_CONFIGURATION_BYTES))
    return m.SnapshotPart(draw(positions), size, draw(u64), offset, data)


MESSAGES: dict[type, st.SearchStrategy] = {
    m.Ping: st.builds(m.Ping, u32, u64, updates),
    m.Ack: st.builds(m.Ack, u32, updates),
    m.PingRequest: st.builds(m.PingRequest, u32, u64, updates),
    m.Nack: st.builds(m.Nack, u32),
    m.Gossip: st.builds(m.Gossip, updates),
    m.SyncRequest: st.builds(m.SyncRequest, u64, st.just(()) | st.tuples(*[u64] * m.SYNC_BUCKETS)),
    m.SyncReply: st.builds(m.SyncReply, st.lists(records, max_size=5).map(tuple), st.booleans()),
    m.Tally: st.builds(m.Tally, texts(m.MAX_LABEL_BYTES), u32, u32),
    m.Fetch: st.builds(m.Fetch, positions),
    m.Changes: st.builds(m.Changes, st.lists(changes, max_size=1).map(tuple)),
    m.SnapshotFetch: st.builds(m.SnapshotFetch, positions, st.integers(0, m.MAX_CONFIGURATION_BYTES)),
    m.SnapshotPart: snapshot_parts(),
    m.Prepare: st.builds(m.Prepare, u32),
    m.Promise: st.builds(m.Promise, u32, positions, u32, st.none() | accepted_changes),
    m.Propose: st.builds(m.Propose, u32, changes),
    m.Accepted: st.builds(m.Accepted, u32, positions),
    m.LeaseRequest: st.builds(m.LeaseRequest, u32, u32),
    m.LeaseGrant: st.builds(m.LeaseGrant, u32, u32),
    m.Rejected: st.builds(m.Rejected, u32),
}
any_message = st.one_of(*MESSAGES.values())


def signed(content: bytes) -> bytes:
    """Return a datagram with a valid tag; ``content`` is header, message type and message."""
    return PREFIX + hmac.digest(KEY, content, "sha256")[:16] + content


def reason_of(datagram: bytes, codec: Codec = CODEC) -> Reason:
    with pytest.raises(CodecError) as caught:
        codec.decode(datagram)
    return caught.value.reason


def test_every_message_type_has_a_strategy():
    assert {schema.type for schema in SCHEMAS} == set(MESSAGES) == set(m.Message.__args__)
    assert len({schema.code for schema in SCHEMAS}) == len(SCHEMAS)


@pytest.mark.parametrize("kind", MESSAGES, ids=lambda kind: kind.__name__)
def test_message_survives_a_round_trip(kind):
    @settings(max_examples=60, deadline=None)
    @given(headers, MESSAGES[kind])
    def check(header, message):
        datagram = CODEC.encode(header, message)
        assert len(datagram) <= m.MAX_DATAGRAM_BYTES
        assert CODEC.decode(datagram) == (header, message)

    check()


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=1_400))
def test_random_bytes_are_rejected(datagram):
    reason_of(datagram)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.sampled_from([schema.code for schema in SCHEMAS]))
def test_random_signed_content_is_a_message_or_a_schema_error(body, code):
    datagram = signed(HEADER_LAYOUT.pack(1, 2, 3, 4, 5, 6, 7, code) + body)
    try:
        header, message = CODEC.decode(datagram)
    except CodecError as error:
        assert error.reason is Reason.SCHEMA
    else:
        assert CODEC.encode(header, message) == datagram


@settings(max_examples=300, deadline=None)
@given(any_message, st.data())
def test_signed_content_with_flipped_bits_is_a_message_or_a_schema_error(message, data):
    content = bytearray(CODEC.encode(HEADER, message)[TAG_END:])
    for _ in range(data.draw(st.integers(1, 3))):
        bit = data.draw(st.integers(0, len(content) * 8 - 1))
        content[bit // 8] ^= 1 << bit % 8
    datagram = signed(bytes(content))
    try:
        header, changed = CODEC.decode(datagram)
    except CodecError as error:
        assert error.reason is Reason.SCHEMA
    else:
        assert CODEC.encode(header, changed) == datagram


@settings(max_examples=100, deadline=None)
@given(any_message, st.data())
def test_datagram_with_a_flipped_bit_is_rejected(message, data):
    datagram = bytearray(CODEC.encode(HEADER, message))
    bit = data.draw(st.integers(0, len(datagram) * 8 - 1))
    datagram[bit // 8] ^= 1 << bit % 8
    assert reason_of(bytes(datagram)) in (Reason.FORM, Reason.VERSION, Reason.AUTHENTICATION)


@settings(max_examples=60, deadline=None)
@given(any_message, st.data())
def test_truncated_and_extended_messages_are_rejected(message, data):
    content = CODEC.encode(HEADER, message)[TAG_END:]
    length = data.draw(st.integers(0, len(content) - 1))
    reason_of(signed(content[:length]))
    assert reason_of(signed(content + b"\0")) is Reason.SCHEMA


def test_datagrams_are_rejected_with_the_expected_reason():
    valid = CODEC.encode(HEADER, m.Nack(1))
    assert reason_of(bytes(m.MAX_DATAGRAM_BYTES + 1)) is Reason.TOO_LONG
    assert reason_of(b"") is Reason.FORM
    assert reason_of(valid[: HEADER_BYTES - 1]) is Reason.FORM
    assert reason_of(b"XX" + valid[2:]) is Reason.FORM
    assert reason_of(valid[:2] + b"\x09" + valid[3:]) is Reason.VERSION
    assert reason_of(valid, Codec(b"another key")) is Reason.AUTHENTICATION
    assert reason_of(signed(HEADER_LAYOUT.pack(1, 2, 3, 4, 5, 6, 7, 255))) is Reason.SCHEMA


def test_nothing_is_parsed_before_authentication(monkeypatch):
    datagram = CODEC.encode(HEADER, m.Nack(1))
    monkeypatch.setattr(Codec, "_read", lambda *_: pytest.fail("parsed before authentication"))
    assert reason_of(datagram, Codec(b"another key")) is Reason.AUTHENTICATION


RECORD = m.MemberRecord("name", ("10.0.0.1", 4_000), "region", "zone", m.Role.PROXY, 1, 2)


@pytest.mark.parametrize(
    "change",
    [
        {"name": ""},
        {"name": "x" * (m.MAX_NAME_BYTES + 1)},
        {"name": "a\nb"},
        {"name": "a\x7fb"},
        {"zone": "\x85"},
        {"region": "r" * (m.MAX_LABEL_BYTES + 1)},
        {"address": ("10.0.0.1", 0)},
        {"address": ("10.0.0.1", 65_536)},
        {"address": ("host.example", 4_000)},
        {"address": ("fe80::1%eth0", 4_000)},
        {"incarnation": 2**32},
        {"process_id": -1},
    ],
    ids=str,
)
def test_invalid_record_is_not_encoded(change):
    values = {field: getattr(RECORD, field) for field in RECORD.__dataclass_fields__} | change
    with pytest.raises(ValueError):
        CODEC.encode(HEADER, m.Gossip((m.MemberRecord(**values),)))


def record_bytes(name=b"n", region=b"r", zone=b"z", address=b"\x0a\0\0\1", port=1, flags=0, kind=16) -> bytes:
    lengths = len(name), len(region), len(zone), len(address)
    fixed = MEMBER_RECORD.pack(kind, flags, 0, 0, *lengths, port)
    return fixed + name + region + zone + address


@pytest.mark.parametrize(
    "fields",
    [
        {"name": b""},
        {"name": b"n" * 65},
        {"name": b"\xff"},
        {"name": b"\xc0\x80"},
        {"zone": b"a\0"},
        {"region": b"r" * 17},
        {"address": b""},
        {"address": b"12345"},
        {"port": 0},
        {"flags": 0x04},
        {"flags": 0x20},
        {"kind": 4},
        {"kind": 18},
    ],
    ids=str,
)
def test_invalid_signed_record_is_rejected(fields):
    header = HEADER_LAYOUT.pack(1, 2, 3, 4, 5, 6, 7, 5)
    assert CODEC.decode(signed(header + b"\1" + record_bytes()))
    assert reason_of(signed(header + b"\1" + record_bytes(**fields))) is Reason.SCHEMA


def test_oversized_message_is_not_encoded():
    with pytest.raises(ValueError):
        CODEC.encode(HEADER, m.Gossip((m.StatusUpdate(1, 1, m.Status.DEAD),) * 100))
    with pytest.raises(ValueError):
        CODEC.encode(HEADER, m.Gossip((m.StatusUpdate(1, 1, m.Status.DEAD),) * 256))
    with pytest.raises(ValueError):
        CODEC.encode(HEADER, m.SyncRequest(0, (1, 2, 3)))


def test_change_size_is_limited():
    max_value_bytes = m.MAX_CHANGE_BYTES - change_size(m.Change(m.Position(), (("k", b""),)))
    fits = m.Change(m.Position(1, 1), (("k", b"v" * max_value_bytes),))
    assert change_size(fits) == m.MAX_CHANGE_BYTES
    promise = m.Promise(1, m.Position(1, 1), 2, m.AcceptedChange(1, fits))
    for message in (m.Propose(1, fits), promise, m.Changes((fits,))):
        assert CODEC.decode(CODEC.encode(HEADER, message))[1] == message
    with pytest.raises(ValueError):
        change_size(m.Change(m.Position(1, 1), (("k", b"v" * (max_value_bytes + 1)),)))
    content = CODEC.encode(HEADER, m.Propose(1, fits))[TAG_END:]
    length_and_key = max_value_bytes.to_bytes(2, "big") + b"k"
    longer_length_and_key = (max_value_bytes + 1).to_bytes(2, "big") + b"k"
    longer = content.replace(length_and_key, longer_length_and_key) + b"v"
    assert reason_of(signed(longer)) is Reason.SCHEMA


@given(updates)
def test_update_size_is_the_encoded_size(some_updates):
    empty = len(CODEC.encode(HEADER, m.Gossip()))
    assert len(CODEC.encode(HEADER, m.Gossip(some_updates))) == empty + sum(map(update_size, some_updates))


configurations = st.dictionaries(texts(m.MAX_KEY_BYTES), st.binary(max_size=100), max_size=10)


@given(configurations, st.randoms())
def test_configuration_encoding_is_independent_of_the_order(configuration, random):
    items = list(configuration.items())
    random.shuffle(items)
    data = encode_configuration(items)
    assert data == encode_configuration(configuration.items())
    assert decode_configuration(data) == configuration


@given(st.binary(max_size=200))
def test_decoded_configuration_has_exactly_one_encoding(data):
    try:
        configuration = decode_configuration(data)
    except CodecError as error:
        assert error.reason is Reason.SCHEMA
    else:
        assert encode_configuration(configuration.items()) == data


def test_configuration_size_is_limited():
    items = [(f"{number:04}", bytes(1_000)) for number in range(300)]
    with pytest.raises(ValueError):
        encode_configuration(items)
    with pytest.raises(CodecError):
        decode_configuration(bytes(m.MAX_CONFIGURATION_BYTES + 1))
    twice = encode_configuration([("a", b"1")]) * 2
    with pytest.raises(CodecError):
        decode_configuration(twice)


def test_encoding_and_decoding_takes_less_than_1_ms():
    """Guards against a slowdown by an order of magnitude; the best of several runs counts."""
    message = m.Ping(1, 2, tuple(m.StatusUpdate(number, 1, m.Status.SUSPECT) for number in range(10)))
    best = min(timeit.repeat(lambda: CODEC.decode(CODEC.encode(HEADER, message)), number=200, repeat=7))
    assert best / 200 < 0.001
