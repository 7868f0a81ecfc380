"""Record files: encoding, decoding and truncated lines."""

from __future__ import annotations

from pathlib import Path

import pytest

from saltcourse.emulator.scale.records import (
    ConfigurationSeen,
    Lifecycle,
    Load,
    Record,
    RecordError,
    decode,
    encode,
    read_records,
)


def test_records_are_read_back_without_a_truncated_last_line(tmp_path: Path) -> None:
    """A worker is killed while it writes, so its last line is incomplete. All complete records are read."""
    records: list[Record] = [
        Load(1.0, 3, 10, 20, 0.5),
        ConfigurationSeen(2.0, 1, 4, 5, 6, [7], []),
        Lifecycle(0.0, -1, "cut"),
    ]
    path = tmp_path / "records"
    path.write_text("".join(encode(record) for record in records) + '["Load", 1')
    assert list(read_records([path])) == records


@pytest.mark.parametrize(
    "line", ["", "{}", "[]", '["Load"]', '["Nothing", 1]', "[1, 2]", '["Load", 1, 2, 3, 4, 5, 6]']
)
def test_a_line_that_is_not_a_record_is_rejected(line: str) -> None:
    """A record file is corrupt or from another program. No invalid line may be decoded as a record."""
    with pytest.raises(RecordError):
        decode(line + "\n")
