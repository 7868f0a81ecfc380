"""Reads the settings object of a deployment, from the proxy's configuration or from the simulator.

The proxy and the simulator must interpret the object identically, so both use this module. It is also the
only place that maps the field names of the object to the terms of the code (see ``docs/GLOSSARY.md``).
"""

from __future__ import annotations

from typing import Any

from saltcourse.balancing.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    RequestClass,
    Settings,
    Tenant,
    WeightMeaning,
)
from saltcourse.codec.errors import InvalidObjectError
from saltcourse.codec.json_fields import (
    choice,
    field,
    lookup,
    number,
    objects,
    optional_amounts,
    texts,
)

DISCOVERY_MODES = {"pushed": DiscoveryMode.PUSHED, "on_request": DiscoveryMode.POLLED}
LOAD_FIELD = "x0"  # field of a load report: the backend's load divided by its capacity


def read_settings(env: dict[str, Any]) -> Settings:
    """Read the deployment's settings; unknown keys are ignored.

    Raises ``InvalidObjectError`` if a value is missing or invalid.
    """
    try:
        _check_unused(env)
        return _read_settings(env)
    except ValueError as error:  # raised by the constructors of the settings types
        raise InvalidObjectError(str(error)) from None


def _read_settings(env: dict[str, Any]) -> Settings:
    limits, obligations = field(env, "limits", dict), field(env, "obligations", dict)
    extra, report = field(env, "extra", dict, {}), field(env, "report", dict, {})
    return Settings(
        classes=_read_classes(env, extra),
        tenants=_read_tenants(env, extra),
        proxy_count=field(env, "balancers", int, 1),
        proxy_index=field(env, "self_index", int, 0),
        zone=field(env, "zone", str, ""),
        discovery_mode=lookup(env, "discovery", DISCOVERY_MODES),
        poll_interval=number(obligations, "ask_within", 10.0),
        health_checks_allowed=field(limits, "may_probe", bool, False),
        peers_allowed=field(limits, "peers", bool, False),
        max_attempts=field(limits, "send_cap", int, 3),
        retry_after_allowed=field(limits, "retry_after", bool, True),
        max_retry_after=number(limits, "max_retry_after", 1.0),
        connect_timeout=number(limits, "connect_timeout", 0.25),
        time_step=number(env, "step", 0.001),
        warm_up=number(obligations, "warm_after", 0.0),
        initial_capacity_share=number(obligations, "start_capacity", 1.0),
        reports_load=LOAD_FIELD in texts(report, "fields") and report.get("how") != "silent",
        has_groups=field(extra, "groups", bool, False),
    )


def _read_classes(env: dict[str, Any], extra: dict[str, Any]) -> tuple[RequestClass, ...]:
    entries = objects(env, "classes")
    message_objectives = optional_amounts(extra, "message_aim", len(entries))
    return tuple(
        RequestClass(
            name=field(entry, "name", str),
            latency_objective=number(entry, "aim"),
            deadline=number(entry, "give_up"),
            priority_weight=number(entry, "worth", 1.0),
            idempotency=choice(Idempotency, field(entry, "repeat", str, "safe"), "repeat"),
            deduplication_scope=choice(
                DeduplicationScope, field(entry, "dedup_scope", str, "all"), "dedup_scope"
            ),
            deduplication_window=number(entry, "window", 0.0),
            message_latency_objective=message_objective,
        )
        for entry, message_objective in zip(entries, message_objectives, strict=True)
    )


def _read_tenants(env: dict[str, Any], extra: dict[str, Any]) -> tuple[Tenant, ...]:
    entries = objects(env, "parties", [])
    quotas = optional_amounts(extra, "tenant_quota_connections", len(entries))
    return tuple(
        Tenant(name=field(entry, "name", str), share=number(entry, "share", 0.0), connection_quota=quota)
        for entry, quota in zip(entries, quotas, strict=True)
    )


def _check_unused(env: dict[str, Any]) -> None:
    """Check the settings that are not used for decisions, so that errors in them are reported at start-up."""
    limits, obligations = field(env, "limits", dict), field(env, "obligations", dict)
    charges = field(env, "charges", dict, {})
    texts(env, "failure_domains")
    choice(WeightMeaning, field(env, "weights", str, "silent"), "weights")
    for key in ("may_cancel", "parallel_tries"):
        field(limits, key, bool, False)
    _check_amounts(env, ("over_share_worth",))
    _check_amounts(obligations, ("grace_to_answer", "drain_grace"))
    _check_amounts(charges, ("cross_zone", "probe", "moves", "peer"))
    for key in ("overload_factor", "overload_for"):
        if number(obligations, key, 1.0) <= 0:
            raise InvalidObjectError(f"setting {key} must be a number above 0")


def _check_amounts(message: dict[str, Any], keys: tuple[str, ...]) -> None:
    for key in keys:
        if number(message, key, 0.0) < 0:
            raise InvalidObjectError(f"setting {key} must be a number of 0 or more")
