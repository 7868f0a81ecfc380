"""Tables and replicas: the order of messages does not matter, and the size of a replica is limited."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from saltcourse.shared_state.messages import Connections, PairAdded, PairRemoved, Reset, TableRecord
from saltcourse.shared_state.table import MAX_ENTRIES, LocalTable, Replica

RECORDS: st.SearchStrategy[TableRecord] = st.one_of(
    st.builds(PairAdded, st.sampled_from(["srv1grp1", "srv1grp2", "srv2grp1"])),
    st.builds(PairRemoved, st.sampled_from(["srv1grp1", "srv1grp2", "srv2grp1"])),
    st.builds(Connections, st.sampled_from(["srv1", "srv2"]), st.integers(0, 3)),
    st.just(Reset()),
)


@given(st.lists(RECORDS, max_size=12), st.randoms(use_true_random=False))
def test_the_order_of_messages_does_not_change_the_replica(
    records: list[TableRecord], random_source: object
) -> None:
    numbered = list(enumerate(records))
    shuffled = list(numbered)
    random_source.shuffle(shuffled)  # type: ignore[attr-defined]
    in_order, out_of_order = Replica(), Replica()
    for sequence, record in numbered:
        in_order.apply(sequence, record)
    for sequence, record in shuffled:
        out_of_order.apply(sequence, record)
    assert (in_order.entries, in_order.digest) == (out_of_order.entries, out_of_order.digest)


def test_changes_and_snapshots_give_replicas_with_the_digest_of_the_table() -> None:
    table, by_changes, by_snapshot = LocalTable(), Replica(), Replica()
    table.set_pair("srv1grp1", True)
    table.set_connections("srv1", 5)
    changes = table.pop_changes(lambda key: True)
    table.set_pair("srv1grp1", False)
    changes += table.pop_changes(lambda key: True)
    for sequence, record in enumerate(changes):
        by_changes.apply(sequence, record)
    for record in table.snapshot():
        by_snapshot.apply(len(changes), record)
    assert by_changes.entries == by_snapshot.entries == table.entries == {"srv1": 5}
    assert by_changes.digest == by_snapshot.digest == table.digest


def test_only_changes_of_the_included_keys_are_announced() -> None:
    table = LocalTable()
    table.set_pair("srv1grp1", True)
    table.set_connections("srv1", 5)
    assert table.pop_changes(lambda key: key != "srv1") == [PairAdded("srv1grp1")]
    assert table.pop_changes(lambda key: True) == [Connections("srv1", 5)]


def test_a_full_replica_ignores_new_entries() -> None:
    # A peer that keeps sending new entries must not exhaust the memory of this process.
    replica = Replica()
    for number in range(MAX_ENTRIES + 10):
        replica.apply(number, Connections(f"{number:04d}", 1))
    assert len(replica.entries) == MAX_ENTRIES and replica.is_full()
    assert replica.apply(MAX_ENTRIES + 10, Connections("0000", 0)) == ["0000"]
    assert not replica.is_full()
