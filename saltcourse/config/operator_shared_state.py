"""Reads the section ``fleet`` of the operator's file: how the proxies of one tier share state."""

from __future__ import annotations

from typing import Any

from saltcourse.balancing.settings import InvalidSettingError, SharedStateSettings
from saltcourse.config.operator_file import OperatorFile

# Key of the section -> field of SharedStateSettings, which keeps its default if the key is absent.
OPTIONAL_KEYS = {
    "term_s": "lease_term",
    "drift": "clock_drift",
    "probes_per_s": "health_checks_per_second",
}


def read_shared_state(file: OperatorFile) -> SharedStateSettings | None:
    """Read the section; return None if it is absent. Raises ``OperatorFileError``."""
    if not file.message.HasField("fleet"):
        return None
    section = file.message.fleet
    values: dict[str, Any] = {
        field: getattr(section, key) for key, field in OPTIONAL_KEYS.items() if section.HasField(key)
    }
    try:
        return SharedStateSettings(share_connection_counts=section.counts, **values)
    except InvalidSettingError as error:
        file.reject(error.setting, f"must be {error.expected}")
