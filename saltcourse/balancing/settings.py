"""Settings of the balancer. Times are in seconds, loads in seconds of work per second.

``saltcourse/config/deployment_settings.py`` reads the settings from the deployment's JSON and maps its field
names to the names in this module. A value out of range raises ``InvalidSettingError`` (see
``docs/GLOSSARY.md`` for the key in the file).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class InvalidSettingError(ValueError):
    """A setting has an invalid value.

    ``setting`` names the setting (see ``docs/GLOSSARY.md`` for the key in the file). ``expected`` describes
    the valid values, and completes the phrase "must be ...".
    """

    def __init__(self, setting: str, expected: str, value: object) -> None:
        super().__init__(f"setting {setting} must be {expected}, not {value!r}")
        self.setting = setting
        self.expected = expected


class Idempotency(Enum):
    """Whether a request of a class may be run more than once."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"  # Idempotent by a key, within a scope of backends and a time window.
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The backends that recognize duplicates of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """The way in which a proxy gets the endpoint list."""

    PUSHED = "pushed"
    POLLED = "polled"


class WeightMeaning(Enum):
    """The meaning of the weights in the endpoint list."""

    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"
    SILENT = "silent"


CHANGE_KNOWN_WITHIN_SECONDS = 6.0  # Time limit for a proxy to learn of a change that discovery can report.
LIST_CALL_TIMEOUT_SECONDS = 3.5  # Discovery abandons a call that has been queued for 3 s.
MAX_LIST_RETRY_DELAY_SECONDS = CHANGE_KNOWN_WITHIN_SECONDS - LIST_CALL_TIMEOUT_SECONDS - 0.5


def _require(condition: bool, setting: str, expected: str, value: object) -> None:
    if not condition:
        raise InvalidSettingError(setting, expected, value)


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)


def _require_at_least_zero(value: object, setting: str) -> None:
    is_valid = isinstance(value, (int, float)) and _is_number(value) and value >= 0
    _require(is_valid, setting, "a number of 0 or more", value)


def _require_positive(value: object, setting: str, expected: str) -> None:
    _require(isinstance(value, (int, float)) and _is_number(value) and value > 0, setting, expected, value)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    ``latency_objective`` is the objective for the time until a connection is established, and
    ``message_latency_objective`` that for a message on an established connection (0 if there is none).
    ``deadline`` is the time that a client waits in total, over all attempts.
    """

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float = 1.0  # Not used by any rule.
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    message_latency_objective: float = 0.0

    def __post_init__(self) -> None:
        """Raise ``InvalidSettingError`` if a value is out of range."""
        setting = f"classes.{self.name}"
        _require_positive(self.latency_objective, f"{setting}.aim", "a time above 0")
        _require_positive(self.deadline, f"{setting}.deadline", "a time above 0")
        _require_at_least_zero(self.priority_weight, f"{setting}.worth")
        _require_at_least_zero(self.deduplication_window, f"{setting}.window")
        _require_at_least_zero(self.message_latency_objective, f"{setting}.message_aim")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the service; ``connection_quota`` is the quota for all proxies together."""

    name: str
    share: float  # Not used by any rule.
    connection_quota: float = 0.0


@dataclass(frozen=True, slots=True)
class SharedStateSettings:
    """Settings of the state shared between proxies (section ``fleet`` of the operator's file).

    ``lease_term``: duration of a lease (s); a peer that is silent for this time is considered lost.
    ``clock_drift``: maximum relative error of a clock's rate.
    ``share_connection_counts``: whether the number of connections at each backend is sent to peers.
    ``health_checks_per_second``: maximum for one backend, over all proxies together.
    """

    lease_term: float = 12.0
    clock_drift: float = 0.01
    share_connection_counts: bool = False
    health_checks_per_second: float = 20.0

    def __post_init__(self) -> None:
        """Raise ``InvalidSettingError`` if a value is out of range."""
        term, drift = self.lease_term, self.clock_drift
        _require(_is_number(term) and 1 <= term <= 300, "fleet.term_s", "from 1 to 300", term)
        _require(_is_number(drift) and 0 <= drift <= 0.05, "fleet.drift", "from 0 to 0.05", drift)
        _require_positive(self.health_checks_per_second, "fleet.probes_per_s", "above 0")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings that a proxy gets at its start. Those that do not apply to a deployment keep their defaults.

    ``poll_interval``: time (s) within which a polled endpoint list must be fetched again.
    ``warm_up``: time (s) in which a started backend goes from ``initial_capacity_share`` to full capacity.
    ``time_step``: resolution (s) of the host's clock.
    """

    classes: tuple[RequestClass, ...]
    proxy_count: int = 1
    proxy_index: int = 0
    zone: str = ""
    tenants: tuple[Tenant, ...] = ()
    discovery_mode: DiscoveryMode = DiscoveryMode.PUSHED
    poll_interval: float = 10.0
    health_checks_allowed: bool = False
    peers_allowed: bool = False
    max_attempts: int = 3
    retry_after_allowed: bool = True
    max_retry_after: float = 1.0
    connect_timeout: float = 0.25
    time_step: float = 0.001
    warm_up: float = 0.0
    initial_capacity_share: float = 1.0
    reports_load: bool = False
    has_groups: bool = False
    shared_state: SharedStateSettings = SharedStateSettings()

    def __post_init__(self) -> None:
        """Raise ``InvalidSettingError`` if a value is out of range."""
        names = [request_class.name for request_class in self.classes]
        _require(len(names) > 0, "classes", "a list of at least one request class", names)
        _require(len(set(names)) == len(names), "classes", "request classes with distinct names", names)
        for count, setting in ((self.proxy_count, "balancers"), (self.max_attempts, "max_attempts")):
            _require(isinstance(count, int) and count >= 1, setting, "an integer of 1 or more", count)
        index, share = self.proxy_index, self.initial_capacity_share
        _require(isinstance(index, int) and index >= 0, "index", "an integer of 0 or more", index)
        _require_positive(self.poll_interval, "ask_within", "a number above 0")
        _require_positive(self.connect_timeout, "connect_timeout", "a number above 0")
        _require_positive(self.time_step, "tick", "a number above 0")
        _require_at_least_zero(self.max_retry_after, "max_retry_after")
        _require_at_least_zero(self.warm_up, "warm_up")
        _require(_is_number(share) and 0 < share <= 1, "start_share", "above 0 and at most 1", share)

    @property
    def slow_message_latency(self) -> float:
        """Latency (s) above which a message is slow: a third of the shortest objective, infinite if none."""
        objectives = [c.message_latency_objective for c in self.classes if c.message_latency_objective > 0]
        return min(objectives, default=math.inf) / 3

    @property
    def uses_load_reports(self) -> bool:
        """Whether backends report their load, and health checks may be sent to request it."""
        return self.reports_load and self.health_checks_allowed

    @property
    def longest_retry_after(self) -> float:
        """Maximum Retry-After (s) of a rejected client; 0 if Retry-After is not allowed."""
        return self.max_retry_after if self.retry_after_allowed else 0.0
