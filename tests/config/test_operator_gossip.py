"""The section ``gossip`` of the operator's file: values, defaults, and errors with line and key."""

from __future__ import annotations

from pathlib import Path

import pytest

from saltcourse.config import ConfigError
from saltcourse.config.operator import read_operator
from saltcourse.config.operator_gossip import GossipSettings
from saltcourse.gossip.messages import Role
from saltcourse.gossip.settings import Timing
from tests.config.operator_files import GOSSIP_SECTION, write_operator_file


def gossip(file: Path, me: str = "p") -> GossipSettings:
    section = read_operator(file, me).gossip
    assert section is not None
    return section


def test_a_valid_section_is_read_and_an_absent_section_is_none(tmp_path: Path) -> None:
    settings = gossip(write_operator_file(tmp_path, GOSSIP_SECTION))
    assert (settings.own_name, settings.region, settings.zone) == ("c0", "north", "n1")
    assert settings.listen == ("0.0.0.0", 7500) and settings.advertise == ("10.0.0.1", 7500)
    assert settings.role is Role.CONTROL and settings.is_voter
    assert settings.seeds == (("10.0.0.2", 7500),)  # its own address is removed
    assert settings.voters[2].address == ("2001:db8::3", 7500)  # in canonical form
    assert settings.key == b"\xab" * 32 and settings.store_file == tmp_path / "c0.store"
    assert settings.bytes_per_s == 250_000  # default of a control member
    assert settings.timing == Timing(probe_interval=2.0)
    assert read_operator(write_operator_file(tmp_path, "fleet {}"), "p").gossip is None


def test_absent_keys_have_defaults(tmp_path: Path) -> None:
    text = GOSSIP_SECTION.replace('  me: "c0"\n', "").replace("  role: CONTROL\n", "")
    text = text.replace('  advertise: "10.0.0.1:7500"\n', "").replace("0.0.0.0", "10.0.0.9")
    settings = gossip(write_operator_file(tmp_path, text), "proxy-7")
    assert settings.own_name == "proxy-7" and settings.role is Role.PROXY and not settings.is_voter
    assert settings.advertise == settings.listen == ("10.0.0.9", 7500)
    assert settings.bytes_per_s == 21_000
    text = text.replace("probe_interval_s: 2", "bytes_per_s: 5000")
    assert gossip(write_operator_file(tmp_path, text), "proxy-7").bytes_per_s == 5_000


@pytest.mark.parametrize(
    "old, new, line, message",
    [
        ("  me:", "  mi:", 2, 'no field named "mi"'),
        ('me: "c0"', 'me: "c0\\n"', 2, "gossip.me: must be 1 to 64 bytes"),
        ('me: "c0"', f'me: "{"x" * 65}"', 2, "gossip.me: must be 1 to 64 bytes"),
        ("0.0.0.0:7500", "somewhere:7500", 3, "gossip.listen: must be ADDRESS:PORT"),
        ("0.0.0.0:7500", "0.0.0.0", 3, "gossip.listen: must be ADDRESS:PORT"),
        ("0.0.0.0:7500", "[fe80::1%lo]:7500", 3, "gossip.listen: must be an IP address without a scope"),
        (
            '  advertise: "10.0.0.1:7500"\n',
            "",
            1,
            "gossip.advertise: must be an address that other members can reach",
        ),
        ('advertise: "10.0.0.1:7500"', 'advertise: "10.0.0.7:7500"', 4, "not the address of voter 'c0'"),
        ('region: "north"', 'region: ""', 5, "gossip.region: must be 1 to 16 bytes"),
        ('zone: "n1"', f'zone: "{"z" * 17}"', 5, "gossip.zone: must be 1 to 16 bytes"),
        ("role: CONTROL", "role: BOSS", 6, "BOSS"),
        ("role: CONTROL", "role: PROXY", 6, "gossip.role: must be CONTROL, because 'c0' is a voter"),
        ('seed: "10.0.0.2:7500"', 'seed: "10.0.0.2:0"', 8, r"gossip.seed\[1\]: must be ADDRESS:PORT"),
        ('name: "c1"', 'name: "c0"', 10, r"gossip.voter\[1\].name: duplicate voter name 'c0'"),
        (
            'name: "c1" address: "10.0.0.2:7500"',
            'name: "c1" address: "10.0.0.1:7500"',
            10,
            "duplicate voter address 10.0.0.1:7500",
        ),
        ('name: "c2"', 'name: ""', 11, r"gossip.voter\[2\].name: must be 1 to 64 bytes"),
        ('"key"', '"nokey"', 12, "gossip.key_file: .*nokey: No such file"),
        (
            '  store_file: "c0.store"\n',
            "",
            1,
            "gossip.store_file: missing, but required because 'c0' is a voter",
        ),
        ('"c0.store"', '"nowhere/c0.store"', 13, "gossip.store_file: directory .*nowhere does not exist"),
        (
            "probe_interval_s: 2",
            "probe_interval_s: 0",
            14,
            "gossip.probe_interval_s: must be from 0.05 to 60",
        ),
        (
            "probe_interval_s: 2",
            "probe_timeout_s: 1",
            14,
            "gossip.probe_timeout_s: must be less than probe_interval_s",
        ),
        ("probe_interval_s: 2", "stale_after_s: nan", 14, "gossip.stale_after_s: must be from"),
        (
            "probe_interval_s: 2",
            "heartbeat_interval_s: 6",
            1,
            "gossip.takeover_after_s: must be more than heartbeat",
        ),
        ("probe_interval_s: 2", "bytes_per_s: 100", 14, "gossip.bytes_per_s: must be from 2000"),
    ],
)
def test_errors_name_the_line_and_the_key(
    old: str, new: str, line: int, message: str, tmp_path: Path
) -> None:
    assert GOSSIP_SECTION.count(old) >= 1
    file = write_operator_file(tmp_path, GOSSIP_SECTION.replace(old, new, 1))
    with pytest.raises(ConfigError, match=rf"operator\.txtpb:{line}: .*{message}"):
        read_operator(file, "p")


def test_a_section_without_voters_is_rejected(tmp_path: Path) -> None:
    text = "\n".join(line for line in GOSSIP_SECTION.splitlines() if "voter {" not in line)
    with pytest.raises(
        ConfigError, match=r"operator\.txtpb:1: gossip.voter: must have from 1 to 9 voters, not 0"
    ):
        read_operator(write_operator_file(tmp_path, text), "p")


@pytest.mark.parametrize(
    "keys, mode, message",
    [
        ("ab" * 32, 0o640, "accessible to its group or to others"),
        ("abcd", 0o600, "at least 16 bytes"),
        ("", 0o600, "one key, not 0"),
        ("xy" * 32, 0o600, "hexadecimal"),
        ("ab" * 32 + "\n" + "cd" * 32, 0o600, "one key, not 2"),
    ],
)
def test_invalid_keys_are_rejected(keys: str, mode: int, message: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=rf":12: gossip.key_file: .*{message}"):
        read_operator(write_operator_file(tmp_path, GOSSIP_SECTION, keys=keys, mode=mode), "p")
