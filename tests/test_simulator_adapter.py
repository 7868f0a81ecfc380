"""Tests of the simulator adapter: the wire protocol in both directions, and malformed input."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from saltcourse import simulator_adapter
from saltcourse.codec.errors import InvalidObjectError
from saltcourse.config.deployment_settings import read_settings
from saltcourse.simulator_adapter import Adapter, serve

ENV: dict[str, Any] = {
    "balancers": 2,
    "self_index": 1,
    "zone": "a",
    "failure_domains": ["a", "b"],
    "discovery": "on_request",
    "classes": [{"name": "c", "aim": 0.5, "give_up": 2.0, "repeat": "safe", "worth": 2.0, "novelty": 1}],
    "limits": {"send_cap": 3, "may_probe": True, "connect_timeout": 0.2, "max_retry_after": 1.5},
    "obligations": {"drain_grace": 2.0, "warm_after": 9.0, "start_capacity": 0.3, "grace_to_answer": 0.01},
    "report": {"how": "pull", "fields": ["busy", "x0"]},
    "extra": {"message_aim": [0.06]},
    "weights": "live",
    "something_new": {"a": 1},
}
HELLO = {"msg": "hello", "node": 3, "init_seed": 5, "env": ENV}
MEMBERS = {
    "msg": "backends_changed",
    "node": 3,
    "mode": "restored",
    "revision": 1,
    "members": [
        {"host": "h:1", "sku": "k", "block": 0, "nominal": 1, "lifecycle": "healthy", "az": "a", "later": 1}
    ],
}
ACCEPT = {"msg": "accept", "node": 3, "job": "rq_1", "profile": "c", "patience_left": 2.0, "tenant": 0}


def batch(*events: Any, now: float = 1.0) -> bytes:
    return json.dumps({"at_time": now, "events": list(events)}).encode()


def started(**env: Any) -> Adapter:
    adapter = Adapter()
    adapter.reply(batch(HELLO | {"env": ENV | env}, MEMBERS))
    return adapter


def actions(reply: bytes) -> list[dict[str, Any]]:
    return json.loads(reply)["actions"]  # type: ignore[no-any-return]


def test_an_empty_batch_gives_no_actions() -> None:
    assert Adapter().reply(batch()) == b'{"actions":[]}'


def test_settings_are_read_and_unknown_keys_are_skipped() -> None:
    settings = read_settings(ENV)
    assert settings.reports_load and settings.max_attempts == 3 and settings.initial_capacity_share == 0.3
    [request_class] = settings.classes
    assert request_class.message_latency_objective == 0.06 and request_class.priority_weight == 2.0


def test_a_request_is_placed_and_the_events_of_its_connection_are_read() -> None:
    adapter = started(report={"how": "silent", "fields": []})
    sent = [a for a in actions(adapter.reply(batch(ACCEPT))) if a["msg"] == "place"]
    assert [(a["node"], a["job"], a["host"]) for a in sent] == [(3, "rq_1", "h:1")]
    first = {"msg": "first", "node": 3, "job": "rq_1", "seq_no": 0, "host": "h:1", "lag": 0.01}
    load = {"msg": "change", "node": 3, "job": "rq_1", "seq_no": 0, "host": "h:1", "topic": 1, "value": 5000}
    unknown_topic = load | {"topic": 9}
    answer = {
        "msg": "answer",
        "node": 3,
        "job": "rq_1",
        "seq_no": 0,
        "host": "h:1",
        "result": 0,
        "lag": 3.0,
        "finished": True,
    }
    assert actions(adapter.reply(batch(first, load, unknown_topic, answer))) == []


def test_the_load_report_of_a_health_check_is_read() -> None:
    adapter = started()
    checks = [a for a in actions(adapter.reply(batch(ACCEPT))) if a["msg"] == "check"]
    assert checks == [{"msg": "check", "node": 3, "host": "h:1"}]
    done = {
        "msg": "probe_done",
        "node": 3,
        "host": "h:1",
        "result": 0,
        "lag": 0.001,
        "server_stats": [0.5, 0.4],
    }
    assert [a["msg"] for a in actions(adapter.reply(batch(done)))] == ["place"]


def test_detach_removes_an_instance_and_hello_creates_it_again() -> None:
    adapter = started()
    adapter.reply(batch({"msg": "detach", "node": 3}))
    with pytest.raises(InvalidObjectError, match="instance 3"):
        adapter.reply(batch(ACCEPT))
    adapter.reply(batch(HELLO))


@pytest.mark.parametrize(
    ("line", "error"),
    [
        (b"{", "not JSON"),
        (b"[]", "not an object"),
        (b'{"events":[]}', "at_time"),
        (b'{"at_time":1}', "events"),
        (b'{"at_time":"1","events":[]}', "at_time"),
        (batch(7), "not an object"),
        (batch({"msg": "accept"}), "node"),
        (batch(ACCEPT | {"node": 9}), "instance 9"),
        (batch({"msg": "sing", "node": 3}), "unknown message 'sing'"),
        (batch({"msg": ["a"], "node": 3}), "unknown message"),
        (batch({"msg": "accept", "node": 3}), "job"),
        (batch(ACCEPT | {"patience_left": "x"}), "patience_left"),
        (batch(MEMBERS | {"mode": "guess"}), "mode"),
        (batch(MEMBERS | {"members": [3]}), "member"),
        (batch({"msg": "answer", "node": 3, "job": "r", "seq_no": 0, "result": 99}), "result"),
        (batch({"msg": "ring", "node": 3, "handle": 1.5}), "handle"),
        (batch(HELLO | {"env": ENV | {"weights": "odd"}}), "weights"),
        (batch(HELLO | {"env": ENV | {"balancers": 0}}), "balancers"),
        (batch(HELLO | {"env": ENV | {"obligations": {"drain_grace": -0.1}}}), "drain_grace"),
        (batch(HELLO | {"env": 3}), "env"),
    ],
)
def test_malformed_input_prints_an_error_and_ends_the_program(
    line: bytes,
    error: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    sink = io.BytesIO()
    code = serve([batch(HELLO, MEMBERS), line, batch()], sink)
    assert code == simulator_adapter.EXIT_MALFORMED
    assert error in capsys.readouterr().err
    assert len(sink.getvalue().splitlines()) == 1  # No reply to the malformed line or to later ones.


def test_an_exception_in_the_balancer_is_reported_for_its_instance() -> None:
    adapter = started()
    error = actions(adapter.reply(batch(ACCEPT | {"profile": "no such class"})))[-1]
    assert error["msg"] == "internal_error" and "no such class" in error["text"] and error["node"] == 3


def test_the_end_of_input_ends_the_program_successfully() -> None:
    assert serve([], io.BytesIO()) == 0
