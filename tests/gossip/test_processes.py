"""Gossip members as processes of their own on loopback, through their commands and admin addresses."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from saltcourse.gossip import messages as m
from tests.gossip.site import EXAMPLE, Processes, call, figure, wait_for

ALL_MEMBERS = ["c0", "c1", "c2", "m0", "p0", "p1"]


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    found = Processes(tmp_path, ALL_MEMBERS)
    yield found
    found.stop()


def values(found: Processes, name: str) -> dict[str, Any]:
    return dict(call(found.admin[name], "/_gossip/configuration").json["values"])


def test_a_fleet_of_processes(processes: Processes) -> None:
    fleet = processes
    for name in ALL_MEMBERS:
        fleet.start(name)
    for name in ALL_MEMBERS:
        wait_for(
            lambda n=name: set(fleet.statuses(n).values()) == {"alive"} and len(fleet.statuses(n)) == 6,
            f"{name} knows all",
        )
    for name in ("c0", "c1", "c2", "m0"):
        assert call(fleet.admin[name], "/_ready").status == 200
        assert call(fleet.admin[name], "/_lameduck/on", "PUT").status == 404
    members = call(fleet.admin["p0"], "/_gossip/members").json["members"]
    own = next(member for member in members if member["name"] == "p0")
    assert (own["role"], own["zone"], own["region"]) == ("proxy", "z0", "here")
    assert all(0 <= member["since_s"] < 60 for member in members)
    publishing_through_the_command(fleet)
    errors_are_reported(fleet)
    the_overlay_of_a_proxy(fleet)
    a_killed_control_member(fleet)
    a_stopped_process(fleet)
    all_members_leave(fleet)


def publishing_through_the_command(fleet: Processes) -> None:
    done = fleet.publish("c0", "site/note=h\u00e9llo", "proxy/limits.sockets=500")
    assert (done.returncode, done.stderr) == (0, "") and done.stdout.startswith("published: epoch ")
    for name in ALL_MEMBERS:
        wait_for(lambda n=name: values(fleet, n).get("site/note") == "h\u00e9llo", f"published to {name}")
    position = call(fleet.admin["p1"], "/_gossip/configuration").json
    assert f"version {position['version']}" in done.stdout and position["freshness"] == "current"


def errors_are_reported(fleet: Processes) -> None:
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
    nobody = fleet.publish("c0", "k=" + "v" * 1_200)
    assert nobody.returncode == 1 and "413" in nobody.stderr


def the_overlay_of_a_proxy(fleet: Processes) -> None:
    """Keys of the fleet's configuration override the proxy's file, and a bad value changes nothing."""
    wait_for(lambda: "sockets=500" in fleet.log("p0"), "taken over")
    assert fleet.publish("c1", "proxy/discovery=127.0.0.1:19").returncode == 0
    wait_for(lambda: "discovery=127.0.0.1:19" in fleet.log("p0"), "taken over")
    assert figure(fleet.admin["p0"], "rejected_version") == 0
    assert fleet.publish("c1", "proxy/discovery=nowhere", "proxy/limits.sockets=600").returncode == 0
    wait_for(lambda: "sockets=600" in fleet.log("p0"), "the good one of the two")
    version = call(fleet.admin["p0"], "/_gossip/configuration").json["version"]
    assert figure(fleet.admin["p0"], "rejected_version") == version
    assert figure(fleet.admin["p0"], "rejections") == 1
    log = fleet.log("p0")
    assert "value rejected" in log and "key=proxy/discovery" in log
    assert "discovery=127.0.0.1:19 sockets=600" in log
    deleted = fleet.publish("c1", "--delete", "proxy/discovery", "--delete", "proxy/limits.sockets")
    assert deleted.returncode == 0
    sockets = json.loads(EXAMPLE.read_text())["limits"]["sockets"]
    own = f"discovery=127.0.0.1:9 sockets={sockets}"
    wait_for(lambda: fleet.log("p0").rfind(own) > fleet.log("p0").rfind("sockets=600"), "back to the file")
    assert figure(fleet.admin["p0"], "rejected_version") == 0


def a_killed_control_member(fleet: Processes) -> None:
    version = call(fleet.admin["c1"], "/_gossip/configuration").json["version"]
    fleet.end("c1", signal.SIGKILL)
    assert fleet.publish("c2", "after=kill").returncode == 0
    wait_for(lambda: values(fleet, "p1").get("after") == "kill", "published without c1")
    wait_for(lambda: fleet.statuses("p0")["c1"] == "dead", "found dead")
    fleet.start("c1")
    wait_for(lambda: fleet.statuses("p0")["c1"] == "alive", "back")
    wait_for(lambda: values(fleet, "c1").get("after") == "kill", "caught up")
    assert call(fleet.admin["c1"], "/_gossip/configuration").json["version"] > version


def a_stopped_process(fleet: Processes) -> None:
    fleet.running["p1"].send_signal(signal.SIGSTOP)
    wait_for(lambda: fleet.statuses("c0")["p1"] == "dead", "found dead")
    fleet.running["p1"].send_signal(signal.SIGCONT)
    wait_for(lambda: set(fleet.statuses("c0").values()) == {"alive"}, "back")
    wait_for(lambda: set(fleet.statuses("p1").values()) == {"alive"}, "the others are alive for it")


def all_members_leave(fleet: Processes) -> None:
    assert fleet.end("p1") == 0
    wait_for(lambda: fleet.statuses("c0")["p1"] == "left", "its leave was received")
    assert fleet.end("c1", signal.SIGINT) == 0
    assert fleet.end("c2") == 0
    lone = fleet.publish("c0", "k=v")
    assert lone.returncode == 1 and "503" in lone.stderr and "may still be committed" in lone.stderr
    wait_for(lambda: call(fleet.admin["c0"], "/_ready").status == 503, "no majority known")
    wait_for(lambda: figure(fleet.admin["p0"], "freshness") == m.Freshness.STALE, "stale")
    assert fleet.end("c0") == 0 and fleet.end("p0", signal.SIGINT) == 0
    assert fleet.end("m0") == 0
    for name in ALL_MEMBERS:
        assert "Traceback" not in fleet.log(name)
    gone = fleet.publish("c0", "k=v")
    assert gone.returncode == 1 and "not published" in gone.stderr
