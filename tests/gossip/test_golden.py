"""Compatibility tests against datagrams, a replica file and emulator runs recorded with commit bafdb7c.

During a rollout, members of two versions communicate, and a voter's replica file is read by the next version.
A change of a single byte would split the fleet or make a voter lose its promises.
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


def test_every_message_type_has_a_recorded_datagram() -> None:
    assert {type(message) for message in MESSAGES.values()} == {schema.type for schema in SCHEMAS}
    assert set(DATAGRAMS) == set(MESSAGES)


@pytest.mark.parametrize("name", MESSAGES)
def test_datagram_has_the_recorded_bytes(name: str) -> None:
    datagram = bytes.fromhex(DATAGRAMS[name])
    assert Codec(KEY).encode(HEADER, MESSAGES[name]).hex() == datagram.hex()
    assert Codec(KEY).decode(datagram) == (HEADER, MESSAGES[name])


def test_recorded_replica_file_is_read(tmp_path: Path) -> None:
    file = tmp_path / "replica"
    shutil.copyfile(FIXTURES / "replica-bafdb7c.sqlite", file)
    store = ReplicaStore(file, REPLICA_MEMBER)
    try:
        assert store.load() == REPLICA_STATE
    finally:
        store.close()


@pytest.mark.parametrize("seed", HISTORY_SEEDS)
@pytest.mark.parametrize("emulator", HISTORIES)
def test_emulator_replays_the_recorded_history(emulator: str, seed: int) -> None:
    assert HISTORIES[emulator](seed) == DIGESTS[emulator][str(seed)]
