"""The operator's file: valid sections, and errors that name the line and the path of the key."""

from __future__ import annotations

from pathlib import Path

import pytest

from saltcourse.config import ConfigError
from saltcourse.config.operator import read_operator
from saltcourse.config.operator_address_failover import AddressFailoverSettings
from tests.config.operator_files import ADDRESS_FAILOVER_SECTION, write_operator_file


def address_failover(file: Path) -> AddressFailoverSettings:
    section = read_operator(file, "p").address_failover
    assert section is not None
    return section


def test_a_valid_file_is_read_and_an_empty_file_enables_nothing(tmp_path: Path) -> None:
    settings = address_failover(write_operator_file(tmp_path))
    assert settings.addresses["w"] == ("::1", 7001) and settings.timing.renewal_interval == pytest.approx(0.1)
    assert not settings.is_witness
    assert settings.bgp is not None and settings.bgp.hold_time == 3 and settings.store_file is None
    assert read_operator(write_operator_file(tmp_path, "# nothing\n"), "p").address_failover is None
    fleet = read_operator(write_operator_file(tmp_path, "fleet { term_s: 3 counts: true }"), "p").shared_state
    assert fleet is not None and (fleet.lease_term, fleet.clock_drift, fleet.share_connection_counts) == (
        3,
        0.01,
        True,
    )
    assert (
        read_operator(Path(__file__).parents[2] / "deploy" / "operator.txtpb", "p").address_failover is None
    )


@pytest.mark.parametrize(
    "old, new, line, message",
    [
        ("  me:", "  my:", 2, 'no field named "my"'),
        ('me: "a"', "me: 3", 2, "3"),
        ('me: "a"', 'me: "z"', 2, "membership.me: 'z' is not the name of a member"),
        ('"192.0.2.7"', '"somewhere"', 3, "membership.service_address: must be an IP address"),
        ('name: "b"', 'name: "a"', 6, r"membership.member\[1\].name: duplicate member name 'a'"),
        (
            "127.0.0.2:7001",
            "127.0.0.1:7001",
            7,
            r"membership.member\[1\].address: '127.0.0.1:7001' is also the address of 'a'",
        ),
        ("127.0.0.2:7001", "proxy-b:7001", 7, r"membership.member\[1\].address: must be ADDRESS:PORT"),
        ("priority: 2", "priority: -2", 4, "-2"),
        ("lease_s: 0.5", "lease_s: 90", 11, "from 0.2 to 30, not 90"),
        ("lease_s: 0.5", "lease_s: 0.5 renew_s: 0.4", 11, "membership.timing.renew_s: must be .*half"),
        ('"key"', '"nokey"', 10, "membership.key_file: .*nokey: No such file"),
        ("asn: 64512 p", "asn: 0 p", 13, "membership.bgp.asn: must be from 1"),
        ('next_hop: "10.0.0.1"', 'next_hop: "::1"', 14, "membership.bgp.next_hop: must be an IPv4 address"),
        ("  bgp {", "  command { }\n  bgp {", 12, "membership.command: must not be set together with bgp"),
        ("witness: true", "witness: yes", 9, "yes"),
    ],
)
def test_errors_name_the_line_and_the_key(
    old: str, new: str, line: int, message: str, tmp_path: Path
) -> None:
    assert ADDRESS_FAILOVER_SECTION.count(old) >= 1
    file = write_operator_file(tmp_path, ADDRESS_FAILOVER_SECTION.replace(old, new, 1))
    with pytest.raises(ConfigError, match=rf"operator\.txtpb:{line}: .*{message}"):
        read_operator(file, "p")


@pytest.mark.parametrize(
    "text, message",
    [
        ("term_s: 0", "fleet.term_s: must be from 1 to 300"),
        ("drift: 0.5", "fleet.drift: must be from 0 to 0.05"),
        ("probes_per_s: 0", "fleet.probes_per_s: must be above 0"),
        ("term_s: nan", "fleet.term_s"),
        ("probes: 3", 'no field named "probes"'),
    ],
)
def test_invalid_settings_of_shared_state_are_rejected(text: str, message: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=rf":2: .*{message}"):
        read_operator(write_operator_file(tmp_path, "fleet {\n  " + text + "\n}\n"), "p")


@pytest.mark.parametrize(
    "keys, mode, message",
    [
        ("ab" * 32, 0o640, "accessible to its group or to others"),
        ("abcd", 0o600, "at least 16 bytes"),
        ("", 0o600, "not 0"),
        ("xy" * 32, 0o600, "hexadecimal"),
        (("ab" * 32 + "\n") * 2, 0o600, "duplicate key"),
    ],
)
def test_invalid_keys_are_rejected(keys: str, mode: int, message: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=rf":10: membership.key_file: .*{message}"):
        read_operator(write_operator_file(tmp_path, keys=keys, mode=mode), "p")
