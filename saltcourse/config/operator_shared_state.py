"""The section ``fleet`` of the operator's file: terms on which proxies of one tier share what they know."""

from __future__ import annotations

from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.config.operator_file import OperatorFile


def read_fleet(file: OperatorFile) -> SharedStateSettings | None:
    """None where the section is left out."""
    if not file.message.HasField("fleet"):
        return None
    told, usual = file.message.fleet, SharedStateSettings()
    try:
        return SharedStateSettings(
            told.term_s if told.HasField("term_s") else usual.lease_term,
            told.drift if told.HasField("drift") else usual.clock_drift,
            told.counts,
            told.probes_per_s if told.HasField("probes_per_s") else usual.health_checks_per_second,
        )
    except ValueError as wrong:
        key, _, what = str(wrong).removeprefix("setting ").partition(": ")
        file.wrong(key, f"must be {what}")
