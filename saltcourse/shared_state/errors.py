"""Errors of this package; the texts give what was found."""

from __future__ import annotations


class SharedStateError(Exception):
    """Base of all errors that this package raises."""


class MalformedMessageError(SharedStateError):
    """A peer sent what no proxy of this version sends."""
