"""The configuration of one member: which changes are applied or rejected, the log and the checkpoints."""

from __future__ import annotations

from collections.abc import Mapping

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saltcourse.gossip.codec import change_size, encode_configuration
from saltcourse.gossip.configuration import (
    CHECKPOINT_INTERVAL,
    CHECKPOINTS_KEPT,
    MAX_LOG_CHANGES,
    ApplyOutcome,
    Checkpoint,
    FleetConfiguration,
    PositionRelation,
)
from saltcourse.gossip.messages import (
    MAX_CHANGE_BYTES,
    MAX_CONFIGURATION_BYTES,
    Change,
    Position,
    ReplicaState,
    Write,
)

HIGHEST = 2**32 - 1


def change(epoch: int, version: int, *writes: Write) -> Change:
    return Change(Position(epoch, version), writes or ((f"key{version % 10}", b"%d" % version),))


def configuration_at(version: int, epoch: int = 1) -> FleetConfiguration:
    configuration = FleetConfiguration()
    for number in range(1, version + 1):
        assert configuration.apply(change(epoch, number)) is ApplyOutcome.APPLIED
    return configuration


def state_of(configuration: FleetConfiguration) -> tuple[Position, dict[str, bytes], dict[str, int]]:
    return configuration.position, dict(configuration), configuration.metrics()


# ---- changes -----------------------------------------------------------------------------------------


def test_a_change_is_applied_completely_and_its_keys_are_reported() -> None:
    configuration = FleetConfiguration()
    configuration.apply(change(1, 1, ("b", b"1"), ("a", b"2")))
    assert configuration.take_changed_keys() == ("a", "b")
    configuration.apply(change(1, 2, ("b", None), ("c", b""), ("absent", None)))
    assert isinstance(configuration, Mapping)
    assert dict(configuration) == {"a": b"2", "c": b""} and len(configuration) == 2
    assert configuration["c"] == b"" and "b" not in configuration
    assert configuration.take_changed_keys() == ("absent", "b", "c")
    assert configuration.take_changed_keys() == ()


@pytest.mark.parametrize(
    ("position", "outcome"),
    [
        (Position(3, 11), ApplyOutcome.APPLIED),
        (Position(4, 11), ApplyOutcome.APPLIED),  # by the next publisher
        (Position(HIGHEST, 11), ApplyOutcome.APPLIED),
        (Position(3, 12), ApplyOutcome.GAP),
        (Position(HIGHEST, HIGHEST), ApplyOutcome.GAP),
        (Position(2, 11), ApplyOutcome.STALE_EPOCH),
        (Position(0, HIGHEST), ApplyOutcome.STALE_EPOCH),
        (Position(3, 10), ApplyOutcome.DUPLICATE),
        (Position(3, 1), ApplyOutcome.DUPLICATE),
        (Position(0, 0), ApplyOutcome.DUPLICATE),
        (Position(4, 10), ApplyOutcome.CONFLICT),
        (Position(2, 10), ApplyOutcome.CONFLICT),
        (Position(2, 4), ApplyOutcome.CONFLICT),
        (Position(HIGHEST, 1), ApplyOutcome.CONFLICT),
        (Position(1, 0), ApplyOutcome.CONFLICT),
    ],
)
def test_only_the_next_version_of_the_same_or_a_newer_epoch_is_applied(
    position: Position, outcome: ApplyOutcome
) -> None:
    configuration = configuration_at(10, epoch=3)
    before = state_of(configuration)
    assert configuration.apply(Change(position, (("key", b"new"),))) is outcome
    if outcome is ApplyOutcome.APPLIED:
        assert configuration.position == position and configuration["key"] == b"new"
    else:
        assert state_of(configuration) == before


def test_a_position_older_than_the_log_is_compared_by_its_epoch() -> None:
    configuration = configuration_at(300, epoch=3)
    assert configuration.compare(Position(3, 2)) is PositionRelation.KNOWN
    assert configuration.compare(Position(1, 2)) is PositionRelation.KNOWN
    assert configuration.compare(Position(4, 2)) is PositionRelation.CONFLICT


def test_a_change_that_is_too_long_or_not_encodable_is_rejected() -> None:
    configuration = configuration_at(1)
    before = state_of(configuration)
    for writes in ((("k", bytes(MAX_CHANGE_BYTES)),), (("k" * 129, b""),), (("", b""),)):
        assert configuration.apply(Change(Position(1, 2), writes)) is ApplyOutcome.TOO_LARGE
    assert state_of(configuration) == before


def test_the_configuration_may_grow_exactly_to_its_maximum_encoded_size() -> None:
    configuration = FleetConfiguration()
    version = 0
    while len(encode_configuration(configuration.items())) + 903 <= MAX_CONFIGURATION_BYTES:
        version += 1
        key = f"k{version:05}"
        assert configuration.apply(change(1, version, (key, bytes(903 - 3 - 6)))) is ApplyOutcome.APPLIED
    room = MAX_CONFIGURATION_BYTES - len(encode_configuration(configuration.items()))
    next_version = version + 1
    too_large = change(1, next_version, ("last", bytes(room - 3 - 4 + 1)))
    assert configuration.apply(too_large) is ApplyOutcome.TOO_LARGE
    assert configuration.apply(change(1, next_version, ("last", bytes(room - 3 - 4)))) is ApplyOutcome.APPLIED
    assert len(encode_configuration(configuration.items())) == MAX_CONFIGURATION_BYTES
    # A full configuration still accepts changes that make it smaller.
    replaced = change(1, next_version + 1, ("k00001", None), ("k99999", bytes(800)))
    assert configuration.apply(replaced) is ApplyOutcome.APPLIED


# ---- log and checkpoints -----------------------------------------------------------------------------


def test_the_log_is_bounded_and_reaches_back_to_the_older_checkpoint() -> None:
    configuration = FleetConfiguration()
    for version in range(1, 3 * MAX_LOG_CHANGES + 7):
        configuration.apply(change(1, version))
        metrics = configuration.metrics()
        assert metrics["log_changes"] == min(version, MAX_LOG_CHANGES)
        older = max((version // CHECKPOINT_INTERVAL - 1) * CHECKPOINT_INTERVAL, 0)
        changes = configuration.changes_after(older)
        assert changes is not None
        assert [change.position.version for change in changes] == list(range(older + 1, version + 1))
        if version < CHECKPOINT_INTERVAL:
            assert configuration.newest_checkpoint is None
    first_kept = configuration.position.version - MAX_LOG_CHANGES
    assert configuration.changes_after(first_kept) is not None
    assert configuration.changes_after(first_kept - 1) is None
    assert configuration.changes_after(configuration.position.version) == []
    assert configuration.changes_after(HIGHEST) == []


def test_the_newest_two_checkpoints_are_kept() -> None:
    configuration = configuration_at(5 * CHECKPOINT_INTERVAL + 3)
    for number in range(1, 6):
        position = Position(1, number * CHECKPOINT_INTERVAL)
        assert (configuration.checkpoint_at(position) is not None) == (number > 5 - CHECKPOINTS_KEPT)
    newest = configuration.newest_checkpoint
    assert newest is not None and newest.position == Position(1, 5 * CHECKPOINT_INTERVAL)


def test_checkpoints_are_equal_whether_reached_by_changes_snapshot_or_restore() -> None:
    built_by_changes = configuration_at(2 * CHECKPOINT_INTERVAL)
    first = built_by_changes.checkpoint_at(Position(1, CHECKPOINT_INTERVAL))
    assert first is not None
    built_by_snapshot = FleetConfiguration()
    assert built_by_snapshot.load_checkpoint(first) is ApplyOutcome.APPLIED
    assert built_by_snapshot.newest_checkpoint == first  # the member can serve it
    for version in range(CHECKPOINT_INTERVAL + 1, 2 * CHECKPOINT_INTERVAL + 1):
        built_by_snapshot.apply(change(1, version))
    assert built_by_snapshot.newest_checkpoint == built_by_changes.newest_checkpoint
    items = tuple(reversed(list(built_by_changes.items())))
    built_by_restore = FleetConfiguration()
    built_by_restore.restore(ReplicaState(committed=built_by_changes.position, configuration=items))
    assert built_by_restore.newest_checkpoint == built_by_changes.newest_checkpoint


def test_a_checkpoint_replaces_the_configuration_and_restarts_the_log() -> None:
    source = configuration_at(CHECKPOINT_INTERVAL)
    checkpoint = source.newest_checkpoint
    assert checkpoint is not None
    configuration = FleetConfiguration()
    configuration.apply(change(1, 1, ("gone", b"x"), ("key1", b"61")))
    configuration.take_changed_keys()
    assert configuration.load_checkpoint(checkpoint) is ApplyOutcome.APPLIED
    assert dict(configuration) == dict(source) and configuration.position == source.position
    assert set(configuration.take_changed_keys()) == {"gone", *source} - {"key1"}  # the value is 61 in both
    assert configuration.changes_after(1) is None
    assert configuration.changes_after(CHECKPOINT_INTERVAL) == []
    assert configuration.apply(change(1, CHECKPOINT_INTERVAL + 1)) is ApplyOutcome.APPLIED


@pytest.mark.parametrize(
    ("position", "outcome"),
    [
        (Position(3, 10), ApplyOutcome.DUPLICATE),
        (Position(3, 9), ApplyOutcome.DUPLICATE),
        (Position(2, 64), ApplyOutcome.STALE_EPOCH),
        (Position(4, 10), ApplyOutcome.CONFLICT),
        (Position(4, 9), ApplyOutcome.CONFLICT),
        (Position(HIGHEST, HIGHEST), ApplyOutcome.APPLIED),
    ],
)
def test_only_a_checkpoint_of_a_later_position_is_loaded(position: Position, outcome: ApplyOutcome) -> None:
    configuration = configuration_at(10, epoch=3)
    before = state_of(configuration)
    checkpoint = Checkpoint.create(position, encode_configuration([("a", b"1")]))
    assert configuration.load_checkpoint(checkpoint) is outcome
    assert (state_of(configuration) == before) == (outcome is not ApplyOutcome.APPLIED)


def test_a_checkpoint_that_is_not_canonical_is_rejected() -> None:
    configuration = configuration_at(10)
    before = state_of(configuration)
    item = encode_configuration([("b", b"1")])
    unsorted = item + encode_configuration([("a", b"1")])
    for data in (item[:-1], unsorted, item + item, b"\xff" * 50, bytes(MAX_CONFIGURATION_BYTES + 1)):
        assert configuration.load_checkpoint(Checkpoint.create(Position(1, 64), data)) is ApplyOutcome.INVALID
        assert state_of(configuration) == before


def test_a_member_at_the_highest_position_rejects_all_changes() -> None:
    configuration = FleetConfiguration()
    configuration.restore(ReplicaState(committed=Position(HIGHEST, HIGHEST)))
    assert configuration.apply(change(HIGHEST, HIGHEST)) is ApplyOutcome.DUPLICATE
    assert configuration.apply(change(HIGHEST, HIGHEST - 1)) is ApplyOutcome.DUPLICATE
    assert configuration.apply(change(1, HIGHEST)) is ApplyOutcome.CONFLICT
    # A version that needs more than 32 bits is invalid.
    assert configuration.apply(change(HIGHEST, HIGHEST + 1)) is ApplyOutcome.TOO_LARGE


# ---- restore -----------------------------------------------------------------------------------------


def test_a_restored_member_has_a_checkpoint_and_applies_the_next_change() -> None:
    items = (("a", b"1"), ("b", b"2"))
    configuration = FleetConfiguration()
    configuration.restore(ReplicaState(committed=Position(5, 100), configuration=items))
    assert configuration.position == Position(5, 100) and dict(configuration) == dict(items)
    assert configuration.take_changed_keys() == ("a", "b")
    checkpoint = configuration.newest_checkpoint
    assert checkpoint is not None and checkpoint.position == Position(5, 100)
    assert configuration.changes_after(99) is None and configuration.changes_after(100) == []
    assert configuration.apply(change(5, 101)) is ApplyOutcome.APPLIED
    assert configuration.changes_after(100) == [change(5, 101)]


def test_an_empty_or_older_stored_state_is_not_restored() -> None:
    configuration = FleetConfiguration()
    configuration.restore(ReplicaState(promised=7))
    assert configuration.position == Position() and configuration.newest_checkpoint is None
    assert configuration.changes_after(0) == []
    configuration = configuration_at(3)
    before = state_of(configuration)
    configuration.restore(ReplicaState(committed=Position(1, 2), configuration=(("a", b"1"),)))
    assert state_of(configuration) == before


# ---- changes in any order ----------------------------------------------------------------------------

KEYS = st.sampled_from(["a", "b", "c", "d"])
WRITES = st.lists(st.tuples(KEYS, st.none() | st.binary(max_size=4)), max_size=3).map(tuple)


@settings(max_examples=60, deadline=None)
@given(
    sequence=st.lists(st.tuples(st.booleans(), WRITES), min_size=1, max_size=100),
    arrivals=st.lists(st.integers(0, 119), max_size=400),
    unrelated=st.lists(st.builds(Position, st.integers(0, HIGHEST), st.integers(0, HIGHEST)), max_size=20),
)
def test_the_state_matches_the_position_whatever_the_order_of_arrival(
    sequence: list[tuple[bool, tuple[Write, ...]]], arrivals: list[int], unrelated: list[Position]
) -> None:
    epoch = 1
    changes: list[Change] = []
    states: dict[Position, dict[str, bytes]] = {Position(): {}}
    values: dict[str, bytes] = {}
    for new_epoch, writes in sequence:
        epoch += new_epoch
        changes.append(Change(Position(epoch, len(changes) + 1), writes))
        for key, value in writes:
            values.pop(key, None)
            if value is not None:
                values[key] = value
        states[changes[-1].position] = dict(values)
    configuration = FleetConfiguration()
    for number, arrival in enumerate(arrivals):
        before = configuration.position
        offset = arrival if arrival >= 100 else before.version + arrival % 5 - 1
        if 0 <= offset < len(changes):
            outcome = configuration.apply(changes[offset])
            assert (outcome is ApplyOutcome.APPLIED) == (offset == before.version)
        if number < len(unrelated):
            configuration.compare(unrelated[number])
        assert configuration.position.version == before.version + (configuration.position != before)
        assert dict(configuration) == states[configuration.position]
    log = configuration.changes_after(0)
    assert log == changes[: configuration.position.version]
    assert all(change_size(change) <= MAX_CHANGE_BYTES for change in log)
