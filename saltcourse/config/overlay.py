"""Overrides values of a proxy's own file with those of the fleet's configuration, key by key.

``proxy/discovery`` is ``host:port``, ``proxy/limits.sockets`` is a decimal number. An invalid value is logged
and counted, and the previous value stays in effect; deleting a key restores the value of the file.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

import structlog

from saltcourse.codec.endpoint_list import Address, read_address
from saltcourse.config.proxy_config import Config
from saltcourse.config.proxy_config_reader import MIN_SOCKETS, cap_sockets

DISCOVERY_KEY = "proxy/discovery"
SOCKETS_KEY = "proxy/limits.sockets"
MAX_DIGITS = 9

log = structlog.get_logger("saltcourse")


def _read_discovery(value: bytes) -> Address:
    return read_address(value.decode())


def _read_sockets(value: bytes) -> int:
    text = value.decode()
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        raise ValueError(f"must be a decimal number of at most {MAX_DIGITS} digits")
    if int(text) < MIN_SOCKETS:
        raise ValueError(f"must be at least {MIN_SOCKETS}")
    return cap_sockets(int(text))


class Overlay:
    """The newest valid value of each key; ``rejections`` counts invalid values since the start."""

    def __init__(self) -> None:
        self.rejections = 0
        self._discovery: Address | None = None
        self._sockets: int | None = None
        self._last_values: dict[str, bytes | None] = {}
        self._rejected: dict[str, int] = {}  # key -> version of its invalid value

    @property
    def rejected_version(self) -> int:
        """The newest version that set a rejected value which is still current; 0 if there is none."""
        return max(self._rejected.values(), default=0)

    def update(self, configuration: Mapping[str, bytes], version: int) -> bool:
        """Apply the keys whose values differ from those of the previous update.

        Return whether any value differs, including rejected values.
        """
        keys = [
            key
            for key in (DISCOVERY_KEY, SOCKETS_KEY)
            if self._last_values.get(key) != configuration.get(key)
        ]
        for key in keys:
            value = configuration.get(key)
            self._last_values[key] = value
            try:
                self._set(key, value)
            except ValueError as error:
                self._reject(key, version, str(error))
            else:
                self._rejected.pop(key, None)
        return bool(keys)

    def apply(self, config: Config) -> Config:
        """Return a copy of the file's configuration with the overridden values."""
        if self._discovery is not None:
            config = replace(config, discovery=self._discovery)
        if self._sockets is not None:
            config = replace(config, limits=replace(config.limits, sockets=self._sockets))
        return config

    def _set(self, key: str, value: bytes | None) -> None:
        if key == DISCOVERY_KEY:
            self._discovery = None if value is None else _read_discovery(value)
        else:
            self._sockets = None if value is None else _read_sockets(value)

    def _reject(self, key: str, version: int, reason: str) -> None:
        self.rejections += 1
        self._rejected[key] = version
        log.error("gossip configuration value rejected", key=key, version=version, reason=reason)


class ConfigurationSource:
    """The configuration last read from the file, overridden by the overlay."""

    def __init__(self, config: Config, read: Callable[[], Config]) -> None:
        self.overlay = Overlay()
        self._config = config
        self._read = read

    def reread(self) -> Config:
        """Read the file again. Raises ``ConfigError``, and keeps the previous one, if it is invalid."""
        self._config = self._read()
        return self.current()

    def current(self) -> Config:
        """Return the configuration that is in effect."""
        return self.overlay.apply(self._config)
