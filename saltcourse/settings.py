"""Reads the settings object that a node is told at its start, from the simulator or from its configuration.

Both hosts of the module, the adapter and the real proxy, must understand that object alike, so the
reading stands here once. Whatever is wrong in it is raised as ``Malformed`` and names its key.
"""

from __future__ import annotations

import math
from typing import Any

from saltcourse import interface as lg

DISCOVERY = {"pushed": lg.Discovery.PUSHED, "on_request": lg.Discovery.ASKED}


class Malformed(Exception):
    """What came in is not what the wire promises; the text names it."""


def field(message: dict[str, Any], key: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    """The field's value, checked; a field without a default must be there."""
    value = message.get(key)
    if value is None:
        if default is None:
            raise Malformed(f"{message.get('msg', 'message')}: no '{key}'")
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise Malformed(f"{message.get('msg', 'message')}: '{key}' is of the wrong type: {value!r}")
    return value


def number(message: dict[str, Any], key: str, default: float | None = None) -> float:
    """The field's value as a finite number."""
    value = field(message, key, (int, float), default)
    if not is_finite_number(value):
        raise Malformed(f"{message.get('msg', 'message')}: '{key}' is not a finite number")
    return float(value)


def is_finite_number(value: object) -> bool:
    """Whether the value is a number, and one that a float can hold."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:
        return False


def objects(message: dict[str, Any], key: str, default: list[Any] | None = None) -> list[dict[str, Any]]:
    """A list whose elements are all objects."""
    values: list[dict[str, Any]] = field(message, key, list, default)
    for index, value in enumerate(values):
        if not isinstance(value, dict):
            raise Malformed(f"'{key}[{index}]' is not an object: {value!r}")
    return values


def texts(message: dict[str, Any], key: str) -> tuple[str, ...]:
    """A list whose elements are all texts; empty where the field is absent."""
    values = field(message, key, list, [])
    for index, value in enumerate(values):
        if not isinstance(value, str):
            raise Malformed(f"'{key}[{index}]' is not a text: {value!r}")
    return tuple(values)


def optional_amounts(message: dict[str, Any], key: str, count: int) -> list[float]:
    """A list of numbers of 0 or more, as ``count`` values; 0 where it is shorter, or says null."""
    values = field(message, key, list, [])
    for index, value in enumerate(values):
        if value is not None and not (is_finite_number(value) and value >= 0):
            raise Malformed(f"'{key}[{index}]' is not a finite number of 0 or more: {value!r}")
    amounts = [0.0 if value is None else value for value in values[:count]]
    return amounts + [0.0] * (count - len(amounts))


def word(message: dict[str, Any], key: str, table: dict[Any, Any]) -> Any:
    value = message.get(key)
    try:
        return table[value]
    except (KeyError, TypeError):
        raise Malformed(f"{message.get('msg', 'message')}: '{key}' has an unknown value {value!r}") from None


def choice(kind: Any, value: str, name: str) -> Any:
    """The member of an enumeration whose value the text is."""
    try:
        return kind(value)
    except ValueError:
        raise Malformed(f"env: '{name}' has an unknown value {value!r}") from None


def read_settings(env: dict[str, Any]) -> lg.Settings:
    """The instance's settings; keys that this page does not know are skipped.

    Raises ``Malformed`` for whatever is wrong in them.
    """
    try:
        return _read_settings(env)
    except ValueError as wrong:  # a value that the settings' own types refuse
        raise Malformed(str(wrong)) from None


def _read_settings(env: dict[str, Any]) -> lg.Settings:
    limits, rules = field(env, "limits", dict), field(env, "obligations", dict)
    extra, prices = field(env, "extra", dict, {}), field(env, "charges", dict, {})
    report = field(env, "report", dict, {})
    class_entries, tenant_entries = objects(env, "classes"), objects(env, "parties", [])
    message_aims = optional_amounts(extra, "message_aim", len(class_entries))
    quotas = optional_amounts(extra, "tenant_quota_connections", len(tenant_entries))
    classes = tuple(
        lg.RequestClass(
            name=field(c, "name", str),
            aim=number(c, "aim"),
            deadline=number(c, "give_up"),
            worth=number(c, "worth", 1.0),
            effect=choice(lg.Effect, field(c, "repeat", str, "safe"), "repeat"),
            scope=choice(lg.Scope, field(c, "dedup_scope", str, "all"), "dedup_scope"),
            window=number(c, "window", 0.0),
            message_aim=message_aim,
        )
        for c, message_aim in zip(class_entries, message_aims, strict=True)
    )
    tenants = tuple(
        lg.Tenant(field(t, "name", str), number(t, "share", 0.0), quota)
        for t, quota in zip(tenant_entries, quotas, strict=True)
    )
    return lg.Settings(
        classes=classes,
        tenants=tenants,
        balancers=field(env, "balancers", int, 1),
        index=field(env, "self_index", int, 0),
        zone=field(env, "zone", str, ""),
        zones=texts(env, "failure_domains"),
        over_share_worth=number(env, "over_share_worth", 1.0),
        discovery=word(env, "discovery", DISCOVERY),
        ask_within=number(rules, "ask_within", 10.0),
        weights=choice(lg.Weights, field(env, "weights", str, "silent"), "weights"),
        may_probe=field(limits, "may_probe", bool, False),
        may_cancel=field(limits, "may_cancel", bool, False),
        peers=field(limits, "peers", bool, False),
        max_attempts=field(limits, "send_cap", int, 3),
        parallel_tries=field(limits, "parallel_tries", bool, False),
        retry_after=field(limits, "retry_after", bool, True),
        max_retry_after=number(limits, "max_retry_after", 1.0),
        connect_timeout=number(limits, "connect_timeout", 0.25),
        answer_slack=number(rules, "grace_to_answer", 0.0),
        tick=number(env, "step", 0.001),
        drain_grace=number(rules, "drain_grace", 1.0),
        warm_up=number(rules, "warm_after", 0.0),
        start_share=number(rules, "start_capacity", 1.0),
        push_multiple=number(rules, "overload_factor", 2.0),
        push_for=number(rules, "overload_for", 1.0),
        reports_load="x0" in texts(report, "fields") and report.get("how") != "silent",
        groups=field(extra, "groups", bool, False),
        worth_by_work=env.get("value_by") == "work",
        price_crossing=number(prices, "cross_zone", 0.0),
        price_probe=number(prices, "probe", 0.0),
        price_move=number(prices, "moves", 0.0),
        price_peer=number(prices, "peer", 0.0),
    )
