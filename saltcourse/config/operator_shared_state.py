"""The section ``fleet`` of the operator's file: terms on which proxies of one tier share what they know."""

from __future__ import annotations

from saltcourse.config.operator_file import OperatorFile
from saltcourse.interface import FleetTerms


def read_fleet(file: OperatorFile) -> FleetTerms | None:
    """None where the section is left out."""
    if not file.message.HasField("fleet"):
        return None
    told, usual = file.message.fleet, FleetTerms()
    try:
        return FleetTerms(
            told.term_s if told.HasField("term_s") else usual.term,
            told.drift if told.HasField("drift") else usual.drift,
            told.counts,
            told.probes_per_s if told.HasField("probes_per_s") else usual.probes,
        )
    except ValueError as wrong:
        key, _, what = str(wrong).removeprefix("setting ").partition(": ")
        file.wrong(key, f"must be {what}")
