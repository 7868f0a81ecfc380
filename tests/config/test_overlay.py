"""Values of the fleet's configuration that override a proxy's own file."""

from __future__ import annotations

from pathlib import Path

import pytest
from structlog.testing import capture_logs

from saltcourse.config import Config, ConfigError, load_config
from saltcourse.config.overlay import DISCOVERY_KEY, SOCKETS_KEY, ConfigurationSource
from tests.config.operator_files import write_proxy_config


def proxy_config(folder: Path) -> Config:
    return load_config(write_proxy_config(folder, peers=True), {})


def test_values_override_the_file_until_their_keys_are_deleted(tmp_path: Path) -> None:
    own = proxy_config(tmp_path)
    source = ConfigurationSource(own, lambda: own)
    assert source.overlay.update({DISCOVERY_KEY: b"10.0.0.7:80", SOCKETS_KEY: b"128", "x": b"\xff"}, 1)
    assert source.current().discovery == ("10.0.0.7", 80) and source.current().limits.sockets == 128
    assert source.reread() == source.current()  # SIGHUP rereads the file and keeps the overlay
    assert not source.overlay.update({DISCOVERY_KEY: b"10.0.0.7:80", SOCKETS_KEY: b"128", "x": b"2"}, 2)
    assert source.overlay.update({SOCKETS_KEY: b"128"}, 3)
    assert source.current().discovery == own.discovery and source.current().limits.sockets == 128
    assert source.overlay.update({}, 4) and source.current() == own


@pytest.mark.parametrize(
    "key, invalid",
    [
        (DISCOVERY_KEY, b"nowhere"),
        (DISCOVERY_KEY, b"h:0"),
        (DISCOVERY_KEY, b"\xff:80"),
        (DISCOVERY_KEY, b""),
        (SOCKETS_KEY, b"many"),
        (SOCKETS_KEY, b"-1"),
        (SOCKETS_KEY, b"63"),
        (SOCKETS_KEY, b"9" * 10),
        (SOCKETS_KEY, "\u0661\u0662\u0668".encode()),
        (SOCKETS_KEY, b"128.5"),
    ],
)
def test_an_invalid_value_is_logged_and_counted_and_the_previous_value_kept(
    key: str, invalid: bytes, tmp_path: Path
) -> None:
    own = proxy_config(tmp_path)
    source = ConfigurationSource(own, lambda: own)
    overlay = source.overlay
    valid = {DISCOVERY_KEY: b"10.0.0.7:80", SOCKETS_KEY: b"128"}
    overlay.update(valid, 1)
    before = source.current()
    with capture_logs() as logs:
        overlay.update(valid | {key: invalid}, 2)
        overlay.update(valid | {key: invalid, "other": b"1"}, 3)  # unchanged value: not logged again
    assert [(line["key"], line["version"]) for line in logs] == [(key, 2)]
    assert source.current() == before
    assert (overlay.rejected_version, overlay.rejections) == (2, 1)
    overlay.update(valid, 4)
    assert overlay.rejected_version == 0


def test_the_overlay_still_applies_after_a_failed_reread(tmp_path: Path) -> None:
    own = proxy_config(tmp_path)

    def unreadable() -> Config:
        raise ConfigError("no")

    source = ConfigurationSource(own, unreadable)
    source.overlay.update({SOCKETS_KEY: b"128"}, 1)
    with pytest.raises(ConfigError):
        source.reread()
    assert source.current().limits.sockets == 128
    source.overlay.update({}, 2)
    assert source.current() == own
