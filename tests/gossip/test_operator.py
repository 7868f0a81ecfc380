"""The operator's section ``gossip``, the commands that read it, and the overlay of a proxy's own file."""

from __future__ import annotations

import json
import re
import signal
import socket
import subprocess
import sys
import urllib.error
import urllib.request
from pathlib import Path

import pytest
from click.testing import CliRunner
from structlog.testing import capture_logs

from saltcourse.cli.main import main
from saltcourse.config import Config, ConfigError, load_config
from saltcourse.config.operator import read_operator
from saltcourse.config.operator_gossip import GossipSettings
from saltcourse.config.overlay import DISCOVERY_KEY, SOCKETS_KEY, ConfigurationSource
from saltcourse.gossip.errors import StoreError
from saltcourse.gossip.messages import ReplicaState, Role
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.store import ReplicaStore

ROOT = Path(__file__).parents[2]
EXAMPLE = ROOT / "example" / "config.json"
GOOD = """gossip {
  me: "c0"
  listen: "0.0.0.0:7500"
  advertise: "10.0.0.1:7500"
  region: "north" zone: "n1"
  role: CONTROL
  seed: "10.0.0.1:7500"
  seed: "10.0.0.2:7500"
  voter { name: "c0" address: "10.0.0.1:7500" }
  voter { name: "c1" address: "10.0.0.2:7500" }
  voter { name: "c2" address: "[2001:db8::0:3]:7500" }
  key_file: "key"
  store_file: "c0.store"
  probe_interval_s: 2
}
"""


def write(folder: Path, text: str = GOOD, keys: str = "ab" * 32, mode: int = 0o600) -> Path:
    (folder / "key").write_text(keys)
    (folder / "key").chmod(mode)
    file = folder / "operator.txtpb"
    file.write_text(text)
    return file


def gossip(file: Path, me: str = "p") -> GossipSettings:
    found = read_operator(file, me).gossip
    assert found is not None
    return found


def test_a_good_section_is_read_and_one_left_out_is_off(tmp_path: Path) -> None:
    settings = gossip(write(tmp_path))
    assert (settings.own_name, settings.region, settings.zone) == ("c0", "north", "n1")
    assert settings.listen == ("0.0.0.0", 7500) and settings.advertise == ("10.0.0.1", 7500)
    assert settings.role is Role.CONTROL and settings.is_voter
    assert settings.seeds == (("10.0.0.2", 7500),)  # without its own
    assert settings.voters[2].address == ("2001:db8::3", 7500)  # as the system writes it
    assert settings.key == b"\xab" * 32 and settings.store_file == tmp_path / "c0.store"
    assert settings.bytes_per_s == 250_000  # a control member's
    assert settings.timing == Timing(probe_interval=2.0)
    assert read_operator(write(tmp_path, "fleet {}"), "p").gossip is None


def test_what_is_left_out_has_its_default(tmp_path: Path) -> None:
    text = GOOD.replace('  me: "c0"\n', "").replace("  role: CONTROL\n", "")
    text = text.replace('  advertise: "10.0.0.1:7500"\n', "").replace("0.0.0.0", "10.0.0.9")
    settings = gossip(write(tmp_path, text), "proxy-7")
    assert settings.own_name == "proxy-7" and settings.role is Role.PROXY and not settings.is_voter
    assert settings.advertise == settings.listen == ("10.0.0.9", 7500)
    assert settings.bytes_per_s == 21_000
    text = text.replace("probe_interval_s: 2", "bytes_per_s: 5000")
    assert gossip(write(tmp_path, text), "proxy-7").bytes_per_s == 5_000


@pytest.mark.parametrize(
    "old, new, line, named",
    [
        ("  me:", "  mi:", 2, 'no field named "mi"'),
        ('me: "c0"', 'me: "c0\\n"', 2, "gossip.me: must be 1 to 64 bytes"),
        ('me: "c0"', f'me: "{"x" * 65}"', 2, "gossip.me: must be 1 to 64 bytes"),
        ("0.0.0.0:7500", "somewhere:7500", 3, "gossip.listen: must be ADDRESS:PORT"),
        ("0.0.0.0:7500", "0.0.0.0", 3, "gossip.listen: must be ADDRESS:PORT"),
        ("0.0.0.0:7500", "[fe80::1%lo]:7500", 3, "gossip.listen: must be an address without a scope"),
        ('  advertise: "10.0.0.1:7500"\n', "", 1, "gossip.advertise: must be an address that others reach"),
        ('advertise: "10.0.0.1:7500"', 'advertise: "10.0.0.7:7500"', 4, "not the address of voter 'c0'"),
        ('region: "north"', 'region: ""', 5, "gossip.region: must be 1 to 16 bytes"),
        ('zone: "n1"', f'zone: "{"z" * 17}"', 5, "gossip.zone: must be 1 to 16 bytes"),
        ("role: CONTROL", "role: BOSS", 6, "BOSS"),
        ("role: CONTROL", "role: PROXY", 6, "gossip.role: must be CONTROL: 'c0' is a voter"),
        ('seed: "10.0.0.2:7500"', 'seed: "10.0.0.2:0"', 8, r"gossip.seed\[1\]: must be ADDRESS:PORT"),
        ('name: "c1"', 'name: "c0"', 10, r"gossip.voter\[1\].name: 'c0' stands twice"),
        ('name: "c1" address: "10.0.0.2:7500"', 'name: "c1" address: "10.0.0.1:7500"', 10, "stands twice"),
        ('name: "c2"', 'name: ""', 11, r"gossip.voter\[2\].name: must be 1 to 64 bytes"),
        ('"key"', '"nokey"', 12, "gossip.key_file: .*nokey: No such file"),
        ('  store_file: "c0.store"\n', "", 1, "gossip.store_file: missing: 'c0' is a voter"),
        ('"c0.store"', '"nowhere/c0.store"', 13, "gossip.store_file: no folder"),
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
            "gossip.probe_timeout_s: must be under probe_interval",
        ),
        ("probe_interval_s: 2", "stale_after_s: nan", 14, "gossip.stale_after_s: must be from"),
        ("probe_interval_s: 2", "heartbeat_interval_s: 6", 1, "gossip.takeover_after_s: must be above"),
        ("probe_interval_s: 2", "bytes_per_s: 100", 14, "gossip.bytes_per_s: must be from 2000"),
    ],
)
def test_mistakes_are_named_with_line_and_key(
    old: str, new: str, line: int, named: str, tmp_path: Path
) -> None:
    assert GOOD.count(old) >= 1
    file = write(tmp_path, GOOD.replace(old, new, 1))
    with pytest.raises(ConfigError, match=rf"operator\.txtpb:{line}: .*{named}"):
        read_operator(file, "p")


def test_no_voter_is_a_mistake(tmp_path: Path) -> None:
    text = "\n".join(line for line in GOOD.splitlines() if "voter {" not in line)
    with pytest.raises(ConfigError, match=r"operator\.txtpb:1: gossip.voter: from 1 to 9 voters, not 0"):
        read_operator(write(tmp_path, text), "p")


@pytest.mark.parametrize(
    "keys, mode, named",
    [
        ("ab" * 32, 0o640, "read by others"),
        ("abcd", 0o600, "under 16 bytes"),
        ("", 0o600, "one key, not 0"),
        ("xy" * 32, 0o600, "hexadecimal"),
        ("ab" * 32 + "\n" + "cd" * 32, 0o600, "one key, not 2"),
    ],
)
def test_keys_that_can_not_be_are_refused(keys: str, mode: int, named: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=rf":12: gossip.key_file: .*{named}"):
        read_operator(write(tmp_path, keys=keys, mode=mode), "p")


# ---- commands ----------------------------------------------------------------------------------------


def config(folder: Path, peers: bool = True) -> Path:
    values = json.loads(EXAMPLE.read_text())
    values["settings"]["limits"]["peers"] = peers
    values["listen"] = f"127.0.0.1:{free_port(socket.SOCK_STREAM)}"
    values["admin"] = f"127.0.0.1:{free_port(socket.SOCK_STREAM)}"
    (folder / "config.json").write_text(json.dumps(values))
    return folder / "config.json"


def free_port(kind: int = socket.SOCK_DGRAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


PROXY = GOOD.replace('  me: "c0"', '  me: "p"').replace("role: CONTROL", "role: PROXY")


@pytest.mark.parametrize(
    "text, peers, arguments, named",
    [
        (PROXY, False, ["serve"], "gossip: .*'settings.limits.peers'"),
        (PROXY, False, ["check-config"], "gossip: .*'settings.limits.peers'"),
        (GOOD, True, ["serve"], "gossip.role: must be PROXY for a proxy"),
        (PROXY, True, ["control"], "gossip.role: must be CONTROL for a control member"),
        ("fleet {}", True, ["control"], "a control member needs an operator's file with gossip"),
        (GOOD.replace("n1", "z" * 17), True, ["control"], r"txtpb:5: gossip.zone: must be 1 to 16 bytes"),
    ],
)
def test_commands_end_with_code_2_and_a_clear_line(
    text: str, peers: bool, arguments: list[str], named: str, tmp_path: Path
) -> None:
    full = [*arguments, "--operator", str(write(tmp_path, text))]
    if arguments[0] != "control":
        full += ["--config", str(config(tmp_path, peers))]
    result = CliRunner().invoke(main, full)
    assert result.exit_code == 2 and "Traceback" not in result.output
    assert len(result.output.splitlines()) == 1 and re.search(named, result.output)


def test_check_config_tells_of_gossip(tmp_path: Path) -> None:
    result = CliRunner().invoke(
        main, ["check-config", "--config", str(config(tmp_path)), "--operator", str(write(tmp_path, PROXY))]
    )
    assert result.exit_code == 0
    assert "gossip: p in zone n1 of north, listens on 0.0.0.0:7500, 1 seeds, 3 voters" in result.output


@pytest.mark.parametrize(
    "arguments, named",
    [
        ([], "--admin"),
        (["--admin", "127.0.0.1"], "must be HOST:PORT"),
        (["--admin", "127.0.0.1:1"], "nothing to publish"),
        (["--admin", "127.0.0.1:1", "novalue"], "must be KEY=VALUE"),
        (["--admin", "127.0.0.1:1", "=v"], "must be KEY=VALUE"),
        (["--admin", "127.0.0.1:1", "k=v", "--delete", "k"], "stands twice"),
    ],
)
def test_publish_ends_with_code_2_on_bad_usage(arguments: list[str], named: str) -> None:
    result = CliRunner().invoke(main, ["publish", *arguments])
    assert result.exit_code == 2 and named in result.output


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "saltcourse", *arguments], capture_output=True, text=True, cwd=ROOT, timeout=20
    )


def local(text: str, port: int) -> str:
    return text.replace("0.0.0.0:7500", f"127.0.0.1:{port}").replace("10.0.0.1:7500", f"127.0.0.1:{port}")


def test_an_address_that_is_taken_ends_with_code_3(tmp_path: Path) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
        control = run("control", "--operator", str(write(tmp_path, local(GOOD, port))))
        serve = run(
            "serve", "--config", str(config(tmp_path)), "--operator", str(write(tmp_path, local(PROXY, port)))
        )
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        admin = "{}:{}".format(*taken.getsockname())
        file = write(tmp_path, local(GOOD, free_port()))
        at_admin = run("control", "--operator", str(file), "--admin", admin)
    for ended, named in ((control, "'gossip.listen'"), (serve, "'gossip.listen'"), (at_admin, "'--admin'")):
        assert ended.returncode == 3, ended.stderr
        assert f"{named}: cannot listen on 127.0.0.1:" in ended.stderr
        assert "Address already in use" in ended.stderr and "Traceback" not in ended.stderr


def test_a_store_that_can_not_be_used_ends_with_code_2(tmp_path: Path) -> None:
    (tmp_path / "c0.store").write_text("this is no store" * 1_000)
    ended = run("control", "--operator", str(write(tmp_path, local(GOOD, free_port()))))
    assert ended.returncode == 2 and "gossip.store_file: " in ended.stderr
    assert "c0.store" in ended.stderr and "Traceback" not in ended.stderr


def test_a_voter_whose_disk_fails_ends_with_code_1(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def full(store: ReplicaStore, state: ReplicaState) -> None:
        raise StoreError("c0.store: database or disk is full")

    monkeypatch.setattr(ReplicaStore, "save", full)
    text = re.sub(r"  voter .*c[12].*\n", "", local(GOOD, free_port()))
    text = text.replace("probe_interval_s: 2", "heartbeat_interval_s: 0.1 takeover_after_s: 0.2")
    result = CliRunner().invoke(main, ["control", "--operator", str(write(tmp_path, text))])
    assert result.exit_code == 1
    assert "gossip.store_file: c0.store: database or disk is full" in result.output


def test_a_change_of_the_section_is_told_on_sighup_and_waits_for_a_restart(tmp_path: Path) -> None:
    text = local(GOOD, free_port())
    file = write(tmp_path, text)
    process = subprocess.Popen(
        [sys.executable, "-m", "saltcourse", "control", "--operator", str(file)],
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    assert process.stderr is not None
    try:
        assert 'event="gossip started"' in process.stderr.readline()
        other = run("control", "--operator", str(write(tmp_path, local(GOOD, free_port()))))
        assert other.returncode == 2 and "gossip.store_file" in other.stderr  # two processes, one vote
        write(tmp_path, text.replace("probe_interval_s: 2", "probe_interval_s: 3"))
        process.send_signal(signal.SIGHUP)
        line = process.stderr.readline()
        while "changed keys" not in line and line:
            line = process.stderr.readline()
        assert "gossip.timing" in line
        write(tmp_path, "gossip {")
        process.send_signal(signal.SIGHUP)
        line = process.stderr.readline()
        while "old operator's file is kept" not in line and line:
            line = process.stderr.readline()
        assert line
        process.send_signal(signal.SIGINT)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()


MODULES = """
import atexit, sys
atexit.register(lambda: print(*sorted(sys.modules)))
from saltcourse.cli.main import main
main(sys.argv[1:])
"""


def test_a_proxy_without_the_section_imports_nothing_of_it(tmp_path: Path) -> None:
    operator = write(tmp_path, "fleet { term_s: 3 }")
    arguments = ["serve", "--config", str(config(tmp_path)), "--operator", str(operator)]
    process = subprocess.Popen(
        [sys.executable, "-c", MODULES, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    assert process.stdout is not None and process.stderr is not None
    try:
        while "phase=serving" not in process.stderr.readline():
            assert process.poll() is None
        admin = json.loads((tmp_path / "config.json").read_text())["admin"]
        with pytest.raises(urllib.error.HTTPError, match="404"):
            urllib.request.urlopen(f"http://{admin}/_gossip/members", timeout=10)
        process.send_signal(signal.SIGTERM)
        modules = process.stdout.read().split()
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
    assert "saltcourse.proxy.server" in modules and "saltcourse.config.operator" in modules
    switched_off = ("saltcourse.gossip", "saltcourse.config.operator_gossip", "sqlite3")
    assert [name for name in modules if name.startswith(switched_off)] == []


# ---- the overlay -------------------------------------------------------------------------------------


def proxy_config(folder: Path) -> Config:
    return load_config(str(config(folder)), {})


def test_an_overlay_stands_over_the_file_until_its_key_is_deleted(tmp_path: Path) -> None:
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
        overlay.update(good | {key: bad, "other": b"1"}, 3)  # the same value: told once
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
