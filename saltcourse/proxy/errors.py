"""Errors that end the program before it serves."""

from __future__ import annotations


class ListenError(Exception):
    """An address or descriptor to listen on cannot be had; says which key of the configuration names it."""

    def __init__(self, key: str, where: str, wrong: OSError) -> None:
        super().__init__(f"'{key}': cannot listen on {where}: {wrong.strerror or wrong}")
