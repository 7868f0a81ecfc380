"""Tests of gossip members as separate processes, through their commands and admin addresses."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from saltcourse.gossip import messages as m
from tests.gossip.loopback_fleet import EXAMPLE, ProcessFleet, call, metric, wait_for

ALL_MEMBERS = ["c0", "c1", "c2", "m0", "p0", "p1"]


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[ProcessFleet]:
    fleet = ProcessFleet(tmp_path, ALL_MEMBERS)
    yield fleet
    fleet.kill_all()


def values(fleet: ProcessFleet, name: str) -> dict[str, Any]:
    return dict(call(fleet.admin[name], "/_gossip/configuration").json["values"])


def test_fleet_of_processes(processes: ProcessFleet) -> None:
    fleet = processes
    for name in ALL_MEMBERS:
        fleet.start(name)
    for name in ALL_MEMBERS:
        wait_for(
            lambda n=name: set(fleet.statuses(n).values()) == {"alive"} and len(fleet.statuses(n)) == 6,
            f"{name} knows all members",
        )
    for name in ("c0", "c1", "c2", "m0"):
        assert call(fleet.admin[name], "/_ready").status == 200
        assert call(fleet.admin[name], "/_lameduck/on", "PUT").status == 404
    members = call(fleet.admin["p0"], "/_gossip/members").json["members"]
    own = next(member for member in members if member["name"] == "p0")
    assert (own["role"], own["zone"], own["region"]) == ("proxy", "z0", "here")
    assert all(0 <= member["since_s"] < 60 for member in members)
    check_publish_command(fleet)
    check_publish_errors(fleet)
    check_proxy_overlay(fleet)
    check_killed_voter(fleet)
    check_suspended_process(fleet)
    check_departures(fleet)


def check_publish_command(fleet: ProcessFleet) -> None:
    done = fleet.publish("c0", "site/note=h\u00e9llo", "proxy/limits.sockets=500")
    assert (done.returncode, done.stderr) == (0, "") and done.stdout.startswith("published: epoch ")
    for name in ALL_MEMBERS:
        wait_for(lambda n=name: values(fleet, n).get("site/note") == "h\u00e9llo", f"published to {name}")
    position = call(fleet.admin["p1"], "/_gossip/configuration").json
    assert f"version {position['version']}" in done.stdout and position["freshness"] == "current"


def check_publish_errors(fleet: ProcessFleet) -> None:
    admin, path = fleet.admin["c0"], "/_gossip/configuration"
    for body, status, message in [
        (b"no json", 400, b"not JSON"),
        (b"[]", 400, b"not an object"),
        (b"{}", 400, b"no key"),
        (b'{"k": 3}', 400, b"must be a string"),
        (b'{"": "v"}', 400, b"must have 1 to 128 bytes"),
        (b'{"k": "' + b"v" * 1_000 + b'"}', 413, b"larger than 1000 bytes"),
        (b'{"k": "' + b"v" * 9_000 + b'"}', 413, b"too large"),
    ]:
        reply = call(admin, path, "PUT", body)
        assert reply.status == status and message in reply.body
    for name in ("p0", "m0"):
        rejected = call(fleet.admin[name], path, "PUT", b'{"k": "v"}')
        assert rejected.status == 404 and b"this member is not a voter" in rejected.body
    assert call(admin, path, "POST", b"").status == 405
    at_proxy = fleet.publish("p0", "k=v")
    assert at_proxy.returncode == 1 and "404" in at_proxy.stderr
    too_large = fleet.publish("c0", "k=" + "v" * 1_200)
    assert too_large.returncode == 1 and "413" in too_large.stderr


def check_proxy_overlay(fleet: ProcessFleet) -> None:
    """Keys of the fleet's configuration override the proxy's file; an invalid value is rejected alone."""
    wait_for(lambda: "sockets=500" in fleet.log("p0"), "published limit is applied")
    assert fleet.publish("c1", "proxy/discovery=127.0.0.1:19").returncode == 0
    wait_for(lambda: "discovery=127.0.0.1:19" in fleet.log("p0"), "published address is applied")
    assert metric(fleet.admin["p0"], "rejected_version") == 0
    assert fleet.publish("c1", "proxy/discovery=nowhere", "proxy/limits.sockets=600").returncode == 0
    wait_for(lambda: "sockets=600" in fleet.log("p0"), "valid key of the change is applied")
    version = call(fleet.admin["p0"], "/_gossip/configuration").json["version"]
    assert metric(fleet.admin["p0"], "rejected_version") == version
    assert metric(fleet.admin["p0"], "rejections") == 1
    log = fleet.log("p0")
    assert "value rejected" in log and "key=proxy/discovery" in log
    assert "discovery=127.0.0.1:19 sockets=600" in log
    deleted = fleet.publish("c1", "--delete", "proxy/discovery", "--delete", "proxy/limits.sockets")
    assert deleted.returncode == 0
    sockets = json.loads(EXAMPLE.read_text())["limits"]["sockets"]
    from_file = f"discovery=127.0.0.1:9 sockets={sockets}"
    wait_for(
        lambda: fleet.log("p0").rfind(from_file) > fleet.log("p0").rfind("sockets=600"),
        "values of the file apply",
    )
    assert metric(fleet.admin["p0"], "rejected_version") == 0


def check_killed_voter(fleet: ProcessFleet) -> None:
    version = call(fleet.admin["c1"], "/_gossip/configuration").json["version"]
    fleet.terminate("c1", signal.SIGKILL)
    assert fleet.publish("c2", "after=kill").returncode == 0
    wait_for(lambda: values(fleet, "p1").get("after") == "kill", "change published without c1")
    wait_for(lambda: fleet.statuses("p0")["c1"] == "dead", "c1 is dead")
    fleet.start("c1")
    wait_for(lambda: fleet.statuses("p0")["c1"] == "alive", "c1 is alive")
    wait_for(lambda: values(fleet, "c1").get("after") == "kill", "c1 has the change")
    assert call(fleet.admin["c1"], "/_gossip/configuration").json["version"] > version


def check_suspended_process(fleet: ProcessFleet) -> None:
    fleet.running["p1"].send_signal(signal.SIGSTOP)
    wait_for(lambda: fleet.statuses("c0")["p1"] == "dead", "p1 is dead")
    fleet.running["p1"].send_signal(signal.SIGCONT)
    wait_for(lambda: set(fleet.statuses("c0").values()) == {"alive"}, "p1 is alive")
    wait_for(lambda: set(fleet.statuses("p1").values()) == {"alive"}, "p1 considers all members alive")


def check_departures(fleet: ProcessFleet) -> None:
    assert fleet.terminate("p1") == 0
    wait_for(lambda: fleet.statuses("c0")["p1"] == "left", "c0 has received p1's departure")
    assert fleet.terminate("c1", signal.SIGINT) == 0
    assert fleet.terminate("c2") == 0
    without_majority = fleet.publish("c0", "k=v")
    assert without_majority.returncode == 1 and "503" in without_majority.stderr
    assert "may still be committed" in without_majority.stderr
    wait_for(lambda: call(fleet.admin["c0"], "/_ready").status == 503, "c0 is not ready without a majority")
    wait_for(lambda: metric(fleet.admin["p0"], "freshness") == m.Freshness.STALE, "p0 is stale")
    assert fleet.terminate("c0") == 0 and fleet.terminate("p0", signal.SIGINT) == 0
    assert fleet.terminate("m0") == 0
    for name in ALL_MEMBERS:
        assert "Traceback" not in fleet.log(name)
    after_exit = fleet.publish("c0", "k=v")
    assert after_exit.returncode == 1 and "not published" in after_exit.stderr
