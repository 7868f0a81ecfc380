"""The settings that the decisions are made under. Times are seconds, loads seconds of work per second.

``saltcourse/config/deployment_settings.py`` reads them from the deployment's JSON and maps its field names
to those here. A value out of range raises ``InvalidSettingError`` with a name of the setting (see
``docs/GLOSSARY.md`` for the key in the file).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class InvalidSettingError(ValueError):
    """A setting has a value that it may not have.

    ``setting``: a name of it; ``docs/GLOSSARY.md`` has the key in the file. ``expected``: what it may be.
    """

    def __init__(self, setting: str, expected: str) -> None:
        super().__init__(f"setting {setting}: {expected}")
        self.setting = setting
        self.expected = expected


class Idempotency(Enum):
    """What repeating a request of a class may do."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"  # idempotent within a scope of backends and a window of time, by a key
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which backends drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How the endpoint list reaches a proxy."""

    PUSHED = "pushed"
    POLLED = "polled"


class WeightMeaning(Enum):
    """What the weights of the endpoint list mean."""

    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"
    SILENT = "silent"


CHANGE_KNOWN_WITHIN_SECONDS = 6.0  # a change that discovery can report counts as known after this
LIST_CALL_TIMEOUT_SECONDS = 3.5  # discovery gives up a call that waited 3 s for its turn
MAX_LIST_RETRY_DELAY_SECONDS = CHANGE_KNOWN_WITHIN_SECONDS - LIST_CALL_TIMEOUT_SECONDS - 0.5


def _require(condition: bool, setting: str, expected: str) -> None:
    if not condition:
        raise InvalidSettingError(setting, expected)


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)


def _require_at_least_zero(value: object, setting: str) -> None:
    _require(isinstance(value, (int, float)) and _is_number(value) and value >= 0, setting, "0 or more")


def _require_positive(value: object, setting: str, expected: str) -> None:
    _require(isinstance(value, (int, float)) and _is_number(value) and value > 0, setting, expected)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    ``latency_objective`` is the wanted time to a connection, ``message_latency_objective`` that of a message
    on an open one (0: none is set); ``deadline`` is the time that a client waits over all its attempts.
    """

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float = 1.0  # no rule reads it
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    message_latency_objective: float = 0.0

    def __post_init__(self) -> None:
        """Check the ranges."""
        setting = f"classes.{self.name}"
        _require_positive(self.latency_objective, f"{setting}.aim", "a time above 0")
        _require_positive(self.deadline, f"{setting}.deadline", "a time above 0")
        _require_at_least_zero(self.priority_weight, f"{setting}.worth")
        _require_at_least_zero(self.deduplication_window, f"{setting}.window")
        _require_at_least_zero(self.message_latency_objective, f"{setting}.message_aim")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer with a share of the service; ``connection_quota`` is summed over all proxies."""

    name: str
    share: float  # no rule reads it
    connection_quota: float = 0.0


@dataclass(frozen=True, slots=True)
class SharedStateSettings:
    """How proxies that may talk to each other share state; the operator's file calls the section ``fleet``.

    ``lease_term``: how long a lease lasts, and after how long a silent peer is given up (s).
    ``clock_drift``: the share by which a clock may run too fast or too slow.
    ``share_connection_counts``: whether the connections at each backend are sent to peers too.
    ``health_checks_per_second``: those that one backend gets from all proxies together.
    """

    lease_term: float = 12.0
    clock_drift: float = 0.01
    share_connection_counts: bool = False
    health_checks_per_second: float = 20.0

    def __post_init__(self) -> None:
        """Check the ranges."""
        _require(_is_number(self.lease_term) and 1 <= self.lease_term <= 300, "fleet.term_s", "from 1 to 300")
        _require(
            _is_number(self.clock_drift) and 0 <= self.clock_drift <= 0.05, "fleet.drift", "from 0 to 0.05"
        )
        _require_positive(self.health_checks_per_second, "fleet.probes_per_s", "above 0")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a proxy is given at its start. Anything that does not apply keeps its default.

    ``poll_interval``: s within which a polled endpoint list has to be fetched again.
    ``warm_up``: s in which a started backend reaches its full capacity from ``initial_capacity_share``.
    ``time_step``: s, the granularity of the host's clock.
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
        """Check the ranges."""
        _require(len(self.classes) > 0, "classes", "at least one class")
        names = {request_class.name for request_class in self.classes}
        _require(len(names) == len(self.classes), "classes", "distinct names")
        for count, setting in ((self.proxy_count, "balancers"), (self.max_attempts, "max_attempts")):
            _require(isinstance(count, int) and count >= 1, setting, "a whole number, 1 or more")
        _require(
            isinstance(self.proxy_index, int) and self.proxy_index >= 0, "index", "a whole number, 0 or more"
        )
        _require_positive(self.poll_interval, "ask_within", "a number above 0")
        _require_positive(self.connect_timeout, "connect_timeout", "a number above 0")
        _require_positive(self.time_step, "tick", "a number above 0")
        _require_at_least_zero(self.max_retry_after, "max_retry_after")
        _require_at_least_zero(self.warm_up, "warm_up")
        _require(
            _is_number(self.initial_capacity_share) and 0 < self.initial_capacity_share <= 1,
            "start_share",
            "above 0, at most 1",
        )

    @property
    def slow_message_latency(self) -> float:
        """Seconds from which on a message counts as slow: a third of the shortest objective; inf if none."""
        objectives = [c.message_latency_objective for c in self.classes if c.message_latency_objective > 0]
        return min(objectives, default=math.inf) / 3

    @property
    def uses_load_reports(self) -> bool:
        """Whether backends report their load and health checks may ask for it."""
        return self.reports_load and self.health_checks_allowed

    @property
    def longest_retry_after(self) -> float:
        """Seconds that a rejected client may be asked to wait; 0 where Retry-After is not allowed."""
        return self.max_retry_after if self.retry_after_allowed else 0.0
