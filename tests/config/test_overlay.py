"""Values of the fleet's configuration over a proxy's own file."""

from __future__ import annotations

from pathlib import Path

import pytest
from structlog.testing import capture_logs

from saltcourse.config import Config, ConfigError, load_config
from saltcourse.config.overlay import DISCOVERY_KEY, SOCKETS_KEY, ConfigurationSource
from tests.config.operator_files import write_proxy_config


def proxy_config(folder: Path) -> Config:
    return load_config(write_proxy_config(folder, peers=True), {})


def test_an_overlay_overrides_the_file_until_its_key_is_deleted(tmp_path: Path) -> None:
    own = proxy_config(tmp_path)
    source = ConfigurationSource(own, lambda: own)
    assert source.overlay.update({DISCOVERY_KEY: b"10.0.0.7:80", SOCKETS_KEY: b"128", "x": b"\xff"}, 1)
    assert source.current().discovery == ("10.0.0.7", 80) and source.current().limits.sockets == 128
    assert source.reread() == source.current()  # SIGHUP reads the file; the overlay stays
    assert not source.overlay.update({DISCOVERY_KEY: b"10.0.0.7:80", SOCKETS_KEY: b"128", "x": b"2"}, 2)
    assert source.overlay.update({SOCKETS_KEY: b"128"}, 3)
    assert source.current().discovery == own.discovery and source.current().limits.sockets == 128
    assert source.overlay.update({}, 4) and source.current() == own


@pytest.mark.parametrize(
    "key, bad",
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
def test_a_bad_value_is_named_counted_and_leaves_the_old_one(key: str, bad: bytes, tmp_path: Path) -> None:
    own = proxy_config(tmp_path)
    source = ConfigurationSource(own, lambda: own)
    overlay = source.overlay
    good = {DISCOVERY_KEY: b"10.0.0.7:80", SOCKETS_KEY: b"128"}
    overlay.update(good, 1)
    before = source.current()
    with capture_logs() as logs:
        overlay.update(good | {key: bad}, 2)
        overlay.update(good | {key: bad, "other": b"1"}, 3)  # the same value: logged once
    assert [(line["key"], line["version"]) for line in logs] == [(key, 2)]
    assert source.current() == before
    assert (overlay.rejected_version, overlay.rejections) == (2, 1)
    overlay.update(good, 4)
    assert overlay.rejected_version == 0


def test_a_file_that_can_not_be_read_leaves_the_overlay_working(tmp_path: Path) -> None:
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
