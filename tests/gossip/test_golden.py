"""Bytes and histories kept from commit bafdb7c: the present code reads, writes and does exactly the same.

The story: members of two versions run side by side during a rollout, and a voter's file is read by the next
version. A change of one byte would cut the fleet in two or make a voter forget what it has promised.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import pytest

from saltcourse.gossip.codec import SCHEMAS, Codec
from saltcourse.gossip.store import ReplicaStore
from tests.gossip.golden import (
    HEADER,
    HISTORIES,
    HISTORY_SEEDS,
    KEY,
    MESSAGES,
    REPLICA_MEMBER,
    REPLICA_STATE,
)

FIXTURES = Path(__file__).parent / "fixtures"
DATAGRAMS: dict[str, str] = json.loads((FIXTURES / "datagrams.json").read_text())
DIGESTS: dict[str, dict[str, str]] = json.loads((FIXTURES / "emulator_digests.json").read_text())


def test_there_is_a_datagram_of_each_kind() -> None:
    assert {type(message) for message in MESSAGES.values()} == {schema.type for schema in SCHEMAS}
    assert set(DATAGRAMS) == set(MESSAGES)


@pytest.mark.parametrize("name", MESSAGES)
def test_a_datagram_has_the_bytes_that_it_had(name: str) -> None:
    datagram = bytes.fromhex(DATAGRAMS[name])
    assert Codec(KEY).encode(HEADER, MESSAGES[name]).hex() == datagram.hex()
    assert Codec(KEY).decode(datagram) == (HEADER, MESSAGES[name])


def test_a_voters_file_of_the_earlier_version_is_read(tmp_path: Path) -> None:
    file = tmp_path / "replica"
    shutil.copyfile(FIXTURES / "replica-bafdb7c.sqlite", file)
    store = ReplicaStore(file, REPLICA_MEMBER)
    try:
        assert store.load() == REPLICA_STATE
    finally:
        store.close()


@pytest.mark.parametrize("seed", HISTORY_SEEDS)
@pytest.mark.parametrize("emulator", HISTORIES)
def test_an_emulator_replays_the_history_that_it_had(emulator: str, seed: int) -> None:
    assert HISTORIES[emulator](seed) == DIGESTS[emulator][str(seed)]
